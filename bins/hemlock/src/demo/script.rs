//! The events of the demonstration, and the callers that send the work.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hemlock_contract::prelude::*;
use hemlock_http::prelude::*;
use hemlock_types::prelude::*;

use crate::demo::DemoError;
use crate::demo::caller::{self, Answer};
use crate::demo::cluster::Cluster;
use crate::demo::plan::{CUSTOMERS, Customer, Plan, RESERVE, Resubmit, SERVICE, Submission};
use crate::demo::progress::Progress;
use crate::operator::IN_FORCE_TIMEOUT_MS;

/// Number of concurrent callers.
const CALLERS: usize = 32;
/// Index of the endpoint that is stopped while tasks are running.
const STOPPED_ENDPOINT: usize = 2;
/// Time after the announcement of a stop within which entries stop sending new tasks, in
/// milliseconds.
const STOP_PROPAGATION_MS: u64 = 3_000;
/// Initial limit of running tasks of each contract.
const MAX_RUNNING: u32 = 24;
/// Limit of running tasks of the first contract after its change.
const CHANGED_MAX_RUNNING: u32 = 10;
/// Limit of queued tasks of each contract.
const MAX_QUEUED: u32 = 1_000;
/// Interval at which the number of finished submissions is polled, in milliseconds.
const POLL_MS: u64 = 10;

/// Results of the script.
#[derive(Debug, Default)]
pub(crate) struct ScriptResult {
    /// For each submission, the answer each time it was sent.
    pub(crate) answers: Vec<Vec<Answer>>,
    /// Index of the endpoint that was stopped.
    pub(crate) stopped: Option<usize>,
    /// Starts on the stopped endpoint more than `STOP_PROPAGATION_MS` after the announcement.
    pub(crate) late_starts: u64,
}

impl ScriptResult {
    /// Prints the reasons of incomplete answers, and the submissions that got a different answer
    /// when they were sent again.
    pub(crate) fn print_failures(&self, plan: &Plan, progress: &Progress) {
        let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
        for answers in &self.answers {
            for answer in answers.iter().filter_map(Answer::reason) {
                *reasons.entry(answer).or_default() += 1;
            }
        }
        for (reason, count) in reasons {
            progress.print(&format!("{count} x {reason}"));
        }
        for (submission, answers) in plan.submissions.iter().zip(&self.answers) {
            if answers.windows(2).any(|pair| pair[0] != pair[1]) {
                progress.print(&format!("{}: {answers:?}", submission.name));
            }
        }
    }
}

/// Runs the whole script.
pub(crate) fn run(
    plan: &Plan,
    cluster: &Cluster,
    progress: &Progress,
) -> Result<ScriptResult, DemoError> {
    for customer in CUSTOMERS {
        let contract = contract(customer, Revision(1), MAX_RUNNING);
        apply(cluster, &contract, "create a contract")?;
        progress.print(&format!(
            "contract of {} is in effect: {MAX_RUNNING} concurrent tasks, {SERVICE}/{RESERVE} at most once",
            customer.name
        ));
    }
    progress.print(&format!(
        "sending {} submissions with {} tasks from {CALLERS} callers through both entries",
        plan.submissions.len(),
        plan.task_count()
    ));
    let work = WorkQueue::new(plan, cluster);
    let events = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| scope.spawn(|| work.run_caller()))
            .collect();
        let events = run_events(&work, progress);
        for caller in callers {
            caller.join().expect("caller thread panicked");
        }
        events
    });
    let mut result = events?;
    result.answers = work.into_answers();
    progress.print("every submission has been answered");
    Ok(result)
}

/// Makes the changes while callers send work.
fn run_events(work: &WorkQueue<'_>, progress: &Progress) -> Result<ScriptResult, DemoError> {
    work.wait_for_fraction(1, 4);
    let announced = announce_stop(work, progress)?;
    work.wait_for_fraction(1, 2);
    change_contract(work, progress)?;
    let started = stop_agent_after_drain(work, progress, announced);
    work.wait_for_fraction(1, 1);
    Ok(ScriptResult {
        late_starts: work.started_on(STOPPED_ENDPOINT) - started,
        stopped: Some(STOPPED_ENDPOINT),
        ..ScriptResult::default()
    })
}

/// Announces a planned stop of one endpoint and returns the time.
fn announce_stop(work: &WorkQueue<'_>, progress: &Progress) -> Result<Instant, DemoError> {
    let agent = work.cluster.agent(STOPPED_ENDPOINT);
    let agent = agent.expect("the agent is still running");
    let stop = PlannedStop {
        id: StopId("demo-stop".to_owned()),
        target: StopTarget::Endpoint(agent),
    };
    let body = serde_json::to_value(&stop).expect("a stop has a JSON form");
    let running = work.running_on(STOPPED_ENDPOINT);
    work.cluster
        .operator()
        .call(&Method::Post, "/v1/stops", Some(&body), IN_FORCE_TIMEOUT_MS)
        .map_err(|error| DemoError::Operator("announce a planned stop", Box::new(error)))?;
    progress.print(&format!(
        "announced a planned stop of endpoint {agent}, which is running {running} tasks"
    ));
    Ok(Instant::now())
}

fn change_contract(work: &WorkQueue<'_>, progress: &Progress) -> Result<(), DemoError> {
    let changed = contract(CUSTOMERS[0], Revision(2), CHANGED_MAX_RUNNING);
    let started = Instant::now();
    apply(work.cluster, &changed, "change a contract")?;
    progress.print(&format!(
        "changed the contract of {} to {CHANGED_MAX_RUNNING} concurrent tasks; \
         in effect on every entry after {} ms",
        CUSTOMERS[0].name,
        started.elapsed().as_millis()
    ));
    Ok(())
}

/// Stops the agent of the stopped endpoint once entries no longer send it new tasks. Returns the
/// number of tasks that the endpoint had started by then.
fn stop_agent_after_drain(work: &WorkQueue<'_>, progress: &Progress, announced: Instant) -> u64 {
    let limit = Duration::from_millis(STOP_PROPAGATION_MS);
    thread::sleep(limit.saturating_sub(announced.elapsed()));
    let started = work.started_on(STOPPED_ENDPOINT);
    work.cluster.stop_agent(STOPPED_ENDPOINT);
    progress.print(&format!(
        "the stopped endpoint has finished its tasks and its agent has stopped; it started {started} tasks"
    ));
    started
}

fn apply(cluster: &Cluster, contract: &Contract, what: &'static str) -> Result<(), DemoError> {
    let path = format!("/v1/contracts/{}?wait=in-force", contract.customer);
    let body = serde_json::to_value(contract).expect("a contract has a JSON form");
    cluster
        .operator()
        .call(&Method::Put, &path, Some(&body), IN_FORCE_TIMEOUT_MS)
        .map(drop)
        .map_err(|error| DemoError::Operator(what, Box::new(error)))
}

fn contract(customer: Customer, revision: Revision, max_running: u32) -> Contract {
    let json = serde_json::json!({
        "customer": customer.name,
        "revision": revision,
        "key_sha256": [Digest::of_key(customer.key.as_bytes())],
        "services": [SERVICE],
        "max_running": max_running,
        "max_queued": MAX_QUEUED,
        "urgency": customer.urgency,
        "non_idempotent": [{ "service": SERVICE, "operation": RESERVE }],
    });
    serde_json::from_value(json).expect("the contract is well-formed")
}

/// Queue of the submissions, shared by the callers.
struct WorkQueue<'a> {
    plan: &'a Plan,
    cluster: &'a Cluster,
    client: HttpClient,
    next: AtomicUsize,
    done: AtomicUsize,
    answers: Mutex<Vec<Vec<Answer>>>,
}

impl<'a> WorkQueue<'a> {
    fn new(plan: &'a Plan, cluster: &'a Cluster) -> Self {
        Self {
            plan,
            cluster,
            client: HttpClient::new(HttpClientConfig::default()),
            next: AtomicUsize::new(0),
            done: AtomicUsize::new(0),
            answers: Mutex::new(vec![Vec::new(); plan.submissions.len()]),
        }
    }

    /// Sends submissions until the queue is empty.
    fn run_caller(&self) {
        loop {
            let index = self.next.fetch_add(1, Ordering::Relaxed);
            let Some(submission) = self.plan.submissions.get(index) else {
                return;
            };
            let answers = self.submit(submission);
            self.answers.lock().unwrap_or_else(PoisonError::into_inner)[index] = answers;
            self.done.fetch_add(1, Ordering::Release);
        }
    }

    /// Sends a submission, and sends it again through the other entry if the plan says so.
    fn submit(&self, submission: &Submission) -> Vec<Answer> {
        let own = self.cluster.entry(submission.entry);
        let other = self.cluster.entry(submission.entry + 1);
        let send = |entry| caller::send(&self.client, submission, entry);
        match submission.resubmit {
            Resubmit::Never => vec![send(own)],
            Resubmit::AfterAnswer => vec![send(own), send(other)],
            Resubmit::WhileRunning => thread::scope(|scope| {
                let again = scope.spawn(|| send(other));
                let first = send(own);
                vec![first, again.join().expect("caller thread panicked")]
            }),
        }
    }

    /// Waits until a fraction of the submissions is answered.
    fn wait_for_fraction(&self, numerator: usize, denominator: usize) {
        let target = self.plan.submissions.len() * numerator / denominator;
        while self.done.load(Ordering::Acquire) < target {
            thread::sleep(Duration::from_millis(POLL_MS));
        }
    }

    fn running_on(&self, endpoint: usize) -> u64 {
        self.cluster.totals(endpoint).running
    }

    fn started_on(&self, endpoint: usize) -> u64 {
        self.cluster.totals(endpoint).started
    }

    fn into_answers(self) -> Vec<Vec<Answer>> {
        self.answers
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
