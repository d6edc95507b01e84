//! A small HTTP/1.1 client and server for stand-ins: bodies with a length only.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::Value;

pub struct Request {
    pub method: String,
    pub path: String,
    pub target: Option<String>,
    pub body: Value,
}

pub struct Reply {
    pub status: u16,
    pub body: Value,
}

/// A connection with the bytes that were read and not used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Opens a connection.
    pub fn open(address: SocketAddr, timeout: Duration) -> Option<Self> {
        TcpStream::connect_timeout(&address, timeout)
            .ok()
            .map(Self::new)
    }

    /// Reads a message: its first line, its headers and its body.
    fn read_message(
        &mut self,
        until: Option<Instant>,
    ) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                let mut lines = head.split("\r\n");
                let first = lines.next()?.to_owned();
                let headers: Vec<(String, String)> = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| {
                        (name.trim().to_ascii_lowercase(), value.trim().to_owned())
                    })
                    .collect();
                let length = headers
                    .iter()
                    .find(|(name, _)| name == "content-length")
                    .and_then(|(_, value)| value.parse::<usize>().ok())
                    .unwrap_or(0);
                let total = end + 4 + length;
                while self.buffer.len() < total {
                    self.read_more(until)?;
                }
                let body = self.buffer[end + 4..total].to_vec();
                self.buffer.drain(..total);
                return Some((first, headers, body));
            }
            self.read_more(until)?;
        }
    }

    fn read_more(&mut self, until: Option<Instant>) -> Option<()> {
        let mut chunk = [0; 16 * 1024];
        loop {
            if let Some(until) = until {
                let left = until.checked_duration_since(Instant::now())?;
                self.stream
                    .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                    .ok()?;
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(count) => {
                    self.buffer.extend_from_slice(&chunk[..count]);
                    return Some(());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    until?;
                }
                Err(_) => return None,
            }
        }
    }

    /// Reads a request. Returns `None` once the connection is over.
    pub fn read_request(&mut self) -> Option<Request> {
        let (first, headers, body) = self.read_message(None)?;
        let mut words = first.split(' ');
        let method = words.next()?.to_owned();
        let path = words.next()?.to_owned();
        let target = headers
            .into_iter()
            .find(|(name, _)| name == "x-target-instance")
            .map(|(_, value)| value);
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Some(Request {
            method,
            path,
            target,
            body,
        })
    }

    pub fn send_reply(&mut self, status: u16, body: &Value) -> bool {
        let body = body.to_string();
        let text = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Sends a request and waits for the reply.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        host: &str,
        headers: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<Reply> {
        let until = Instant::now() + timeout;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes()).ok()?;
        let (first, _, body) = self.read_message(Some(until))?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Some(Reply { status, body })
    }
}

/// Makes one call over a new connection. `None` means that no answer came.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<Reply> {
    let until = Instant::now() + timeout;
    let mut connection = Connection::open(address, timeout)?;
    let left = until.checked_duration_since(Instant::now())?;
    connection.call(method, path, host, headers, body, left)
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes
        .windows(needle.len())
        .position(|window| window == needle)
}
