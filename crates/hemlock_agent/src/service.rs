//! Serves the requests of entries on their connections.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use crossbeam::channel::Sender;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::agent::AgentRequest;
use hemlock_wire::prelude::*;
use tokio::sync::{mpsc, oneshot};

use crate::command::Command;
use crate::links;

/// Passes the requests of entries to the control thread in the order of their arrival.
pub(crate) struct EntryService {
    pub(crate) commands: Sender<Command>,
    pub(crate) clock: Arc<dyn Clock>,
    /// Number of requests whose answer has not been passed to its connection.
    pub(crate) unanswered: Rc<Cell<usize>>,
}

/// Guard that counts one unanswered request until it is dropped.
struct UnansweredGuard(Rc<Cell<usize>>);

impl UnansweredGuard {
    fn new(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        Self(Rc::clone(counter))
    }
}

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Service for EntryService {
    fn answer(
        &self,
        peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        if peer.role != Role::Entry {
            return futures::future::ready(Err(ServiceError::Forbidden)).boxed_local();
        }
        let request = match decode::<AgentRequest>(&frame) {
            Ok(request) => request,
            Err(error) => return futures::future::ready(Err(error.into())).boxed_local(),
        };
        let (reply, answer) = oneshot::channel();
        let unanswered = UnansweredGuard::new(&self.unanswered);
        let command = Command::Request {
            link: LinkId(peer.connection.0),
            request,
            reply,
            received: self.clock.now(),
        };
        // If the control thread has ended, the reply is dropped and the entry gets an error.
        let _ = self.commands.send(command);
        async move {
            let _unanswered = unanswered;
            let reply = answer.await.map_err(|_| ServiceError::Closing)?;
            Ok(encode(&reply)?)
        }
        .boxed_local()
    }

    fn opened(&self, peer: Peer, entry_link: Link) {
        if peer.role != Role::Entry {
            return;
        }
        let link = LinkId(peer.connection.0);
        let (push, push_receiver) = mpsc::unbounded_channel();
        let command = Command::Opened {
            link,
            entry: peer.incarnation,
            push,
        };
        // If the control thread has ended, `push` is dropped and the link's push task ends.
        let _ = self.commands.send(command);
        links::spawn_link_tasks(link, entry_link, push_receiver, self.commands.clone());
    }

    fn closed(&self, peer: Peer) {
        if peer.role == Role::Entry {
            let link = LinkId(peer.connection.0);
            let _ = self.commands.send(Command::Closed { link });
        }
    }
}

/// Rejects every call on a connection to a keeper: keepers send no requests to agents.
pub(crate) struct RejectCalls;

impl Service for RejectCalls {
    fn answer(
        &self,
        _peer: Peer,
        _frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        futures::future::ready(Err(ServiceError::Forbidden)).boxed_local()
    }
}
