//! The HTTP server: its threads, and the limit on open connections.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

use crate::config::HttpServerConfig;
use crate::connection::{self, BUFFER_UNIT_BYTES, ServerState, refusal_bytes};
use crate::error::{HttpError, Refusal};
use crate::request::HttpRequest;
use crate::responder::Responder;

/// Delay after a failed accept, for example at the limit of open files, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Handles requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Handles one complete request.
    ///
    /// The calling thread also serves other connections, so this method must not block for long.
    /// The responder can be stored and used later, from any thread.
    fn handle(&self, request: HttpRequest, responder: Responder);
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl HttpServer {
    /// Listens on the configured address and starts the server's threads.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Bind`] if listening fails, and [`HttpError::Thread`] if a thread can't
    /// be started.
    pub fn start(
        config: HttpServerConfig,
        handler: Arc<dyn HttpHandler>,
    ) -> Result<Self, HttpError> {
        let bind_error = |error| HttpError::Bind(config.address, error);
        let listener = StdListener::bind(config.address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let (stop, stopped) = watch::channel(false);
        let mut server = Self {
            address,
            stop,
            threads: Vec::new(),
        };
        let acceptor = Acceptor::new(config, handler, stopped);
        for index in 0..acceptor.state.config.threads {
            let listener = listener.try_clone().map_err(HttpError::Thread)?;
            let thread = spawn_thread(index, listener, acceptor.clone())?;
            server.threads.push(thread);
        }
        Ok(server)
    }

    /// Returns the address on which the server listens, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and closes idle ones. Requests in flight still get their
    /// response.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Stops the server, waits until every request in flight has its response, and joins the
    /// threads.
    pub fn join(mut self) {
        self.stop_and_join();
    }

    fn stop_and_join(&mut self) {
        self.stop();
        for thread in self.threads.drain(..) {
            if let Err(panic) = thread.join() {
                std::panic::resume_unwind(panic);
            }
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Serves on the caller's runtime until `stop` becomes true and every request in flight has its
/// response. For processes whose share of a core is too small for several threads that wake each
/// other.
pub async fn serve_on(
    listener: StdListener,
    config: HttpServerConfig,
    handler: Arc<dyn HttpHandler>,
    stop: watch::Receiver<bool>,
) {
    Acceptor::new(config, handler, stop).run(listener).await;
}

fn spawn_thread(
    index: usize,
    listener: StdListener,
    acceptor: Acceptor,
) -> Result<JoinHandle<()>, HttpError> {
    let runtime = new_runtime().map_err(HttpError::Thread)?;
    std::thread::Builder::new()
        .name(format!("http-{index}"))
        .spawn(move || runtime.block_on(acceptor.run(listener)))
        .map_err(HttpError::Thread)
}

fn new_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
}

/// Accepts connections and spawns a task for each, on one thread.
#[derive(Clone)]
struct Acceptor {
    connection_permits: Arc<Semaphore>,
    state: Arc<ServerState>,
    stop: watch::Receiver<bool>,
}

impl Acceptor {
    fn new(
        config: HttpServerConfig,
        handler: Arc<dyn HttpHandler>,
        stop: watch::Receiver<bool>,
    ) -> Self {
        let budget_units = config.max_buffered_bytes / BUFFER_UNIT_BYTES;
        Self {
            connection_permits: Arc::new(Semaphore::new(config.max_connections)),
            state: Arc::new(ServerState {
                buffer_budget: Arc::new(Semaphore::new(budget_units)),
                handler,
                config,
            }),
            stop,
        }
    }

    async fn run(self, listener: StdListener) {
        let mut stop = self.stop.clone();
        let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                _ = stop.wait_for(|stopped| *stopped) => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, peer)) => self.start_connection(stream, peer, &mut connections),
                    Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
                },
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    fn start_connection(&self, stream: TcpStream, peer: SocketAddr, connections: &mut JoinSet<()>) {
        let Ok(permit) = self.connection_permits.clone().try_acquire_owned() else {
            self.state.count_refusal(Refusal::Busy);
            // Best effort: the connection is closed even if the response can't be written.
            drop(stream.try_write(&refusal_bytes(Refusal::Busy)));
            return;
        };
        // Errors are ignored: without this option responses are only delayed.
        drop(stream.set_nodelay(true));
        let state = self.state.clone();
        let stop = self.stop.clone();
        connections.spawn(async move {
            connection::run(stream, peer, state, stop).await;
            drop(permit);
        });
    }
}
