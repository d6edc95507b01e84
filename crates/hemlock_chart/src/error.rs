//! Errors in chart files.

use quick_error::quick_error;

quick_error! {
    /// An error in a chart file.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum ChartError {
        /// The file is not YAML with the expected fields.
        Syntax(error: serde_yaml_ng::Error) {
            from()
            source(error)
            display("cannot parse chart file: {}", error)
        }
        /// The file names a state that the program does not know.
        UnknownState(chart: String, state: String) {
            display("chart {}: unknown state {}", chart, state)
        }
        /// The file names an event that the program does not know.
        UnknownEvent(chart: String, state: String, event: String) {
            display("chart {}, state {}: unknown event {}", chart, state, event)
        }
        /// The program knows a state that the file does not define.
        MissingState(chart: String, state: &'static str) {
            display("chart {}: state {} is not defined", chart, state)
        }
        /// A state has neither a transition for an event nor ignores it.
        MissingTransition(chart: String, state: &'static str, event: &'static str) {
            display("chart {}, state {}: no rule for event {}", chart, state, event)
        }
        /// A state both has a transition for an event and ignores it.
        ConflictingTransition(chart: String, state: &'static str, event: &'static str) {
            display("chart {}, state {}: event {} is listed under both on and ignore", chart, state, event)
        }
        /// No sequence of events leads from the initial state to this one.
        UnreachableState(chart: String, state: &'static str) {
            display("chart {}: state {} is unreachable", chart, state)
        }
    }
}
