//! The interface through which a process answers requests on its connections.

use bytes::Bytes;
use futures::future::LocalBoxFuture;

use crate::error::ServiceError;
use crate::identity::Peer;
use crate::link::Link;

/// Answers the requests of peers that have proved that they hold the cluster key.
pub trait Service {
    /// Answers one request frame.
    ///
    /// The returned future is dropped early if the peer cancels its call or the connection closes.
    /// Work that must continue in that case belongs in a task of its own.
    fn answer(
        &self,
        peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>>;

    /// Called when a peer has connected. `_link` sends requests to the peer over the same
    /// connection.
    fn opened(&self, _peer: Peer, _link: Link) {}

    /// Called when the connection of a peer has closed, once for each call of [`Service::opened`].
    fn closed(&self, _peer: Peer) {}
}
