//! Errors of setting up logs and counters.

use quick_error::quick_error;

quick_error! {
    /// Why logs or counters could not be set up.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TelemetryError {
        /// The log filter does not parse.
        Filter(filter: String) {
            display("log filter {filter:?} does not parse; write for example info or hemlock_entry=debug")
        }
        /// Another log subscriber is installed in this process.
        LogsInstalled {
            display("another log subscriber is installed in this process")
        }
        /// Another metrics recorder is installed in this process.
        MetricsInstalled {
            display("another metrics recorder is installed in this process")
        }
    }
}
