//! A long randomised run of separate processes, with every promise checked from outside.

mod book;
mod callers;
mod disturb;
mod operators;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::cluster::layout;
use crate::cluster::running::Cluster;
use crate::error::BenchError;
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::policy_run::{CUSTOMER, DEFAULT_POLICY, UNBOUNDED_RUNNING, spec_of};
use book::Book;

/// Caller threads.
const CALLERS: u64 = 24;
/// Entries of the run.
const ENTRIES: usize = 3;
/// Endpoints of the run.
const ENDPOINTS: usize = 6;
/// Time for everything to recover after the last disturbance.
const RECOVERY: Duration = Duration::from_secs(15);

/// Runs the scenario.
///
/// # Errors
///
/// [`BenchError`] when the cluster can't run.
pub(crate) fn run(options: &Options) -> Result<ScenarioOutcome, BenchError> {
    let mut spec = spec_of(options, DEFAULT_POLICY);
    spec.entries = ENTRIES;
    spec.endpoints = ENDPOINTS;
    let mut cluster = Cluster::start(spec)?;
    cluster.apply_contract(&layout::contract(
        &cluster.spec,
        CUSTOMER,
        1,
        "interactive",
        UNBOUNDED_RUNNING,
    ))?;
    let book = Book::default();
    let stop = AtomicBool::new(false);
    let length = options
        .seconds
        .map_or(options.minutes * 60, |seconds| seconds);
    let site = callers::Site::of(&cluster);
    let keepers = cluster
        .keepers
        .iter()
        .map(|keeper| keeper.addresses.http)
        .collect::<Vec<_>>();
    let (disturbances, operators) = std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (site, book, stop) = (&site, &book, &stop);
            let seed = options.seed * 1_000 + caller;
            scope.spawn(move || callers::run_caller(site, book, stop, seed, caller));
        }
        let operating = scope.spawn(|| operators::run_operators(&site, &keepers, &stop));
        let end = Instant::now() + Duration::from_secs(length);
        let disturbances = disturb::disturb_until(&mut cluster, options.seed, end, &book);
        std::thread::sleep(RECOVERY);
        stop.store(true, Ordering::SeqCst);
        (disturbances, operating.join().unwrap_or_default())
    });
    let starts = cluster.key_starts();
    let findings = book.judge(&starts);
    let serves_again = callers::call_once(&site, &book, "final-check");
    let duplicate_starts = cluster.duplicate_starts();
    let broken = findings.broken() + duplicate_starts + operators.broken() + disturbances.broken();
    let figures = json!({
        "minutes": length as f64 / 60.0,
        "seed": options.seed,
        "disturbances": disturbances.counts,
        "submissions": findings.submissions,
        "calls": findings.calls,
        "complete": findings.complete,
        "failed": findings.failed,
        "not_run": findings.not_run,
        "unanswered": findings.unanswered,
        "unanswered_undisturbed": findings.unanswered_undisturbed,
        "duplicate_starts": duplicate_starts,
        "false_not_run": findings.false_not_run,
        "partial": findings.partial,
        "changed_answers": findings.changed_answers,
        "complete_without_start": findings.complete_without_start,
        "cut_by_planned_stop": disturbances.cut_by_planned_stop,
        "planned_stops_overdue": disturbances.overdue,
        "unclean_exits": disturbances.unclean_exits,
        "contract_changes": operators.accepted,
        "two_winners": operators.two_winners,
        "reverted": operators.reverted,
        "serves_again": serves_again,
        "broken": broken,
        "examples": findings.examples,
    });
    Ok(ScenarioOutcome {
        figures,
        promises_held: broken == 0 && serves_again,
    })
}
