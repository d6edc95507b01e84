//! How a leader brings its log to the followers.

use hemlock_types::ids::Incarnation;

use super::Quorum;
use super::follower::{Follower, Mode};
use super::role_state::RoleState;
use crate::entry::{Entry, Payload};
use crate::ids::{KeeperId, LogIndex, Term};
use crate::message::{Append, AppendReply, Body};

impl Quorum {
    /// Appends an entry of this leader's own and returns its index.
    pub(super) fn append_own(&mut self, payload: Payload) -> LogIndex {
        assert!(
            matches!(self.role, RoleState::Leader(_)),
            "only a leader makes entries"
        );
        let index = self.log.last_index().next();
        self.log.append(Entry {
            term: self.hard.term,
            index,
            payload,
        });
        index
    }

    /// Brings the list of followers in line with the keeper set.
    pub(super) fn refresh_followers(&mut self) {
        let members = self.log.members().clone();
        let (me, next) = (self.config.me, self.log.last_index().next());
        let Some(leading) = self.leading_mut() else {
            return;
        };
        leading
            .followers
            .retain(|id, follower| members.contains(*id, follower.incarnation));
        for (id, member) in members.iter().filter(|(id, _)| *id != me) {
            leading
                .followers
                .entry(id)
                .or_insert_with(|| Follower::new(member.incarnation, next));
        }
    }

    /// Sends what the followers may get ahead of their answers.
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
        self.finish_hand_over();
    }

    fn follower_ids(&self) -> Vec<KeeperId> {
        self.leading().map_or_else(Vec::new, |leading| {
            leading.followers.keys().copied().collect()
        })
    }

    pub(super) fn follower(&self, id: KeeperId) -> Option<&Follower> {
        self.leading()?.followers.get(&id)
    }

    /// The follower, if it is still in the life of its disk that the set names.
    pub(super) fn follower_mut(
        &mut self,
        id: KeeperId,
        incarnation: Incarnation,
    ) -> Option<&mut Follower> {
        let follower = self.leading_mut()?.followers.get_mut(&id)?;
        (follower.incarnation == incarnation).then_some(follower)
    }

    /// Sends one message of entries, if the follower may get one, and says whether it did.
    fn send_next(&mut self, id: KeeperId) -> bool {
        let Some(follower) = self.follower(id) else {
            return false;
        };
        let (next, last) = (follower.next, self.log.last_index());
        let (entries, bytes) = (self.config.max_ahead_entries, self.config.max_ahead_bytes);
        let has_room = follower.has_room(entries, bytes);
        if next <= self.log.base_index() && !follower.is_in_snapshot() {
            self.start_transfer(id);
            return false;
        }
        if !follower.is_streaming() || next > last || !has_room {
            return false;
        }
        let entries = self.log.slice(next, last, self.config.max_message_bytes);
        let incarnation = follower.incarnation;
        self.send_append(id, incarnation, next.prev(), entries);
        true
    }

    /// Sends a heartbeat, which also finds out where the follower's log stands.
    fn send_empty(&mut self, id: KeeperId) {
        let Some(follower) = self.follower(id) else {
            return;
        };
        let incarnation = follower.incarnation;
        let prev = match &follower.mode {
            Mode::Stream | Mode::Probe => follower.next.prev(),
            Mode::Snapshot(transfer) => transfer.snapshot.head.index,
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
            .expect("the entry before a message is the base or held");
        if let Some(last) = entries.last().map(|entry| entry.index)
            && let Some(follower) = self.follower_mut(id, incarnation)
        {
            let bytes = entries.iter().map(Entry::size_bytes).sum();
            follower.send_ahead(last, bytes);
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
        if term > self.hard.term && self.log.members().contains(from, sender) {
            self.become_follower(term, None);
            return;
        }
        let (now, last) = (self.now, self.log.last_index());
        if term != self.hard.term {
            return;
        }
        let Some(follower) = self.follower_mut(from, sender) else {
            return;
        };
        assert!(
            reply.matched <= last,
            "a follower holds what was sent to it"
        );
        follower.hear(reply.echo_us, now);
        follower.advance(reply.matched);
        if let Some(rejection) = reply.rejected {
            let before = follower.next;
            follower.back_up(rejection.prev_index, rejection.hint);
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
            true => self.start_transfer(id),
            false => self.send_empty(id),
        }
    }

    /// Looks what a follower's answer makes possible.
    pub(super) fn after_progress(&mut self) {
        self.advance_commit();
        self.finish_reads();
        if self
            .leading()
            .is_some_and(|leading| leading.hand_over.is_some())
        {
            self.finish_hand_over();
        }
    }
}
