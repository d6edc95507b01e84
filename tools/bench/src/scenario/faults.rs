//! The latency scenario with endpoints that fail, straggle, die and are stopped as planned.

use std::thread::sleep;
use std::time::Duration;

use hemlock_standin::Faults;
use serde_json::json;

use crate::cluster::layout::ENDPOINT_SLOTS;
use crate::cluster::running::Cluster;
use crate::error::BenchError;
use crate::load::ideal::ideal_response_us;
use crate::load::summary::{Sample, rounded};
use crate::load::trace::{Arrivals, draw_trace};
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::policy_run::{DEFAULT_POLICY, network_us, policies_of, run_policy};

/// Time for all policies together, in seconds, unless the options say otherwise.
const TOTAL_S: u64 = 42;
/// Deadline of the measured requests, in milliseconds; shorter than a straggler's longest task.
const DEADLINE_MS: u64 = 20_000;
/// How much slower the straggling endpoint is.
const STRAGGLE_FACTOR: u32 = 20;
/// Endpoints that a fault strikes, by position.
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
    let policies = policies_of(options);
    let seconds = options.seconds.unwrap_or(TOTAL_S / policies.len() as u64);
    let slots = options.endpoints * usize::from(ENDPOINT_SLOTS);
    let trace = draw_trace(options.seed, slots, options.load, seconds, Arrivals::Bursty);
    let ideal_us = ideal_response_us(&trace, slots, network_us(options));
    let ideal = Sample::new(ideal_us.iter().map(|us| *us as f64 / 1e3).collect());
    let mut results = Vec::new();
    for policy in &policies {
        let disturb = |cluster: &mut Cluster| bring_about_faults(cluster, seconds);
        results.push(run_policy(
            options,
            policy,
            &trace,
            &ideal_us,
            DEADLINE_MS,
            disturb,
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
        "faults": ["failing", "straggling", "killed", "planned-stop"],
        "default": DEFAULT_POLICY,
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

/// Brings about one fault after each fifth of the trace.
fn bring_about_faults(cluster: &mut Cluster, seconds: u64) {
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
    // An agent that can't be started again shows as capacity that stays away.
    let _ = cluster.agents[KILLED].process.restart();
    cluster.agents[STOPPED].process.terminate();
}
