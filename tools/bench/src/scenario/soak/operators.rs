//! Operators that race each other with changes of contracts.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use super::callers::Site;
use crate::cluster::layout::contract_key;
use crate::cluster::running::operator_call;

/// The customer whose contract the operators change.
const CUSTOMER: &str = "raced";
/// Pause between revisions.
const PAUSE: Duration = Duration::from_millis(100);

/// What the operators saw.
#[derive(Debug, Default)]
pub(super) struct OperatorFindings {
    pub(super) accepted: u64,
    pub(super) two_winners: u64,
    pub(super) reverted: u64,
}

impl OperatorFindings {
    /// How many promises were broken.
    pub(super) fn broken(&self) -> u64 {
        self.two_winners + self.reverted
    }
}

/// Two operators race for every revision until told to stop.
pub(super) fn run_operators(
    site: &Site,
    keepers: &[SocketAddr],
    stop: &AtomicBool,
) -> OperatorFindings {
    let mut findings = OperatorFindings::default();
    let mut revision = 1;
    while !stop.load(Ordering::SeqCst) {
        let accepted: Vec<bool> = std::thread::scope(|scope| {
            let racing: Vec<_> = (0..2)
                .map(|operator| {
                    let change = contract(site, revision, operator);
                    let keeper = keepers[(operator as usize + revision as usize) % keepers.len()];
                    scope.spawn(move || is_accepted(keeper, &change))
                })
                .collect();
            racing
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
            findings.reverted += u64::from(any_holds_less(keepers, revision));
        }
        revision = highest_held(keepers).unwrap_or(revision).max(revision - 1) + 1;
        std::thread::sleep(PAUSE);
    }
    findings
}

fn contract(site: &Site, revision: u64, operator: u64) -> Value {
    json!({
        "customer": CUSTOMER,
        "revision": revision,
        "key_sha256": [hemlock_types::digest::Digest::of_key(contract_key(CUSTOMER).as_bytes()).to_string()],
        "services": [site.service],
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

/// Whether any keeper answers with an older revision than was accepted before.
fn any_holds_less(keepers: &[SocketAddr], revision: u64) -> bool {
    keepers
        .iter()
        .filter_map(|keeper| held(*keeper))
        .any(|held| held < revision)
}

fn highest_held(keepers: &[SocketAddr]) -> Option<u64> {
    keepers.iter().filter_map(|keeper| held(*keeper)).max()
}

fn held(keeper: SocketAddr) -> Option<u64> {
    let path = format!("/v1/contracts/{CUSTOMER}");
    let answer = operator_call(keeper, "GET", &path, None).ok()?;
    let body: Value = serde_json::from_str(&answer.body).ok()?;
    body["revision"]
        .as_u64()
        .or_else(|| body["contract"]["revision"].as_u64())
}
