//! Runs all policies on the same trace and compares them with an ideal queue.

use serde_json::{Value, json};

use crate::cluster::layout::ENDPOINT_SLOTS;
use crate::cluster::running::Cluster;
use crate::error::BenchError;
use crate::load::ideal::ideal_response_us;
use crate::load::summary::{Sample, rounded};
use crate::load::trace::{Arrivals, draw_trace};
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::policy_run::{DEFAULT_POLICY, network_us, policies_of, run_policy};

/// Default total time of all policies, in seconds.
const TOTAL_S: u64 = 42;

/// Load conditions of a comparison.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    /// Distribution of arrivals over time.
    pub(crate) arrivals: Arrivals,
    /// Deadline of the measured requests, in milliseconds.
    pub(crate) deadline_ms: u64,
}

/// Runs every policy on the same trace, each in a cluster of its own.
///
/// `disturb` runs in parallel with the load of each cluster, to inject faults; it receives the
/// length of the load in seconds.
///
/// # Errors
///
/// [`BenchError`] when a cluster can't run.
pub(crate) fn compare_policies(
    options: &Options,
    conditions: Conditions,
    disturb: impl Fn(&mut Cluster, u64) + Sync,
) -> Result<ScenarioOutcome, BenchError> {
    let policies = policies_of(options);
    let seconds = options.seconds.unwrap_or(TOTAL_S / policies.len() as u64);
    let slots = options.endpoints * usize::from(ENDPOINT_SLOTS);
    let trace = draw_trace(
        options.seed,
        slots,
        options.load,
        seconds,
        conditions.arrivals,
    );
    let ideal_us = ideal_response_us(&trace, slots, network_us(options));
    let deadline_ms = conditions.deadline_ms;
    let mut figures = Vec::new();
    let mut guarantees_held = true;
    for policy in &policies {
        let act = |cluster: &mut Cluster| disturb(cluster, seconds);
        let result = run_policy(options, policy, &trace, &ideal_us, deadline_ms, act)?;
        guarantees_held &= result.guarantees_held;
        figures.push(result.figures);
    }
    let figures = json!({
        "deployment": options.deployment.name(),
        "load": options.load,
        "entries": options.entries,
        "endpoints": options.endpoints,
        "seed": options.seed,
        "seconds": seconds,
        "default": DEFAULT_POLICY,
        "ideal": ideal_figures(&ideal_us),
        "policies": figures,
    });
    Ok(ScenarioOutcome {
        figures,
        guarantees_held,
    })
}

fn ideal_figures(ideal_us: &[u64]) -> Value {
    let ideal = Sample::new(ideal_us.iter().map(|us| *us as f64 / 1e3).collect());
    json!({
        "mean_ms": rounded(ideal.mean()),
        "p50_ms": rounded(ideal.quantile(0.5)),
        "p99_ms": rounded(ideal.quantile(0.99)),
    })
}
