//! Passes requests from the wire to the control loop.

use std::cell::RefCell;
use std::collections::HashMap;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_quorum::prelude::{KeeperId, Message};
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::{mpsc, oneshot};

use super::input::Input;
use crate::message::{Reply, Request};

/// Serves all connections of a coordinator.
pub(super) struct CoordinatorService {
    control: mpsc::UnboundedSender<Input>,
    /// Links for calls to the connected peers.
    links: RefCell<HashMap<ConnectionId, Link>>,
}

impl CoordinatorService {
    pub(super) fn new(control: mpsc::UnboundedSender<Input>) -> Self {
        Self {
            control,
            links: RefCell::default(),
        }
    }

    /// Returns the link for calls over a connection that the peer opened.
    pub(super) fn link(&self, connection: ConnectionId) -> Option<Link> {
        self.links.borrow().get(&connection).cloned()
    }

    fn handle_message(&self, peer: Peer, message: &Bytes) -> Result<Bytes, ServiceError> {
        if peer.role != Role::Keeper {
            return Err(ServiceError::Forbidden);
        }
        let message: Message = decode(message)?;
        let input = Input::Received(KeeperId(peer.id), message);
        self.control
            .send(input)
            .map_err(|_| ServiceError::Closing)?;
        Ok(encode(&Reply::Done)?)
    }
}

impl Service for CoordinatorService {
    fn answer(
        &self,
        peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        let request = match decode::<Request>(&frame) {
            Ok(Request::Quorum(message)) => {
                return std::future::ready(self.handle_message(peer, &message)).boxed_local();
            }
            Ok(request) => request,
            Err(error) => return std::future::ready(Err(error.into())).boxed_local(),
        };
        let (sender, receiver) = oneshot::channel();
        let handed = self.control.send(Input::Request(peer, request, sender));
        async move {
            handed.map_err(|_| ServiceError::Closing)?;
            let reply = receiver.await.map_err(|_| ServiceError::Closing)?;
            Ok(encode(&reply)?)
        }
        .boxed_local()
    }

    fn opened(&self, peer: Peer, link: Link) {
        self.links.borrow_mut().insert(peer.connection, link);
    }

    fn closed(&self, peer: Peer) {
        self.links.borrow_mut().remove(&peer.connection);
        // Sending fails only when the control loop has ended, and all sessions with it.
        let _ = self.control.send(Input::Closed(peer.connection));
    }
}
