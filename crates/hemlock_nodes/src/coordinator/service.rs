//! Takes requests from the wire to the control loop.

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

/// Serves every connection of a coordinator.
pub(super) struct CoordinatorService {
    control: mpsc::UnboundedSender<Input>,
    /// How to call back the peers that have connected.
    links: RefCell<HashMap<ConnectionId, Link>>,
}

impl CoordinatorService {
    pub(super) fn new(control: mpsc::UnboundedSender<Input>) -> Self {
        Self {
            control,
            links: RefCell::default(),
        }
    }

    /// Calls back over a connection that the peer opened.
    pub(super) fn link(&self, connection: ConnectionId) -> Option<Link> {
        self.links.borrow().get(&connection).cloned()
    }

    fn take_message(&self, peer: Peer, message: &Bytes) -> Result<Bytes, ServiceError> {
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
                return std::future::ready(self.take_message(peer, &message)).boxed_local();
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

    fn opened(&self, peer: Peer, back: Link) {
        self.links.borrow_mut().insert(peer.connection, back);
    }

    fn closed(&self, peer: Peer) {
        self.links.borrow_mut().remove(&peer.connection);
        // A control loop that has ended has no sessions left.
        let _ = self.control.send(Input::Closed(peer.connection));
    }
}
