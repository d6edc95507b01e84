//! Requests as the server passes them to its handler.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rustix::time::{ClockId, clock_gettime};
use tiny_http::Method;

/// The headers of a request, in the order in which they were received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Adds a header.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.0.push((name.into(), value.into()));
    }

    /// Returns the value of the first header with this name, ignoring case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the values of all headers with this name, ignoring case.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the names and values of all headers.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

/// The earliest time at which a request may have been sent: when its connection was accepted, or
/// when the response before it was written.
///
/// A request may be on its way for long, because the network repeats what a machine that stands
/// still doesn't acknowledge.
#[derive(Clone, Copy, Debug)]
pub struct SentAfter {
    since_boot: Duration,
}

impl SentAfter {
    pub(crate) fn now() -> Self {
        let since_boot = since_boot();
        Self { since_boot }
    }

    /// Time that has passed since, including the time for which the machine was suspended.
    pub fn elapsed(&self) -> Duration {
        since_boot().saturating_sub(self.since_boot)
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// A complete request within the server's limits.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path of the target, without the query.
    pub path: String,
    /// Query of the target, without the `?`.
    pub query: Option<String>,
    /// Request headers.
    pub headers: Headers,
    /// Complete body.
    pub body: Bytes,
    /// Address of the client.
    pub peer: SocketAddr,
    /// The earliest time at which the client may have sent the request.
    pub sent_after: SentAfter,
}

impl HttpRequest {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }

    /// Returns the segments of the path between slashes, without empty ones.
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }

    /// Returns the first value of a query parameter, not percent-decoded. A parameter without `=`
    /// has an empty value.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .as_deref()?
            .split('&')
            .find_map(|pair| match pair.split_once('=') {
                Some((key, value)) if key == name => Some(value),
                None if pair == name => Some(""),
                _ => None,
            })
    }

    /// Returns the token of the `Authorization: Bearer` header.
    pub fn bearer(&self) -> Option<&str> {
        let (scheme, key) = self.header("authorization")?.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    }
}
