//! One caller's connection to a stand-in.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::endpoint::Shared;
use crate::faults::Fault;
use crate::request::{Parsed, WorkRequest, take_request};

/// The answer to a request: enough for the caller to know its own.
#[derive(Debug, Serialize)]
struct WorkReport<'a> {
    service: &'a str,
    endpoint: u64,
    path: &'a str,
    key: Option<&'a str>,
    submission: Option<&'a str>,
    task: Option<&'a str>,
    work_ms: u64,
    padding: String,
}

/// Serves one connection until it closes or a fault cuts it.
pub(crate) async fn serve_connection(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut buffer = BytesMut::new();
    loop {
        let request = match take_request(&mut buffer) {
            Parsed::Whole(request) => request,
            Parsed::Malformed => return,
            Parsed::Partial => match stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => continue,
            },
        };
        let close = request.close;
        let goes_on = serve_request(&mut stream, &mut buffer, &shared, *request).await;
        if close || !goes_on {
            return;
        }
    }
}

/// Counts a request as running until it is dropped.
struct Running {
    shared: Arc<Shared>,
    ended: bool,
}

impl Running {
    fn start(shared: &Arc<Shared>, request: &WorkRequest) -> Self {
        let by_name = shared.config.record;
        shared.change(|state| state.record.start(request, by_name));
        Self {
            shared: Arc::clone(shared),
            ended: false,
        }
    }

    fn finish(mut self) {
        self.ended = true;
        self.shared.change(|state| state.record.seen.finished += 1);
    }

    fn fault(mut self) {
        self.ended = true;
        self.shared.change(|state| state.record.seen.faulted += 1);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let cut = u64::from(!self.ended);
        self.shared.change(|state| {
            state.record.seen.running -= 1;
            state.record.seen.cut += cut;
        });
    }
}

/// Serves one request. Says whether the connection may carry another.
async fn serve_request(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    shared: &Arc<Shared>,
    request: WorkRequest,
) -> bool {
    let running = Running::start(shared, &request);
    let (fault, work_ms) = shared.plan(&request);
    match fault {
        Fault::Cut => {
            running.fault();
            return false;
        }
        Fault::Hang => {
            wait_for_close(stream, buffer).await;
            running.fault();
            return false;
        }
        _ => {}
    }
    let worked = shared.timer.sleep(Duration::from_millis(work_ms));
    tokio::select! {
        () = worked, if work_ms > 0 => {}
        () = wait_for_close(stream, buffer), if work_ms > 0 => return false,
        else => {}
    }
    let answer = write_answer(shared, &request, work_ms, fault);
    let written = stream.write_all(&answer).await.is_ok();
    match fault {
        Fault::Truncate => running.fault(),
        _ if written => running.finish(),
        _ => return false,
    }
    written && fault != Fault::Truncate
}

/// Returns when the caller has closed the connection. Bytes that arrive meanwhile are kept.
async fn wait_for_close(stream: &mut TcpStream, buffer: &mut BytesMut) {
    while matches!(stream.read_buf(buffer).await, Ok(count) if count > 0) {}
}

fn write_answer(shared: &Shared, request: &WorkRequest, work_ms: u64, fault: Fault) -> Vec<u8> {
    let crossed = fault == Fault::Cross;
    let report = WorkReport {
        service: &shared.config.service,
        endpoint: shared.number,
        path: &request.path,
        key: request.key().filter(|_| !crossed),
        submission: request.submission.as_deref().filter(|_| !crossed),
        task: request.task.as_deref().filter(|_| !crossed),
        work_ms,
        padding: "x".repeat(request.order.answer_bytes.unwrap_or(0)),
    };
    let status = match fault {
        Fault::Fail => "500 Internal Server Error",
        _ => "200 OK",
    };
    let body = serde_json::to_vec(&report).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut answer = head.into_bytes();
    answer.extend(body);
    match fault {
        Fault::Truncate => answer.truncate(answer.len() - answer.len() / 4),
        Fault::Double => answer.extend_from_within(..),
        _ => {}
    }
    answer
}
