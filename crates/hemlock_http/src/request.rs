//! A whole request, as a handler sees it.

use std::net::SocketAddr;

use bytes::Bytes;
use tiny_http::Method;

/// The headers of a request, in the order in which they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Adds a header.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.0.push((name.into(), value.into()));
    }

    /// The first header of that name, whatever its case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Every header of that name, whatever its case.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// All headers.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

/// A whole request within the server's limits.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Its method.
    pub method: Method,
    /// Path of its target, without the query.
    pub path: String,
    /// Query of its target, without the `?`.
    pub query: Option<String>,
    /// Its headers.
    pub headers: Headers,
    /// Its body, whole.
    pub body: Bytes,
    /// Address it came from.
    pub peer: SocketAddr,
}

impl HttpRequest {
    /// The first header of that name, whatever its case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)
    }

    /// The path's parts between slashes, without empty ones.
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }

    /// The first value of a query parameter, as sent.
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

    /// The key of an `Authorization: Bearer` header.
    pub fn bearer(&self) -> Option<&str> {
        let (scheme, key) = self.header("authorization")?.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    }
}
