//! Exit codes of the command line.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done.
    Done = 0,
    /// A promise was broken, the work failed, or files differ.
    Failed = 1,
    /// Wrong usage, or a file with faults.
    Usage = 2,
    /// Refused; nothing was run or changed.
    Refused = 3,
    /// Nothing reachable could do it; nothing was run or changed.
    Unreachable = 4,
    /// The answer was lost; it may have been run or changed.
    Unknown = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
