//! `hemlock endpoints`: lists the endpoints that are registered with the keepers.

use crate::commands::parse_operator_options;
use crate::error::CliError;
use crate::exit::Exit;
use crate::output;

const HELP: &str = "\
hemlock endpoints: lists the endpoints that are registered with the keepers

Usage: hemlock endpoints [OPTIONS]

";

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<Exit, CliError> {
    let Some((operator, format)) = parse_operator_options(parser, HELP)? else {
        return Ok(Exit::Done);
    };
    let mut answer = operator.get("/v1/endpoints")?;
    output::print(format, &answer["endpoints"].take());
    Ok(Exit::Done)
}
