//! Errors of the server and of the client.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why a server could not start.
    #[derive(Debug)]
    pub enum HttpError {
        /// The address can't be listened on.
        Bind(address: SocketAddr, source: io::Error) {
            display("cannot listen on {address}: {source}")
            source(source)
        }
        /// A thread or its event loop could not be made.
        Thread(source: io::Error) {
            display("cannot start an HTTP thread: {source}")
            source(source)
        }
    }
}

quick_error! {
    /// Why a call has no whole answer.
    #[derive(Debug)]
    pub enum HttpClientError {
        /// No byte of the request left this process: the work did not run.
        NeverSent(source: io::Error) {
            display("the request was never sent: {source}")
            source(source)
        }
        /// The connection was lost after sending began: the work may have run.
        Lost(source: io::Error) {
            display("the connection was lost after sending: {source}")
            source(source)
        }
        /// The answer was malformed or cut short: the work may have run.
        Broken(cause: BrokenReply) {
            display("the answer is broken: {cause}")
        }
        /// The answer was larger than the limit: the work ran.
        TooLarge(limit_bytes: usize) {
            display("the answer is larger than {limit_bytes} bytes")
        }
        /// No whole answer came in time: the work may have run.
        Timeout {
            display("no whole answer came in time")
        }
        /// The request itself can't be written as HTTP: it was not sent.
        BadRequest {
            display("the request can't be written as HTTP")
        }
    }
}

quick_error! {
    /// What is wrong with an answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BrokenReply {
        /// Its head does not parse.
        Head(kind: String) {
            display("{kind}")
        }
        /// It does not give its length, so a cut can't be told from its end.
        NoLength {
            display("it has no Content-Length")
        }
        /// Its body ended early.
        Short(expected_bytes: u64, got_bytes: u64) {
            display("{got_bytes} of {expected_bytes} bytes came")
        }
        /// Its body does not parse.
        Body {
            display("its body does not parse")
        }
    }
}

/// Why a request was refused before any handler saw it; nothing was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    LengthRequired,
    ExpectationFailed,
    VersionNotSupported,
    Slow,
    Busy,
}

impl Refusal {
    /// HTTP status of the answer.
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Slow => 408,
            Self::LengthRequired => 411,
            Self::BodyTooLarge => 413,
            Self::ExpectationFailed => 417,
            Self::HeadTooLarge => 431,
            Self::Busy => 503,
            Self::VersionNotSupported => 505,
        }
    }

    /// Value of the `cause` label on the counter, and the code in the answer.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::Malformed => "malformed-request",
            Self::Slow => "request-too-slow",
            Self::LengthRequired => "length-required",
            Self::BodyTooLarge => "body-too-large",
            Self::ExpectationFailed => "expectation-failed",
            Self::HeadTooLarge => "head-too-large",
            Self::Busy => "too-many-connections",
            Self::VersionNotSupported => "http-version-not-supported",
        }
    }

    /// What the caller can do about it.
    pub(crate) fn advice(self) -> &'static str {
        match self {
            Self::Malformed => "send a well-formed HTTP/1.1 request with ASCII headers",
            Self::Slow => "send the whole request without pauses",
            Self::LengthRequired => "give Content-Length once; chunked requests are not taken",
            Self::BodyTooLarge => "send a smaller body",
            Self::ExpectationFailed => "the only Expect header taken is 100-continue",
            Self::HeadTooLarge => "send fewer or shorter headers",
            Self::Busy => "come back in a second",
            Self::VersionNotSupported => "use HTTP/1.1 or HTTP/1.0",
        }
    }
}
