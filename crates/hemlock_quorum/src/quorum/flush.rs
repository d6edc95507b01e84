//! What ends each round of events: disk work, replication, applying and held messages.

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
        self.send_due_round();
        self.apply_committed();
        self.finish_reads();
        self.ask_for_snapshot();
    }

    /// Hands everything that must become durable to the disk thread, as one batch.
    pub(super) fn flush_disk(&mut self) {
        let mut batch = PersistBatch::default();
        self.log.take_unsaved(&mut batch);
        batch.hard_state = self.hard_changed.then_some(self.hard);
        if batch.is_empty() {
            return;
        }
        batch.id = self.durable.hand_out(self.log.last_index());
        if self.hard_changed {
            self.hard_changed = false;
            self.hard_work = batch.id;
        }
        self.out.push(Action::Persist(DiskWork::Append(batch)));
    }

    /// Hands out work that replaces log by a snapshot, after all that came before it.
    pub(super) fn persist_snapshot(
        &mut self,
        snapshot: Snapshot,
        work: impl FnOnce(WorkId, Snapshot) -> DiskWork,
    ) {
        self.flush_disk();
        let id = self.durable.hand_out(self.log.last_index());
        self.out.push(Action::Persist(work(id, snapshot)));
    }

    pub(super) fn synced(&mut self, up_to: WorkId) {
        self.durable.advance(up_to);
        self.release_held();
        self.count_own_vote();
        self.send_due_ack();
        self.after_progress();
    }

    /// Sends a message once the present vote is durable.
    pub(super) fn send_when_vote_durable(
        &mut self,
        to: KeeperId,
        to_incarnation: Incarnation,
        body: Body,
    ) {
        let message = self.message(self.hard.term, Some(to_incarnation), body);
        let work = match self.hard_changed {
            true => self.durable.next_work(),
            false => self.hard_work,
        };
        self.held.push_back((work, to, message));
        self.release_held();
    }

    fn release_held(&mut self) {
        while let Some((work, _, _)) = self.held.front() {
            if !self.durable.is_synced(*work) {
                break;
            }
            if let Some((_, to, message)) = self.held.pop_front() {
                self.out.push(Action::Send { to, message });
            }
        }
    }
}
