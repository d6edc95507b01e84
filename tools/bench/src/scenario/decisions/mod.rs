//! The `decisions` scenario: nanoseconds per decision of the router core and of the gate core.

mod gate;
mod router;

use hemlock_router::prelude::POLICIES;
use serde_json::json;

use crate::error::BenchError;
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::policy_run::DEFAULT_POLICY;

/// Runs the scenario with the numbers of endpoints and entries in the options.
///
/// # Errors
///
/// Never fails; the return type is that of every scenario.
pub(crate) fn run(options: &Options) -> Result<ScenarioOutcome, BenchError> {
    let endpoints = options.endpoints as u64;
    let (router_ns, settle_ns) = router::cost_ns(DEFAULT_POLICY, endpoints);
    let gate = gate::cost_of_gate(options.entries as u64);
    let policies: Vec<_> = POLICIES
        .iter()
        .map(|policy| {
            let (router_ns, settle_ns) = router::cost_ns(policy, endpoints);
            json!({ "policy": policy, "router_ns": router_ns, "settle_ns": settle_ns })
        })
        .collect();
    let figures = json!({
        "endpoints": options.endpoints,
        "entries": options.entries,
        "router_ns": router_ns,
        "settle_ns": settle_ns,
        "gate_ns": gate.start_ns as u64,
        "gate_claimed_ns": gate.claimed_start_ns as u64,
        "gate_without_credits_ns": gate.start_without_credits_ns as u64,
        "gate_cancel_ns": gate.cancel_ns as u64,
        "policies": policies,
    });
    Ok(ScenarioOutcome {
        figures,
        guarantees_held: true,
    })
}
