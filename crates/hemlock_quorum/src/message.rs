//! Messages between keepers. Every message is a plain serde type, encoded with `postcard`.

use bytes::Bytes;
use hemlock_types::ids::Incarnation;
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::ids::{KeeperId, LogIndex, Term};
use crate::snapshot::SnapshotHeader;

/// A message from one keeper to another. The transport may lose, duplicate, delay and reorder it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender. In a pre-vote request, the term in which it would campaign.
    pub term: Term,
    /// Incarnation of the sender's disk.
    pub from_incarnation: Incarnation,
    /// Incarnation of the receiver's disk, if the message is only valid for that incarnation.
    pub to_incarnation: Option<Incarnation>,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a vote or a pre-vote.
    VoteRequest(VoteRequest),
    /// Reply to a [`VoteRequest`].
    VoteReply(VoteReply),
    /// Replicates entries. Without entries it is a heartbeat.
    Append(Append),
    /// Reply to an [`Append`]; also sent when entries have become durable.
    AppendReply(AppendReply),
    /// A chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Reply to a [`SnapshotChunk`].
    SnapshotReply(SnapshotReply),
    /// Tells a follower to start an election at once, because the leadership is transferred to it.
    TimeoutNow,
    /// Sent by a keeper that knows no leader.
    Join(Join),
    /// Reply to a [`Join`].
    JoinReply(JoinReply),
}

/// Requests a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Whether this is a pre-vote: the sender only asks if it would get the vote.
    pub pre_vote: bool,
    /// Whether the election was started by a leadership transfer.
    pub transfer: bool,
    /// Whether the sender has proof that the latest leader has restarted, so that no lease is held.
    pub leader_restarted: bool,
    /// Index of the last entry in the sender's log.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
}

/// Reply to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Whether this is the reply to a pre-vote.
    pub pre_vote: bool,
    /// Term of the request.
    pub asked: Term,
    /// Whether the vote was granted.
    pub granted: bool,
    /// Set in the reply to a pre-vote if the sender has just started and would grant its vote, but for
    /// a lease that it may have acknowledged before the start.
    pub restarted: Option<RestartedVoter>,
}

/// A voter that has had no contact with a leader since it started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartedVoter {
    /// The keeper for which it voted in the term before the one of the request, if any.
    pub voted_for: Option<KeeperId>,
}

/// Replicates entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Index of the entry before the first one in the message.
    pub prev_index: LogIndex,
    /// Term of that entry.
    pub prev_term: Term,
    /// The entries, without gaps.
    pub entries: Vec<Entry>,
    /// Commit index of the leader.
    pub commit: LogIndex,
    /// Time at which the message was sent, in microseconds of the leader's clock. The reply returns
    /// it.
    pub sent_us: u64,
}

/// Reply to an [`Append`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Index up to which the sender's durable log is known to match the leader's.
    pub matched: LogIndex,
    /// Set if the entry before the first one was not found in the sender's log.
    pub rejected: Option<Rejection>,
    /// Latest `sent_us` that the sender has received in this term.
    pub echo_us: u64,
}

/// Reports that the entry before the first one is missing or has another term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Index of the entry before the first one of the rejected message.
    pub prev_index: LogIndex,
    /// Index of the last entry that may match.
    pub hint: LogIndex,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Header of the snapshot.
    pub head: SnapshotHeader,
    /// Size of the whole snapshot, in bytes.
    pub total_bytes: u64,
    /// Offset of the chunk, in bytes.
    pub offset_bytes: u64,
    /// Content of the chunk.
    pub data: Bytes,
    /// Time at which the message was sent, as in [`Append`].
    pub sent_us: u64,
}

/// Reply to a [`SnapshotChunk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// Index of the snapshot.
    pub index: LogIndex,
    /// Number of bytes of the snapshot that the receiver has.
    pub received_bytes: u64,
    /// Latest `sent_us` received, as in [`AppendReply`].
    pub echo_us: u64,
}

/// Sent by a keeper that knows no leader, to all keepers that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Whether the sender's disk has never held a log.
    pub empty: bool,
}

/// Reply to a [`Join`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinReply {
    /// Whether the sender's disk has never held a log.
    pub empty: bool,
    /// Members known to the sender, one of which may be the leader.
    pub members: Vec<KeeperId>,
}
