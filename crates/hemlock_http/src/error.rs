//! Errors of the server and the client.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// The server could not start.
    #[derive(Debug)]
    pub enum HttpError {
        /// Listening on the address failed.
        Bind(address: SocketAddr, source: io::Error) {
            display("cannot listen on {address}: {source}")
            source(source)
        }
        /// Starting a thread or its runtime failed.
        Thread(source: io::Error) {
            display("cannot start an HTTP thread: {source}")
            source(source)
        }
    }
}

quick_error! {
    /// A request has no complete response.
    #[derive(Debug)]
    pub enum HttpClientError {
        /// No byte of the request was sent: the work did not run.
        NeverSent(source: io::Error) {
            display("the request was never sent: {source}")
            source(source)
        }
        /// The connection was lost after sending began: the work may have run.
        Lost(source: io::Error) {
            display("connection lost after sending the request: {source}")
            source(source)
        }
        /// The response was malformed or truncated: the work may have run.
        MalformedReply(cause: ReplyError) {
            display("malformed response: {cause}")
        }
        /// The response was larger than the limit: the work ran.
        TooLarge(limit_bytes: usize) {
            display("the response is larger than {limit_bytes} bytes")
        }
        /// The complete response did not arrive in time: the work may have run.
        Timeout {
            display("timed out before the complete response arrived")
        }
        /// The request can't be represented in HTTP and was not sent.
        BadRequest {
            display("the request can't be represented in HTTP")
        }
    }
}

quick_error! {
    /// Reason why a response is malformed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ReplyError {
        /// The head can't be parsed.
        Head(kind: String) {
            display("{kind}")
        }
        /// The response has no valid `Content-Length`, so a truncated body can't be recognized.
        NoLength {
            display("no valid Content-Length header")
        }
        /// The body is shorter than its `Content-Length`.
        Truncated(expected_bytes: u64, got_bytes: u64) {
            display("received {got_bytes} of {expected_bytes} body bytes")
        }
        /// The body can't be decoded.
        Body {
            display("the body can't be decoded")
        }
    }
}

/// Reason why the server refuses a request or a connection before it calls the handler. The work
/// has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    LengthRequired,
    ExpectationFailed,
    VersionNotSupported,
    RequestTimeout,
    Busy,
}

impl Refusal {
    /// HTTP status of the answer.
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::RequestTimeout => 408,
            Self::LengthRequired => 411,
            Self::BodyTooLarge => 413,
            Self::ExpectationFailed => 417,
            Self::HeadTooLarge => 431,
            Self::Busy => 503,
            Self::VersionNotSupported => 505,
        }
    }

    /// Value of the counter's `cause` label and error code in the response.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::Malformed => "malformed-request",
            Self::RequestTimeout => "request-too-slow",
            Self::LengthRequired => "length-required",
            Self::BodyTooLarge => "body-too-large",
            Self::ExpectationFailed => "expectation-failed",
            Self::HeadTooLarge => "head-too-large",
            Self::Busy => "too-many-connections",
            Self::VersionNotSupported => "http-version-not-supported",
        }
    }

    /// Advice to the client, for the message in the response.
    pub(crate) fn advice(self) -> &'static str {
        match self {
            Self::Malformed => "send a well-formed HTTP/1.1 request with ASCII headers",
            Self::RequestTimeout => "send the whole request without pauses",
            Self::LengthRequired => "give Content-Length once; chunked requests are not taken",
            Self::BodyTooLarge => "send a smaller body",
            Self::ExpectationFailed => "the only Expect header taken is 100-continue",
            Self::HeadTooLarge => "send fewer or shorter headers",
            Self::Busy => "come back in a second",
            Self::VersionNotSupported => "use HTTP/1.1 or HTTP/1.0",
        }
    }
}
