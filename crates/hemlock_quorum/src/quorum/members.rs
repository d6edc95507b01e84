//! Changes of the keeper set, one at a time.

use hemlock_types::ids::Incarnation;
use hemlock_types::time::DurationMs;

use super::Quorum;
use super::follower::Follower;
use crate::entry::Payload;
use crate::error::ProposeError;
use crate::ids::{KeeperId, ProposalToken};
use crate::member::{MAX_VOTERS, Member, MemberChange, MemberKind, MemberSet};

/// Entries that a learner may lack when it is made a voter.
const PROMOTION_LAG_ENTRIES: u64 = 64;

/// Most members of a set that the leader extends by itself.
const MAX_OWN_MEMBERS: usize = 16;

/// How long a keeper's call counts, in longest election timeouts.
const CALL_COUNTS_TIMEOUTS: u64 = 5;

impl Quorum {
    pub(super) fn change_members(&mut self, token: ProposalToken, change: MemberChange) {
        let result = self
            .check_proposal()
            .and_then(|()| self.changed_members(change))
            .map(Payload::Members);
        let accepted = result.is_ok();
        self.append_or_refuse(token, result);
        if accepted {
            self.refresh_followers();
        }
    }

    /// The keeper set after a change, if it may be made now.
    fn changed_members(&self, change: MemberChange) -> Result<MemberSet, ProposeError> {
        let members = self.log.members();
        if self.log.members_index() > self.commit {
            return Err(ProposeError::ChangeInProgress);
        }
        let (id, changed) = match change {
            MemberChange::Add(id) => (id, self.with_learner(id)?),
            MemberChange::Promote(id) => (id, self.with_voter(id)?),
            MemberChange::Replace { id, incarnation } => {
                let known = members.get(id).is_some() && id != self.config.me;
                let learner = members.clone().with(id, Member::learner(incarnation));
                (id, if known { learner } else { members.clone() })
            }
            MemberChange::Remove(id) => (id, members.clone().without(id)),
        };
        let voters = changed.voters().count();
        if changed == *members || voters == 0 || voters > MAX_VOTERS {
            return Err(ProposeError::InvalidChange(id));
        }
        assert!(
            members.voters_differing(&changed) <= 1,
            "old and new quorums overlap"
        );
        Ok(changed)
    }

    fn with_learner(&self, id: KeeperId) -> Result<MemberSet, ProposeError> {
        let members = self.log.members();
        match (members.get(id), self.joined(id)) {
            (Some(_), _) => Err(ProposeError::InvalidChange(id)),
            (None, None) => Err(ProposeError::UnknownKeeper(id)),
            (None, Some(incarnation)) => Ok(members.clone().with(id, Member::learner(incarnation))),
        }
    }

    fn with_voter(&self, id: KeeperId) -> Result<MemberSet, ProposeError> {
        let Some(follower) = self.follower(id) else {
            return Err(ProposeError::InvalidChange(id));
        };
        match self.has_caught_up(id, follower) {
            true => Ok(self
                .log
                .members()
                .clone()
                .with(id, Member::voter(follower.incarnation))),
            false => Err(ProposeError::NotCaughtUp(id)),
        }
    }

    /// Whether a member has answered lately in the life of its disk that the set names.
    fn answers(&self, id: KeeperId) -> bool {
        let patience = DurationMs::new(self.config.election_min_ms);
        self.follower(id)
            .and_then(|follower| follower.heard)
            .is_some_and(|heard| self.now < heard + patience)
    }

    fn has_caught_up(&self, id: KeeperId, follower: &Follower) -> bool {
        self.answers(id)
            && follower.is_streaming()
            && self.commit.since(follower.matched) <= PROMOTION_LAG_ENTRIES
    }

    /// The life of a keeper's disk, if it has called lately.
    fn joined(&self, id: KeeperId) -> Option<Incarnation> {
        let counts = DurationMs::new(self.config.election_max_ms * CALL_COUNTS_TIMEOUTS);
        let joiner = self.joiners.get(&id)?;
        (self.now < joiner.called + counts).then_some(joiner.incarnation)
    }

    /// Makes a learner that has caught up a voter, and takes the vote of a member whose disk was
    /// replaced.
    pub(super) fn change_members_by_itself(&mut self) {
        if self.check_proposal().is_err() {
            return;
        }
        let change = self
            .due_replacement()
            .or_else(|| self.due_removal())
            .or_else(|| self.due_promotion())
            .or_else(|| self.due_addition());
        if let Some(Ok(changed)) = change.map(|change| self.changed_members(change)) {
            self.append_own(Payload::Members(changed));
            self.refresh_followers();
        }
    }

    fn due_replacement(&self) -> Option<MemberChange> {
        let replaced = |(id, member): (KeeperId, Member)| {
            let incarnation = self.joined(id)?;
            let other = incarnation != member.incarnation && id != self.config.me;
            let due = other && !self.answers(id);
            due.then_some(MemberChange::Replace { id, incarnation })
        };
        self.log.members().iter().find_map(replaced)
    }

    /// A silent voter beyond the number of voters that the set is kept at.
    fn due_removal(&self) -> Option<MemberChange> {
        let target = self.config.target_voters?;
        let crowded = self.log.members().voters().count() > target;
        let silent = self.silent_voter().filter(|_| crowded)?;
        Some(MemberChange::Remove(silent))
    }

    /// A keeper that has called and belongs to no set yet.
    fn due_addition(&self) -> Option<MemberChange> {
        self.config.target_voters?;
        let members = self.log.members();
        if members.iter().count() >= MAX_OWN_MEMBERS {
            return None;
        }
        let unknown = |id: &KeeperId| members.get(*id).is_none() && self.joined(*id).is_some();
        self.joiners
            .keys()
            .copied()
            .find(unknown)
            .map(MemberChange::Add)
    }

    /// A voter that has not answered for so long that another may take its place.
    fn silent_voter(&self) -> Option<KeeperId> {
        let leading = self.leading()?;
        let patience = DurationMs::new(self.config.replace_after_ms);
        let is_silent = |id: KeeperId| {
            let heard = self.follower(id).and_then(|follower| follower.heard);
            self.now > heard.unwrap_or(leading.since).max(leading.since) + patience
        };
        let mut voters = self.log.members().voters().map(|(id, _)| id);
        voters.find(|id| *id != self.config.me && is_silent(*id))
    }

    /// Whether one more voter is wanted: the set is too small, or a voter has fallen silent.
    fn wants_voter(&self) -> bool {
        let voters = self.log.members().voters().count();
        match self.config.target_voters {
            None => true,
            Some(target) if voters < target => true,
            Some(target) => voters == target && self.silent_voter().is_some(),
        }
    }

    fn due_promotion(&self) -> Option<MemberChange> {
        if !self.wants_voter() {
            return None;
        }
        self.log
            .members()
            .iter()
            .filter(|(_, member)| member.kind == MemberKind::Learner)
            .filter_map(|(id, _)| Some((id, self.follower(id)?)))
            .find(|(id, follower)| self.has_caught_up(*id, follower))
            .map(|(id, _)| MemberChange::Promote(id))
    }
}
