//! Tests that a formatted `traceparent` header parses to the same context, and that malformed
//! headers are rejected.

use hemlock_telemetry::prelude::*;
use quickcheck::quickcheck;

const HEADER: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

quickcheck! {
    fn round_trip(high: u64, low: u64, span_id: u64, flags: u8) -> bool {
        let context = TraceContext {
            trace_id: (u128::from(high) << 64 | u128::from(low)).max(1),
            span_id: span_id.max(1),
            flags,
        };
        TraceContext::parse(&context.to_header()) == Some(context)
    }

    fn a_header_with_one_changed_byte_parses_without_panic(position: usize, byte: u8) -> bool {
        let mut bytes = HEADER.as_bytes().to_vec();
        let position = position % bytes.len();
        bytes[position] = byte;
        let text = String::from_utf8_lossy(&bytes);
        TraceContext::parse(&text).is_none_or(|context| context.trace_id != 0)
    }
}

#[test]
fn malformed_headers_are_ignored() {
    let zero_trace = "00-00000000000000000000000000000000-00f067aa0ba902b7-01";
    let zero_span = "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01";
    let upper_case = "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01";
    let bad_version = "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    let too_long = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-00";
    let malformed = [
        zero_trace,
        zero_span,
        upper_case,
        bad_version,
        too_long,
        "",
        "00",
    ];
    for header in malformed {
        assert_eq!(TraceContext::parse(header), None, "{header}");
    }
}
