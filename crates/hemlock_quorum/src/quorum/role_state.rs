//! What a core holds only while it has a certain role.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hemlock_types::time::Instant;

use super::follower::Follower;
use crate::ids::{KeeperId, LogIndex, ProposalToken};
use crate::status::QuorumRole;

/// The role with its state.
#[derive(Debug)]
pub(crate) enum RoleState {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(Leading),
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

/// Votes counted in one campaign.
#[derive(Debug, Default)]
pub(crate) struct Ballot {
    pub(crate) granted: BTreeSet<KeeperId>,
    pub(crate) refused: BTreeSet<KeeperId>,
    /// Whether the leader asked for the campaign.
    pub(crate) transfer: bool,
}

/// A leader's state.
#[derive(Debug)]
pub(crate) struct Leading {
    /// When the term began here.
    pub(crate) since: Instant,
    /// The first entry of the leader's own term.
    pub(crate) first_index: LogIndex,
    /// Whether that entry has been applied.
    pub(crate) serving: bool,
    pub(crate) followers: BTreeMap<KeeperId, Follower>,
    pub(crate) waiting: VecDeque<Waiting>,
    pub(crate) waiting_bytes: usize,
    pub(crate) reads: Vec<PendingRead>,
    pub(crate) next_heartbeat: Instant,
    /// Whether a question waits for answers to a heartbeat that was not sent yet.
    pub(crate) round_due: bool,
    pub(crate) hand_over: Option<HandOver>,
    /// Set once a successor was told to campaign: from then on a quorum may vote at any moment.
    pub(crate) lease_void: bool,
}

impl Leading {
    pub(crate) fn new(now: Instant, first_index: LogIndex) -> Self {
        Self {
            since: now,
            first_index,
            serving: false,
            followers: BTreeMap::new(),
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            reads: Vec::new(),
            next_heartbeat: now,
            round_due: false,
            hand_over: None,
            lease_void: false,
        }
    }
}

/// A proposal that is not committed yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) index: LogIndex,
    pub(crate) token: ProposalToken,
    pub(crate) bytes: usize,
}

/// A question whether the leader still leads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: ProposalToken,
    pub(crate) asked: Instant,
}

/// Leadership on its way to another keeper.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HandOver {
    pub(crate) to: KeeperId,
    pub(crate) until: Instant,
}
