//! Errors of the command line, each with its exit code and the way to mend it.

use std::io;
use std::path::PathBuf;

use hemlock_http::prelude::HttpClientError;
use hemlock_settings::SettingsError;
use quick_error::quick_error;

use crate::demo::DemoError;
use crate::exit::Exit;

quick_error! {
    /// Why a command did not do its work.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "the macro takes no narrower visibility")]
    pub enum CliError {
        /// The arguments don't parse.
        Arguments(source: lexopt::Error) {
            from()
            display("{source}; see --help")
            source(source)
        }
        /// There is no such command.
        UnknownCommand(command: String, known: &'static str) {
            display("no command {command:?}; use one of: {known}")
        }
        /// An argument is missing.
        Missing(what: &'static str, advice: &'static str) {
            display("{what} is missing; {advice}")
        }
        /// An option's value is not usable.
        BadValue(option: &'static str, value: String, expects: &'static str) {
            display("{option} {value:?}: write {expects}")
        }
        /// A file has faults.
        File(path: PathBuf, source: SettingsError) {
            display("{}:\n{source}", path.display())
            source(source)
        }
        /// A file's content can't be told.
        UnknownKind(path: PathBuf) {
            display("{}: neither settings nor a contract by its fields; say which with --kind", path.display())
        }
        /// A file can't be read.
        Read(path: PathBuf, source: io::Error) {
            display("{}: {source}", path.display())
            source(source)
        }
        /// The key can't be put into a header.
        BadKey {
            display("the key has characters that a header can't carry; use printable ASCII")
        }
        /// The other side refused.
        Refused(status: u16, message: String) {
            display("refused ({status}): {message}")
        }
        /// Nobody could do it.
        Unreachable(tried: String) {
            display("nobody could do it; tried {tried}")
        }
        /// A change may be recorded.
        Undecided(reason: String) {
            display("{reason}; it may have been recorded, and may be sent again unchanged")
        }
        /// The answer was lost.
        Unknown(source: HttpClientError) {
            display("{source}; it may have been done, and may be sent again unchanged")
            source(source)
        }
        /// The answer is not the expected JSON.
        BadAnswer(source: serde_json::Error) {
            from()
            display("the answer is not the expected JSON: {source}")
            source(source)
        }
        /// The demonstration could not run.
        Demo(source: DemoError) {
            from()
            display("{source}")
            source(source)
        }
    }
}

impl CliError {
    /// The exit code that tells this error.
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
            Self::Demo(_) => Exit::Failed,
        }
    }
}
