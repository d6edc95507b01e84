//! Demand and shares of one entry for one customer.

use std::collections::VecDeque;

use hemlock_types::prelude::*;

/// A share that was allocated to the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    /// Sequence number of the allocation.
    seq: u64,
    count: u32,
    until: Instant,
}

/// Demand of one entry for one customer, and the shares that the entry may still use.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareAccount {
    running: u32,
    queued: u32,
    /// Shares that the entry may still use, oldest first.
    grants: VecDeque<Grant>,
}

impl ShareAccount {
    /// Sets the entry's demand. Returns whether it changed.
    pub(crate) fn set_demand(&mut self, running: u32, queued: u32) -> bool {
        let changed = (running, queued) != (self.running, self.queued);
        self.running = running;
        self.queued = queued;
        changed
    }

    /// Returns the number of tasks that the entry runs or has queued.
    pub(crate) fn demand(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }

    /// Returns the number of running tasks in the entry's latest report.
    pub(crate) fn running(&self) -> u32 {
        self.running
    }

    /// Returns the latest share; 0 if it has expired.
    pub(crate) fn current(&self, now: Instant) -> u32 {
        match self.grants.back() {
            Some(grant) if now < grant.until => grant.count,
            _ => 0,
        }
    }

    /// Returns the largest number of tasks that the entry may be running now: the largest share
    /// that it may still use, but at least the number of tasks that it reported as running.
    pub(crate) fn outstanding(&self, now: Instant) -> u32 {
        let largest = self
            .grants
            .iter()
            .filter(|grant| now < grant.until)
            .map(|grant| grant.count)
            .max();
        largest.unwrap_or(0).max(self.running)
    }

    /// Records a share that is allocated to the entry.
    pub(crate) fn grant(&mut self, now: Instant, seq: u64, count: u32, until: Instant) {
        self.grants.retain(|grant| now < grant.until);
        self.grants.push_back(Grant { seq, count, until });
    }

    /// Removes the shares from before allocation `seen`, which the entry has received. The entry
    /// does not use an earlier share again.
    pub(crate) fn acknowledge(&mut self, seen: u64) {
        while let Some(grant) = self.grants.front()
            && grant.seq < seen
        {
            self.grants.pop_front();
        }
    }
}
