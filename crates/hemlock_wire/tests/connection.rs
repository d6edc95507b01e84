//! Tests of connections over loopback: handshake, calls in both directions, and calls on closed
//! connections.

#![allow(clippy::unwrap_used)]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::oneshot;

const CONNECT_TIMEOUT: DurationMs = DurationMs::new(2_000);

/// Replies to a number with its double, and never replies to zero.
#[derive(Default)]
struct Doubler {
    peers: RefCell<Vec<(Peer, Link)>>,
    closed: RefCell<Vec<Peer>>,
}

impl Service for Doubler {
    fn answer(
        &self,
        _peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        async move {
            let number: u64 = decode(&frame)?;
            if number == 0 {
                std::future::pending::<()>().await;
            }
            Ok(encode(&(number * 2))?)
        }
        .boxed_local()
    }

    fn opened(&self, peer: Peer, link: Link) {
        self.peers.borrow_mut().push((peer, link));
    }

    fn closed(&self, peer: Peer) {
        self.closed.borrow_mut().push(peer);
    }
}

fn identity(role: Role, incarnation: u64, cluster: &str, key: &str) -> Rc<Identity> {
    Rc::new(Identity {
        role,
        incarnation: Incarnation(incarnation),
        id: 0,
        cluster: cluster.to_owned(),
        key: ClusterKey::new(key),
        source_ip: None,
    })
}

struct Server {
    address: SocketAddr,
    service: Rc<Doubler>,
    stop: oneshot::Sender<()>,
    task: tokio::task::JoinHandle<()>,
}

async fn start_server() -> Server {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = Rc::new(Doubler::default());
    let (stop, stopped) = oneshot::channel::<()>();
    let serve_future = serve(
        listener,
        identity(Role::Agent, 7, "test", "secret"),
        Rc::clone(&service) as Rc<dyn Service>,
        async move {
            let _ = stopped.await;
        },
    );
    let task = tokio::task::spawn_local(serve_future);
    Server {
        address,
        service,
        stop,
        task,
    }
}

async fn connect_to(server: &Server, cluster: &str, key: &str) -> Result<Connection, ConnectError> {
    let service = Rc::new(Doubler::default());
    connect(
        server.address,
        identity(Role::Entry, 9, cluster, key),
        service,
        CONNECT_TIMEOUT,
    )
    .await
}

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn calls_pass_in_both_directions() {
    run_local(async {
        let server = start_server().await;
        let connection = connect_to(&server, "test", "secret").await.unwrap();
        assert_eq!(
            (connection.peer.role, connection.peer.incarnation.0),
            (Role::Agent, 7)
        );
        let calls = (1..200_u64).map(|number| {
            let link = connection.link.clone();
            async move { link.call::<u64, u64>(&number).await.unwrap() }
        });
        let answers = futures::future::join_all(calls).await;
        assert!(
            answers
                .iter()
                .zip(1..)
                .all(|(answer, number)| *answer == number * 2)
        );
        let (peer, link_to_client) = server.service.peers.borrow()[0].clone();
        assert_eq!(peer.incarnation.0, 9);
        assert_eq!(link_to_client.call::<u64, u64>(&21).await.unwrap(), 42);
    });
}

#[test]
fn a_wrong_key_or_cluster_is_refused() {
    run_local(async {
        let server = start_server().await;
        for (cluster, key) in [("test", "guess"), ("other", "secret"), ("test", "")] {
            assert!(connect_to(&server, cluster, key).await.is_err());
        }
        assert!(server.service.peers.borrow().is_empty());
    });
}

#[test]
fn closing_fails_calls_in_flight_as_lost_and_later_calls_as_never_sent() {
    run_local(async {
        let server = start_server().await;
        let connection = connect_to(&server, "test", "secret").await.unwrap();
        let link = connection.link.clone();
        let in_flight = tokio::task::spawn_local(async move { link.call::<u64, u64>(&0).await });
        assert_eq!(connection.link.call::<u64, u64>(&1).await.unwrap(), 2);
        server.stop.send(()).unwrap();
        server.task.await.unwrap();
        assert!(matches!(in_flight.await.unwrap(), Err(CallError::Lost)));
        connection.until_closed().await;
        let later = connection.link.call::<u64, u64>(&1).await;
        assert!(matches!(later, Err(CallError::NeverSent)));
        assert_eq!(server.service.closed.borrow().len(), 1);
    });
}

#[test]
fn a_dropped_connection_is_reported_closed() {
    run_local(async {
        let server = start_server().await;
        let connection = connect_to(&server, "test", "secret").await.unwrap();
        let link_to_client = server.service.peers.borrow()[0].1.clone();
        connection.close();
        link_to_client.until_closed().await;
        let later = link_to_client.call::<u64, u64>(&1).await;
        assert!(matches!(later, Err(CallError::NeverSent)));
    });
}

#[test]
fn a_message_of_the_wrong_type_is_refused_and_the_link_stays_open() {
    run_local(async {
        let server = start_server().await;
        let connection = connect_to(&server, "test", "secret").await.unwrap();
        let wrong = connection.link.call::<(u64, u64), u64>(&(1, 2)).await;
        assert!(matches!(wrong, Err(CallError::Refused(_))));
        assert_eq!(connection.link.call::<u64, u64>(&4).await.unwrap(), 8);
    });
}
