//! Errors of the program and their exit codes. Each message says how to correct the error.

use std::io;
use std::path::PathBuf;

use hemlock_http::prelude::HttpClientError;
use hemlock_settings::SettingsError;
use quick_error::quick_error;

use crate::demo::DemoError;
use crate::exit::Exit;

quick_error! {
    /// Error of a command.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes no narrower visibility")]
    pub enum CliError {
        /// The arguments are invalid.
        Arguments(source: lexopt::Error) {
            from()
            display("{source}; see --help")
            source(source)
        }
        /// The command does not exist.
        UnknownCommand(command: String, known: &'static str) {
            display("unknown command {command:?}; expected one of: {known}")
        }
        /// An argument is missing.
        Missing(what: &'static str, advice: &'static str) {
            display("{what} is missing; {advice}")
        }
        /// The value of an option is invalid.
        BadValue(option: &'static str, value: String, expects: &'static str) {
            display("invalid value {value:?} for {option}; expected {expects}")
        }
        /// A file is invalid.
        File(path: PathBuf, source: SettingsError) {
            display("{}:\n{source}", path.display())
            source(source)
        }
        /// The kind of a file can't be detected.
        UnknownKind(path: PathBuf) {
            display("{}: can't detect the kind of the file from its fields; set it with --kind", path.display())
        }
        /// A file can't be read.
        Read(path: PathBuf, source: io::Error) {
            display("{}: {source}", path.display())
            source(source)
        }
        /// The key contains characters that are not allowed in an HTTP header.
        BadKey {
            display("the key is empty or contains characters that are not allowed in an HTTP header; use printable ASCII")
        }
        /// The server refused the request.
        Refused(status: u16, message: String) {
            display("refused ({status}): {message}")
        }
        /// No server could handle the request.
        Unreachable(tried: String) {
            display("no server could handle the request; tried {tried}")
        }
        /// It is unknown whether a change was recorded.
        Undecided(reason: String) {
            display("{reason}; the change may have been recorded and can be sent again unchanged")
        }
        /// The connection failed before the answer arrived.
        Unknown(source: HttpClientError) {
            display("{source}; the request may have been executed and can be sent again unchanged")
            source(source)
        }
        /// The answer is not valid JSON.
        BadAnswer(source: serde_json::Error) {
            from()
            display("the answer is not valid JSON: {source}")
            source(source)
        }
        /// The async runtime can't be created.
        Runtime(source: io::Error) {
            display("cannot create the async runtime: {source}")
            source(source)
        }
        /// The demonstration failed to run.
        Demo(source: DemoError) {
            from()
            display("{source}")
            source(source)
        }
    }
}

impl CliError {
    /// Exit code of the program for this error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Arguments(_)
            | Self::UnknownCommand(..)
            | Self::Missing(..)
            | Self::BadValue(..)
            | Self::File(..)
            | Self::UnknownKind(_)
            | Self::Read(..)
            | Self::BadKey => Exit::Usage,
            Self::Refused(..) => Exit::Refused,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Undecided(_) | Self::Unknown(_) | Self::BadAnswer(_) => Exit::Unknown,
            Self::Runtime(_) | Self::Demo(_) => Exit::Failed,
        }
    }
}
