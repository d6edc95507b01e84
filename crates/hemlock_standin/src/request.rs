//! Parses HTTP requests to a stand-in endpoint.

use bytes::{Buf, BytesMut};
use serde::Deserialize;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// Maximum length of the request line and headers.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum length of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Parameters of the simulated work, from the body of the request. Other fields are ignored.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct WorkParameters {
    /// Duration of the work, in milliseconds.
    pub(crate) work_ms: Option<u64>,
    /// Key of the work, which is counted like an idempotency key and returned in the response.
    pub(crate) key: Option<String>,
    /// Length of the padding in the response, in bytes.
    pub(crate) answer_bytes: Option<usize>,
}

/// A parsed request.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkRequest {
    pub(crate) path: String,
    pub(crate) submission: Option<String>,
    pub(crate) task: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) work: WorkParameters,
    pub(crate) close: bool,
}

impl WorkRequest {
    /// The key under which the start is counted. The key in the body takes precedence over the
    /// header, because it was set by the caller itself.
    pub(crate) fn key(&self) -> Option<&str> {
        self.work.key.as_deref().or(self.idempotency_key.as_deref())
    }
}

/// Result of parsing a request from the start of a buffer.
pub(crate) enum Parsed {
    /// The request is incomplete; more bytes are needed.
    Partial,
    /// The bytes are not a valid request.
    Malformed,
    /// A complete request, which was removed from the buffer.
    Complete(Box<WorkRequest>),
}

/// Parses one request at the start of the buffer and removes it if it is complete.
pub(crate) fn take_request(buffer: &mut BytesMut) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_bytes = match head.parse(buffer) {
        Ok(httparse::Status::Complete(bytes)) => bytes,
        Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => return Parsed::Partial,
        Ok(httparse::Status::Partial) | Err(_) => return Parsed::Malformed,
    };
    let text = |name: &str| {
        head.headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .and_then(|header| std::str::from_utf8(header.value).ok())
            .map(str::to_owned)
    };
    let length = text("content-length").map_or(Some(0), |length| length.parse::<usize>().ok());
    let Some(body_bytes) = length.filter(|length| *length <= MAX_BODY_BYTES) else {
        return Parsed::Malformed;
    };
    if buffer.len() < head_bytes + body_bytes {
        return Parsed::Partial;
    }
    let body = &buffer[head_bytes..head_bytes + body_bytes];
    let request = WorkRequest {
        path: head.path.unwrap_or("/").to_owned(),
        submission: text("hemlock-submission"),
        task: text("hemlock-task"),
        idempotency_key: text("idempotency-key"),
        work: serde_json::from_slice(body).unwrap_or_default(),
        close: text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
    };
    buffer.advance(head_bytes + body_bytes);
    Parsed::Complete(Box::new(request))
}
