//! Takes, sends, receives and installs snapshots.

use bytes::{Bytes, BytesMut};
use hemlock_types::ids::Incarnation;
use hemlock_types::time::DurationMs;
use rand::RngExt;

use super::Quorum;
use super::progress::{FollowerProgress, ReplicationMode, SnapshotTransfer};
use crate::action::Action;
use crate::disk_work::DiskWork;
use crate::ids::{KeeperId, LogIndex, Term};
use crate::message::{Body, SnapshotChunk, SnapshotReply};
use crate::snapshot::{Snapshot, SnapshotHeader};

/// Number of heartbeat intervals after which an unacknowledged chunk is sent again.
const RESEND_AFTER_HEARTBEATS: u64 = 2;

/// The next snapshot is delayed at random by up to the configured number of entries divided by this.
const SNAPSHOT_JITTER_DIVISOR: u64 = 2;

/// A snapshot that is being received.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    head: SnapshotHeader,
    data: BytesMut,
}

impl Quorum {
    pub(super) fn request_snapshot_if_due(&mut self) {
        let entries = self.applied.since(self.snapshot_index());
        let due = entries >= self.snapshot_after_entries
            || self.applied_bytes >= self.config.snapshot_after_bytes;
        if due && !self.snapshot_requested {
            self.snapshot_requested = true;
            let index = self.applied;
            self.out.push(Action::TakeSnapshot { index });
        }
    }

    /// Chooses at random when the next snapshot is due, so that the keepers don't all take theirs
    /// at the same time.
    fn randomize_snapshot_threshold(&mut self) {
        let base = self.config.snapshot_after_entries;
        let jitter = self.rng.random_range(0..=base / SNAPSHOT_JITTER_DIVISOR);
        self.snapshot_after_entries = base + jitter;
    }

    pub(super) fn store_snapshot(&mut self, index: LogIndex, data: Bytes) {
        self.snapshot_requested = false;
        let outdated = index <= self.snapshot_index() || index > self.applied;
        let Some(term) = self.log.term_at(index).filter(|_| !outdated) else {
            return;
        };
        let members = self.log.members_at(index).clone();
        let head = SnapshotHeader {
            index,
            term,
            members,
        };
        let snapshot = Snapshot { head, data };
        self.applied_bytes = 0;
        self.snapshot = Some(snapshot.clone());
        self.persist_snapshot(snapshot, |id, snapshot| DiskWork::Compact { id, snapshot });
        self.randomize_snapshot_threshold();
        let (entries, bytes) = (self.config.keep_entries, self.config.keep_bytes);
        self.log.trim_before(index, entries, bytes);
    }

    /// Starts sending the latest snapshot to a follower that needs entries that are no longer in
    /// memory.
    pub(super) fn start_snapshot_transfer(&mut self, id: KeeperId) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let now = self.now;
        let Some(follower) = self.any_follower_mut(id) else {
            return;
        };
        follower.mode = ReplicationMode::Snapshot(SnapshotTransfer {
            snapshot,
            acked_bytes: 0,
            sent_at: now,
        });
        self.send_chunk(id);
    }

    fn any_follower_mut(&mut self, id: KeeperId) -> Option<&mut FollowerProgress> {
        self.leader_state_mut()?.followers.get_mut(&id)
    }

    fn send_chunk(&mut self, id: KeeperId) {
        let (now, max_bytes) = (self.now, self.config.chunk_bytes);
        let Some(follower) = self.any_follower_mut(id) else {
            return;
        };
        let incarnation = follower.incarnation;
        let ReplicationMode::Snapshot(transfer) = &mut follower.mode else {
            return;
        };
        transfer.sent_at = now;
        let chunk = transfer.chunk(max_bytes, now.as_micros());
        self.send(id, Some(incarnation), Body::SnapshotChunk(chunk));
    }

    pub(super) fn resend_chunk(&mut self, id: KeeperId) {
        let pause = DurationMs::new(self.config.heartbeat_ms * RESEND_AFTER_HEARTBEATS);
        let now = self.now;
        let due = self
            .follower(id)
            .is_some_and(|follower| match &follower.mode {
                ReplicationMode::Snapshot(transfer) => now >= transfer.sent_at + pause,
                ReplicationMode::Stream | ReplicationMode::Probe => false,
            });
        if due {
            self.send_chunk(id);
        }
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        from: KeeperId,
        sender: Incarnation,
        term: Term,
        reply: SnapshotReply,
    ) {
        let (now, current) = (self.now, term == self.hard_state.term);
        let Some(follower) = self.follower_mut(from, sender).filter(|_| current) else {
            return;
        };
        follower.record_contact(reply.echo_us, now);
        let ReplicationMode::Snapshot(transfer) = &mut follower.mode else {
            return;
        };
        let ours = reply.index == transfer.snapshot.head.index;
        let moved = ours && reply.received_bytes != transfer.acked_bytes;
        if moved {
            transfer.acked_bytes = reply.received_bytes;
        }
        let complete = transfer.is_complete();
        if moved && !complete {
            self.send_chunk(from);
        }
        self.after_progress();
    }

    pub(super) fn on_chunk(
        &mut self,
        from: KeeperId,
        sender: Incarnation,
        term: Term,
        chunk: SnapshotChunk,
    ) {
        if !self.follow(from, sender, term, chunk.sent_us) {
            return;
        }
        let (index, total_bytes) = (chunk.head.index, chunk.total_bytes);
        let received_bytes = match self.covers_snapshot(&chunk.head) {
            true => total_bytes,
            false => self.add_chunk(chunk),
        };
        let body = Body::SnapshotReply(SnapshotReply {
            index,
            received_bytes,
            echo_us: self.echo_us,
        });
        self.send(from, Some(sender), body);
        if received_bytes == total_bytes {
            self.ack_due = true;
            self.send_due_ack();
        }
    }

    /// Whether the log contains all entries that the snapshot covers. If so, they are committed.
    fn covers_snapshot(&mut self, head: &SnapshotHeader) -> bool {
        let held = head.index <= self.commit || self.log.term_at(head.index) == Some(head.term);
        if held {
            self.matched_index = self.matched_index.max(head.index);
            self.commit_to(head.index);
        }
        held
    }

    /// Adds a chunk and returns the number of bytes of the snapshot received so far.
    fn add_chunk(&mut self, chunk: SnapshotChunk) -> u64 {
        let same = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|incoming_snapshot| incoming_snapshot.head == chunk.head);
        if !same {
            self.incoming_snapshot = None;
        }
        let mut incoming_snapshot =
            self.incoming_snapshot
                .take()
                .unwrap_or_else(|| IncomingSnapshot {
                    head: chunk.head,
                    data: BytesMut::new(),
                });
        if chunk.offset_bytes == incoming_snapshot.data.len() as u64 {
            incoming_snapshot.data.extend_from_slice(&chunk.data);
        }
        let received = incoming_snapshot.data.len() as u64;
        match received == chunk.total_bytes {
            true => self.install(Snapshot {
                head: incoming_snapshot.head,
                data: incoming_snapshot.data.freeze(),
            }),
            false => self.incoming_snapshot = Some(incoming_snapshot),
        }
        received
    }

    fn install(&mut self, snapshot: Snapshot) {
        let head = snapshot.head.clone();
        assert!(
            head.index > self.commit,
            "an installed snapshot is newer than the committed entries"
        );
        self.flush_disk();
        self.durability.truncate(self.commit.next());
        self.log = crate::log::Log::new(head.clone(), Vec::new());
        self.commit = head.index;
        self.applied = head.index;
        self.applied_bytes = 0;
        self.matched_index = head.index;
        self.snapshot_requested = false;
        self.snapshot = Some(snapshot.clone());
        self.persist_snapshot(snapshot.clone(), |id, snapshot| DiskWork::Install {
            id,
            snapshot,
        });
        self.out.push(Action::Restore(snapshot));
    }
}

impl SnapshotTransfer {
    fn is_complete(&self) -> bool {
        self.acked_bytes >= self.snapshot.data.len() as u64
    }

    /// Returns the chunk after the acknowledged bytes.
    fn chunk(&self, max_bytes: usize, sent_us: u64) -> SnapshotChunk {
        let total = self.snapshot.data.len();
        let start = usize::try_from(self.acked_bytes).map_or(total, |start| start.min(total));
        let end = start.saturating_add(max_bytes).min(total);
        SnapshotChunk {
            head: self.snapshot.head.clone(),
            total_bytes: total as u64,
            offset_bytes: start as u64,
            data: self.snapshot.data.slice(start..end),
            sent_us,
        }
    }
}
