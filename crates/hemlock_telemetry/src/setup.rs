//! Installs the log subscriber and the metrics recorder, once per process.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tracing::warn;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

use crate::batch_writer::{BatchWriter, LostLines};
use crate::error::TelemetryError;

/// Upper bounds of the histogram buckets for durations, in milliseconds.
const TIME_BUCKETS_MS: [f64; 17] = [
    0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0,
    5_000.0, 10_000.0, 60_000.0,
];

/// Maximum number of log lines waiting to be written. Further lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_096;

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();
static DROPPED_LINES: OnceLock<DroppedLines> = OnceLock::new();

/// Counters of lines that were not written.
#[derive(Debug)]
struct DroppedLines {
    /// Lines that found the queue full.
    queue_full: ErrorCounter,
    /// Lines that could not be written to standard output.
    unwritten: LostLines,
    /// Number of dropped lines that a log line has told of.
    logged: AtomicU64,
}

impl DroppedLines {
    fn count(&self) -> u64 {
        self.queue_full.dropped_lines() as u64 + self.unwritten.count()
    }
}

/// Handle of the thread that writes log lines. Dropping it writes the lines still waiting, so a
/// process keeps it until after its last log line.
#[must_use = "waiting lines are lost if the process ends before this is dropped"]
#[derive(Debug, Default)]
pub struct LogWriter {
    _guard: Option<WorkerGuard>,
}

/// Configuration of logging.
#[derive(Clone, Debug)]
pub struct TelemetryConfig {
    /// Filter for log lines, in the syntax of [`EnvFilter`].
    pub log_filter: String,
    /// Whether to write log lines at all.
    pub logs: bool,
    /// Whether to write log lines to standard output, through a bounded queue that never blocks.
    /// Otherwise they go directly to standard error.
    pub to_stdout: bool,
}

impl Default for TelemetryConfig {
    fn default() -> Self {
        Self {
            log_filter: "info".to_owned(),
            logs: true,
            to_stdout: false,
        }
    }
}

impl TelemetryConfig {
    /// Sets the filter for log lines.
    #[must_use]
    pub fn with_log_filter(mut self, log_filter: impl Into<String>) -> Self {
        self.log_filter = log_filter.into();
        self
    }

    /// Sets whether to write log lines at all.
    #[must_use]
    pub fn with_logs(mut self, logs: bool) -> Self {
        self.logs = logs;
        self
    }
}

impl TelemetryConfig {
    /// Writes log lines to standard output. Lines are dropped and counted while the queue is full.
    #[must_use]
    pub fn with_stdout(mut self) -> Self {
        self.to_stdout = true;
        self
    }
}

/// Installs the log subscriber and the metrics recorder of this process.
///
/// # Errors
///
/// Returns a [`TelemetryError`] if the filter is invalid, or if a subscriber or recorder is already
/// installed.
pub fn start(config: &TelemetryConfig) -> Result<LogWriter, TelemetryError> {
    let writer = match config.logs {
        true => install_logs(config)?,
        false => LogWriter::default(),
    };
    install_metrics()?;
    Ok(writer)
}

fn install_logs(config: &TelemetryConfig) -> Result<LogWriter, TelemetryError> {
    let filter = EnvFilter::try_new(&config.log_filter)
        .map_err(|_| TelemetryError::Filter(config.log_filter.clone()))?;
    let logs = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_span_events(FmtSpan::NONE)
        .with_env_filter(filter);
    if !config.to_stdout {
        let installed = logs.with_writer(std::io::stderr).try_init();
        return installed
            .map(|()| LogWriter::default())
            .map_err(|_| TelemetryError::LogsInstalled);
    }
    // Whole lines pass the line buffer of standard output with one call for each batch. A duplicate
    // of its descriptor would do too, but a supervisor may capture only the descriptor itself.
    let stdout = BatchWriter::new(std::io::stdout());
    let unwritten = stdout.lost_lines();
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(stdout);
    // Fails if a counter is already set; installing the subscriber below then fails as well.
    let _ = DROPPED_LINES.set(DroppedLines {
        queue_full: writer.error_counter(),
        unwritten,
        logged: AtomicU64::new(0),
    });
    let installed = logs.with_writer(writer).try_init();
    installed
        .map(|()| LogWriter {
            _guard: Some(guard),
        })
        .map_err(|_| TelemetryError::LogsInstalled)
}

/// Returns the number of log lines dropped because the queue to standard output was full, or because
/// writing to it failed.
pub fn dropped_log_lines() -> u64 {
    DROPPED_LINES.get().map_or(0, DroppedLines::count)
}

/// Logs how many lines were dropped since this was last logged, if any were. The caller limits how
/// often.
pub fn log_dropped_lines() {
    let Some(dropped) = DROPPED_LINES.get() else {
        return;
    };
    let total = dropped.count();
    let count = total.saturating_sub(dropped.logged.load(Ordering::Relaxed));
    if count == 0 {
        return;
    }
    warn!(event = "log-lines-dropped", count, total);
    // A full queue drops this line too, and the next call logs the number again.
    if dropped.count() == total {
        dropped.logged.store(total, Ordering::Relaxed);
    }
}

fn install_metrics() -> Result<(), TelemetryError> {
    let handle = PrometheusBuilder::new()
        .set_buckets(&TIME_BUCKETS_MS)
        .map_err(|_| TelemetryError::MetricsInstalled)?
        .install_recorder()
        .map_err(|_| TelemetryError::MetricsInstalled)?;
    METRICS
        .set(handle)
        .map_err(|_| TelemetryError::MetricsInstalled)
}

/// Aggregates recorded values into their histograms. Must be called every few seconds, because all
/// values are kept in memory until then.
pub fn run_metrics_upkeep() {
    if let Some(handle) = METRICS.get() {
        handle.run_upkeep();
    }
}

/// Renders all metrics in the Prometheus text format. Returns an empty string before [`start`].
pub fn render_metrics() -> String {
    let Some(handle) = METRICS.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
