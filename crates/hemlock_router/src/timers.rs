//! Timers of the router.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hemlock_types::prelude::*;

use crate::event::CallId;
use crate::fleet::EndpointKey;
use crate::queue::ServiceKey;
use crate::start_table::StartKey;
use crate::work::WorkKey;

/// Action to take when a timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Admitted work reaches its deadline.
    Deadline(WorkKey),
    /// One caller that joined running work reaches its own deadline.
    CallDeadline(WorkKey, CallId),
    /// A submission is claimed again.
    RetryClaim(WorkKey),
    /// Fences are sent again to agents that have not answered or still run tasks.
    RetryFence(WorkKey),
    /// A start that is still in flight becomes a straggler.
    CheckStraggler(StartKey),
    /// A start of unknown outcome stops counting against its contract.
    ReleaseLostStart(StartKey),
    /// An ejection ends and probation begins.
    BeginProbation(EndpointKey),
    /// The pause of an endpoint that refused or lost a start ends.
    EndPause(EndpointKey),
    /// The slots requested for a service are reviewed.
    RefreshWants(ServiceKey),
}

/// Timers ordered by time, then by the order in which they were set.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Instant, u64, Timer)>>,
    sequence: u64,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Instant, timer: Timer) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, timer)));
    }

    /// Removes and returns the next timer that is due.
    pub fn pop_due(&mut self, now: Instant) -> Option<Timer> {
        let Reverse((at, _, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, timer))| timer)
    }

    /// When the next timer is due.
    pub fn next(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _, _))| *at)
    }
}
