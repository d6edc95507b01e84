//! Callers that send submissions, send them again through other entries, and cancel some.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};

use super::call_log::{Call, CallAnswer, CallLog};
use crate::cluster::layout::contract_key;
use crate::cluster::running::{Cluster, ONCE_PREFIX};
use crate::scenario::policy_run::CUSTOMER;

/// Timeout of connecting and of reading an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);
/// Deadline that callers set, in milliseconds.
const DEADLINE_MS: u64 = 15_000;
/// Limit on the tasks of one job.
const MAX_JOB_TASKS: usize = 12;
/// Range of a task's service time, in milliseconds.
const SERVICE_TIME_MS: std::ops::Range<u64> = 20..800;
/// Limit on the calls that send one submission; a duplicate sent in parallel is not counted.
const MAX_CALLS: usize = 5;
/// Range of a caller's pause between submissions, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1..60;

/// Entries and service that callers send to.
pub(super) struct CallTarget {
    /// HTTP addresses of the entries.
    pub(super) entries: Vec<SocketAddr>,
    /// Name of the service.
    pub(super) service: String,
}

impl CallTarget {
    /// Returns the entries and the service of a cluster.
    pub(super) fn of(cluster: &Cluster) -> Self {
        Self {
            entries: cluster.entry_addresses(),
            service: cluster.spec.deployment.service().to_owned(),
        }
    }
}

/// Content of one submission, which its caller stores to send it again unchanged.
struct Submission {
    name: String,
    keys: Vec<String>,
    work_ms: Vec<u64>,
    is_job: bool,
}

/// Sends one submission after another until `stop` is set.
pub(super) fn run_caller(
    target: &CallTarget,
    call_log: &CallLog,
    stop: &AtomicBool,
    seed: u64,
    caller: u64,
) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut number = 0_u64;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let submission = random_submission(&mut random, &format!("{caller}-{number}"));
        submit_until_settled(target, call_log, &mut random, &submission);
        std::thread::sleep(Duration::from_millis(random.random_range(PAUSE_MS)));
    }
}

/// Sends a request to each entry in turn until one is complete; returns false if none is.
pub(super) fn any_entry_serves(target: &CallTarget, call_log: &CallLog, name: &str) -> bool {
    (0..target.entries.len()).any(|entry| {
        let submission = Submission {
            name: format!("{name}-{entry}"),
            keys: vec![format!("{ONCE_PREFIX}{name}-{entry}")],
            work_ms: vec![20],
            is_job: false,
        };
        matches!(
            send(target, call_log, &submission, entry),
            CallAnswer::Complete(_)
        )
    })
}

fn random_submission(random: &mut Pcg64, name: &str) -> Submission {
    let is_job = random.random_bool(0.4);
    let tasks = if is_job {
        random.random_range(1..=MAX_JOB_TASKS)
    } else {
        1
    };
    Submission {
        name: name.to_owned(),
        keys: (0..tasks)
            .map(|task| format!("{ONCE_PREFIX}{name}-{task}"))
            .collect(),
        work_ms: (0..tasks)
            .map(|_| random.random_range(SERVICE_TIME_MS))
            .collect(),
        is_job,
    }
}

/// Sends a submission until it is settled or its calls are used up.
///
/// Some submissions are sent to two entries in parallel, some jobs are cancelled, and some
/// complete submissions are sent once more, whose answer must be the same.
fn submit_until_settled(
    target: &CallTarget,
    call_log: &CallLog,
    random: &mut Pcg64,
    submission: &Submission,
) {
    let first = random.random_range(0..target.entries.len());
    let sent_in_parallel = random.random_bool(0.1);
    let cancelled = submission.is_job && random.random_bool(0.1);
    let cancel_after = Duration::from_millis(random.random_range(0..500));
    let mut answer = std::thread::scope(|scope| {
        if sent_in_parallel {
            scope.spawn(|| {
                send(
                    target,
                    call_log,
                    submission,
                    (first + 1) % target.entries.len(),
                )
            });
        }
        if cancelled {
            scope.spawn(|| {
                std::thread::sleep(cancel_after);
                cancel(target, submission, (first + 2) % target.entries.len());
            });
        }
        send(target, call_log, submission, first)
    });
    let resends_complete = random.random_bool(0.15);
    for attempt in 1..MAX_CALLS {
        match answer {
            CallAnswer::Complete(_) if attempt > 1 || !resends_complete => return,
            CallAnswer::Failed if attempt > 1 => return,
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(random.random_range(10..400)));
        answer = send(
            target,
            call_log,
            submission,
            (first + attempt) % target.entries.len(),
        );
    }
}

fn send(
    target: &CallTarget,
    call_log: &CallLog,
    submission: &Submission,
    entry: usize,
) -> CallAnswer {
    let sent = Instant::now();
    let answer = match submission.is_job {
        true => send_job(target, submission, entry),
        false => send_request(target, submission, entry),
    };
    let call = Call {
        entry,
        sent,
        answered: Instant::now(),
        answer: answer.clone(),
    };
    call_log.record(&submission.name, &submission.keys, call);
    answer
}

fn send_request(target: &CallTarget, submission: &Submission, entry: usize) -> CallAnswer {
    let at = target.entries[entry];
    let body = task_body(submission, 0);
    let request = attohttpc::post(format!(
        "http://{at}/v1/services/{}/reserve",
        target.service
    ))
    .header("Idempotency-Key", &submission.name);
    read_answer(request, &body)
}

fn send_job(target: &CallTarget, submission: &Submission, entry: usize) -> CallAnswer {
    let tasks: Vec<Value> = (0..submission.keys.len())
        .map(|task| json!({ "operation": "reserve", "body": task_body(submission, task) }))
        .collect();
    let job = json!({
        "submission": submission.name,
        "service": target.service,
        "deadline_ms": DEADLINE_MS,
        "tasks": tasks,
    });
    read_answer(
        attohttpc::post(format!("http://{}/v1/jobs", target.entries[entry])),
        &job,
    )
}

fn task_body(submission: &Submission, task: usize) -> Value {
    json!({ "work_ms": submission.work_ms[task], "key": submission.keys[task] })
}

fn cancel(target: &CallTarget, submission: &Submission, entry: usize) {
    let url = format!(
        "http://{}/v1/jobs/{}",
        target.entries[entry], submission.name
    );
    // The answer is ignored: the submission's own calls show how it ended.
    let _ = attohttpc::delete(url)
        .connect_timeout(CALL_TIMEOUT)
        .read_timeout(CALL_TIMEOUT)
        .header(
            "Authorization",
            format!("Bearer {}", contract_key(CUSTOMER)),
        )
        .send();
}

fn read_answer(request: attohttpc::RequestBuilder, body: &Value) -> CallAnswer {
    let response = request
        .connect_timeout(CALL_TIMEOUT)
        .read_timeout(CALL_TIMEOUT)
        .header(
            "Authorization",
            format!("Bearer {}", contract_key(CUSTOMER)),
        )
        .header("Content-Type", "application/json")
        .header("Hemlock-Deadline-Ms", DEADLINE_MS.to_string())
        .text(body.to_string())
        .send();
    let Ok(response) = response else {
        return CallAnswer::NoAnswer;
    };
    let outcome = response
        .headers()
        .get("hemlock-outcome")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    match (outcome.as_str(), response.text()) {
        ("complete", Ok(body)) => CallAnswer::Complete(body),
        ("failed", Ok(_)) => CallAnswer::Failed,
        ("not-run", Ok(_)) => CallAnswer::NotRun,
        _ => CallAnswer::NoAnswer,
    }
}
