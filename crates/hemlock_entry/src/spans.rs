//! Trace spans of the entry, written to the log.

use bytes::Bytes;
use hemlock_telemetry::prelude::*;

fn emit(traceparent: &Bytes, hop: Hop, duration_micros: u64) {
    let header = std::str::from_utf8(traceparent).ok();
    let Some(parent) = header.and_then(TraceContext::parse) else {
        return;
    };
    if !parent.is_sampled() {
        return;
    }
    let record = SpanRecord {
        hop,
        context: parent.child(rand::random()),
        parent_id: parent.span_id,
        duration_micros,
    };
    record.emit();
}

/// Writes the spans of a finished task: its time in the queue, and the time from there to the
/// answer of the agent.
pub(crate) fn emit_task_spans(traceparent: &Bytes, response_us: u64, queued_us: u64) {
    if traceparent.is_empty() {
        return;
    }
    emit(traceparent, Hop::Queue, queued_us);
    emit(
        traceparent,
        Hop::Dispatch,
        response_us.saturating_sub(queued_us),
    );
}

/// Writes the span of a claim at the keepers.
pub(crate) fn emit_claim_span(traceparent: &Bytes, claim_us: u64) {
    emit(traceparent, Hop::Claim, claim_us);
}
