//! An asynchronous client that sends successive requests over one persistent connection, on the
//! caller's runtime.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tiny_http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::client::HttpReply;
use crate::error::{HttpClientError, ReplyError};

/// Free space in the buffer before each read, in bytes.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 64;
/// Largest response head (status line and headers), in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest response body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// A request to send over an [`HttpChannel`].
#[derive(Clone, Debug)]
pub struct ChannelCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers other than `Host` and `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Bytes,
    /// Time limit until the complete response has arrived, in milliseconds.
    pub timeout_ms: u64,
}

impl ChannelCall {
    /// Creates a request with a JSON body and a time limit of one second.
    pub fn json(method: Method, target: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            target: target.into(),
            headers: vec![("Content-Type", "application/json".to_owned())],
            body: body.into(),
            timeout_ms: 1_000,
        }
    }

    /// Adds a header. The value must consist of printable characters; it is sent without a check.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the time limit until the complete response has arrived, in milliseconds.
    #[must_use]
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }
}

/// A client for one server that keeps its connection open between requests, and connects again
/// after it was lost.
#[derive(Debug)]
pub struct HttpChannel {
    address: SocketAddr,
    stream: Option<TcpStream>,
    buffer: BytesMut,
}

impl HttpChannel {
    /// Creates a channel. It connects when the first request is sent.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether a connection is open, as far as this process knows.
    pub fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Sends one request and waits for the complete response. Any error closes the connection.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpClientError`] if there is no complete response.
    /// [`HttpClientError::NeverSent`] proves that the request was not carried out. After any other
    /// error it may have been carried out, or may still be.
    pub async fn send(&mut self, call: &ChannelCall) -> Result<HttpReply, HttpClientError> {
        let limit = Duration::from_millis(call.timeout_ms);
        let result = match timeout(limit, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(HttpClientError::Timeout),
        };
        if result.is_err() {
            self.stream = None;
            self.buffer.clear();
        }
        result
    }

    async fn exchange(&mut self, call: &ChannelCall) -> Result<HttpReply, HttpClientError> {
        if self.stream.is_none() {
            let stream = TcpStream::connect(self.address).await;
            let stream = stream.map_err(HttpClientError::NeverSent)?;
            stream
                .set_nodelay(true)
                .map_err(HttpClientError::NeverSent)?;
            self.stream = Some(stream);
            self.buffer.clear();
        }
        let request = self.encode(call);
        let Some(stream) = &mut self.stream else {
            return Err(HttpClientError::Timeout);
        };
        stream
            .write_all(&request)
            .await
            .map_err(HttpClientError::Lost)?;
        let (reply, keep_alive) = read_reply(stream, &mut self.buffer).await?;
        if !keep_alive {
            self.stream = None;
        }
        Ok(reply)
    }

    fn encode(&self, call: &ChannelCall) -> Vec<u8> {
        let mut request = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n",
            call.method,
            call.target,
            self.address,
            call.body.len()
        )
        .into_bytes();
        for (name, value) in &call.headers {
            request.extend_from_slice(name.as_bytes());
            request.extend_from_slice(b": ");
            request.extend_from_slice(value.as_bytes());
            request.extend_from_slice(b"\r\n");
        }
        request.extend_from_slice(b"\r\n");
        request.extend_from_slice(&call.body);
        request
    }
}

/// A parsed response head.
struct Head {
    status: u16,
    headers: Vec<(String, String)>,
    length: usize,
}

/// Reads one complete response. The flag tells whether the connection may be used again.
async fn read_reply(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Result<(HttpReply, bool), HttpClientError> {
    let head = loop {
        if let Some(head) = parse_head(buffer)? {
            break head;
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(HttpClientError::TooLarge(MAX_HEAD_BYTES));
        }
        read_more(stream, buffer).await?;
    };
    let _ = buffer.split_to(head.length);
    let header = |name: &str| {
        let mut headers = head.headers.iter();
        let found = headers.find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    };
    let has_no_body = matches!(head.status, 100..200 | 204 | 304);
    let body_bytes = match header("content-length").map(str::parse::<usize>) {
        _ if has_no_body => 0,
        Some(Ok(length)) if length <= MAX_BODY_BYTES => length,
        Some(Ok(_)) => return Err(HttpClientError::TooLarge(MAX_BODY_BYTES)),
        Some(Err(_)) | None => return Err(HttpClientError::MalformedReply(ReplyError::NoLength)),
    };
    let keep_alive = header("connection").is_none_or(|value| !value.eq_ignore_ascii_case("close"));
    while buffer.len() < body_bytes {
        read_more(stream, buffer).await?;
    }
    let body = buffer.split_to(body_bytes).freeze();
    let reply = HttpReply {
        status: head.status,
        headers: head.headers,
        body,
    };
    Ok((reply, keep_alive))
}

async fn read_more(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<(), HttpClientError> {
    buffer.reserve(READ_CHUNK_BYTES);
    match stream.read_buf(buffer).await {
        Ok(0) => Err(HttpClientError::Lost(
            std::io::ErrorKind::UnexpectedEof.into(),
        )),
        Ok(_) => Ok(()),
        Err(error) => Err(HttpClientError::Lost(error)),
    }
}

/// Parses the head at the start of the buffer; `None` while it is incomplete.
fn parse_head(buffer: &[u8]) -> Result<Option<Head>, HttpClientError> {
    let malformed = |reason: String| HttpClientError::MalformedReply(ReplyError::Head(reason));
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(malformed(error.to_string())),
    };
    let status = response
        .code
        .ok_or_else(|| malformed("missing status code".to_owned()))?;
    let lowercase_header = |header: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        (header.name.to_ascii_lowercase(), value)
    };
    Ok(Some(Head {
        status,
        headers: response.headers.iter().map(lowercase_header).collect(),
        length,
    }))
}
