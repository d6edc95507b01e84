//! Connected entries, and requests that they cancelled before the requests arrived.

use std::collections::{HashMap, HashSet};

use hemlock_types::prelude::*;

use crate::event::LinkId;

/// State of one entry.
#[derive(Debug, Default)]
struct Entry {
    /// Number of open links of the entry.
    open_links: u16,
    /// Highest request id that has arrived.
    highest_request: Option<RequestId>,
    /// Requests that were cancelled before they arrived.
    revoked: HashSet<RequestId>,
    /// Time at which a link of the entry was last closed.
    last_closed: Instant,
}

/// Entries by incarnation, and the entry of each open link.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    links: HashMap<LinkId, Incarnation>,
    entries: HashMap<Incarnation, Entry>,
}

impl Entries {
    /// Adds an open link of `entry`.
    pub(crate) fn open(&mut self, link: LinkId, entry: Incarnation) {
        self.links.insert(link, entry);
        self.entries.entry(entry).or_default().open_links += 1;
    }

    /// Removes a closed link. Its entry is kept until [`expire`](Self::expire).
    pub(crate) fn close(&mut self, now: Instant, link: LinkId) {
        let entry = self.links.remove(&link);
        if let Some(entry) = entry.and_then(|entry| self.entries.get_mut(&entry)) {
            entry.open_links -= 1;
            entry.last_closed = now;
        }
    }

    /// Returns whether the link is open.
    pub(crate) fn is_open(&self, link: LinkId) -> bool {
        self.links.contains_key(&link)
    }

    /// Returns every open link.
    pub(crate) fn links(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.links.keys().copied()
    }

    /// Records the arrival of a request. Returns whether the request was revoked before.
    pub(crate) fn record_arrival(&mut self, link: LinkId, request: RequestId) -> bool {
        let entry = self.links.get(&link);
        let Some(entry) = entry.and_then(|entry| self.entries.get_mut(entry)) else {
            return false;
        };
        entry.highest_request = entry.highest_request.max(Some(request));
        !entry.revoked.is_empty() && entry.revoked.remove(&request)
    }

    /// Revokes a request that has not arrived, so that it is refused when it does. Returns `false`
    /// if the request may have been handled already, because its id is not above the highest that
    /// has arrived, or if the entry has `max_revoked` revoked requests.
    pub(crate) fn revoke(&mut self, link: LinkId, request: RequestId, max_revoked: usize) -> bool {
        let entry = self.links.get(&link);
        let Some(entry) = entry.and_then(|entry| self.entries.get_mut(entry)) else {
            return false;
        };
        if entry.revoked.contains(&request) {
            return true;
        }
        if entry.highest_request >= Some(request) || entry.revoked.len() >= max_revoked {
            return false;
        }
        entry.revoked.insert(request)
    }

    /// Removes the entries that have had no open link for `retention`.
    pub(crate) fn expire(&mut self, now: Instant, retention: DurationMs) {
        self.entries
            .retain(|_, entry| entry.open_links > 0 || entry.last_closed + retention > now);
    }
}
