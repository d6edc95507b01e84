//! What can be wrong with a chart's file.

use quick_error::quick_error;

quick_error! {
    /// A fault in a chart's file.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum ChartError {
        /// The file is not YAML of the expected shape.
        Syntax(error: serde_yaml_ng::Error) {
            from()
            source(error)
            display("chart: {}", error)
        }
        /// The file names a state that the program does not know.
        UnknownState(chart: String, state: String) {
            display("chart {}: unknown state {}", chart, state)
        }
        /// The file names an event that the program does not know.
        UnknownEvent(chart: String, state: String, event: String) {
            display("chart {}, state {}: unknown event {}", chart, state, event)
        }
        /// The program knows a state that the file does not describe.
        MissingState(chart: String, state: &'static str) {
            display("chart {}: state {} is not described", chart, state)
        }
        /// A state says nothing about an event.
        MissingTransition(chart: String, state: &'static str, event: &'static str) {
            display("chart {}, state {}: nothing said about event {}", chart, state, event)
        }
        /// A state both follows and ignores an event.
        ConflictingTransition(chart: String, state: &'static str, event: &'static str) {
            display("chart {}, state {}: event {} is both followed and ignored", chart, state, event)
        }
        /// No sequence of events leads from the initial state to this one.
        UnreachableState(chart: String, state: &'static str) {
            display("chart {}: state {} can't be reached", chart, state)
        }
    }
}
