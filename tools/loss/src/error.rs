//! Errors while reading reports and logs.

use quick_error::quick_error;

quick_error! {
    /// A report or a log can't be read.
    #[derive(Debug)]
    pub enum LossError {
        /// The arguments are invalid.
        Arguments(error: lexopt::Error) {
            display("{error}")
            from()
        }
        /// An argument is missing.
        MissingArgument(name: &'static str) {
            display("--{name} FILE is missing")
        }
        /// A file can't be read.
        Io(error: std::io::Error) {
            display("{error}")
            from()
        }
        /// The report is not valid.
        Report(error: serde_json::Error) {
            display("the report is not valid: {error}")
            from()
        }
    }
}
