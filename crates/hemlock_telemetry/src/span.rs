//! Tracing spans of sampled requests, written as log lines.

use tracing::info;

use crate::trace::TraceContext;

/// A stage in the processing of a request. Each stage has its own span.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Hop {
    /// An entry reads, checks and admits the request.
    Admit,
    /// The request waits in an entry's queue.
    Queue,
    /// The keepers record the entry's claim of the request.
    Claim,
    /// The entry sends the request to an agent and waits for the reply.
    Dispatch,
    /// The agent's gate decides whether the request may start.
    Gate,
    /// The endpoint processes the request.
    Endpoint,
}

impl Hop {
    /// Returns the name of this stage in span lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Admit => "admit",
            Self::Queue => "queue",
            Self::Claim => "claim",
            Self::Dispatch => "dispatch",
            Self::Gate => "gate",
            Self::Endpoint => "endpoint",
        }
    }
}

/// The span of a completed stage.
#[derive(Clone, Copy, Debug)]
pub struct SpanRecord {
    /// The completed stage.
    pub hop: Hop,
    /// Trace id and span id of this span.
    pub context: TraceContext,
    /// Id of the parent span.
    pub parent_id: u64,
    /// Duration of the stage, in microseconds.
    pub duration_micros: u64,
}

impl SpanRecord {
    /// Writes the span as a log line if the trace is sampled.
    pub fn emit(&self) {
        if !self.context.is_sampled() {
            return;
        }
        info!(
            target: "hemlock::span",
            hop = self.hop.name(),
            trace_id = %format_args!("{:032x}", self.context.trace_id),
            span_id = %format_args!("{:016x}", self.context.span_id),
            parent_id = %format_args!("{:016x}", self.parent_id),
            duration_us = self.duration_micros,
            "span"
        );
    }
}
