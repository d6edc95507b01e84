//! What reaches the control loop.

use hemlock_dispatch::prelude::SessionId;
use hemlock_jobs::prelude::{AgentId, Configuration};
use hemlock_quorum::prelude::{KeeperId, Message, StorageError, WorkId};
use hemlock_runs::prelude::RefusedStart;
use hemlock_wire::prelude::{ConnectionId, Peer};
use tokio::sync::oneshot;

use super::handle::{ConfigureAnswer, ReadAnswer};
use crate::message::{Reply, Request};

/// What reaches the control loop.
pub(super) enum Input {
    /// A request came over the wire.
    Request(Peer, Request, oneshot::Sender<Reply>),
    /// A message of the replicated log came.
    Received(KeeperId, Message),
    /// A connection has closed.
    Closed(ConnectionId),
    /// An operator sends a configuration.
    Configure(Box<Configuration>, oneshot::Sender<ConfigureAnswer>),
    /// An operator reads the configuration.
    Read(oneshot::Sender<ReadAnswer>),
    /// A runner answered orders with the starts that it refused.
    OrderAnswered(AgentId, SessionId, Vec<RefusedStart>),
    /// Orders may not have reached their runner.
    OrderLost(AgentId, SessionId),
    /// Disk work is durable.
    Synced(WorkId),
    /// The disk has failed.
    DiskFailed(StorageError),
    /// A planned stop begins.
    Drain,
}
