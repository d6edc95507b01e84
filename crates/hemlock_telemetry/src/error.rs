//! Errors during the setup of logging and metrics.

use quick_error::quick_error;

quick_error! {
    /// Logging or metrics could not be set up.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum TelemetryError {
        /// The log filter is invalid.
        Filter(filter: String) {
            display("invalid log filter {filter:?}; examples: info, hemlock_entry=debug")
        }
        /// A log subscriber is already installed in this process.
        LogsInstalled {
            display("a log subscriber is already installed in this process")
        }
        /// A metrics recorder is already installed in this process.
        MetricsInstalled {
            display("a metrics recorder is already installed in this process")
        }
    }
}
