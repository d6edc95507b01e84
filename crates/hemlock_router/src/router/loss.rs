//! Starts that were lost: not sent, or sent and not answered.

use hemlock_types::prelude::*;

use super::Router;
use super::settle::detach;
use crate::action::{Actions, Observation, WasteCause};
use crate::event::LossKind;
use crate::fleet::EndpointKey;
use crate::start_table::StartKey;
use crate::timers::Timer;
use crate::work::Work;

impl Router {
    pub(super) fn start_lost(
        &mut self,
        now: Instant,
        agent: Incarnation,
        request: RequestId,
        loss: LossKind,
        out: &mut Actions,
    ) {
        let Some(key) = self.find_start(agent, request) else {
            return;
        };
        match loss {
            LossKind::NeverSent => self.start_unsent(now, key, out),
            LossKind::AfterSending => self.start_unanswered(now, key, out),
        }
    }

    /// Handles a start that was never sent: the task is queued again as after a refusal. If it was
    /// a second send, the first one may have been received, so it is handled as unanswered.
    fn start_unsent(&mut self, now: Instant, key: StartKey, out: &mut Actions) {
        let resent = self.starts.get(key).is_some_and(|start| start.resent);
        if resent {
            self.start_unanswered(now, key, out);
            return;
        }
        let Some(start) = self.take_start(key) else {
            return;
        };
        self.pause_endpoint(now, start.endpoint);
        self.endpoint_changed(start.endpoint);
        if start.abandoned {
            return;
        }
        let Some(work) = self.works.get_mut(start.task.work) else {
            return;
        };
        let other = detach(work, &start, key);
        let (reason, proof) = (NotRunReason::Refused, NotRunProof::NeverSent);
        self.start_refused(&start, other, reason, proof, out);
    }

    /// Handles a start that may have run. It counts against its contract until its deadline. A
    /// start of a submission is sent again to the same agent, whose gate starts it at most once;
    /// other work may be retried at another endpoint.
    fn start_unanswered(&mut self, now: Instant, key: StartKey, out: &mut Actions) {
        Self::observe(out, Observation::Wasted(WasteCause::LostStart));
        let Some(start) = self.starts.get_mut(key) else {
            return;
        };
        start.lost = true;
        let (endpoint, deadline, task) = (start.endpoint, start.deadline, start.task);
        let abandoned = start.abandoned;
        self.timers
            .set(deadline.max(now), Timer::ReleaseLostStart(key));
        self.free_slot(endpoint);
        let resendable = self.works.get(task.work).map(Work::may_resend);
        match resendable {
            Some(false) if !abandoned => self.hold_lost_start(now, key, endpoint, out),
            Some(true) if !abandoned => self.abandon_lost_start(now, key, out),
            Some(_) | None => {}
        }
    }

    fn hold_lost_start(
        &mut self,
        now: Instant,
        key: StartKey,
        endpoint: EndpointKey,
        out: &mut Actions,
    ) {
        match self.fleet.get_mut(endpoint) {
            Some(state) => {
                state.lost_starts.push(key);
                self.pause_endpoint(now, endpoint);
                self.endpoint_changed(endpoint);
            }
            None => self.fail_lost_starts(vec![key], out),
        }
    }

    fn abandon_lost_start(&mut self, now: Instant, key: StartKey, out: &mut Actions) {
        let Some(start) = self.starts.get_mut(key) else {
            return;
        };
        start.abandoned = true;
        let copy = start.clone();
        let Some(work) = self.works.get_mut(copy.task.work) else {
            return;
        };
        let other = detach(work, &copy, key);
        let outcome = Outcome::Failed(FailureKind::ConnectionLost);
        self.start_failed(now, &copy, other, outcome, out);
    }

    /// Sends the endpoint's lost starts of submissions again.
    pub(super) fn resend_lost_starts(&mut self, now: Instant, key: EndpointKey, out: &mut Actions) {
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        for start in std::mem::take(&mut endpoint.lost_starts) {
            self.resend(now, start, out);
        }
    }

    fn resend(&mut self, now: Instant, key: StartKey, out: &mut Actions) {
        let Some(start) = self.starts.get_mut(key) else {
            return;
        };
        if start.abandoned || !start.lost || now >= start.deadline {
            return;
        }
        start.lost = false;
        start.resent = true;
        let endpoint = start.endpoint;
        self.starts.renew_request(key);
        self.take_slot(endpoint);
        self.send(now, key, out);
    }

    /// Fails the tasks of lost starts whose agent is gone: the outcome can't be known any more.
    pub(super) fn fail_lost_starts(&mut self, starts: Vec<StartKey>, out: &mut Actions) {
        for key in starts {
            let Some(start) = self.starts.get_mut(key) else {
                continue;
            };
            if std::mem::replace(&mut start.abandoned, true) {
                continue;
            }
            let copy = start.clone();
            let Some(work) = self.works.get_mut(copy.task.work) else {
                continue;
            };
            detach(work, &copy, key);
            let outcome = Outcome::Failed(FailureKind::EndpointLost);
            self.end_task(copy.task.work, copy.task.task, outcome, out);
        }
    }

    /// Stops counting a lost start against its contract.
    pub(super) fn release_lost(&mut self, key: StartKey) {
        if self.starts.get(key).is_some_and(|start| start.lost) {
            self.take_start(key);
        }
    }
}
