//! What the router has to look at later.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hemlock_types::prelude::*;

use crate::event::CallId;
use crate::fleet::EndpointKey;
use crate::flight::FlightKey;
use crate::queue::ServiceKey;
use crate::work::WorkKey;

/// One thing to look at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The deadline of admitted work.
    Deadline(WorkKey),
    /// The deadline of one caller that joined running work.
    CallDeadline(WorkKey, CallId),
    /// The claim is asked for again.
    ClaimAgain(WorkKey),
    /// Fenced agents are asked again.
    FenceAgain(WorkKey),
    /// A start may be a straggler.
    Straggling(FlightKey),
    /// A start of unknown outcome no longer counts against its contract.
    Release(FlightKey),
    /// An ejection ends.
    Probation(EndpointKey),
    /// An endpoint that refused a start is tried again.
    Reopen(EndpointKey),
    /// The slots asked for are looked at again.
    Wants(ServiceKey),
}

/// Timers by time, then in the order in which they were set.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(Instant, u64, Timer)>>,
    set: u64,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Instant, timer: Timer) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, timer)));
    }

    /// Takes out the next timer that is due.
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
