//! The entries that a gate serves, and the starts that they cancelled before they arrived.

use std::collections::{HashMap, HashSet};

use hemlock_types::prelude::*;

use crate::event::LinkId;

/// What a gate knows of one entry.
#[derive(Debug, Default)]
struct Entry {
    /// Open links of the entry.
    links: u16,
    /// The highest request id that has arrived.
    highest: Option<RequestId>,
    /// Starts that were cancelled before they arrived.
    revoked: HashSet<RequestId>,
    /// When its last link closed.
    left: Instant,
}

/// The entries by incarnation, and their links.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    links: HashMap<LinkId, Incarnation>,
    entries: HashMap<Incarnation, Entry>,
}

impl Entries {
    pub(crate) fn open(&mut self, link: LinkId, entry: Incarnation) {
        self.links.insert(link, entry);
        self.entries.entry(entry).or_default().links += 1;
    }

    pub(crate) fn close(&mut self, now: Instant, link: LinkId) {
        let entry = self.links.remove(&link);
        if let Some(entry) = entry.and_then(|entry| self.entries.get_mut(&entry)) {
            entry.links -= 1;
            entry.left = now;
        }
    }

    /// Whether the link is open.
    pub(crate) fn is_open(&self, link: LinkId) -> bool {
        self.links.contains_key(&link)
    }

    /// Every open link.
    pub(crate) fn links(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.links.keys().copied()
    }

    /// Notes that a start has arrived. Says whether it had been revoked.
    pub(crate) fn arrive(&mut self, link: LinkId, request: RequestId) -> bool {
        let entry = self.links.get(&link);
        let Some(entry) = entry.and_then(|entry| self.entries.get_mut(entry)) else {
            return false;
        };
        entry.highest = entry.highest.max(Some(request));
        !entry.revoked.is_empty() && entry.revoked.remove(&request)
    }

    /// Revokes a start that has not arrived. Says whether that is certain: a start whose id is
    /// not above every one that has arrived may have been served.
    pub(crate) fn revoke(&mut self, link: LinkId, request: RequestId, bound: usize) -> bool {
        let entry = self.links.get(&link);
        let Some(entry) = entry.and_then(|entry| self.entries.get_mut(entry)) else {
            return false;
        };
        if entry.revoked.contains(&request) {
            return true;
        }
        if entry.highest >= Some(request) || entry.revoked.len() >= bound {
            return false;
        }
        entry.revoked.insert(request)
    }

    /// Forgets the entries that left more than `retention` ago.
    pub(crate) fn expire(&mut self, now: Instant, retention: DurationMs) {
        self.entries
            .retain(|_, entry| entry.links > 0 || entry.left + retention > now);
    }
}
