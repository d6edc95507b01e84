//! State that a keeper holds only in a certain role.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hemlock_types::time::Instant;

use super::progress::FollowerProgress;
use crate::ids::{KeeperId, LogIndex, ProposalToken};
use crate::message::RestartedVoter;
use crate::status::QuorumRole;

/// Role of a keeper, with the state of that role.
#[derive(Debug)]
pub(crate) enum RoleState {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(LeaderState),
}

impl RoleState {
    pub(crate) fn role(&self) -> QuorumRole {
        match self {
            Self::Follower => QuorumRole::Follower,
            Self::PreCandidate(_) => QuorumRole::PreCandidate,
            Self::Candidate(_) => QuorumRole::Candidate,
            Self::Leader(_) => QuorumRole::Leader,
        }
    }
}

/// Votes received in an election.
#[derive(Debug, Default)]
pub(crate) struct VoteTally {
    pub(crate) granted: BTreeSet<KeeperId>,
    pub(crate) refused: BTreeSet<KeeperId>,
    /// Voters that have just started and would grant the vote, but for a lease that they may have
    /// acknowledged before.
    pub(crate) restarted: BTreeMap<KeeperId, RestartedVoter>,
    /// Whether the election was started by a leadership transfer.
    pub(crate) transfer: bool,
    /// Whether the latest leader is known to have restarted.
    pub(crate) leader_restarted: bool,
}

/// State of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// Time at which this keeper became leader.
    pub(crate) since: Instant,
    /// Index of the first entry of the leader's own term.
    pub(crate) first_index: LogIndex,
    /// Whether that entry has been applied.
    pub(crate) serving: bool,
    pub(crate) followers: BTreeMap<KeeperId, FollowerProgress>,
    pub(crate) pending_proposals: VecDeque<PendingProposal>,
    pub(crate) pending_bytes: usize,
    pub(crate) reads: Vec<PendingRead>,
    pub(crate) next_heartbeat: Instant,
    /// Whether heartbeats must be sent to confirm the leadership for a pending read.
    pub(crate) heartbeat_round_due: bool,
    pub(crate) leadership_transfer: Option<LeadershipTransfer>,
    /// Set once a follower was told to start an election. From then on a quorum may vote at any
    /// time, so the lease is not valid.
    pub(crate) lease_revoked: bool,
}

impl LeaderState {
    pub(crate) fn new(now: Instant, first_index: LogIndex) -> Self {
        Self {
            since: now,
            first_index,
            serving: false,
            followers: BTreeMap::new(),
            pending_proposals: VecDeque::new(),
            pending_bytes: 0,
            reads: Vec::new(),
            next_heartbeat: now,
            heartbeat_round_due: false,
            leadership_transfer: None,
            lease_revoked: false,
        }
    }
}

/// A proposal that is not committed yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingProposal {
    pub(crate) index: LogIndex,
    pub(crate) token: ProposalToken,
    pub(crate) bytes: usize,
}

/// A read that waits for confirmation of the leadership.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: ProposalToken,
    pub(crate) requested_at: Instant,
}

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadershipTransfer {
    pub(crate) to: KeeperId,
    pub(crate) until: Instant,
}
