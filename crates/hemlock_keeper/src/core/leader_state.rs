//! State that a keeper has only while it leads.

use std::collections::BTreeMap;

use hemlock_directory::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{EntrySync, KeeperReply};

use super::entries::{CONFIG_LEASE, EntryLease, EntryLeases};
use super::event::ReplyToken;
use crate::state::KeeperState;

/// Time after which an endpoint that isn't renewed is removed from the directory.
pub const ENDPOINT_LEASE: DurationMs = DurationMs::new(4_000);

/// Minimum interval in milliseconds between two replies to one entry that update only shares or
/// endpoints.
const MIN_PUSH_INTERVAL_MS: u64 = 10;

/// State of the leader that isn't replicated. A new leader rebuilds it from the entries' reports
/// and the agents' announcements.
#[derive(Debug)]
pub(crate) struct LeaderState {
    leading_since: Instant,
    /// Time of the replicated state when the leadership began.
    start_ms: u64,
    pub(crate) directory: Directory,
    pub(crate) allocator: ShareAllocator,
    pub(crate) entries: EntryLeases,
    /// First reports of entries whose `EntryJoined` command isn't committed yet.
    pub(crate) joining: BTreeMap<Incarnation, (ReplyToken, EntrySync)>,
    pub(crate) in_force_waits: Vec<InForceWait>,
}

/// Reply to an operator that is held until no entry uses a configuration older than `version`.
#[derive(Clone, Debug)]
pub(crate) struct InForceWait {
    pub(crate) token: ReplyToken,
    pub(crate) version: ConfigVersion,
    pub(crate) reply: KeeperReply,
    pub(crate) until: Instant,
}

impl LeaderState {
    /// Creates the state of the leader of `term`. Entries may still hold leases from the previous
    /// leader.
    pub(crate) fn new(now: Instant, term: u64, state: &KeeperState) -> Self {
        let previous_lease_until = now + CONFIG_LEASE;
        let mut entries: EntryLeases = state
            .entries()
            .iter()
            .map(|entry| (entry, EntryLease::new(now, previous_lease_until)))
            .collect();
        for (submission, owner) in state.ledger().cancelled_open() {
            if let Some(entry) = entries.get_mut(&owner) {
                entry.add_cancellation(submission);
            }
        }
        let mut leader = Self {
            leading_since: now,
            start_ms: state.now_ms(),
            directory: Directory::new(term, ENDPOINT_LEASE),
            allocator: ShareAllocator::new(term, CONFIG_LEASE, state.entries().iter()),
            entries,
            joining: BTreeMap::new(),
            in_force_waits: Vec::new(),
        };
        leader.apply_config(state);
        leader
    }

    /// Returns the leader's time for commands in milliseconds. It continues from the time of the
    /// replicated state.
    pub(crate) fn now_ms(&self, now: Instant) -> u64 {
        self.start_ms + now.since(self.leading_since).as_ms()
    }

    /// Applies the contracts' limits and the planned stops of the replicated state.
    pub(crate) fn apply_config(&mut self, state: &KeeperState) {
        for contract in state.config().contracts() {
            let deadline = DurationMs::new(contract.deadline_ms);
            self.allocator
                .set_limit(contract.customer.clone(), contract.max_running, deadline);
        }
        let config = state.config();
        self.directory.apply_stops(|endpoint| {
            config.is_stopped(endpoint.agent, &endpoint.domain, &endpoint.rack)
        });
    }

    /// Handles an entry's report and holds the reply until there is an update. Returns the token of
    /// an earlier report of the entry, which must be answered now.
    pub(crate) fn handle_report(
        &mut self,
        now: Instant,
        token: ReplyToken,
        report: &EntrySync,
    ) -> Option<ReplyToken> {
        let entry = self.entries.get_mut(&report.entry)?;
        entry.reported = true;
        entry.config = entry.config.max(report.config);
        entry.directory = report.directory;
        self.allocator
            .report(now, report.entry, report.shares_seen, &report.demand);
        let replaced = entry.hold_report(now, token, report.wait_ms);
        replaced.map(|pending_report| pending_report.token)
    }

    /// Marks the entries whose shares should change.
    pub(crate) fn mark_share_updates(&mut self, now: Instant) {
        for entry in self.allocator.entries_to_update(now) {
            if let Some(entry) = self.entries.get_mut(&entry) {
                entry.share_update_due = true;
            }
        }
    }

    /// Returns the entries whose waiting report is to be answered now.
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
        let Some(pending_report) = entry.pending_report.filter(|_| !entry.removal_proposed) else {
            return false;
        };
        let interval_elapsed = now.since(entry.last_reply).as_ms() >= MIN_PUSH_INTERVAL_MS;
        let minor_update = entry.share_update_due || self.has_directory_update(now, entry);
        pending_report.until <= now
            || entry.config < config
            || entry.has_cancellations()
            || !self.allocator.is_confirmed(id)
            || (interval_elapsed && minor_update)
    }

    /// Returns `true` if the next reply to the entry has a directory update. An entry keeps the
    /// directory of an earlier leader until all endpoints have had the time to announce themselves
    /// to this leader.
    fn has_directory_update(&self, now: Instant, entry: &EntryLease) -> bool {
        let position = self.directory.position();
        let settled = now.since(self.leading_since) >= self.directory.lease();
        let of_earlier_leader = entry.directory.0 != 0 && entry.directory.0 != position.0;
        match of_earlier_leader {
            true => settled,
            false => entry.directory != position,
        }
    }

    /// Returns the directory update for the next reply to the entry.
    pub(crate) fn directory_update(&self, now: Instant, entry: &EntryLease) -> DirectoryUpdate {
        match self.has_directory_update(now, entry) {
            true => self.directory.update_since(entry.directory),
            false => DirectoryUpdate::Current,
        }
    }

    /// Returns `true` if no entry can be using a configuration older than `version`.
    pub(crate) fn is_in_force(&self, now: Instant, version: ConfigVersion) -> bool {
        self.entries
            .values()
            .all(|entry| entry.has_reached(now, version))
    }

    /// Marks the entries whose lease has expired for removal and returns them. An entry whose
    /// report waits for a reply stays, because the reply will renew its lease.
    pub(crate) fn mark_expired(&mut self, now: Instant) -> Vec<Incarnation> {
        let mut expired = Vec::new();
        for (id, entry) in &mut self.entries {
            if entry.lease_until <= now && entry.pending_report.is_none() && !entry.removal_proposed
            {
                entry.removal_proposed = true;
                expired.push(*id);
            }
        }
        expired
    }
}
