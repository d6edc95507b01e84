//! Answers of agents to starts.

use hemlock_types::prelude::*;

use super::Router;
use crate::action::{Actions, Observation, WasteCause};
use crate::fleet::EndpointKey;
use crate::health::Sample;
use crate::start_table::{InFlightStart, StartKey};
use crate::timers::Timer;
use crate::work::Work;

/// Lowest HTTP status that reports a failure of the server.
const SERVER_ERROR: u16 = 500;
/// How long an endpoint that refused a start is left alone, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 5;

impl Router {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn settled(
        &mut self,
        now: Instant,
        agent: Incarnation,
        request: RequestId,
        outcome: Outcome,
        service_us: u64,
        granted: u16,
        out: &mut Actions,
    ) {
        self.granted(agent, granted);
        let Some(key) = self.find_start(agent, request) else {
            Self::observe(out, Observation::Wasted(WasteCause::LateAnswer));
            return;
        };
        let Some(start) = self.take_start(key) else {
            return;
        };
        self.learn(now, &start, &outcome, service_us, out);
        let refused = matches!(outcome, Outcome::NotRun(..));
        if refused {
            self.note_refusal(now, &start, &outcome, out);
        }
        let outcome = match outcome {
            // The refusal speaks of the second sending; the first may still reach the gate.
            Outcome::NotRun(..) if start.resent => Outcome::Failed(FailureKind::Unknown),
            outcome => outcome,
        };
        match start.abandoned {
            true if !refused => Self::observe(out, Observation::Wasted(WasteCause::LateAnswer)),
            true => {}
            false => self.settle_task(now, key, &start, outcome, service_us, out),
        }
    }

    /// The start that an answer of the agent settles; `None` when it has settled before, or was
    /// sent to another agent.
    pub(super) fn find_start(&self, agent: Incarnation, request: RequestId) -> Option<StartKey> {
        let key = self.starts.find(request)?;
        let start = self.starts.get(key)?;
        let endpoint = self.fleet.get(start.endpoint);
        let same = endpoint.is_none_or(|endpoint| endpoint.announcement.agent == agent);
        (same && !start.lost).then_some(key)
    }

    /// Takes a flight out and gives its places at the endpoint and in the contract back.
    pub(super) fn take_start(&mut self, key: StartKey) -> Option<InFlightStart> {
        let start = self.starts.remove(key)?;
        if !start.lost {
            self.vacate(start.endpoint);
        }
        let state = self.contracts.state_mut(start.contract);
        state.running -= 1;
        self.unpark(start.contract);
        Some(start)
    }

    /// Gives a start's place at the endpoint back.
    pub(super) fn vacate(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.fleet.get_mut(key) {
            endpoint.in_flight -= 1;
        }
        self.touch_endpoint(key);
    }

    fn learn(
        &mut self,
        now: Instant,
        start: &InFlightStart,
        outcome: &Outcome,
        service_us: u64,
        out: &mut Actions,
    ) {
        let sample = match outcome {
            Outcome::Complete(answer) if answer.status >= SERVER_ERROR => Sample::Failed,
            Outcome::Complete(_) if start.straggled => return,
            Outcome::Complete(_) => Sample::Good,
            Outcome::Failed(FailureKind::Cancelled) | Outcome::NotRun(..) => return,
            Outcome::Failed(_) => Sample::Failed,
        };
        if matches!(outcome, Outcome::Complete(_)) {
            self.estimates
                .record(start.operation, service_us, &mut self.rng);
        }
        self.judge_endpoint(now, start.endpoint, sample, out);
    }

    fn note_refusal(
        &mut self,
        now: Instant,
        start: &InFlightStart,
        outcome: &Outcome,
        out: &mut Actions,
    ) {
        Self::observe(out, Observation::Wasted(WasteCause::Declined));
        self.rest(now, start.endpoint);
        if let Some(endpoint) = self.fleet.get_mut(start.endpoint)
            && matches!(outcome, Outcome::NotRun(NotRunReason::Draining, _))
        {
            endpoint.leaving = true;
        }
        self.touch_endpoint(start.endpoint);
    }

    /// Leaves an endpoint alone for a moment after a refusal.
    pub(super) fn rest(&mut self, now: Instant, key: EndpointKey) {
        if let Some(endpoint) = self.fleet.get_mut(key) {
            endpoint.paused_until = now + DurationMs::new(REFUSAL_PAUSE_MS);
            let at = endpoint.paused_until;
            self.timers.set(at, Timer::EndPause(key));
        }
    }

    fn settle_task(
        &mut self,
        now: Instant,
        key: StartKey,
        start: &InFlightStart,
        outcome: Outcome,
        service_us: u64,
        out: &mut Actions,
    ) {
        let Some(work) = self.works.get_mut(start.task.work) else {
            return;
        };
        let other = detach(work, start, key);
        match outcome {
            Outcome::NotRun(reason, proof) => {
                self.start_refused(start, other, reason, proof, out);
            }
            Outcome::Failed(kind) => {
                self.start_failed(now, start, other, Outcome::Failed(kind), out);
            }
            Outcome::Complete(answer) if answer.status >= SERVER_ERROR => {
                self.start_failed(now, start, other, Outcome::Complete(answer), out);
            }
            Outcome::Complete(answer) => {
                self.observe_done(now, start, service_us, out);
                self.withdraw_other(other, out);
                let outcome = Outcome::Complete(answer);
                self.end_task(start.task.work, start.task.task, outcome, out);
            }
        }
    }

    fn withdraw_other(&mut self, other: Option<StartKey>, out: &mut Actions) {
        if let Some(other) = other {
            self.abandon(other);
            Self::observe(out, Observation::Wasted(WasteCause::UnusedHedge));
        }
    }

    fn observe_done(
        &self,
        now: Instant,
        start: &InFlightStart,
        service_us: u64,
        out: &mut Actions,
    ) {
        let Some(work) = self.works.get(start.task.work) else {
            return;
        };
        let customer = self
            .contracts
            .state(work.contract)
            .contract
            .customer
            .clone();
        Self::observe(
            out,
            Observation::TaskDone {
                customer,
                traceparent: work.traceparent.clone(),
                response_us: now.micros_since(work.admitted),
                queued_us: start.started.micros_since(work.admitted),
                service_us,
            },
        );
    }

    /// A gate refused the start and will not run it: the task goes elsewhere, free of charge.
    pub(super) fn start_refused(
        &mut self,
        start: &InFlightStart,
        other: Option<StartKey>,
        reason: NotRunReason,
        proof: NotRunProof,
        out: &mut Actions,
    ) {
        let most = self.settings.max_placements;
        let Some(work) = self.works.get_mut(start.task.work) else {
            return;
        };
        if let Some(submission) = &mut work.submission {
            submission.unbind(start.task.task, start.endpoint);
        }
        let task = work.task_mut(start.task.task);
        task.refusals = task.refusals.saturating_add(1);
        task.last_endpoint = None;
        let spent = task.refusals >= most;
        match (other, reason) {
            (Some(_), _) => {}
            (None, NotRunReason::Deadline | NotRunReason::Cancelled | NotRunReason::Infeasible) => {
                self.end_unrun(start, reason, proof, out);
            }
            (None, _) if spent => self.end_unrun(start, NotRunReason::Refused, proof, out),
            (None, _) => self.requeue(start.task, out),
        }
    }

    fn end_unrun(
        &mut self,
        start: &InFlightStart,
        reason: NotRunReason,
        proof: NotRunProof,
        out: &mut Actions,
    ) {
        let outcome = Outcome::NotRun(reason, proof);
        self.end_task(start.task.work, start.task.task, outcome, out);
    }

    /// A start ran, or may have run, without a good answer. Work that may be sent again is,
    /// within the contract's budget.
    pub(super) fn start_failed(
        &mut self,
        now: Instant,
        start: &InFlightStart,
        other: Option<StartKey>,
        outcome: Outcome,
        out: &mut Actions,
    ) {
        let Some(work) = self.works.get_mut(start.task.work) else {
            return;
        };
        work.task_mut(start.task.task).may_have_run = true;
        let may_resend = work.may_resend() && now < work.deadline;
        let retries = &mut self.contracts.state_mut(start.contract).retries;
        match other {
            Some(_) => {}
            None if may_resend && retries.try_spend() => {
                Self::observe(out, Observation::Retried);
                self.requeue(start.task, out);
            }
            None => self.end_task(start.task.work, start.task.task, outcome, out),
        }
    }
}

/// Takes a settled start off its task; returns the other copy that is still out.
pub(super) fn detach(work: &mut Work, start: &InFlightStart, key: StartKey) -> Option<StartKey> {
    let task = work.task_mut(start.task.task);
    if task.hedge == Some(key) {
        task.hedge = None;
        return task.start;
    }
    task.start = task.hedge.take();
    task.start
}
