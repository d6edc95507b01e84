//! Callers that wait for a reply from the core.

use std::collections::HashMap;

use hemlock_http::prelude::{HttpResponse, Responder};
use hemlock_wire::message::keeper::KeeperReply;
use tokio::sync::oneshot;

use crate::core::event::ReplyToken;

/// `Retry-After` header in seconds for refused calls.
const RETRY_AFTER_S: &str = "1";
/// HTTP status of a reply when this keeper can't serve the call.
const UNAVAILABLE: u16 = 503;
/// Lowest HTTP status of a reply that gets a `Retry-After` header.
const MIN_SERVER_ERROR: u16 = 500;

/// Channel for the reply to one caller.
pub(super) enum ReplyTarget {
    /// A process of the cluster, over the wire address.
    Wire(oneshot::Sender<KeeperReply>),
    /// An operator, over HTTP.
    Http(Responder),
}

/// Callers that wait for a reply, by token.
#[derive(Default)]
pub(super) struct PendingReplies {
    waiting: HashMap<ReplyToken, ReplyTarget>,
    next: u64,
}

impl PendingReplies {
    /// Adds a caller and returns its token.
    pub(super) fn add(&mut self, target: ReplyTarget) -> ReplyToken {
        self.next += 1;
        let token = ReplyToken(self.next);
        self.waiting.insert(token, target);
        token
    }

    /// Returns the number of waiting callers.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Sends the reply to a caller and removes it.
    pub(super) fn answer(&mut self, token: ReplyToken, reply: KeeperReply) {
        match self.waiting.remove(&token) {
            Some(target) => target.answer(reply),
            None => debug_assert!(false, "every request is answered once"),
        }
    }

    /// Replies to all waiting callers that this keeper is unavailable.
    pub(super) fn refuse_all(&mut self) {
        for (_, target) in self.waiting.drain() {
            target.answer(KeeperReply::Unavailable);
        }
    }
}

impl ReplyTarget {
    /// Sends the reply.
    pub(super) fn answer(self, reply: KeeperReply) {
        match self {
            // Sending fails only if the caller has disconnected.
            Self::Wire(sender) => drop(sender.send(reply)),
            Self::Http(responder) => responder.send(http_response(reply)),
        }
    }
}

fn http_response(reply: KeeperReply) -> HttpResponse {
    match reply {
        KeeperReply::Operator { status, body } if status >= MIN_SERVER_ERROR => {
            HttpResponse::new(status)
                .with_header("Retry-After", RETRY_AFTER_S)
                .with_body(body, "application/json")
        }
        KeeperReply::Operator { status, body } => {
            HttpResponse::new(status).with_body(body, "application/json")
        }
        _ => HttpResponse::error(UNAVAILABLE, "unavailable", "this keeper can't answer now")
            .with_header("Retry-After", RETRY_AFTER_S),
    }
}
