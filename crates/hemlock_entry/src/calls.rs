//! Calls without an answer yet, and the responses that answer them.

use std::collections::HashMap;

use bytes::Bytes;
use hemlock_http::prelude::*;
use hemlock_router::prelude::*;

use crate::counters::Counters;
use crate::http_api::{job_response, request_response};
use crate::inbox::ReplyFormat;

/// Header of the W3C trace context.
const TRACEPARENT: &str = "traceparent";

#[derive(Debug)]
struct PendingCall {
    reply_format: ReplyFormat,
    traceparent: Bytes,
    responder: Responder,
}

/// The calls that have no answer yet.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    by_id: HashMap<CallId, PendingCall>,
    last_id: u64,
}

impl PendingCalls {
    pub(crate) fn insert(
        &mut self,
        reply_format: ReplyFormat,
        traceparent: Bytes,
        responder: Responder,
    ) -> CallId {
        self.last_id += 1;
        let call = CallId(self.last_id);
        let pending = PendingCall {
            reply_format,
            traceparent,
            responder,
        };
        self.by_id.insert(call, pending);
        call
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(crate) fn answer(
        &mut self,
        call: CallId,
        result: CallResult,
        retry_after_ms: Option<u64>,
        counters: &Counters,
    ) {
        let Some(pending) = self.by_id.remove(&call) else {
            return;
        };
        counters.count_answer(&result);
        let response = match pending.reply_format {
            ReplyFormat::Request => request_response(result, retry_after_ms),
            ReplyFormat::Job(name) => job_response(&name, &result, retry_after_ms),
        };
        let response = match std::str::from_utf8(&pending.traceparent) {
            Ok(context) if !context.is_empty() => response.with_header(TRACEPARENT, context),
            _ => response,
        };
        pending.responder.send(response);
    }
}
