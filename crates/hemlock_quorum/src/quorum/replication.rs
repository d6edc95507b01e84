//! Replication on the leader's side: sends the log to the followers.

use hemlock_types::ids::Incarnation;

use super::Quorum;
use super::progress::{FollowerProgress, ReplicationMode};
use super::role_state::RoleState;
use crate::entry::{Entry, Payload};
use crate::ids::{KeeperId, LogIndex, Term};
use crate::message::{Append, AppendReply, Body};

impl Quorum {
    /// Appends an entry as the leader and returns its index.
    pub(super) fn append_as_leader(&mut self, payload: Payload) -> LogIndex {
        assert!(
            matches!(self.role, RoleState::Leader(_)),
            "only a leader appends new entries"
        );
        let index = self.log.last_index().next();
        self.log.append(Entry {
            term: self.hard_state.term,
            index,
            payload,
        });
        index
    }

    /// Updates the tracked followers after a change of the member set.
    pub(super) fn refresh_followers(&mut self) {
        let members = self.log.members().clone();
        let (own_id, next) = (self.config.id, self.log.last_index().next());
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        leader_state
            .followers
            .retain(|id, follower| members.contains(*id, follower.incarnation));
        for (id, member) in members.iter().filter(|(id, _)| *id != own_id) {
            leader_state
                .followers
                .entry(id)
                .or_insert_with(|| FollowerProgress::new(member.incarnation, next));
        }
    }

    /// Sends entries to all followers, within the in-flight limits.
    pub(super) fn replicate(&mut self) {
        for id in self.follower_ids() {
            while self.send_next(id) {}
        }
    }

    pub(super) fn send_heartbeats(&mut self) {
        for id in self.follower_ids() {
            match self.send_next(id) {
                true => {}
                false => self.send_empty(id),
            }
        }
        self.advance_leadership_transfer();
    }

    fn follower_ids(&self) -> Vec<KeeperId> {
        self.leader_state().map_or_else(Vec::new, |leader_state| {
            leader_state.followers.keys().copied().collect()
        })
    }

    pub(super) fn follower(&self, id: KeeperId) -> Option<&FollowerProgress> {
        self.leader_state()?.followers.get(&id)
    }

    /// Returns the follower, if its disk incarnation is the one in the member set.
    pub(super) fn follower_mut(
        &mut self,
        id: KeeperId,
        incarnation: Incarnation,
    ) -> Option<&mut FollowerProgress> {
        let follower = self.leader_state_mut()?.followers.get_mut(&id)?;
        (follower.incarnation == incarnation).then_some(follower)
    }

    /// Sends one message with entries if the follower is ready for it. Returns whether it was sent.
    fn send_next(&mut self, id: KeeperId) -> bool {
        let Some(follower) = self.follower(id) else {
            return false;
        };
        let (next, last) = (follower.next, self.log.last_index());
        let (entries, bytes) = (
            self.config.max_inflight_entries,
            self.config.max_inflight_bytes,
        );
        let has_inflight_capacity = follower.has_inflight_capacity(entries, bytes);
        if next <= self.log.base_index() && !follower.is_in_snapshot() {
            self.start_snapshot_transfer(id);
            return false;
        }
        if !follower.is_streaming() || next > last || !has_inflight_capacity {
            return false;
        }
        let entries = self.log.slice(next, last, self.config.max_message_bytes);
        let incarnation = follower.incarnation;
        self.send_append(id, incarnation, next.prev(), entries);
        true
    }

    /// Sends a message without entries. It serves as heartbeat and checks where the follower's log
    /// matches.
    fn send_empty(&mut self, id: KeeperId) {
        let Some(follower) = self.follower(id) else {
            return;
        };
        let incarnation = follower.incarnation;
        let prev = match &follower.mode {
            ReplicationMode::Stream | ReplicationMode::Probe => follower.next.prev(),
            ReplicationMode::Snapshot(transfer) => transfer.snapshot.head.index,
        };
        self.send_append(id, incarnation, prev.max(self.log.base_index()), Vec::new());
        self.resend_chunk(id);
    }

    fn send_append(
        &mut self,
        id: KeeperId,
        incarnation: Incarnation,
        prev_index: LogIndex,
        entries: Vec<Entry>,
    ) {
        let prev_term = self
            .log
            .term_at(prev_index)
            .expect("the previous entry is the base or in memory");
        if let Some(last) = entries.last().map(|entry| entry.index)
            && let Some(follower) = self.follower_mut(id, incarnation)
        {
            let bytes = entries.iter().map(Entry::size_bytes).sum();
            follower.record_sent(last, bytes);
        }
        let body = Body::Append(Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            sent_us: self.now.as_micros(),
        });
        self.send(id, Some(incarnation), body);
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: KeeperId,
        sender: Incarnation,
        term: Term,
        reply: AppendReply,
    ) {
        if term > self.hard_state.term && self.log.members().contains(from, sender) {
            self.become_follower(term, None);
            return;
        }
        let (now, last) = (self.now, self.log.last_index());
        if term != self.hard_state.term {
            return;
        }
        let Some(follower) = self.follower_mut(from, sender) else {
            return;
        };
        assert!(
            reply.matched <= last,
            "a follower can't match entries beyond the leader's log"
        );
        follower.record_contact(reply.echo_us, now);
        follower.advance(reply.matched);
        if let Some(rejection) = reply.rejected {
            let before = follower.next;
            follower.handle_rejection(rejection.prev_index, rejection.hint);
            let moved = follower.next != before;
            if moved {
                self.send_probe(from);
            }
        }
        self.after_progress();
    }

    fn send_probe(&mut self, id: KeeperId) {
        let base = self.log.base_index();
        match self
            .follower(id)
            .is_some_and(|follower| follower.next <= base)
        {
            true => self.start_snapshot_transfer(id),
            false => self.send_empty(id),
        }
    }

    /// Commits entries, completes reads and continues a leadership transfer after progress on a
    /// follower or the disk.
    pub(super) fn after_progress(&mut self) {
        self.advance_commit();
        self.finish_reads();
        if self
            .leader_state()
            .is_some_and(|leader_state| leader_state.leadership_transfer.is_some())
        {
            self.advance_leadership_transfer();
        }
    }
}
