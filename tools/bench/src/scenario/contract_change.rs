//! The `contract-change` scenario: hundreds of contract changes under load. Operators send
//! different contents for the same revision in parallel, some changes are sent twice, and an
//! entry restarts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};

use crate::cluster::layout::{self, contract_key};
use crate::cluster::running::{Cluster, operator_call};
use crate::error::BenchError;
use crate::load::caller::{RequestOutcome, Target, send_trace};
use crate::load::summary::{Sample, rounded};
use crate::load::trace::{Arrivals, draw_trace};
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::policy_run::{CUSTOMER, DEFAULT_POLICY, UNBOUNDED_RUNNING, spec_of};

/// Operators that send each revision in parallel.
const OPERATORS: usize = 2;
/// Number of customers whose contracts change.
const CUSTOMERS: u64 = 8;
/// Offered load during the changes, as a share of the capacity.
const LOAD: f64 = 0.3;
/// Default length of the load, in seconds.
const LOAD_S: u64 = 30;
/// Share of accepted changes that are sent again.
const RESEND_SHARE: f64 = 0.3;

/// Runs the scenario.
///
/// # Errors
///
/// [`BenchError`] when the cluster can't run.
pub(crate) fn run(options: &Options) -> Result<ScenarioOutcome, BenchError> {
    let mut cluster = Cluster::start(spec_of(options, DEFAULT_POLICY))?;
    let limits = layout::contract(&cluster.spec, CUSTOMER, 1, "interactive", UNBOUNDED_RUNNING);
    cluster.apply_contract(&limits)?;
    let seconds = options.seconds.unwrap_or(LOAD_S);
    let slots = options.endpoints * usize::from(layout::ENDPOINT_SLOTS);
    let trace = draw_trace(options.seed, slots, LOAD, seconds, Arrivals::Poisson);
    let target = Target {
        entries: cluster.entry_addresses(),
        service: options.deployment.service().to_owned(),
        key: contract_key(CUSTOMER),
        client_latency_us: 0,
        deadline_ms: 30_000,
        key_prefix: Some("change".to_owned()),
        operation: "reserve".to_owned(),
    };
    let tally = Tally::default();
    let results = std::thread::scope(|scope| {
        let load = scope.spawn(|| send_trace(&trace, &target));
        change_contracts(&mut cluster, options, &tally);
        load.join().unwrap_or_default()
    });
    let in_force = Sample::new(std::mem::take(
        &mut *tally.in_force_ms.lock().expect("tally"),
    ));
    let count = |outcome| {
        results
            .iter()
            .filter(|result| result.outcome == outcome)
            .count()
    };
    let reverted = tally.reverted.load(Ordering::SeqCst) + lost_changes(&cluster, &tally);
    let two_winners = tally.two_winners.load(Ordering::SeqCst);
    let wrong_resends = tally.wrong_resends.load(Ordering::SeqCst);
    let duplicate_starts = cluster.duplicate_starts();
    let figures = json!({
        "changes": tally.accepted.load(Ordering::SeqCst),
        "conflicts": tally.conflicts.load(Ordering::SeqCst),
        "in_force_p50_ms": rounded(in_force.quantile(0.5)),
        "in_force_p99_ms": rounded(in_force.quantile(0.99)),
        "in_force_max_ms": rounded(in_force.max()),
        "reverted": reverted,
        "two_winners": two_winners,
        "wrong_resends": wrong_resends,
        "unanswered_changes": tally.unanswered.load(Ordering::SeqCst),
        "tasks": trace.len(),
        "complete": count(RequestOutcome::Complete),
        "not_run": count(RequestOutcome::NotRun),
        "failed": count(RequestOutcome::Failed),
        "unanswered_tasks": count(RequestOutcome::NoAnswer),
        "duplicate_starts": duplicate_starts,
        "sync_delay_ms": options.sync_delay_ms,
        "seed": options.seed,
    });
    let guarantees_held = reverted + two_winners + wrong_resends + duplicate_starts == 0;
    Ok(ScenarioOutcome {
        figures,
        guarantees_held,
    })
}

/// Results of the contract changes, as the operators saw them.
#[derive(Default)]
struct Tally {
    /// Revisions for which one operator's contract was accepted.
    accepted: AtomicU64,
    /// Contracts that were refused with status 409.
    conflicts: AtomicU64,
    /// Revisions for which no contract was accepted.
    unanswered: AtomicU64,
    /// Revisions for which more than one contract was accepted.
    two_winners: AtomicU64,
    /// Accepted contracts that were refused when sent again.
    wrong_resends: AtomicU64,
    /// Reads that returned an older revision than the one just sent.
    reverted: AtomicU64,
    /// Time from sending each accepted contract until it was in force.
    in_force_ms: Mutex<Vec<f64>>,
    /// Last accepted contract of each customer.
    winners: Mutex<BTreeMap<String, Value>>,
}

fn change_contracts(cluster: &mut Cluster, options: &Options, tally: &Tally) {
    let mut random = Pcg64::seed_from_u64(options.seed);
    let restart_at = options.changes / 2;
    for change in 0..options.changes {
        if change == restart_at && cluster.entries.len() > 1 {
            // A failed restart is not reported here; it shows as requests that are not answered.
            let _ = cluster.entries[1].process.restart();
        }
        let customer = format!("customer-{}", change % CUSTOMERS);
        let revision = change / CUSTOMERS + 1;
        let resend = random.random::<f64>() < RESEND_SHARE;
        race_for_revision(cluster, tally, &customer, revision, resend);
    }
}

/// Lets the operators send different contents for one revision in parallel, to different
/// keepers. At most one may be accepted, and the keepers must accept that one again.
fn race_for_revision(
    cluster: &Cluster,
    tally: &Tally,
    customer: &str,
    revision: u64,
    resend: bool,
) {
    let keepers: Vec<SocketAddr> = cluster
        .keepers
        .iter()
        .map(|keeper| keeper.addresses.http)
        .collect();
    let contents: Vec<Value> = (0..OPERATORS)
        .map(|operator| {
            let max_running = 100 + revision as u32 * 10 + operator as u32;
            layout::contract(&cluster.spec, customer, revision, "normal", max_running)
        })
        .collect();
    let path = format!("/v1/contracts/{customer}?wait=in-force");
    let winners: Vec<Value> = std::thread::scope(|scope| {
        let racing: Vec<_> = contents
            .iter()
            .enumerate()
            .map(|(operator, content)| {
                let keeper = keepers[operator % keepers.len()];
                let path = &path;
                scope.spawn(move || {
                    send_change(keeper, path, content, tally).then(|| content.clone())
                })
            })
            .collect();
        racing
            .into_iter()
            .filter_map(|thread| thread.join().ok().flatten())
            .collect()
    });
    match winners.as_slice() {
        [] => {
            tally.unanswered.fetch_add(1, Ordering::SeqCst);
        }
        [winner] => {
            tally.accepted.fetch_add(1, Ordering::SeqCst);
            tally
                .winners
                .lock()
                .expect("tally")
                .insert(customer.to_owned(), winner.clone());
            if resend && !is_accepted(keepers[2 % keepers.len()], &path, winner) {
                tally.wrong_resends.fetch_add(1, Ordering::SeqCst);
            }
        }
        _ => {
            tally.two_winners.fetch_add(1, Ordering::SeqCst);
        }
    }
    check_not_reverted(cluster, tally, customer, revision);
}

fn send_change(keeper: SocketAddr, path: &str, content: &Value, tally: &Tally) -> bool {
    let start = Instant::now();
    match operator_call(keeper, "PUT", path, Some(content)) {
        Ok(answer) if matches!(answer.status, 200 | 201) => {
            let elapsed_ms = start.elapsed().as_secs_f64() * 1e3;
            tally.in_force_ms.lock().expect("tally").push(elapsed_ms);
            true
        }
        Ok(answer) if answer.status == 409 => {
            tally.conflicts.fetch_add(1, Ordering::SeqCst);
            false
        }
        _ => false,
    }
}

fn is_accepted(keeper: SocketAddr, path: &str, content: &Value) -> bool {
    operator_call(keeper, "PUT", path, Some(content))
        .is_ok_and(|answer| matches!(answer.status, 200 | 201))
}

fn check_not_reverted(cluster: &Cluster, tally: &Tally, customer: &str, revision: u64) {
    let held = cluster.operator("GET", &format!("/v1/contracts/{customer}"), None);
    let held: Value = held
        .ok()
        .and_then(|answer| serde_json::from_str(&answer.body).ok())
        .unwrap_or_default();
    if held_revision(&held).is_some_and(|held| held < revision) {
        tally.reverted.fetch_add(1, Ordering::SeqCst);
    }
}

fn held_revision(answer: &Value) -> Option<u64> {
    answer["revision"]
        .as_u64()
        .or_else(|| answer["contract"]["revision"].as_u64())
}

/// Returns the number of customers whose last accepted contract the keepers don't store.
fn lost_changes(cluster: &Cluster, tally: &Tally) -> u64 {
    let winners = tally.winners.lock().expect("tally");
    let is_lost = |(customer, winner): &(&String, &Value)| {
        let answer = cluster.operator("GET", &format!("/v1/contracts/{customer}"), None);
        let held: Value = answer
            .ok()
            .and_then(|answer| serde_json::from_str(&answer.body).ok())
            .unwrap_or_default();
        let contract = held.get("contract").unwrap_or(&held);
        contract["max_running"] != winner["max_running"]
    };
    winners.iter().filter(is_lost).count() as u64
}
