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
                Timer::ClaimAgain(work) => self.claim_again(now, work, out),
                Timer::FenceAgain(work) => self.fence_again(now, work, out),
                Timer::Straggling(flight) => self.straggling(now, flight, out),
                Timer::Release(flight) => self.release_lost(flight),
                Timer::Probation(endpoint) => self.begin_probation(now, endpoint),
                Timer::Reopen(endpoint) => self.reopen(now, endpoint, out),
                Timer::Wants(service) => {
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
