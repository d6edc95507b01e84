//! Postponement of queued starts that can't be on time.
//!
//! Load pattern: a burst of urgent jobs, or a hot rack, with queues about as long as the slack. By
//! due time, the start that has waited longest goes first, even when it ends late in any case, and
//! those behind it become late one after the other. A start that can't be on time is moved behind
//! those of its priority that can.
//!
//! The runner decides alone, from the due time and the expected duration in the order. The wait
//! stays bounded: the start keeps its priority, its new due time is fixed, and each newer start has
//! a later due time sooner or later. Its job counts as useless only after three times its objective.

use hemlock_types::time::{DurationMs, Instant};

use crate::tracked_run::{QueuePosition, QueuedStart};

/// Largest factor by which a declared duration is assumed to exceed the true one.
const MAX_OVERESTIMATE_FACTOR: u64 = 2;
/// Urgency class of starts whose job can be on time.
const ON_TIME_CLASS: u8 = 0;

/// The position of a start that has just become the first of the queue and can't be on time any
/// more. `None` if it stays first: it can be on time, or has been postponed before.
pub(super) fn postponed(now: Instant, queued: &QueuedStart) -> Option<QueuePosition> {
    let order = &queued.order;
    let due = queued.position.due;
    let was_postponed = due != queued.ordered_due;
    let left_ms = due.since(now).as_ms();
    let can_be_on_time = left_ms >= order.expected_ms / MAX_OVERESTIMATE_FACTOR;
    if order.urgency.class != ON_TIME_CLASS || was_postponed || can_be_on_time {
        return None;
    }
    let delay_ms = order.urgency.due_in_ms.max(order.expected_ms);
    Some(QueuePosition {
        due: due + DurationMs::new(delay_ms),
        ..queued.position
    })
}
