//! Why an agent could not start.

use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why an agent could not start.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum AgentError {
        /// Its address for entries can't be used.
        Listen(address: SocketAddr, error: std::io::Error) {
            source(error)
            display("can't listen on wire_address {}: {}", address, error)
        }
        /// Its HTTP server can't start.
        Http(error: hemlock_http::error::HttpError) {
            from()
            source(error)
            display("can't start the HTTP server: {}", error)
        }
        /// A state chart is faulty.
        Chart(error: hemlock_chart::ChartError) {
            from()
            source(error)
            display("{}", error)
        }
        /// A thread can't be started.
        Thread(error: std::io::Error) {
            from()
            source(error)
            display("can't start a thread: {}", error)
        }
    }
}
