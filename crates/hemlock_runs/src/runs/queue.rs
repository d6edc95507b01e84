//! Starts that wait for room at the instance.
//!
//! Answers the load pattern of several owners that place work on one instance at the same moment:
//! what doesn't fit waits here for the next end, in the order of urgency, instead of going back and
//! forth.

use hemlock_dispatch::prelude::{RefusalReason, StartOrder};
use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::{DriverCall, RefusedStart, RunOutcome, Runs};
use crate::driver::StartCall;
use crate::entry::{Entry, Owner, Phase, QueuedStart};

/// Starts that may wait.
const MAX_QUEUED: usize = 256;

impl Runs {
    /// Puts a start into the queue.
    pub(super) fn enqueue(&mut self, owner: Owner, order: StartOrder) -> Result<(), RefusalReason> {
        if self.queued.len() >= MAX_QUEUED {
            return Err(RefusalReason::NoRoom);
        }
        self.queued_needs.add(&order.needs);
        self.queued_work[order.urgency.level()] += order.work();
        self.queue.insert((order.urgency, order.task));
        let task = order.task;
        self.queued.insert(task, QueuedStart { owner, order });
        Ok(())
    }

    /// Takes a start out of the queue.
    pub(super) fn dequeue(&mut self, task: TaskKey) -> Option<QueuedStart> {
        let queued = self.queued.remove(&task)?;
        self.queue.remove(&(queued.order.urgency, task));
        self.queued_needs.subtract(&queued.order.needs);
        self.queued_work[queued.order.urgency.level()] -= queued.order.work();
        Some(queued)
    }

    /// Starts what fits, the most urgent first. A start that doesn't fit holds back those behind
    /// it, so that large tasks aren't passed over for ever.
    pub fn start_queued(&mut self, now: Instant) -> Vec<DriverCall> {
        let mut calls = Vec::new();
        while let Some((_, task)) = self.queue.first().copied() {
            let Some(queued) = self.queued.get(&task) else {
                break;
            };
            let needs = queued.order.needs;
            if self.has_unclaimed() || !self.has_room(&needs) || self.table.contains_key(&task) {
                break;
            }
            let Some(lease_until_ms) = self.take_start_lease(now) else {
                break;
            };
            let Some(queued) = self.dequeue(task) else {
                break;
            };
            let entry = Entry {
                owner: Some(queued.owner),
                run: queued.order.run,
                needs: Some(needs),
                expected_ms: queued.order.expected_ms,
                stall_after_ms: queued.order.stall_after_ms,
                began_at: None,
                phase: Phase::Starting,
            };
            self.insert(task, entry);
            assert!(
                self.instance
                    .as_ref()
                    .is_some_and(|instance| instance.capacity.fits(&self.used)),
                "what runs never passes the instance's capacity"
            );
            calls.push(DriverCall::Start(StartCall {
                task,
                run: queued.order.run,
                payload: queued.order.payload,
                lease_until_ms,
                fence: self.fence,
            }));
        }
        calls
    }

    fn has_room(&self, needs: &Resources) -> bool {
        self.instance()
            .is_some_and(|instance| instance.capacity.saturating_sub(&self.used).fits(needs))
    }

    /// Gives back every start that waits.
    pub(super) fn refuse_queue(&mut self, reason: RefusalReason) {
        let tasks: Vec<TaskKey> = self.queued.keys().copied().collect();
        for task in tasks {
            if let Some(queued) = self.dequeue(task) {
                let run = queued.order.run;
                let refused = RefusedStart { task, run, reason };
                self.outbox
                    .push((queued.owner, RunOutcome::Refused(refused)));
            }
        }
    }

    /// Drops the waiting starts of an owner, which is told nothing.
    pub(super) fn drop_queued_of(&mut self, owner: Owner) {
        let of_owner =
            |(task, queued): (&TaskKey, &QueuedStart)| (queued.owner == owner).then_some(*task);
        let tasks: Vec<TaskKey> = self.queued.iter().filter_map(of_owner).collect();
        for task in tasks {
            self.dequeue(task);
        }
    }
}
