//! A kept connection to one server, for calls that follow each other on the caller's own runtime.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tiny_http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::client::HttpReply;
use crate::error::{BrokenReply, HttpClientError};

/// Room made in the buffer for one read, in bytes.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Most headers of an answer.
const MAX_HEADERS: usize = 64;
/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// One call over a channel.
#[derive(Clone, Debug)]
pub struct ChannelCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers besides host and length.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
    /// Time to the whole answer, in milliseconds.
    pub timeout_ms: u64,
}

impl ChannelCall {
    /// A call with a JSON body.
    pub fn json(method: Method, target: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            target: target.into(),
            headers: vec![("Content-Type", "application/json".to_owned())],
            body: body.into(),
            timeout_ms: 1_000,
        }
    }

    /// Adds a header. The value must be printable.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the time to the whole answer.
    #[must_use]
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }
}

/// A connection that is kept between calls and opened again when it is gone.
#[derive(Debug)]
pub struct HttpChannel {
    address: SocketAddr,
    stream: Option<TcpStream>,
    buffer: BytesMut,
}

impl HttpChannel {
    /// A channel that connects with its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            buffer: BytesMut::new(),
        }
    }

    /// The server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a connection is open, as far as is known.
    pub fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Makes one call. After any error the connection is closed.
    ///
    /// # Errors
    ///
    /// [`HttpClientError::NeverSent`] proves that nothing ran; after any other error the call may
    /// have been carried out, or may be carried out later.
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
        let (reply, keep) = read_reply(stream, &mut self.buffer).await?;
        if !keep {
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

/// An answer's head.
struct Head {
    status: u16,
    headers: Vec<(String, String)>,
    length: usize,
}

/// Reads one whole answer; the flag says whether the connection may be kept.
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
    let text = |name: &str| {
        let mut headers = head.headers.iter();
        let found = headers.find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    };
    let has_no_body = matches!(head.status, 100..200 | 204 | 304);
    let body_bytes = match text("content-length").map(str::parse::<usize>) {
        _ if has_no_body => 0,
        Some(Ok(length)) if length <= MAX_BODY_BYTES => length,
        Some(Ok(_)) => return Err(HttpClientError::TooLarge(MAX_BODY_BYTES)),
        Some(Err(_)) | None => return Err(HttpClientError::Broken(BrokenReply::NoLength)),
    };
    let keep = text("connection").is_none_or(|value| !value.eq_ignore_ascii_case("close"));
    while buffer.len() < body_bytes {
        read_more(stream, buffer).await?;
    }
    let body = buffer.split_to(body_bytes).freeze();
    let reply = HttpReply {
        status: head.status,
        headers: head.headers,
        body,
    };
    Ok((reply, keep))
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

/// The head at the start of the buffer; `None` until it is whole.
fn parse_head(buffer: &[u8]) -> Result<Option<Head>, HttpClientError> {
    let broken = |reason: String| HttpClientError::Broken(BrokenReply::Head(reason));
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(broken(error.to_string())),
    };
    let status = response
        .code
        .ok_or_else(|| broken("no status".to_owned()))?;
    let named = |header: &httparse::Header<'_>| {
        let value = String::from_utf8_lossy(header.value).trim().to_owned();
        (header.name.to_ascii_lowercase(), value)
    };
    Ok(Some(Head {
        status,
        headers: response.headers.iter().map(named).collect(),
        length,
    }))
}
