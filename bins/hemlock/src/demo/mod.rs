//! The demonstration: every role in one process on loopback, real work over HTTP, and counts
//! taken from what the stand-in endpoints and the callers saw.

mod caller;
mod cluster;
mod plan;
mod report;
mod say;
mod script;

use hemlock_telemetry::prelude::*;
use quick_error::quick_error;

pub(crate) use report::Report;

use crate::demo::cluster::Cluster;
use crate::demo::plan::Plan;
use crate::demo::say::Narrator;
use crate::error::CliError;

/// Submissions sent by default.
pub(crate) const DEFAULT_JOBS: u64 = 240;
/// Submissions sent with `--quick`.
pub(crate) const QUICK_JOBS: u64 = 60;

/// What to run.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemoOptions {
    /// Submissions to send.
    pub(crate) jobs: u64,
    /// Seed of the work.
    pub(crate) seed: u64,
    /// Shorter and fewer tasks.
    pub(crate) quick: bool,
    /// Which log lines the roles write to standard error; none without it.
    pub(crate) log: Option<String>,
}

quick_error! {
    /// Why the demonstration could not run.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes no narrower visibility")]
    pub enum DemoError {
        /// A folder or port could not be had.
        Machine(source: std::io::Error) {
            from()
            display("the machine gave no folder or port: {source}")
            source(source)
        }
        /// A role did not start.
        Role(name: String, message: String) {
            display("{name} did not start: {message}")
        }
        /// Logs can't be written.
        Log(source: TelemetryError) {
            from()
            display("{source}")
            source(source)
        }
        /// The cluster was not ready in time.
        NotReady(what: String, waited_ms: u64) {
            display("{what} was not ready within {waited_ms} ms")
        }
        /// An operator's call was not answered well.
        Operator(what: &'static str, source: Box<CliError>) {
            display("{what}: {source}")
        }
    }
}

/// Runs the demonstration and says in plain lines what it does.
pub(crate) fn run(options: &DemoOptions) -> Result<Report, DemoError> {
    if let Some(filter) = &options.log {
        let config = TelemetryConfig::default().with_log_filter(filter);
        let _log_writer = hemlock_telemetry::start(&config)?;
    }
    let narrator = Narrator::start();
    let plan = Plan::draw(options);
    let cluster = Cluster::start(options.seed, &narrator)?;
    let result = script::play(&plan, &cluster, &narrator);
    let sightings = cluster.stop(&narrator)?;
    let played = result?;
    played.say_reasons(&plan, &narrator);
    Ok(Report::count(&plan, &played, &sightings))
}
