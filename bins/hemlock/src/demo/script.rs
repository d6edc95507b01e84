//! What happens in the demonstration, and when.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hemlock_contract::prelude::*;
use hemlock_http::prelude::*;
use hemlock_types::prelude::*;

use crate::demo::DemoError;
use crate::demo::caller::{self, Seen};
use crate::demo::cluster::Cluster;
use crate::demo::plan::{CUSTOMERS, Customer, Plan, RESERVE, Resubmit, SERVICE, Submission};
use crate::demo::say::Narrator;
use crate::operator::IN_FORCE_TIMEOUT_MS;

/// Callers that wait for answers at once.
const CALLERS: usize = 32;
/// Endpoint that is stopped while work runs.
const STOPPED: usize = 2;
/// Time after which a stopping endpoint gets no new work, in milliseconds.
const NO_NEW_WORK_AFTER_MS: u64 = 3_000;
/// Running limit of each contract at first.
const MAX_RUNNING: u32 = 24;
/// Running limit of the first contract after its change.
const CHANGED_MAX_RUNNING: u32 = 10;
/// Queue limit of each contract.
const MAX_QUEUED: u32 = 1_000;
/// Pause between two looks at the progress, in milliseconds.
const POLL_MS: u64 = 10;

/// What the callers saw, and what else the script noted.
#[derive(Debug, Default)]
pub(crate) struct Played {
    /// For each submission, the answer to each sending.
    pub(crate) answers: Vec<Vec<Seen>>,
    /// The endpoint that was stopped.
    pub(crate) stopped: Option<usize>,
    /// Its starts later than a few seconds after the stop.
    pub(crate) late_starts: u64,
}

impl Played {
    /// Says why submissions have no whole answer, and which were answered otherwise when sent
    /// again.
    pub(crate) fn say_reasons(&self, plan: &Plan, narrator: &Narrator) {
        let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
        for answers in &self.answers {
            for answer in answers.iter().filter_map(Seen::reason) {
                *reasons.entry(answer).or_default() += 1;
            }
        }
        for (reason, count) in reasons {
            narrator.say(&format!("{count} x {reason}"));
        }
        for (submission, answers) in plan.submissions.iter().zip(&self.answers) {
            if answers.windows(2).any(|pair| pair[0] != pair[1]) {
                narrator.say(&format!("{}: {answers:?}", submission.name));
            }
        }
    }
}

/// Plays the whole script.
pub(crate) fn play(
    plan: &Plan,
    cluster: &Cluster,
    narrator: &Narrator,
) -> Result<Played, DemoError> {
    for customer in CUSTOMERS {
        let contract = contract(customer, Revision(1), MAX_RUNNING);
        apply(cluster, &contract, "create a contract")?;
        narrator.say(&format!(
            "contract of {} is in force: {MAX_RUNNING} tasks at once, {SERVICE}/{RESERVE} at most once",
            customer.name
        ));
    }
    narrator.say(&format!(
        "sending {} submissions with {} tasks from {CALLERS} callers through both entries",
        plan.submissions.len(),
        plan.task_count()
    ));
    let work = Work::new(plan, cluster);
    let events = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| scope.spawn(|| work.call_until_done()))
            .collect();
        let events = run_events(&work, narrator);
        for caller in callers {
            caller.join().expect("a caller does not panic");
        }
        events
    });
    let mut played = events?;
    played.answers = work.into_answers();
    narrator.say("every caller has its answer");
    Ok(played)
}

/// The changes made while work runs.
fn run_events(work: &Work<'_>, narrator: &Narrator) -> Result<Played, DemoError> {
    work.wait_for_part(1, 4);
    let announced = announce_stop(work, narrator)?;
    work.wait_for_part(1, 2);
    change_contract(work, narrator)?;
    let started = end_stopped(work, narrator, announced);
    work.wait_for_part(1, 1);
    Ok(Played {
        late_starts: work.started_on(STOPPED) - started,
        stopped: Some(STOPPED),
        ..Played::default()
    })
}

/// Announces a planned stop of one endpoint; returns when.
fn announce_stop(work: &Work<'_>, narrator: &Narrator) -> Result<Instant, DemoError> {
    let agent = work.cluster.agent(STOPPED);
    let agent = agent.expect("the agent runs until its stop");
    let stop = PlannedStop {
        id: StopId("demo-stop".to_owned()),
        target: StopTarget::Endpoint(agent),
    };
    let body = serde_json::to_value(&stop).expect("a stop has a JSON form");
    let running = work.running_on(STOPPED);
    work.cluster
        .operator()
        .call(&Method::Post, "/v1/stops", Some(&body), IN_FORCE_TIMEOUT_MS)
        .map_err(|error| DemoError::Operator("announce a planned stop", Box::new(error)))?;
    narrator.say(&format!(
        "planned stop of endpoint {agent} announced while it runs {running} tasks"
    ));
    Ok(Instant::now())
}

fn change_contract(work: &Work<'_>, narrator: &Narrator) -> Result<(), DemoError> {
    let changed = contract(CUSTOMERS[0], Revision(2), CHANGED_MAX_RUNNING);
    let asked = Instant::now();
    apply(work.cluster, &changed, "change a contract")?;
    narrator.say(&format!(
        "contract of {} changed to {CHANGED_MAX_RUNNING} tasks at once while work runs; \
         in force on every entry after {} ms",
        CUSTOMERS[0].name,
        asked.elapsed().as_millis()
    ));
    Ok(())
}

/// Ends the stopped endpoint's agent once it may get no new work any more; returns how many
/// tasks the endpoint had started by then.
fn end_stopped(work: &Work<'_>, narrator: &Narrator, announced: Instant) -> u64 {
    let limit = Duration::from_millis(NO_NEW_WORK_AFTER_MS);
    thread::sleep(limit.saturating_sub(announced.elapsed()));
    let started = work.started_on(STOPPED);
    work.cluster.end_agent(STOPPED);
    narrator.say(&format!(
        "that endpoint has finished its work and its agent has ended; it started {started} tasks"
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

/// The submissions that callers share.
struct Work<'a> {
    plan: &'a Plan,
    cluster: &'a Cluster,
    client: HttpClient,
    next: AtomicUsize,
    done: AtomicUsize,
    answers: Mutex<Vec<Vec<Seen>>>,
}

impl<'a> Work<'a> {
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

    fn call_until_done(&self) {
        loop {
            let index = self.next.fetch_add(1, Ordering::Relaxed);
            let Some(submission) = self.plan.submissions.get(index) else {
                return;
            };
            let answers = self.call(submission);
            self.answers.lock().unwrap_or_else(PoisonError::into_inner)[index] = answers;
            self.done.fetch_add(1, Ordering::Release);
        }
    }

    /// Sends a submission, and again through the other entry when it is to be sent again.
    fn call(&self, submission: &Submission) -> Vec<Seen> {
        let own = self.cluster.entry(submission.entry);
        let other = self.cluster.entry(submission.entry + 1);
        let send = |entry| caller::send(&self.client, submission, entry);
        match submission.resubmit {
            Resubmit::No => vec![send(own)],
            Resubmit::After => vec![send(own), send(other)],
            Resubmit::Meanwhile => thread::scope(|scope| {
                let again = scope.spawn(|| send(other));
                let first = send(own);
                vec![first, again.join().expect("a caller does not panic")]
            }),
        }
    }

    /// Waits until a part of the submissions is answered.
    fn wait_for_part(&self, numerator: usize, denominator: usize) {
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

    fn into_answers(self) -> Vec<Vec<Seen>> {
        self.answers
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
