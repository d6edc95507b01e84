//! A relay between an entry and an agent that adds latency, and can fall silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;

use crate::error::BenchError;

/// Bytes read at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// Bytes that are due on a connection at a moment.
struct Delayed {
    due: Instant,
    bytes: Vec<u8>,
    writer: UnboundedSender<Vec<u8>>,
}

/// Which directions of a relay pass nothing.
#[derive(Debug, Default)]
pub(crate) struct Silence {
    /// From the connecting side.
    pub(crate) requests: AtomicBool,
    /// To the connecting side.
    pub(crate) answers: AtomicBool,
}

/// Relays of one run: each listens on a port of its own, and all share two threads.
pub(crate) struct Relays {
    runtime: tokio::runtime::Handle,
    delay_line: Sender<Delayed>,
    latency: Duration,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Relays {
    /// Starts the threads; each direction of each relay is delayed by `latency_us`.
    ///
    /// # Errors
    ///
    /// [`BenchError::Io`] when the runtime can't start.
    pub(crate) fn start(latency_us: u64) -> Result<Self, BenchError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let (delay_line, delayed) = unbounded();
        let network = std::thread::spawn(move || {
            let _ = runtime.block_on(stopped);
        });
        let delaying = std::thread::spawn(move || run_delay_line(&delayed));
        Ok(Self {
            runtime: handle,
            delay_line,
            latency: Duration::from_micros(latency_us),
            stop: Some(stop),
            threads: vec![network, delaying],
        })
    }

    /// Starts a relay from `listen` to `target`.
    ///
    /// # Errors
    ///
    /// [`BenchError::Io`] when the address can't be listened on.
    pub(crate) fn add(
        &self,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> Result<Arc<Silence>, BenchError> {
        let silence = Arc::new(Silence::default());
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let _guard = self.runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let line = self.delay_line.clone();
        let latency = self.latency;
        let shared = Arc::clone(&silence);
        self.runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay_one(
                    stream,
                    target,
                    line.clone(),
                    latency,
                    Arc::clone(&shared),
                ));
            }
        });
        Ok(silence)
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        let (replacement, _) = unbounded();
        self.delay_line = replacement;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Passes bytes on when they are due. The delay is constant, so the order is that of arrival.
fn run_delay_line(delayed: &Receiver<Delayed>) {
    while let Ok(next) = delayed.recv() {
        std::thread::sleep(next.due.saturating_duration_since(Instant::now()));
        let _ = next.writer.send(next.bytes);
    }
}

async fn relay_one(
    stream: TcpStream,
    target: SocketAddr,
    line: Sender<Delayed>,
    latency: Duration,
    silence: Arc<Silence>,
) {
    let Ok(onward) = TcpStream::connect(target).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = onward.set_nodelay(true);
    let (caller_reader, caller_writer) = stream.into_split();
    let (target_reader, target_writer) = onward.into_split();
    let answers = Arc::clone(&silence);
    tokio::join!(
        pump(caller_reader, target_writer, line.clone(), latency, || {
            silence.requests.load(Ordering::SeqCst)
        }),
        pump(target_reader, caller_writer, line, latency, || answers
            .answers
            .load(Ordering::SeqCst)),
    );
}

async fn pump(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    line: Sender<Delayed>,
    latency: Duration,
    is_silent: impl Fn() -> bool,
) {
    let (due_sender, mut due) = tokio::sync::mpsc::unbounded_channel::<Vec<u8>>();
    let writing = async move {
        while let Some(bytes) = due.recv().await {
            if writer.write_all(&bytes).await.is_err() {
                return;
            }
        }
        let _ = writer.shutdown().await;
    };
    let reading = async move {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            match reader.read(&mut chunk).await {
                Ok(0) | Err(_) => return,
                Ok(_) if is_silent() => return std::future::pending().await,
                Ok(count) => {
                    let due = Instant::now() + latency;
                    let bytes = chunk[..count].to_vec();
                    let _ = line.send(Delayed {
                        due,
                        bytes,
                        writer: due_sender.clone(),
                    });
                }
            }
        }
    };
    tokio::join!(writing, reading);
}
