//! The client: one call, one connection, one whole answer or one typed error.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::header::HeaderName;
use attohttpc::{ErrorKind, ProxySettings, RequestBuilder, Response};
use bytes::Bytes;
use tiny_http::Method;

use crate::error::{BrokenReply, HttpClientError};

/// Time to connect by default, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Time from the start of a call to its whole answer by default, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Largest answer body by default, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Limits of a client.
#[derive(Clone, Debug)]
pub struct HttpClientConfig {
    /// Time to connect, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time from the start of a call to its whole answer, in milliseconds.
    pub timeout_ms: u64,
    /// Largest answer body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for HttpClientConfig {
    fn default() -> Self {
        Self {
            connect_timeout_ms: DEFAULT_CONNECT_TIMEOUT_MS,
            timeout_ms: DEFAULT_TIMEOUT_MS,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
        }
    }
}

impl HttpClientConfig {
    /// Sets the time to connect, in milliseconds.
    #[must_use]
    pub fn with_connect_timeout_ms(mut self, connect_timeout_ms: u64) -> Self {
        self.connect_timeout_ms = connect_timeout_ms;
        self
    }

    /// Sets the time from the start of a call to its whole answer, in milliseconds.
    #[must_use]
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sets the largest answer body, in bytes.
    #[must_use]
    pub fn with_max_body_bytes(mut self, max_body_bytes: usize) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }
}

/// One call to make.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Time to the whole answer, in milliseconds, when it differs from the client's.
    pub timeout_ms: Option<u64>,
}

impl HttpCall {
    /// A call without a body.
    pub fn new(method: Method, address: SocketAddr, target: impl Into<String>) -> Self {
        Self {
            method,
            address,
            target: target.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout_ms: None,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body and its content type; an empty content type sets no header.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>, content_type: &str) -> Self {
        self.body = body.into();
        if content_type.is_empty() {
            return self;
        }
        self.with_header("Content-Type", content_type)
    }

    /// Sets the time to the whole answer, in milliseconds.
    #[must_use]
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = Some(timeout_ms);
        self
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// HTTP status.
    pub status: u16,
    /// Headers, with names in lower case; values that are not ASCII text are left out.
    pub headers: Vec<(String, String)>,
    /// Body, whole.
    pub body: Bytes,
}

impl HttpReply {
    /// The first header of that name, whatever its case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The content type, empty when there is none.
    pub fn content_type(&self) -> &str {
        self.header("content-type").unwrap_or_default()
    }
}

/// Makes calls; safe to share between threads.
#[derive(Clone, Debug)]
pub struct HttpClient {
    config: HttpClientConfig,
}

impl HttpClient {
    /// A client with the given limits.
    pub fn new(config: HttpClientConfig) -> Self {
        Self { config }
    }

    /// Makes one call on a connection of its own and blocks until its whole answer is here.
    ///
    /// # Errors
    ///
    /// [`HttpClientError::NeverSent`] and [`HttpClientError::BadRequest`] prove that nothing
    /// ran; after any other error the work may have run.
    pub fn send(&self, call: &HttpCall) -> Result<HttpReply, HttpClientError> {
        let timeout_ms = call.timeout_ms.unwrap_or(self.config.timeout_ms).max(1);
        let timeout = Duration::from_millis(timeout_ms);
        let deadline = Instant::now() + timeout;
        let response = self
            .build(call, timeout)?
            .send()
            .map_err(|error| classify(error, deadline))?;
        self.read(response, deadline)
    }

    fn build(
        &self,
        call: &HttpCall,
        timeout: Duration,
    ) -> Result<RequestBuilder<attohttpc::body::Bytes<Bytes>>, HttpClientError> {
        let method = call
            .method
            .as_str()
            .parse()
            .map_err(|_| HttpClientError::BadRequest)?;
        let connect = Duration::from_millis(self.config.connect_timeout_ms).min(timeout);
        let url = format!("http://{}{}", call.address, call.target);
        let mut builder = RequestBuilder::try_new(method, url)
            .map_err(|_| HttpClientError::BadRequest)?
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(connect)
            .read_timeout(timeout)
            .timeout(timeout);
        for (name, value) in &call.headers {
            builder = builder
                .try_header_append(header_name(name)?, value.as_str())
                .map_err(|_| HttpClientError::BadRequest)?;
        }
        Ok(builder.bytes(call.body.clone()))
    }

    fn read(&self, response: Response, deadline: Instant) -> Result<HttpReply, HttpClientError> {
        let (status, headers, reader) = response.split();
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let length: Option<u64> = text("content-length").and_then(|value| value.parse().ok());
        let has_no_body = matches!(status.as_u16(), 100..200 | 204 | 304);
        // The library hides whether an answer without a length came in chunks or ends with the
        // connection, and only a length shows a cut for certain.
        let expected = match length {
            _ if has_no_body => 0,
            Some(length) => length,
            None => return Err(HttpClientError::Broken(BrokenReply::NoLength)),
        };
        let body = self.read_body(reader, expected, deadline)?;
        let headers = headers
            .iter()
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
            .collect();
        Ok(HttpReply {
            status: status.as_u16(),
            headers,
            body,
        })
    }

    fn read_body(
        &self,
        reader: impl Read,
        expected_bytes: u64,
        deadline: Instant,
    ) -> Result<Bytes, HttpClientError> {
        let limit = self.config.max_body_bytes;
        let room = match usize::try_from(expected_bytes) {
            Ok(room) if room <= limit => room,
            _ => return Err(HttpClientError::TooLarge(limit)),
        };
        let mut body = Vec::with_capacity(room);
        let reader = UntilDeadline { reader, deadline };
        reader
            .take(expected_bytes)
            .read_to_end(&mut body)
            .map_err(|error| classify_io(error, deadline))?;
        match body.len() {
            length if length == room => Ok(Bytes::from(body)),
            _ if Instant::now() >= deadline => Err(HttpClientError::Timeout),
            length => Err(HttpClientError::Broken(BrokenReply::Short(
                expected_bytes,
                length as u64,
            ))),
        }
    }
}

/// Stops reading at a deadline, however often single bytes arrive. The library's own guard
/// against that starts a thread for each call.
struct UntilDeadline<R> {
    reader: R,
    deadline: Instant,
}

impl<R: Read> Read for UntilDeadline<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match Instant::now() < self.deadline {
            true => self.reader.read(buffer),
            false => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

fn header_name(name: &str) -> Result<HeaderName, HttpClientError> {
    name.parse().map_err(|_| HttpClientError::BadRequest)
}

fn classify(error: attohttpc::Error, deadline: Instant) -> HttpClientError {
    let message = error.to_string();
    match error.into_kind() {
        ErrorKind::Io(source) => classify_io(source, deadline),
        ErrorKind::InvalidResponse(kind) => {
            HttpClientError::Broken(BrokenReply::Head(kind.to_string()))
        }
        ErrorKind::Http(_)
        | ErrorKind::InvalidBaseUrl
        | ErrorKind::InvalidUrlHost
        | ErrorKind::InvalidUrlPort => HttpClientError::BadRequest,
        _ => HttpClientError::Lost(io::Error::other(message)),
    }
}

fn classify_io(source: io::Error, deadline: Instant) -> HttpClientError {
    match source.kind() {
        // Only connecting yields it, before any byte is written.
        io::ErrorKind::ConnectionRefused => HttpClientError::NeverSent(source),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => HttpClientError::Timeout,
        io::ErrorKind::UnexpectedEof if Instant::now() >= deadline => HttpClientError::Timeout,
        io::ErrorKind::InvalidData => HttpClientError::Broken(BrokenReply::Body),
        _ => HttpClientError::Lost(source),
    }
}
