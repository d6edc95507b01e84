//! Inputs and outputs of the keeper core.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use hemlock_quorum::prelude::{DiskWork, KeeperId, LogIndex, Message, WorkId};
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};

use crate::state::StateSnapshot;

/// Identifies a request of the shell, so that the reply can be matched to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplyToken(pub u64);

/// HTTP call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorCall {
    /// HTTP method.
    pub method: String,
    /// Path with the query string.
    pub path: String,
    /// Request body.
    pub body: Bytes,
}

/// Input of the keeper core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperEvent {
    /// Lets the core act on deadlines that have passed.
    Tick,
    /// A request from an entry, an agent or another keeper; answered by [`KeeperAction::Reply`].
    Request {
        /// Identifies the request in the reply.
        token: ReplyToken,
        /// The request.
        request: KeeperRequest,
    },
    /// An operator's call to this keeper; answered by [`KeeperAction::Reply`].
    Operator {
        /// Identifies the call in the reply.
        token: ReplyToken,
        /// The call.
        call: OperatorCall,
    },
    /// The leader's reply to a [`KeeperAction::Forward`].
    Forwarded {
        /// Identifies the forwarded call.
        token: ReplyToken,
        /// The leader's reply; `None` when the call failed or timed out.
        reply: Option<KeeperReply>,
    },
    /// A message of the replicated log arrived from another keeper.
    Received {
        /// The sender.
        from: KeeperId,
        /// The message.
        message: Message,
    },
    /// Disk work up to this id is durable.
    Synced {
        /// Id of the last durable work.
        up_to: WorkId,
    },
    /// The result of [`KeeperAction::EncodeSnapshot`].
    SnapshotEncoded {
        /// Index of the last log entry that the snapshot includes.
        index: LogIndex,
        /// The encoded snapshot.
        data: Bytes,
    },
    /// Requests a graceful stop: the keeper transfers leadership and completes pending requests.
    Drain,
}

/// Output of the keeper core. The shell carries out actions in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperAction {
    /// Sends a message of the replicated log. Delivery isn't guaranteed.
    Send {
        /// The receiver.
        to: KeeperId,
        /// The message.
        message: Message,
    },
    /// Passes work to the disk thread; answered by [`KeeperEvent::Synced`].
    Persist(DiskWork),
    /// Encodes a snapshot outside the control thread, because it can take long; answered by
    /// [`KeeperEvent::SnapshotEncoded`].
    EncodeSnapshot {
        /// Index of the last log entry that the snapshot includes.
        index: LogIndex,
        /// The snapshot.
        state: Box<StateSnapshot>,
    },
    /// Replies to a request or an operator's call.
    Reply {
        /// Identifies the request or call.
        token: ReplyToken,
        /// The reply.
        reply: KeeperReply,
    },
    /// Forwards an operator's call to the leader; answered by [`KeeperEvent::Forwarded`].
    Forward {
        /// Identifies the call.
        token: ReplyToken,
        /// The leader.
        to: KeeperId,
        /// The call.
        call: OperatorCall,
    },
    /// Replaces the wire addresses of the keepers.
    UpdateKeepers(BTreeMap<KeeperId, SocketAddr>),
    /// The drain is complete or has timed out; the shell can stop.
    Drained,
}
