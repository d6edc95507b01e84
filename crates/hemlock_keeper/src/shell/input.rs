//! What reaches the control thread, and what it sends to the lane.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use hemlock_http::prelude::Responder;
use hemlock_quorum::prelude::{KeeperId, LogIndex, Message, StorageError, WorkId};
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};
use tokio::sync::oneshot;

use crate::core::event::{OperatorCall, ReplyToken};
use crate::error::StateError;
use crate::state::StateSnapshot;

/// What reaches the control thread.
pub(super) enum Input {
    /// A request came over the wire.
    Request(KeeperRequest, oneshot::Sender<KeeperReply>),
    /// An operator's call came.
    Call(OperatorCall, Responder),
    /// A message of the replicated log came.
    Received(KeeperId, Message),
    /// The leader's answer to a call that was passed on.
    Forwarded(ReplyToken, Option<KeeperReply>),
    /// Disk work is durable.
    Synced(WorkId),
    /// A snapshot is encoded.
    Encoded(LogIndex, Result<Bytes, StateError>),
    /// The disk has failed.
    DiskFailed(StorageError),
    /// Stop, with a drain.
    Drain,
    /// Stop at once.
    Kill,
}

/// What the control thread has the lane do.
pub(super) enum LaneOrder {
    /// Sends a message of the replicated log.
    Send(KeeperId, Message),
    /// Passes a call to another keeper.
    Forward(ReplyToken, KeeperId, OperatorCall),
    /// The keepers' addresses.
    Keepers(BTreeMap<KeeperId, SocketAddr>),
}

/// A snapshot to be encoded.
pub(super) struct EncodeOrder {
    pub(super) index: LogIndex,
    pub(super) state: Box<StateSnapshot>,
}

/// Whether the lane is to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LaneStop {
    /// It goes on.
    GoOn,
    /// It ends once the answers given so far are on their way.
    Flush,
    /// It ends at once.
    AtOnce,
}
