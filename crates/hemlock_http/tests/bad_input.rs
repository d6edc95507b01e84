//! Tests that the server refuses invalid requests over real sockets with a specific status, without
//! calling the handler.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hemlock_http::prelude::*;

const MAX_HEAD_BYTES: usize = 2_048;
const MAX_BODY_BYTES: usize = 4_096;
const READ_TIMEOUT_MS: u64 = 300;

/// Echoes request bodies and counts the requests that it handles.
#[derive(Default)]
struct EchoHandler {
    handled: AtomicU64,
}

impl HttpHandler for EchoHandler {
    fn handle(&self, request: HttpRequest, responder: Responder) {
        self.handled.fetch_add(1, Ordering::SeqCst);
        responder.send(HttpResponse::new(200).with_body(request.body, "text/plain"));
    }
}

fn start(
    configure: impl FnOnce(HttpServerConfig) -> HttpServerConfig,
) -> (HttpServer, Arc<EchoHandler>) {
    let address = "127.0.0.1:0".parse().expect("the test's own set-up works");
    let config = HttpServerConfig::new(address)
        .with_max_head_bytes(MAX_HEAD_BYTES)
        .with_max_body_bytes(MAX_BODY_BYTES)
        .with_read_timeout_ms(READ_TIMEOUT_MS)
        .with_threads(1);
    let echo = Arc::new(EchoHandler::default());
    let server =
        HttpServer::start(configure(config), echo.clone()).expect("the test's own set-up works");
    (server, echo)
}

/// Sends raw bytes, closes the sending side, and reads until the server closes the connection.
fn exchange(server: &HttpServer, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(server.address()).expect("the test's own set-up works");
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("the test's own set-up works");
    // The server may refuse and close the connection before everything is written.
    drop(stream.write_all(bytes));
    drop(stream.shutdown(Shutdown::Write));
    read_all(&mut stream)
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer));
    String::from_utf8_lossy(&answer).into_owned()
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

#[test]
fn malformed_requests_are_refused_before_the_handler() {
    let (server, echo) = start(|config| config);
    let cases: [(&[u8], &str); 18] = [
        (b"\x00\x01\x02\x03\r\n\r\n", "400"),
        (b"GET /\r\n\r\n", "400"),
        (b"GET  / HTTP/1.1\r\n\r\n", "400"),
        (b"get / HTTP/1.1\r\n\r\n", "400"),
        (b"GET nowhere HTTP/1.1\r\n\r\n", "400"),
        (b"GET / SMTP/1.1\r\n\r\n", "400"),
        (b"GET / HTTP/2.0\r\n\r\n", "505"),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", "400"),
        (b"GET / HTTP/1.1\r\nname : value\r\n\r\n", "400"),
        (b"GET / HTTP/1.1\r\n: value\r\n\r\n", "400"),
        (b"GET / HTTP/1.1\r\nname: \xff\xfe\r\n\r\n", "400"),
        (b"GET /\xff HTTP/1.1\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nContent-Length: 1e3\r\n\r\n", "400"),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            "411",
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "411",
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
            "413",
        ),
        (
            b"POST / HTTP/1.1\r\nExpect: a miracle\r\nContent-Length: 1\r\n\r\na",
            "417",
        ),
    ];
    for (bytes, expected) in cases {
        let answer = exchange(&server, bytes);
        let request_text = String::from_utf8_lossy(bytes);
        assert_eq!(status(&answer), expected, "{request_text:?} got {answer:?}");
        assert!(answer.contains("nothing ran for this request"), "{answer}");
        assert!(answer.contains("Hemlock-Reason: "), "{answer}");
        assert!(!answer.contains("Hemlock-Outcome"), "{answer}");
    }
    assert_eq!(echo.handled.load(Ordering::SeqCst), 0);
    server.join();
}

#[test]
fn truncated_requests_are_refused() {
    let (server, echo) = start(|config| config);
    let whole = b"POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\n0123456789";
    for length in 1..whole.len() {
        let answer = exchange(&server, &whole[..length]);
        assert_eq!(
            status(&answer),
            "400",
            "cut after {length} bytes: {answer:?}"
        );
    }
    assert_eq!(echo.handled.load(Ordering::SeqCst), 0);
    assert_eq!(status(&exchange(&server, whole)), "200");
    server.join();
}

#[test]
fn oversized_requests_are_refused() {
    let (server, echo) = start(|config| config);
    let long_head = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(MAX_HEAD_BYTES));
    assert_eq!(status(&exchange(&server, long_head.as_bytes())), "431");
    let endless_head = "x".repeat(100 * MAX_HEAD_BYTES);
    assert_eq!(status(&exchange(&server, endless_head.as_bytes())), "431");
    let many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200));
    assert_eq!(status(&exchange(&server, many_headers.as_bytes())), "431");
    let length = MAX_BODY_BYTES + 1;
    let large = format!(
        "POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{}",
        "b".repeat(length)
    );
    assert_eq!(status(&exchange(&server, large.as_bytes())), "413");
    assert_eq!(echo.handled.load(Ordering::SeqCst), 0);
    server.join();
}

#[test]
fn slow_heads_and_bodies_are_refused() {
    let (server, echo) = start(|config| config);
    let unfinished: [&[u8]; 2] = [
        b"GET / HTTP/1.1\r\nname: va",
        b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n012",
    ];
    for bytes in unfinished {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.write_all(bytes).unwrap();
        let answer = read_all(&mut stream);
        assert_eq!(status(&answer), "408", "{answer:?}");
    }
    assert_eq!(echo.handled.load(Ordering::SeqCst), 0);
    server.join();
}

#[test]
fn connections_beyond_the_limit_are_refused() {
    let (server, echo) =
        start(|config| config.with_max_connections(2).with_read_timeout_ms(60_000));
    let held: Vec<TcpStream> = (0..2)
        .map(|_| {
            let mut stream = TcpStream::connect(server.address()).unwrap();
            let request = b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na";
            stream.write_all(request).unwrap();
            let mut first = [0; 12];
            stream.read_exact(&mut first).unwrap();
            stream
        })
        .collect();
    // Refused at once, before the client has sent any byte of a request.
    let mut third = TcpStream::connect(server.address()).unwrap();
    let answer = read_all(&mut third);
    assert_eq!(status(&answer), "503");
    assert!(answer.contains("Retry-After: 1"), "{answer}");
    drop(held);
    assert_eq!(echo.handled.load(Ordering::SeqCst), 2);
    server.join();
}

#[test]
fn bodies_beyond_the_shared_budget_are_refused() {
    let (server, echo) = start(|config| config.with_max_buffered_bytes(2_048));
    let request = format!(
        "POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n{}",
        "c".repeat(4_000)
    );
    assert_eq!(status(&exchange(&server, request.as_bytes())), "503");
    assert_eq!(echo.handled.load(Ordering::SeqCst), 0);
    let small = b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na";
    assert_eq!(status(&exchange(&server, small)), "200");
    server.join();
}

#[test]
fn pipelined_requests_get_responses_in_order() {
    let (server, _) = start(|config| config);
    let one = |body: &str| format!("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n{body}");
    let requests = ["a", "b", "c"].map(one).concat();
    let answers = exchange(&server, requests.as_bytes());
    let bodies: Vec<&str> = answers
        .split("\r\n\r\n")
        .skip(1)
        .map(|part| &part[..1])
        .collect();
    assert_eq!(bodies, ["a", "b", "c"]);
    server.join();
}
