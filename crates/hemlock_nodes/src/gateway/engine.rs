//! The gateway's best-effort jobs: a job store that is not replicated, with a dispatcher.

mod interrupted;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};
use tokio::sync::oneshot;
use tracing::{info, warn};

use self::interrupted::reject_outdated;
use super::interruptions::InterruptionMonitor;
use crate::confinement::log_confinement_changes;
use crate::message::{CallerAnswer, Rejection, Report, RunnerUpdate};
use crate::run_log::{log_claimed_ends, log_expired_agents};

/// Retention of a job's result for repeated requests, in milliseconds.
const RETENTION_MS: u64 = 10_000;
/// Longest time for which a runner may continue a silent gateway's runs, in milliseconds: the
/// runner's own gateway timeout, and the duration of stops that have no effect.
const RUNNER_AUTHORITY_MS: u64 = 1_200;
/// Retry delay for the caller of a job that couldn't finish in time, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Longest wait for runners to confirm that no task of a job has run: a round trip, and less than
/// the margin that is left for the answer to reach the caller.
const WITHDRAWAL_TIMEOUT: DurationMs = DurationMs::new(25);

/// Returns the answer for a withdrawn job.
fn answer_without_result(withdrawal: Withdrawal) -> CallerAnswer {
    match withdrawal {
        Withdrawal::NotRun => CallerAnswer::Rejected {
            reason: Rejection::Overload,
            retry_after_ms: RETRY_AFTER_MS,
        },
        Withdrawal::MayHaveRun | Withdrawal::Pending => CallerAnswer::Undecided,
    }
}

/// Settings of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSettings {
    /// Longest lease of a run, in milliseconds.
    pub lease_ms: u64,
    /// Ratio of a task's duration on another rack than the one that it prefers to that on the
    /// preferred one; 1 if unknown.
    pub remote_factor: f64,
    /// Shortest time after which a caller whose connection broke submits its job again, in
    /// milliseconds.
    pub resubmit_ms: u64,
}

/// A job that a caller submits.
pub struct Submission<'a> {
    /// The job's id.
    pub id: JobId,
    /// The queue that it is submitted to.
    pub queue: &'a Queue,
    /// What to run.
    pub spec: JobSpec,
    /// Time by which the job must be answered.
    pub answer_deadline: Instant,
    /// Earliest time at which the caller may have sent the request.
    pub sent_after: Instant,
    /// Address of the caller, if it is known.
    pub peer: Option<SocketAddr>,
}

/// The caller that waits for a job.
struct Waiter {
    answer: oneshot::Sender<CallerAnswer>,
    answer_deadline: Instant,
    submitted_at: Instant,
    /// Whether the caller may have left unnoticed, in an interruption.
    is_unconfirmed: bool,
}

/// Best-effort jobs with their dispatcher and waiting callers.
pub struct Engine {
    store: JobStore,
    dispatcher: Dispatcher,
    waiters: HashMap<JobId, Waiter>,
    answer_deadlines: BTreeSet<(Instant, JobId)>,
    interruptions: InterruptionMonitor,
    /// Time after the last sign of a caller from which it may have submitted its job elsewhere.
    resubmit_after: DurationMs,
}

impl Engine {
    /// Creates an engine without jobs or runners.
    pub fn new(now: Instant, engine_settings: EngineSettings) -> Self {
        let store = JobStore::new(RETENTION_MS);
        let settings = DispatchSettings {
            capacity: CapacitySource::Reported,
            // A best-effort job may run again regardless of how its earlier runs ended.
            records_ends: false,
            authority_ms: RUNNER_AUTHORITY_MS,
            lease_ms: engine_settings.lease_ms,
            remote_factor: engine_settings.remote_factor,
            ..DispatchSettings::default()
        };
        let dispatcher = Dispatcher::new(now, settings, &store);
        Self {
            store,
            dispatcher,
            waiters: HashMap::new(),
            answer_deadlines: BTreeSet::new(),
            interruptions: InterruptionMonitor::new(now),
            resubmit_after: DurationMs::new(engine_settings.resubmit_ms),
        }
    }

    /// Applies the queues of a new configuration.
    pub fn configure(&mut self, configuration: &Configuration) {
        self.dispatcher.configure(configuration);
    }

    /// Takes over the evacuated failure domains, in which nothing is placed from now on, if their
    /// version is higher than that of the known ones. Returns whether it is.
    pub fn set_evacuations(&mut self, evacuations: &Evacuations) -> bool {
        self.dispatcher.set_evacuations(evacuations)
    }

    /// Version of the known evacuations.
    pub fn evacuations_version(&self) -> u64 {
        self.dispatcher.evacuations().version()
    }

    /// Number of jobs whose callers wait for an answer.
    pub fn open_jobs(&self) -> usize {
        self.waiters.len()
    }

    /// Number of open jobs of a queue of which no task has been started.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        self.dispatcher.pending_jobs(queue)
    }

    /// Accepts a job. The receiver yields the answer once the job has ended or is given up.
    ///
    /// # Errors
    ///
    /// The answer, if it is already known.
    pub fn submit(
        &mut self,
        now: Instant,
        submission: Submission<'_>,
    ) -> Result<oneshot::Receiver<CallerAnswer>, CallerAnswer> {
        let Submission {
            id,
            queue,
            spec,
            answer_deadline,
            sent_after,
            peer,
        } = submission;
        self.note_active(now);
        self.note_caller_contact(now);
        let is_outdated = self.interruptions.may_be_outdated(now, sent_after);
        let known = self.store.job(id).map(JobRecord::outcome);
        match known {
            Some(Some(outcome)) => {
                info!(event = "job-answered-again", job = %id, outcome = ?outcome);
                return Err(CallerAnswer::Finished(outcome));
            }
            // The job is submitted again while it is open: only the newest request is answered.
            Some(None) => {
                info!(event = "job-submitted-again", job = %id,
                      time_left_ms = answer_deadline.since(now).as_ms(),
                      max_age_ms = now.since(sent_after).as_ms(), is_outdated,
                      peer = peer.map(tracing::field::display));
                return Ok(self.join(now, id, answer_deadline, is_outdated));
            }
            None if is_outdated => return Err(reject_outdated(id, queue)),
            None => {}
        }
        if self.dispatcher.is_crashing(now, id) {
            warn!(event = "job-failed-before", job = %id, queue = queue.name);
            return Err(CallerAnswer::Finished(JobOutcome::Failed));
        }
        if let Err(refusal) =
            self.dispatcher
                .admit(now, queue, &spec, Some(answer_deadline.since(now)))
        {
            info!(event = "job-rejected", job = %id, queue = queue.name,
                  expected_wait_ms = refusal.expected_wait_ms, cause = %refusal.cause,
                  size = %refusal.size, retry_after_ms = refusal.retry_after_ms);
            metrics::counter!("hemlock_gateway_rejections_total", "queue" => queue.name.clone(),
                              "cause" => refusal.cause.to_string(),
                              "size" => refusal.size.to_string())
            .increment(1);
            metrics::counter!("hemlock_gateway_jobs_total", "answer" => "rejected").increment(1);
            return Err(CallerAnswer::Rejected {
                reason: Rejection::Overload,
                retry_after_ms: refusal.retry_after_ms,
            });
        }
        info!(event = "job-taken", job = %id, queue = queue.name, tasks = spec.task_count(),
              waiting = self.dispatcher.waiting_tasks(),
              time_left_ms = answer_deadline.since(now).as_ms(),
              max_age_ms = now.since(sent_after).as_ms(),
              last_run = self.dispatcher.dropped_run(id).map(|run| run.0),
              peer = peer.map(tracing::field::display));
        let acceptance = Acceptance::new(
            id,
            queue.name.as_str(),
            queue.service.as_str(),
            queue.max_attempts,
            spec,
        );
        self.apply(now, Command::Accept(Box::new(acceptance)));
        if let Some(open) = self.store.job(id).and_then(JobRecord::open) {
            self.dispatcher.job_accepted(now, id, &queue.name, open);
            self.dispatcher.set_caller_deadline(id, answer_deadline);
        }
        Ok(self.wait_for(now, id, answer_deadline))
    }

    fn wait_for(
        &mut self,
        now: Instant,
        id: JobId,
        answer_deadline: Instant,
    ) -> oneshot::Receiver<CallerAnswer> {
        let (answer, receiver) = oneshot::channel();
        self.remove_waiter(id);
        let submitted_at = now;
        self.waiters.insert(
            id,
            Waiter {
                answer,
                answer_deadline,
                submitted_at,
                is_unconfirmed: false,
            },
        );
        self.answer_deadlines.insert((answer_deadline, id));
        receiver
    }

    fn remove_waiter(&mut self, id: JobId) -> Option<Waiter> {
        let waiter = self.waiters.remove(&id)?;
        self.answer_deadlines.remove(&(waiter.answer_deadline, id));
        Some(waiter)
    }

    fn apply(&mut self, now: Instant, command: Command) -> ApplyOutcome {
        let batch = Batch::new(now.as_micros() / 1_000, vec![command]);
        let results = self.store.apply(&batch);
        results.first().copied().unwrap_or(ApplyOutcome::Done)
    }

    /// Withdraws a job whose caller has left. Returns false if the job isn't open here.
    pub fn abandon(&mut self, now: Instant, id: JobId) -> bool {
        if !self.store.job(id).is_some_and(JobRecord::is_open) {
            return false;
        }
        self.remove_waiter(id);
        self.withdraw_job(now, id);
        true
    }

    /// Stops a job and forgets it, so that it may be submitted and run again.
    fn withdraw_job(&mut self, now: Instant, id: JobId) -> Withdrawal {
        self.apply(now, Command::Cancel(id));
        self.store.forget(id);
        self.dispatcher.withdraw(now, id)
    }

    fn answer(&mut self, now: Instant, id: JobId, answer: CallerAnswer) {
        if let Some(waiter) = self.remove_waiter(id) {
            let label = answer.label();
            let took_ms = now.since(waiter.submitted_at).as_ms() as f64;
            metrics::counter!("hemlock_gateway_jobs_total", "answer" => label).increment(1);
            metrics::histogram!("hemlock_gateway_job_ms", "answer" => label).record(took_ms);
            // The caller may have left.
            let _ = waiter.answer.send(answer);
        }
    }

    /// Gives up the jobs that can't finish in time, and returns the orders that are due.
    pub fn step(&mut self, now: Instant) -> Vec<Order> {
        self.note_active(now);
        self.answer_withdrawn(now);
        // A job whose caller may have submitted it elsewhere must not be started, so these are given
        // up before anything is placed.
        self.give_up_overdue(now);
        let orders = self.dispatcher.poll(now);
        log_confinement_changes(self.dispatcher.take_confinement_changes());
        log_expired_agents(self.dispatcher.take_expired_agents());
        let expired = self.dispatcher.expired_jobs();
        if expired.is_empty() {
            return orders;
        }
        for id in expired {
            self.give_up(now, id, "hopeless");
        }
        orders
            .into_iter()
            .chain(self.dispatcher.poll(now))
            .collect()
    }

    fn give_up_overdue(&mut self, now: Instant) {
        while let Some((_, id)) = self
            .answer_deadlines
            .first()
            .copied()
            .filter(|(at, _)| *at <= now)
        {
            let waiter = self.waiters.get(&id);
            let cause = match waiter.is_some_and(|waiter| waiter.is_unconfirmed) {
                true => "caller-unconfirmed",
                false => "deadline",
            };
            self.give_up(now, id, cause);
        }
    }

    /// Withdraws a job that won't finish. Its caller is answered once it is known whether any task
    /// has run, or after [`WITHDRAWAL_TIMEOUT`].
    fn give_up(&mut self, now: Instant, id: JobId, cause: &'static str) {
        let withdrawal = self.withdraw_job(now, id);
        info!(event = "job-given-up", job = %id, cause, withdrawal = ?withdrawal);
        match withdrawal {
            Withdrawal::Pending => {
                if let Some(waiter) = self.waiters.get_mut(&id) {
                    self.answer_deadlines.remove(&(waiter.answer_deadline, id));
                    waiter.answer_deadline = now + WITHDRAWAL_TIMEOUT;
                    self.answer_deadlines.insert((waiter.answer_deadline, id));
                }
            }
            known => self.answer(now, id, answer_without_result(known)),
        }
    }

    fn answer_withdrawn(&mut self, now: Instant) {
        for (id, withdrawal) in self.dispatcher.take_withdrawn() {
            info!(event = "job-withdrawn", job = %id, withdrawal = ?withdrawal);
            self.answer(now, id, answer_without_result(withdrawal));
        }
    }

    /// Gives up all jobs, because the process is about to stop.
    pub fn give_up_all(&mut self, now: Instant) {
        let open: Vec<JobId> = self.waiters.keys().copied().collect();
        for id in open {
            self.give_up(now, id, "stopping");
        }
    }

    /// Returns the time at which [`step`](Self::step) must be called again without other events.
    pub fn next_deadline(&self) -> Instant {
        let answer = self.answer_deadlines.first().map(|(at, _)| *at);
        let dispatch = self.dispatcher.next_deadline();
        answer.map_or(dispatch, |answer| answer.min(dispatch))
    }

    // Runners.

    /// Begins a session with a runner, and returns the runs to claim: those expected on the runner.
    pub fn begin_session(
        &mut self,
        now: Instant,
        agent: AgentId,
    ) -> (SessionId, Vec<(TaskKey, RunNumber, Resources)>) {
        let session = self.dispatcher.register(now, agent);
        (session, self.dispatcher.runs_of(agent))
    }

    /// Handles a runner's answer to the claims, and returns the runs that it must stop.
    pub fn attached(
        &mut self,
        now: Instant,
        agent: AgentId,
        session: SessionId,
        inventory: &Inventory,
        load_report: LoadReport,
    ) -> Vec<StopOrder> {
        self.note_runner_contact(now);
        let Some(adoption) = self.dispatcher.adopt(now, agent, session, inventory) else {
            return Vec::new();
        };
        log_claimed_ends(agent, session, &inventory.runs);
        for (report, action) in adoption.ends {
            self.handle_end(now, report, action);
        }
        self.note_load(now, agent, session, load_report);
        adoption.stops
    }

    /// Confirms the session as of `now`, the time at which an answered request was sent. Returns
    /// false if the session has expired.
    pub fn confirm_session(
        &mut self,
        now: Instant,
        agent: AgentId,
        session: SessionId,
        load_report: Option<LoadReport>,
    ) -> bool {
        let holds = self.dispatcher.confirm(now, agent, session);
        if let Some(load_report) = load_report {
            self.note_load(now, agent, session, load_report);
        }
        holds
    }

    /// Sets whether a runner gets no more starts because the gateway stops following it.
    pub fn set_retiring(&mut self, agent: AgentId, retiring: bool) {
        self.dispatcher.set_retiring(agent, retiring);
    }

    /// Whether a runner gets no more starts and has no runs of this gateway left.
    pub fn is_retired(&self, agent: AgentId) -> bool {
        self.dispatcher.is_retired(agent)
    }

    /// Closes a runner's session, whose connection is gone.
    pub fn close_session(&mut self, now: Instant, agent: AgentId, session: SessionId) {
        self.dispatcher.close_session(now, agent, session);
    }

    /// Handles an update pushed by a runner.
    pub fn handle_update(&mut self, now: Instant, update: RunnerUpdate) {
        self.note_runner_contact(now);
        let (agent, session) = (update.agent, update.session);
        self.handle_report(now, agent, session, &update.report);
        if let Some(changed) = update.instance {
            info!(
                event = "instance-changed",
                agent = agent.0,
                session = session.0,
                instance = changed.instance.as_ref().map(|i| i.id.to_string()),
                draining = changed.instance.as_ref().map(|i| i.draining),
                runs_lost = changed.runs_lost,
            );
            self.dispatcher.note_suspects(now, agent, &changed.suspects);
            self.dispatcher.instance_changed(
                now,
                agent,
                session,
                changed.instance,
                changed.runs_lost,
            );
        }
        self.note_load(now, agent, session, update.load_report);
    }

    fn note_load(&mut self, now: Instant, agent: AgentId, session: SessionId, load: LoadReport) {
        if !self.dispatcher.load_reported(now, agent, session, load) {
            warn!(event = "load-unusable", agent = agent.0, load = ?load);
        }
    }

    /// Handles ended runs and refused starts.
    pub fn handle_report(
        &mut self,
        now: Instant,
        agent: AgentId,
        session: SessionId,
        report: &Report,
    ) {
        for ended in &report.ended {
            let action = self.dispatcher.report_end(now, agent, session, *ended);
            if let Some(action) = action {
                if ended.end != Some(RunEnd::Done) {
                    info!(event = "run-over", task = %ended.task, run = ended.run.0,
                          agent = agent.0, session = session.0,
                          end = ended.end.map(tracing::field::display));
                }
                self.handle_end(now, *ended, action);
            }
        }
        for start in &report.refused {
            if start.reason != RefusalReason::Withdrawn {
                info!(event = "start-refused", task = %start.task, run = start.run.0,
                      agent = agent.0, reason = %start.reason);
            }
            self.dispatcher
                .start_refused(now, agent, session, start.task, start.run, start.reason);
        }
    }

    fn handle_end(&mut self, now: Instant, report: RunReport, action: EndAction) {
        let EndAction::Record(end) = action else {
            return;
        };
        let (task, run) = (report.task, report.run);
        match self.apply(now, Command::End(task, run, end)) {
            ApplyOutcome::Ended(outcome) => {
                info!(event = "job-ended", job = %task.job, outcome = ?outcome);
                self.dispatcher.job_ended(task.job);
                self.answer(now, task.job, CallerAnswer::Finished(outcome));
            }
            _ => self.dispatcher.end_recorded(now, task, run, end),
        }
    }
}
