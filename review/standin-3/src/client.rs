//! Clients and the operator: one connection for each request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::record::Record;

/// The host of all routes.
pub(crate) const HOST: &str = "nony24.example";

/// An answer, or none.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    /// The status; zero without an answer.
    pub(crate) status: u16,
    pub(crate) body: Value,
    pub(crate) location: Option<String>,
}

impl Answer {
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// A request, and who sends it where.
pub(crate) struct Call<'a> {
    pub(crate) who: &'a str,
    pub(crate) method: &'a str,
    pub(crate) address: SocketAddr,
    pub(crate) path: &'a str,
    pub(crate) body: Option<&'a Value>,
    /// How long the sender means to wait for an answer.
    pub(crate) wait_ms: u64,
    /// When the connection breaks, if it does.
    pub(crate) break_after_ms: Option<u64>,
}

pub(crate) async fn send(record: &Rc<Record>, call: Call<'_>) -> Answer {
    let Call {
        who,
        method,
        address,
        path,
        body,
        wait_ms,
        break_after_ms,
    } = call;
    let text = body.map(Value::to_string).unwrap_or_default();
    let shown: String = text.chars().take(300).collect();
    record.note(format!("{who}: {method} {path} to {address} {shown}"));
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n\
         X-Deadline-Ms: {wait_ms}\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    );
    let exchange = exchange(address, request);
    let until_ms = break_after_ms.unwrap_or(wait_ms);
    let answer = match timeout(Duration::from_millis(until_ms), exchange).await {
        Ok(Ok(Some(answer))) => answer,
        Ok(Ok(None) | Err(_)) | Err(_) => {
            record.note(format!("{who}: {method} {path} got no answer"));
            return Answer::default();
        }
    };
    let shown: String = answer.body.to_string().chars().take(160).collect();
    let status = answer.status;
    record.note(format!("{who}: {method} {path} answered {status} {shown}"));
    answer
}

/// Sends a request over a new connection. Returns nothing if the answer isn't complete.
async fn exchange(address: SocketAddr, request: String) -> std::io::Result<Option<Answer>> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(answer) = parse(&received) {
            return Ok(Some(answer));
        }
        match stream.read(&mut chunk).await? {
            0 => return Ok(None),
            length => received.extend_from_slice(&chunk[..length]),
        }
    }
}

fn parse(received: &[u8]) -> Option<Answer> {
    let end = received.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let header = |name: &str| {
        let found = headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.clone())
    };
    let length: usize = header("content-length").map_or(Some(0), |value| value.parse().ok())?;
    let body = received.get(end + 4..end + 4 + length)?;
    Some(Answer {
        status,
        body: serde_json::from_slice(body).unwrap_or(Value::Null),
        location: header("location"),
    })
}
