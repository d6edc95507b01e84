//! `hemlock check`: validates settings and contract files.

use std::path::{Path, PathBuf};

use hemlock_contract::prelude::Contract;
use hemlock_settings::prelude::*;

use crate::error::CliError;
use crate::exit::Exit;

const HELP: &str = "\
hemlock check: validates settings and contract files and prints all errors

Usage: hemlock check [--kind KIND] FILE...

  --kind KIND   keeper, entry, agent or contract (default: detected from the file's fields)
  --help        show this help

Exits with status 2 if a file is invalid.
";

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<Exit, CliError> {
    use lexopt::prelude::*;
    let mut kind = None;
    let mut files: Vec<PathBuf> = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("kind") => kind = Some(parse_kind(&parser.value()?.string()?)?),
            Value(file) => files.push(file.into()),
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Done);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    if files.is_empty() {
        return Err(CliError::Missing("FILE", "name at least one file to check"));
    }
    let mut exit = Exit::Done;
    for file in &files {
        match check_file(file, kind) {
            Ok(kind) => println!("{}: valid {kind}", file.display()),
            Err(error) => {
                eprintln!("{error}");
                exit = Exit::Usage;
            }
        }
    }
    Ok(exit)
}

fn parse_kind(name: &str) -> Result<FileKind, CliError> {
    let expects = "keeper, entry, agent or contract";
    FileKind::parse(name).ok_or_else(|| CliError::BadValue("--kind", name.to_owned(), expects))
}

fn check_file(path: &Path, kind: Option<FileKind>) -> Result<FileKind, CliError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| CliError::Read(path.to_owned(), error))?;
    let Some(kind) = kind.or_else(|| FileKind::detect(&text)) else {
        return Err(CliError::UnknownKind(path.to_owned()));
    };
    let checked = match kind {
        FileKind::Keeper => parse::<KeeperSettings>(&text).map(drop),
        FileKind::Entry => parse::<EntrySettings>(&text).map(drop),
        FileKind::Agent => parse::<AgentSettings>(&text).map(drop),
        FileKind::Contract => parse::<Contract>(&text).map(drop),
    };
    match checked {
        Ok(()) => Ok(kind),
        Err(error) => Err(CliError::File(path.to_owned(), error)),
    }
}
