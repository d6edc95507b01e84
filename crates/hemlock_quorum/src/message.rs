//! What keepers say to each other. Every message is a plain serde type; `postcard` encodes it.

use bytes::Bytes;
use hemlock_types::ids::Incarnation;
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::ids::{KeeperId, LogIndex, Term};
use crate::snapshot::SnapshotHead;

/// A message from one keeper to another. The transport may lose, repeat, delay and reorder it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term; in a pre-vote the term that it would campaign in.
    pub term: Term,
    /// The life of the sender's disk.
    pub from_incarnation: Incarnation,
    /// The life of the disk that the message is meant for, where that matters.
    pub to_incarnation: Option<Incarnation>,
    /// What is said.
    pub body: Body,
}

/// The kinds of message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a vote, or in a pre-vote whether one would be given.
    VoteRequest(VoteRequest),
    /// Answers a [`VoteRequest`].
    VoteReply(VoteReply),
    /// Replicates entries; an empty one is a heartbeat.
    Append(Append),
    /// Answers an [`Append`], or tells of newly durable entries.
    AppendReply(AppendReply),
    /// Carries a piece of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Answers a [`SnapshotChunk`].
    SnapshotReply(SnapshotReply),
    /// Tells a follower to campaign at once, because the leader hands over.
    TimeoutNow,
    /// Sent by a keeper that no leader talks to.
    Join(Join),
    /// Answers a [`Join`].
    JoinReply(JoinReply),
}

/// Asks for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Whether the sender only asks whether it would be elected.
    pub pre_vote: bool,
    /// Whether the leader itself asked the sender to take over.
    pub transfer: bool,
    /// The sender's last entry.
    pub last_index: LogIndex,
    /// The term of that entry.
    pub last_term: Term,
}

/// Answers a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Whether the answer is to a pre-vote.
    pub pre_vote: bool,
    /// The term that was asked for.
    pub asked: Term,
    /// Whether the vote is given.
    pub granted: bool,
}

/// Replicates entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The entry before the first one carried.
    pub prev_index: LogIndex,
    /// The term of that entry.
    pub prev_term: Term,
    /// The entries, without gaps.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: LogIndex,
    /// When the message was sent, in microseconds of the leader's own clock. The answer repeats it.
    pub sent_us: u64,
}

/// Answers an [`Append`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Up to where the sender's durable log is known to agree with the leader's.
    pub matched: LogIndex,
    /// Where the leader should go on from, if the entry before the first was not found.
    pub rejected: Option<Rejection>,
    /// The latest `sent_us` that the sender has received in this term.
    pub echo_us: u64,
}

/// Says which entry was missing or of another term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The entry before the first of the refused message.
    pub prev_index: LogIndex,
    /// The last entry that may agree.
    pub hint: LogIndex,
}

/// Carries a piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Where the snapshot stands in the log.
    pub head: SnapshotHead,
    /// The whole snapshot's length in bytes.
    pub total_bytes: u64,
    /// Where the piece starts.
    pub offset_bytes: u64,
    /// The piece.
    pub data: Bytes,
    /// As in [`Append`].
    pub sent_us: u64,
}

/// Answers a [`SnapshotChunk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// The snapshot's index.
    pub index: LogIndex,
    /// How much of it the receiver holds.
    pub received_bytes: u64,
    /// As in [`AppendReply`].
    pub echo_us: u64,
}

/// Sent by a keeper that no leader talks to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Whether the sender's disk has never held a log.
    pub empty: bool,
}

/// Answers a [`Join`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinReply {
    /// Whether the sender's disk has never held a log.
    pub empty: bool,
    /// The members that the sender knows, one of which may lead.
    pub members: Vec<KeeperId>,
}
