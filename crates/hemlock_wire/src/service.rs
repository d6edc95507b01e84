//! What a process offers on its connections.

use bytes::Bytes;
use futures::future::LocalBoxFuture;

use crate::error::ServiceError;
use crate::identity::Peer;
use crate::link::Link;

/// Answers the requests of peers that have proved the cluster key.
pub trait Service {
    /// Answers one request frame.
    ///
    /// The future may be dropped before it ends, when the peer gives up or the connection
    /// closes; work that must go on belongs in a task of its own.
    fn answer(
        &self,
        peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>>;

    /// A peer has connected; `back` calls it over the same connection.
    fn opened(&self, _peer: Peer, _back: Link) {}

    /// A peer's connection has closed. Called once for each call of [`Service::opened`].
    fn closed(&self, _peer: Peer) {}
}
