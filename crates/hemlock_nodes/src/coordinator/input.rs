//! Inputs of the control loop.

use hemlock_dispatch::prelude::SessionId;
use hemlock_jobs::prelude::{AgentId, Configuration};
use hemlock_quorum::prelude::{KeeperId, Message, StorageError, WorkId};
use hemlock_runs::prelude::RefusedStart;
use hemlock_wire::prelude::{ConnectionId, Peer};
use tokio::sync::oneshot;

use super::handle::{ConfigureAnswer, ReadAnswer};
use crate::message::{EvacuationChange, Reply, Request};

/// An input of the control loop.
pub(super) enum Input {
    /// A request was received over the wire.
    Request(Peer, Request, oneshot::Sender<Reply>),
    /// A consensus message was received from a keeper.
    Received(KeeperId, Message),
    /// A connection has closed.
    Closed(ConnectionId),
    /// An operator sends a configuration.
    Configure(Box<Configuration>, oneshot::Sender<ConfigureAnswer>),
    /// An operator changes the evacuated failure domains.
    Evacuation(EvacuationChange, oneshot::Sender<Reply>),
    /// An operator reads the configuration.
    Read(oneshot::Sender<ReadAnswer>),
    /// A runner answered orders with the starts that it refused and the percentage of its instance
    /// that gets no new ones.
    OrderAnswered(AgentId, SessionId, Vec<RefusedStart>, u32),
    /// A runner may not have received an order.
    OrderLost(AgentId, SessionId),
    /// All disk work up to this id is durable.
    Synced(WorkId),
    /// The disk has failed.
    DiskFailed(StorageError),
    /// A planned stop begins.
    Drain,
}
