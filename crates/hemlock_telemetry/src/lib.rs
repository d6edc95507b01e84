//! Logging, tracing spans and metrics of a process.
//!
//! Logs are JSON lines on standard output or standard error, one for each state change. Frequent
//! events are counted instead and exposed at `/metrics`. For a sampled request, one span line is
//! logged per stage of its processing.
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

pub mod batch_writer;
pub mod error;
pub mod setup;
pub mod span;
pub mod trace;

/// The most commonly used items.
pub mod prelude {
    pub use crate::error::TelemetryError;
    pub use crate::setup::{
        LogWriter, TelemetryConfig, dropped_log_lines, log_dropped_lines, render_metrics,
        run_metrics_upkeep, start,
    };
    pub use crate::span::{Hop, SpanRecord};
    pub use crate::trace::TraceContext;
}

pub use setup::{TelemetryConfig, render_metrics, start};
