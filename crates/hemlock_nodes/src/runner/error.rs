//! Errors that end a runner.

use quick_error::quick_error;

quick_error! {
    /// An error that prevents a runner from starting or continuing.
    #[derive(Debug)]
    pub enum RunnerError {
        /// Listening for gateways failed.
        Bind(source: std::io::Error) {
            display("cannot listen for gateways: {source}")
            source(source)
        }
        /// The instance has accepted a call of a later process with a higher fencing token.
        Superseded {
            display("a later process beside the instance has taken over")
        }
    }
}
