//! Replication on the follower's side: accepts entries from the leader.

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
        match self.accept_entries(append) {
            Ok(unsaved) => {
                self.ack_due |= unsaved;
                if heartbeat || !unsaved {
                    self.send_ack(from, Some(sender), None);
                }
            }
            Err(rejection) => self.send_ack(from, Some(sender), Some(rejection)),
        }
    }

    /// Accepts the sender as the leader of its term. A leader of an earlier term is told the
    /// current term and `false` is returned.
    pub(super) fn follow(
        &mut self,
        from: KeeperId,
        sender: Incarnation,
        term: Term,
        sent_us: u64,
    ) -> bool {
        if term < self.hard_state.term {
            self.send_ack(from, Some(sender), None);
            return false;
        }
        assert!(
            term > self.hard_state.term || self.leader.is_none_or(|leader| leader == from),
            "a term has at most one leader"
        );
        assert!(
            term > self.hard_state.term || !matches!(self.role, RoleState::Leader(_)),
            "a term has at most one leader"
        );
        self.become_follower(term, Some(from));
        self.bootstrap.mark_disk_used();
        self.is_restarted = false;
        self.record_leader_contact();
        self.echo_us = self.echo_us.max(sent_us);
        true
    }

    /// Adds the entries to the log. Returns whether some of them are not durable yet.
    fn accept_entries(&mut self, append: Append) -> Result<bool, Rejection> {
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
            self.accept_entry(entry);
        }
        self.matched_index = self.matched_index.max(end);
        self.commit_to(append.commit.min(self.matched_index));
        Ok(self.durability.index() < end)
    }

    fn accept_entry(&mut self, entry: Entry) {
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
        assert!(from > self.commit, "a committed entry is never removed");
        assert!(
            from > self.matched_index,
            "a leader's log never conflicts with its earlier messages"
        );
        self.log.truncate(from);
        self.durability.truncate(from);
    }

    /// Index of the last entry that may match the leader's log, when the entry at `prev` does not.
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

    /// Sends the index up to which the durable log is known to match the leader's.
    pub(super) fn send_ack(
        &mut self,
        to: KeeperId,
        to_incarnation: Option<Incarnation>,
        rejected: Option<Rejection>,
    ) {
        let body = Body::AppendReply(AppendReply {
            matched: self.matched_index.min(self.durability.index()),
            rejected,
            echo_us: self.echo_us,
        });
        self.send(to, to_incarnation, body);
    }

    /// Acknowledges entries that have become durable.
    pub(super) fn send_due_ack(&mut self) {
        let Some(leader) = self.leader.filter(|leader| *leader != self.config.id) else {
            return;
        };
        if self.ack_due {
            self.ack_due = self.durability.index() < self.matched_index;
            self.send_ack(leader, None, None);
        }
    }
}
