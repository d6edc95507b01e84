//! Opening a connection to a peer.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

use capnp_rpc::rpc_twoparty_capnp::Side as VatSide;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{Disconnector, RpcSystem};
use futures::io::{BufReader, BufWriter};
use hemlock_types::prelude::*;
use tokio::net::TcpStream;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::counted::Counted;
use crate::error::ConnectError;
use crate::identity::{ConnectionId, Identity, Peer, role_from_number};
use crate::link::{ConnectionState, Link, LinkServer};
use crate::link_capnp::{door, link};
use crate::proof::{Introduction, Side, draw_nonce, is_proof, prove};
use crate::service::Service;

/// Most 8-byte words that one received message may hold: 32 MiB.
const MESSAGE_MAX_WORDS: usize = 4 * 1024 * 1024;

/// An open connection that this process made. Dropping it closes it.
pub struct Connection {
    /// The process at the other end.
    pub peer: Peer,
    /// Calls the peer.
    pub link: Link,
    disconnector: Option<Disconnector<VatSide>>,
}

impl Connection {
    /// Returns once the connection is closed by either side.
    pub async fn until_closed(&self) {
        self.link.until_closed().await;
    }

    /// Closes the connection.
    pub fn close(self) {}
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(disconnector) = self.disconnector.take() {
            tokio::task::spawn_local(disconnector);
        }
    }
}

/// Opens a connection and proves the cluster key in both directions.
///
/// # Errors
///
/// [`ConnectError`] when the address does not accept, the handshake does not end within
/// `timeout`, or the peer does not hold the cluster key.
///
/// # Panics
///
/// When called outside a local task set.
pub async fn connect(
    address: SocketAddr,
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
    timeout: DurationMs,
) -> Result<Connection, ConnectError> {
    let opening = open_connection(address, identity, service);
    match tokio::time::timeout(timeout.as_std(), opening).await {
        Ok(result) => result,
        Err(_) => Err(ConnectError::Timeout),
    }
}

async fn open_connection(
    address: SocketAddr,
    identity: Rc<Identity>,
    service: Rc<dyn Service>,
) -> Result<Connection, ConnectError> {
    let stream = TcpStream::connect(address).await?;
    let mut system = RpcSystem::new(Box::new(network(stream, VatSide::Client)?), None);
    let door: door::Client = system.bootstrap(VatSide::Server);
    let disconnector = DisconnectOnDrop(Some(system.get_disconnector()));
    let state = Rc::new(ConnectionState::default());
    spawn_system(system, Rc::clone(&state), || {});
    let known_peer = Rc::new(OnceCell::new());
    let back = LinkServer {
        peer: Rc::clone(&known_peer),
        service,
    };
    let (peer, client) = shake_hands(&door, &identity, capnp_rpc::new_client(back)).await?;
    known_peer.get_or_init(|| peer);
    Ok(Connection {
        peer,
        link: Link::new(client, state),
        disconnector: disconnector.keep(),
    })
}

/// Closes a connection whose handshake does not succeed.
struct DisconnectOnDrop(Option<Disconnector<VatSide>>);

impl DisconnectOnDrop {
    fn keep(mut self) -> Option<Disconnector<VatSide>> {
        self.0.take()
    }
}

impl Drop for DisconnectOnDrop {
    fn drop(&mut self) {
        if let Some(disconnector) = self.0.take() {
            tokio::task::spawn_local(disconnector);
        }
    }
}

async fn shake_hands(
    door: &door::Client,
    identity: &Identity,
    back: link::Client,
) -> Result<(Peer, link::Client), ConnectError> {
    let challenge = door.challenge_request().send().promise.await?;
    let accepting_nonce = challenge.get()?.get_nonce()?.to_vec();
    let connecting_nonce = draw_nonce();
    let own = Introduction::of(identity);
    let proof = prove(
        identity,
        Side::Connecting,
        own,
        &accepting_nonce,
        &connecting_nonce,
    );
    let mut request = door.open_request();
    let mut params = request.get();
    params.set_nonce(&connecting_nonce);
    params.set_proof(&proof);
    params.set_back(back);
    let mut hello = params.init_hello();
    hello.set_role(own.role_number);
    hello.set_incarnation(own.incarnation);
    hello.set_id(own.id);
    let response = request.send().promise.await?;
    let results = response.get()?;
    let hello = results.get_hello()?;
    let theirs = Introduction {
        role_number: hello.get_role(),
        incarnation: hello.get_incarnation(),
        id: hello.get_id(),
    };
    let proof = results.get_proof()?;
    if !is_proof(
        identity,
        Side::Accepting,
        theirs,
        &accepting_nonce,
        &connecting_nonce,
        proof,
    ) {
        return Err(ConnectError::Unproven);
    }
    let peer = introduced_peer(theirs, next_connection_id()).ok_or(ConnectError::Unproven)?;
    Ok((peer, results.get_link()?))
}

/// The peer that an introduction names; `None` for an unknown role.
pub(crate) fn introduced_peer(theirs: Introduction, connection: ConnectionId) -> Option<Peer> {
    Some(Peer {
        role: role_from_number(theirs.role_number)?,
        incarnation: Incarnation(theirs.incarnation),
        id: theirs.id,
        connection,
    })
}

/// Draws the next connection id of this process.
pub(crate) fn next_connection_id() -> ConnectionId {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    ConnectionId(NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The RPC library's network over a TCP stream.
pub(crate) fn network(
    stream: TcpStream,
    side: VatSide,
) -> Result<VatNetwork<BufReader<impl futures::AsyncRead + Unpin>>, std::io::Error> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_MAX_WORDS));
    Ok(VatNetwork::new(
        BufReader::new(Counted::received(reader.compat())),
        BufWriter::new(Counted::sent(writer.compat_write())),
        side,
        options,
    ))
}

/// Drives the connection until it ends, then marks it closed and calls `ended`.
pub(crate) fn spawn_system(
    system: RpcSystem<VatSide>,
    state: Rc<ConnectionState>,
    ended: impl FnOnce() + 'static,
) -> tokio::task::JoinHandle<()> {
    tokio::task::spawn_local(async move {
        // How the connection ended makes no difference to its users: it is closed.
        let _ = system.await;
        state.mark_closed();
        ended();
    })
}
