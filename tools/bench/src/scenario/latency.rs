//! The `latency` scenario: response time and wasted messages of each policy on one trace,
//! compared with an ideal queue.

use serde_json::json;

use crate::error::BenchError;
use crate::load::summary::rounded;
use crate::load::trace::Arrivals;
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::comparison::{Conditions, compare_policies};
use crate::scenario::floor::measure_floor_ms;

/// Deadline of the measured requests, in milliseconds.
const DEADLINE_MS: u64 = 60_000;

/// Runs the scenario.
///
/// # Errors
///
/// [`BenchError`] when a cluster can't run.
pub(crate) fn run(options: &Options) -> Result<ScenarioOutcome, BenchError> {
    let conditions = Conditions {
        arrivals: Arrivals::Poisson,
        deadline_ms: DEADLINE_MS,
    };
    let floor_ms = measure_floor_ms(options)?;
    let mut outcome = compare_policies(options, conditions, |_, _| {})?;
    outcome.figures["keyed"] = json!(options.keyed);
    outcome.figures["bench_floor_ms"] = json!(rounded(floor_ms));
    Ok(outcome)
}
