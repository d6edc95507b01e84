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
        let change = self.due_replacement().or_else(|| self.due_promotion());
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

    fn due_promotion(&self) -> Option<MemberChange> {
        self.log
            .members()
            .iter()
            .filter(|(_, member)| member.kind == MemberKind::Learner)
            .filter_map(|(id, _)| Some((id, self.follower(id)?)))
            .find(|(id, follower)| self.has_caught_up(*id, follower))
            .map(|(id, _)| MemberChange::Promote(id))
    }
}
