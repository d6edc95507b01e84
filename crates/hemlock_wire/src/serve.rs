//! Accepting connections from peers.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side as VatSide;
use hemlock_types::prelude::*;
use tokio::net::{TcpListener, TcpStream};

use crate::connect::{introduced_peer, network, next_connection_id, spawn_system};
use crate::identity::{ConnectionId, Identity, Peer};
use crate::link::{ConnectionState, Link, LinkServer};
use crate::link_capnp::{door, link};
use crate::proof::{Introduction, NONCE_BYTES, Side, draw_nonce, is_proof, prove};
use crate::service::Service;

/// Longest time that a peer may take for its handshake.
const HANDSHAKE_TIMEOUT: DurationMs = DurationMs::new(5_000);
/// Pause after a failure to accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: DurationMs = DurationMs::new(50);
/// Counts peers that were turned away.
const REFUSED_TOTAL: &str = "hemlock_wire_peers_refused_total";

/// Accepts connections until `stop` resolves, then closes them all and returns.
///
/// # Panics
///
/// When called outside a local task set.
pub async fn serve(
    listener: TcpListener,
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    stop: impl Future<Output = ()>,
) {
    let mut open = OpenConnections::default();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => open.start(stream, &identity, &service),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE.as_std()).await,
            },
        }
    }
    drop(listener);
    open.close_all().await;
}

type Disconnector = capnp_rpc::Disconnector<VatSide>;

/// A running connection and the means to end it.
struct Running {
    task: tokio::task::JoinHandle<()>,
    disconnector: Disconnector,
}

#[derive(Default)]
struct OpenConnections {
    running: Vec<Running>,
}

impl OpenConnections {
    fn start(&mut self, stream: TcpStream, identity: &Rc<Identity>, service: &Rc<dyn Service>) {
        self.running
            .retain(|connection| !connection.task.is_finished());
        if let Ok(connection) = start_connection(stream, identity, service) {
            self.running.push(connection);
        }
    }

    async fn close_all(self) {
        for connection in self.running {
            // A connection that is closed already has nothing left to end.
            let _ = connection.disconnector.await;
            let _ = connection.task.await;
        }
    }
}

fn start_connection(
    stream: TcpStream,
    identity: &Rc<Identity>,
    service: &Rc<dyn Service>,
) -> Result<Running, std::io::Error> {
    let state = Rc::new(ConnectionState::default());
    let peer = Rc::new(OnceCell::new());
    let door = DoorServer {
        identity: Rc::clone(identity),
        service: Rc::clone(service),
        nonce: RefCell::new(None),
        connection: next_connection_id(),
        peer: Rc::clone(&peer),
        state: Rc::clone(&state),
        opened: Rc::new(Cell::new(false)),
    };
    let opened = Rc::clone(&door.opened);
    let door: door::Client = capnp_rpc::new_client(door);
    let network = network(stream, VatSide::Server)?;
    let system = RpcSystem::new(Box::new(network), Some(door.client));
    let disconnector = system.get_disconnector();
    spawn_handshake_guard(&state, &peer, system.get_disconnector());
    let service = Rc::clone(service);
    let task = spawn_system(system, state, move || match peer.get() {
        Some(peer) if opened.get() => service.closed(*peer),
        _ => {}
    });
    Ok(Running { task, disconnector })
}

/// Closes a connection whose handshake does not end in time.
fn spawn_handshake_guard(
    state: &Rc<ConnectionState>,
    peer: &Rc<OnceCell<Peer>>,
    disconnector: Disconnector,
) {
    let state = Rc::clone(state);
    let peer = Rc::clone(peer);
    tokio::task::spawn_local(async move {
        let waited = tokio::time::timeout(HANDSHAKE_TIMEOUT.as_std(), state.until_closed()).await;
        if waited.is_err() && peer.get().is_none() {
            metrics::counter!(REFUSED_TOTAL, "cause" => "handshake-timeout").increment(1);
            // A connection that is closed already has nothing left to end.
            let _ = disconnector.await;
        }
    });
}

/// Serves the handshake of one accepted connection.
struct DoorServer {
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    /// The nonce of the latest challenge, until a proof has used it.
    nonce: RefCell<Option<[u8; NONCE_BYTES]>>,
    connection: ConnectionId,
    peer: Rc<OnceCell<Peer>>,
    state: Rc<ConnectionState>,
    /// Whether the service was told of the peer.
    opened: Rc<Cell<bool>>,
}

impl door::Server for DoorServer {
    fn challenge(
        self: Rc<Self>,
        _params: door::ChallengeParams,
        mut results: door::ChallengeResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let nonce = draw_nonce();
        self.nonce.replace(Some(nonce));
        results.get().set_nonce(&nonce);
        std::future::ready(Ok(()))
    }

    fn open(
        self: Rc<Self>,
        params: door::OpenParams,
        results: door::OpenResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        std::future::ready(self.admit(&params, results))
    }
}

impl DoorServer {
    fn admit(
        &self,
        params: &door::OpenParams,
        mut results: door::OpenResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let hello = params.get_hello()?;
        let theirs = Introduction {
            role_number: hello.get_role(),
            incarnation: hello.get_incarnation(),
            id: hello.get_id(),
        };
        let connecting_nonce = params.get_nonce()?;
        let Some(nonce) = self.nonce.take() else {
            return Err(refuse("replay"));
        };
        let proof = params.get_proof()?;
        if !is_proof(
            &self.identity,
            Side::Connecting,
            theirs,
            &nonce,
            connecting_nonce,
            proof,
        ) {
            return Err(refuse("proof"));
        }
        let peer = introduced_peer(theirs, self.connection).ok_or_else(|| refuse("role"))?;
        if self.peer.set(peer).is_err() {
            return Err(refuse("opened-twice"));
        }
        let own = Introduction::of(&self.identity);
        let own_proof = prove(
            &self.identity,
            Side::Accepting,
            own,
            &nonce,
            connecting_nonce,
        );
        let server = LinkServer {
            peer: Rc::clone(&self.peer),
            service: Rc::clone(&self.service),
        };
        let link: link::Client = capnp_rpc::new_client(server);
        let back = Link::new(params.get_back()?, Rc::clone(&self.state));
        let mut answer = results.get();
        answer.set_proof(&own_proof);
        answer.set_link(link);
        let mut hello = answer.init_hello();
        hello.set_role(own.role_number);
        hello.set_incarnation(own.incarnation);
        hello.set_id(own.id);
        self.opened.set(true);
        self.service.opened(peer, back);
        Ok(())
    }
}

fn refuse(cause: &'static str) -> capnp::Error {
    metrics::counter!(REFUSED_TOTAL, "cause" => cause).increment(1);
    capnp::Error::failed("the handshake was refused".to_owned())
}
