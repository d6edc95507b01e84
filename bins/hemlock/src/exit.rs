//! Exit codes of the program.

use std::process::ExitCode;

/// Result of a command, as an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Success.
    Done = 0,
    /// A guarantee was violated, the work failed, or contracts differ.
    Failed = 1,
    /// Invalid arguments, or an invalid file.
    Usage = 2,
    /// The request was refused; nothing was run or changed.
    Refused = 3,
    /// No reachable server could handle the request; nothing was run or changed.
    Unreachable = 4,
    /// The answer was lost; the request may have been executed.
    Unknown = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
