//! Why an entry can't start.

use hemlock_chart::ChartError;
use hemlock_http::prelude::HttpError;
use hemlock_router::prelude::UnknownPolicy;
use quick_error::quick_error;

quick_error! {
    /// An entry could not be started.
    #[derive(Debug)]
    pub enum EntryError {
        /// The HTTP address can't be served.
        Http(source: HttpError) {
            display("the entry's HTTP server did not start: {source}")
            source(source)
            from()
        }
        /// The settings name a placement policy that does not exist.
        Policy(source: UnknownPolicy) {
            display("policy: {source}")
            source(source)
            from()
        }
        /// A state chart is faulty.
        Chart(source: ChartError) {
            display("{source}")
            source(source)
            from()
        }
        /// A thread could not be made.
        Thread(source: std::io::Error) {
            display("a thread could not be made: {source}")
            source(source)
            from()
        }
    }
}
