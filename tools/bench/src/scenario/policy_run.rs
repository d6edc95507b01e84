//! One run of one policy over a trace, compared with the ideal.

use serde_json::{Value, json};

use crate::cluster::layout::{Spec, contract, contract_key};
use crate::cluster::metrics::Counters;
use crate::cluster::running::Cluster;
use crate::error::BenchError;
use crate::load::caller::{Seen, Target, Verdict, send_trace};
use crate::load::summary::{Sample, rounded};
use crate::load::trace::TracedTask;
use crate::options::Options;

/// Placement policies that a run compares by default.
pub(crate) const POLICIES: [&str; 3] = ["credits", "least-in-flight", "random"];
/// The policy that entries use unless told otherwise.
pub(crate) const DEFAULT_POLICY: &str = "credits";
/// The customer whose work is measured.
pub(crate) const CUSTOMER: &str = "varjupaik";
/// A limit that binds nothing.
pub(crate) const UNBOUNDED_RUNNING: u32 = 100_000;
/// Counter of every message of an entry.
const MESSAGES: &str = "hemlock_messages_total";
/// Time that tasks waited in the entries, in milliseconds.
const QUEUED_SUM: &str = "hemlock_entry_queued_ms_sum";
const QUEUED_COUNT: &str = "hemlock_entry_queued_ms_count";
/// Time between entry and endpoint beyond the endpoint's own, relays included, in milliseconds.
const OVERHEAD_SUM: &str = "hemlock_entry_overhead_ms_sum";
const OVERHEAD_COUNT: &str = "hemlock_entry_overhead_ms_count";
/// Counter of messages that helped no task.
const WASTED: &str = "hemlock_wasted_messages_total";

/// The cluster that the options ask for, with the given policy.
pub(crate) fn spec_of(options: &Options, policy: &str) -> Spec {
    Spec {
        deployment: options.deployment,
        keepers: 3,
        entries: options.entries,
        endpoints: options.endpoints,
        policy: policy.to_owned(),
        seed: options.seed,
        sync_delay_ms: options.sync_delay_ms,
        latency_us: options.deployment.domain_latency_us(),
    }
}

/// Policies that the options name, or all.
pub(crate) fn policies_of(options: &Options) -> Vec<String> {
    match options.policies.is_empty() {
        true => POLICIES.map(str::to_owned).to_vec(),
        false => options.policies.clone(),
    }
}

/// Sum of the one-way latencies on a task's way there and back, in microseconds.
pub(crate) fn network_us(options: &Options) -> u64 {
    2 * (options.deployment.client_latency_us() + options.deployment.domain_latency_us())
}

/// What one policy did.
pub(crate) struct PolicyResult {
    /// Figures for the last line.
    pub(crate) figures: Value,
    /// Whether every promise held.
    pub(crate) promises_held: bool,
}

/// Runs the trace under one policy; `disturb` acts on the cluster while the load runs.
///
/// # Errors
///
/// [`BenchError`] when the cluster can't run.
pub(crate) fn run_policy(
    options: &Options,
    policy: &str,
    trace: &[TracedTask],
    ideal_us: &[u64],
    deadline_ms: u64,
    disturb: impl FnOnce(&mut Cluster) + Send,
) -> Result<PolicyResult, BenchError> {
    let mut cluster = Cluster::start(spec_of(options, policy))?;
    let limits = contract(&cluster.spec, CUSTOMER, 1, "interactive", UNBOUNDED_RUNNING);
    cluster.apply_contract(&limits)?;
    let operation = match options.keyed {
        true => "reserve",
        false => "search",
    };
    let target = Target {
        entries: cluster.entry_addresses(),
        service: options.deployment.service().to_owned(),
        key: contract_key(CUSTOMER),
        client_latency_us: options.deployment.client_latency_us(),
        deadline_ms,
        key_prefix: options.keyed.then(|| policy.to_owned()),
        operation: operation.to_owned(),
    };
    let before = cluster.counters();
    let seen = std::thread::scope(|scope| {
        let load = scope.spawn(|| send_trace(trace, &target));
        disturb(&mut cluster);
        load.join().unwrap_or_default()
    });
    let after = cluster.counters();
    let result = judge(policy, trace, ideal_us, &seen, &before, &after, &cluster);
    if std::env::var_os("HEMLOCK_BENCH_COUNTERS").is_some() {
        eprintln!(
            "{policy}: {:#?}\n{:#?}",
            after.series(MESSAGES),
            after.series(WASTED)
        );
    }
    Ok(result)
}

fn judge(
    policy: &str,
    trace: &[TracedTask],
    ideal_us: &[u64],
    seen: &[Seen],
    before: &Counters,
    after: &Counters,
    cluster: &Cluster,
) -> PolicyResult {
    let count = |verdict| seen.iter().filter(|seen| seen.verdict == verdict).count();
    let complete: Vec<&Seen> = seen
        .iter()
        .filter(|seen| seen.verdict == Verdict::Complete)
        .collect();
    let excess_ms = |seen: &&Seen| (seen.response_us as f64 - ideal_us[seen.index] as f64) / 1e3;
    let excess = Sample::new(complete.iter().map(excess_ms).collect());
    let response = Sample::new(
        complete
            .iter()
            .map(|seen| seen.response_us as f64 / 1e3)
            .collect(),
    );
    let ideal = Sample::new(ideal_us.iter().map(|us| *us as f64 / 1e3).collect());
    let grown = |name: &str| after.sum(name) - before.sum(name);
    let per_task = |name| grown(name) / trace.len().max(1) as f64;
    let entry_mean_ms = |sum: &str, count: &str| rounded(grown(sum) / grown(count).max(1.0));
    let duplicate_starts = cluster.duplicate_starts();
    let ratio = |share| rounded(response.quantile(share) / ideal.quantile(share).max(1e-9));
    let unanswered = trace.len() - seen.len() + count(Verdict::NoAnswer);
    let figures = json!({
        "policy": policy,
        "tasks": trace.len(),
        "excess_mean_ms": rounded(excess.mean()),
        "excess_p50_ms": rounded(excess.quantile(0.5)),
        "excess_p99_ms": rounded(excess.quantile(0.99)),
        "excess_max_ms": rounded(excess.max()),
        "p50_ratio": ratio(0.5),
        "p99_ratio": ratio(0.99),
        "entry_queued_mean_ms": entry_mean_ms(QUEUED_SUM, QUEUED_COUNT),
        "entry_overhead_mean_ms": entry_mean_ms(OVERHEAD_SUM, OVERHEAD_COUNT),
        "response_mean_ms": rounded(response.mean()),
        "goodput_ratio": rounded(complete.len() as f64 / trace.len().max(1) as f64),
        "wasted_per_task": rounded(per_task(WASTED)),
        "messages_per_task": rounded(per_task(MESSAGES)),
        "failed": count(Verdict::Failed),
        "not_run": count(Verdict::NotRun),
        "unanswered": unanswered,
        "duplicate_starts": duplicate_starts,
        "partial": count(Verdict::WrongBody),
    });
    let promises_held = duplicate_starts == 0 && count(Verdict::WrongBody) == 0 && unanswered == 0;
    PolicyResult {
        figures,
        promises_held,
    }
}
