//! Installs the logs and the metrics recorder, once for each process.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

use crate::error::TelemetryError;

/// Upper bounds of the histogram buckets for times, in milliseconds.
const TIME_BUCKETS_MS: [f64; 17] = [
    0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0,
    5_000.0, 10_000.0, 60_000.0,
];

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// What to log and count.
#[derive(Clone, Debug)]
pub struct TelemetryConfig {
    /// Which log lines to write, in the syntax of `tracing`'s environment filter.
    pub log_filter: String,
    /// Whether to write log lines at all.
    pub logs: bool,
}

impl Default for TelemetryConfig {
    fn default() -> Self {
        Self {
            log_filter: "info".to_owned(),
            logs: true,
        }
    }
}

impl TelemetryConfig {
    /// Sets which log lines to write.
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

/// Installs the logs and the metrics recorder of this process.
///
/// # Errors
///
/// [`TelemetryError`] when the filter does not parse or something else is installed already.
pub fn start(config: &TelemetryConfig) -> Result<(), TelemetryError> {
    if config.logs {
        install_logs(&config.log_filter)?;
    }
    install_metrics()
}

fn install_logs(filter: &str) -> Result<(), TelemetryError> {
    let filter =
        EnvFilter::try_new(filter).map_err(|_| TelemetryError::Filter(filter.to_owned()))?;
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_span_events(FmtSpan::NONE)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init()
        .map_err(|_| TelemetryError::LogsInstalled)
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

/// Every counter, gauge and histogram in the Prometheus text format; empty before [`start`].
pub fn render_metrics() -> String {
    let Some(handle) = METRICS.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
