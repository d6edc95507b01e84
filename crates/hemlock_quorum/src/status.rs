//! A look at a core from outside.

use hemlock_types::time::Instant;

use crate::ids::{KeeperId, LogIndex, Term};
use crate::member::MemberSet;

/// What a keeper does in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuorumRole {
    /// Takes entries from a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks to be elected.
    Candidate,
    /// Makes entries.
    Leader,
}

/// The core's state at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuorumStatus {
    /// What the keeper does.
    pub role: QuorumRole,
    /// Its term.
    pub term: Term,
    /// The leader, as far as it knows.
    pub leader: Option<KeeperId>,
    /// Whether it leads and has applied all earlier leaders' entries.
    pub serving: bool,
    /// The last entry known to be committed.
    pub commit: LogIndex,
    /// The last entry in its log.
    pub last: LogIndex,
    /// The last entry in its latest snapshot.
    pub snapshot: LogIndex,
    /// The keeper set that it goes by.
    pub members: MemberSet,
    /// The leader may serve reads without asking until then.
    pub lease_until: Option<Instant>,
    /// The leader's followers.
    pub followers: Vec<FollowerStatus>,
}

/// What a leader knows of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerStatus {
    /// The follower.
    pub id: KeeperId,
    /// The last entry that it holds durably.
    pub matched: LogIndex,
    /// When the latest message that it has answered was sent.
    pub heard: Option<Instant>,
    /// Whether a snapshot is on its way to it.
    pub in_snapshot: bool,
}
