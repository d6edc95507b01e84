//! Output after a batch of events: disk writes, replication, applied entries and delayed messages.

use hemlock_types::ids::Incarnation;

use super::Quorum;
use crate::action::Action;
use crate::disk_work::{DiskWork, PersistBatch};
use crate::ids::{KeeperId, WorkId};
use crate::message::Body;
use crate::snapshot::Snapshot;

impl Quorum {
    pub(super) fn flush(&mut self) {
        self.flush_disk();
        self.replicate();
        self.send_due_heartbeat_round();
        self.apply_committed();
        self.finish_reads();
        self.request_snapshot_if_due();
    }

    /// Passes all unsaved changes to the disk thread as one batch.
    pub(super) fn flush_disk(&mut self) {
        let mut batch = PersistBatch::default();
        self.log.take_unsaved(&mut batch);
        batch.hard_state = self.hard_state_changed.then_some(self.hard_state);
        if batch.is_empty() {
            return;
        }
        batch.id = self.durability.assign_id(self.log.last_index());
        if self.hard_state_changed {
            self.hard_state_changed = false;
            self.hard_state_work = batch.id;
        }
        self.out.push(Action::Persist(DiskWork::Append(batch)));
    }

    /// Passes a snapshot to the disk thread, after all changes made before it.
    pub(super) fn persist_snapshot(
        &mut self,
        snapshot: Snapshot,
        work: impl FnOnce(WorkId, Snapshot) -> DiskWork,
    ) {
        self.flush_disk();
        let id = self.durability.assign_id(self.log.last_index());
        self.out.push(Action::Persist(work(id, snapshot)));
    }

    pub(super) fn synced(&mut self, up_to: WorkId) {
        self.durability.advance(up_to);
        self.send_synced_messages();
        self.count_own_vote();
        self.send_due_ack();
        self.after_progress();
    }

    /// Sends a message once the current term and vote are durable.
    pub(super) fn send_when_vote_durable(
        &mut self,
        to: KeeperId,
        to_incarnation: Incarnation,
        body: Body,
    ) {
        let message = self.message(self.hard_state.term, Some(to_incarnation), body);
        let work = match self.hard_state_changed {
            true => self.durability.next_work(),
            false => self.hard_state_work,
        };
        self.awaiting_sync.push_back((work, to, message));
        self.send_synced_messages();
    }

    fn send_synced_messages(&mut self) {
        while let Some((work, _, _)) = self.awaiting_sync.front() {
            if !self.durability.is_synced(*work) {
                break;
            }
            if let Some((_, to, message)) = self.awaiting_sync.pop_front() {
                self.out.push(Action::Send { to, message });
            }
        }
    }
}
