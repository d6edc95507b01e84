//! The set of keepers that hold the log, and the changes that may be made to it.

use std::collections::BTreeMap;

use hemlock_types::ids::Incarnation;
use serde::{Deserialize, Serialize};

use crate::ids::KeeperId;

/// Most voters that a set may hold.
pub const MAX_VOTERS: usize = 7;

/// What a keeper does for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberKind {
    /// Votes, and counts towards the quorum.
    Voter,
    /// Receives the log, but neither votes nor counts.
    Learner,
}

/// One keeper of the set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The life of the disk that belongs to the set. A keeper on another disk is not the member.
    pub incarnation: Incarnation,
    /// What the keeper does.
    pub kind: MemberKind,
}

impl Member {
    /// A member that votes.
    pub fn voter(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            kind: MemberKind::Voter,
        }
    }

    /// A member that only receives the log.
    pub fn learner(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            kind: MemberKind::Learner,
        }
    }
}

/// The keepers of the cluster, as one log entry states them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSet {
    members: BTreeMap<KeeperId, Member>,
}

impl MemberSet {
    /// A set of the given members.
    pub fn new(members: impl IntoIterator<Item = (KeeperId, Member)>) -> Self {
        Self {
            members: members.into_iter().collect(),
        }
    }

    /// Whether nobody is in the set yet.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The member with this id.
    pub fn get(&self, id: KeeperId) -> Option<Member> {
        self.members.get(&id).copied()
    }

    /// All members in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (KeeperId, Member)> + '_ {
        self.members.iter().map(|(id, member)| (*id, *member))
    }

    /// The voters in the order of their ids.
    pub fn voters(&self) -> impl Iterator<Item = (KeeperId, Member)> + '_ {
        self.iter()
            .filter(|(_, member)| member.kind == MemberKind::Voter)
    }

    /// How many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the keeper votes in this life of its disk.
    pub fn is_voter(&self, id: KeeperId, incarnation: Incarnation) -> bool {
        self.get(id) == Some(Member::voter(incarnation))
    }

    /// Whether the keeper belongs to the set in this life of its disk.
    pub fn contains(&self, id: KeeperId, incarnation: Incarnation) -> bool {
        self.get(id)
            .is_some_and(|member| member.incarnation == incarnation)
    }

    /// The set with the member put in, or changed.
    #[must_use]
    pub fn with(mut self, id: KeeperId, member: Member) -> Self {
        self.members.insert(id, member);
        self
    }

    /// The set without the member.
    #[must_use]
    pub fn without(mut self, id: KeeperId) -> Self {
        self.members.remove(&id);
        self
    }

    /// How many voters are in one of the two sets only, a voter on another disk counted as another
    /// voter.
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

/// A change of the set that an operator or the leader itself asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Takes in a keeper that has made itself known to the leader, as a learner. The leader makes
    /// it a voter once it has caught up.
    Add(KeeperId),
    /// Makes a learner that has caught up a voter.
    Promote(KeeperId),
    /// Takes a member's vote away until it has caught up in the life of the disk given here.
    Replace {
        /// The member.
        id: KeeperId,
        /// The new life of its disk.
        incarnation: Incarnation,
    },
    /// Takes a keeper out of the set.
    Remove(KeeperId),
}
