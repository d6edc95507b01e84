//! Credits: the right of an entry to have a start accepted, dealt to where the work is.
//!
//! A credit reserves an idle slot for one entry. The book hands idle slots first to entries
//! that wait, in the order in which they asked, then back to the entry that used the slot
//! last. A credit that nobody has asked for never blocks anyone: an entry that waits, or that
//! starts without a credit, takes the reservation of whoever has been idle longest. The loser
//! is told by a recall, and a start that crosses it on the way is served like any start
//! without a credit.

mod account;
mod dealt;
mod none;

use hemlock_types::prelude::*;

use crate::event::LinkId;

pub use dealt::DealtCredits;
pub use none::NoCredits;

/// What a deal changes: credits to grant and to recall, by link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Deal {
    /// Credits to grant.
    pub granted: Vec<(LinkId, u16)>,
    /// Credits to recall.
    pub recalled: Vec<(LinkId, u16)>,
}

impl Deal {
    pub(super) fn grant(&mut self, link: LinkId) {
        count(&mut self.granted, link);
    }

    pub(super) fn recall(&mut self, link: LinkId) {
        count(&mut self.recalled, link);
    }

    /// Forgets the changes, keeping the memory.
    pub fn clear(&mut self) {
        self.granted.clear();
        self.recalled.clear();
    }
}

fn count(counts: &mut Vec<(LinkId, u16)>, link: LinkId) {
    match counts.iter_mut().find(|(known, _)| *known == link) {
        Some((_, number)) => *number += 1,
        None => counts.push((link, 1)),
    }
}

/// Who the idle slots of a deal may go to when nobody waits for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spare {
    /// Nobody: they stay unreserved.
    Keep,
    /// The link whose task has just ended.
    To(LinkId),
    /// Every link in turn.
    Spread,
    /// A link that has just opened, which also gets its part of what the others hold.
    Share(LinkId),
}

/// A rule that deals idle slots to the entries' links.
pub trait CreditPolicy: Send {
    /// An entry has connected.
    fn open(&mut self, link: LinkId);
    /// A link is closed; its credits are void.
    fn close(&mut self, link: LinkId);
    /// The link is silent: its credits are recalled and it gets none until it is heard.
    fn silence(&mut self, link: LinkId, out: &mut Deal);
    /// The silent link is heard again.
    fn hear(&mut self, link: LinkId);
    /// The link's round trip took `micros` microseconds.
    fn note_round_trip(&mut self, link: LinkId, micros: u64);
    /// The entry has `count` tasks waiting.
    fn want(&mut self, now: Instant, link: LinkId, count: u16);
    /// A start has arrived; it uses a credit if the link holds one. Says whether it did.
    fn consume(&mut self, now: Instant, link: LinkId) -> bool;
    /// A recall of `asked` credits was answered with `slots` returned.
    fn returned(&mut self, link: LinkId, asked: u16, slots: u16);
    /// Deals so that the reservations fit `idle` slots.
    fn deal(&mut self, now: Instant, idle: u16, spare: Spare, out: &mut Deal);
    /// Makes every credit and want void.
    fn void(&mut self);
    /// Slots reserved now.
    fn reserved(&self) -> u16;
    /// Links that wait for a slot.
    fn waiting(&self) -> usize;
    /// When a deal may find more to do, if the time alone can change that.
    fn next_wakeup(&self) -> Option<Instant>;
}
