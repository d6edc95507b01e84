//! The entries that the leader serves: their leases, and reports that wait for news.

use std::collections::BTreeMap;

use hemlock_types::prelude::*;

use super::event::ReplyToken;

/// How long an entry may go on without the keepers, in milliseconds.
pub const CONFIG_LEASE: DurationMs = DurationMs::new(8_000);

/// Longest time that a report may wait for news, in milliseconds.
const MAX_WAIT_MS: u64 = 5_000;
/// How often a cancellation is told, so that a lost answer doesn't hide it.
const CANCEL_TELLS: u8 = 3;

/// One entry, as the leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct EntryLease {
    /// When its configuration lease has run out at the latest.
    pub(crate) lease_until: Instant,
    /// Whether it has reported to this leader.
    pub(crate) reported: bool,
    /// Configuration version that it reported.
    pub(crate) config: ConfigVersion,
    /// Directory that it reported.
    pub(crate) directory: (u64, u64),
    /// Its report that waits for an answer.
    pub(crate) parked: Option<Parked>,
    /// When it was last answered.
    pub(crate) answered: Instant,
    /// Whether its shares should change at once.
    pub(crate) deal_due: bool,
    /// Whether its end is proposed already.
    pub(crate) going: bool,
    cancelled: Vec<(SubmissionId, u8)>,
}

/// A report that waits for an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Parked {
    pub(crate) token: ReplyToken,
    pub(crate) until: Instant,
}

impl EntryLease {
    /// An entry that may hold a lease until `lease_until`, but hasn't reported.
    pub(crate) fn new(now: Instant, lease_until: Instant) -> Self {
        Self {
            lease_until,
            reported: false,
            config: ConfigVersion(0),
            directory: (0, 0),
            parked: None,
            answered: now,
            deal_due: false,
            going: false,
            cancelled: Vec::new(),
        }
    }

    /// Puts a report aside for up to `wait_ms`, and returns the one that it replaces.
    pub(crate) fn park(&mut self, now: Instant, token: ReplyToken, wait_ms: u64) -> Option<Parked> {
        let until = now + DurationMs::new(wait_ms.min(MAX_WAIT_MS));
        self.parked.replace(Parked { token, until })
    }

    /// Notes a cancellation that the entry must hear of.
    pub(crate) fn tell_cancelled(&mut self, submission: SubmissionId) {
        self.cancelled.push((submission, CANCEL_TELLS));
    }

    /// Whether there is a cancellation that the entry hasn't heard of.
    pub(crate) fn has_cancellations(&self) -> bool {
        self.cancelled
            .iter()
            .any(|(_, tells)| *tells == CANCEL_TELLS)
    }

    /// The cancellations for the next answer.
    pub(crate) fn take_cancellations(&mut self) -> Vec<SubmissionId> {
        let told = self.cancelled.iter().map(|(id, _)| *id).collect();
        for (_, tells) in &mut self.cancelled {
            *tells -= 1;
        }
        self.cancelled.retain(|(_, tells)| *tells > 0);
        told
    }

    /// Records that the entry is answered, which renews its lease.
    pub(crate) fn renew(&mut self, now: Instant) {
        self.lease_until = now + CONFIG_LEASE;
        self.answered = now;
        self.deal_due = false;
    }

    /// Whether it can't be working with a configuration older than `version`.
    pub(crate) fn is_past(&self, now: Instant, version: ConfigVersion) -> bool {
        self.lease_until <= now || (self.reported && self.config >= version)
    }
}

/// Every entry that may hold a lease.
pub(crate) type EntryBook = BTreeMap<Incarnation, EntryLease>;
