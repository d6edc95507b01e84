//! Responses of the server and their encoding.

use std::io::Cursor;

use bytes::Bytes;
use serde::Serialize;
use tiny_http::{HTTPVersion, Header, Response, StatusCode};

/// Content type of a JSON body.
const JSON: &str = "application/json";

/// A response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers other than `Content-Length` and `Date`.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Creates a response without a body.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a response with a JSON body, or one with status 500 if `value` can't be serialized.
    pub fn json<T: Serialize + ?Sized>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(status).with_body(body, JSON),
            Err(_) => Self::error(500, "internal", "the answer has no JSON form"),
        }
    }

    /// Creates a response with the body `{"error": code, "message": message}`.
    pub fn error(status: u16, code: &str, message: &str) -> Self {
        let value = serde_json::json!({ "error": code, "message": message });
        Self::new(status).with_body(value.to_string(), JSON)
    }

    /// Creates a plain text response.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self::new(status).with_body(text.into(), "text/plain; charset=utf-8")
    }

    /// Adds a header. Bytes of the value that are not printable ASCII are sent as `?`.
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

    /// Encodes the response. `head_only` omits the body, for `HEAD` requests; `close` adds
    /// `Connection: close`.
    pub(crate) fn into_bytes(self, head_only: bool, close: bool) -> Vec<u8> {
        let length = self.body.len();
        let mut headers: Vec<Header> = self
            .headers
            .iter()
            .filter_map(|(name, value)| to_header(name, value))
            .collect();
        if close {
            headers.extend(to_header("Connection", "close"));
        }
        let response = Response::new(
            StatusCode(self.status),
            headers,
            Cursor::new(self.body),
            Some(length),
            None,
        )
        .with_chunked_threshold(usize::MAX);
        let mut bytes = Vec::with_capacity(length + 256);
        response
            .raw_print(&mut bytes, HTTPVersion(1, 1), &[], head_only, None)
            .expect("writing to memory does not fail");
        bytes
    }
}

/// Builds a header in which bytes other than printable ASCII are replaced by `?`; `None` if the
/// name is invalid.
fn to_header(name: &str, value: &str) -> Option<Header> {
    let printable = |byte: u8| match byte {
        b' '..=b'~' => byte,
        _ => b'?',
    };
    let value: Vec<u8> = value.bytes().map(printable).collect();
    Header::from_bytes(name.as_bytes(), value).ok()
}
