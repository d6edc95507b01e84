//! Parses the command line.

use std::path::PathBuf;

use lexopt::prelude::*;

use crate::error::ProgramError;

/// Text of `--help`.
pub(crate) const HELP: &str = "\
Runs one keeper of a hemlockridge cluster.

Usage: hemlock-keeper --settings FILE

Options:
  --settings FILE  YAML file with this keeper's settings
  --help           Print this help

On SIGTERM or SIGINT the keeper transfers its leadership, finishes running requests and exits.
Exit status: 0 after a signal, 1 if the keeper failed, 2 for invalid arguments or settings.";

/// Parsed command line.
pub(crate) enum Arguments {
    /// Print the help.
    Help,
    /// Run the keeper.
    Run {
        /// The settings file.
        settings: PathBuf,
    },
}

/// Parses the command line.
///
/// # Errors
///
/// [`ProgramError`] if an argument is unknown or missing.
pub(crate) fn read() -> Result<Arguments, ProgramError> {
    let mut parser = lexopt::Parser::from_env();
    let mut settings = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("help") | Short('h') => return Ok(Arguments::Help),
            unknown => return Err(unknown.unexpected().into()),
        }
    }
    match settings {
        Some(settings) => Ok(Arguments::Run { settings }),
        None => Err(ProgramError::NoSettings),
    }
}
