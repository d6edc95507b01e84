//! What the agent offers to entries on their connections.

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

/// Passes the entries' requests to the control thread, in the order in which they arrive.
pub(crate) struct EntryService {
    pub(crate) commands: Sender<Command>,
    pub(crate) clock: Arc<dyn Clock>,
    /// Requests whose answer has not been handed to the connection.
    pub(crate) unanswered: Rc<Cell<usize>>,
}

/// Counts an unanswered request until it is dropped.
struct Unanswered(Rc<Cell<usize>>);

impl Unanswered {
    fn count(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        Self(Rc::clone(counter))
    }
}

impl Drop for Unanswered {
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
        let unanswered = Unanswered::count(&self.unanswered);
        let command = Command::Request {
            link: LinkId(peer.connection.0),
            request,
            reply,
            received: self.clock.now(),
        };
        // Without a control thread the reply is dropped, and the entry is told.
        let _ = self.commands.send(command);
        async move {
            let _unanswered = unanswered;
            let reply = answer.await.map_err(|_| ServiceError::Closing)?;
            Ok(encode(&reply)?)
        }
        .boxed_local()
    }

    fn opened(&self, peer: Peer, back: Link) {
        if peer.role != Role::Entry {
            return;
        }
        let link = LinkId(peer.connection.0);
        let (push, pushed) = mpsc::unbounded_channel();
        let command = Command::Opened {
            link,
            entry: peer.incarnation,
            push,
        };
        // Without a control thread nothing is pushed, and the link's tasks end.
        let _ = self.commands.send(command);
        links::attend(link, back, pushed, self.commands.clone());
    }

    fn closed(&self, peer: Peer) {
        if peer.role == Role::Entry {
            let link = LinkId(peer.connection.0);
            let _ = self.commands.send(Command::Closed { link });
        }
    }
}

/// What the agent offers on its connections to keepers: nothing.
pub(crate) struct NoService;

impl Service for NoService {
    fn answer(
        &self,
        _peer: Peer,
        _frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        futures::future::ready(Err(ServiceError::Forbidden)).boxed_local()
    }
}
