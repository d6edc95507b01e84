//! The server: accepts connections within a limit and joins its threads.

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
use crate::connection::{self, BUFFER_UNIT_BYTES, Shared, refusal_bytes};
use crate::error::{HttpError, Refusal};
use crate::request::HttpRequest;
use crate::responder::Responder;

/// Pause after a failed accept, such as at the limit of open files, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Answers requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Takes one whole request.
    ///
    /// Called on a thread that serves other connections too, so it must not block for long;
    /// the responder may be kept and used later, from any thread.
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
    /// Listens and starts the threads that read and write.
    ///
    /// # Errors
    ///
    /// [`HttpError::Bind`] when the address can't be listened on, [`HttpError::Thread`] when a
    /// thread can't be made.
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
        for index in 0..acceptor.shared.config.threads {
            let listener = listener.try_clone().map_err(HttpError::Thread)?;
            let thread = spawn_thread(index, listener, acceptor.clone())?;
            server.threads.push(thread);
        }
        Ok(server)
    }

    /// The address listened on, with the real port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connections and closes those without a request. Requests in flight are
    /// still answered.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Stops, waits until every request in flight is answered, and joins the threads.
    pub fn join(mut self) {
        self.finish();
    }

    fn finish(&mut self) {
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

/// Serves on the caller's own runtime until `stop` turns true and every request in flight is
/// answered. For processes whose share of a core is too small for threads that wake each other.
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

/// Accepts connections on one thread.
#[derive(Clone)]
struct Acceptor {
    slots: Arc<Semaphore>,
    shared: Arc<Shared>,
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
            slots: Arc::new(Semaphore::new(config.max_connections)),
            shared: Arc::new(Shared {
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
                    Ok((stream, peer)) => self.admit(stream, peer, &mut connections),
                    Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await,
                },
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr, connections: &mut JoinSet<()>) {
        let Ok(slot) = self.slots.clone().try_acquire_owned() else {
            self.shared.count_refusal(Refusal::Busy);
            // Best effort: the connection closes whether or not the answer fits.
            drop(stream.try_write(&refusal_bytes(Refusal::Busy)));
            return;
        };
        // Without it, answers would only be later.
        drop(stream.set_nodelay(true));
        let shared = self.shared.clone();
        let stop = self.stop.clone();
        connections.spawn(async move {
            connection::run(stream, peer, shared, stop).await;
            drop(slot);
        });
    }
}
