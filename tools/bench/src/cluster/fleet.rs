//! Many agents on one thread, which announce endpoints over real sockets and answer at once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_directory::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::agent::{AgentReply, AgentRequest};
use hemlock_wire::message::keeper::{AgentSync, KeeperReply, KeeperRequest};
use hemlock_wire::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::cluster::layout::{CLUSTER_KEY, ENDPOINT_SLOTS, cluster_name};
use crate::error::BenchError;

/// Interval of each agent's announcements.
const ANNOUNCE_INTERVAL: DurationMs = DurationMs::new(1_000);
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: DurationMs = DurationMs::new(5_000);
/// Pause before an agent connects to another keeper.
const RETRY_PAUSE: DurationMs = DurationMs::new(100);
/// Incarnation of the first agent; the others follow it.
const FIRST_INCARNATION: u64 = 1 << 32;

/// Size of a fleet, and the endpoints that it announces.
#[derive(Clone, Debug)]
pub(crate) struct FleetSpec {
    /// Number of agents.
    pub(crate) agents: usize,
    /// Service of every endpoint.
    pub(crate) service: ServiceName,
    /// Failure domains, assigned to the agents in turn.
    pub(crate) domains: Vec<FailureDomainName>,
    /// Wire addresses of the keepers.
    pub(crate) keepers: Vec<SocketAddr>,
}

/// A running fleet, which ends when this value is dropped.
pub(crate) struct Fleet {
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Fleet {
    /// Starts the agents, which announce their endpoints until the fleet is dropped.
    ///
    /// # Errors
    ///
    /// [`BenchError::Io`] when the runtime can't start.
    pub(crate) fn start(spec: FleetSpec) -> Result<Self, BenchError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = watch::channel(false);
        let thread = std::thread::spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run_fleet(spec, stopped));
        });
        Ok(Self {
            stop,
            thread: Some(thread),
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn run_fleet(spec: FleetSpec, mut stopped: watch::Receiver<bool>) {
    let spec = Rc::new(spec);
    for index in 0..spec.agents {
        // Spreads the announcements over the interval, as those of separate processes are.
        let offset_ms = index as u64 * ANNOUNCE_INTERVAL.as_ms() / spec.agents as u64;
        let agent = run_agent(Rc::clone(&spec), index, offset_ms, stopped.clone());
        tokio::task::spawn_local(agent);
    }
    let _ = stopped.wait_for(|stop| *stop).await;
}

async fn run_agent(
    spec: Rc<FleetSpec>,
    index: usize,
    offset_ms: u64,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else {
        return;
    };
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let incarnation = Incarnation(FIRST_INCARNATION + index as u64);
    let identity = Rc::new(Identity {
        role: Role::Agent,
        incarnation,
        id: 0,
        cluster: cluster_name(),
        key: ClusterKey::new(CLUSTER_KEY),
        source_ip: None,
    });
    let service: Rc<dyn Service> = Rc::new(InstantEndpoint);
    let serving = serve(
        listener,
        Rc::clone(&identity),
        Rc::clone(&service),
        async move {
            let _ = stopped.wait_for(|stop| *stop).await;
        },
    );
    tokio::task::spawn_local(serving);
    tokio::time::sleep(DurationMs::new(offset_ms).as_std()).await;
    let announcement = announcement(&spec, index, incarnation, address);
    announce_forever(&spec, index, &identity, &service, announcement).await;
}

fn announcement(
    spec: &FleetSpec,
    index: usize,
    agent: Incarnation,
    address: SocketAddr,
) -> Announcement {
    Announcement {
        agent,
        service: spec.service.clone(),
        slots: ENDPOINT_SLOTS,
        connections: 64,
        address,
        domain: spec.domains[index % spec.domains.len()].clone(),
        rack: RackName::new(format!("rack-{}", index / 3)),
        cores: 64,
        memory_mb: 256 * 1024,
        state: EndpointState::Serving,
    }
}

async fn announce_forever(
    spec: &FleetSpec,
    index: usize,
    identity: &Rc<Identity>,
    service: &Rc<dyn Service>,
    announcement: Announcement,
) {
    let mut position = index % spec.keepers.len();
    loop {
        let target = spec.keepers[position];
        let opened = connect(
            target,
            Rc::clone(identity),
            Rc::clone(service),
            CONNECT_TIMEOUT,
        )
        .await;
        let leader = match opened {
            Ok(connection) => announce_on(&connection, &announcement).await,
            Err(_) => None,
        };
        let named = leader.and_then(|leader| spec.keepers.iter().position(|at| *at == leader));
        position = named.unwrap_or((position + 1) % spec.keepers.len());
        tokio::time::sleep(RETRY_PAUSE.as_std()).await;
    }
}

/// Announces on one connection until a call fails or the keeper no longer leads.
///
/// Returns the leader's address if the keeper knows it.
async fn announce_on(connection: &Connection, announcement: &Announcement) -> Option<SocketAddr> {
    loop {
        let sync = AgentSync {
            announcement: announcement.clone(),
            running: 0,
        };
        match connection.link.call(&KeeperRequest::AgentSync(sync)).await {
            Ok(KeeperReply::NotLeader { leader }) => return leader,
            Ok(_) => tokio::time::sleep(ANNOUNCE_INTERVAL.as_std()).await,
            Err(_) => return None,
        }
    }
}

/// Agent service that completes every task as soon as it starts.
struct InstantEndpoint;

impl Service for InstantEndpoint {
    fn answer(
        &self,
        _peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        async move {
            let reply = match decode(&frame)? {
                AgentRequest::Start(task) => AgentReply::Settled {
                    request: task.request,
                    outcome: Outcome::Complete(Answer {
                        status: 200,
                        content_type: Bytes::from_static(b"application/json"),
                        body: Bytes::from_static(b"{}"),
                    }),
                    service_us: 0,
                    granted: 1,
                },
                AgentRequest::Want { count } => AgentReply::Granted {
                    slots: count.min(ENDPOINT_SLOTS),
                },
                AgentRequest::Fence { .. } => AgentReply::Fenced { tasks: Vec::new() },
                AgentRequest::Cancel { .. } => AgentReply::Cancelled {
                    outcomes: Vec::new(),
                },
                AgentRequest::Ping => AgentReply::Pong {
                    running: 0,
                    draining: false,
                },
            };
            Ok(encode(&reply)?)
        }
        .boxed_local()
    }
}
