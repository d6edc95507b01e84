//! A gateway's session with a runner while the keeper adds and removes that runner.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_nodes::message::{Reply, Request, RunnerReply, RunnerRequest};
use hemlock_nodes::prelude::*;
use hemlock_nodes::subset::choose_subset;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::task::LocalSet;

const CLUSTER: &str = "test";
/// Longest wait for any expected event.
const TIMEOUT: Duration = Duration::from_secs(10);

const GATEWAY_ID: u64 = 2;

fn identity(role: Role, id: u64) -> Rc<Identity> {
    Rc::new(Identity {
        role,
        incarnation: Incarnation(id),
        id,
        cluster: CLUSTER.to_owned(),
        key: ClusterKey::new("key"),
        source_ip: None,
    })
}

/// A stand-in for the leading keeper, which sends gateways its set of agents.
#[derive(Default)]
struct KeeperStandin {
    agents: RefCell<BTreeSet<AgentId>>,
    version: Cell<u64>,
    watched: Cell<u64>,
}

impl KeeperStandin {
    fn set_agents(&self, agents: impl IntoIterator<Item = AgentId>) {
        self.agents.replace(agents.into_iter().collect());
        self.version.set(self.version.get() + 1);
    }

    fn reply(&self, request: &Request) -> Reply {
        match request {
            Request::WhoLeads => Reply::Leads {
                here: true,
                leader: None,
                members: Vec::new(),
            },
            Request::Watch { agents, .. } => {
                self.watched.set(*agents);
                let known = self.agents.borrow().iter().copied().collect();
                let newer = *agents != self.version.get();
                Reply::Watched {
                    configuration: None,
                    agents: newer.then(|| (self.version.get(), known)),
                    evacuations: None,
                }
            }
            _ => Reply::NotLeader,
        }
    }
}

impl Service for KeeperStandin {
    fn answer(
        &self,
        _: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        let reply = decode::<Request>(&frame).map(|request| self.reply(&request));
        async move {
            tokio::time::sleep(Duration::from_millis(10)).await;
            Ok(encode(&reply?)?)
        }
        .boxed_local()
    }
}

/// A stand-in for a runner, which accepts gateways' sessions and counts requests.
#[derive(Default)]
struct RunnerStandin {
    attached: Cell<usize>,
    pings: Cell<usize>,
    open: Cell<usize>,
    /// Whether it answers every ping with a void session.
    ends_sessions: Cell<bool>,
}

impl Service for RunnerStandin {
    fn answer(
        &self,
        _: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        let reply = decode::<RunnerRequest>(&frame).map(|request| match request {
            RunnerRequest::Attach(..) => {
                self.attached.set(self.attached.get() + 1);
                RunnerReply::Attached(Inventory::default(), LoadReport::default())
            }
            RunnerRequest::Ping(..) if self.ends_sessions.get() => RunnerReply::VoidSession,
            RunnerRequest::Ping(..) => {
                self.pings.set(self.pings.get() + 1);
                RunnerReply::Alive(LoadReport::default())
            }
            RunnerRequest::Order(..) => RunnerReply::Ordered(Vec::new(), LoadReport::default()),
        });
        async move { Ok(encode(&reply?)?) }.boxed_local()
    }

    fn opened(&self, _: Peer, _: Link) {
        self.open.set(self.open.get() + 1);
    }

    fn closed(&self, _: Peer) {
        self.open.set(self.open.get() - 1);
    }
}

/// Serves on a free port until the test ends.
async fn start(service: Rc<dyn Service>, role: Role) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has ports");
    let address = listener.local_addr().expect("it is bound");
    let serving = serve(listener, identity(role, 1), service, std::future::pending());
    tokio::task::spawn_local(serving);
    address
}

async fn wait_until(event: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let done = tokio::time::timeout(TIMEOUT, waiting).await;
    done.unwrap_or_else(|_| panic!("timed out waiting until {event}"));
}

fn start_gateway(keeper_address: SocketAddr, max_runners: usize) {
    let gateway = Gateway::new(GatewaySettings {
        identity: Identity::clone(&identity(Role::Entry, GATEWAY_ID)),
        seeds: Rc::new(move || vec![keeper_address]),
        leader_timeout_ms: 100,
        engine: EngineSettings {
            lease_ms: 1_000,
            remote_factor: 1.0,
            resubmit_ms: 1_300,
        },
        max_runners,
    });
    tokio::task::spawn_local(async move { gateway.run().await });
}

#[test]
fn a_gateway_follows_a_bounded_subset_and_leaves_displaced_runners() {
    const MAX_RUNNERS: usize = 3;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let keeper = Rc::new(KeeperStandin::default());
        let keeper_address = start(Rc::clone(&keeper) as Rc<dyn Service>, Role::Keeper).await;
        let mut runners = Vec::new();
        let mut agents = BTreeSet::new();
        for _ in 0..12 {
            let runner = Rc::new(RunnerStandin::default());
            let address = start(Rc::clone(&runner) as Rc<dyn Service>, Role::Agent).await;
            runners.push(runner);
            agents.insert(AgentId(keeper_id(address).0));
        }
        let open = || -> usize { runners.iter().map(|runner| runner.open.get()).sum() };
        let attached = || -> usize { runners.iter().map(|runner| runner.attached.get()).sum() };
        // The runners that the gateway prefers join later, so that they displace the others.
        let preferred = choose_subset(GATEWAY_ID, &agents, MAX_RUNNERS);
        keeper.set_agents(agents.difference(&preferred).copied().take(4));
        start_gateway(keeper_address, MAX_RUNNERS);
        wait_until("three runners are followed", || attached() == MAX_RUNNERS).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!((open(), attached()), (MAX_RUNNERS, MAX_RUNNERS));

        keeper.set_agents(agents.iter().copied());
        wait_until("new runners are followed", || attached() > MAX_RUNNERS).await;
        wait_until("displaced runners are left", || open() == MAX_RUNNERS).await;
        let before = attached();
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!((open(), attached()), (MAX_RUNNERS, before));
    });
}

/// Guards against sound runners that a gateway doesn't follow, because ids that can't be those of
/// runners take their places.
#[test]
fn ids_that_are_no_addresses_take_the_place_of_no_runner() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let keeper = Rc::new(KeeperStandin::default());
        let runner = Rc::new(RunnerStandin::default());
        let as_service = Rc::clone(&keeper) as Rc<dyn Service>;
        let keeper_address = start(as_service, Role::Keeper).await;
        let as_service = Rc::clone(&runner) as Rc<dyn Service>;
        let runner_address = start(as_service, Role::Agent).await;
        let sound = AgentId(keeper_id(runner_address).0);
        let without_port = (1..40).map(|ip| ip << 16);
        let out_of_range = (1..40).map(|high| (high << 48) | 1);
        let odd = without_port.chain(out_of_range).chain([0, u64::MAX]);
        keeper.set_agents(odd.map(AgentId).chain([sound]));
        start_gateway(keeper_address, 1);
        wait_until("the runner is attached", || runner.attached.get() == 1).await;
    });
}

#[test]
fn a_runner_removed_by_the_keepers_is_kept_while_its_session_is_active() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let keeper = Rc::new(KeeperStandin::default());
        let runner = Rc::new(RunnerStandin::default());
        let as_service = Rc::clone(&keeper) as Rc<dyn Service>;
        let keeper_address = start(as_service, Role::Keeper).await;
        let as_service = Rc::clone(&runner) as Rc<dyn Service>;
        let runner_address = start(as_service, Role::Agent).await;
        keeper.set_agents([AgentId(keeper_id(runner_address).0)]);
        start_gateway(keeper_address, 32);
        wait_until("the runner is attached", || runner.attached.get() == 1).await;

        // A new leader doesn't know the runner, which is cut off only from the keepers.
        keeper.set_agents([]);
        wait_until("the gateway has the new set of agents", || {
            keeper.watched.get() == 2
        })
        .await;
        let pings = runner.pings.get();
        wait_until("the session goes on", || runner.pings.get() > pings + 1).await;
        assert_eq!((runner.attached.get(), runner.open.get()), (1, 1));

        // After the session ends, the gateway reconnects only once the keepers add the runner.
        runner.ends_sessions.set(true);
        wait_until("the connection is closed", || runner.open.get() == 0).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(runner.attached.get(), 1, "the gateway must not reconnect");
        runner.ends_sessions.set(false);
        keeper.set_agents([AgentId(keeper_id(runner_address).0)]);
        wait_until("the runner is attached again", || {
            runner.attached.get() == 2
        })
        .await;
    });
}
