//! Requests whose connections are reset before the server reads them.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use hemlock_http::prelude::*;
use tokio::sync::watch;

const REQUEST: &[u8] = b"POST /job HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nwork";
/// Time for which the server may read what has arrived.
const SERVING: Duration = Duration::from_millis(100);

/// Counts requests and answers them.
#[derive(Default)]
struct Counter(AtomicUsize);

impl HttpHandler for Counter {
    fn handle(&self, _: HttpRequest, responder: Responder) {
        self.0.fetch_add(1, Ordering::Relaxed);
        responder.send(HttpResponse::new(200));
    }
}

/// Sends a request on a new connection and returns the connection.
fn send_request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the port is open");
    stream.write_all(REQUEST).expect("the socket takes it");
    stream
}

fn reset(stream: TcpStream) {
    let linger = Some(Duration::ZERO);
    rustix::net::sockopt::set_socket_linger(&stream, linger).expect("an option");
    drop(stream);
}

/// Serves what has arrived at the listener, and returns the number of requests that were handled.
fn serve_for_a_while(listener: TcpListener) -> usize {
    let address = listener.local_addr().expect("it is bound");
    listener.set_nonblocking(true).expect("it can be polled");
    let counter = Arc::new(Counter::default());
    let handler: Arc<dyn HttpHandler> = Arc::clone(&counter) as Arc<dyn HttpHandler>;
    let (_stop, stopped) = watch::channel(false);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let serving = serve_on(listener, HttpServerConfig::new(address), handler, stopped);
        let _ = tokio::time::timeout(SERVING, serving).await;
    });
    counter.0.load(Ordering::Relaxed)
}

/// Guards against work that runs twice at once: a server that was behind handled a request after
/// its connection had been reset, while the client had sent it to another server.
#[test]
fn a_request_whose_connection_was_reset_is_not_handled() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
    let address = listener.local_addr().expect("it is bound");
    reset(send_request(address));
    assert_eq!(serve_for_a_while(listener), 0);
}

#[test]
fn requests_on_open_connections_are_handled() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
    let address = listener.local_addr().expect("it is bound");
    let first = send_request(address);
    let mut pipelined = send_request(address);
    pipelined.write_all(REQUEST).expect("the socket takes it");
    let (done, waiting) = mpsc::channel::<()>();
    let clients = std::thread::spawn(move || {
        let _ = waiting.recv();
        drop((first, pipelined));
    });
    assert_eq!(serve_for_a_while(listener), 3);
    drop(done);
    clients.join().expect("it ends");
}
