//! Changes of the member set, one at a time.

use hemlock_types::ids::Incarnation;
use hemlock_types::time::DurationMs;

use super::Quorum;
use super::progress::FollowerProgress;
use crate::entry::Payload;
use crate::error::ProposeError;
use crate::ids::{KeeperId, ProposalToken};
use crate::member::{MAX_VOTERS, Member, MemberChange, MemberKind, MemberSet};

/// Largest number of entries by which a learner may lag when it is promoted.
const PROMOTION_LAG_ENTRIES: u64 = 64;

/// Largest number of members up to which the leader adds keepers automatically.
const MAX_AUTOMATIC_MEMBERS: usize = 16;

/// Time for which a join request remains valid, as a multiple of the longest election timeout.
const JOIN_REQUEST_VALID_TIMEOUTS: u64 = 5;

impl Quorum {
    pub(super) fn change_members(&mut self, token: ProposalToken, change: MemberChange) {
        let result = self
            .check_proposal()
            .and_then(|()| self.members_after(change))
            .map(Payload::Members);
        let accepted = result.is_ok();
        self.append_or_reject(token, result);
        if accepted {
            self.refresh_followers();
        }
    }

    /// Returns the member set after a change, if the change is allowed now.
    fn members_after(&self, change: MemberChange) -> Result<MemberSet, ProposeError> {
        let members = self.log.members();
        if self.log.members_index() > self.commit {
            return Err(ProposeError::ChangeInProgress);
        }
        let (id, changed) = match change {
            MemberChange::Add(id) => (id, self.with_learner(id)?),
            MemberChange::Promote(id) => (id, self.with_voter(id)?),
            MemberChange::Replace { id, incarnation } => {
                let known = members.get(id).is_some() && id != self.config.id;
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
            "old and new quorums must overlap"
        );
        Ok(changed)
    }

    fn with_learner(&self, id: KeeperId) -> Result<MemberSet, ProposeError> {
        let members = self.log.members();
        match (members.get(id), self.join_request_incarnation(id)) {
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

    /// Whether a member has recently acknowledged a message, with the disk incarnation stored in
    /// the member set.
    fn is_responsive(&self, id: KeeperId) -> bool {
        let timeout = DurationMs::new(self.config.election_min_ms);
        self.follower(id)
            .and_then(|follower| follower.last_contact)
            .is_some_and(|last_contact| self.now < last_contact + timeout)
    }

    fn has_caught_up(&self, id: KeeperId, follower: &FollowerProgress) -> bool {
        self.is_responsive(id)
            && follower.is_streaming()
            && self.commit.since(follower.matched) <= PROMOTION_LAG_ENTRIES
    }

    /// Incarnation of a keeper's disk, if the keeper has recently sent a join request.
    fn join_request_incarnation(&self, id: KeeperId) -> Option<Incarnation> {
        let valid_for = DurationMs::new(self.config.election_max_ms * JOIN_REQUEST_VALID_TIMEOUTS);
        let request = self.join_requests.get(&id)?;
        (self.now < request.received_at + valid_for).then_some(request.incarnation)
    }

    /// Makes a due change to the member set: replaces a member with a new disk, removes an
    /// unresponsive voter, promotes a learner or adds a keeper.
    pub(super) fn adjust_members(&mut self) {
        if self.check_proposal().is_err() {
            return;
        }
        let change = self
            .due_replacement()
            .or_else(|| self.due_removal())
            .or_else(|| self.due_promotion())
            .or_else(|| self.due_addition());
        if let Some(Ok(changed)) = change.map(|change| self.members_after(change)) {
            self.append_as_leader(Payload::Members(changed));
            self.refresh_followers();
        }
    }

    fn due_replacement(&self) -> Option<MemberChange> {
        let replaced = |(id, member): (KeeperId, Member)| {
            let incarnation = self.join_request_incarnation(id)?;
            let is_new_disk = incarnation != member.incarnation && id != self.config.id;
            let due = is_new_disk && !self.is_responsive(id);
            due.then_some(MemberChange::Replace { id, incarnation })
        };
        self.log.members().iter().find_map(replaced)
    }

    /// Removes an unresponsive voter if there are more voters than the target.
    fn due_removal(&self) -> Option<MemberChange> {
        let target = self.config.target_voters?;
        let above_target = self.log.members().voters().count() > target;
        let silent = self.silent_voter().filter(|_| above_target)?;
        Some(MemberChange::Remove(silent))
    }

    /// Adds a keeper that has recently sent a join request and is not a member.
    fn due_addition(&self) -> Option<MemberChange> {
        self.config.target_voters?;
        let members = self.log.members();
        if members.iter().count() >= MAX_AUTOMATIC_MEMBERS {
            return None;
        }
        let unknown = |id: &KeeperId| {
            members.get(*id).is_none() && self.join_request_incarnation(*id).is_some()
        };
        self.join_requests
            .keys()
            .copied()
            .find(unknown)
            .map(MemberChange::Add)
    }

    /// A voter that has been unresponsive for so long that it may be replaced.
    fn silent_voter(&self) -> Option<KeeperId> {
        let leader_state = self.leader_state()?;
        let timeout = DurationMs::new(self.config.replace_after_ms);
        let is_silent = |id: KeeperId| {
            let last_contact = self.follower(id).and_then(|follower| follower.last_contact);
            self.now
                > last_contact
                    .unwrap_or(leader_state.since)
                    .max(leader_state.since)
                    + timeout
        };
        let mut voters = self.log.members().voters().map(|(id, _)| id);
        voters.find(|id| *id != self.config.id && is_silent(*id))
    }

    /// Whether another voter is needed, because there are fewer than the target or a voter is
    /// unresponsive.
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
