//! The gateway's own jobs: a record that is not replicated, and a dispatcher over it.

use std::collections::{BTreeSet, HashMap};

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};
use tokio::sync::oneshot;
use tracing::info;

use crate::message::{CallerAnswer, Rejection, Report, RunnerNews};

/// How long the result of a job is kept for a caller that asks again, in milliseconds.
const RETENTION_MS: u64 = 10_000;
/// How long a runner serves a gateway that it doesn't hear, in milliseconds: its own limit, and the
/// time that stops without effect may take.
const RUNNER_PATIENCE_MS: u64 = 1_200;
/// When the caller of a job that couldn't be finished may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Longest wait for runners to confirm that nothing of a job has run: a round trip, and less than
/// the time that is left for the answer to reach the caller.
const WITHDRAWAL_PATIENCE: DurationMs = DurationMs::new(25);

/// The answer for a job that has no result.
fn answer_without_result(withdrawal: Withdrawal) -> CallerAnswer {
    match withdrawal {
        Withdrawal::NotRun => CallerAnswer::Rejected {
            reason: Rejection::Overload,
            retry_after_ms: RETRY_AFTER_MS,
        },
        Withdrawal::MayHaveRun | Withdrawal::Pending => CallerAnswer::Undecided,
    }
}

/// A job that a caller hands in.
pub(super) struct Submission<'a> {
    pub(super) id: JobId,
    pub(super) queue: &'a Queue,
    pub(super) spec: JobSpec,
    /// When the caller must have its answer.
    pub(super) answer_by: Instant,
}

/// One job that is waited for.
struct Waiter {
    answer: oneshot::Sender<CallerAnswer>,
    answer_by: Instant,
    since: Instant,
}

/// Jobs, their dispatcher and who waits.
pub(super) struct Engine {
    book: JobStore,
    dispatcher: Dispatcher,
    waiters: HashMap<JobId, Waiter>,
    answer_times: BTreeSet<(Instant, JobId)>,
}

impl Engine {
    pub(super) fn new(now: Instant, lease_ms: u64) -> Self {
        let book = JobStore::new(RETENTION_MS);
        let settings = DispatchSettings {
            capacity: CapacitySource::Reported,
            // The job may run again, whatever became of its runs.
            records_ends: false,
            authority_ms: RUNNER_PATIENCE_MS,
            lease_ms,
            ..DispatchSettings::default()
        };
        let dispatcher = Dispatcher::new(now, settings, &book);
        Self {
            book,
            dispatcher,
            waiters: HashMap::new(),
            answer_times: BTreeSet::new(),
        }
    }

    pub(super) fn configure(&mut self, configuration: &Configuration) {
        self.dispatcher.configure(configuration);
    }

    pub(super) fn open_jobs(&self) -> usize {
        self.waiters.len()
    }

    pub(super) fn pending_jobs(&self, queue: &str) -> usize {
        self.dispatcher.pending_jobs(queue)
    }

    /// Takes a job in; the answer comes when it has ended or is given up.
    pub(super) fn submit(
        &mut self,
        now: Instant,
        submission: Submission<'_>,
    ) -> Result<oneshot::Receiver<CallerAnswer>, CallerAnswer> {
        let Submission {
            id,
            queue,
            spec,
            answer_by,
        } = submission;
        let known = self.book.job(id).map(JobRecord::outcome);
        match known {
            Some(Some(outcome)) => {
                info!(event = "job-answered-again", job = %id, outcome = ?outcome);
                return Err(CallerAnswer::Finished(outcome));
            }
            // The same job is handed in while it runs: the newer request gets the answer.
            Some(None) => return Ok(self.wait_for(now, id, answer_by)),
            None => {}
        }
        if let Err(refusal) = self
            .dispatcher
            .admit(now, queue, &spec, Some(answer_by.since(now)))
        {
            info!(event = "job-rejected", job = %id, queue = queue.name,
                  expected_wait_ms = refusal.expected_wait_ms);
            metrics::counter!("hemlock_gateway_jobs_total", "answer" => "rejected").increment(1);
            return Err(CallerAnswer::Rejected {
                reason: Rejection::Overload,
                retry_after_ms: refusal.retry_after_ms,
            });
        }
        info!(event = "job-taken", job = %id, queue = queue.name, tasks = spec.task_count(),
              waiting = self.dispatcher.waiting_tasks());
        let acceptance = Acceptance::new(
            id,
            queue.name.as_str(),
            queue.service.as_str(),
            queue.max_attempts,
            spec,
        );
        self.apply(now, Command::Accept(Box::new(acceptance)));
        if let Some(open) = self.book.job(id).and_then(JobRecord::open) {
            self.dispatcher.job_accepted(now, id, &queue.name, open);
            self.dispatcher.set_caller_deadline(id, answer_by);
        }
        Ok(self.wait_for(now, id, answer_by))
    }

    fn wait_for(
        &mut self,
        now: Instant,
        id: JobId,
        answer_by: Instant,
    ) -> oneshot::Receiver<CallerAnswer> {
        let (answer, receiver) = oneshot::channel();
        self.take_waiter(id);
        let since = now;
        self.waiters.insert(
            id,
            Waiter {
                answer,
                answer_by,
                since,
            },
        );
        self.answer_times.insert((answer_by, id));
        receiver
    }

    fn take_waiter(&mut self, id: JobId) -> Option<Waiter> {
        let waiter = self.waiters.remove(&id)?;
        self.answer_times.remove(&(waiter.answer_by, id));
        Some(waiter)
    }

    fn apply(&mut self, now: Instant, command: Command) -> ApplyOutcome {
        let batch = Batch::new(now.as_micros() / 1_000, vec![command]);
        let results = self.book.apply(&batch);
        results.first().copied().unwrap_or(ApplyOutcome::Done)
    }

    /// Drops a job that nobody waits for; false when it isn't open here.
    pub(super) fn abandon(&mut self, now: Instant, id: JobId) -> bool {
        if !self.book.job(id).is_some_and(JobRecord::is_open) {
            return false;
        }
        self.take_waiter(id);
        self.drop_job(now, id);
        true
    }

    /// Stops a job. It may be handed in and run again.
    fn drop_job(&mut self, now: Instant, id: JobId) -> Withdrawal {
        self.apply(now, Command::Cancel(id));
        self.book.forget(id);
        self.dispatcher.withdraw(now, id)
    }

    fn answer(&mut self, now: Instant, id: JobId, answer: CallerAnswer) {
        if let Some(waiter) = self.take_waiter(id) {
            let label = answer.label();
            let took_ms = now.since(waiter.since).as_ms() as f64;
            metrics::counter!("hemlock_gateway_jobs_total", "answer" => label).increment(1);
            metrics::histogram!("hemlock_gateway_job_ms", "answer" => label).record(took_ms);
            // A caller that has left needs no answer.
            let _ = waiter.answer.send(answer);
        }
    }

    /// Gives up what can't be finished in time, and returns the orders that are due.
    pub(super) fn step(&mut self, now: Instant) -> Vec<Order> {
        self.answer_withdrawn(now);
        let orders = self.dispatcher.poll(now);
        let hopeless = self.dispatcher.expired_jobs();
        if hopeless.is_empty() && self.answer_times.first().is_none_or(|(at, _)| *at > now) {
            return orders;
        }
        for id in hopeless {
            self.give_up(now, id, "hopeless");
        }
        while let Some((_, id)) = self
            .answer_times
            .first()
            .copied()
            .filter(|(at, _)| *at <= now)
        {
            self.give_up(now, id, "deadline");
        }
        orders
            .into_iter()
            .chain(self.dispatcher.poll(now))
            .collect()
    }

    /// Stops a job that won't be finished, and answers its caller once it is known whether anything
    /// of it has run, or soon.
    fn give_up(&mut self, now: Instant, id: JobId, cause: &'static str) {
        let withdrawal = self.drop_job(now, id);
        info!(event = "job-given-up", job = %id, cause, withdrawal = ?withdrawal);
        match withdrawal {
            Withdrawal::Pending => {
                if let Some(waiter) = self.waiters.get_mut(&id) {
                    self.answer_times.remove(&(waiter.answer_by, id));
                    waiter.answer_by = now + WITHDRAWAL_PATIENCE;
                    self.answer_times.insert((waiter.answer_by, id));
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

    /// Gives up every job.
    pub(super) fn give_up_all(&mut self, now: Instant) {
        let open: Vec<JobId> = self.waiters.keys().copied().collect();
        for id in open {
            self.give_up(now, id, "stopping");
        }
    }

    /// When [`step`](Self::step) is due though nothing has happened.
    pub(super) fn next_deadline(&self) -> Instant {
        let answer = self.answer_times.first().map(|(at, _)| *at);
        let dispatch = self.dispatcher.next_deadline();
        answer.map_or(dispatch, |answer| answer.min(dispatch))
    }

    // Runners.

    /// Begins a session with a runner; the runs that are believed to be there are claimed.
    pub(super) fn begin_session(
        &mut self,
        now: Instant,
        agent: AgentId,
    ) -> (SessionId, Vec<(TaskKey, RunNumber, Resources)>) {
        let session = self.dispatcher.register(now, agent);
        (session, self.dispatcher.runs_of(agent))
    }

    /// Takes what a runner says became of the claimed runs.
    pub(super) fn attached(
        &mut self,
        now: Instant,
        agent: AgentId,
        session: SessionId,
        inventory: &Inventory,
        room: LoadReport,
    ) -> Vec<StopOrder> {
        let Some(adoption) = self.dispatcher.adopt(now, agent, session, inventory) else {
            return Vec::new();
        };
        for (report, verdict) in adoption.ends {
            self.take_end(now, report, verdict);
        }
        self.dispatcher.load_reported(now, agent, session, room);
        adoption.stops
    }

    /// Notes that the runner was sent something, which it may have received.
    pub(super) fn runner_heard(
        &mut self,
        now: Instant,
        agent: AgentId,
        session: SessionId,
        room: Option<LoadReport>,
    ) -> bool {
        let holds = self.dispatcher.confirm(now, agent, session);
        if let Some(room) = room {
            self.dispatcher.load_reported(now, agent, session, room);
        }
        holds
    }

    pub(super) fn close_session(&mut self, now: Instant, agent: AgentId, session: SessionId) {
        self.dispatcher.close_session(now, agent, session);
    }

    /// Takes what a runner tells by itself.
    pub(super) fn take_news(&mut self, now: Instant, news: RunnerNews) {
        let (agent, session) = (news.agent, news.session);
        self.take_report(now, agent, session, &news.report);
        if let Some(changed) = news.instance {
            self.dispatcher.instance_changed(
                now,
                agent,
                session,
                changed.instance,
                changed.runs_lost,
            );
        }
        self.dispatcher
            .load_reported(now, agent, session, news.room);
    }

    pub(super) fn take_report(
        &mut self,
        now: Instant,
        agent: AgentId,
        session: SessionId,
        report: &Report,
    ) {
        for ended in &report.ended {
            let verdict = self.dispatcher.report_end(now, agent, session, *ended);
            self.take_end(now, *ended, verdict);
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

    fn take_end(&mut self, now: Instant, report: RunReport, verdict: EndAction) {
        let EndAction::Record(end) = verdict else {
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
