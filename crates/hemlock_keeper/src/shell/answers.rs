//! Callers that wait for an answer of the core.

use std::collections::HashMap;

use hemlock_http::prelude::{HttpResponse, Responder};
use hemlock_wire::message::keeper::KeeperReply;
use tokio::sync::oneshot;

use crate::core::event::ReplyToken;

/// Seconds after which a refused operator should come back.
const RETRY_AFTER_S: &str = "1";
/// HTTP status of a refusal for lack of a quorum.
const UNAVAILABLE: u16 = 503;
/// HTTP statuses from which on an answer tells the caller to come back.
const SERVER_FAULTS: u16 = 500;

/// How one caller is answered.
pub(super) enum Answerer {
    /// Over the wire.
    Wire(oneshot::Sender<KeeperReply>),
    /// Over HTTP.
    Http(Responder),
}

/// Everyone who waits.
#[derive(Default)]
pub(super) struct Answers {
    waiting: HashMap<ReplyToken, Answerer>,
    next: u64,
}

impl Answers {
    /// Puts a caller down, and returns the token that names it.
    pub(super) fn add(&mut self, answerer: Answerer) -> ReplyToken {
        self.next += 1;
        let token = ReplyToken(self.next);
        self.waiting.insert(token, answerer);
        token
    }

    /// Number of callers that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Answers a caller.
    pub(super) fn answer(&mut self, token: ReplyToken, reply: KeeperReply) {
        match self.waiting.remove(&token) {
            Some(answerer) => answerer.answer(reply),
            None => debug_assert!(false, "every request is answered once"),
        }
    }

    /// Tells everyone who still waits that this keeper can't answer.
    pub(super) fn refuse_all(&mut self) {
        for (_, answerer) in self.waiting.drain() {
            answerer.answer(KeeperReply::Unavailable);
        }
    }
}

impl Answerer {
    /// Answers the caller.
    pub(super) fn answer(self, reply: KeeperReply) {
        match self {
            // A caller that has gone needs no answer.
            Self::Wire(sender) => drop(sender.send(reply)),
            Self::Http(responder) => responder.send(http_response(reply)),
        }
    }
}

fn http_response(reply: KeeperReply) -> HttpResponse {
    match reply {
        KeeperReply::Operator { status, body } if status >= SERVER_FAULTS => {
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
