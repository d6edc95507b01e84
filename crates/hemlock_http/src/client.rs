//! A blocking HTTP client. Each request uses a new connection and yields either a complete response
//! or an [`HttpClientError`].

use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::header::HeaderName;
use attohttpc::{ErrorKind, ProxySettings, RequestBuilder, Response};
use bytes::Bytes;
use tiny_http::Method;

use crate::error::{HttpClientError, ReplyError};

/// Default time limit for connecting, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Default time limit from the start of a call to the complete response, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Default size limit of a response body, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Limits of an [`HttpClient`].
#[derive(Clone, Debug)]
pub struct HttpClientConfig {
    /// Time limit for connecting, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time limit from the start of a call to the complete response, in milliseconds.
    pub timeout_ms: u64,
    /// Largest response body, in bytes.
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
    /// Sets the time limit for connecting, in milliseconds.
    #[must_use]
    pub fn with_connect_timeout_ms(mut self, connect_timeout_ms: u64) -> Self {
        self.connect_timeout_ms = connect_timeout_ms;
        self
    }

    /// Sets the time limit from the start of a call to the complete response, in milliseconds.
    #[must_use]
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sets the size limit of a response body, in bytes.
    #[must_use]
    pub fn with_max_body_bytes(mut self, max_body_bytes: usize) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }
}

/// A request to send with an [`HttpClient`].
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// HTTP method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query.
    pub target: String,
    /// Request headers.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
    /// Time limit until the complete response has arrived, in milliseconds; `None` for the limit
    /// of the client.
    pub timeout_ms: Option<u64>,
}

impl HttpCall {
    /// Creates a request without a body.
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

    /// Sets the time limit until the complete response has arrived, in milliseconds.
    #[must_use]
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = Some(timeout_ms);
        self
    }
}

/// A complete response from a server.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// HTTP status.
    pub status: u16,
    /// Headers, with lowercase names. [`HttpClient`] omits headers whose values are not visible
    /// ASCII text.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

impl HttpReply {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the content type, or an empty string if there is none.
    pub fn content_type(&self) -> &str {
        self.header("content-type").unwrap_or_default()
    }
}

/// Sends requests. Can be shared between threads.
#[derive(Clone, Debug)]
pub struct HttpClient {
    config: HttpClientConfig,
}

impl HttpClient {
    /// Creates a client with the given limits.
    pub fn new(config: HttpClientConfig) -> Self {
        Self { config }
    }

    /// Sends one request over a new connection and blocks until the complete response has arrived.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpClientError`] if there is no complete response.
    /// [`HttpClientError::NeverSent`] and [`HttpClientError::BadRequest`] prove that the request
    /// was not carried out. After any other error it may have been.
    pub fn send(&self, call: &HttpCall) -> Result<HttpReply, HttpClientError> {
        let timeout_ms = call.timeout_ms.unwrap_or(self.config.timeout_ms).max(1);
        let timeout = Duration::from_millis(timeout_ms);
        let deadline = Instant::now() + timeout;
        let response = self
            .build(call, timeout)?
            .send()
            .map_err(|error| classify(error, deadline))?;
        self.read_reply(response, deadline)
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

    fn read_reply(
        &self,
        response: Response,
        deadline: Instant,
    ) -> Result<HttpReply, HttpClientError> {
        let (status, headers, reader) = response.split();
        let header_text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let length: Option<u64> =
            header_text("content-length").and_then(|value| value.parse().ok());
        let has_no_body = matches!(status.as_u16(), 100..200 | 204 | 304);
        // `attohttpc` hides whether a response without a length was chunked or ended with the
        // connection. Only a length reliably reveals a truncated body.
        let expected = match length {
            _ if has_no_body => 0,
            Some(length) => length,
            None => return Err(HttpClientError::MalformedReply(ReplyError::NoLength)),
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
        let expected_len = match usize::try_from(expected_bytes) {
            Ok(expected_len) if expected_len <= limit => expected_len,
            _ => return Err(HttpClientError::TooLarge(limit)),
        };
        let mut body = Vec::with_capacity(expected_len);
        let reader = DeadlineReader { reader, deadline };
        reader
            .take(expected_bytes)
            .read_to_end(&mut body)
            .map_err(|error| classify_io(error, deadline))?;
        match body.len() {
            length if length == expected_len => Ok(Bytes::from(body)),
            _ if Instant::now() >= deadline => Err(HttpClientError::Timeout),
            length => Err(HttpClientError::MalformedReply(ReplyError::Truncated(
                expected_bytes,
                length as u64,
            ))),
        }
    }
}

/// A reader that fails after a deadline, even if a slow server keeps sending single bytes. The
/// timeout of `attohttpc` for this case starts a thread for each call.
struct DeadlineReader<R> {
    reader: R,
    deadline: Instant,
}

impl<R: Read> Read for DeadlineReader<R> {
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
            HttpClientError::MalformedReply(ReplyError::Head(kind.to_string()))
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
        // Occurs only while connecting, before any byte is written.
        io::ErrorKind::ConnectionRefused => HttpClientError::NeverSent(source),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => HttpClientError::Timeout,
        io::ErrorKind::UnexpectedEof if Instant::now() >= deadline => HttpClientError::Timeout,
        io::ErrorKind::InvalidData => HttpClientError::MalformedReply(ReplyError::Body),
        _ => HttpClientError::Lost(source),
    }
}
