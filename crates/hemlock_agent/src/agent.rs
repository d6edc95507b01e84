//! Starting and stopping an agent.

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

use crate::announce::{AgentInfo, AnnouncedState};
use crate::command::Command;
use crate::control::{Control, ControlParts};
use crate::error::AgentError;
use crate::http_api::{HttpApi, SharedPhase};
use crate::lane::{Lane, Shutdown};

/// Threads of the HTTP server. One is enough for an endpoint instance and a few probes.
const HTTP_THREADS: usize = 1;

/// Most connections to the HTTP server.
const MAX_HTTP_CONNECTIONS: usize = 64;

/// The agent role.
pub struct Agent;

impl Agent {
    /// Starts an agent. It accepts connections when this returns.
    ///
    /// # Errors
    /// Returns an [`AgentError`] if an address can't be used, a state chart is invalid, or a thread
    /// can't be started.
    pub fn start(settings: AgentSettings) -> Result<AgentHandle, AgentError> {
        let agent = Incarnation(rand::random());
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::start());
        let listener = listen(settings.wire_address)?;
        let wire_address = listener
            .local_addr()
            .map_err(|error| AgentError::Listen(settings.wire_address, error))?;
        let config = GateConfig::new(agent).with_retention(DurationMs::new(settings.retention_ms));
        let gate = Gate::new(config)?;
        let (commands, command_receiver) = unbounded();
        let phase = SharedPhase::new();
        let http = start_http(&settings, agent, &commands, &phase)?;
        let (announced, announced_receiver) = watch::channel(AnnouncedState::default());
        let (shutdown, shutdown_receiver) = watch::channel(Shutdown::NotRequested);
        let shutdown = Arc::new(shutdown);
        let entry_address = settings.advertised_address.unwrap_or(wire_address);
        let info = AgentInfo::new(&settings, agent, entry_address);
        if let Some(endpoint) = &settings.endpoint {
            // Sending can't fail: this function still holds the receiver.
            let _ = commands.send(Command::Event(Event::Announced(offer(endpoint))));
        }
        let lane = Lane {
            listener,
            identity: identity(&settings, agent),
            keepers: settings.keepers,
            commands: commands.clone(),
            clock: Arc::clone(&clock),
            announced: announced_receiver,
            shutdown: shutdown_receiver,
        };
        let control = ControlParts {
            gate,
            agent,
            info,
            clock,
            commands: commands.clone(),
            command_receiver,
            phase,
            announced,
            shutdown: Arc::clone(&shutdown),
        };
        let control = std::thread::Builder::new()
            .name("agent-control".to_owned())
            .spawn(move || Control::new(control).run())?;
        Ok(AgentHandle {
            agent,
            wire_address,
            http,
            commands,
            shutdown,
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
        .with_max_connections(MAX_HTTP_CONNECTIONS)
        .with_instance(agent.to_string());
    let api = HttpApi {
        commands: commands.clone(),
        phase: phase.clone(),
    };
    Ok(HttpServer::start(config, Arc::new(api))?)
}

fn identity(settings: &AgentSettings, agent: Incarnation) -> Identity {
    Identity {
        role: Role::Agent,
        incarnation: agent,
        id: 0,
        cluster: settings.cluster.clone(),
        key: ClusterKey::new(settings.cluster_key.expose()),
        source_ip: None,
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
    shutdown: Arc<watch::Sender<Shutdown>>,
    lane: JoinHandle<()>,
    control: JoinHandle<()>,
}

impl AgentHandle {
    /// The random id of this run of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.agent
    }

    /// The address that the agent listens on for entries.
    pub fn wire_address(&self) -> SocketAddr {
        self.wire_address
    }

    /// The address of the HTTP server for the endpoint instance, health checks and metrics.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Begins a planned stop: the agent refuses new starts and notifies every entry, finishes its
    /// running tasks, withdraws its endpoint from the directory and then ends.
    pub fn begin_drain(&self) {
        // If the control thread has ended, nothing is left to drain.
        let _ = self.commands.send(Command::Event(Event::Stop));
    }

    /// Same as [`AgentHandle::begin_drain`]; use [`AgentHandle::join`] to wait for the end.
    pub fn stop(&self) {
        self.begin_drain();
    }

    /// Closes every connection at once, as a crash of the process would. The wire address is free
    /// when this returns. Running calls to the endpoint continue; [`AgentHandle::join`] waits for
    /// them.
    pub fn kill(&self) {
        self.shutdown.send_replace(Shutdown::Immediate);
        while !self.lane.is_finished() {
            std::thread::yield_now();
        }
    }

    /// Waits until the agent has ended, and joins its threads.
    ///
    /// # Panics
    /// Panics if a thread of the agent has panicked.
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
