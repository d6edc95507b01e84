//! `hemlock status`: shows the cluster's state, as its leader sees it when it can be reached.

use serde_json::Value;

use crate::commands::read_operator;
use crate::error::CliError;
use crate::exit::Exit;
use crate::output;

const HELP: &str = "\
hemlock status: shows the cluster's state, as its leader sees it when it can be reached

Usage: hemlock status [OPTIONS]

Exits 4 when no keeper answers.

";

/// Runs the command.
pub(crate) fn run(parser: lexopt::Parser) -> Result<Exit, CliError> {
    let Some((operator, format)) = read_operator(parser, HELP)? else {
        return Ok(Exit::Done);
    };
    let views = operator.get_each("/v1/status")?;
    let tried = views.iter().map(|(keeper, _)| keeper.to_string());
    let tried = tried.collect::<Vec<_>>().join(", ");
    let mut views: Vec<Value> = views.into_iter().filter_map(|(_, view)| view).collect();
    // The leader's view comes first.
    views.sort_by_key(|view| view["leading"] != true);
    let view = views.into_iter().next();
    output::print(format, &view.ok_or(CliError::Unreachable(tried))?);
    Ok(Exit::Done)
}
