//! Stand-in endpoints, and the host threads that serve them.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use quick_error::quick_error;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinSet, LocalSet};

use crate::config::StandinConfig;
use crate::connection::serve_connection;
use crate::faults::{Fault, Faults};
use crate::record::{RequestCounts, StartRecord};
use crate::request::WorkRequest;
use crate::timer::{Timer, TimerHandle};

/// Interval at which a stopping endpoint checks for running requests.
const FINISH_POLL: Duration = Duration::from_millis(2);

quick_error! {
    /// Error of starting a stand-in endpoint.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum StandinError {
        /// Can't listen on the address.
        Bind(address: SocketAddr, error: std::io::Error) {
            source(error)
            display("stand-in: can't listen on {}: {}", address, error)
        }
        /// Can't start a thread.
        Thread(error: std::io::Error) {
            source(error)
            display("stand-in: can't start a thread: {}", error)
        }
        /// The host thread has ended.
        Ended {
            display("stand-in: the host thread has ended")
        }
    }
}

/// Mutable state of a stand-in endpoint.
pub(crate) struct State {
    pub(crate) record: StartRecord,
    faults: Faults,
    random: Pcg64Mcg,
}

/// Data shared by the connections of a stand-in endpoint.
pub(crate) struct Shared {
    pub(crate) config: StandinConfig,
    pub(crate) number: u64,
    pub(crate) timer: TimerHandle,
    state: Mutex<State>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn update(&self, update: impl FnOnce(&mut State)) {
        update(&mut self.lock());
    }

    /// Draws the fault to inject into the response, and returns it with the service time of the
    /// request in milliseconds.
    pub(crate) fn plan_response(&self, request: &WorkRequest) -> (Fault, u64) {
        let mut state = self.lock();
        let State { faults, random, .. } = &mut *state;
        let drawn_ms = self.config.service_time.draw_ms(random);
        let work_ms = request.work.work_ms.unwrap_or(drawn_ms);
        match faults.draw(random) {
            Fault::Fail => (Fault::Fail, 0),
            fault => (fault, work_ms * u64::from(faults.slow_factor)),
        }
    }
}

/// Command to a host thread to serve an endpoint.
struct ServeCommand {
    listener: StdListener,
    shared: Arc<Shared>,
    shutdown: watch::Receiver<Shutdown>,
    done: std::sync::mpsc::Sender<()>,
}

/// Requested shutdown of a stand-in endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Shutdown {
    /// No shutdown was requested.
    None,
    /// Refuse new connections and finish running requests.
    Drain,
    /// Close every connection at once.
    Abort,
}

/// Threads that serve any number of stand-in endpoints. Dropping the host closes all their
/// connections.
pub struct StandinHost {
    threads: Vec<HostThread>,
    timer: Timer,
    next_number: AtomicU64,
}

struct HostThread {
    commands: Option<mpsc::UnboundedSender<ServeCommand>>,
    thread: Option<JoinHandle<()>>,
}

impl StandinHost {
    /// Starts `threads` threads, at least one.
    ///
    /// # Errors
    ///
    /// [`StandinError::Thread`] if a thread can't be started.
    pub fn start(threads: usize) -> Result<Self, StandinError> {
        let threads = (0..threads.max(1))
            .map(|_| HostThread::start())
            .collect::<Result<_, _>>()?;
        Ok(Self {
            threads,
            timer: Timer::start().map_err(StandinError::Thread)?,
            next_number: AtomicU64::new(0),
        })
    }

    /// Starts an endpoint on one of the threads.
    ///
    /// # Errors
    ///
    /// [`StandinError::Bind`] if the address can't be used.
    pub fn add(&self, config: StandinConfig) -> Result<StandinEndpoint, StandinError> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let address = config.address;
        let bind_error = |error| StandinError::Bind(address, error);
        let listener = StdListener::bind(address).map_err(bind_error)?;
        listener.set_nonblocking(true).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let shared = Arc::new(Shared {
            number,
            timer: self.timer.handle(),
            state: Mutex::new(State {
                record: StartRecord::default(),
                faults: config.faults,
                random: Pcg64Mcg::seed_from_u64(config.seed),
            }),
            config,
        });
        let (shutdown, shutdown_receiver) = watch::channel(Shutdown::None);
        let (done, done_receiver) = std::sync::mpsc::channel();
        let command = ServeCommand {
            listener,
            shared: Arc::clone(&shared),
            shutdown: shutdown_receiver,
            done,
        };
        let thread = &self.threads[usize::try_from(number).unwrap_or(0) % self.threads.len()];
        thread.send(command)?;
        Ok(StandinEndpoint {
            address,
            shared,
            shutdown,
            done: Mutex::new(done_receiver),
            host: None,
        })
    }
}

impl HostThread {
    fn start() -> Result<Self, StandinError> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(StandinError::Thread)?;
        let (commands, mut received) = mpsc::unbounded_channel();
        let thread = std::thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || {
                let local = LocalSet::new();
                local.block_on(&runtime, async move {
                    let mut endpoints = JoinSet::new();
                    while let Some(command) = received.recv().await {
                        endpoints.spawn_local(serve_endpoint(command));
                    }
                });
            })
            .map_err(StandinError::Thread)?;
        Ok(Self {
            commands: Some(commands),
            thread: Some(thread),
        })
    }

    fn send(&self, command: ServeCommand) -> Result<(), StandinError> {
        let sent = self
            .commands
            .as_ref()
            .is_some_and(|commands| commands.send(command).is_ok());
        sent.then_some(()).ok_or(StandinError::Ended)
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}

async fn serve_endpoint(command: ServeCommand) {
    let ServeCommand {
        listener,
        shared,
        mut shutdown,
        done,
    } = command;
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            changed = shutdown.wait_for(|shutdown| *shutdown != Shutdown::None) => {
                let _ = changed;
                break;
            }
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                // Without the option, small responses are only delayed.
                let _ = stream.set_nodelay(true);
                connections.spawn_local(serve_connection(stream, Arc::clone(&shared)));
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    drop(listener);
    let abort = async {
        // An error means that the handle was dropped, which aborts as well.
        let _ = shutdown
            .wait_for(|shutdown| *shutdown == Shutdown::Abort)
            .await;
    };
    tokio::select! {
        () = wait_until_idle(&shared) => {}
        () = abort => {}
    }
    connections.shutdown().await;
    let _ = done.send(());
}

/// Waits until no request is running.
async fn wait_until_idle(shared: &Shared) {
    while shared.lock().record.counts.running > 0 {
        tokio::time::sleep(FINISH_POLL).await;
    }
}

/// Handle of a running stand-in endpoint. Dropping it aborts the endpoint like
/// [`StandinEndpoint::kill`].
pub struct StandinEndpoint {
    address: SocketAddr,
    shared: Arc<Shared>,
    shutdown: watch::Sender<Shutdown>,
    done: Mutex<std::sync::mpsc::Receiver<()>>,
    host: Option<StandinHost>,
}

impl StandinEndpoint {
    /// Starts an endpoint on its own thread.
    ///
    /// # Errors
    ///
    /// Any [`StandinError`].
    pub fn start(config: StandinConfig) -> Result<Self, StandinError> {
        let host = StandinHost::start(1)?;
        let mut endpoint = host.add(config)?;
        endpoint.host = Some(host);
        Ok(endpoint)
    }

    /// Address on which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the fault injection for new requests.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.update(|state| state.faults = faults);
    }

    /// Request counts so far.
    pub fn counts(&self) -> RequestCounts {
        self.shared.lock().record.counts
    }

    /// Number of starts of each task, by the submission and task number in the headers.
    pub fn task_starts(&self) -> HashMap<(String, String), u32> {
        self.shared.lock().record.task_starts().clone()
    }

    /// Number of starts of each key: the body's `key` or else the `Idempotency-Key` header.
    pub fn key_starts(&self) -> HashMap<String, u32> {
        self.shared.lock().record.key_starts().clone()
    }

    /// Refuses new connections, finishes running requests, and stops.
    pub fn stop(self) -> RequestCounts {
        self.shut_down(Shutdown::Drain)
    }

    /// Closes every connection and stops at once, as if the process had crashed.
    pub fn kill(self) -> RequestCounts {
        self.shut_down(Shutdown::Abort)
    }

    fn shut_down(&self, shutdown: Shutdown) -> RequestCounts {
        self.shutdown.send_replace(shutdown);
        let done = self.done.lock().unwrap_or_else(PoisonError::into_inner);
        // An error means that the host thread has already ended.
        let _ = done.recv();
        self.counts()
    }
}

impl Drop for StandinEndpoint {
    fn drop(&mut self) {
        self.shutdown.send_replace(Shutdown::Abort);
    }
}
