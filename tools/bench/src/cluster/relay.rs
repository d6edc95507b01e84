//! TCP relays between entries and agents, which add latency and can block either direction.

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

/// Size of the read buffer.
const CHUNK_BYTES: usize = 64 * 1024;

/// Bytes to write to a connection at a given time.
struct DelayedBytes {
    due: Instant,
    bytes: Vec<u8>,
    writer: UnboundedSender<Vec<u8>>,
}

/// Directions of a relay that are blocked: its connections stay open but pass no data.
#[derive(Debug, Default)]
pub(crate) struct BlockedDirections {
    /// From the client to the target.
    pub(crate) requests: AtomicBool,
    /// From the target to the client.
    pub(crate) answers: AtomicBool,
}

/// A group of relays: each listens on a port of its own, and all share two threads.
pub(crate) struct Relays {
    runtime: tokio::runtime::Handle,
    delay_line: Sender<DelayedBytes>,
    latency: Duration,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Relays {
    /// Starts the threads. Every relay delays both directions by `latency_us`.
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

    /// Starts a relay from `listen` to `target` and returns its blocked directions.
    ///
    /// # Errors
    ///
    /// [`BenchError::Io`] when the address can't be listened on.
    pub(crate) fn add(
        &self,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> Result<Arc<BlockedDirections>, BenchError> {
        let blocked = Arc::new(BlockedDirections::default());
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let _guard = self.runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        let delay_line = self.delay_line.clone();
        let latency = self.latency;
        let shared = Arc::clone(&blocked);
        self.runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay_connection(
                    stream,
                    target,
                    delay_line.clone(),
                    latency,
                    Arc::clone(&shared),
                ));
            }
        });
        Ok(blocked)
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

/// Forwards bytes when they are due. The delay is constant, so they are due in order of arrival.
fn run_delay_line(delayed: &Receiver<DelayedBytes>) {
    while let Ok(next) = delayed.recv() {
        std::thread::sleep(next.due.saturating_duration_since(Instant::now()));
        let _ = next.writer.send(next.bytes);
    }
}

async fn relay_connection(
    stream: TcpStream,
    target: SocketAddr,
    delay_line: Sender<DelayedBytes>,
    latency: Duration,
    blocked: Arc<BlockedDirections>,
) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (caller_reader, caller_writer) = stream.into_split();
    let (target_reader, target_writer) = upstream.into_split();
    let answers = Arc::clone(&blocked);
    tokio::join!(
        forward(
            caller_reader,
            target_writer,
            delay_line.clone(),
            latency,
            || { blocked.requests.load(Ordering::SeqCst) }
        ),
        forward(target_reader, caller_writer, delay_line, latency, || {
            answers.answers.load(Ordering::SeqCst)
        }),
    );
}

async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    delay_line: Sender<DelayedBytes>,
    latency: Duration,
    is_blocked: impl Fn() -> bool,
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
                Ok(_) if is_blocked() => return std::future::pending().await,
                Ok(count) => {
                    let due = Instant::now() + latency;
                    let bytes = chunk[..count].to_vec();
                    let _ = delay_line.send(DelayedBytes {
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
