//! Status of the replicated log.

use hemlock_types::time::Instant;

use crate::ids::{KeeperId, LogIndex, Term};
use crate::member::MemberSet;

/// Role of a keeper in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuorumRole {
    /// Receives entries from a leader, or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Appends new entries and replicates them.
    Leader,
}

/// State of the replicated log at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuorumStatus {
    /// Role of this keeper.
    pub role: QuorumRole,
    /// Term of this keeper.
    pub term: Term,
    /// The current leader, if known.
    pub leader: Option<KeeperId>,
    /// Whether this keeper is the leader and has applied all entries of earlier leaders.
    pub serving: bool,
    /// Index of the last entry known to be committed.
    pub commit: LogIndex,
    /// Index of the last entry in the log.
    pub last: LogIndex,
    /// Index of the last entry in the latest snapshot.
    pub snapshot: LogIndex,
    /// The current member set.
    pub members: MemberSet,
    /// Time until which the leader may serve reads without confirmation from a quorum.
    pub lease_until: Option<Instant>,
    /// Followers, if this keeper is the leader.
    pub followers: Vec<FollowerStatus>,
}

/// State of a follower as known to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Id of the follower.
    pub id: KeeperId,
    /// Index of the last entry known to be durable on the follower.
    pub matched: LogIndex,
    /// Send time of the latest message that the follower has acknowledged.
    pub last_contact: Option<Instant>,
    /// Whether a snapshot is being sent to the follower.
    pub in_snapshot: bool,
}
