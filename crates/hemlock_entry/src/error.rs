//! Errors that prevent an entry from starting.

use hemlock_chart::ChartError;
use hemlock_http::prelude::HttpError;
use hemlock_router::prelude::UnknownPolicy;
use quick_error::quick_error;

quick_error! {
    /// An error that prevented an entry from starting.
    #[derive(Debug)]
    pub enum EntryError {
        /// The HTTP server could not start.
        Http(source: HttpError) {
            display("can't start the HTTP server: {source}")
            source(source)
            from()
        }
        /// The settings name a placement policy that does not exist.
        Policy(source: UnknownPolicy) {
            display("policy: {source}")
            source(source)
            from()
        }
        /// A state chart is invalid.
        Chart(source: ChartError) {
            display("{source}")
            source(source)
            from()
        }
        /// A thread or its runtime could not be started.
        Thread(source: std::io::Error) {
            display("can't start a thread: {source}")
            source(source)
            from()
        }
    }
}
