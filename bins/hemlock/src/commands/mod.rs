//! The commands of the program, one in each module.

mod check;
mod contract;
mod demo;
mod endpoints;
mod evacuations;
mod keepers;
mod status;
mod stop;
mod submit;

use crate::error::CliError;
use crate::exit::Exit;
use crate::operator::Operator;
use crate::options::{OPERATOR_HELP, OperatorOptions};
use crate::output::Format;

const COMMANDS: &str =
    "demo, check, contract, stop, endpoints, evacuations, status, keepers, submit";

/// Runs a command with the remaining arguments.
pub(crate) fn run(command: &str, parser: lexopt::Parser) -> Result<Exit, CliError> {
    match command {
        "demo" => demo::run(parser),
        "check" => check::run(parser),
        "contract" => contract::run(parser),
        "stop" => stop::run(parser),
        "endpoints" => endpoints::run(parser),
        "evacuations" => evacuations::run(parser),
        "status" => status::run(parser),
        "keepers" => keepers::run(parser),
        "submit" => submit::run(parser),
        other => Err(CliError::UnknownCommand(other.to_owned(), COMMANDS)),
    }
}

/// Parses the options of a command without arguments of its own. Returns `None` if `--help` was
/// given.
fn parse_operator_options(
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
                options.parse_option(&name, &mut parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let operator = Operator::new(options.keepers()?, options.key()?);
    Ok(Some((operator, options.format)))
}
