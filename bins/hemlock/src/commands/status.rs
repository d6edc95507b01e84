//! `hemlock status`: shows the state of the cluster, as reported by its leader if it is reachable.

use serde_json::Value;

use crate::commands::parse_operator_options;
use crate::error::CliError;
use crate::exit::Exit;
use crate::output;

const HELP: &str = "\
hemlock status: shows the state of the cluster, as reported by its leader if it is reachable

Usage: hemlock status [OPTIONS]

Exits with status 4 if no keeper responds.

";

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<Exit, CliError> {
    let Some((operator, format)) = parse_operator_options(parser, HELP)? else {
        return Ok(Exit::Done);
    };
    let views = operator.get_each("/v1/status")?;
    let tried = views.iter().map(|(keeper, _)| keeper.to_string());
    let tried = tried.collect::<Vec<_>>().join(", ");
    let mut views: Vec<Value> = views.into_iter().filter_map(|(_, view)| view).collect();
    // Prefer the status that the leader reports.
    views.sort_by_key(|view| view["leading"] != true);
    let view = views.into_iter().next();
    output::print(format, &view.ok_or(CliError::Unreachable(tried))?);
    Ok(Exit::Done)
}
