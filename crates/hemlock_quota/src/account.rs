//! What one entry may be holding of one customer's limit.

use std::collections::VecDeque;

use hemlock_types::prelude::*;

/// One deal of one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    seq: u64,
    count: u32,
    until: Instant,
}

/// One entry's account with one customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    running: u32,
    queued: u32,
    grants: VecDeque<Grant>,
}

impl Account {
    /// Takes the entry's demand, and tells whether it changed.
    pub(crate) fn set_demand(&mut self, running: u32, queued: u32) -> bool {
        let changed = (running, queued) != (self.running, self.queued);
        self.running = running;
        self.queued = queued;
        changed
    }

    /// Tasks that the entry runs or would run.
    pub(crate) fn want(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }

    /// Tasks that the entry last reported as running.
    pub(crate) fn running(&self) -> u32 {
        self.running
    }

    /// The latest unexpired share.
    pub(crate) fn current(&self, now: Instant) -> u32 {
        match self.grants.back() {
            Some(grant) if now < grant.until => grant.count,
            _ => 0,
        }
    }

    /// Most tasks that the entry may be running now: the largest share that it may still go by,
    /// and never less than what it says it runs.
    pub(crate) fn outstanding(&self, now: Instant) -> u32 {
        let largest = self
            .grants
            .iter()
            .filter(|grant| now < grant.until)
            .map(|grant| grant.count)
            .max();
        largest.unwrap_or(0).max(self.running)
    }

    /// Records a share that the entry is dealt.
    pub(crate) fn grant(&mut self, now: Instant, seq: u64, count: u32, until: Instant) {
        self.grants.retain(|grant| now < grant.until);
        self.grants.push_back(Grant { seq, count, until });
    }

    /// The entry has taken deal `seen`: it goes by no earlier one again.
    pub(crate) fn acknowledge(&mut self, seen: u64) {
        while let Some(grant) = self.grants.front()
            && grant.seq < seen
        {
            self.grants.pop_front();
        }
    }
}
