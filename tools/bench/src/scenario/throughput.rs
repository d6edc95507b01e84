//! The `throughput` scenario: task starts per second of one entry, with jobs of 240 tasks
//! without service time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::cluster::layout::{contract, contract_key};
use crate::cluster::running::{Cluster, Member};
use crate::cluster::usage::Usage;
use crate::error::BenchError;
use crate::load::summary::rounded;
use crate::options::Options;
use crate::scenario::ScenarioOutcome;
use crate::scenario::policy_run::{CUSTOMER, DEFAULT_POLICY, UNBOUNDED_RUNNING, spec_of};

/// Tasks of one job; 240 is the limit on the tasks of a job.
pub(crate) const JOB_TASKS: usize = 240;
/// Number of jobs in flight.
const JOBS_IN_FLIGHT: usize = 16;
/// Default number of jobs.
const JOBS: u64 = 500;
/// Timeout of reading a job's answer, and deadline of the job.
const JOB_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs the scenario.
///
/// # Errors
///
/// [`BenchError`] when the cluster can't run.
pub(crate) fn run(options: &Options) -> Result<ScenarioOutcome, BenchError> {
    let mut spec = spec_of(options, DEFAULT_POLICY);
    spec.entries = 1;
    spec.latency_us = 0;
    let cluster = Cluster::start(spec)?;
    cluster.apply_contract(&contract(
        &cluster.spec,
        CUSTOMER,
        1,
        "interactive",
        UNBOUNDED_RUNNING,
    ))?;
    let jobs = options.jobs.unwrap_or(JOBS);
    let before = cpu_of(&cluster);
    let start = Instant::now();
    let complete = send_jobs(&cluster, jobs);
    let elapsed_s = start.elapsed().as_secs_f64();
    let after = cpu_of(&cluster);
    let tasks = complete * JOB_TASKS as u64;
    let per_task = |before: f64, after: f64| rounded((after - before) / tasks.max(1) as f64);
    let duplicate_starts = cluster.duplicate_starts();
    let figures = json!({
        "starts_per_s": rounded(tasks as f64 / elapsed_s),
        "entry_cpu_us_per_task": per_task(before.entry_us, after.entry_us),
        "agent_cpu_us_per_task": per_task(before.agents_us, after.agents_us),
        "keeper_cpu_us_per_task": per_task(before.keepers_us, after.keepers_us),
        "endpoints": options.endpoints,
        "jobs": jobs,
        "jobs_complete": complete,
        "duplicate_starts": duplicate_starts,
        "seconds": rounded(elapsed_s),
        "seed": options.seed,
    });
    Ok(ScenarioOutcome {
        figures,
        guarantees_held: duplicate_starts == 0,
    })
}

/// Processor time of each role, in microseconds.
struct RoleCpu {
    entry_us: f64,
    agents_us: f64,
    keepers_us: f64,
}

fn cpu_of(cluster: &Cluster) -> RoleCpu {
    let sum = |members: &[Member]| -> f64 {
        members
            .iter()
            .map(|member| Usage::of(member.process.id()).cpu_us)
            .sum()
    };
    RoleCpu {
        entry_us: sum(&cluster.entries),
        agents_us: sum(&cluster.agents),
        keepers_us: sum(&cluster.keepers),
    }
}

/// Sends the jobs, [`JOBS_IN_FLIGHT`] at a time, and returns how many were complete.
pub(crate) fn send_jobs(cluster: &Cluster, jobs: u64) -> u64 {
    let next = AtomicU64::new(0);
    let complete = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..JOBS_IN_FLIGHT {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    match number < jobs {
                        true if send_job(cluster, number) => {
                            complete.fetch_add(1, Ordering::SeqCst)
                        }
                        true => 0,
                        false => return,
                    };
                }
            });
        }
    });
    complete.load(Ordering::SeqCst)
}

fn send_job(cluster: &Cluster, number: u64) -> bool {
    let tasks: Vec<Value> = (0..JOB_TASKS)
        .map(|_| json!({ "operation": "search", "body": { "work_ms": 0 } }))
        .collect();
    let job = json!({
        "submission": format!("throughput-{number}"),
        "service": cluster.spec.deployment.service(),
        "deadline_ms": JOB_TIMEOUT.as_millis() as u64,
        "tasks": tasks,
    });
    let response = attohttpc::post(format!("http://{}/v1/jobs", cluster.entry_addresses()[0]))
        .read_timeout(JOB_TIMEOUT)
        .header(
            "Authorization",
            format!("Bearer {}", contract_key(CUSTOMER)),
        )
        .header("Content-Type", "application/json")
        .text(job.to_string())
        .send();
    response.is_ok_and(|response| {
        response
            .headers()
            .get("hemlock-outcome")
            .is_some_and(|outcome| outcome == "complete")
    })
}
