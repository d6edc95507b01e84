//! The commands, one in each module.

mod check;
mod contract;
mod demo;
mod endpoints;
mod keepers;
mod status;
mod stop;
mod submit;

use crate::error::CliError;
use crate::exit::Exit;
use crate::operator::Operator;
use crate::options::{OPERATOR_HELP, OperatorOptions};
use crate::output::Format;

const KNOWN: &str = "demo, check, contract, stop, endpoints, status, keepers, submit";

/// Runs one command with the rest of the arguments.
pub(crate) fn run(command: &str, parser: lexopt::Parser) -> Result<Exit, CliError> {
    match command {
        "demo" => demo::run(parser),
        "check" => check::run(parser),
        "contract" => contract::run(parser),
        "stop" => stop::run(parser),
        "endpoints" => endpoints::run(parser),
        "status" => status::run(parser),
        "keepers" => keepers::run(parser),
        "submit" => submit::run(parser),
        other => Err(CliError::UnknownCommand(other.to_owned(), KNOWN)),
    }
}

/// Reads the options of a command that has no arguments of its own; `None` when it only asked
/// for help.
fn read_operator(
    mut parser: lexopt::Parser,
    help: &str,
) -> Result<Option<(Operator, Format)>, CliError> {
    use lexopt::prelude::*;
    let mut options = OperatorOptions::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => {
                print!("{help}{OPERATOR_HELP}");
                return Ok(None);
            }
            Long(name) => {
                let name = name.to_owned();
                options.take(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let operator = Operator::new(options.keepers()?, options.key()?);
    Ok(Some((operator, options.format)))
}
