//! Two operators that send different contents for the same contract revision at the same time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use super::callers::CallTarget;
use crate::cluster::layout::contract_key;
use crate::cluster::running::operator_call;

/// Customer whose contract the operators change.
const CUSTOMER: &str = "raced";
/// Pause between revisions.
const PAUSE: Duration = Duration::from_millis(100);

/// Results of the contract changes, as the operators saw them.
#[derive(Debug, Default)]
pub(super) struct OperatorFindings {
    /// Revisions for which exactly one operator's contract was accepted.
    pub(super) accepted: u64,
    /// Revisions for which both operators' contracts were accepted.
    pub(super) two_winners: u64,
    /// Accepted revisions after which a keeper returned an older one.
    pub(super) reverted: u64,
}

impl OperatorFindings {
    /// Number of violations.
    pub(super) fn violations(&self) -> u64 {
        self.two_winners + self.reverted
    }
}

/// Lets two operators send each next revision in parallel until `stop` is set.
pub(super) fn run_operators(
    target: &CallTarget,
    keepers: &[SocketAddr],
    stop: &AtomicBool,
) -> OperatorFindings {
    let mut findings = OperatorFindings::default();
    let mut revision = 1;
    while !stop.load(Ordering::SeqCst) {
        let accepted: Vec<bool> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..2)
                .map(|operator| {
                    let change = contract(target, revision, operator);
                    let keeper = keepers[(operator as usize + revision as usize) % keepers.len()];
                    scope.spawn(move || is_accepted(keeper, &change))
                })
                .collect();
            threads
                .into_iter()
                .map(|thread| thread.join().unwrap_or(false))
                .collect()
        });
        match accepted.iter().filter(|accepted| **accepted).count() {
            0 => {}
            1 => findings.accepted += 1,
            _ => findings.two_winners += 1,
        }
        if accepted.contains(&true) {
            findings.reverted += u64::from(any_keeper_is_older(keepers, revision));
        }
        revision = highest_revision(keepers)
            .unwrap_or(revision)
            .max(revision - 1)
            + 1;
        std::thread::sleep(PAUSE);
    }
    findings
}

fn contract(target: &CallTarget, revision: u64, operator: u64) -> Value {
    json!({
        "customer": CUSTOMER,
        "revision": revision,
        "key_sha256": [hemlock_types::digest::Digest::of_key(contract_key(CUSTOMER).as_bytes()).to_string()],
        "services": [target.service],
        "max_running": 10 + revision * 2 + operator,
        "max_queued": 100,
    })
}

fn is_accepted(keeper: SocketAddr, change: &Value) -> bool {
    operator_call(
        keeper,
        "PUT",
        &format!("/v1/contracts/{CUSTOMER}"),
        Some(change),
    )
    .is_ok_and(|answer| matches!(answer.status, 200 | 201))
}

/// Returns true if a keeper returns a revision older than the accepted one.
fn any_keeper_is_older(keepers: &[SocketAddr], revision: u64) -> bool {
    keepers
        .iter()
        .filter_map(|keeper| held_revision(*keeper))
        .any(|held| held < revision)
}

fn highest_revision(keepers: &[SocketAddr]) -> Option<u64> {
    keepers
        .iter()
        .filter_map(|keeper| held_revision(*keeper))
        .max()
}

fn held_revision(keeper: SocketAddr) -> Option<u64> {
    let path = format!("/v1/contracts/{CUSTOMER}");
    let answer = operator_call(keeper, "GET", &path, None).ok()?;
    let body: Value = serde_json::from_str(&answer.body).ok()?;
    body["revision"]
        .as_u64()
        .or_else(|| body["contract"]["revision"].as_u64())
}
