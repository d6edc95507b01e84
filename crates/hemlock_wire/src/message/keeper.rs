//! What entries, agents and other keepers ask of a keeper.

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
    /// An entry reports and asks for news: [`KeeperReply::EntrySync`]. The keeper may hold the
    /// answer back up to `wait_ms` while it has nothing new.
    EntrySync(EntrySync),
    /// An agent announces its endpoint: [`KeeperReply::AgentSync`].
    AgentSync(AgentSync),
    /// An endpoint is withdrawn: [`KeeperReply::Done`].
    Withdraw(Incarnation),
    /// Claims, answered in order: [`KeeperReply::Claims`].
    Claims(Vec<ClaimRequest>),
    /// Ends of submissions: [`KeeperReply::Done`] once they are recorded.
    Ends(Vec<EndRecord>),
    /// Cancels a submission: [`KeeperReply::Cancelled`].
    Cancel(SubmissionId),
    /// Asks for a submission's state without claiming it: [`KeeperReply::Lookup`].
    Lookup(SubmissionId),
    /// A message of the replicated log, encoded; answered with [`KeeperReply::Done`].
    Quorum(Bytes),
    /// An operator's call that another keeper took: [`KeeperReply::Operator`].
    Operator {
        /// HTTP method.
        method: String,
        /// Path, without the host.
        path: String,
        /// Body.
        body: Bytes,
    },
}

/// An entry's report to the leading keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySync {
    /// The entry.
    pub entry: Incarnation,
    /// Its failure domain.
    pub domain: FailureDomainName,
    /// Configuration version in force in the entry.
    pub config: ConfigVersion,
    /// Generation and version of the directory that it holds.
    pub directory: (u64, u64),
    /// Its work by contract.
    pub demand: Vec<Demand>,
    /// `shares_seq` of the latest answer whose shares it has taken, 0 when none.
    pub shares_seen: u64,
    /// How long the keeper may hold the answer back, in milliseconds.
    pub wait_ms: u64,
    /// The entry is stopping: it gives its lease and its shares back.
    pub leaving: bool,
}

/// An agent's announcement to the leading keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentSync {
    /// What it announces.
    pub announcement: Announcement,
    /// Tasks running now.
    pub running: u16,
}

/// A keeper's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeeperReply {
    /// This keeper doesn't lead; ask the other one.
    NotLeader {
        /// Address of the leader, when known.
        leader: Option<SocketAddr>,
    },
    /// News for an entry.
    EntrySync {
        /// Configuration lease in milliseconds, counted from when the entry sent its report.
        lease_ms: u64,
        /// Configuration since the reported version.
        config: ConfigUpdate,
        /// Directory since the reported version.
        directory: DirectoryUpdate,
        /// Every share the entry holds from now on; replaces all earlier ones.
        shares: Vec<Share>,
        /// Number of this deal. An entry takes no shares of a number below or equal to one that
        /// it has taken, so that an answer that comes late changes nothing.
        shares_seq: u64,
        /// Submissions of this entry that were cancelled through another.
        cancelled: Vec<SubmissionId>,
        /// Addresses of every keeper.
        keepers: Vec<SocketAddr>,
    },
    /// News for an agent.
    AgentSync {
        /// How long the announcement stands without renewal, in milliseconds.
        lease_ms: u64,
        /// A planned stop covers the endpoint: take no new work.
        draining: bool,
        /// Addresses of every keeper.
        keepers: Vec<SocketAddr>,
    },
    /// Answers to claims, in order.
    Claims(Vec<ClaimReply>),
    /// Answer to a cancellation.
    Cancelled(CancelReply),
    /// A submission's end, if it has ended; `Busy`-like states are `None`.
    Lookup(Option<ClaimReply>),
    /// Done.
    Done,
    /// Answer to an operator's call.
    Operator {
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: Bytes,
    },
    /// The keeper could not do it now (no quorum); nothing is known to be recorded.
    Unavailable,
}
