//! Timers that are due.

use hemlock_types::prelude::*;

use super::Router;
use crate::action::Actions;
use crate::timers::Timer;
use crate::work::WorkKey;

impl Router {
    pub(super) fn run_timers(&mut self, now: Instant, out: &mut Actions) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(work) => self.deadline(work, out),
                Timer::CallDeadline(work, call) => self.call_deadline(now, work, call, out),
                Timer::RetryClaim(work) => self.claim_again(now, work, out),
                Timer::RetryFence(work) => self.fence_again(now, work, out),
                Timer::CheckStraggler(start) => self.straggling(now, start, out),
                Timer::ReleaseLostStart(start) => self.release_lost(start),
                Timer::BeginProbation(endpoint) => self.begin_probation(now, endpoint),
                Timer::EndPause(endpoint) => self.reopen(now, endpoint, out),
                Timer::RefreshWants(service) => {
                    self.dirty.insert(service);
                }
            }
        }
    }

    /// Gives up work whose deadline has passed.
    fn deadline(&mut self, key: WorkKey, out: &mut Actions) {
        let (reason, proof) = (NotRunReason::Deadline, NotRunProof::NeverSent);
        self.give_up(key, reason, proof, out);
    }
}
