//! Callers: many requests in flight, each on a thread of a pool that grows on demand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use serde_json::json;

use crate::cluster::running::ONCE_PREFIX;
use crate::load::trace::TracedTask;

/// Most requests in flight at once.
const MAX_CALLERS: usize = 4_000;
/// Stack of a caller's thread.
const CALLER_STACK_BYTES: usize = 256 * 1024;
/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(90);

/// Where and how a trace is sent.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Entries, used in turn.
    pub(crate) entries: Vec<SocketAddr>,
    /// Service to call.
    pub(crate) service: String,
    /// Contract key.
    pub(crate) key: String,
    /// One-way latency between caller and entry, in microseconds.
    pub(crate) client_latency_us: u64,
    /// Deadline of each request, in milliseconds.
    pub(crate) deadline_ms: u64,
    /// Prefix of idempotency keys; `None` sends idempotent requests without a key.
    pub(crate) key_prefix: Option<String>,
    /// The operation to call.
    pub(crate) operation: String,
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Position in the trace.
    pub(crate) index: usize,
    /// Time from sending to the whole answer, in microseconds.
    pub(crate) response_us: u64,
    /// What the answer said.
    pub(crate) verdict: Verdict,
}

/// What an answer said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Complete, and the body is the one that belongs to the request.
    Complete,
    /// Complete, but the body is not the one that belongs to the request.
    WrongBody,
    /// Failed: ran or may have run.
    Failed,
    /// Not run.
    NotRun,
    /// No whole answer came.
    NoAnswer,
}

/// Sends the whole trace at its own pace and returns what the callers saw, in trace order.
pub(crate) fn send_trace(trace: &[TracedTask], target: &Target) -> Vec<Seen> {
    let (work_sender, work_receiver) = unbounded();
    let (seen_sender, seen_receiver) = unbounded();
    let mut pool = CallerPool::new(target.clone(), work_receiver, seen_sender);
    let start = Instant::now();
    for (index, task) in trace.iter().enumerate() {
        sleep_until(start + Duration::from_micros(task.arrival_us));
        pool.ensure_idle_caller();
        let _ = work_sender.send((index, *task, Instant::now()));
    }
    drop(work_sender);
    pool.join();
    let mut seen: Vec<Seen> = seen_receiver.try_iter().collect();
    seen.sort_by_key(|seen| seen.index);
    seen
}

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

type Work = (usize, TracedTask, Instant);

struct CallerPool {
    target: Arc<Target>,
    work: Receiver<Work>,
    seen: Sender<Seen>,
    idle: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl CallerPool {
    fn new(target: Target, work: Receiver<Work>, seen: Sender<Seen>) -> Self {
        let idle = Arc::new(AtomicUsize::new(0));
        Self {
            target: Arc::new(target),
            work,
            seen,
            idle,
            threads: Vec::new(),
        }
    }

    /// Starts a caller unless more wait than there is work.
    fn ensure_idle_caller(&mut self) {
        let enough = self.idle.load(Ordering::SeqCst) > self.work.len();
        if enough || self.threads.len() >= MAX_CALLERS {
            return;
        }
        let target = Arc::clone(&self.target);
        let work = self.work.clone();
        let seen = self.seen.clone();
        let idle = Arc::clone(&self.idle);
        let spawned = std::thread::Builder::new()
            .stack_size(CALLER_STACK_BYTES)
            .spawn(move || run_caller(&target, &work, &seen, &idle));
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

fn run_caller(target: &Target, work: &Receiver<Work>, seen: &Sender<Seen>, idle: &AtomicUsize) {
    while let Ok((index, task, sent_at)) = work.recv() {
        idle.fetch_sub(1, Ordering::SeqCst);
        let latency = Duration::from_micros(target.client_latency_us);
        sleep_until(sent_at + latency);
        let verdict = call(target, index, task);
        std::thread::sleep(latency);
        let response_us = sent_at.elapsed().as_micros() as u64;
        let _ = seen.send(Seen {
            index,
            response_us,
            verdict,
        });
        idle.fetch_add(1, Ordering::SeqCst);
    }
}

fn call(target: &Target, index: usize, task: TracedTask) -> Verdict {
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
        Ok(response) => read_verdict(response, &marker),
        Err(_) => Verdict::NoAnswer,
    }
}

fn read_verdict(response: attohttpc::Response, marker: &str) -> Verdict {
    let outcome = response
        .headers()
        .get("hemlock-outcome")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let Ok(body) = response.text() else {
        return Verdict::NoAnswer;
    };
    match outcome.as_str() {
        "complete" if body.contains(&format!("\"{marker}\"")) => Verdict::Complete,
        "complete" => Verdict::WrongBody,
        "failed" => Verdict::Failed,
        "not-run" => Verdict::NotRun,
        _ => Verdict::NoAnswer,
    }
}
