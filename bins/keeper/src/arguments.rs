//! The command line.

use std::path::PathBuf;

use lexopt::prelude::*;

use crate::error::ProgramError;

/// Text of `--help`.
pub(crate) const HELP: &str = "\
Runs one keeper of a hemlockridge cluster.

Usage: hemlock-keeper --settings FILE

Options:
  --settings FILE  YAML file with this keeper's settings
  --help           Print this text

SIGTERM or SIGINT hands leadership over, finishes what is under way and ends with status 0.
Status 1: the keeper could not go on. Status 2: the command line or the settings are wrong.";

/// What the command line asks for.
pub(crate) enum Arguments {
    /// Print the help text.
    Help,
    /// Run with the settings of a file.
    Run {
        /// The file.
        settings: PathBuf,
    },
}

/// Reads the command line.
///
/// # Errors
///
/// Fails on an unknown or missing argument.
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
