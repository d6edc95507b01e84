//! Runs one policy on a trace and compares its response times with those of an ideal queue.

use serde_json::{Value, json};

use crate::cluster::layout::{ClusterSpec, contract, contract_key};
use crate::cluster::metrics::Counters;
use crate::cluster::running::Cluster;
use crate::error::BenchError;
use crate::load::caller::{RequestOutcome, RequestResult, Target, send_trace};
use crate::load::summary::{Sample, rounded};
use crate::load::trace::TracedTask;
use crate::options::Options;

/// Placement policies that are compared by default.
pub(crate) const POLICIES: [&str; 3] = ["credits", "least-in-flight", "random"];
/// Placement policy of scenarios that don't compare policies.
pub(crate) const DEFAULT_POLICY: &str = "credits";
/// Customer whose requests are measured.
pub(crate) const CUSTOMER: &str = "varjupaik";
/// Value of `max_running` that is too high to limit any scenario.
pub(crate) const UNBOUNDED_RUNNING: u32 = 100_000;
/// Counter of all messages of an entry.
const MESSAGES: &str = "hemlock_messages_total";
/// Sum and count of the histogram of tasks' queueing times in the entries, in milliseconds.
const QUEUED_SUM: &str = "hemlock_entry_queued_ms_sum";
const QUEUED_COUNT: &str = "hemlock_entry_queued_ms_count";
/// Sum and count of the histogram of the time between entry and endpoint, relays included, but
/// without the endpoint's service time, in milliseconds.
const OVERHEAD_SUM: &str = "hemlock_entry_overhead_ms_sum";
const OVERHEAD_COUNT: &str = "hemlock_entry_overhead_ms_count";
/// Counter of messages that contributed to no task.
const WASTED: &str = "hemlock_wasted_messages_total";

/// Returns the cluster that the options describe, with the given policy.
pub(crate) fn spec_of(options: &Options, policy: &str) -> ClusterSpec {
    ClusterSpec {
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

/// Returns the policies that the options name, or all.
pub(crate) fn policies_of(options: &Options) -> Vec<String> {
    match options.policies.is_empty() {
        true => POLICIES.map(str::to_owned).to_vec(),
        false => options.policies.clone(),
    }
}

/// Returns the network latency of a request and its answer together, in microseconds.
pub(crate) fn network_us(options: &Options) -> u64 {
    2 * (options.deployment.client_latency_us() + options.deployment.domain_latency_us())
}

/// Result of one policy.
pub(crate) struct PolicyResult {
    /// Figures of the policy, as one JSON object.
    pub(crate) figures: Value,
    /// True if no guarantee was violated.
    pub(crate) guarantees_held: bool,
}

/// Runs the trace under one policy, with `disturb` in parallel to the load, to inject faults.
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
    let results = std::thread::scope(|scope| {
        let load = scope.spawn(|| send_trace(trace, &target));
        disturb(&mut cluster);
        load.join().unwrap_or_default()
    });
    let after = cluster.counters();
    let result = summarize(policy, trace, ideal_us, &results, &before, &after, &cluster);
    if std::env::var_os("HEMLOCK_BENCH_COUNTERS").is_some() {
        eprintln!(
            "{policy}: {:#?}\n{:#?}",
            after.series(MESSAGES),
            after.series(WASTED)
        );
    }
    Ok(result)
}

fn summarize(
    policy: &str,
    trace: &[TracedTask],
    ideal_us: &[u64],
    results: &[RequestResult],
    before: &Counters,
    after: &Counters,
    cluster: &Cluster,
) -> PolicyResult {
    let count = |outcome| {
        results
            .iter()
            .filter(|result| result.outcome == outcome)
            .count()
    };
    let complete: Vec<&RequestResult> = results
        .iter()
        .filter(|result| result.outcome == RequestOutcome::Complete)
        .collect();
    let excess_ms =
        |result: &&RequestResult| (result.response_us as f64 - ideal_us[result.index] as f64) / 1e3;
    let excess = Sample::new(complete.iter().map(excess_ms).collect());
    let response = Sample::new(
        complete
            .iter()
            .map(|result| result.response_us as f64 / 1e3)
            .collect(),
    );
    let ideal = Sample::new(ideal_us.iter().map(|us| *us as f64 / 1e3).collect());
    let increase = |name: &str| after.sum(name) - before.sum(name);
    let per_task = |name| increase(name) / trace.len().max(1) as f64;
    let entry_mean_ms = |sum: &str, count: &str| rounded(increase(sum) / increase(count).max(1.0));
    let duplicate_starts = cluster.duplicate_starts();
    let ratio = |share| rounded(response.quantile(share) / ideal.quantile(share).max(1e-9));
    let unanswered = trace.len() - results.len() + count(RequestOutcome::NoAnswer);
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
        "failed": count(RequestOutcome::Failed),
        "not_run": count(RequestOutcome::NotRun),
        "unanswered": unanswered,
        "duplicate_starts": duplicate_starts,
        "partial": count(RequestOutcome::WrongBody),
    });
    let guarantees_held =
        duplicate_starts == 0 && count(RequestOutcome::WrongBody) == 0 && unanswered == 0;
    PolicyResult {
        figures,
        guarantees_held,
    }
}
