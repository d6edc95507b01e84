//! The leading keeper is killed under load, and another right after the first is repaired.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::cluster::layout::{self, contract_key};
use crate::cluster::running::Cluster;
use crate::error::BenchError;
use crate::load::caller::{Target, Verdict, send_trace};
use crate::load::summary::rounded;
use crate::load::trace::{Arrivals, draw_trace};
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::policy_run::{CUSTOMER, DEFAULT_POLICY, UNBOUNDED_RUNNING, spec_of};

/// Load that runs meanwhile.
const LOAD: f64 = 0.3;
/// Length of the load in seconds, unless the options say otherwise.
const LOAD_S: u64 = 25;
/// Changes accepted before each kill.
const CHANGES_BEFORE: u64 = 50;
/// Longest wait for a change to be accepted after a kill.
const ACCEPT_LIMIT: Duration = Duration::from_secs(15);
/// Pause between tries of a change.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Time that a repaired keeper is given before the next is killed.
const REPAIR_PAUSE: Duration = Duration::from_secs(3);
/// The customer whose contract changes.
const CHANGED: &str = "changed";

/// Runs the scenario.
///
/// # Errors
///
/// [`BenchError`] when the cluster can't run.
pub(crate) fn run(options: &Options) -> Result<ScenarioOutcome, BenchError> {
    let mut cluster = Cluster::start(spec_of(options, DEFAULT_POLICY))?;
    cluster.apply_contract(&layout::contract(
        &cluster.spec,
        CUSTOMER,
        1,
        "interactive",
        UNBOUNDED_RUNNING,
    ))?;
    let seconds = options.seconds.unwrap_or(LOAD_S);
    let slots = options.endpoints * usize::from(layout::ENDPOINT_SLOTS);
    let trace = draw_trace(options.seed, slots, LOAD, seconds, Arrivals::Poisson);
    let target = Target {
        entries: cluster.entry_addresses(),
        service: options.deployment.service().to_owned(),
        key: contract_key(CUSTOMER),
        client_latency_us: 0,
        deadline_ms: 20_000,
        key_prefix: Some("loss".to_owned()),
        operation: "reserve".to_owned(),
    };
    let (seen, losses) = std::thread::scope(|scope| {
        let load = scope.spawn(|| send_trace(&trace, &target));
        let losses = lose_keepers(&mut cluster);
        (load.join().unwrap_or_default(), losses)
    });
    let losses = losses?;
    let count = |verdict| seen.iter().filter(|seen| seen.verdict == verdict).count();
    let lost = u64::from(held_revision(&cluster) < losses.accepted);
    let duplicate_starts = cluster.duplicate_starts();
    let unavailable_ms = losses.unavailable_ms.iter().copied().fold(0.0, f64::max);
    let figures = json!({
        "unavailable_ms": rounded(unavailable_ms),
        "unavailable_each_ms": losses.unavailable_ms.iter().map(|ms| rounded(*ms)).collect::<Vec<_>>(),
        "lost": lost,
        "reverted": losses.reverted,
        "changes": losses.accepted,
        "tasks": trace.len(),
        "complete": count(Verdict::Complete),
        "not_run": count(Verdict::NotRun),
        "failed": count(Verdict::Failed),
        "unanswered": count(Verdict::NoAnswer),
        "duplicate_starts": duplicate_starts,
        "sync_delay_ms": options.sync_delay_ms,
        "seeds": [options.seed],
    });
    let promises_held = lost + losses.reverted + duplicate_starts == 0;
    Ok(ScenarioOutcome {
        figures,
        promises_held,
    })
}

/// What the operator saw over both losses.
#[derive(Default)]
struct Losses {
    unavailable_ms: Vec<f64>,
    accepted: u64,
    reverted: u64,
}

fn lose_keepers(cluster: &mut Cluster) -> Result<Losses, BenchError> {
    let mut losses = Losses::default();
    for _ in 0..2 {
        for _ in 0..CHANGES_BEFORE {
            accept_next_change(cluster, &mut losses)?;
        }
        let leader = cluster
            .leader()
            .ok_or(BenchError::NotReady("no keeper leads"))?;
        cluster.keepers[leader].process.kill();
        let start = Instant::now();
        accept_next_change(cluster, &mut losses)?;
        losses
            .unavailable_ms
            .push(start.elapsed().as_secs_f64() * 1e3);
        if held_revision(cluster) < losses.accepted {
            losses.reverted += 1;
        }
        cluster.keepers[leader].process.restart()?;
        std::thread::sleep(REPAIR_PAUSE);
    }
    Ok(losses)
}

/// Sends the next revision until it is accepted.
fn accept_next_change(cluster: &Cluster, losses: &mut Losses) -> Result<(), BenchError> {
    let revision = losses.accepted + 1;
    let change = layout::contract(&cluster.spec, CHANGED, revision, "normal", 100);
    let start = Instant::now();
    while start.elapsed() < ACCEPT_LIMIT {
        match cluster.operator("PUT", &format!("/v1/contracts/{CHANGED}"), Some(&change)) {
            Ok(answer) if matches!(answer.status, 200 | 201) => {
                losses.accepted = revision;
                return Ok(());
            }
            _ => std::thread::sleep(RETRY_PAUSE),
        }
    }
    Err(BenchError::NotReady(
        "no change is accepted after the loss of a keeper",
    ))
}

fn held_revision(cluster: &Cluster) -> u64 {
    let answer = cluster.operator("GET", &format!("/v1/contracts/{CHANGED}"), None);
    let held: Value = answer
        .ok()
        .and_then(|answer| serde_json::from_str(&answer.body).ok())
        .unwrap_or_default();
    held["revision"]
        .as_u64()
        .or_else(|| held["contract"]["revision"].as_u64())
        .unwrap_or(0)
}
