//! Outcomes of starts, as reported by agents.

use hemlock_types::prelude::*;

use super::Router;
use crate::action::{Actions, Observation, WasteCause};
use crate::fleet::EndpointKey;
use crate::health::Sample;
use crate::start_table::{InFlightStart, StartKey};
use crate::timers::Timer;
use crate::work::Work;

/// Lowest HTTP status that reports a server error.
const MIN_SERVER_ERROR_STATUS: u16 = 500;
/// Number of lost endpoints after which a task is taken to be the cause and isn't retried.
const MAX_LOSSES: u8 = 2;
/// Pause during which an endpoint that refused or lost a start gets no work, in milliseconds.
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
        self.record_outcome(now, &start, &outcome, service_us, out);
        let refused = matches!(outcome, Outcome::NotRun(..));
        if refused {
            self.record_refusal(now, &start, &outcome, out);
        }
        let outcome = match outcome {
            // The refusal answers the second send; the first may still reach the gate and run.
            Outcome::NotRun(..) if start.resent => Outcome::Failed(FailureKind::Unknown),
            outcome => outcome,
        };
        match start.abandoned {
            true if !refused => Self::observe(out, Observation::Wasted(WasteCause::LateAnswer)),
            true => {}
            false => self.settle_task(now, key, &start, outcome, service_us, out),
        }
    }

    /// The start that an agent's answer belongs to; `None` when the start's outcome is known, it
    /// counts as lost, or it was sent to another agent.
    pub(super) fn find_start(&self, agent: Incarnation, request: RequestId) -> Option<StartKey> {
        let key = self.starts.find(request)?;
        let start = self.starts.get(key)?;
        let endpoint = self.fleet.get(start.endpoint);
        let is_same_agent = endpoint.is_none_or(|endpoint| endpoint.announcement.agent == agent);
        (is_same_agent && !start.lost).then_some(key)
    }

    /// Removes a start, and frees its slot at the endpoint and its part of the contract's share.
    pub(super) fn take_start(&mut self, key: StartKey) -> Option<InFlightStart> {
        let start = self.starts.remove(key)?;
        if !start.lost {
            self.free_slot(start.endpoint);
        }
        let state = self.contracts.state_mut(start.contract);
        state.running -= 1;
        self.unpark(start.contract);
        Some(start)
    }

    /// Stops counting one start at the endpoint.
    pub(super) fn free_slot(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.fleet.get_mut(key) {
            endpoint.in_flight -= 1;
        }
        self.endpoint_changed(key);
    }

    fn record_outcome(
        &mut self,
        now: Instant,
        start: &InFlightStart,
        outcome: &Outcome,
        service_us: u64,
        out: &mut Actions,
    ) {
        let sample = match outcome {
            Outcome::Complete(answer) if answer.status >= MIN_SERVER_ERROR_STATUS => Sample::Failed,
            Outcome::Complete(_) if start.straggled => return,
            Outcome::Complete(_) => Sample::Good,
            Outcome::Failed(FailureKind::Cancelled) | Outcome::NotRun(..) => return,
            Outcome::Failed(_) => Sample::Failed,
        };
        if matches!(outcome, Outcome::Complete(_)) {
            self.estimates
                .record(start.operation, service_us, &mut self.rng);
        }
        self.record_sample(now, start.endpoint, sample, out);
    }

    fn record_refusal(
        &mut self,
        now: Instant,
        start: &InFlightStart,
        outcome: &Outcome,
        out: &mut Actions,
    ) {
        Self::observe(out, Observation::Wasted(WasteCause::Declined));
        self.pause_endpoint(now, start.endpoint);
        if let Some(endpoint) = self.fleet.get_mut(start.endpoint)
            && matches!(outcome, Outcome::NotRun(NotRunReason::Draining, _))
        {
            endpoint.leaving = true;
        }
        self.endpoint_changed(start.endpoint);
    }

    /// Sends an endpoint no work for [`REFUSAL_PAUSE_MS`].
    pub(super) fn pause_endpoint(&mut self, now: Instant, key: EndpointKey) {
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
            Outcome::Complete(answer) if answer.status >= MIN_SERVER_ERROR_STATUS => {
                self.start_failed(now, start, other, Outcome::Complete(answer), out);
            }
            Outcome::Complete(answer) => {
                self.observe_task_done(now, start, service_us, out);
                self.abandon_other_copy(other, out);
                let outcome = Outcome::Complete(answer);
                self.end_task(start.task.work, start.task.task, outcome, out);
            }
        }
    }

    fn abandon_other_copy(&mut self, other: Option<StartKey>, out: &mut Actions) {
        if let Some(other) = other {
            self.abandon(other);
            Self::observe(out, Observation::Wasted(WasteCause::UnusedHedge));
        }
    }

    fn observe_task_done(
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

    /// Handles a start that a gate refused and will not run. The task is queued again, without
    /// using the retry budget, unless the reason is final or the limit on refusals is reached.
    pub(super) fn start_refused(
        &mut self,
        start: &InFlightStart,
        other: Option<StartKey>,
        reason: NotRunReason,
        proof: NotRunProof,
        out: &mut Actions,
    ) {
        let max_placements = self.settings.max_placements;
        let Some(work) = self.works.get_mut(start.task.work) else {
            return;
        };
        if let Some(submission) = &mut work.submission {
            submission.unbind(start.task.task, start.endpoint);
        }
        let task = work.task_mut(start.task.task);
        task.refusals = task.refusals.saturating_add(1);
        task.last_endpoint = None;
        let exhausted = task.refusals >= max_placements;
        match (other, reason) {
            (Some(_), _) => {}
            (None, NotRunReason::Deadline | NotRunReason::Cancelled | NotRunReason::Infeasible) => {
                self.end_not_run(start, reason, proof, out);
            }
            (None, _) if exhausted => self.end_not_run(start, NotRunReason::Refused, proof, out),
            (None, _) => self.requeue(start.task, out),
        }
    }

    fn end_not_run(
        &mut self,
        start: &InFlightStart,
        reason: NotRunReason,
        proof: NotRunProof,
        out: &mut Actions,
    ) {
        let outcome = Outcome::NotRun(reason, proof);
        self.end_task(start.task.work, start.task.task, outcome, out);
    }

    /// Handles a start that ran, or may have run, without a successful answer. The task is retried
    /// if its work may be sent again and the contract's retry budget allows it.
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
        let task = work.task_mut(start.task.task);
        task.may_have_run = true;
        task.losses = task.losses.saturating_add(u8::from(is_loss(&outcome)));
        let crashes_endpoints = task.losses >= MAX_LOSSES;
        let may_resend = work.may_resend() && now < work.deadline && !crashes_endpoints;
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

/// Whether the endpoint may have crashed under the run.
fn is_loss(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Failed(FailureKind::ConnectionLost | FailureKind::EndpointLost)
    )
}

/// Detaches a start from its task; returns the task's other copy if it is in flight.
pub(super) fn detach(work: &mut Work, start: &InFlightStart, key: StartKey) -> Option<StartKey> {
    let task = work.task_mut(start.task.task);
    if task.hedge == Some(key) {
        task.hedge = None;
        return task.start;
    }
    task.start = task.hedge.take();
    task.start
}
