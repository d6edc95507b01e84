//! Serves one connection: reads requests, waits for the handler's responses and writes them.

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
use tracing::info;

use crate::config::HttpServerConfig;
use crate::error::Refusal;
use crate::head::{Head, head_length, parse_head};
use crate::request::{HttpRequest, SentAfter};
use crate::responder::Responder;
use crate::response::HttpResponse;
use crate::server::HttpHandler;

/// Free space in the buffer before a read, in bytes. The rest of a body is read with the space it
/// needs instead.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// Maximum number of bytes read and discarded after a refusal, so that the client can read the
/// response.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Longest time to wait after a refusal until the client stops sending, in milliseconds.
const LINGER_TIMEOUT_MS: u64 = 500;
/// Bytes of a request body for which one permit of [`ServerState::buffer_budget`] is taken.
pub(crate) const BUFFER_UNIT_BYTES: usize = 1024;
/// Interim response to `Expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// State shared by all connections of a server.
pub(crate) struct ServerState {
    pub(crate) config: HttpServerConfig,
    pub(crate) handler: Arc<dyn HttpHandler>,
    /// Limits the total size of the request bodies in memory. One permit stands for
    /// [`BUFFER_UNIT_BYTES`].
    pub(crate) buffer_budget: Arc<Semaphore>,
}

impl ServerState {
    /// Counts a request or connection that was refused before the handler was called.
    pub(crate) fn count_refusal(&self, refusal: Refusal) {
        let instance = self.config.instance.clone();
        counter!("hemlock_http_refused_total", "instance" => instance, "cause" => refusal.code())
            .increment(1);
    }

    /// Counts a request whose connection was reset before the handler was called.
    fn count_dropped_request(&self) {
        let instance = self.config.instance.clone();
        counter!("hemlock_http_dropped_total", "instance" => instance).increment(1);
    }

    fn count_response(&self, status: u16) {
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

/// Why the server closes a connection.
enum CloseReason {
    /// The client disconnected or stayed idle, or the server is stopping. No response is sent.
    WithoutResponse,
    /// The request is refused with an error response.
    Refused(Refusal),
}

impl From<Refusal> for CloseReason {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<std::io::Error> for CloseReason {
    fn from(_: std::io::Error) -> Self {
        Self::WithoutResponse
    }
}

/// Serves one connection until it closes.
pub(crate) async fn run(
    stream: TcpStream,
    peer: SocketAddr,
    state: Arc<ServerState>,
    stop: watch::Receiver<bool>,
) {
    let mut connection = Connection {
        stream,
        peer,
        state,
        stop,
        buffer: BytesMut::new(),
        sent_after: SentAfter::now(),
    };
    match connection.serve().await {
        Err(CloseReason::Refused(refusal)) => connection.refuse(refusal).await,
        Err(CloseReason::WithoutResponse) | Ok(()) => {}
    }
}

struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    state: Arc<ServerState>,
    stop: watch::Receiver<bool>,
    buffer: BytesMut,
    /// The earliest time at which the next request may have been sent.
    sent_after: SentAfter,
}

impl Connection {
    async fn serve(&mut self) -> Result<(), CloseReason> {
        loop {
            self.await_request().await?;
            let deadline = Instant::now() + self.read_timeout();
            let (head, body, _buffer_permit) = timeout_at(deadline, self.read_request())
                .await
                .map_err(|_| Refusal::RequestTimeout)??;
            let head_only = head.method == Method::Head;
            let keep_alive = head.keep_alive;
            let is_closed = self.is_closed_by_client().inspect_err(|_| {
                self.state.count_dropped_request();
                info!(event = "request-dropped", method = %head.method, path = head.path,
                      reason = "connection reset");
            })?;
            let response = self.handle_request(head, body, is_closed).await?;
            let keep_alive = keep_alive && !*self.stop.borrow();
            self.state.count_response(response.status);
            self.write(&response.into_bytes(head_only, !keep_alive))
                .await?;
            if !keep_alive {
                return Ok(());
            }
            // A pipelined request may be as old as the one before it.
            if self.buffer.is_empty() {
                self.sent_after = SentAfter::now();
            }
        }
    }

    /// Waits for the first byte of a request. Fails if the server stops first.
    async fn await_request(&mut self) -> Result<(), CloseReason> {
        if !self.buffer.is_empty() {
            return Ok(());
        }
        let idle = Duration::from_millis(self.state.config.idle_timeout_ms);
        self.buffer.reserve(READ_CHUNK_BYTES);
        tokio::select! {
            biased;
            read = timeout(idle, self.stream.read_buf(&mut self.buffer)) => match read {
                Ok(Ok(count)) if count > 0 => Ok(()),
                _ => Err(CloseReason::WithoutResponse),
            },
            _ = self.stop.wait_for(|stopped| *stopped) => Err(CloseReason::WithoutResponse),
        }
    }

    async fn read_request(&mut self) -> Result<(Head, Bytes, OwnedSemaphorePermit), CloseReason> {
        let head = self.read_head().await?;
        if head.body_bytes > self.state.config.max_body_bytes {
            return Err(Refusal::BodyTooLarge.into());
        }
        let buffer_permit = self.reserve_buffer(head.body_bytes)?;
        if head.expects_continue && self.buffer.is_empty() {
            self.stream.write_all(CONTINUE).await?;
        }
        while self.buffer.len() < head.body_bytes {
            let missing = head.body_bytes - self.buffer.len();
            self.read_more(missing).await?;
        }
        let body = self.buffer.split_to(head.body_bytes).freeze();
        Ok((head, body, buffer_permit))
    }

    async fn read_head(&mut self) -> Result<Head, CloseReason> {
        loop {
            let max_bytes = self.state.config.max_head_bytes;
            match head_length(&self.buffer) {
                Some(length) if length <= max_bytes => {
                    let bytes = self.buffer.split_to(length);
                    return Ok(parse_head(&bytes)?);
                }
                None if self.buffer.len() < max_bytes => self.read_more(READ_CHUNK_BYTES).await?,
                _ => return Err(Refusal::HeadTooLarge.into()),
            }
        }
    }

    /// Reads once. If the client has closed its side within the request, the request is refused as
    /// truncated.
    async fn read_more(&mut self, additional_bytes: usize) -> Result<(), CloseReason> {
        self.buffer.reserve(additional_bytes);
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(Refusal::Malformed.into()),
            _ => Ok(()),
        }
    }

    fn reserve_buffer(&self, body_bytes: usize) -> Result<OwnedSemaphorePermit, CloseReason> {
        let units = u32::try_from(body_bytes.div_ceil(BUFFER_UNIT_BYTES)).unwrap_or(u32::MAX);
        self.state
            .buffer_budget
            .clone()
            .try_acquire_many_owned(units)
            .map_err(|_| Refusal::Busy.into())
    }

    /// Returns whether the client has closed its side. Fails if the connection was reset. Data that
    /// has arrived meanwhile is kept in the buffer.
    ///
    /// A request stays readable after its connection was closed or reset. Its client may have sent
    /// it again elsewhere, so it must not be taken for one that somebody waits for. The socket is
    /// read directly, because the runtime learns of a close only with its next poll for events.
    fn is_closed_by_client(&mut self) -> Result<bool, CloseReason> {
        if !self.buffer.is_empty() {
            // A pipelined request is behind this one.
            return Ok(false);
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        match rustix::io::read(&self.stream, &mut chunk) {
            Ok(length) => {
                self.buffer.extend_from_slice(&chunk[..length]);
                Ok(length == 0)
            }
            Err(rustix::io::Errno::WOULDBLOCK | rustix::io::Errno::INTR) => Ok(false),
            Err(_) => Err(CloseReason::WithoutResponse),
        }
    }

    /// Calls the handler and waits for its response. Fails if the client disconnects first. A
    /// client that has closed its side already gets only a response that is given at once.
    async fn handle_request(
        &mut self,
        head: Head,
        body: Bytes,
        is_closed: bool,
    ) -> Result<HttpResponse, CloseReason> {
        let request = HttpRequest {
            method: head.method,
            path: head.path,
            query: head.query,
            headers: head.headers,
            body,
            peer: self.peer,
            sent_after: self.sent_after,
        };
        let (responder, mut response_receiver) = Responder::new();
        self.state.handler.handle(request, responder);
        let unanswered =
            |_| HttpResponse::error(500, "internal", "the request was dropped without an answer");
        if is_closed {
            let response = response_receiver.try_recv();
            return response.map_err(|_| CloseReason::WithoutResponse);
        }
        tokio::select! {
            biased;
            response = response_receiver => Ok(response.unwrap_or_else(unanswered)),
            () = client_disconnected(&mut self.stream, &mut self.buffer) =>
                Err(CloseReason::WithoutResponse),
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        let write_timeout = Duration::from_millis(self.state.config.write_timeout_ms);
        match timeout(write_timeout, self.stream.write_all(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(CloseReason::WithoutResponse),
        }
    }

    async fn refuse(&mut self, refusal: Refusal) {
        self.state.count_refusal(refusal);
        let bytes = refusal_bytes(refusal);
        if self.write(&bytes).await.is_ok() && self.stream.shutdown().await.is_ok() {
            let linger_timeout = Duration::from_millis(LINGER_TIMEOUT_MS);
            drop(timeout(linger_timeout, self.drain_input()).await);
        }
    }

    /// Reads and discards further data from the client. Closing the socket with unread data would
    /// reset the connection, and the client might lose the response.
    async fn drain_input(&mut self) {
        let mut discarded_bytes = 0;
        let mut chunk = [0; READ_CHUNK_BYTES];
        while discarded_bytes < MAX_LINGER_BYTES {
            match self.stream.read(&mut chunk).await {
                Ok(count) if count > 0 => discarded_bytes += count,
                _ => return,
            }
        }
    }

    fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.state.config.read_timeout_ms)
    }
}

/// Waits until the client has closed the connection. Data that arrives meanwhile, such as a
/// pipelined request, is kept in `buffer`. Once `buffer` holds [`READ_CHUNK_BYTES`] it reads no
/// further and never returns, so that a close is noticed only after the response.
async fn client_disconnected(stream: &mut TcpStream, buffer: &mut BytesMut) {
    while buffer.len() < READ_CHUNK_BYTES {
        buffer.reserve(READ_CHUNK_BYTES);
        match stream.read_buf(buffer).await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
    std::future::pending::<()>().await;
}

/// Encodes the response to a refused request.
pub(crate) fn refusal_bytes(refusal: Refusal) -> Vec<u8> {
    // No `Hemlock-Outcome` header: the same work may have run when it was sent earlier.
    let message = format!("nothing ran for this request; {}", refusal.advice());
    let mut response = HttpResponse::error(refusal.status(), refusal.code(), &message)
        .with_header("Hemlock-Reason", refusal.code());
    if refusal == Refusal::Busy {
        response = response.with_header("Retry-After", "1");
    }
    response.into_bytes(false, true)
}
