//! Snapshots: taking them, sending them piece by piece, and installing them.

use bytes::{Bytes, BytesMut};
use hemlock_types::ids::Incarnation;
use hemlock_types::time::DurationMs;
use rand::RngExt;

use super::Quorum;
use super::follower::{Follower, Mode, Transfer};
use crate::action::Action;
use crate::disk_work::DiskWork;
use crate::ids::{KeeperId, LogIndex, Term};
use crate::message::{Body, SnapshotChunk, SnapshotReply};
use crate::snapshot::{Snapshot, SnapshotHead};

/// Heartbeats after which an unanswered piece is sent again.
const RESEND_AFTER_HEARTBEATS: u64 = 2;

/// The part of the entries between snapshots by which a keeper puts off its own.
const SNAPSHOT_SPREAD: u64 = 2;

/// A snapshot that is being received.
#[derive(Debug)]
pub(crate) struct Incoming {
    head: SnapshotHead,
    data: BytesMut,
}

impl Quorum {
    pub(super) fn ask_for_snapshot(&mut self) {
        let entries = self.applied.since(self.snapshot_index());
        let due = entries >= self.snapshot_after_entries
            || self.applied_bytes >= self.config.snapshot_after_bytes;
        if due && !self.snapshot_asked {
            self.snapshot_asked = true;
            let index = self.applied;
            self.out.push(Action::TakeSnapshot { index });
        }
    }

    /// Draws when the next snapshot is due, so that the keepers don't all take theirs at once.
    fn spread_snapshots(&mut self) {
        let least = self.config.snapshot_after_entries;
        let spread = self.rng.random_range(0..=least / SNAPSHOT_SPREAD);
        self.snapshot_after_entries = least + spread;
    }

    pub(super) fn store_snapshot(&mut self, index: LogIndex, data: Bytes) {
        self.snapshot_asked = false;
        let outdated = index <= self.snapshot_index() || index > self.applied;
        let Some(term) = self.log.term_at(index).filter(|_| !outdated) else {
            return;
        };
        let members = self.log.members_at(index).clone();
        let head = SnapshotHead {
            index,
            term,
            members,
        };
        let snapshot = Snapshot { head, data };
        self.applied_bytes = 0;
        self.snapshot = Some(snapshot.clone());
        self.persist_snapshot(snapshot, |id, snapshot| DiskWork::Compact { id, snapshot });
        self.spread_snapshots();
        let (entries, bytes) = (self.config.keep_entries, self.config.keep_bytes);
        self.log.keep_behind(index, entries, bytes);
    }

    /// Starts to send the latest snapshot to a follower that lacks entries no longer held.
    pub(super) fn start_transfer(&mut self, id: KeeperId) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let now = self.now;
        let Some(follower) = self.any_follower_mut(id) else {
            return;
        };
        follower.mode = Mode::Snapshot(Transfer {
            snapshot,
            acked_bytes: 0,
            sent_at: now,
        });
        self.send_chunk(id);
    }

    fn any_follower_mut(&mut self, id: KeeperId) -> Option<&mut Follower> {
        self.leading_mut()?.followers.get_mut(&id)
    }

    fn send_chunk(&mut self, id: KeeperId) {
        let (now, most) = (self.now, self.config.chunk_bytes);
        let Some(follower) = self.any_follower_mut(id) else {
            return;
        };
        let incarnation = follower.incarnation;
        let Mode::Snapshot(transfer) = &mut follower.mode else {
            return;
        };
        transfer.sent_at = now;
        let chunk = transfer.chunk(most, now.as_micros());
        self.send(id, Some(incarnation), Body::SnapshotChunk(chunk));
    }

    pub(super) fn resend_chunk(&mut self, id: KeeperId) {
        let pause = DurationMs::new(self.config.heartbeat_ms * RESEND_AFTER_HEARTBEATS);
        let now = self.now;
        let due = self
            .follower(id)
            .is_some_and(|follower| match &follower.mode {
                Mode::Snapshot(transfer) => now >= transfer.sent_at + pause,
                Mode::Stream | Mode::Probe => false,
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
        let (now, current) = (self.now, term == self.hard.term);
        let Some(follower) = self.follower_mut(from, sender).filter(|_| current) else {
            return;
        };
        follower.hear(reply.echo_us, now);
        let Mode::Snapshot(transfer) = &mut follower.mode else {
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
        let received_bytes = match self.holds_up_to(&chunk.head) {
            true => total_bytes,
            false => self.take_chunk(chunk),
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

    /// Whether the log holds all that the snapshot stands for.
    fn holds_up_to(&mut self, head: &SnapshotHead) -> bool {
        let held = head.index <= self.commit || self.log.term_at(head.index) == Some(head.term);
        if held {
            self.agreed = self.agreed.max(head.index);
            self.commit_to(head.index);
        }
        held
    }

    /// Adds a piece and returns how much of the snapshot is held.
    fn take_chunk(&mut self, chunk: SnapshotChunk) -> u64 {
        let same = self
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.head == chunk.head);
        if !same {
            self.incoming = None;
        }
        let mut incoming = self.incoming.take().unwrap_or_else(|| Incoming {
            head: chunk.head,
            data: BytesMut::new(),
        });
        if chunk.offset_bytes == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        match received == chunk.total_bytes {
            true => self.install(Snapshot {
                head: incoming.head,
                data: incoming.data.freeze(),
            }),
            false => self.incoming = Some(incoming),
        }
        received
    }

    fn install(&mut self, snapshot: Snapshot) {
        let head = snapshot.head.clone();
        assert!(head.index > self.commit, "a snapshot never goes back");
        self.flush_disk();
        self.durable.truncate(self.commit.next());
        self.log = crate::log::Log::new(head.clone(), Vec::new());
        self.commit = head.index;
        self.applied = head.index;
        self.applied_bytes = 0;
        self.agreed = head.index;
        self.snapshot_asked = false;
        self.snapshot = Some(snapshot.clone());
        self.persist_snapshot(snapshot.clone(), |id, snapshot| DiskWork::Install {
            id,
            snapshot,
        });
        self.out.push(Action::Restore(snapshot));
    }
}

impl Transfer {
    fn is_complete(&self) -> bool {
        self.acked_bytes >= self.snapshot.data.len() as u64
    }

    /// The piece after what the follower holds.
    fn chunk(&self, most_bytes: usize, sent_us: u64) -> SnapshotChunk {
        let total = self.snapshot.data.len();
        let start = usize::try_from(self.acked_bytes).map_or(total, |start| start.min(total));
        let end = start.saturating_add(most_bytes).min(total);
        SnapshotChunk {
            head: self.snapshot.head.clone(),
            total_bytes: total as u64,
            offset_bytes: start as u64,
            data: self.snapshot.data.slice(start..end),
            sent_us,
        }
    }
}
