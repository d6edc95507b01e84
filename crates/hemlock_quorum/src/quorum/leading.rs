//! A leader's clockwork: heartbeats, the quorum check, the lease and handing over.

use hemlock_types::time::{DurationMs, Instant};

use super::Quorum;
use super::follower::Follower;
use super::role_state::{HandOver, Leading, RoleState};
use crate::ids::{KeeperId, LogIndex};
use crate::message::Body;

impl Quorum {
    pub(super) fn leading(&self) -> Option<&Leading> {
        match &self.role {
            RoleState::Leader(leading) => Some(leading),
            _ => None,
        }
    }

    pub(super) fn leading_mut(&mut self) -> Option<&mut Leading> {
        match &mut self.role {
            RoleState::Leader(leading) => Some(leading),
            _ => None,
        }
    }

    /// Whether this keeper leads and has applied all earlier leaders' entries.
    pub fn is_serving(&self) -> bool {
        self.leading().is_some_and(|leading| leading.serving)
    }

    pub(super) fn tick_leader(&mut self) {
        if self.has_lost_quorum() {
            self.become_follower(self.hard.term, None);
            return;
        }
        self.drop_late_hand_over();
        self.change_members_by_itself();
        let (now, pause) = (self.now, self.heartbeat());
        let Some(leading) = self.leading_mut() else {
            return;
        };
        if now >= leading.next_heartbeat {
            leading.next_heartbeat = now + pause;
            self.send_heartbeats();
        }
    }

    /// When the latest message was sent that a quorum has answered; the leader answers itself.
    pub(super) fn quorum_heard(&self, leading: &Leading) -> Option<Instant> {
        let own = Some(self.now);
        let heard = |follower: &Follower| follower.heard;
        self.quorum_value(leading, own, heard).flatten()
    }

    /// The last entry that a quorum holds durably.
    pub(super) fn quorum_matched(&self, leading: &Leading) -> Option<LogIndex> {
        self.quorum_value(leading, self.durable.index(), |follower| follower.matched)
    }

    /// The largest value that a quorum of voters has reached.
    fn quorum_value<V: Ord + Copy + Default>(
        &self,
        leading: &Leading,
        own: V,
        of: impl Fn(&Follower) -> V,
    ) -> Option<V> {
        let members = self.log.members();
        let value = |id: KeeperId| match leading.followers.get(&id) {
            _ if id == self.config.me => own,
            Some(follower) => of(follower),
            None => V::default(),
        };
        let mut values: Vec<V> = members.voters().map(|(id, _)| value(id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(members.quorum() - 1).copied()
    }

    /// Until when no other keeper can have become leader, if this one leads and a quorum has
    /// answered it.
    pub fn lease_until(&self) -> Option<Instant> {
        let leading = self.leading()?;
        match self.quorum_heard(leading) {
            Some(heard) if leading.serving && !leading.lease_void => {
                Some(heard + DurationMs::new(self.config.lease_ms))
            }
            _ => None,
        }
    }

    fn has_lost_quorum(&self) -> bool {
        let Some(leading) = self.leading() else {
            return false;
        };
        let heard = self.quorum_heard(leading).max(Some(leading.since));
        let patience = DurationMs::new(self.config.election_max_ms);
        heard.is_some_and(|heard| self.now > heard + patience)
    }

    pub(super) fn start_hand_over(&mut self, to: Option<KeeperId>) {
        let until = self.now + DurationMs::new(self.config.election_max_ms);
        let Some(to) = self.successor(to) else { return };
        let Some(leading) = self.leading_mut() else {
            return;
        };
        if leading.serving && leading.hand_over.is_none() {
            leading.hand_over = Some(HandOver { to, until });
            self.finish_hand_over();
        }
    }

    /// The voter asked for, or the one that is furthest along.
    fn successor(&self, wanted: Option<KeeperId>) -> Option<KeeperId> {
        let leading = self.leading()?;
        let members = self.log.members();
        leading
            .followers
            .iter()
            .filter(|(id, follower)| members.is_voter(**id, follower.incarnation))
            .filter(|(id, _)| wanted.is_none_or(|wanted| wanted == **id))
            .max_by_key(|(_, follower)| (follower.matched, follower.heard))
            .map(|(id, _)| *id)
    }

    /// Tells the successor to campaign once it holds the whole log.
    pub(super) fn finish_hand_over(&mut self) {
        let last = self.log.last_index();
        let Some(leading) = self.leading_mut() else {
            return;
        };
        let Some(hand_over) = leading.hand_over else {
            return;
        };
        let Some(successor) = leading.followers.get(&hand_over.to) else {
            return;
        };
        let incarnation = successor.incarnation;
        if successor.matched == last {
            leading.lease_void = true;
            self.send(hand_over.to, Some(incarnation), Body::TimeoutNow);
        }
    }

    fn drop_late_hand_over(&mut self) {
        let now = self.now;
        if let Some(leading) = self.leading_mut() {
            leading.hand_over = leading.hand_over.filter(|hand_over| now < hand_over.until);
        }
    }
}
