//! Answers reach their own callers, whenever and from wherever they are given; the client tells
//! what it knows of a call that has none.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use hemlock_http::error::BrokenReply;
use hemlock_http::prelude::*;
use quickcheck::quickcheck;

/// Keeps every request until it is told to answer.
#[derive(Default)]
struct Shelf {
    waiting: Mutex<Vec<(HttpRequest, Responder)>>,
}

impl HttpHandler for Shelf {
    fn handle(&self, request: HttpRequest, responder: Responder) {
        self.waiting
            .lock()
            .expect("the test's own set-up works")
            .push((request, responder));
    }
}

impl Shelf {
    /// Waits until `count` requests wait, and takes them.
    fn take(&self, count: usize) -> Vec<(HttpRequest, Responder)> {
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

fn post(address: SocketAddr, body: String) -> Result<HttpReply, HttpClientError> {
    let call = HttpCall::new(Method::Post, address, "/").with_body(body, "text/plain");
    HttpClient::new(HttpClientConfig::default()).send(&call)
}

#[test]
fn late_answers_in_any_order_reach_their_own_callers() {
    const CALLERS: usize = 100;
    let shelf = Arc::new(Shelf::default());
    let server = start(shelf.clone());
    let address = server.address();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| thread::spawn(move || post(address, number.to_string())))
        .collect();
    let mut waiting = shelf.take(CALLERS);
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
fn stopping_answers_what_is_in_flight_and_takes_nothing_new() {
    let shelf = Arc::new(Shelf::default());
    let server = start(shelf.clone());
    let address = server.address();
    let caller = thread::spawn(move || post(address, "in flight".to_owned()));
    let mut waiting = shelf.take(1);
    server.stop();
    let joiner = thread::spawn(move || server.join());
    let refused = loop {
        match post(address, "too late".to_owned()) {
            Err(error @ HttpClientError::NeverSent(_)) => break error,
            // The listener was still open when this connection came.
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
fn a_dropped_responder_answers_500() {
    struct Dropper;
    impl HttpHandler for Dropper {
        fn handle(&self, _: HttpRequest, _: Responder) {}
    }
    let server = start(Arc::new(Dropper));
    assert_eq!(
        post(server.address(), String::new())
            .expect("the test's own set-up works")
            .status,
        500
    );
    server.join();
}

/// Answers one connection with raw bytes and closes it.
fn answer_raw(bytes: &'static [u8]) -> Result<HttpReply, HttpClientError> {
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
fn the_client_takes_whole_answers_only() {
    use HttpClientError::{Broken, Lost, TooLarge};
    let whole = answer_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").unwrap();
    assert_eq!(whole.body, "hi");
    let empty = answer_raw(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
    assert_eq!((empty.status, empty.body.len()), (204, 0));
    let chunked =
        answer_raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
            .unwrap_err();
    assert!(
        matches!(chunked, Broken(BrokenReply::NoLength)),
        "{chunked:?}"
    );
    let short = answer_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi").unwrap_err();
    assert!(
        matches!(short, Broken(BrokenReply::Short(9, 2))),
        "{short:?}"
    );
    let endless = answer_raw(b"HTTP/1.1 200 OK\r\n\r\nhi").unwrap_err();
    assert!(
        matches!(endless, Broken(BrokenReply::NoLength)),
        "{endless:?}"
    );
    let large = answer_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n").unwrap_err();
    assert!(matches!(large, TooLarge(16)), "{large:?}");
    let nonsense = answer_raw(b"nonsense\r\n\r\n").unwrap_err();
    assert!(matches!(nonsense, Broken(_) | Lost(_)), "{nonsense:?}");
    let nothing = answer_raw(b"").unwrap_err();
    assert!(matches!(nothing, Broken(_) | Lost(_)), "{nothing:?}");
}

#[test]
fn a_silent_server_is_a_timeout_and_not_a_proof() {
    let shelf = Arc::new(Shelf::default());
    let server = start(shelf.clone());
    let call = HttpCall::new(Method::Get, server.address(), "/").with_timeout_ms(100);
    let error = HttpClient::new(HttpClientConfig::default())
        .send(&call)
        .unwrap_err();
    assert!(matches!(error, HttpClientError::Timeout), "{error:?}");
    drop(shelf.take(1));
    server.join();
}

quickcheck! {
    fn bodies_pass_unchanged(body: Vec<u8>) -> bool {
        struct Echo;
        impl HttpHandler for Echo {
            fn handle(&self, request: HttpRequest, responder: Responder) {
                responder.send(HttpResponse::new(200).with_body(request.body, ""));
            }
        }
        let server = start(Arc::new(Echo));
        let call = HttpCall::new(Method::Post, server.address(), "/").with_body(body.clone(), "");
        let reply = HttpClient::new(HttpClientConfig::default()).send(&call).expect("the test's own set-up works");
        server.join();
        reply.body == body
    }
}

#[test]
fn a_trickling_answer_ends_at_the_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the test's own set-up works");
    let address = listener.local_addr().expect("the test's own set-up works");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the test's own set-up works");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
            .expect("the test's own set-up works");
        // Until the client has given up.
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
