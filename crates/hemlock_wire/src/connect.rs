//! Opens connections to other processes of the cluster.

use std::cell::OnceCell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

use capnp_rpc::rpc_twoparty_capnp::Side as VatSide;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{Disconnector, RpcSystem};
use futures::io::{BufReader, BufWriter};
use hemlock_types::prelude::*;
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::counted_stream::CountedStream;
use crate::error::ConnectError;
use crate::identity::{ConnectionId, Identity, Peer, role_from_number};
use crate::link::{ConnectionState, Link, LinkServer};
use crate::link_capnp::{door, link};
use crate::proof::{Hello, Side, create_proof, generate_nonce, verify_proof};
use crate::service::Service;

/// Largest received message, in words of 8 bytes: 32 MiB.
const MAX_MESSAGE_WORDS: usize = 4 * 1024 * 1024;

/// A connection that this process has opened. Dropping it closes the connection.
pub struct Connection {
    /// The process at the other end.
    pub peer: Peer,
    /// Sends requests to the peer.
    pub link: Link,
    disconnector: Option<Disconnector<VatSide>>,
}

impl Connection {
    /// Waits until either side has closed the connection.
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

/// Opens a connection to `address`. Both sides prove to each other that they hold the cluster key.
///
/// `service` answers the requests that the peer sends over this connection.
///
/// # Errors
///
/// Returns a [`ConnectError`] if the address does not accept the connection, if the handshake is
/// not complete within `timeout`, or if the peer does not hold the cluster key.
///
/// # Panics
///
/// Panics if called outside a [`LocalSet`](tokio::task::LocalSet).
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
    let stream = open_stream(address, identity.source_ip).await?;
    let mut system = RpcSystem::new(Box::new(rpc_network(stream, VatSide::Client)?), None);
    let door: door::Client = system.bootstrap(VatSide::Server);
    let disconnector = DisconnectOnDrop(Some(system.get_disconnector()));
    let state = Rc::new(ConnectionState::default());
    spawn_rpc_system(system, Rc::clone(&state), || {});
    let known_peer = Rc::new(OnceCell::new());
    let callback = LinkServer {
        peer: Rc::clone(&known_peer),
        service,
    };
    let (peer, client) =
        perform_handshake(&door, &identity, capnp_rpc::new_client(callback)).await?;
    known_peer.get_or_init(|| peer);
    Ok(Connection {
        peer,
        link: Link::new(client, state),
        disconnector: disconnector.disarm(),
    })
}

async fn open_stream(address: SocketAddr, source_ip: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source_ip) = source_ip else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source_ip, 0))?;
    socket.connect(address).await
}

/// Closes the connection when dropped, unless [`disarm`](Self::disarm) was called. Guards the
/// handshake: if it fails or times out, the connection is closed.
struct DisconnectOnDrop(Option<Disconnector<VatSide>>);

impl DisconnectOnDrop {
    fn disarm(mut self) -> Option<Disconnector<VatSide>> {
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

async fn perform_handshake(
    door: &door::Client,
    identity: &Identity,
    callback: link::Client,
) -> Result<(Peer, link::Client), ConnectError> {
    let challenge = door.challenge_request().send().promise.await?;
    let accepting_nonce = challenge.get()?.get_nonce()?.to_vec();
    let connecting_nonce = generate_nonce();
    let own_hello = Hello::from_identity(identity);
    let proof = create_proof(
        identity,
        Side::Connecting,
        own_hello,
        &accepting_nonce,
        &connecting_nonce,
    );
    let mut request = door.open_request();
    let mut params = request.get();
    params.set_nonce(&connecting_nonce);
    params.set_proof(&proof);
    params.set_back(callback);
    let mut hello_message = params.init_hello();
    hello_message.set_role(own_hello.role_number);
    hello_message.set_incarnation(own_hello.incarnation);
    hello_message.set_id(own_hello.id);
    let response = request.send().promise.await?;
    let results = response.get()?;
    let hello_message = results.get_hello()?;
    let peer_hello = Hello {
        role_number: hello_message.get_role(),
        incarnation: hello_message.get_incarnation(),
        id: hello_message.get_id(),
    };
    let proof = results.get_proof()?;
    if !verify_proof(
        identity,
        Side::Accepting,
        peer_hello,
        &accepting_nonce,
        &connecting_nonce,
        proof,
    ) {
        return Err(ConnectError::AuthenticationFailed);
    }
    let peer = peer_from_hello(peer_hello, next_connection_id())
        .ok_or(ConnectError::AuthenticationFailed)?;
    Ok((peer, results.get_link()?))
}

/// The peer described by its hello; `None` if the role is unknown.
pub(crate) fn peer_from_hello(peer_hello: Hello, connection: ConnectionId) -> Option<Peer> {
    Some(Peer {
        role: role_from_number(peer_hello.role_number)?,
        incarnation: Incarnation(peer_hello.incarnation),
        id: peer_hello.id,
        connection,
    })
}

/// Returns a connection id that this process has not used yet.
pub(crate) fn next_connection_id() -> ConnectionId {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    ConnectionId(NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Wraps a TCP stream as the two-party network of the Cap'n Proto RPC library. Counts the bytes in
/// both directions and limits the size of received messages.
pub(crate) fn rpc_network(
    stream: TcpStream,
    side: VatSide,
) -> Result<VatNetwork<BufReader<impl futures::AsyncRead + Unpin>>, std::io::Error> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    Ok(VatNetwork::new(
        BufReader::new(CountedStream::received(reader.compat())),
        BufWriter::new(CountedStream::sent(writer.compat_write())),
        side,
        options,
    ))
}

/// Spawns a task that drives the connection until it ends, then marks it as closed and calls
/// `on_closed`.
pub(crate) fn spawn_rpc_system(
    system: RpcSystem<VatSide>,
    state: Rc<ConnectionState>,
    on_closed: impl FnOnce() + 'static,
) -> tokio::task::JoinHandle<()> {
    tokio::task::spawn_local(async move {
        // Users of the connection treat an error and a normal end alike: it is closed.
        let _ = system.await;
        state.mark_closed();
        on_closed();
    })
}
