//! The earliest time at which a request may have been sent.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hemlock_http::prelude::*;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const IDLE: Duration = Duration::from_millis(150);

/// Notes the largest possible age of each request.
#[derive(Default)]
struct Ages(Mutex<Vec<Duration>>);

impl HttpHandler for Ages {
    fn handle(&self, request: HttpRequest, responder: Responder) {
        let mut ages = self.0.lock().expect("nobody panics with it");
        ages.push(request.sent_after.elapsed());
        responder.send(HttpResponse::new(200));
    }
}

fn read_response(stream: &mut TcpStream) {
    let mut response = Vec::new();
    while !response.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a response");
        response.extend(byte);
    }
}

/// Guards against requests that count as new although they were sent before the server stood still.
#[test]
fn a_request_may_be_as_old_as_its_connection_or_the_response_before_it() {
    let ages = Arc::new(Ages::default());
    let config = HttpServerConfig::new("127.0.0.1:0".parse().expect("an address"));
    let handler = Arc::clone(&ages) as Arc<dyn HttpHandler>;
    let server = HttpServer::start(config, handler).expect("loopback has ports");
    let mut stream = TcpStream::connect(server.address()).expect("the port is open");
    std::thread::sleep(IDLE);
    let sent_at = Instant::now();
    // The second request is pipelined behind the first one.
    stream.write_all(&REQUEST.repeat(2)).expect("a write");
    read_response(&mut stream);
    read_response(&mut stream);
    std::thread::sleep(IDLE);
    stream.write_all(REQUEST).expect("a write");
    read_response(&mut stream);
    server.stop();
    let ages = ages.0.lock().expect("nobody panics with it").clone();
    assert!(ages[0] >= IDLE, "since the accept: {ages:?}");
    assert!(ages[1] >= IDLE, "pipelined: {ages:?}");
    assert!(ages[2] >= IDLE, "since the response: {ages:?}");
    assert!(ages[2] <= sent_at.elapsed(), "since the response: {ages:?}");
}
