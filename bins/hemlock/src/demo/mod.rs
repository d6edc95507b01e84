//! The demonstration: a cluster with all roles in one process on loopback, with work sent over
//! HTTP. The results are counted by the stand-in endpoints and the callers.

mod caller;
mod cluster;
mod plan;
mod progress;
mod report;
mod script;

use hemlock_telemetry::prelude::*;
use quick_error::quick_error;

pub(crate) use report::Report;

use crate::demo::cluster::Cluster;
use crate::demo::plan::Plan;
use crate::demo::progress::Progress;
use crate::error::CliError;

/// Default number of submissions.
pub(crate) const DEFAULT_JOBS: u64 = 240;
/// Default number of submissions with `--quick`.
pub(crate) const QUICK_JOBS: u64 = 60;

/// Options of the demonstration.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemoOptions {
    /// Number of submissions to send.
    pub(crate) jobs: u64,
    /// Seed of the generated work.
    pub(crate) seed: u64,
    /// Whether the tasks are shorter.
    pub(crate) quick: bool,
    /// Log filter for the roles' logs on standard error. No logs are written if it is `None`.
    pub(crate) log: Option<String>,
}

quick_error! {
    /// Error of running the demonstration.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes no narrower visibility")]
    pub enum DemoError {
        /// Can't create a folder or find a free port.
        Io(source: std::io::Error) {
            from()
            display("can't create a folder or find a free port: {source}")
            source(source)
        }
        /// A role failed to start.
        Role(name: String, message: String) {
            display("{name} failed to start: {message}")
        }
        /// Can't set up logs.
        Log(source: TelemetryError) {
            from()
            display("{source}")
            source(source)
        }
        /// The cluster was not ready in time.
        NotReady(what: String, waited_ms: u64) {
            display("{what} was not ready within {waited_ms} ms")
        }
        /// A call to the operator API failed.
        Operator(what: &'static str, source: Box<CliError>) {
            display("{what}: {source}")
        }
    }
}

/// Runs the demonstration, prints its progress and returns its report.
pub(crate) fn run(options: &DemoOptions) -> Result<Report, DemoError> {
    if let Some(filter) = &options.log {
        let config = TelemetryConfig::default().with_log_filter(filter);
        let _log_writer = hemlock_telemetry::start(&config)?;
    }
    let progress = Progress::start();
    let plan = Plan::generate(options);
    let cluster = Cluster::start(options.seed, &progress)?;
    let result = script::run(&plan, &cluster, &progress);
    let endpoint_counts = cluster.stop(&progress)?;
    let result = result?;
    result.print_failures(&plan, &progress);
    Ok(Report::count(&plan, &result, &endpoint_counts))
}
