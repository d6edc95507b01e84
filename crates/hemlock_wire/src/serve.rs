//! Accepts connections from other processes of the cluster.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side as VatSide;
use hemlock_types::prelude::*;
use tokio::net::{TcpListener, TcpStream};

use crate::connect::{next_connection_id, peer_from_hello, rpc_network, spawn_rpc_system};
use crate::identity::{ConnectionId, Identity, Peer};
use crate::link::{ConnectionState, Link, LinkServer};
use crate::link_capnp::{door, link};
use crate::proof::{Hello, NONCE_BYTES, Side, create_proof, generate_nonce, verify_proof};
use crate::service::Service;

/// Time limit for the handshake of an accepted connection.
const HANDSHAKE_TIMEOUT: DurationMs = DurationMs::new(5_000);
/// Delay after a failed accept, so that the loop doesn't spin when the process has no free file
/// descriptors.
const ACCEPT_RETRY_DELAY: DurationMs = DurationMs::new(50);
/// Counter of refused peers, by cause.
const REFUSED_TOTAL: &str = "hemlock_wire_peers_refused_total";

/// Accepts connections until `stop` resolves, then closes all connections and returns.
///
/// # Panics
///
/// Panics if called outside a [`LocalSet`](tokio::task::LocalSet).
pub async fn serve(
    listener: TcpListener,
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    stop: impl Future<Output = ()>,
) {
    let mut connections = OpenConnections::default();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => connections.start(stream, &identity, &service),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY.as_std()).await,
            },
        }
    }
    drop(listener);
    connections.close_all().await;
}

type Disconnector = capnp_rpc::Disconnector<VatSide>;

/// An accepted connection, with its task and a handle to close it.
struct AcceptedConnection {
    task: tokio::task::JoinHandle<()>,
    disconnector: Disconnector,
}

#[derive(Default)]
struct OpenConnections {
    connections: Vec<AcceptedConnection>,
}

impl OpenConnections {
    fn start(&mut self, stream: TcpStream, identity: &Rc<Identity>, service: &Rc<dyn Service>) {
        self.connections
            .retain(|connection| !connection.task.is_finished());
        if let Ok(connection) = accept_connection(stream, identity, service) {
            self.connections.push(connection);
        }
    }

    async fn close_all(self) {
        for connection in self.connections {
            // Errors are ignored: the connection may be closed already.
            let _ = connection.disconnector.await;
            let _ = connection.task.await;
        }
    }
}

fn accept_connection(
    stream: TcpStream,
    identity: &Rc<Identity>,
    service: &Rc<dyn Service>,
) -> Result<AcceptedConnection, std::io::Error> {
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
    let network = rpc_network(stream, VatSide::Server)?;
    let system = RpcSystem::new(Box::new(network), Some(door.client));
    let disconnector = system.get_disconnector();
    spawn_handshake_timeout(&state, &peer, system.get_disconnector());
    let service = Rc::clone(service);
    let task = spawn_rpc_system(system, state, move || match peer.get() {
        Some(peer) if opened.get() => service.closed(*peer),
        _ => {}
    });
    Ok(AcceptedConnection { task, disconnector })
}

/// Spawns a task that closes the connection if the handshake is not complete in time.
fn spawn_handshake_timeout(
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
            // Errors are ignored: the connection may be closed already.
            let _ = disconnector.await;
        }
    });
}

/// Serves the handshake of one accepted connection. It is the only object that a peer can call
/// before it has proved that it holds the cluster key.
struct DoorServer {
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    /// The nonce of the latest challenge. Taken by the first proof, so that no proof can be
    /// replayed.
    nonce: RefCell<Option<[u8; NONCE_BYTES]>>,
    connection: ConnectionId,
    peer: Rc<OnceCell<Peer>>,
    state: Rc<ConnectionState>,
    /// Whether [`Service::opened`] was called for the peer, so that [`Service::closed`] is due.
    opened: Rc<Cell<bool>>,
}

impl door::Server for DoorServer {
    fn challenge(
        self: Rc<Self>,
        _params: door::ChallengeParams,
        mut results: door::ChallengeResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let nonce = generate_nonce();
        self.nonce.replace(Some(nonce));
        results.get().set_nonce(&nonce);
        std::future::ready(Ok(()))
    }

    fn open(
        self: Rc<Self>,
        params: door::OpenParams,
        results: door::OpenResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        std::future::ready(self.authenticate(&params, results))
    }
}

impl DoorServer {
    /// Verifies the peer's proof, answers with the proof of this process, and exchanges links.
    fn authenticate(
        &self,
        params: &door::OpenParams,
        mut results: door::OpenResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let hello_message = params.get_hello()?;
        let peer_hello = Hello {
            role_number: hello_message.get_role(),
            incarnation: hello_message.get_incarnation(),
            id: hello_message.get_id(),
        };
        let connecting_nonce = params.get_nonce()?;
        let Some(nonce) = self.nonce.take() else {
            return Err(refusal_error("replay"));
        };
        let proof = params.get_proof()?;
        if !verify_proof(
            &self.identity,
            Side::Connecting,
            peer_hello,
            &nonce,
            connecting_nonce,
            proof,
        ) {
            return Err(refusal_error("proof"));
        }
        let peer =
            peer_from_hello(peer_hello, self.connection).ok_or_else(|| refusal_error("role"))?;
        if self.peer.set(peer).is_err() {
            return Err(refusal_error("opened-twice"));
        }
        let own_hello = Hello::from_identity(&self.identity);
        let own_proof = create_proof(
            &self.identity,
            Side::Accepting,
            own_hello,
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
        let mut hello_message = answer.init_hello();
        hello_message.set_role(own_hello.role_number);
        hello_message.set_incarnation(own_hello.incarnation);
        hello_message.set_id(own_hello.id);
        self.opened.set(true);
        self.service.opened(peer, back);
        Ok(())
    }
}

/// Counts a refused handshake and builds the peer's error. The peer doesn't learn the cause.
fn refusal_error(cause: &'static str) -> capnp::Error {
    metrics::counter!(REFUSED_TOTAL, "cause" => cause).increment(1);
    capnp::Error::failed("handshake refused".to_owned())
}
