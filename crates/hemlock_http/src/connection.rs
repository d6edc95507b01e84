//! One connection: reads requests, waits for their answers, writes them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use metrics::counter;
use tiny_http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{Instant, timeout, timeout_at};

use crate::config::HttpServerConfig;
use crate::error::Refusal;
use crate::head::{Head, head_length, parse_head};
use crate::request::HttpRequest;
use crate::responder::Responder;
use crate::response::HttpResponse;
use crate::server::HttpHandler;

/// Room made in the buffer for one read, in bytes.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// Most bytes read and dropped after a refusal, so that the caller can read the answer.
const LINGER_BYTES: usize = 256 * 1024;
/// Longest wait for a refused caller to stop sending, in milliseconds.
const LINGER_MS: u64 = 500;
/// Request bytes counted as one unit of the shared buffer budget.
pub(crate) const BUFFER_UNIT_BYTES: usize = 1024;
/// The interim answer to `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What every connection of a server shares.
pub(crate) struct Shared {
    pub(crate) config: HttpServerConfig,
    pub(crate) handler: Arc<dyn HttpHandler>,
    pub(crate) buffer_budget: Arc<Semaphore>,
}

impl Shared {
    /// Counts a request that no handler saw.
    pub(crate) fn count_refusal(&self, refusal: Refusal) {
        let instance = self.config.instance.clone();
        counter!("hemlock_http_refused_total", "instance" => instance, "cause" => refusal.code())
            .increment(1);
    }

    fn count_answer(&self, status: u16) {
        let instance = self.config.instance.clone();
        let class = match status {
            100..=199 => "1xx",
            200..=299 => "2xx",
            300..=399 => "3xx",
            400..=499 => "4xx",
            _ => "5xx",
        };
        counter!("hemlock_http_answers_total", "instance" => instance, "class" => class)
            .increment(1);
    }
}

/// Why a connection ends without a further answer.
enum Closing {
    /// The caller is gone, or no request came.
    Silent,
    /// The request is refused.
    Refused(Refusal),
}

impl From<Refusal> for Closing {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<std::io::Error> for Closing {
    fn from(_: std::io::Error) -> Self {
        Self::Silent
    }
}

/// Serves one connection until it closes.
pub(crate) async fn run(
    stream: TcpStream,
    peer: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Receiver<bool>,
) {
    let mut connection = Connection {
        stream,
        peer,
        shared,
        stop,
        buffer: BytesMut::new(),
    };
    match connection.serve().await {
        Err(Closing::Refused(refusal)) => connection.refuse(refusal).await,
        Err(Closing::Silent) | Ok(()) => {}
    }
}

struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    shared: Arc<Shared>,
    stop: watch::Receiver<bool>,
    buffer: BytesMut,
}

impl Connection {
    async fn serve(&mut self) -> Result<(), Closing> {
        loop {
            self.await_request().await?;
            let deadline = Instant::now() + self.read_timeout();
            let (head, body, _budget) = timeout_at(deadline, self.read_request())
                .await
                .map_err(|_| Refusal::Slow)??;
            let head_only = head.method == Method::Head;
            let keep_alive = head.keep_alive;
            let response = self.answer(head, body).await?;
            let keep_alive = keep_alive && !*self.stop.borrow();
            self.shared.count_answer(response.status);
            self.write(&response.into_bytes(head_only, !keep_alive))
                .await?;
            if !keep_alive {
                return Ok(());
            }
        }
    }

    /// Waits for the first byte of a request; ends when the server stops before it comes.
    async fn await_request(&mut self) -> Result<(), Closing> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        let idle = Duration::from_millis(self.shared.config.idle_timeout_ms);
        self.buffer.reserve(READ_CHUNK_BYTES);
        tokio::select! {
            biased;
            read = timeout(idle, self.stream.read_buf(&mut self.buffer)) => match read {
                Ok(Ok(count)) if count > 0 => Ok(()),
                _ => Err(Closing::Silent),
            },
            _ = self.stop.wait_for(|stopped| *stopped) => Err(Closing::Silent),
        }
    }

    async fn read_request(&mut self) -> Result<(Head, Bytes, OwnedSemaphorePermit), Closing> {
        let head = self.read_head().await?;
        if head.body_bytes > self.shared.config.max_body_bytes {
            return Err(Refusal::BodyTooLarge.into());
        }
        let budget = self.take_budget(head.body_bytes)?;
        if head.expects_continue && self.buffer.is_empty() {
            self.stream.write_all(CONTINUE).await?;
        }
        while self.buffer.len() < head.body_bytes {
            let missing = head.body_bytes - self.buffer.len();
            self.read_more(missing).await?;
        }
        let body = self.buffer.split_to(head.body_bytes).freeze();
        Ok((head, body, budget))
    }

    async fn read_head(&mut self) -> Result<Head, Closing> {
        loop {
            let limit = self.shared.config.max_head_bytes;
            match head_length(&self.buffer) {
                Some(length) if length <= limit => {
                    let bytes = self.buffer.split_to(length);
                    return Ok(parse_head(&bytes)?);
                }
                None if self.buffer.len() < limit => self.read_more(READ_CHUNK_BYTES).await?,
                _ => return Err(Refusal::HeadTooLarge.into()),
            }
        }
    }

    /// Reads once; a caller that closes within a request has sent a truncated one.
    async fn read_more(&mut self, room_bytes: usize) -> Result<(), Closing> {
        self.buffer.reserve(room_bytes);
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(Refusal::Malformed.into()),
            _ => Ok(()),
        }
    }

    fn take_budget(&self, body_bytes: usize) -> Result<OwnedSemaphorePermit, Closing> {
        let units = u32::try_from(body_bytes.div_ceil(BUFFER_UNIT_BYTES)).unwrap_or(u32::MAX);
        self.shared
            .buffer_budget
            .clone()
            .try_acquire_many_owned(units)
            .map_err(|_| Refusal::Busy.into())
    }

    /// Has the request answered; ends when the caller leaves first.
    async fn answer(&mut self, head: Head, body: Bytes) -> Result<HttpResponse, Closing> {
        let request = HttpRequest {
            method: head.method,
            path: head.path,
            query: head.query,
            headers: head.headers,
            body,
            peer: self.peer,
        };
        let (responder, answer) = Responder::new();
        self.shared.handler.handle(request, responder);
        let dropped =
            |_| HttpResponse::error(500, "internal", "the request was dropped without an answer");
        tokio::select! {
            biased;
            response = answer => Ok(response.unwrap_or_else(dropped)),
            () = left(&mut self.stream, &mut self.buffer) => Err(Closing::Silent),
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), Closing> {
        let limit = Duration::from_millis(self.shared.config.write_timeout_ms);
        match timeout(limit, self.stream.write_all(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Closing::Silent),
        }
    }

    async fn refuse(&mut self, refusal: Refusal) {
        self.shared.count_refusal(refusal);
        let bytes = refusal_bytes(refusal);
        if self.write(&bytes).await.is_ok() && self.stream.shutdown().await.is_ok() {
            let limit = Duration::from_millis(LINGER_MS);
            drop(timeout(limit, self.discard()).await);
        }
    }

    /// Reads and drops what the caller still sends: closing with unread bytes would reset the
    /// connection and could destroy the answer on its way.
    async fn discard(&mut self) {
        let mut dropped = 0;
        let mut chunk = [0; READ_CHUNK_BYTES];
        while dropped < LINGER_BYTES {
            match self.stream.read(&mut chunk).await {
                Ok(count) if count > 0 => dropped += count,
                _ => return,
            }
        }
    }

    fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.shared.config.read_timeout_ms)
    }
}

/// Returns once the caller has closed its connection. What it sends meanwhile is kept, up to the
/// size of one read; beyond that it is left in the connection, and a close is noticed later.
async fn left(stream: &mut TcpStream, buffer: &mut BytesMut) {
    while buffer.len() < READ_CHUNK_BYTES {
        buffer.reserve(READ_CHUNK_BYTES);
        match stream.read_buf(buffer).await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
    std::future::pending::<()>().await;
}

/// The whole answer to a refused request.
pub(crate) fn refusal_bytes(refusal: Refusal) -> Vec<u8> {
    // It claims no outcome: an earlier sending of the same work may have run.
    let message = format!("nothing ran for this request; {}", refusal.advice());
    let mut response = HttpResponse::error(refusal.status(), refusal.code(), &message)
        .with_header("Hemlock-Reason", refusal.code());
    if refusal == Refusal::Busy {
        response = response.with_header("Retry-After", "1");
    }
    response.into_bytes(false, true)
}
