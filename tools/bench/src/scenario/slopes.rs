//! The `slopes` scenario: processor time, traffic and memory of each role by the numbers of
//! endpoints, entries and contracts, and for each claim and task start.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlock_types::prelude::*;
use serde_json::{Value, json};

use crate::cluster::fleet::{Fleet, FleetSpec};
use crate::cluster::layout;
use crate::cluster::metrics::Counters;
use crate::cluster::running::{Cluster, Member};
use crate::cluster::usage::Usage;
use crate::error::BenchError;
use crate::load::fit::Fit;
use crate::load::summary::rounded;
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::policy_run::{CUSTOMER, DEFAULT_POLICY, UNBOUNDED_RUNNING, spec_of};
use crate::scenario::{claims, throughput};

/// Numbers of announced endpoints.
const ENDPOINTS: [usize; 4] = [11, 200, 800, 1_900];
/// Numbers of entries.
const ENTRIES: [usize; 3] = [1, 4, 8];
/// Numbers of contracts.
const CONTRACTS: [usize; 4] = [10, 40, 80, 160];
/// Number of endpoints while the number of entries varies.
const FIXED_ENDPOINTS: usize = 11;
/// Numbers of claims in flight that are measured.
const CLAIMS_IN_FLIGHT: [usize; 3] = [16, 256, 1_024];
/// Length of the measurement at each number of claims in flight.
const CLAIMS_LENGTH: Duration = Duration::from_secs(4);
/// Numbers of endpoints with which task starts are measured.
const START_ENDPOINTS: [usize; 3] = [11, 200, 800];
/// Jobs in one measurement of task starts.
const START_JOBS: u64 = 400;
/// Time between the start of a cluster and its measurement, in which its load becomes steady.
const SETTLE: Duration = Duration::from_secs(4);
/// Default length of one measurement, in seconds.
const MEASURE_S: u64 = 10;
/// Counter of bytes on the connections between keepers, entries and agents.
const BYTES: &str = "hemlock_wire_bytes_total";

/// Runs the scenario.
///
/// # Errors
///
/// [`BenchError`] when a cluster can't run.
pub(crate) fn run(options: &Options) -> Result<ScenarioOutcome, BenchError> {
    let length = Duration::from_secs(options.seconds.unwrap_or(MEASURE_S));
    let by_endpoints = measure_endpoints(options, length)?;
    let by_entries = measure_entries(options, length)?;
    let by_contracts = measure_contracts(options)?;
    let by_claims = measure_claims(options)?;
    let by_starts = measure_starts(options)?;
    let figures = json!({
        "seed": options.seed,
        "seconds": length.as_secs(),
        "endpoints": by_endpoints,
        "entries": by_entries,
        "contracts": by_contracts,
        "claims": by_claims,
        "starts": by_starts,
    });
    Ok(ScenarioOutcome {
        figures,
        guarantees_held: true,
    })
}

/// Resource use of one role during a measurement, averaged over its processes.
#[derive(Clone, Copy, Debug)]
struct RoleUse {
    cpu_percent: f64,
    bytes_per_s: f64,
    resident_mb: f64,
}

/// Resource use of every role at one size.
struct Point {
    size: usize,
    leader: RoleUse,
    followers: RoleUse,
    entry: RoleUse,
    agent: RoleUse,
}

fn measure_endpoints(options: &Options, length: Duration) -> Result<Value, BenchError> {
    let mut points = Vec::new();
    for size in ENDPOINTS {
        let cluster = start_cluster(options, 1, 0)?;
        let _fleet = start_fleet(options, &cluster, size)?;
        cluster.wait_for_endpoints(size)?;
        points.push(measure(&cluster, size, length));
    }
    Ok(figures_of(&points))
}

fn measure_entries(options: &Options, length: Duration) -> Result<Value, BenchError> {
    let mut points = Vec::new();
    for size in ENTRIES {
        let cluster = start_cluster(options, size, FIXED_ENDPOINTS)?;
        points.push(measure(&cluster, size, length));
    }
    Ok(figures_of(&points))
}

/// Measures time, processor time and memory of contract changes by the number of contracts.
fn measure_contracts(options: &Options) -> Result<Value, BenchError> {
    let cluster = start_cluster(options, 1, 0)?;
    let mut points = Vec::new();
    let mut applied = 0;
    for size in CONTRACTS {
        let before = usage_of(&cluster.keepers);
        let start = Instant::now();
        while applied < size {
            let customer = format!("team-{applied}");
            let contract =
                layout::contract(&cluster.spec, &customer, 1, "normal", UNBOUNDED_RUNNING);
            cluster.apply_contract(&contract)?;
            applied += 1;
        }
        let after = usage_of(&cluster.keepers);
        let resident = Usage::of(cluster.entries[0].process.id()).resident_bytes;
        points.push(json!({
            "size": size,
            "keeper_resident_mb": rounded(after.resident_bytes as f64 / cluster.keepers.len() as f64 / 1e6),
            "entry_resident_mb": rounded(resident as f64 / 1e6),
            "keepers_cpu_us": rounded(after.cpu_us - before.cpu_us),
            "elapsed_ms": rounded(start.elapsed().as_secs_f64() * 1e3),
        }));
    }
    Ok(json!({ "points": points }))
}

/// Measures what a claim costs the keepers, by the number of claims in flight.
fn measure_claims(options: &Options) -> Result<Value, BenchError> {
    let cluster = start_cluster(options, 0, 0)?;
    let mut points = Vec::new();
    for concurrency in CLAIMS_IN_FLIGHT {
        let leader = cluster.leader().unwrap_or(0);
        let before: Vec<_> = cluster
            .keepers
            .iter()
            .map(|keeper| state_of(&[keeper]))
            .collect();
        let level = claims::measure_level(&cluster, concurrency, CLAIMS_LENGTH)?;
        let after: Vec<_> = cluster
            .keepers
            .iter()
            .map(|keeper| state_of(&[keeper]))
            .collect();
        let claims = level["claims_per_s"].as_f64().unwrap_or(0.0) * CLAIMS_LENGTH.as_secs_f64();
        let cpu_us =
            |index: usize| (after[index].usage.cpu_us - before[index].usage.cpu_us) / claims;
        let follower = (leader + 1) % cluster.keepers.len();
        points.push(json!({
            "in_flight": concurrency,
            "claims_per_s": level["claims_per_s"],
            "p99_ms": level["p99_ms"],
            "leader_cpu_us_per_claim": rounded(cpu_us(leader)),
            "follower_cpu_us_per_claim": rounded(cpu_us(follower)),
            "leader_bytes_per_claim": rounded((after[leader].bytes - before[leader].bytes) / claims),
            "leader_resident_mb": rounded(after[leader].usage.resident_bytes as f64 / 1e6),
        }));
    }
    Ok(json!({ "points": points }))
}

/// Measures what a task start costs one entry, with jobs that a [`Fleet`] of agents answers.
fn measure_starts(options: &Options) -> Result<Value, BenchError> {
    let mut points = Vec::new();
    for endpoints in START_ENDPOINTS {
        let cluster = start_cluster(options, 1, 0)?;
        let _fleet = start_fleet(options, &cluster, endpoints)?;
        cluster.wait_for_endpoints(endpoints)?;
        let contract =
            layout::contract(&cluster.spec, CUSTOMER, 1, "interactive", UNBOUNDED_RUNNING);
        cluster.apply_contract(&contract)?;
        std::thread::sleep(SETTLE);
        let entry: Vec<&Member> = cluster.entries.iter().collect();
        let before = state_of(&entry);
        let start = Instant::now();
        let complete = throughput::send_jobs(&cluster, START_JOBS);
        let elapsed_s = start.elapsed().as_secs_f64();
        let after = state_of(&entry);
        let tasks = (complete * throughput::JOB_TASKS as u64) as f64;
        points.push(json!({
            "endpoints": endpoints,
            "jobs": START_JOBS,
            "jobs_complete": complete,
            "starts_per_s": rounded(tasks / elapsed_s),
            "entry_cpu_us_per_start": rounded((after.usage.cpu_us - before.usage.cpu_us) / tasks),
            "entry_bytes_per_start": rounded((after.bytes - before.bytes) / tasks),
            "entry_resident_mb": rounded(after.usage.resident_bytes as f64 / 1e6),
        }));
    }
    Ok(json!({ "points": points }))
}

/// Starts a cluster without relays, with an agent process for each of `endpoints` stand-ins.
fn start_cluster(
    options: &Options,
    entries: usize,
    endpoints: usize,
) -> Result<Cluster, BenchError> {
    let mut spec = spec_of(options, DEFAULT_POLICY);
    spec.entries = entries;
    spec.endpoints = endpoints;
    spec.latency_us = 0;
    Cluster::start(spec)
}

fn start_fleet(options: &Options, cluster: &Cluster, agents: usize) -> Result<Fleet, BenchError> {
    let keepers: Vec<SocketAddr> = cluster
        .keepers
        .iter()
        .map(|keeper| keeper.addresses.wire)
        .collect();
    Fleet::start(FleetSpec {
        agents,
        service: ServiceName::from(options.deployment.service()),
        domains: options
            .deployment
            .domains()
            .iter()
            .map(|name| FailureDomainName::from(*name))
            .collect(),
        keepers,
    })
}

fn measure(cluster: &Cluster, size: usize, length: Duration) -> Point {
    std::thread::sleep(SETTLE);
    let leader = cluster.leader().unwrap_or(0);
    let (leading, following): (Vec<_>, Vec<_>) = cluster
        .keepers
        .iter()
        .enumerate()
        .partition(|(index, _)| *index == leader);
    let leading: Vec<&Member> = leading.into_iter().map(|(_, member)| member).collect();
    let following: Vec<&Member> = following.into_iter().map(|(_, member)| member).collect();
    let entries: Vec<&Member> = cluster.entries.iter().collect();
    let agents: Vec<&Member> = cluster.agents.iter().collect();
    let groups = [leading, following, entries, agents];
    let before: Vec<_> = groups.iter().map(|group| state_of(group)).collect();
    std::thread::sleep(length);
    let after: Vec<_> = groups.iter().map(|group| state_of(group)).collect();
    let of = |index: usize| role_use(&before[index], &after[index], length);
    Point {
        size,
        leader: of(0),
        followers: of(1),
        entry: of(2),
        agent: of(3),
    }
}

/// Total resource use of several processes since their start.
struct GroupState {
    members: usize,
    usage: Usage,
    bytes: f64,
}

fn state_of(members: &[&Member]) -> GroupState {
    let mut usage = Usage::default();
    let mut counters = Counters::default();
    for member in members {
        let of_member = Usage::of(member.process.id());
        usage.cpu_us += of_member.cpu_us;
        usage.resident_bytes += of_member.resident_bytes;
        counters.add_from(member.addresses.http);
    }
    GroupState {
        members: members.len(),
        usage,
        bytes: counters.sum(BYTES),
    }
}

fn role_use(before: &GroupState, after: &GroupState, length: Duration) -> RoleUse {
    let members = before.members.max(1) as f64;
    let seconds = length.as_secs_f64();
    RoleUse {
        cpu_percent: (after.usage.cpu_us - before.usage.cpu_us) / seconds / members / 1e4,
        bytes_per_s: (after.bytes - before.bytes) / seconds / members,
        resident_mb: after.usage.resident_bytes as f64 / members / 1e6,
    }
}

fn usage_of(members: &[Member]) -> Usage {
    members
        .iter()
        .map(|member| Usage::of(member.process.id()))
        .fold(Usage::default(), |sum, one| Usage {
            cpu_us: sum.cpu_us + one.cpu_us,
            resident_bytes: sum.resident_bytes + one.resident_bytes,
        })
}

fn figures_of(points: &[Point]) -> Value {
    let role = |of: fn(&Point) -> RoleUse| {
        json!({
            "cpu_percent": fitted(points, |point| of(point).cpu_percent),
            "bytes_per_s": fitted(points, |point| of(point).bytes_per_s),
            "resident_mb": fitted(points, |point| of(point).resident_mb),
        })
    };
    json!({
        "leader": role(|point| point.leader),
        "follower": role(|point| point.followers),
        "entry": role(|point| point.entry),
        "agent": role(|point| point.agent),
    })
}

fn fitted(points: &[Point], value: impl Fn(&Point) -> f64) -> Value {
    let measured: Vec<(f64, f64)> = points
        .iter()
        .map(|point| (point.size as f64, value(point)))
        .collect();
    let fit = Fit::through(&measured);
    json!({
        "points": measured.iter().map(|(x, y)| json!([x, rounded(*y)])).collect::<Vec<_>>(),
        "slope": fit.slope,
        "intercept": rounded(fit.intercept),
        "r_squared": rounded(fit.r_squared),
    })
}
