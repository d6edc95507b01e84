//! Replication progress of each follower, as tracked by the leader.

use std::collections::VecDeque;

use hemlock_types::ids::Incarnation;
use hemlock_types::time::Instant;

use crate::ids::LogIndex;
use crate::snapshot::Snapshot;

/// The way in which the log is replicated to a follower.
#[derive(Clone, Debug)]
pub(crate) enum ReplicationMode {
    /// Sends entries without waiting for earlier ones to be acknowledged.
    Stream,
    /// Sends messages without entries until the follower accepts one, to find where the logs match.
    Probe,
    /// Sends a snapshot in chunks.
    Snapshot(SnapshotTransfer),
}

/// A snapshot that is being sent.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: Snapshot,
    pub(crate) acked_bytes: u64,
    pub(crate) sent_at: Instant,
}

/// Replication progress of one follower.
#[derive(Clone, Debug)]
pub(crate) struct FollowerProgress {
    pub(crate) incarnation: Incarnation,
    /// Index of the last entry known to be durable on the follower.
    pub(crate) matched: LogIndex,
    /// Index of the next entry to send.
    pub(crate) next: LogIndex,
    pub(crate) mode: ReplicationMode,
    /// Send time of the latest message that the follower has acknowledged.
    pub(crate) last_contact: Option<Instant>,
    /// Unacknowledged messages with entries: the index of the last entry and the size of each.
    inflight: VecDeque<(LogIndex, usize)>,
    inflight_bytes: usize,
}

impl FollowerProgress {
    pub(crate) fn new(incarnation: Incarnation, next: LogIndex) -> Self {
        Self {
            incarnation,
            matched: LogIndex::ZERO,
            next,
            mode: ReplicationMode::Stream,
            last_contact: None,
            inflight: VecDeque::new(),
            inflight_bytes: 0,
        }
    }

    /// Records that a message with entries was sent.
    pub(crate) fn record_sent(&mut self, last: LogIndex, bytes: usize) {
        self.next = last.next();
        self.inflight.push_back((last, bytes));
        self.inflight_bytes += bytes;
    }

    /// Whether the in-flight limits allow further entries.
    pub(crate) fn has_inflight_capacity(&self, max_entries: u64, max_bytes: usize) -> bool {
        let entries = self.next.prev().since(self.matched);
        entries < max_entries && self.inflight_bytes < max_bytes
    }

    fn release_acknowledged(&mut self) {
        while let Some((last, bytes)) = self.inflight.front().copied() {
            if last > self.matched {
                break;
            }
            self.inflight_bytes -= bytes;
            self.inflight.pop_front();
        }
    }

    fn clear_inflight(&mut self) {
        self.inflight.clear();
        self.inflight_bytes = 0;
    }

    pub(crate) fn is_streaming(&self) -> bool {
        matches!(self.mode, ReplicationMode::Stream)
    }

    pub(crate) fn is_in_snapshot(&self) -> bool {
        matches!(self.mode, ReplicationMode::Snapshot(_))
    }

    /// Records the acknowledgement of a message sent at `echo_us`.
    pub(crate) fn record_contact(&mut self, echo_us: u64, now: Instant) {
        if echo_us == 0 {
            return;
        }
        let sent = Instant::from_micros(echo_us).min(now);
        self.last_contact = self.last_contact.max(Some(sent));
    }

    /// Records that the follower's durable log matches up to `matched`.
    pub(crate) fn advance(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        self.release_acknowledged();
        self.next = self.next.max(self.matched.next());
        let resume = match &self.mode {
            ReplicationMode::Stream => false,
            ReplicationMode::Probe => self.matched.next() == self.next,
            ReplicationMode::Snapshot(transfer) => self.matched >= transfer.snapshot.head.index,
        };
        if resume {
            self.mode = ReplicationMode::Stream;
            self.next = self.matched.next();
            self.clear_inflight();
        }
    }

    /// Moves back to an earlier entry after a rejection. Ignores rejections of outdated messages.
    pub(crate) fn handle_rejection(&mut self, rejected_prev: LogIndex, hint: LogIndex) {
        let stale = match self.mode {
            ReplicationMode::Stream => rejected_prev <= self.matched,
            ReplicationMode::Probe => rejected_prev.next() != self.next,
            ReplicationMode::Snapshot(_) => true,
        };
        if stale {
            return;
        }
        let next = hint.next().min(rejected_prev);
        self.next = next.max(self.matched.next());
        self.mode = ReplicationMode::Probe;
        self.clear_inflight();
    }
}
