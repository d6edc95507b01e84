//! Configuration of the HTTP server.

use std::net::SocketAddr;

/// Default limit of open connections.
const DEFAULT_MAX_CONNECTIONS: usize = 8_192;
/// Default size limit of a request head, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// Default size limit of a request body, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Default total size limit of the request bodies in memory, in bytes.
const DEFAULT_MAX_BUFFERED_BYTES: usize = 256 * 1024 * 1024;
/// Default time limit for receiving a request, in milliseconds.
const DEFAULT_READ_TIMEOUT_MS: u64 = 10_000;
/// Default time limit for sending a response, in milliseconds.
const DEFAULT_WRITE_TIMEOUT_MS: u64 = 10_000;
/// Default time after which an idle connection is closed, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 60_000;
/// Default number of threads that read requests and write responses.
const DEFAULT_THREADS: usize = 2;

/// Address and limits of an [`HttpServer`](crate::server::HttpServer).
#[derive(Clone, Debug)]
pub struct HttpServerConfig {
    /// Address to listen on. With port 0 the operating system chooses a free port.
    pub address: SocketAddr,
    /// Maximum number of open connections. A further connection gets status 503 and is closed.
    pub max_connections: usize,
    /// Largest request head (request line and headers), in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest total size of the request bodies in memory, over all connections, in bytes.
    pub max_buffered_bytes: usize,
    /// Time limit from the first to the last byte of a request, in milliseconds.
    pub read_timeout_ms: u64,
    /// Time limit for sending a response, in milliseconds.
    pub write_timeout_ms: u64,
    /// Time after which a connection without a request is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Number of threads that read requests and write responses.
    pub threads: usize,
    /// Value of the `instance` label of this server's metrics.
    pub instance: String,
}

impl HttpServerConfig {
    /// Creates a configuration with the default limits for the given address.
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

    /// Sets the maximum number of open connections.
    #[must_use]
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = max_connections;
        self
    }

    /// Sets the size limit of a request head, in bytes.
    #[must_use]
    pub fn with_max_head_bytes(mut self, max_head_bytes: usize) -> Self {
        self.max_head_bytes = max_head_bytes;
        self
    }

    /// Sets the size limit of a request body, in bytes.
    #[must_use]
    pub fn with_max_body_bytes(mut self, max_body_bytes: usize) -> Self {
        self.max_body_bytes = max_body_bytes;
        self
    }

    /// Sets the total size limit of the request bodies in memory, in bytes.
    #[must_use]
    pub fn with_max_buffered_bytes(mut self, max_buffered_bytes: usize) -> Self {
        self.max_buffered_bytes = max_buffered_bytes;
        self
    }

    /// Sets the time limit for receiving a request, in milliseconds.
    #[must_use]
    pub fn with_read_timeout_ms(mut self, read_timeout_ms: u64) -> Self {
        self.read_timeout_ms = read_timeout_ms;
        self
    }

    /// Sets the time limit for sending a response, in milliseconds.
    #[must_use]
    pub fn with_write_timeout_ms(mut self, write_timeout_ms: u64) -> Self {
        self.write_timeout_ms = write_timeout_ms;
        self
    }

    /// Sets the time after which an idle connection is closed, in milliseconds.
    #[must_use]
    pub fn with_idle_timeout_ms(mut self, idle_timeout_ms: u64) -> Self {
        self.idle_timeout_ms = idle_timeout_ms;
        self
    }

    /// Sets the number of threads that read requests and write responses; at least 1.
    #[must_use]
    pub fn with_threads(mut self, threads: usize) -> Self {
        self.threads = threads.max(1);
        self
    }

    /// Sets the `instance` label of this server's metrics.
    #[must_use]
    pub fn with_instance(mut self, instance: impl Into<String>) -> Self {
        self.instance = instance.into();
        self
    }
}
