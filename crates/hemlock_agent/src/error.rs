//! Errors that prevent an agent from starting.

use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// An error that prevented an agent from starting.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum AgentError {
        /// The agent can't listen on its address for entries.
        Listen(address: SocketAddr, error: std::io::Error) {
            source(error)
            display("can't listen on wire_address {}: {}", address, error)
        }
        /// The HTTP server can't start.
        Http(error: hemlock_http::error::HttpError) {
            from()
            source(error)
            display("can't start the HTTP server: {}", error)
        }
        /// A state chart is invalid.
        Chart(error: hemlock_chart::ChartError) {
            from()
            source(error)
            display("{}", error)
        }
        /// A thread or its runtime can't be started.
        Thread(error: std::io::Error) {
            from()
            source(error)
            display("can't start a thread: {}", error)
        }
    }
}
