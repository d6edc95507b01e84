//! Queue of starts that wait for free capacity at the instance.
//!
//! Several owners may place work on one instance at the same moment. Starts that do not fit wait
//! here for the next end, in order of urgency, instead of being refused and ordered again.

use hemlock_dispatch::prelude::{RefusalReason, StartOrder};
use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::postponement::postponed;
use super::{DriverCall, RefusedStart, RunOutcome, Runs};
use crate::driver::StartCall;
use crate::tracked_run::{Owner, Phase, QueuePosition, QueuedStart, TrackedRun};

/// Maximum number of queued starts; further ones are refused.
const MAX_QUEUED_STARTS: usize = 256;

impl Runs {
    /// Adds a start to the queue, or refuses it if the queue is full.
    pub(super) fn enqueue(
        &mut self,
        now: Instant,
        owner: Owner,
        order: StartOrder,
    ) -> Result<(), RefusalReason> {
        if self.queued.len() >= MAX_QUEUED_STARTS {
            return Err(RefusalReason::NoRoom);
        }
        self.shares.note_ordered(now, owner, order.work());
        self.queued_needs.add(&order.needs);
        self.queued_work[order.urgency.level()] += order.work();
        let task = order.task;
        let position = QueuePosition::new(now, &order.urgency, task);
        self.queue_order.insert(position);
        let queued = QueuedStart {
            owner,
            order,
            position,
            ordered_due: position.due,
        };
        self.queued.insert(task, queued);
        Ok(())
    }

    /// Removes the task's start from the queue.
    pub(super) fn dequeue(&mut self, task: TaskKey) -> Option<QueuedStart> {
        let queued = self.queued.remove(&task)?;
        self.queue_order.remove(&queued.position);
        self.queued_needs.subtract(&queued.order.needs);
        self.queued_work[queued.order.urgency.level()] -= queued.order.work();
        Some(queued)
    }

    fn move_to(&mut self, task: TaskKey, position: QueuePosition) {
        if let Some(queued) = self.queued.get_mut(&task) {
            self.queue_order.remove(&queued.position);
            queued.position = position;
            self.queue_order.insert(position);
        }
    }

    /// Starts queued tasks that fit, the most urgent first.
    ///
    /// A start that does not fit blocks those behind it, so that smaller tasks do not starve large
    /// ones.
    pub fn start_queued(&mut self, now: Instant) -> Vec<DriverCall> {
        let mut calls = Vec::new();
        while let Some(QueuePosition { task, .. }) = self.queue_order.first().copied() {
            let Some(queued) = self.queued.get(&task) else {
                break;
            };
            // The timer that ends sessions may be behind after a suspension, and the owner may have
            // given up the start since.
            if !self.has_session(queued.owner, now) {
                self.dequeue(task);
                continue;
            }
            if let Some(position) = postponed(now, queued) {
                self.move_to(task, position);
                continue;
            }
            let needs = queued.order.needs;
            if self.has_unclaimed()
                || !self.breaker.admits()
                || self.is_evacuated()
                || !self.has_free_capacity(&needs)
                || self.table.contains_key(&task)
            {
                break;
            }
            let Some(lease_until_ms) = self.lease_for_start(now) else {
                break;
            };
            let Some(queued) = self.dequeue(task) else {
                break;
            };
            let tracked = TrackedRun {
                owner: Some(queued.owner),
                run: queued.order.run,
                is_certain: true,
                queue: Some(queued.order.queue),
                needs: Some(needs),
                expected_ms: queued.order.expected_ms,
                stall_after_ms: queued.order.stall_after_ms,
                started_at: None,
                end_if_unanswered: None,
                phase: Phase::Starting,
            };
            self.insert(task, tracked);
            self.breaker.note_started(task);
            assert!(
                self.instance
                    .as_ref()
                    .is_some_and(|instance| instance.capacity.fits(&self.used)),
                "runs must not exceed the instance's capacity"
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

    fn has_free_capacity(&self, needs: &Resources) -> bool {
        let mut total = self.used;
        total.add(needs);
        self.instance()
            .is_some_and(|instance| instance.capacity.fits(&total))
    }

    /// Refuses the queued starts that the instance can't run any more, however idle it is, because
    /// its capacity has shrunk. They would block those behind them.
    pub(super) fn refuse_oversized_starts(&mut self) {
        let Some(capacity) = self.instance.as_ref().map(|instance| instance.capacity) else {
            return;
        };
        let queued = self.queued.iter();
        let oversized = queued.filter(|(_, queued)| !capacity.fits(&queued.order.needs));
        let tasks: Vec<TaskKey> = oversized.map(|(task, _)| *task).collect();
        for task in tasks {
            self.refuse_queued(task, RefusalReason::NoRoom);
        }
    }

    /// Refuses every queued start and reports that to its owner.
    pub(super) fn refuse_queue(&mut self, reason: RefusalReason) {
        let tasks: Vec<TaskKey> = self.queued.keys().copied().collect();
        for task in tasks {
            self.refuse_queued(task, reason);
        }
    }

    fn refuse_queued(&mut self, task: TaskKey, reason: RefusalReason) {
        if let Some(queued) = self.dequeue(task) {
            let run = queued.order.run;
            let refused = RefusedStart { task, run, reason };
            self.outbox
                .push((queued.owner, RunOutcome::Refused(refused)));
        }
    }

    /// Removes an owner's queued starts without reporting that to the owner.
    pub(super) fn drop_queued_starts(&mut self, owner: Owner) {
        let of_owner =
            |(task, queued): (&TaskKey, &QueuedStart)| (queued.owner == owner).then_some(*task);
        let tasks: Vec<TaskKey> = self.queued.iter().filter_map(of_owner).collect();
        for task in tasks {
            self.dequeue(task);
        }
    }
}
