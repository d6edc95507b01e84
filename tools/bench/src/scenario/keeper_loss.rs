//! The `keeper-loss` scenario: the leading keeper is killed under load, and once it runs again
//! the next leader is killed too.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::cluster::layout::{self, contract_key};
use crate::cluster::running::Cluster;
use crate::error::BenchError;
use crate::load::caller::{RequestOutcome, Target, send_trace};
use crate::load::summary::rounded;
use crate::load::trace::{Arrivals, draw_trace};
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::policy_run::{CUSTOMER, DEFAULT_POLICY, UNBOUNDED_RUNNING, spec_of};

/// Offered load, as a share of the capacity.
const LOAD: f64 = 0.3;
/// Default length of the load, in seconds.
const LOAD_S: u64 = 25;
/// Contract changes that are accepted before each kill.
const CHANGES_BEFORE: u64 = 50;
/// Time within which a contract change must be accepted, also after a kill.
const ACCEPT_LIMIT: Duration = Duration::from_secs(15);
/// Pause before a refused change is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Time between the restart of a keeper and the next kill.
const REPAIR_PAUSE: Duration = Duration::from_secs(3);
/// Customer whose contract changes.
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
    let (results, losses) = std::thread::scope(|scope| {
        let load = scope.spawn(|| send_trace(&trace, &target));
        let losses = lose_keepers(&mut cluster);
        (load.join().unwrap_or_default(), losses)
    });
    let losses = losses?;
    let count = |outcome| {
        results
            .iter()
            .filter(|result| result.outcome == outcome)
            .count()
    };
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
        "complete": count(RequestOutcome::Complete),
        "not_run": count(RequestOutcome::NotRun),
        "failed": count(RequestOutcome::Failed),
        "unanswered": count(RequestOutcome::NoAnswer),
        "duplicate_starts": duplicate_starts,
        "sync_delay_ms": options.sync_delay_ms,
        "seeds": [options.seed],
    });
    let guarantees_held = lost + losses.reverted + duplicate_starts == 0;
    Ok(ScenarioOutcome {
        figures,
        guarantees_held,
    })
}

/// Results of both losses, as the operator saw them.
#[derive(Default)]
struct Losses {
    /// Time from each kill until the next change was accepted.
    unavailable_ms: Vec<f64>,
    /// Last accepted revision.
    accepted: u64,
    /// Losses after which the keepers returned an older revision than the accepted one.
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
