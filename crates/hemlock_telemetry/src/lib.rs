//! Logs, spans and counters of one process.
//!
//! Logs are JSON lines on standard output, one for each change of state; what happens often is
//! counted and read from `/metrics`. A sampled request leaves one span line for each hop.
//!
//! ```
//! use hemlock_telemetry::prelude::*;
//!
//! let header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
//! let caller = TraceContext::parse(header).unwrap();
//! let child = caller.child(7);
//! assert_eq!(child.trace_id, caller.trace_id);
//! assert!(child.is_sampled());
//! assert_eq!(child.to_header(), "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000007-01");
//! ```

pub mod error;
pub mod setup;
pub mod span;
pub mod trace;

/// The items that most callers need.
pub mod prelude {
    pub use crate::error::TelemetryError;
    pub use crate::setup::{
        LogWriter, TelemetryConfig, dropped_log_lines, fold_histograms, render_metrics, start,
    };
    pub use crate::span::{Hop, SpanRecord};
    pub use crate::trace::TraceContext;
}

pub use setup::{TelemetryConfig, render_metrics, start};
