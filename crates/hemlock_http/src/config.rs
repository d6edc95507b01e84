//! Limits of an HTTP server.

use std::net::SocketAddr;

/// Connections open at once by default.
const DEFAULT_MAX_CONNECTIONS: usize = 8_192;
/// Largest request head by default, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest request body by default, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Request bodies held at once by default, in bytes.
const DEFAULT_MAX_BUFFERED_BYTES: usize = 256 * 1024 * 1024;
/// Time for a whole request to arrive by default, in milliseconds.
const DEFAULT_READ_TIMEOUT_MS: u64 = 10_000;
/// Time for a whole answer to be taken by default, in milliseconds.
const DEFAULT_WRITE_TIMEOUT_MS: u64 = 10_000;
/// Time that an unused connection stays open by default, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;
/// Threads that read and write by default.
const DEFAULT_THREADS: usize = 2;

/// Address and limits of an HTTP server.
#[derive(Clone, Debug)]
pub struct HttpServerConfig {
    /// Address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// Connections open at once; one more is answered 503 and closed.
    pub max_connections: usize,
    /// Largest request line and headers together, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Request bodies held at once over all connections, in bytes.
    pub max_buffered_bytes: usize,
    /// Time from the first byte of a request to its last, in milliseconds.
    pub read_timeout_ms: u64,
    /// Time for the caller to take a whole answer, in milliseconds.
    pub write_timeout_ms: u64,
    /// Time that a connection without a request stays open, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Threads that read requests and write answers.
    pub threads: usize,
    /// Value of the `instance` label on this server's counters.
    pub instance: String,
}

impl HttpServerConfig {
    /// The default limits at the given address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            max_head_bytes: DEFAULT_MAX_HEAD_BYTES,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            max_buffered_bytes: DEFAULT_MAX_BUFFERED_BYTES,
            read_timeout_ms: DEFAULT_READ_TIMEOUT_MS,
            write_timeout_ms: DEFAULT_WRITE_TIMEOUT_MS,
            idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
            threads: DEFAULT_THREADS,
            instance: String::new(),
        }
    }

    /// Sets how many connections may be open at once.
    #[must_use]
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the largest request line and headers, in bytes.
    #[must_use]
    pub fn with_max_head_bytes(mut self, max_head_bytes: usize) -> Self {
        self.max_head_bytes = max_head_bytes;
        self
    }

    /// Sets the largest request body, in bytes.
    #[must_use]
    pub fn with_max_body_bytes(mut self, max_body_bytes: usize) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }

    /// Sets how much of request bodies may be held at once, in bytes.
    #[must_use]
    pub fn with_max_buffered_bytes(mut self, max_buffered_bytes: usize) -> Self {
        self.max_buffered_bytes = max_buffered_bytes;
        self
    }

    /// Sets the time for a whole request to arrive, in milliseconds.
    #[must_use]
    pub fn with_read_timeout_ms(mut self, read_timeout_ms: u64) -> Self {
        self.read_timeout_ms = read_timeout_ms;
        self
    }

    /// Sets the time for a whole answer to be taken, in milliseconds.
    #[must_use]
    pub fn with_write_timeout_ms(mut self, write_timeout_ms: u64) -> Self {
        self.write_timeout_ms = write_timeout_ms;
        self
    }

    /// Sets the time that an unused connection stays open, in milliseconds.
    #[must_use]
    pub fn with_idle_timeout_ms(mut self, idle_timeout_ms: u64) -> Self {
        self.idle_timeout_ms = idle_timeout_ms;
        self
    }

    /// Sets how many threads read and write.
    #[must_use]
    pub fn with_threads(mut self, threads: usize) -> Self {
        self.threads = threads.max(1);
        self
    }

    /// Sets the `instance` label of this server's counters.
    #[must_use]
    pub fn with_instance(mut self, instance: impl Into<String>) -> Self {
        self.instance = instance.into();
        self
    }
}
