//! What a keeper holds only while it leads.

use std::collections::BTreeMap;

use hemlock_directory::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{EntrySync, KeeperReply};

use super::entries::{CONFIG_LEASE, EntryBook, EntryLease};
use super::event::ReplyToken;
use crate::state::KeeperState;

/// How long an endpoint stands in the directory without renewal.
pub const ENDPOINT_LEASE: DurationMs = DurationMs::new(4_000);

/// Shortest time between two answers to one entry that bring only shares or endpoints, in
/// milliseconds.
const PUSH_GAP_MS: u64 = 10;

/// The leader's own records. They die with its leadership; the next leader learns them anew from
/// reports and announcements.
#[derive(Debug)]
pub(crate) struct Leading {
    since: Instant,
    base_ms: u64,
    pub(crate) directory: Directory,
    pub(crate) dealer: ShareAllocator,
    pub(crate) entries: EntryBook,
    pub(crate) joining: BTreeMap<Incarnation, (ReplyToken, EntrySync)>,
    pub(crate) force_waits: Vec<ForceWait>,
}

/// An operator who waits until a version is in force everywhere.
#[derive(Clone, Debug)]
pub(crate) struct ForceWait {
    pub(crate) token: ReplyToken,
    pub(crate) version: ConfigVersion,
    pub(crate) reply: KeeperReply,
    pub(crate) until: Instant,
}

impl Leading {
    /// The records of the leader of `term`.
    pub(crate) fn new(now: Instant, term: u64, state: &KeeperState) -> Self {
        let earlier_lease = now + CONFIG_LEASE;
        let mut entries: EntryBook = state
            .entries()
            .iter()
            .map(|entry| (entry, EntryLease::new(now, earlier_lease)))
            .collect();
        for (submission, owner) in state.ledger().cancelled_open() {
            if let Some(entry) = entries.get_mut(&owner) {
                entry.tell_cancelled(submission);
            }
        }
        let mut leading = Self {
            since: now,
            base_ms: state.now_ms(),
            directory: Directory::new(term, ENDPOINT_LEASE),
            dealer: ShareAllocator::new(term, CONFIG_LEASE, state.entries().iter()),
            entries,
            joining: BTreeMap::new(),
            force_waits: Vec::new(),
        };
        leading.take_limits(state);
        leading
    }

    /// The leader's time for commands, in milliseconds.
    pub(crate) fn now_ms(&self, now: Instant) -> u64 {
        self.base_ms + now.since(self.since).as_ms()
    }

    /// Takes every contract's limit and every planned stop from the state.
    pub(crate) fn take_limits(&mut self, state: &KeeperState) {
        for contract in state.config().contracts() {
            let deadline = DurationMs::new(contract.deadline_ms);
            self.dealer
                .set_limit(contract.customer.clone(), contract.max_running, deadline);
        }
        let config = state.config();
        self.directory.apply_stops(|endpoint| {
            config.is_stopped(endpoint.agent, &endpoint.domain, &endpoint.rack)
        });
    }

    /// Takes an entry's report, and puts its answer aside until there is news. Returns the token
    /// of an earlier report that must now be answered.
    pub(crate) fn take_report(
        &mut self,
        now: Instant,
        token: ReplyToken,
        report: &EntrySync,
    ) -> Option<ReplyToken> {
        let entry = self.entries.get_mut(&report.entry)?;
        entry.reported = true;
        entry.config = entry.config.max(report.config);
        entry.directory = report.directory;
        self.dealer
            .report(now, report.entry, report.shares_seen, &report.demand);
        let replaced = entry.park(now, token, report.wait_ms);
        replaced.map(|parked| parked.token)
    }

    /// Marks the entries whose shares should change.
    pub(crate) fn mark_deals(&mut self, now: Instant) {
        for entry in self.dealer.entries_to_update(now) {
            if let Some(entry) = self.entries.get_mut(&entry) {
                entry.deal_due = true;
            }
        }
    }

    /// Entries whose waiting report is to be answered now.
    pub(crate) fn entries_to_answer(
        &self,
        now: Instant,
        config: ConfigVersion,
    ) -> Vec<Incarnation> {
        self.entries
            .iter()
            .filter(|(id, entry)| self.is_answer_due(now, config, **id, entry))
            .map(|(id, _)| *id)
            .collect()
    }

    fn is_answer_due(
        &self,
        now: Instant,
        config: ConfigVersion,
        id: Incarnation,
        entry: &EntryLease,
    ) -> bool {
        let Some(parked) = entry.parked.filter(|_| !entry.going) else {
            return false;
        };
        let rested = now.since(entry.answered).as_ms() >= PUSH_GAP_MS;
        let small_news = entry.deal_due || self.has_directory_news(now, entry);
        parked.until <= now
            || entry.config < config
            || entry.has_cancellations()
            || !self.dealer.is_confirmed(id)
            || (rested && small_news)
    }

    /// Whether the entry is told something of the directory. Until every endpoint has had the time
    /// to announce itself to a new leader, an entry keeps what an earlier leader told it.
    fn has_directory_news(&self, now: Instant, entry: &EntryLease) -> bool {
        let position = self.directory.position();
        let settled = now.since(self.since) >= self.directory.lease();
        let of_earlier_leader = entry.directory.0 != 0 && entry.directory.0 != position.0;
        match of_earlier_leader {
            true => settled,
            false => entry.directory != position,
        }
    }

    /// What the entry is told of the directory.
    pub(crate) fn directory_update(&self, now: Instant, entry: &EntryLease) -> DirectoryUpdate {
        match self.has_directory_news(now, entry) {
            true => self.directory.update_since(entry.directory),
            false => DirectoryUpdate::Current,
        }
    }

    /// Whether no entry can be working with a configuration older than `version`.
    pub(crate) fn is_in_force(&self, now: Instant, version: ConfigVersion) -> bool {
        self.entries
            .values()
            .all(|entry| entry.is_past(now, version))
    }

    /// Entries whose lease has run out and whose end isn't proposed yet; marks them. One whose
    /// report waits for an answer stays, for the answer is to renew its lease.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<Incarnation> {
        let mut expired = Vec::new();
        for (id, entry) in &mut self.entries {
            if entry.lease_until <= now && entry.parked.is_none() && !entry.going {
                entry.going = true;
                expired.push(*id);
            }
        }
        expired
    }
}
