//! Scenarios of the bench, and the parts that several of them share.

mod claims;
mod comparison;
mod contract_change;
mod decisions;
mod faults;
mod floor;
mod keeper_loss;
mod latency;
mod policy_run;
mod slopes;
mod soak;
mod throughput;

use serde_json::Value;

use crate::error::BenchError;
use crate::options::Options;

/// Result of a scenario.
pub(crate) struct ScenarioOutcome {
    /// Measured figures, as one JSON object.
    pub(crate) figures: Value,
    /// True if no guarantee that the scenario checks was violated.
    pub(crate) guarantees_held: bool,
}

/// Runs the scenario that the options name.
///
/// # Errors
///
/// [`BenchError::UnknownScenario`], or the error with which the scenario failed.
pub(crate) fn run(options: &Options) -> Result<ScenarioOutcome, BenchError> {
    match options.scenario.as_str() {
        "latency" => latency::run(options),
        "faults" => faults::run(options),
        "throughput" => throughput::run(options),
        "claims" => claims::run(options),
        "keeper-loss" => keeper_loss::run(options),
        "contract-change" => contract_change::run(options),
        "decisions" => decisions::run(options),
        "slopes" => slopes::run(options),
        "soak" => soak::run(options),
        other => Err(BenchError::UnknownScenario(other.to_owned())),
    }
}
