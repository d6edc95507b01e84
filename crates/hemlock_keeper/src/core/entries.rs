//! The leader's records of entries: their leases, and their reports that wait for an update.

use std::collections::BTreeMap;

use hemlock_types::prelude::*;

use super::event::ReplyToken;

/// Configuration lease: the time for which an entry may work without a reply from the leader.
pub const CONFIG_LEASE: DurationMs = DurationMs::new(8_000);

/// Maximum time that the leader holds a report until there is an update, in milliseconds.
const MAX_REPORT_WAIT_MS: u64 = 5_000;
/// Number of replies that contain a cancellation, because a reply can be lost.
const CANCELLATION_REPLIES: u8 = 3;

/// The leader's record of one entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryLease {
    /// Latest time at which its configuration lease expires.
    pub(crate) lease_until: Instant,
    /// Set once the entry has reported to this leader.
    pub(crate) reported: bool,
    /// Highest configuration version that the entry reported.
    pub(crate) config: ConfigVersion,
    /// Directory generation and version that the entry reported.
    pub(crate) directory: (u64, u64),
    /// Latest report, while it waits for a reply.
    pub(crate) pending_report: Option<PendingReport>,
    /// Time of the last reply to the entry.
    pub(crate) last_reply: Instant,
    /// Set when the shares of the entry should change.
    pub(crate) share_update_due: bool,
    /// Set once the removal of the entry is proposed. It then gets no new lease.
    pub(crate) removal_proposed: bool,
    /// Cancelled submissions to report to the entry, with the number of replies left.
    cancelled: Vec<(SubmissionId, u8)>,
}

/// Report that waits for a reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingReport {
    pub(crate) token: ReplyToken,
    pub(crate) until: Instant,
}

impl EntryLease {
    /// Creates the record of an entry that may hold a lease until `lease_until`, but hasn't
    /// reported yet.
    pub(crate) fn new(now: Instant, lease_until: Instant) -> Self {
        Self {
            lease_until,
            reported: false,
            config: ConfigVersion(0),
            directory: (0, 0),
            pending_report: None,
            last_reply: now,
            share_update_due: false,
            removal_proposed: false,
            cancelled: Vec::new(),
        }
    }

    /// Holds a report for up to `wait_ms` until there is an update. Returns the report that it
    /// replaces.
    pub(crate) fn hold_report(
        &mut self,
        now: Instant,
        token: ReplyToken,
        wait_ms: u64,
    ) -> Option<PendingReport> {
        let until = now + DurationMs::new(wait_ms.min(MAX_REPORT_WAIT_MS));
        self.pending_report.replace(PendingReport { token, until })
    }

    /// Adds a cancellation to the next replies to the entry.
    pub(crate) fn add_cancellation(&mut self, submission: SubmissionId) {
        self.cancelled.push((submission, CANCELLATION_REPLIES));
    }

    /// Returns `true` if a cancellation hasn't been sent to the entry yet.
    pub(crate) fn has_cancellations(&self) -> bool {
        self.cancelled
            .iter()
            .any(|(_, replies_left)| *replies_left == CANCELLATION_REPLIES)
    }

    /// Returns the cancellations for the next reply and counts that reply.
    pub(crate) fn take_cancellations(&mut self) -> Vec<SubmissionId> {
        let submissions = self.cancelled.iter().map(|(id, _)| *id).collect();
        for (_, replies_left) in &mut self.cancelled {
            *replies_left -= 1;
        }
        self.cancelled.retain(|(_, replies_left)| *replies_left > 0);
        submissions
    }

    /// Records a reply to the entry, which renews its lease.
    pub(crate) fn renew(&mut self, now: Instant) {
        self.lease_until = now + CONFIG_LEASE;
        self.last_reply = now;
        self.share_update_due = false;
    }

    /// Returns `true` if the entry can't be using a configuration older than `version`.
    pub(crate) fn has_reached(&self, now: Instant, version: ConfigVersion) -> bool {
        self.lease_until <= now || (self.reported && self.config >= version)
    }
}

/// Records of all entries that may hold a lease.
pub(crate) type EntryLeases = BTreeMap<Incarnation, EntryLease>;
