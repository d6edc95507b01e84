//! Parses the head of a request: the request line and the headers.

use tiny_http::{Header, Method};

use crate::error::Refusal;
use crate::request::Headers;

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 100;

/// A valid request line with its headers.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: Option<String>,
    pub(crate) headers: Headers,
    pub(crate) body_bytes: usize,
    pub(crate) expects_continue: bool,
    pub(crate) keep_alive: bool,
}

/// Length of the head at the start of `buffer`, including the blank line; `None` while the head is
/// incomplete.
pub(crate) fn head_length(buffer: &[u8]) -> Option<usize> {
    buffer
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|start| start + 4)
}

/// Parses a complete head.
pub(crate) fn parse_head(bytes: &[u8]) -> Result<Head, Refusal> {
    let text = std::str::from_utf8(bytes).map_err(|_| Refusal::Malformed)?;
    let mut lines = text.trim_end_matches("\r\n").split("\r\n");
    let request_line = lines.next().ok_or(Refusal::Malformed)?;
    let (method, target, minor_version) = parse_request_line(request_line)?;
    let headers = parse_headers(lines)?;
    let (path, query) = split_target(target)?;
    Ok(Head {
        method,
        path,
        query,
        body_bytes: body_length(&headers)?,
        expects_continue: expects_continue(&headers)?,
        keep_alive: keep_alive(&headers, minor_version),
        headers,
    })
}

fn parse_request_line(line: &str) -> Result<(Method, &str, u8), Refusal> {
    let parts: Vec<&str> = line.split(' ').collect();
    let [method, target, version] = parts[..] else {
        return Err(Refusal::Malformed);
    };
    let is_token = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    let method: Method = match method.parse() {
        Ok(parsed) if is_token => parsed,
        _ => return Err(Refusal::Malformed),
    };
    match version {
        "HTTP/1.1" => Ok((method, target, 1)),
        "HTTP/1.0" => Ok((method, target, 0)),
        _ if version.starts_with("HTTP/") => Err(Refusal::VersionNotSupported),
        _ => Err(Refusal::Malformed),
    }
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Result<Headers, Refusal> {
    let mut headers = Headers::default();
    for (count, line) in lines.enumerate() {
        if count == MAX_HEADERS {
            return Err(Refusal::HeadTooLarge);
        }
        let header: Header = line.parse().map_err(|()| Refusal::Malformed)?;
        let value = header.value.as_str();
        let name = header.field.as_str().as_str();
        if name.is_empty() || value.bytes().any(is_forbidden_byte) {
            return Err(Refusal::Malformed);
        }
        headers.push(name, value);
    }
    Ok(headers)
}

fn is_forbidden_byte(byte: u8) -> bool {
    byte.is_ascii_control() && byte != b'\t'
}

fn split_target(target: &str) -> Result<(String, Option<String>), Refusal> {
    let printable = target.bytes().all(|byte| byte.is_ascii_graphic());
    if !printable || !target.starts_with('/') {
        return Err(Refusal::Malformed);
    }
    Ok(match target.split_once('?') {
        Some((path, query)) => (path.to_owned(), Some(query.to_owned())),
        None => (target.to_owned(), None),
    })
}

/// Returns the length of the body. Chunked requests and requests with several lengths are refused,
/// because client and server could disagree on where such a request ends.
fn body_length(headers: &Headers) -> Result<usize, Refusal> {
    if headers.get("transfer-encoding").is_some() {
        return Err(Refusal::LengthRequired);
    }
    let mut lengths = headers.get_all("content-length");
    match (lengths.next(), lengths.next()) {
        (None, _) => Ok(0),
        (Some(_), Some(_)) => Err(Refusal::LengthRequired),
        (Some(length), None) if length.bytes().all(|byte| byte.is_ascii_digit()) => match length {
            "" => Err(Refusal::Malformed),
            digits => digits.parse().map_err(|_| Refusal::BodyTooLarge),
        },
        _ => Err(Refusal::Malformed),
    }
}

fn expects_continue(headers: &Headers) -> Result<bool, Refusal> {
    match headers.get("expect") {
        None => Ok(false),
        Some(expected) if expected.eq_ignore_ascii_case("100-continue") => Ok(true),
        Some(_) => Err(Refusal::ExpectationFailed),
    }
}

fn keep_alive(headers: &Headers, minor_version: u8) -> bool {
    let connection = headers
        .get("connection")
        .map(str::to_ascii_lowercase)
        .unwrap_or_default();
    match minor_version {
        0 => connection.contains("keep-alive"),
        _ => !connection.contains("close"),
    }
}
