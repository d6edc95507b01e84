//! Tests that each response reaches the client that sent the request, in any order and from any
//! thread, and that the client classifies requests without a complete response.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use hemlock_http::error::ReplyError;
use hemlock_http::prelude::*;
use quickcheck::quickcheck;

/// Holds every request until a test takes it and responds.
#[derive(Default)]
struct HoldingHandler {
    waiting: Mutex<Vec<(HttpRequest, Responder)>>,
}

impl HttpHandler for HoldingHandler {
    fn handle(&self, request: HttpRequest, responder: Responder) {
        self.waiting
            .lock()
            .expect("the test's own set-up works")
            .push((request, responder));
    }
}

impl HoldingHandler {
    /// Waits until the handler holds `count` requests, then removes and returns them.
    fn take_requests(&self, count: usize) -> Vec<(HttpRequest, Responder)> {
        loop {
            let mut waiting = self.waiting.lock().expect("the test's own set-up works");
            if waiting.len() == count {
                return std::mem::take(&mut *waiting);
            }
            drop(waiting);
            thread::yield_now();
        }
    }
}

fn start(handler: Arc<dyn HttpHandler>) -> HttpServer {
    let address = "127.0.0.1:0".parse().expect("the test's own set-up works");
    HttpServer::start(HttpServerConfig::new(address), handler).expect("the test's own set-up works")
}

fn post_text(address: SocketAddr, body: String) -> Result<HttpReply, HttpClientError> {
    let call = HttpCall::new(Method::Post, address, "/").with_body(body, "text/plain");
    HttpClient::new(HttpClientConfig::default()).send(&call)
}

#[test]
fn late_responses_in_any_order_reach_their_own_callers() {
    const CALLERS: usize = 100;
    let handler = Arc::new(HoldingHandler::default());
    let server = start(handler.clone());
    let address = server.address();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| thread::spawn(move || post_text(address, number.to_string())))
        .collect();
    let mut waiting = handler.take_requests(CALLERS);
    waiting.sort_by_key(|(request, _)| std::cmp::Reverse(request.body.clone()));
    for (request, responder) in waiting {
        responder.send(HttpResponse::new(200).with_body(request.body, "text/plain"));
    }
    for (number, caller) in callers.into_iter().enumerate() {
        let reply = caller.join().unwrap().unwrap();
        assert_eq!(reply.body, number.to_string());
    }
    server.join();
}

#[test]
fn stopping_finishes_requests_in_flight_and_accepts_no_new_ones() {
    let handler = Arc::new(HoldingHandler::default());
    let server = start(handler.clone());
    let address = server.address();
    let caller = thread::spawn(move || post_text(address, "in flight".to_owned()));
    let mut waiting = handler.take_requests(1);
    server.stop();
    let joiner = thread::spawn(move || server.join());
    let refused = loop {
        match post_text(address, "too late".to_owned()) {
            Err(error @ HttpClientError::NeverSent(_)) => break error,
            // The listener was still open when this connection was made.
            _ => thread::yield_now(),
        }
    };
    assert!(refused.to_string().contains("never sent"));
    let (_, responder) = waiting.remove(0);
    responder.send(HttpResponse::text(200, "done"));
    assert_eq!(caller.join().unwrap().unwrap().body, "done");
    joiner.join().unwrap();
}

#[test]
fn a_dropped_responder_sends_status_500() {
    struct DroppingHandler;
    impl HttpHandler for DroppingHandler {
        fn handle(&self, _: HttpRequest, _: Responder) {}
    }
    let server = start(Arc::new(DroppingHandler));
    assert_eq!(
        post_text(server.address(), String::new())
            .expect("the test's own set-up works")
            .status,
        500
    );
    server.join();
}

/// Responds to one request with raw bytes, closes the connection, and returns the client's result.
fn call_raw_server(bytes: &'static [u8]) -> Result<HttpReply, HttpClientError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the test's own set-up works");
    let address = listener.local_addr().expect("the test's own set-up works");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the test's own set-up works");
        let mut request = [0; 1_024];
        let _ = stream
            .read(&mut request)
            .expect("the test's own set-up works");
        stream
            .write_all(bytes)
            .expect("the test's own set-up works");
    });
    let call = HttpCall::new(Method::Get, address, "/");
    let config = HttpClientConfig::default().with_max_body_bytes(16);
    let reply = HttpClient::new(config).send(&call);
    server.join().expect("the test's own set-up works");
    reply
}

#[test]
fn the_client_accepts_only_complete_responses() {
    use HttpClientError::{Lost, MalformedReply, TooLarge};
    let whole = call_raw_server(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").unwrap();
    assert_eq!(whole.body, "hi");
    let empty = call_raw_server(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
    assert_eq!((empty.status, empty.body.len()), (204, 0));
    let chunked = call_raw_server(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    )
    .unwrap_err();
    assert!(
        matches!(chunked, MalformedReply(ReplyError::NoLength)),
        "{chunked:?}"
    );
    let short = call_raw_server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi").unwrap_err();
    assert!(
        matches!(short, MalformedReply(ReplyError::Truncated(9, 2))),
        "{short:?}"
    );
    let endless = call_raw_server(b"HTTP/1.1 200 OK\r\n\r\nhi").unwrap_err();
    assert!(
        matches!(endless, MalformedReply(ReplyError::NoLength)),
        "{endless:?}"
    );
    let large = call_raw_server(b"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n").unwrap_err();
    assert!(matches!(large, TooLarge(16)), "{large:?}");
    let nonsense = call_raw_server(b"nonsense\r\n\r\n").unwrap_err();
    assert!(
        matches!(nonsense, MalformedReply(_) | Lost(_)),
        "{nonsense:?}"
    );
    let nothing = call_raw_server(b"").unwrap_err();
    assert!(
        matches!(nothing, MalformedReply(_) | Lost(_)),
        "{nothing:?}"
    );
}

#[test]
fn a_silent_server_is_reported_as_timeout_not_as_never_sent() {
    let handler = Arc::new(HoldingHandler::default());
    let server = start(handler.clone());
    let call = HttpCall::new(Method::Get, server.address(), "/").with_timeout_ms(100);
    let error = HttpClient::new(HttpClientConfig::default())
        .send(&call)
        .unwrap_err();
    assert!(matches!(error, HttpClientError::Timeout), "{error:?}");
    drop(handler.take_requests(1));
    server.join();
}

quickcheck! {
    fn bodies_pass_unchanged(body: Vec<u8>) -> bool {
        struct EchoHandler;
        impl HttpHandler for EchoHandler {
            fn handle(&self, request: HttpRequest, responder: Responder) {
                responder.send(HttpResponse::new(200).with_body(request.body, ""));
            }
        }
        let server = start(Arc::new(EchoHandler));
        let call = HttpCall::new(Method::Post, server.address(), "/").with_body(body.clone(), "");
        let reply = HttpClient::new(HttpClientConfig::default()).send(&call).expect("the test's own set-up works");
        server.join();
        reply.body == body
    }
}

#[test]
fn a_response_of_slow_single_bytes_fails_at_the_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the test's own set-up works");
    let address = listener.local_addr().expect("the test's own set-up works");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the test's own set-up works");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
            .expect("the test's own set-up works");
        // Sends single bytes until the client closes the connection.
        while stream.write_all(b"x").is_ok() {
            thread::sleep(std::time::Duration::from_millis(5));
        }
    });
    let call = HttpCall::new(Method::Get, address, "/").with_timeout_ms(100);
    let error = HttpClient::new(HttpClientConfig::default())
        .send(&call)
        .unwrap_err();
    assert!(matches!(error, HttpClientError::Timeout), "{error:?}");
    server.join().expect("the test's own set-up works");
}
