//! A small HTTP/1.1 client and the parts of a server that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads one request or response from a connection. `buffer` holds bytes that were read ahead.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        let mut chunk = [0; 8192];
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.parse::<usize>().ok())
        .unwrap_or(0);
    while buffer.len() < head_end + length {
        let mut chunk = [0; 8192];
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    let body = String::from_utf8_lossy(&buffer[head_end..head_end + length]).into_owned();
    buffer.drain(..head_end + length);
    Ok(Some(Message {
        first_line,
        headers,
        body,
    }))
}

pub fn write_response(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// The answer to a call: its status and body, or why there is none.
pub type Answer = Result<(u16, String, Option<String>), String>;

/// Makes one call on a connection of its own. Gives up and closes the connection at `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Answer {
    let until = Instant::now() + limit;
    let text = |error: io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&address, limit).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (key, value) in headers {
        request += &format!("{key}: {value}\r\n");
    }
    request += "\r\n";
    request += body;
    stream.write_all(request.as_bytes()).map_err(text)?;
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).map_err(text)?;
    match read_message(&mut stream, &mut Vec::new()) {
        Ok(Some(message)) => {
            let status = message
                .first_line
                .split(' ')
                .nth(1)
                .and_then(|code| code.parse().ok());
            let location = message.header("location").map(str::to_owned);
            status
                .map(|status| (status, message.body, location))
                .ok_or("no status".to_owned())
        }
        Ok(None) => Err("connection closed without an answer".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// A number field of a flat JSON object.
pub fn number(body: &str, name: &str) -> Option<u64> {
    let at = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = body[at..]
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

/// A text field of a flat JSON object, without escapes.
pub fn text(body: &str, name: &str) -> Option<String> {
    let at = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = body[at..].trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}
