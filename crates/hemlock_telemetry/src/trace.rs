//! W3C Trace Context: parsing and formatting of the `traceparent` header.

use rand::Rng;

/// Length of a `traceparent` header of version 00, in bytes.
const HEADER_BYTES: usize = 55;
/// Flag bit that marks the trace as sampled, which means that it is recorded.
const SAMPLED: u8 = 1;

/// Identifies a span within a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Id of the trace; never zero.
    pub trace_id: u128,
    /// Id of the span; never zero.
    pub span_id: u64,
    /// Trace flags; bit 0 marks the trace as sampled.
    pub flags: u8,
}

impl TraceContext {
    /// Starts a new trace, with ids from the given generator.
    pub fn start(generator: &mut impl Rng, sampled: bool) -> Self {
        let high = u128::from(generator.next_u64()) << 64;
        Self {
            trace_id: (high | u128::from(generator.next_u64())).max(1),
            span_id: generator.next_u64().max(1),
            flags: u8::from(sampled),
        }
    }

    /// Parses a `traceparent` header. Returns `None` if it is malformed: the standard requires a
    /// malformed header to be treated like a missing one.
    pub fn parse(header: &str) -> Option<Self> {
        let parts: Vec<&str> = header.trim().split('-').collect();
        let [version, trace_id, span_id, flags, ..] = parts[..] else {
            return None;
        };
        let has_valid_length =
            version != "00" || (parts.len() == 4 && header.trim().len() == HEADER_BYTES);
        if !has_valid_length || parse_hex(version, 2)? == 0xff {
            return None;
        }
        let context = Self {
            trace_id: parse_hex(trace_id, 32)?,
            span_id: u64::try_from(parse_hex(span_id, 16)?).ok()?,
            flags: u8::try_from(parse_hex(flags, 2)?).ok()?,
        };
        (context.trace_id != 0 && context.span_id != 0).then_some(context)
    }

    /// Returns the context of a child span with the given id.
    #[must_use]
    pub fn child(self, span_id: u64) -> Self {
        Self {
            span_id: span_id.max(1),
            ..self
        }
    }

    /// Returns the context of a child span with a random id.
    #[must_use]
    pub fn random_child(self, generator: &mut impl Rng) -> Self {
        self.child(generator.next_u64())
    }

    /// Returns whether the trace is sampled.
    pub fn is_sampled(self) -> bool {
        self.flags & SAMPLED != 0
    }

    /// Formats the context as a `traceparent` header of version 00.
    pub fn to_header(self) -> String {
        format!(
            "00-{:032x}-{:016x}-{:02x}",
            self.trace_id, self.span_id, self.flags
        )
    }
}

/// Parses a string of exactly `digits` lowercase hexadecimal digits.
fn parse_hex(text: &str, digits: usize) -> Option<u128> {
    let lower_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    let well_formed = text.len() == digits && text.bytes().all(lower_hex);
    well_formed
        .then(|| u128::from_str_radix(text, 16).ok())
        .flatten()
}
