//! Response time and wasted messages by policy, all on one trace, against the ideal.

use serde_json::json;

use crate::cluster::layout::ENDPOINT_SLOTS;
use crate::error::BenchError;
use crate::load::ideal::ideal_response_us;
use crate::load::summary::{Sample, rounded};
use crate::load::trace::{Arrivals, draw_trace};
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::floor::measure_floor_ms;
use crate::scenario::policy_run::{DEFAULT_POLICY, network_us, policies_of, run_policy};

/// Deadline of the measured requests, in milliseconds.
const DEADLINE_MS: u64 = 60_000;
/// Time for all policies together, in seconds, unless the options say otherwise.
const TOTAL_S: u64 = 42;

/// Runs the scenario.
///
/// # Errors
///
/// [`BenchError`] when a cluster can't run.
pub(crate) fn run(options: &Options) -> Result<ScenarioOutcome, BenchError> {
    let policies = policies_of(options);
    let seconds = options.seconds.unwrap_or(TOTAL_S / policies.len() as u64);
    let slots = options.endpoints * usize::from(ENDPOINT_SLOTS);
    let trace = draw_trace(
        options.seed,
        slots,
        options.load,
        seconds,
        Arrivals::Poisson,
    );
    let ideal_us = ideal_response_us(&trace, slots, network_us(options));
    let ideal = Sample::new(ideal_us.iter().map(|us| *us as f64 / 1e3).collect());
    let floor_ms = measure_floor_ms(options)?;
    let mut results = Vec::new();
    for policy in &policies {
        results.push(run_policy(
            options,
            policy,
            &trace,
            &ideal_us,
            DEADLINE_MS,
            |_| {},
        )?);
    }
    let promises_held = results.iter().all(|result| result.promises_held);
    let figures: Vec<_> = results.into_iter().map(|result| result.figures).collect();
    let figures = json!({
        "deployment": options.deployment.name(),
        "load": options.load,
        "entries": options.entries,
        "endpoints": options.endpoints,
        "seed": options.seed,
        "seconds": seconds,
        "keyed": options.keyed,
        "default": DEFAULT_POLICY,
        "bench_floor_ms": rounded(floor_ms),
        "ideal": {
            "mean_ms": rounded(ideal.mean()),
            "p50_ms": rounded(ideal.quantile(0.5)),
            "p99_ms": rounded(ideal.quantile(0.99)),
        },
        "policies": figures,
    });
    Ok(ScenarioOutcome {
        figures,
        promises_held,
    })
}
