//! How a follower takes entries from its leader.

use hemlock_types::ids::Incarnation;

use super::Quorum;
use super::role_state::RoleState;
use crate::entry::Entry;
use crate::ids::{KeeperId, LogIndex, Term};
use crate::message::{Append, AppendReply, Body, Rejection};

impl Quorum {
    pub(super) fn on_append(
        &mut self,
        from: KeeperId,
        sender: Incarnation,
        term: Term,
        append: Append,
    ) {
        if !self.follow(from, sender, term, append.sent_us) {
            return;
        }
        let heartbeat = append.entries.is_empty();
        match self.take_entries(append) {
            Ok(unsaved) => {
                self.ack_due |= unsaved;
                if heartbeat || !unsaved {
                    self.send_ack(from, Some(sender), None);
                }
            }
            Err(rejection) => self.send_ack(from, Some(sender), Some(rejection)),
        }
    }

    /// Accepts the sender as the leader of its term; tells a deposed one of the newer term.
    pub(super) fn follow(
        &mut self,
        from: KeeperId,
        sender: Incarnation,
        term: Term,
        sent_us: u64,
    ) -> bool {
        if term < self.hard.term {
            self.send_ack(from, Some(sender), None);
            return false;
        }
        assert!(
            term > self.hard.term || self.leader.is_none_or(|leader| leader == from),
            "a term has one leader"
        );
        assert!(
            term > self.hard.term || !matches!(self.role, RoleState::Leader(_)),
            "a term has one leader"
        );
        self.become_follower(term, Some(from));
        self.founding.give_up();
        self.hear_leader();
        self.echo_us = self.echo_us.max(sent_us);
        true
    }

    /// Takes the entries in, and says whether something new must become durable first.
    fn take_entries(&mut self, append: Append) -> Result<bool, Rejection> {
        let prev = append.prev_index;
        let end = LogIndex(prev.0 + append.entries.len() as u64);
        let known = prev <= self.commit || self.log.term_at(prev) == Some(append.prev_term);
        if !known {
            return Err(Rejection {
                prev_index: prev,
                hint: self.conflict_hint(prev),
            });
        }
        for entry in append.entries {
            self.take_entry(entry);
        }
        self.agreed = self.agreed.max(end);
        self.commit_to(append.commit.min(self.agreed));
        Ok(self.durable.index() < end)
    }

    fn take_entry(&mut self, entry: Entry) {
        let held = self.log.term_at(entry.index);
        let skip = entry.index <= self.commit || held == Some(entry.term);
        if skip {
            return;
        }
        if held.is_some() {
            self.drop_entries(entry.index);
        }
        self.log.append(entry);
    }

    fn drop_entries(&mut self, from: LogIndex) {
        assert!(from > self.commit, "a committed entry is never dropped");
        assert!(from > self.agreed, "a leader never contradicts itself");
        self.log.truncate(from);
        self.durable.truncate(from);
    }

    /// The last entry that may agree with a leader whose entry at `prev` does not.
    fn conflict_hint(&self, prev: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if last < prev {
            return last;
        }
        let conflicting = self.log.term_at(prev);
        let mut hint = prev.prev();
        while hint > self.commit && self.log.term_at(hint) == conflicting {
            hint = hint.prev();
        }
        hint.max(self.commit)
    }

    /// Tells the leader how far the durable log is known to agree with its own.
    pub(super) fn send_ack(
        &mut self,
        to: KeeperId,
        to_incarnation: Option<Incarnation>,
        rejected: Option<Rejection>,
    ) {
        let body = Body::AppendReply(AppendReply {
            matched: self.agreed.min(self.durable.index()),
            rejected,
            echo_us: self.echo_us,
        });
        self.send(to, to_incarnation, body);
    }

    /// Tells the leader of newly durable entries.
    pub(super) fn send_due_ack(&mut self) {
        let Some(leader) = self.leader.filter(|leader| *leader != self.config.me) else {
            return;
        };
        if self.ack_due {
            self.ack_due = self.durable.index() < self.agreed;
            self.send_ack(leader, None, None);
        }
    }
}
