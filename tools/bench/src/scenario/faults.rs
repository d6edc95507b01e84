//! The `faults` scenario: like `latency`, but one endpoint fails, one is slow, the agent of one is
//! killed, and the agent of another stops as planned.

use std::thread::sleep;
use std::time::Duration;

use hemlock_standin::Faults;
use serde_json::json;

use crate::cluster::running::Cluster;
use crate::error::BenchError;
use crate::load::trace::Arrivals;
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::comparison::{Conditions, compare_policies};

/// Deadline of the measured requests, in milliseconds; shorter than the longest task of the
/// slow endpoint.
const DEADLINE_MS: u64 = 20_000;
/// Factor on the service times of the slow endpoint.
const STRAGGLE_FACTOR: u32 = 20;
/// Indices of the endpoints with a fault.
const FAILING: usize = 0;
const STRAGGLING: usize = 1;
const KILLED: usize = 2;
const STOPPED: usize = 3;

/// Runs the scenario.
///
/// # Errors
///
/// [`BenchError`] when a cluster can't run.
pub(crate) fn run(options: &Options) -> Result<ScenarioOutcome, BenchError> {
    let conditions = Conditions {
        arrivals: Arrivals::Bursty,
        deadline_ms: DEADLINE_MS,
    };
    let mut outcome = compare_policies(options, conditions, inject_faults)?;
    outcome.figures["faults"] = json!(["failing", "straggling", "killed", "planned-stop"]);
    Ok(outcome)
}

/// Injects one fault after each of the first four fifths of the trace.
fn inject_faults(cluster: &mut Cluster, seconds: u64) {
    let fifth = Duration::from_millis(seconds * 1_000 / 5);
    sleep(fifth);
    cluster.endpoints[FAILING].set_faults(Faults {
        fail_percent: 100,
        ..Faults::default()
    });
    sleep(fifth);
    cluster.endpoints[STRAGGLING].set_faults(Faults {
        slow_factor: STRAGGLE_FACTOR,
        ..Faults::default()
    });
    sleep(fifth);
    cluster.agents[KILLED].process.kill();
    sleep(fifth);
    // A failed restart is not reported here; it shows as missing capacity.
    let _ = cluster.agents[KILLED].process.restart();
    cluster.agents[STOPPED].process.terminate();
}
