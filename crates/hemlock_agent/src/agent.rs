//! Starting an agent, and the handle that ends it.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use crossbeam::channel::{Sender, unbounded};
use hemlock_gate::prelude::*;
use hemlock_http::prelude::*;
use hemlock_settings::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::{ClusterKey, Identity};
use tokio::sync::watch;

use crate::announce::{Announced, Place};
use crate::command::Command;
use crate::control::{Control, ControlParts};
use crate::edge::{Edge, SharedPhase};
use crate::error::AgentError;
use crate::lane::{Ending, Lane};

/// Threads of the HTTP server, which serves one endpoint instance and a few probes.
const HTTP_THREADS: usize = 1;

/// Most connections to the HTTP server.
const HTTP_CONNECTIONS: usize = 64;

/// The agent's role.
pub struct Agent;

impl Agent {
    /// Starts an agent; it serves when this returns.
    ///
    /// # Errors
    /// Any [`AgentError`]: an address that can't be used, a faulty chart, no thread.
    pub fn start(settings: AgentSettings) -> Result<AgentHandle, AgentError> {
        let agent = Incarnation(rand::random());
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
        let listener = listen(settings.wire_address)?;
        let wire_address = listener
            .local_addr()
            .map_err(|error| AgentError::Listen(settings.wire_address, error))?;
        let config = GateConfig::new(agent).with_retention(DurationMs::new(settings.retention_ms));
        let gate = Gate::new(config)?;
        let (commands, received) = unbounded();
        let phase = SharedPhase::new();
        let http = start_http(&settings, agent, &commands, &phase)?;
        let (announced, announced_seen) = watch::channel(Announced::default());
        let (ending, ending_seen) = watch::channel(Ending::No);
        let ending = Arc::new(ending);
        let reached_at = settings.advertised_address.unwrap_or(wire_address);
        let place = Place::new(&settings, agent, reached_at);
        if let Some(endpoint) = &settings.endpoint {
            // The receiver is in this function.
            let _ = commands.send(Command::Event(Event::Announced(offer(endpoint))));
        }
        let lane = Lane {
            listener,
            identity: identity(&settings, agent),
            keepers: settings.keepers,
            commands: commands.clone(),
            clock: Arc::clone(&clock),
            announced: announced_seen,
            ending: ending_seen,
        };
        let control = ControlParts {
            gate,
            agent,
            place,
            clock,
            commands: commands.clone(),
            received,
            phase,
            announced,
            ending: Arc::clone(&ending),
        };
        let control = std::thread::Builder::new()
            .name("agent-control".to_owned())
            .spawn(move || Control::new(control).run())?;
        Ok(AgentHandle {
            agent,
            wire_address,
            http,
            commands,
            ending,
            lane: lane.start()?,
            control,
        })
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, AgentError> {
    let failed = |error| AgentError::Listen(address, error);
    let listener = TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}

fn start_http(
    settings: &AgentSettings,
    agent: Incarnation,
    commands: &Sender<Command>,
    phase: &SharedPhase,
) -> Result<HttpServer, AgentError> {
    let config = HttpServerConfig::new(settings.http_address)
        .with_threads(HTTP_THREADS)
        .with_max_connections(HTTP_CONNECTIONS)
        .with_instance(agent.to_string());
    let edge = Edge {
        commands: commands.clone(),
        phase: phase.clone(),
    };
    Ok(HttpServer::start(config, Arc::new(edge))?)
}

fn identity(settings: &AgentSettings, agent: Incarnation) -> Identity {
    Identity {
        role: Role::Agent,
        incarnation: agent,
        id: 0,
        cluster: settings.cluster.clone(),
        key: ClusterKey::new(settings.cluster_key.expose()),
    }
}

fn offer(endpoint: &EndpointSettings) -> Offer {
    Offer {
        service: endpoint.service.clone(),
        slots: endpoint.slots,
        connections: endpoint.connections,
        address: endpoint.address,
    }
}

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    agent: Incarnation,
    wire_address: SocketAddr,
    http: HttpServer,
    commands: Sender<Command>,
    ending: Arc<watch::Sender<Ending>>,
    lane: JoinHandle<()>,
    control: JoinHandle<()>,
}

impl AgentHandle {
    /// The agent's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.agent
    }

    /// Where entries reach it.
    pub fn wire_address(&self) -> SocketAddr {
        self.wire_address
    }

    /// Where the endpoint instance, health checks and metrics reach it.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Refuses new starts from now on and tells every entry; tasks that run go on to their
    /// end, then the agent withdraws its endpoint and ends.
    pub fn begin_drain(&self) {
        // A control thread that is gone has nothing left to drain.
        let _ = self.commands.send(Command::Event(Event::Stop));
    }

    /// The same as [`AgentHandle::begin_drain`]; [`AgentHandle::join`] waits for the end.
    pub fn stop(&self) {
        self.begin_drain();
    }

    /// Cuts every connection at once, like the death of the process. Its address is free when
    /// this returns; calls to the endpoint that run are left alone until [`AgentHandle::join`].
    pub fn kill(&self) {
        self.ending.send_replace(Ending::Cut);
        while !self.lane.is_finished() {
            std::thread::yield_now();
        }
    }

    /// Waits for the end and for every thread.
    ///
    /// # Panics
    /// Panics if one of the threads has panicked.
    pub fn join(self) {
        for thread in [self.lane, self.control] {
            if let Err(panic) = thread.join() {
                std::panic::resume_unwind(panic);
            }
        }
        self.http.stop();
        self.http.join();
    }
}
