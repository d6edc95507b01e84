//! The member set of the cluster and the changes that can be made to it.

use std::collections::BTreeMap;

use hemlock_types::ids::Incarnation;
use serde::{Deserialize, Serialize};

use crate::ids::KeeperId;

/// Largest number of voters in a member set.
pub const MAX_VOTERS: usize = 7;

/// Role of a keeper in the member set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberKind {
    /// Votes in elections and counts towards the quorum.
    Voter,
    /// Receives the log, but does not vote or count towards the quorum.
    Learner,
}

/// A member of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Incarnation of the member's disk. A keeper with another disk is not this member.
    pub incarnation: Incarnation,
    /// Role of the member.
    pub kind: MemberKind,
}

impl Member {
    /// Creates a voter.
    pub fn voter(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            kind: MemberKind::Voter,
        }
    }

    /// Creates a learner.
    pub fn learner(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            kind: MemberKind::Learner,
        }
    }
}

/// The members of the cluster, as defined by a log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSet {
    members: BTreeMap<KeeperId, Member>,
}

impl MemberSet {
    /// Creates a set of the given members.
    pub fn new(members: impl IntoIterator<Item = (KeeperId, Member)>) -> Self {
        Self {
            members: members.into_iter().collect(),
        }
    }

    /// Whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the member with this id.
    pub fn get(&self, id: KeeperId) -> Option<Member> {
        self.members.get(&id).copied()
    }

    /// Iterates over all members, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (KeeperId, Member)> + '_ {
        self.members.iter().map(|(id, member)| (*id, *member))
    }

    /// Iterates over the voters, ordered by id.
    pub fn voters(&self) -> impl Iterator<Item = (KeeperId, Member)> + '_ {
        self.iter()
            .filter(|(_, member)| member.kind == MemberKind::Voter)
    }

    /// Number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the keeper is a voter with this disk incarnation.
    pub fn is_voter(&self, id: KeeperId, incarnation: Incarnation) -> bool {
        self.get(id) == Some(Member::voter(incarnation))
    }

    /// Whether the keeper is a member with this disk incarnation.
    pub fn contains(&self, id: KeeperId, incarnation: Incarnation) -> bool {
        self.get(id)
            .is_some_and(|member| member.incarnation == incarnation)
    }

    /// Returns the set with a member added or replaced.
    #[must_use]
    pub fn with(mut self, id: KeeperId, member: Member) -> Self {
        self.members.insert(id, member);
        self
    }

    /// Returns the set with a member removed.
    #[must_use]
    pub fn without(mut self, id: KeeperId) -> Self {
        self.members.remove(&id);
        self
    }

    /// Number of voters that are in only one of the two sets. Voters with the same id and different
    /// disk incarnations count as different voters.
    pub fn voters_differing(&self, other: &Self) -> usize {
        let only_here = self
            .voters()
            .filter(|(id, m)| !other.is_voter(*id, m.incarnation));
        let only_there = other
            .voters()
            .filter(|(id, m)| !self.is_voter(*id, m.incarnation));
        only_here.count() + only_there.count()
    }
}

/// A change of the member set, made by an operator or by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a keeper that has asked the leader to join, as a learner. The leader promotes it to a
    /// voter once it has caught up.
    Add(KeeperId),
    /// Promotes a learner that has caught up to a voter.
    Promote(KeeperId),
    /// Turns a member whose disk was replaced into a learner, until it has caught up on its new
    /// disk.
    Replace {
        /// Id of the member.
        id: KeeperId,
        /// Incarnation of its new disk.
        incarnation: Incarnation,
    },
    /// Removes a member.
    Remove(KeeperId),
}
