//! Sends a trace with many requests in flight, each on a thread of a pool that grows on demand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use serde_json::json;

use crate::cluster::running::ONCE_PREFIX;
use crate::load::trace::TracedTask;

/// Limit on the caller threads, and so on the requests in flight.
const MAX_CALLERS: usize = 4_000;
/// Stack size of a caller thread.
const CALLER_STACK_BYTES: usize = 256 * 1024;
/// Timeout of reading an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(90);

/// Destination and form of the requests of a trace.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// HTTP addresses of the entries, used in turn.
    pub(crate) entries: Vec<SocketAddr>,
    /// Name of the service.
    pub(crate) service: String,
    /// Contract key.
    pub(crate) key: String,
    /// One-way latency between caller and entry, in microseconds.
    pub(crate) client_latency_us: u64,
    /// Deadline of each request, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// Prefix of idempotency keys; `None` sends idempotent requests without a key.
    pub(crate) key_prefix: Option<String>,
    /// Name of the operation.
    pub(crate) operation: String,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestResult {
    /// Index in the trace.
    pub(crate) index: usize,
    /// Time from sending to the whole answer, in microseconds.
    pub(crate) response_us: u64,
    /// Outcome.
    pub(crate) outcome: RequestOutcome,
}

/// Outcome of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// Complete, with the request's own key in the body.
    Complete,
    /// Complete, but the body lacks the request's key.
    WrongBody,
    /// The request failed: it ran or may have run.
    Failed,
    /// The request did not run.
    NotRun,
    /// No answer arrived, or only a part of one.
    NoAnswer,
}

/// Sends every request of the trace at its arrival time and returns the results in trace order.
pub(crate) fn send_trace(trace: &[TracedTask], target: &Target) -> Vec<RequestResult> {
    let (work_sender, work_receiver) = unbounded();
    let (result_sender, result_receiver) = unbounded();
    let mut pool = CallerPool::new(target.clone(), work_receiver, result_sender);
    let start = Instant::now();
    for (index, task) in trace.iter().enumerate() {
        sleep_until(start + Duration::from_micros(task.arrival_us));
        pool.ensure_idle_caller();
        let _ = work_sender.send((index, *task, Instant::now()));
    }
    drop(work_sender);
    pool.join();
    let mut results: Vec<RequestResult> = result_receiver.try_iter().collect();
    results.sort_by_key(|result| result.index);
    results
}

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

type Work = (usize, TracedTask, Instant);

struct CallerPool {
    target: Arc<Target>,
    work: Receiver<Work>,
    results: Sender<RequestResult>,
    idle: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl CallerPool {
    fn new(target: Target, work: Receiver<Work>, results: Sender<RequestResult>) -> Self {
        let idle = Arc::new(AtomicUsize::new(0));
        Self {
            target: Arc::new(target),
            work,
            results,
            idle,
            threads: Vec::new(),
        }
    }

    /// Starts a caller thread unless more threads are idle than requests are queued.
    fn ensure_idle_caller(&mut self) {
        let enough = self.idle.load(Ordering::SeqCst) > self.work.len();
        if enough || self.threads.len() >= MAX_CALLERS {
            return;
        }
        let target = Arc::clone(&self.target);
        let work = self.work.clone();
        let results = self.results.clone();
        let idle = Arc::clone(&self.idle);
        let spawned = std::thread::Builder::new()
            .stack_size(CALLER_STACK_BYTES)
            .spawn(move || run_caller(&target, &work, &results, &idle));
        if let Ok(thread) = spawned {
            self.idle.fetch_add(1, Ordering::SeqCst);
            self.threads.push(thread);
        }
    }

    fn join(self) {
        drop(self.work);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn run_caller(
    target: &Target,
    work: &Receiver<Work>,
    results: &Sender<RequestResult>,
    idle: &AtomicUsize,
) {
    while let Ok((index, task, sent_at)) = work.recv() {
        idle.fetch_sub(1, Ordering::SeqCst);
        let latency = Duration::from_micros(target.client_latency_us);
        sleep_until(sent_at + latency);
        let outcome = call(target, index, task);
        std::thread::sleep(latency);
        let response_us = sent_at.elapsed().as_micros() as u64;
        let _ = results.send(RequestResult {
            index,
            response_us,
            outcome,
        });
        idle.fetch_add(1, Ordering::SeqCst);
    }
}

fn call(target: &Target, index: usize, task: TracedTask) -> RequestOutcome {
    let entry = target.entries[index % target.entries.len()];
    let url = format!(
        "http://{entry}/v1/services/{}/{}",
        target.service, target.operation
    );
    let marker = match &target.key_prefix {
        Some(prefix) => format!("{ONCE_PREFIX}{prefix}-{index}"),
        None => format!("request-{index}"),
    };
    let body = json!({ "work_ms": task.work_ms, "key": marker });
    let mut request = attohttpc::post(url)
        .read_timeout(CALL_TIMEOUT)
        .header("Authorization", format!("Bearer {}", target.key))
        .header("Content-Type", "application/json")
        .header("Hemlock-Deadline-Ms", target.deadline_ms.to_string());
    if target.key_prefix.is_some() {
        request = request.header("Idempotency-Key", &marker);
    }
    match request.text(body.to_string()).send() {
        Ok(response) => read_outcome(response, &marker),
        Err(_) => RequestOutcome::NoAnswer,
    }
}

fn read_outcome(response: attohttpc::Response, marker: &str) -> RequestOutcome {
    let outcome = response
        .headers()
        .get("hemlock-outcome")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let Ok(body) = response.text() else {
        return RequestOutcome::NoAnswer;
    };
    match outcome.as_str() {
        "complete" if body.contains(&format!("\"{marker}\"")) => RequestOutcome::Complete,
        "complete" => RequestOutcome::WrongBody,
        "failed" => RequestOutcome::Failed,
        "not-run" => RequestOutcome::NotRun,
        _ => RequestOutcome::NoAnswer,
    }
}
