//! Requests from entries, agents and other keepers to a keeper, and the keeper's replies.

use std::net::SocketAddr;

use bytes::Bytes;
use hemlock_contract::prelude::*;
use hemlock_directory::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A request to a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperRequest {
    /// Reports an entry's state and requests updates. The reply is [`KeeperReply::EntrySync`]. This
    /// is a long poll: the keeper may delay the reply by up to `wait_ms` while there is no update.
    EntrySync(EntrySync),
    /// Announces an agent's endpoint or renews its announcement. The reply is
    /// [`KeeperReply::AgentSync`].
    AgentSync(AgentSync),
    /// Removes the endpoint of this agent from the directory. The reply is [`KeeperReply::Done`].
    Withdraw(Incarnation),
    /// Claims submissions. The reply, [`KeeperReply::Claims`], has the same order.
    Claims(Vec<ClaimRequest>),
    /// Records the ends of submissions. The reply, [`KeeperReply::Done`], comes once they are
    /// recorded.
    Ends(Vec<EndRecord>),
    /// Cancels a submission. The reply is [`KeeperReply::Cancelled`].
    Cancel(SubmissionId),
    /// Reads a submission's state without claiming it. The reply is [`KeeperReply::Lookup`].
    Lookup(SubmissionId),
    /// An encoded message of the replicated log, from another keeper. The reply is
    /// [`KeeperReply::Done`].
    Quorum(Bytes),
    /// An operator's HTTP call, forwarded by the keeper that received it. The reply is
    /// [`KeeperReply::Operator`].
    Operator {
        /// HTTP method.
        method: String,
        /// Path, without the host.
        path: String,
        /// Request body.
        body: Bytes,
    },
}

/// Periodic report of an entry to the leading keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySync {
    /// Incarnation of the entry.
    pub entry: Incarnation,
    /// Failure domain of the entry.
    pub domain: FailureDomainName,
    /// Configuration version that the entry applies.
    pub config: ConfigVersion,
    /// Generation and version of the directory that the entry holds.
    pub directory: (u64, u64),
    /// Running and queued work of the entry, by customer.
    pub demand: Vec<Demand>,
    /// `shares_seq` of the latest reply whose shares the entry has applied; 0 if there is none.
    pub shares_seen: u64,
    /// Longest time by which the keeper may delay the reply, in milliseconds.
    pub wait_ms: u64,
    /// The entry is stopping and gives up its lease and its shares.
    pub leaving: bool,
}

/// Periodic announcement of an agent to the leading keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentSync {
    /// The announced endpoint.
    pub announcement: Announcement,
    /// Number of running tasks.
    pub running: u16,
}

/// A reply from a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperReply {
    /// This keeper isn't the leader; the request belongs to the leader.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// Updates for an entry.
    EntrySync {
        /// Duration of the configuration lease in milliseconds, from when the entry sent its
        /// report.
        lease_ms: u64,
        /// Configuration changes since the reported version.
        config: ConfigUpdate,
        /// Directory changes since the reported version.
        directory: DirectoryUpdate,
        /// All shares that the entry holds from now on. They replace all earlier ones.
        shares: Vec<Share>,
        /// Sequence number of this allocation of shares. An entry ignores shares whose number is
        /// not above that of the shares it has applied, so that a late reply changes nothing.
        shares_seq: u64,
        /// Submissions of this entry that were cancelled through another entry.
        cancelled: Vec<SubmissionId>,
        /// Addresses of all keepers.
        keepers: Vec<SocketAddr>,
    },
    /// Updates for an agent.
    AgentSync {
        /// Time after which the announcement expires unless it is renewed, in milliseconds.
        lease_ms: u64,
        /// Whether a planned stop covers the endpoint, so that it must accept no new work.
        draining: bool,
        /// Addresses of all keepers.
        keepers: Vec<SocketAddr>,
    },
    /// Replies to claims, in the order of the request.
    Claims(Vec<ClaimReply>),
    /// Reply to a cancellation.
    Cancelled(CancelReply),
    /// State of a submission, as a claim would find it: ended, cancelled, or busy with the entry
    /// that runs it. `None` if the ledger doesn't hold it or no live entry owns it.
    Lookup(Option<ClaimReply>),
    /// The request was carried out.
    Done,
    /// Response to an operator's HTTP call.
    Operator {
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: Bytes,
    },
    /// The keeper can't serve the request now, for example because it has no quorum. It is not
    /// known whether a requested change was recorded.
    Unavailable,
}
