//! The scenarios, one file each.

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

/// What a scenario found.
pub(crate) struct ScenarioOutcome {
    /// One JSON object.
    pub(crate) figures: Value,
    /// Whether every promise that the scenario checks held.
    pub(crate) promises_held: bool,
}

/// Runs the scenario that the options name.
///
/// # Errors
///
/// [`BenchError::UnknownScenario`], or whatever kept the scenario from running.
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
