//! Operators' requests at a coordinator, and what gateways and runners hear of them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_nodes::message::{Reply, Request, RunnerPing};
use hemlock_nodes::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::task::{JoinHandle, LocalSet};

const CLUSTER: &str = "test";
const KEY: &str = "key";
const CONNECT_TIMEOUT: DurationMs = DurationMs::new(1_000);
/// Longest wait for any expected event.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A coordinator on loopback.
struct Site {
    address: SocketAddr,
    handle: CoordinatorHandle,
    running: JoinHandle<()>,
}

impl Site {
    fn start(folder: &Path, address: SocketAddr, domains: &[&str]) -> Self {
        Self::start_member(folder, address, &[address], domains)
    }

    /// Starts one of the coordinators at the given addresses.
    fn start_member(
        folder: &Path,
        address: SocketAddr,
        members: &[SocketAddr],
        domains: &[&str],
    ) -> Self {
        let coordinator = Coordinator::new(CoordinatorSettings {
            address,
            listen_address: address,
            source_ip: None,
            data_folder: PathBuf::from(folder),
            cluster: CLUSTER.to_owned(),
            key: ClusterKey::new(KEY),
            seeds: members.to_vec(),
            allow_bootstrap: true,
            target_voters: members.len(),
            dispatch: DispatchSettings::default(),
            retention_ms: 1_000,
            failure_domains: domains.iter().map(|domain| (*domain).to_owned()).collect(),
        });
        let handle = coordinator.handle();
        let running = tokio::task::spawn_local(async move {
            coordinator.run().await.expect("it runs");
        });
        Self {
            address,
            handle,
            running,
        }
    }

    fn new(folder: &Path) -> Self {
        let address = hemlock_standin::free_address().expect("loopback has ports");
        Self::start(folder, address, &["a", "b"])
    }

    fn operator(&self) -> OperatorClient {
        OperatorClient::new(CLUSTER, ClusterKey::new(KEY), vec![self.address])
    }

    async fn begin(&self, domain: &str) -> Result<u64, OperatorError> {
        let change = EvacuationChange::Begin(domain.to_owned());
        self.operator().change_evacuations(change).await
    }

    async fn end(&self, domain: &str) -> Result<u64, OperatorError> {
        let change = EvacuationChange::End(domain.to_owned());
        self.operator().change_evacuations(change).await
    }

    async fn evacuated(&self) -> Vec<String> {
        let current = self.operator().evacuations().await.expect("it leads");
        current.domains().iter().cloned().collect()
    }

    /// Connects as a process of the given role.
    async fn connect(&self, role: Role) -> Connection {
        let identity = Rc::new(Identity {
            role,
            incarnation: Incarnation(rand::random()),
            id: 0,
            cluster: CLUSTER.to_owned(),
            key: ClusterKey::new(KEY),
            source_ip: None,
        });
        connect(self.address, identity, Rc::new(NoService), CONNECT_TIMEOUT)
            .await
            .expect("the coordinator listens")
    }

    async fn stop(self) {
        self.running.abort();
        // The task ends with an error, because it was aborted.
        let _ = self.running.await;
    }
}

struct NoService;

impl Service for NoService {
    fn answer(&self, _: Peer, _: Bytes) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        std::future::ready(Err(ServiceError::Forbidden)).boxed_local()
    }
}

async fn ask(connection: &Connection, request: Request) -> Reply {
    let answer = connection.link.call::<_, Reply>(&request);
    let answer = tokio::time::timeout(TIMEOUT, answer).await;
    answer
        .expect("an answer in time")
        .expect("the connection is open")
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().expect("a folder")
}

fn domains(evacuations: Option<Evacuations>) -> Option<BTreeSet<String>> {
    evacuations.map(|evacuations| evacuations.domains().clone())
}

fn only(domain: &str) -> Option<BTreeSet<String>> {
    Some(BTreeSet::from([domain.to_owned()]))
}

fn watch(evacuations: u64) -> Request {
    Request::Watch {
        configuration: 0,
        agents: 0,
        evacuations,
    }
}

fn ping(agent: AgentId, session: SessionId, evacuations: u64) -> Request {
    Request::Ping(Some(RunnerPing {
        agent,
        session,
        withheld_percent: 0,
        evacuations,
    }))
}

/// Registers a runner, adopts its empty inventory and returns its session with the evacuations that
/// it was told.
async fn begin_session(
    connection: &Connection,
    agent: AgentId,
) -> (SessionId, Option<Evacuations>) {
    let registered = ask(connection, Request::Register(agent)).await;
    let Reply::Registered { session, .. } = registered else {
        panic!("the leader registers runners: {registered:?}");
    };
    let adopt = Request::Adopt(agent, session, Inventory::default());
    match ask(connection, adopt).await {
        Reply::Adopted { evacuations, .. } => (session, evacuations),
        other => panic!("the leader adopts runners: {other:?}"),
    }
}

#[test]
fn requests_are_in_force_until_taken_back_and_repeated_ones_change_nothing() {
    run(async {
        let folder = folder();
        let site = Site::new(folder.path());
        assert_eq!(site.begin("a").await, Ok(1));
        assert_eq!(site.begin("a").await, Ok(1));
        assert_eq!(site.begin("b").await, Ok(2));
        assert_eq!(site.evacuated().await, ["a", "b"]);
        assert_eq!(site.end("a").await, Ok(3));
        assert_eq!(site.end("a").await, Ok(3));
        assert_eq!(site.evacuated().await, ["b"]);
    });
}

#[test]
fn an_unknown_domain_is_refused_and_changes_nothing() {
    run(async {
        let folder = folder();
        let site = Site::new(folder.path());
        let long = "x".repeat(300);
        for domain in ["c", "", "A", "a ", long.as_str()] {
            let unknown = Err(OperatorError::UnknownDomain(domain.to_owned()));
            assert_eq!(site.begin(domain).await, unknown);
            assert_eq!(site.end(domain).await, unknown);
        }
        assert_eq!(site.evacuated().await, Vec::<String>::new());
    });
}

#[test]
fn without_known_domains_all_names_are_valid() {
    run(async {
        let folder = folder();
        let address = hemlock_standin::free_address().expect("loopback has ports");
        let site = Site::start(folder.path(), address, &[]);
        assert_eq!(site.begin("anything").await, Ok(1));
        assert!(matches!(
            site.begin("").await,
            Err(OperatorError::UnknownDomain(_))
        ));
    });
}

#[test]
fn a_restarted_coordinator_restores_evacuations_and_ends_those_of_removed_domains() {
    run(async {
        let folder = folder();
        let site = Site::new(folder.path());
        assert_eq!(site.begin("b").await, Ok(1));
        let address = site.address;
        site.stop().await;
        let site = Site::start(folder.path(), address, &["a"]);
        assert_eq!(site.evacuated().await, ["b"]);
        assert_eq!(site.end("b").await, Ok(2));
        let unknown = Err(OperatorError::UnknownDomain("b".to_owned()));
        assert_eq!(site.begin("b").await, unknown);
    });
}

#[test]
fn a_request_whose_sender_has_left_is_not_proposed() {
    run(async {
        let folder = folder();
        let site = Site::new(folder.path());
        assert_eq!(site.begin("a").await, Ok(1));
        assert_eq!(site.end("a").await, Ok(2));
        // The request has reached the coordinator, but the coordinator has not read it yet.
        let change = EvacuationChange::Begin("a".to_owned());
        let abandoned = site.handle.change_evacuations(change);
        assert_eq!(abandoned.now_or_never(), None);
        assert_eq!(site.end("b").await, Ok(2));
        assert_eq!(site.evacuated().await, Vec::<String>::new());
    });
}

#[test]
fn a_waiting_gateway_is_told_of_each_change() {
    run(async {
        let folder = folder();
        let site = Site::new(folder.path());
        assert_eq!(site.begin("a").await, Ok(1));
        let connection = site.connect(Role::Entry).await;
        let Reply::Watched { evacuations, .. } = ask(&connection, watch(0)).await else {
            panic!("the leader answers gateways");
        };
        assert_eq!(domains(evacuations), only("a"));
        // Nothing is newer than what the gateway has.
        let Reply::Watched { evacuations, .. } = ask(&connection, watch(1)).await else {
            panic!("the leader answers gateways");
        };
        assert_eq!(evacuations, None);
        let waiting = ask(&connection, watch(1));
        let change = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            site.end("a").await
        };
        let begun = std::time::Instant::now();
        let (reply, changed) = tokio::join!(waiting, change);
        assert_eq!(changed, Ok(2));
        let Reply::Watched { evacuations, .. } = reply else {
            panic!("the leader answers gateways");
        };
        assert_eq!(domains(evacuations), Some(BTreeSet::new()));
        assert!(
            begun.elapsed() < Duration::from_millis(390),
            "not by the timeout"
        );
    });
}

#[test]
fn a_runner_is_told_when_its_session_begins_and_by_its_pings() {
    run(async {
        let folder = folder();
        let site = Site::new(folder.path());
        assert_eq!(site.begin("a").await, Ok(1));
        let connection = site.connect(Role::Agent).await;
        let (session, evacuations) = begin_session(&connection, AgentId(7)).await;
        assert_eq!(domains(evacuations), only("a"));
        let Reply::Confirmed { evacuations } = ask(&connection, ping(AgentId(7), session, 1)).await
        else {
            panic!("the session is valid");
        };
        assert_eq!(evacuations, None);
        assert_eq!(site.begin("b").await, Ok(2));
        assert_eq!(site.end("a").await, Ok(3));
        let Reply::Confirmed { evacuations } = ask(&connection, ping(AgentId(7), session, 1)).await
        else {
            panic!("the session is valid");
        };
        assert_eq!(domains(evacuations), only("b"));
        // A runner that missed everything, such as a restarted one, is told the whole set.
        let other = site.connect(Role::Agent).await;
        let (_, evacuations) = begin_session(&other, AgentId(7)).await;
        assert_eq!(domains(evacuations), only("b"));
    });
}

#[test]
fn only_operators_may_send_operators_requests_and_these_may_send_no_others() {
    run(async {
        let folder = folder();
        let site = Site::new(folder.path());
        assert_eq!(site.begin("a").await, Ok(1));
        let change = Request::Evacuation(EvacuationChange::End("a".to_owned()));
        for role in [Role::Entry, Role::Agent, Role::Keeper] {
            let connection = site.connect(role).await;
            assert_eq!(ask(&connection, change.clone()).await, Reply::NotLeader);
            let read = ask(&connection, Request::Evacuations).await;
            assert_eq!(read, Reply::NotLeader);
        }
        let connection = site.connect(Role::Operator).await;
        let forbidden = [
            watch(0),
            Request::Register(AgentId(7)),
            Request::Ping(None),
            ping(AgentId(7), SessionId(1), 0),
        ];
        for request in forbidden {
            assert_eq!(ask(&connection, request).await, Reply::NotLeader);
        }
        assert_eq!(site.evacuated().await, ["a"]);
    });
}

#[test]
fn an_operator_without_a_coordinator_or_the_key_learns_that_nothing_was_done() {
    run(async {
        let folder = folder();
        let site = Site::new(folder.path());
        assert_eq!(site.begin("a").await, Ok(1));
        let stranger = OperatorClient::new(CLUSTER, ClusterKey::new("other"), vec![site.address]);
        let change = EvacuationChange::End("a".to_owned());
        let refused = stranger.change_evacuations(change).await;
        assert!(matches!(refused, Err(OperatorError::Unreachable(_))));
        assert_eq!(site.evacuated().await, ["a"]);
    });
}

#[test]
fn a_coordinator_without_a_majority_distributes_and_acknowledges_nothing() {
    run(async {
        let folders = [0; 3].map(|_| folder());
        let addresses =
            [0; 3].map(|_| hemlock_standin::free_address().expect("loopback has ports"));
        let mut sites: Vec<Site> = (0..3)
            .map(|n| Site::start_member(folders[n].path(), addresses[n], &addresses, &["a", "b"]))
            .collect();
        let operator = || OperatorClient::new(CLUSTER, ClusterKey::new(KEY), addresses.to_vec());
        let begin = |domain: &str| EvacuationChange::Begin(domain.to_owned());
        assert_eq!(operator().change_evacuations(begin("a")).await, Ok(1));

        // The request is repeated after the loss of its leader.
        let leader = leader_of(&sites).await;
        sites.remove(leader).stop().await;
        assert_eq!(operator().change_evacuations(begin("a")).await, Ok(1));

        // The last leader is alone. It may answer until its lease of 120 ms has run out.
        let leader = leader_of(&sites).await;
        let last = sites.remove(leader);
        sites.remove(0).stop().await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let connection = last.connect(Role::Entry).await;
        let request = watch(0);
        let answer = connection.link.call::<_, Reply>(&request);
        let answer = tokio::time::timeout(Duration::from_secs(2), answer).await;
        let distributed = matches!(answer, Ok(Ok(Reply::Watched { .. })));
        assert!(!distributed, "{answer:?}");
        let changed = operator().change_evacuations(begin("b")).await;
        assert!(
            matches!(
                changed,
                Err(OperatorError::Undecided(_) | OperatorError::Unreachable(_))
            ),
            "{changed:?}"
        );
    });
}

/// Waits until one of the coordinators leads, and returns its position.
async fn leader_of(sites: &[Site]) -> usize {
    let searching = async {
        loop {
            for (position, site) in sites.iter().enumerate() {
                let connection = site.connect(Role::Operator).await;
                let reply = ask(&connection, Request::WhoLeads).await;
                if matches!(reply, Reply::Leads { here: true, .. }) {
                    return position;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let found = tokio::time::timeout(TIMEOUT, searching).await;
    found.expect("one of them leads")
}
