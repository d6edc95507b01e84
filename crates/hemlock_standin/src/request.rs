//! A request as a stand-in reads it.

use bytes::{Buf, BytesMut};
use serde::Deserialize;

/// Most headers of one request.
const MAX_HEADERS: usize = 64;

/// Most bytes of a request's head.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Most bytes of a request's body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// What the body may ask of the stand-in; every other field is ignored.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct WorkOrder {
    /// How long to work, in milliseconds.
    pub(crate) work_ms: Option<u64>,
    /// Name of the work, counted like an idempotency key and told in the answer.
    pub(crate) key: Option<String>,
    /// Bytes of padding in the answer.
    pub(crate) answer_bytes: Option<usize>,
}

/// A whole request.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkRequest {
    pub(crate) path: String,
    pub(crate) submission: Option<String>,
    pub(crate) task: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) order: WorkOrder,
    pub(crate) close: bool,
}

impl WorkRequest {
    /// The key under which the start is counted: the body's before the header's, because the
    /// body's is the caller's own.
    pub(crate) fn key(&self) -> Option<&str> {
        self.order
            .key
            .as_deref()
            .or(self.idempotency_key.as_deref())
    }
}

/// What stands at the front of the buffer.
pub(crate) enum Parsed {
    /// Not yet a whole request.
    Partial,
    /// No request at all.
    Malformed,
    /// A whole request, now taken out of the buffer.
    Whole(Box<WorkRequest>),
}

/// Takes one whole request off the front of the buffer.
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
        order: serde_json::from_slice(body).unwrap_or_default(),
        close: text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
    };
    buffer.advance(head_bytes + body_bytes);
    Parsed::Whole(Box::new(request))
}
