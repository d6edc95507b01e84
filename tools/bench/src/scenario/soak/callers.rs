//! Callers that submit, resubmit through other entries, and cancel.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};

use super::book::{Book, Call, Told};
use crate::cluster::layout::contract_key;
use crate::cluster::running::{Cluster, ONCE_PREFIX};
use crate::scenario::policy_run::CUSTOMER;

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);
/// Deadline that callers ask for, in milliseconds.
const DEADLINE_MS: u64 = 15_000;
/// Most tasks of a job.
const JOB_TASKS_MAX: usize = 12;
/// Service times, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 20..800;
/// Most calls of one submission.
const CALLS_MAX: usize = 5;
/// Pause of a caller between submissions, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1..60;

/// Where callers send.
pub(super) struct Site {
    /// Entries.
    pub(super) entries: Vec<SocketAddr>,
    /// Service.
    pub(super) service: String,
}

impl Site {
    /// The entries and the service of a cluster.
    pub(super) fn of(cluster: &Cluster) -> Self {
        Self {
            entries: cluster.entry_addresses(),
            service: cluster.spec.deployment.service().to_owned(),
        }
    }
}

/// One submission as its caller keeps it, to send it again unchanged.
struct Submission {
    name: String,
    keys: Vec<String>,
    work_ms: Vec<u64>,
    is_job: bool,
}

/// Submits until told to stop.
pub(super) fn run_caller(site: &Site, book: &Book, stop: &AtomicBool, seed: u64, caller: u64) {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut number = 0_u64;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let submission = draw_submission(&mut random, &format!("{caller}-{number}"));
        pursue(site, book, &mut random, &submission);
        std::thread::sleep(Duration::from_millis(random.random_range(PAUSE_MS)));
    }
}

/// Sends one request through each entry in turn until one completes; says whether one did.
pub(super) fn call_once(site: &Site, book: &Book, name: &str) -> bool {
    (0..site.entries.len()).any(|entry| {
        let submission = Submission {
            name: format!("{name}-{entry}"),
            keys: vec![format!("{ONCE_PREFIX}{name}-{entry}")],
            work_ms: vec![20],
            is_job: false,
        };
        matches!(send(site, book, &submission, entry), Told::Complete(_))
    })
}

fn draw_submission(random: &mut Pcg64, name: &str) -> Submission {
    let is_job = random.random_bool(0.4);
    let tasks = if is_job {
        random.random_range(1..=JOB_TASKS_MAX)
    } else {
        1
    };
    Submission {
        name: name.to_owned(),
        keys: (0..tasks)
            .map(|task| format!("{ONCE_PREFIX}{name}-{task}"))
            .collect(),
        work_ms: (0..tasks).map(|_| random.random_range(WORK_MS)).collect(),
        is_job,
    }
}

/// Sends a submission until it is settled, sometimes twice at once, sometimes cancelled.
fn pursue(site: &Site, book: &Book, random: &mut Pcg64, submission: &Submission) {
    let first = random.random_range(0..site.entries.len());
    let doubled = random.random_bool(0.1);
    let cancelled = submission.is_job && random.random_bool(0.1);
    let cancel_after = Duration::from_millis(random.random_range(0..500));
    let mut told = std::thread::scope(|scope| {
        if doubled {
            scope.spawn(|| send(site, book, submission, (first + 1) % site.entries.len()));
        }
        if cancelled {
            scope.spawn(|| {
                std::thread::sleep(cancel_after);
                cancel(site, submission, (first + 2) % site.entries.len());
            });
        }
        send(site, book, submission, first)
    });
    let resubmits_complete = random.random_bool(0.15);
    for attempt in 1..CALLS_MAX {
        match told {
            Told::Complete(_) if attempt > 1 || !resubmits_complete => return,
            Told::Failed if attempt > 1 => return,
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(random.random_range(10..400)));
        told = send(
            site,
            book,
            submission,
            (first + attempt) % site.entries.len(),
        );
    }
}

fn send(site: &Site, book: &Book, submission: &Submission, entry: usize) -> Told {
    let sent = Instant::now();
    let told = match submission.is_job {
        true => send_job(site, submission, entry),
        false => send_request(site, submission, entry),
    };
    let call = Call {
        entry,
        sent,
        answered: Instant::now(),
        told: told.clone(),
    };
    book.record(&submission.name, &submission.keys, call);
    told
}

fn send_request(site: &Site, submission: &Submission, entry: usize) -> Told {
    let at = site.entries[entry];
    let body = task_body(submission, 0);
    let request = attohttpc::post(format!("http://{at}/v1/services/{}/reserve", site.service))
        .header("Idempotency-Key", &submission.name);
    read_told(request, &body)
}

fn send_job(site: &Site, submission: &Submission, entry: usize) -> Told {
    let tasks: Vec<Value> = (0..submission.keys.len())
        .map(|task| json!({ "operation": "reserve", "body": task_body(submission, task) }))
        .collect();
    let job = json!({
        "submission": submission.name,
        "service": site.service,
        "deadline_ms": DEADLINE_MS,
        "tasks": tasks,
    });
    read_told(
        attohttpc::post(format!("http://{}/v1/jobs", site.entries[entry])),
        &job,
    )
}

fn task_body(submission: &Submission, task: usize) -> Value {
    json!({ "work_ms": submission.work_ms[task], "key": submission.keys[task] })
}

fn cancel(site: &Site, submission: &Submission, entry: usize) {
    let url = format!("http://{}/v1/jobs/{}", site.entries[entry], submission.name);
    // Whatever a cancellation is answered, the submission's own calls tell how it ended.
    let _ = attohttpc::delete(url)
        .connect_timeout(CALL_TIMEOUT)
        .read_timeout(CALL_TIMEOUT)
        .header(
            "Authorization",
            format!("Bearer {}", contract_key(CUSTOMER)),
        )
        .send();
}

fn read_told(request: attohttpc::RequestBuilder, body: &Value) -> Told {
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
        return Told::Nothing;
    };
    let outcome = response
        .headers()
        .get("hemlock-outcome")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    match (outcome.as_str(), response.text()) {
        ("complete", Ok(body)) => Told::Complete(body),
        ("failed", Ok(_)) => Told::Failed,
        ("not-run", Ok(_)) => Told::NotRun,
        _ => Told::Nothing,
    }
}
