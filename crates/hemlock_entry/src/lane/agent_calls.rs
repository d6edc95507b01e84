//! Serves the requests that agents send to the entry over the connections that it opened.

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::entry::{EntryReply, EntryRequest};
use hemlock_wire::prelude::*;
use tokio::sync::oneshot;

use crate::inbox::{Inbox, Input, post, post_event};

/// Serves the requests of one agent.
pub(super) struct AgentCalls {
    agent: Incarnation,
    inbox: Inbox,
}

impl AgentCalls {
    pub(super) fn new(agent: Incarnation, inbox: Inbox) -> Self {
        Self { agent, inbox }
    }

    /// Passes a request to the control thread. For a recall, returns the channel on which the number
    /// of returned credits arrives.
    fn forward(&self, request: EntryRequest) -> Option<oneshot::Receiver<u16>> {
        let agent = self.agent;
        match request {
            EntryRequest::Grant { slots } => {
                post_event(&self.inbox, Event::Granted { agent, slots });
                None
            }
            EntryRequest::Recall { slots } => {
                let (reply, returned) = oneshot::channel();
                post(
                    &self.inbox,
                    Input::Recall {
                        agent,
                        slots,
                        reply,
                    },
                );
                Some(returned)
            }
            EntryRequest::Leaving => {
                post_event(&self.inbox, Event::Leaving(agent));
                None
            }
            EntryRequest::Ping => None,
        }
    }
}

impl Service for AgentCalls {
    fn answer(
        &self,
        peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        if peer.incarnation != self.agent {
            return Box::pin(std::future::ready(Err(ServiceError::Forbidden)));
        }
        let request = match decode::<EntryRequest>(&frame) {
            Ok(request) => request,
            Err(error) => return Box::pin(std::future::ready(Err(error.into()))),
        };
        let returned = self.forward(request);
        Box::pin(async move {
            let reply = match returned {
                None => EntryReply::Done,
                Some(returned) => EntryReply::Returned {
                    slots: returned.await.unwrap_or(0),
                },
            };
            Ok(encode(&reply)?)
        })
    }
}
