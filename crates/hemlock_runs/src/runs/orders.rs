//! Processing of the owners' orders and of the instance's answers to starts and stops.

use hemlock_dispatch::prelude::{Order, RefusalReason, StopOrder};
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use super::lease::RESUBMIT_MARGIN_MS;
use super::{DriverCall, RefusedStart, RunOutcome, Runs};
use crate::driver::{StartCall, StartResult, StopCall, StopResult};
use crate::tracked_run::{Owner, Phase, TrackedRun};

/// Age of an order up to which its starts are accepted in any case, in milliseconds.
const MIN_ORDER_AGE_MS: u64 = 100;

impl Runs {
    /// Handles an owner's order that was sent just now.
    pub fn handle_order(
        &mut self,
        now: Instant,
        owner: Owner,
        order: Order,
    ) -> (Vec<DriverCall>, Vec<RefusedStart>) {
        self.handle_order_sent(now, now, owner, order)
    }

    /// Handles an owner's order that was sent at `sent_at`. Returns the calls that execute it and the
    /// starts that are refused.
    pub fn handle_order_sent(
        &mut self,
        now: Instant,
        sent_at: Instant,
        owner: Owner,
        order: Order,
    ) -> (Vec<DriverCall>, Vec<RefusedStart>) {
        let in_session = self.is_in_session(owner, order.session, now);
        if let Some(state) = self.owners.get_mut(&owner).filter(|_| in_session) {
            state.last_order = state.last_order.max(order.sequence);
            if owner != Owner::Leader {
                self.note_sign(owner, sent_at);
            }
        }
        let mut calls = Vec::new();
        let mut refused = Vec::new();
        if in_session {
            let stops = order.stops.into_iter();
            calls.extend(stops.filter_map(|stop| self.stop(now, owner, stop)));
        }
        let for_instance = self.accepts_starts_for(&order.instance);
        let is_timely = owner == Owner::Leader || now <= sent_at + self.max_order_age();
        for start in order.starts {
            let (task, run) = (start.task, start.run);
            let result = match (in_session && is_timely, for_instance) {
                (false, _) => Err(RefusalReason::Session),
                (true, false) => Err(RefusalReason::NoInstance),
                _ if !start.is_usable() => Err(RefusalReason::NoRoom),
                _ if self.is_evacuated() => Err(RefusalReason::Evacuated),
                _ if self.is_known(task) => Err(RefusalReason::Outdated),
                _ if !self.fits_instance(&start.needs) => Err(RefusalReason::NoRoom),
                _ if !self.may_enqueue() => Err(RefusalReason::Suspended),
                _ if !self.admits_while_cold(now, &start.needs) => Err(RefusalReason::NoRoom),
                _ => self.enqueue(now, owner, start),
            };
            if let Err(reason) = result {
                refused.push(RefusedStart { task, run, reason });
            }
        }
        calls.extend(self.start_queued(now));
        (calls, refused)
    }

    /// Greatest age of a gateway's order whose starts are accepted. The lease in force may have been
    /// renewed just now, and lets the runs of an older order go on for too long.
    fn max_order_age(&self) -> DurationMs {
        let limit_ms = self.settings.resubmit_ms.saturating_sub(RESUBMIT_MARGIN_MS);
        let left_ms = limit_ms.saturating_sub(self.longest_lease().as_ms());
        DurationMs::new(left_ms.max(MIN_ORDER_AGE_MS))
    }

    fn is_known(&self, task: TaskKey) -> bool {
        self.table.contains_key(&task) || self.queued.contains_key(&task)
    }

    /// Whether the circuit breaker lets another start wait for capacity.
    fn may_enqueue(&self) -> bool {
        self.breaker.is_closed() || (self.breaker.admits() && self.queued.is_empty())
    }

    fn fits_instance(&self, needs: &Resources) -> bool {
        self.instance()
            .is_some_and(|instance| instance.capacity.fits(needs))
    }

    /// Stops a run on its owner's order, or removes it from the queue if it has not been started.
    pub(super) fn stop(
        &mut self,
        now: Instant,
        owner: Owner,
        order: StopOrder,
    ) -> Option<DriverCall> {
        let (task, run) = (order.task, order.run);
        let is_ordered_run = |queued: &crate::tracked_run::QueuedStart| {
            queued.owner == owner && queued.order.run == run
        };
        if self.queued.get(&task).is_some_and(is_ordered_run) {
            self.dequeue(task);
            let reason = RefusalReason::Withdrawn;
            let refused = RefusedStart { task, run, reason };
            self.outbox.push((owner, RunOutcome::Refused(refused)));
            return None;
        }
        let known = self.table.get(&task).copied()?;
        let is_owner = known.owner.is_none_or(|current| current == owner);
        (is_owner && known.run == run)
            .then(|| self.begin_stop(now, task, false))
            .flatten()
    }

    /// Begins to stop the task's run. Returns `None` if the task has no run, or if its run is being
    /// stopped already.
    pub(super) fn begin_stop(
        &mut self,
        now: Instant,
        task: TaskKey,
        stalled: bool,
    ) -> Option<DriverCall> {
        let tracked = self.table.get(&task).copied()?;
        let started = match tracked.phase {
            Phase::Stopping { .. } => return None,
            Phase::Starting => false,
            Phase::Running(_) => true,
        };
        self.set_phase(
            task,
            Phase::Stopping {
                started,
                accepted: None,
                since: now,
                stalled,
            },
        );
        let (run, fence) = (tracked.run, self.fence);
        Some(DriverCall::Stop(StopCall { task, run, fence }))
    }

    /// Handles the instance's answer to a start. Returns a call that must follow.
    pub fn start_answered(
        &mut self,
        now: Instant,
        call: &StartCall,
        result: StartResult,
    ) -> Option<DriverCall> {
        let (task, run) = (call.task, call.run);
        let tracked = self.table.get(&task).copied();
        let tracked = tracked.filter(|tracked| tracked.run == run)?;
        match (result, tracked.phase) {
            (StartResult::Unanswered | StartResult::Fenced, Phase::Starting)
                if tracked.end_if_unanswered.is_some() =>
            {
                self.end_lost_start(now, task, tracked);
                None
            }
            (StartResult::Started, Phase::Starting) => {
                self.mark_running(now, task);
                None
            }
            (
                StartResult::Started,
                Phase::Stopping {
                    accepted,
                    since,
                    stalled,
                    ..
                },
            ) => {
                let started = true;
                self.set_phase(
                    task,
                    Phase::Stopping {
                        started,
                        accepted,
                        since,
                        stalled,
                    },
                );
                None
            }
            (StartResult::Refused(reason), Phase::Starting) => {
                self.remove(task);
                match reason {
                    RefusalReason::Unhealthy => self.note_failure(now, task),
                    _ => self.breaker.record_other_end(task),
                }
                let refused = RefusedStart { task, run, reason };
                let owner = tracked.owner;
                self.outbox
                    .extend(owner.map(|owner| (owner, RunOutcome::Refused(refused))));
                None
            }
            // The start may still be executed later; a stop makes the instance refuse it.
            (StartResult::Unanswered | StartResult::Fenced, Phase::Starting) => {
                self.begin_stop(now, task, false)
            }
            _ => None,
        }
    }

    /// Handles the instance's answer to a stop.
    pub fn stop_answered(&mut self, now: Instant, call: &StopCall, result: StopResult) {
        let tracked = self.table.get(&call.task).copied();
        let current = tracked.filter(|tracked| tracked.run == call.run);
        let phase = current.map(|tracked| tracked.phase);
        let Some(Phase::Stopping {
            started,
            since,
            stalled,
            ..
        }) = phase
        else {
            return;
        };
        match result {
            StopResult::Accepted => self.set_phase(
                call.task,
                Phase::Stopping {
                    started,
                    accepted: Some(now),
                    since,
                    stalled,
                },
            ),
            StopResult::Unanswered | StopResult::Fenced => {
                self.stop_retries.insert(call.task);
            }
        }
    }

    /// Removes and returns the stops that failed and must be sent again.
    ///
    /// They wait while the instance answers no listing either, because no lease is extended
    /// meanwhile and their runs end without them.
    pub fn take_stop_retries(&mut self, now: Instant) -> Vec<DriverCall> {
        if !self.is_answering(now) {
            return Vec::new();
        }
        let fence = self.fence;
        let retries = std::mem::take(&mut self.stop_retries);
        let call = |task: TaskKey| {
            let run = self.table.get(&task)?.run;
            Some(DriverCall::Stop(StopCall { task, run, fence }))
        };
        retries.into_iter().filter_map(call).collect()
    }
}

/// Creates the record of a run without a known owner: an earlier process of this agent started it,
/// or its start was executed late.
pub(super) fn unclaimed_run(run: RunNumber, phase: Phase) -> TrackedRun {
    TrackedRun {
        owner: None,
        run,
        is_certain: false,
        queue: None,
        needs: None,
        expected_ms: 0,
        stall_after_ms: 0,
        started_at: None,
        end_if_unanswered: None,
        phase,
    }
}
