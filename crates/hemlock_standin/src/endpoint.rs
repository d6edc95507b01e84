//! Stand-in endpoints, and the threads that many of them share.

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
use crate::record::{Record, Seen};
use crate::request::WorkRequest;
use crate::timer::{Timer, TimerHandle};

/// Pause between looks at whether a stopping endpoint still works.
const FINISH_POLL: Duration = Duration::from_millis(2);

quick_error! {
    /// Why a stand-in could not be started.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum StandinError {
        /// Its address can't be used.
        Bind(address: SocketAddr, error: std::io::Error) {
            source(error)
            display("stand-in: can't listen on {}: {}", address, error)
        }
        /// Its thread can't be started.
        Thread(error: std::io::Error) {
            source(error)
            display("stand-in: can't start a thread: {}", error)
        }
        /// Its thread has ended.
        Ended {
            display("stand-in: its thread has ended")
        }
    }
}

/// What may change while the stand-in runs.
pub(crate) struct State {
    pub(crate) record: Record,
    faults: Faults,
    random: Pcg64Mcg,
}

/// What a stand-in's connections share.
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

    pub(crate) fn change(&self, edit: impl FnOnce(&mut State)) {
        edit(&mut self.lock());
    }

    /// What goes wrong with a request, and how long it takes in milliseconds.
    pub(crate) fn plan(&self, request: &WorkRequest) -> (Fault, u64) {
        let mut state = self.lock();
        let State { faults, random, .. } = &mut *state;
        let drawn_ms = self.config.service_time.draw_ms(random);
        let asked_ms = request.order.work_ms.unwrap_or(drawn_ms);
        match faults.draw(random) {
            Fault::Fail => (Fault::Fail, 0),
            fault => (fault, asked_ms * u64::from(faults.slow_factor)),
        }
    }
}

/// Orders to the thread of a host.
struct Serve {
    listener: StdListener,
    shared: Arc<Shared>,
    ending: watch::Receiver<Ending>,
    ended: std::sync::mpsc::Sender<()>,
}

/// How far a stand-in has been told to end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    No,
    /// Takes no new connections and finishes what it has.
    Finish,
    /// Cuts every connection.
    Cut,
}

/// Threads that serve any number of stand-in endpoints. Dropping it cuts them all.
pub struct StandinHost {
    threads: Vec<HostThread>,
    timer: Timer,
    next: AtomicU64,
}

struct HostThread {
    orders: Option<mpsc::UnboundedSender<Serve>>,
    thread: Option<JoinHandle<()>>,
}

impl StandinHost {
    /// Starts `threads` threads, at least one.
    ///
    /// # Errors
    /// [`StandinError::Thread`] if the system gives none.
    pub fn start(threads: usize) -> Result<Self, StandinError> {
        let threads = (0..threads.max(1))
            .map(|_| HostThread::start())
            .collect::<Result<_, _>>()?;
        Ok(Self {
            threads,
            timer: Timer::start().map_err(StandinError::Thread)?,
            next: AtomicU64::new(0),
        })
    }

    /// Starts an endpoint on one of the threads.
    ///
    /// # Errors
    /// [`StandinError::Bind`] if its address can't be used.
    pub fn add(&self, config: StandinConfig) -> Result<StandinEndpoint, StandinError> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let address = config.address;
        let bind = |error| StandinError::Bind(address, error);
        let listener = StdListener::bind(address).map_err(bind)?;
        listener.set_nonblocking(true).map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        let shared = Arc::new(Shared {
            number,
            timer: self.timer.handle(),
            state: Mutex::new(State {
                record: Record::default(),
                faults: config.faults,
                random: Pcg64Mcg::seed_from_u64(config.seed),
            }),
            config,
        });
        let (ending, ending_seen) = watch::channel(Ending::No);
        let (ended, ended_seen) = std::sync::mpsc::channel();
        let order = Serve {
            listener,
            shared: Arc::clone(&shared),
            ending: ending_seen,
            ended,
        };
        let thread = &self.threads[usize::try_from(number).unwrap_or(0) % self.threads.len()];
        thread.send(order)?;
        Ok(StandinEndpoint {
            address,
            shared,
            ending,
            ended: Mutex::new(ended_seen),
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
        let (orders, mut received) = mpsc::unbounded_channel();
        let thread = std::thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || {
                let local = LocalSet::new();
                local.block_on(&runtime, async move {
                    let mut endpoints = JoinSet::new();
                    while let Some(order) = received.recv().await {
                        endpoints.spawn_local(serve_endpoint(order));
                    }
                });
            })
            .map_err(StandinError::Thread)?;
        Ok(Self {
            orders: Some(orders),
            thread: Some(thread),
        })
    }

    fn send(&self, order: Serve) -> Result<(), StandinError> {
        let sent = self
            .orders
            .as_ref()
            .is_some_and(|orders| orders.send(order).is_ok());
        sent.then_some(()).ok_or(StandinError::Ended)
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed by its own hook.
            let _ = thread.join();
        }
    }
}

async fn serve_endpoint(order: Serve) {
    let Serve {
        listener,
        shared,
        mut ending,
        ended,
    } = order;
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            changed = ending.wait_for(|ending| *ending != Ending::No) => {
                let _ = changed;
                break;
            }
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                // Only a delay of small answers is lost where this is refused.
                let _ = stream.set_nodelay(true);
                connections.spawn_local(serve_connection(stream, Arc::clone(&shared)));
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
    drop(listener);
    let cut = async {
        // A handle that is gone can't ask for a cut any more, and its thread ends.
        let _ = ending.wait_for(|ending| *ending == Ending::Cut).await;
    };
    tokio::select! {
        () = finish(&shared) => {}
        () = cut => {}
    }
    connections.shutdown().await;
    let _ = ended.send(());
}

/// Returns when nothing runs any more.
async fn finish(shared: &Shared) {
    while shared.lock().record.seen.running > 0 {
        tokio::time::sleep(FINISH_POLL).await;
    }
}

/// A running stand-in endpoint. Dropping it ends it like [`StandinEndpoint::kill`].
pub struct StandinEndpoint {
    address: SocketAddr,
    shared: Arc<Shared>,
    ending: watch::Sender<Ending>,
    ended: Mutex<std::sync::mpsc::Receiver<()>>,
    host: Option<StandinHost>,
}

impl StandinEndpoint {
    /// Starts an endpoint on a thread of its own.
    ///
    /// # Errors
    /// Any [`StandinError`].
    pub fn start(config: StandinConfig) -> Result<Self, StandinError> {
        let host = StandinHost::start(1)?;
        let mut endpoint = host.add(config)?;
        endpoint.host = Some(host);
        Ok(endpoint)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what goes wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.change(|state| state.faults = faults);
    }

    /// What it has seen so far.
    pub fn seen(&self) -> Seen {
        self.shared.lock().record.seen
    }

    /// How often each task, by submission and number as told in the headers, has started.
    pub fn task_starts(&self) -> HashMap<(String, String), u32> {
        self.shared.lock().record.task_starts().clone()
    }

    /// How often each key has started. It is the body's `key` or else the header's.
    pub fn key_starts(&self) -> HashMap<String, u32> {
        self.shared.lock().record.key_starts().clone()
    }

    /// Takes no new connections, finishes what it has, and ends.
    pub fn stop(self) -> Seen {
        self.end(Ending::Finish)
    }

    /// Cuts every connection and ends, like the death of the process.
    pub fn kill(self) -> Seen {
        self.end(Ending::Cut)
    }

    fn end(&self, ending: Ending) -> Seen {
        self.ending.send_replace(ending);
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        // Nothing is received when the thread has ended already.
        let _ = ended.recv();
        self.seen()
    }
}

impl Drop for StandinEndpoint {
    fn drop(&mut self) {
        self.ending.send_replace(Ending::Cut);
    }
}
