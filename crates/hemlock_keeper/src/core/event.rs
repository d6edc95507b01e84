//! What a keeper's core is told, and what it tells its shell to do.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use hemlock_quorum::prelude::{DiskWork, KeeperId, LogIndex, Message, WorkId};
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};

use crate::state::StateSnapshot;

/// Names one request of the shell, so that its answer can be matched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplyToken(pub u64);

/// An operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorCall {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// Input of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperEvent {
    /// Time has passed.
    Tick,
    /// An entry, an agent or another keeper asks; answered by [`KeeperAction::Reply`].
    Request {
        /// Names the request in the answer.
        token: ReplyToken,
        /// What is asked.
        request: KeeperRequest,
    },
    /// An operator's call came to this keeper; answered by [`KeeperAction::Reply`].
    Operator {
        /// Names the call in the answer.
        token: ReplyToken,
        /// The call.
        call: OperatorCall,
    },
    /// The answer to [`KeeperAction::Forward`]; `None` when none came.
    Forwarded {
        /// The call.
        token: ReplyToken,
        /// The other keeper's answer.
        reply: Option<KeeperReply>,
    },
    /// A message of the replicated log came from another keeper.
    Received {
        /// The sender.
        from: KeeperId,
        /// The message.
        message: Message,
    },
    /// Disk work up to this number is durable.
    Synced {
        /// The last durable work.
        up_to: WorkId,
    },
    /// The answer to [`KeeperAction::EncodeSnapshot`].
    SnapshotEncoded {
        /// The last entry that the state contains.
        index: LogIndex,
        /// The state as bytes.
        data: Bytes,
    },
    /// The keeper is to stop: it hands leadership over and finishes what is under way.
    Drain,
}

/// Output of the core, to be done in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperAction {
    /// Sends a message of the replicated log. It may be lost.
    Send {
        /// The receiver.
        to: KeeperId,
        /// The message.
        message: Message,
    },
    /// Hands work to the disk thread.
    Persist(DiskWork),
    /// Encodes the state, which may take long; answered by [`KeeperEvent::SnapshotEncoded`].
    EncodeSnapshot {
        /// The last entry that the state contains.
        index: LogIndex,
        /// The state.
        state: Box<StateSnapshot>,
    },
    /// Answers a request or an operator's call.
    Reply {
        /// The request.
        token: ReplyToken,
        /// The answer.
        reply: KeeperReply,
    },
    /// Passes an operator's call to the leader; answered by [`KeeperEvent::Forwarded`].
    Forward {
        /// The call.
        token: ReplyToken,
        /// The leader.
        to: KeeperId,
        /// The call.
        call: OperatorCall,
    },
    /// The keepers' addresses have changed.
    KnownKeepers(BTreeMap<KeeperId, SocketAddr>),
    /// Draining has ended: the keeper leads nothing and owes no answer.
    Drained,
}
