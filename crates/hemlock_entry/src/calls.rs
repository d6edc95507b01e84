//! Callers that wait, and how their answers are written.

use std::collections::HashMap;

use bytes::Bytes;
use hemlock_http::prelude::*;
use hemlock_router::prelude::*;

use crate::counters::Counters;
use crate::edge::{job_response, request_response};
use crate::inbox::CallShape;

/// Header that carries the trace context.
const TRACEPARENT: &str = "traceparent";

#[derive(Debug)]
struct Waiting {
    shape: CallShape,
    traceparent: Bytes,
    responder: Responder,
}

/// Every call that has no answer yet.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    waiting: HashMap<CallId, Waiting>,
    taken: u64,
}

impl Calls {
    pub(crate) fn insert(
        &mut self,
        shape: CallShape,
        traceparent: Bytes,
        responder: Responder,
    ) -> CallId {
        self.taken += 1;
        let call = CallId(self.taken);
        let waiting = Waiting {
            shape,
            traceparent,
            responder,
        };
        self.waiting.insert(call, waiting);
        call
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn answer(
        &mut self,
        call: CallId,
        result: CallResult,
        retry_after_ms: Option<u64>,
        counters: &Counters,
    ) {
        let Some(waiting) = self.waiting.remove(&call) else {
            return;
        };
        counters.answered(&result);
        let response = match waiting.shape {
            CallShape::Request => request_response(result, retry_after_ms),
            CallShape::Job(name) => job_response(&name, &result, retry_after_ms),
        };
        let response = match std::str::from_utf8(&waiting.traceparent) {
            Ok(context) if !context.is_empty() => response.with_header(TRACEPARENT, context),
            _ => response,
        };
        waiting.responder.send(response);
    }
}
