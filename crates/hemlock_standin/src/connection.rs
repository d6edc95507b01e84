//! Serves one HTTP connection to a stand-in endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::endpoint::Shared;
use crate::faults::Fault;
use crate::request::{Parsed, WorkRequest, take_request};

/// Body of a response. It identifies the request, so that the caller can check that the response
/// is its own.
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

/// Serves a connection until the caller or an injected fault closes it.
pub(crate) async fn serve_connection(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut buffer = BytesMut::new();
    loop {
        let request = match take_request(&mut buffer) {
            Parsed::Complete(request) => request,
            Parsed::Malformed => return,
            Parsed::Partial => match stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => continue,
            },
        };
        let close = request.close;
        let keep_open = serve_request(&mut stream, &mut buffer, &shared, *request).await;
        if close || !keep_open {
            return;
        }
    }
}

/// Counts a request as running until the guard is dropped. A guard that is dropped without
/// `finish` or `fail` counts the request as cut by the caller.
struct RunningGuard {
    shared: Arc<Shared>,
    ended: bool,
}

impl RunningGuard {
    fn start(shared: &Arc<Shared>, request: &WorkRequest) -> Self {
        let count_each = shared.config.record_starts;
        shared.update(|state| state.record.start(request, count_each));
        Self {
            shared: Arc::clone(shared),
            ended: false,
        }
    }

    fn finish(mut self) {
        self.ended = true;
        self.shared
            .update(|state| state.record.counts.finished += 1);
    }

    fn fail(mut self) {
        self.ended = true;
        self.shared.update(|state| state.record.counts.faulted += 1);
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let cut = u64::from(!self.ended);
        self.shared.update(|state| {
            state.record.counts.running -= 1;
            state.record.counts.cut += cut;
        });
    }
}

/// Serves one request. Returns whether the connection stays open for another.
async fn serve_request(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    shared: &Arc<Shared>,
    request: WorkRequest,
) -> bool {
    let running = RunningGuard::start(shared, &request);
    let (fault, work_ms) = shared.plan_response(&request);
    match fault {
        Fault::Cut => {
            running.fail();
            return false;
        }
        Fault::Hang => {
            wait_for_close(stream, buffer).await;
            running.fail();
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
    let response = encode_response(shared, &request, work_ms, fault);
    let written = stream.write_all(&response).await.is_ok();
    match fault {
        Fault::Truncate => running.fail(),
        _ if written => running.finish(),
        _ => return false,
    }
    written && fault != Fault::Truncate
}

/// Waits until the caller closes the connection. Bytes that arrive meanwhile stay in the buffer.
async fn wait_for_close(stream: &mut TcpStream, buffer: &mut BytesMut) {
    while matches!(stream.read_buf(buffer).await, Ok(count) if count > 0) {}
}

fn encode_response(shared: &Shared, request: &WorkRequest, work_ms: u64, fault: Fault) -> Vec<u8> {
    let hide_request = fault == Fault::Cross;
    let report = WorkReport {
        service: &shared.config.service,
        endpoint: shared.number,
        path: &request.path,
        key: request.key().filter(|_| !hide_request),
        submission: request.submission.as_deref().filter(|_| !hide_request),
        task: request.task.as_deref().filter(|_| !hide_request),
        work_ms,
        padding: "x".repeat(request.work.answer_bytes.unwrap_or(0)),
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
    let mut response = head.into_bytes();
    response.extend(body);
    match fault {
        Fault::Truncate => response.truncate(response.len() - response.len() / 4),
        Fault::Double => response.extend_from_within(..),
        _ => {}
    }
    response
}
