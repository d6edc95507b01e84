//! Credits, which let entries start tasks without asking first.
//!
//! A credit reserves one idle slot for one entry. The policy grants idle slots first to entries
//! with waiting tasks, in the order in which they asked, and then to the entry that used the slot
//! last. A credit that no entry has asked for never blocks another entry: an entry with waiting
//! tasks, or one that starts a task without a credit, takes the slot reserved by the least
//! recently used link. That link's entry is informed by a recall. If it sends a start before the
//! recall arrives, the gate handles it like any start without a credit.

mod account;
mod none;
mod reserving;

use hemlock_types::prelude::*;

use crate::event::LinkId;

pub use none::NoCredits;
pub use reserving::ReservingCredits;

/// Credits to grant and to recall, by link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CreditChanges {
    /// Credits to grant.
    pub granted: Vec<(LinkId, u16)>,
    /// Credits to recall.
    pub recalled: Vec<(LinkId, u16)>,
}

impl CreditChanges {
    pub(super) fn grant(&mut self, link: LinkId) {
        increment(&mut self.granted, link);
    }

    pub(super) fn recall(&mut self, link: LinkId) {
        increment(&mut self.recalled, link);
    }

    /// Removes all changes but keeps the allocated capacity.
    pub fn clear(&mut self) {
        self.granted.clear();
        self.recalled.clear();
    }
}

fn increment(counts: &mut Vec<(LinkId, u16)>, link: LinkId) {
    match counts.iter_mut().find(|(counted, _)| *counted == link) {
        Some((_, count)) => *count += 1,
        None => counts.push((link, 1)),
    }
}

/// Links that are granted the surplus, which is the idle slots for which no entry waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Surplus {
    /// No link; the slots stay unreserved.
    None,
    /// The link whose task has just ended.
    To(LinkId),
    /// All links, in round-robin order.
    RoundRobin,
    /// All links in round-robin order, after which credits of other links move to this link,
    /// which has just opened, until it holds an even share.
    Rebalance(LinkId),
}

/// Policy that decides which links hold credits for the idle slots.
pub trait CreditPolicy: Send {
    /// Adds the link of an entry that has connected.
    fn open(&mut self, link: LinkId);
    /// Removes a closed link; its credits are void.
    fn close(&mut self, link: LinkId);
    /// Recalls all credits of a link that does not answer heartbeats. The link is granted none
    /// until [`resume`](Self::resume).
    fn suspend(&mut self, link: LinkId, out: &mut CreditChanges);
    /// Allows grants to a suspended link again, because it answers heartbeats.
    fn resume(&mut self, link: LinkId);
    /// Records a round trip of `micros` microseconds on the link.
    fn record_round_trip(&mut self, link: LinkId, micros: u64);
    /// Sets the number of the entry's tasks that wait for a slot.
    fn set_waiting_tasks(&mut self, now: Instant, link: LinkId, count: u16);
    /// Uses one credit, if the link holds one, for a start that has arrived. Returns whether a
    /// credit was used.
    fn consume(&mut self, now: Instant, link: LinkId) -> bool;
    /// Handles the answer to a recall of `asked` credits, of which `slots` were returned.
    fn handle_returned(&mut self, link: LinkId, asked: u16, slots: u16);
    /// Grants and recalls credits so that at most `idle` slots are reserved.
    fn assign(&mut self, now: Instant, idle: u16, surplus: Surplus, out: &mut CreditChanges);
    /// Voids all credits and forgets which entries wait.
    fn clear(&mut self);
    /// Number of slots that credits reserve.
    fn reserved(&self) -> u16;
    /// Number of links in the queue for a slot.
    fn waiting(&self) -> usize;
    /// Time at which [`assign`](Self::assign) may change something without any other event, if
    /// there is one.
    fn next_wakeup(&self) -> Option<Instant>;
}
