//! Periodic work of a leader: heartbeats, the quorum check, the lease and leadership transfers.

use hemlock_types::time::{DurationMs, Instant};

use super::Quorum;
use super::progress::FollowerProgress;
use super::role_state::{LeaderState, LeadershipTransfer, RoleState};
use crate::ids::{KeeperId, LogIndex};
use crate::message::Body;

impl Quorum {
    pub(super) fn leader_state(&self) -> Option<&LeaderState> {
        match &self.role {
            RoleState::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    pub(super) fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RoleState::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    /// Whether this keeper is the leader and has applied all entries of earlier leaders.
    pub fn is_serving(&self) -> bool {
        self.leader_state()
            .is_some_and(|leader_state| leader_state.serving)
    }

    pub(super) fn tick_leader(&mut self) {
        if self.has_lost_quorum() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        self.drop_expired_leadership_transfer();
        self.adjust_members();
        let (now, pause) = (self.now, self.heartbeat());
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        if now >= leader_state.next_heartbeat {
            leader_state.next_heartbeat = now + pause;
            self.send_heartbeats();
        }
    }

    /// Latest point in time such that every member of some quorum has acknowledged a message sent
    /// at or after it. The leader counts as having acknowledged one now.
    pub(super) fn quorum_contact(&self, leader_state: &LeaderState) -> Option<Instant> {
        let own = Some(self.now);
        let last_contact = |follower: &FollowerProgress| follower.last_contact;
        self.quorum_value(leader_state, own, last_contact).flatten()
    }

    /// Index of the last entry that is durable on a quorum.
    pub(super) fn quorum_matched(&self, leader_state: &LeaderState) -> Option<LogIndex> {
        self.quorum_value(leader_state, self.durability.index(), |follower| {
            follower.matched
        })
    }

    /// Largest value that a quorum of voters has reached.
    fn quorum_value<V: Ord + Copy + Default>(
        &self,
        leader_state: &LeaderState,
        own: V,
        of: impl Fn(&FollowerProgress) -> V,
    ) -> Option<V> {
        let members = self.log.members();
        let value = |id: KeeperId| match leader_state.followers.get(&id) {
            _ if id == self.config.id => own,
            Some(follower) => of(follower),
            None => V::default(),
        };
        let mut values: Vec<V> = members.voters().map(|(id, _)| value(id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(members.quorum() - 1).copied()
    }

    /// Time until which no other keeper can have become leader; `None` unless this keeper is the
    /// leader and has been in contact with a quorum.
    pub fn lease_until(&self) -> Option<Instant> {
        let leader_state = self.leader_state()?;
        match self.quorum_contact(leader_state) {
            Some(last_contact) if leader_state.serving && !leader_state.lease_revoked => {
                Some(last_contact + DurationMs::new(self.config.lease_ms))
            }
            _ => None,
        }
    }

    fn has_lost_quorum(&self) -> bool {
        let Some(leader_state) = self.leader_state() else {
            return false;
        };
        let last_contact = self
            .quorum_contact(leader_state)
            .max(Some(leader_state.since));
        let timeout = DurationMs::new(self.config.election_max_ms);
        last_contact.is_some_and(|last_contact| self.now > last_contact + timeout)
    }

    pub(super) fn start_leadership_transfer(&mut self, to: Option<KeeperId>) {
        let until = self.now + DurationMs::new(self.config.election_max_ms);
        let Some(to) = self.successor(to) else { return };
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        if leader_state.serving && leader_state.leadership_transfer.is_none() {
            leader_state.leadership_transfer = Some(LeadershipTransfer { to, until });
            self.advance_leadership_transfer();
        }
    }

    /// The requested voter, or the most up-to-date one.
    fn successor(&self, wanted: Option<KeeperId>) -> Option<KeeperId> {
        let leader_state = self.leader_state()?;
        let members = self.log.members();
        leader_state
            .followers
            .iter()
            .filter(|(id, follower)| members.is_voter(**id, follower.incarnation))
            .filter(|(id, _)| wanted.is_none_or(|wanted| wanted == **id))
            .max_by_key(|(_, follower)| (follower.matched, follower.last_contact))
            .map(|(id, _)| *id)
    }

    /// Tells the target to start an election once its log is complete.
    pub(super) fn advance_leadership_transfer(&mut self) {
        let last = self.log.last_index();
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        let Some(leadership_transfer) = leader_state.leadership_transfer else {
            return;
        };
        let Some(successor) = leader_state.followers.get(&leadership_transfer.to) else {
            return;
        };
        let incarnation = successor.incarnation;
        if successor.matched == last {
            leader_state.lease_revoked = true;
            self.send(leadership_transfer.to, Some(incarnation), Body::TimeoutNow);
        }
    }

    fn drop_expired_leadership_transfer(&mut self) {
        let now = self.now;
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.leadership_transfer = leader_state
                .leadership_transfer
                .filter(|leadership_transfer| now < leadership_transfer.until);
        }
    }
}
