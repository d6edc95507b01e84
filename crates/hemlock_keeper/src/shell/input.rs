//! Messages between the keeper's threads.

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

/// Input of the control thread.
pub(super) enum Input {
    /// Request that arrived over the wire.
    Request(KeeperRequest, oneshot::Sender<KeeperReply>),
    /// Operator's call that arrived over HTTP.
    Call(OperatorCall, Responder),
    /// Message of the replicated log from another keeper.
    Received(KeeperId, Message),
    /// Leader's reply to a forwarded call; `None` when the call failed or timed out.
    Forwarded(ReplyToken, Option<KeeperReply>),
    /// Disk work up to this id is durable.
    Synced(WorkId),
    /// Encoded snapshot up to this log index.
    Encoded(LogIndex, Result<Bytes, StateError>),
    /// The storage failed.
    DiskFailed(StorageError),
    /// Requests a graceful stop.
    Drain,
    /// Requests an immediate stop.
    Kill,
}

/// Command from the control thread to the lane.
pub(super) enum LaneCommand {
    /// Sends a message of the replicated log.
    Send(KeeperId, Message),
    /// Forwards an operator's call to another keeper.
    Forward(ReplyToken, KeeperId, OperatorCall),
    /// Replaces the wire addresses of the keepers.
    Keepers(BTreeMap<KeeperId, SocketAddr>),
}

/// Snapshot to be encoded by the encoder thread.
pub(super) struct EncodeRequest {
    pub(super) index: LogIndex,
    pub(super) state: Box<StateSnapshot>,
}

/// Shutdown state of the lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LaneShutdown {
    /// The lane runs.
    NotRequested,
    /// The lane ends after a delay, so that the last replies are still sent.
    Flush,
    /// The lane ends immediately.
    Immediate,
}
