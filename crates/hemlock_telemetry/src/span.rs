//! One line for each hop of a sampled request.

use tracing::info;

use crate::trace::TraceContext;

/// A part of a request's way through the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Hop {
    /// An entry reads, checks and admits it.
    Admit,
    /// It waits in an entry's queue.
    Queue,
    /// The keepers record its claim.
    Claim,
    /// It travels from entry to agent and back.
    Dispatch,
    /// An agent's gate decides on its start.
    Gate,
    /// The endpoint works on it.
    Endpoint,
}

impl Hop {
    /// The hop's name in span lines.
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

/// A hop that has ended.
#[derive(Clone, Copy, Debug)]
pub struct SpanRecord {
    /// Which part of the way.
    pub hop: Hop,
    /// The hop's own place in the trace.
    pub context: TraceContext,
    /// Span id of the hop before.
    pub parent_id: u64,
    /// How long it took, in microseconds.
    pub duration_micros: u64,
}

impl SpanRecord {
    /// Writes the span as a log line when the trace is sampled.
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
