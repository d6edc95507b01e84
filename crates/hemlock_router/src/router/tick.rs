//! Handling of due timers.

use hemlock_types::prelude::*;

use super::Router;
use crate::action::Actions;
use crate::timers::Timer;
use crate::work::WorkKey;

impl Router {
    pub(super) fn run_timers(&mut self, now: Instant, out: &mut Actions) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(work) => self.expire_work(work, out),
                Timer::CallDeadline(work, call) => self.call_deadline(now, work, call, out),
                Timer::RetryClaim(work) => self.retry_claim(now, work, out),
                Timer::RetryFence(work) => self.retry_fence(now, work, out),
                Timer::CheckStraggler(start) => self.check_straggler(now, start, out),
                Timer::ReleaseLostStart(start) => self.release_lost(start),
                Timer::BeginProbation(endpoint) => self.begin_probation(now, endpoint),
                Timer::EndPause(endpoint) => self.end_pause(now, endpoint, out),
                Timer::RefreshWants(service) => {
                    self.services_to_dispatch.insert(service);
                }
            }
        }
    }

    /// Gives up work that has reached its deadline.
    fn expire_work(&mut self, key: WorkKey, out: &mut Actions) {
        let (reason, proof) = (NotRunReason::Deadline, NotRunProof::NeverSent);
        self.give_up(key, reason, proof, out);
    }
}
