//! `hemlock keepers`: lists, adds, replaces and removes keepers.

use std::net::SocketAddr;

use hemlock_http::Method;
use serde_json::{Value, json};

use crate::error::CliError;
use crate::exit::Exit;
use crate::operator::Operator;
use crate::options::{OPERATOR_HELP, OperatorOptions, parse_number};
use crate::output;

const HELP: &str = "\
hemlock keepers: lists, adds, replaces and removes keepers

Usage:
  hemlock keepers list
  hemlock keepers add --id ID --address WIRE_ADDRESS
  hemlock keepers remove --id ID
  hemlock keepers replace --old ID --id ID --address WIRE_ADDRESS

A new keeper must have an empty data folder and an id that was never used before. It gets a
vote once its log has caught up. `replace` adds the new keeper and then removes the old one.

";
const ACTIONS: &str = "list, add, remove, replace";
/// Timeout for a new keeper to catch up and be added, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 60_000;

/// Options that identify keepers.
#[derive(Debug, Default)]
struct KeeperOptions {
    id: Option<u64>,
    old: Option<u64>,
    address: Option<SocketAddr>,
}

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<Exit, CliError> {
    use lexopt::prelude::*;
    let mut options = OperatorOptions::default();
    let mut keeper = KeeperOptions::default();
    let mut action = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("id") => keeper.id = Some(parse_number("--id", &parser.value()?.string()?)?),
            Long("old") => keeper.old = Some(parse_number("--old", &parser.value()?.string()?)?),
            Long("address") => keeper.address = Some(parse_address(&parser.value()?.string()?)?),
            Short('h') | Long("help") => {
                print!("{HELP}{OPERATOR_HELP}");
                return Ok(Exit::Done);
            }
            Long(name) => {
                let name = name.to_owned();
                options.parse_option(&name, &mut parser)?;
            }
            Value(word) if action.is_none() => action = Some(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let action = action.unwrap_or_else(|| "list".to_owned());
    let operator = || Ok::<_, CliError>(Operator::new(options.keepers()?, options.key()?));
    let answer = match action.as_str() {
        "list" => list(&operator()?)?,
        "add" => add(&operator()?, &keeper)?,
        "remove" => remove(&operator()?, required_id(keeper.id, "--id")?)?,
        "replace" => {
            let old = required_id(keeper.old, "--old")?;
            let operator = operator()?;
            add(&operator, &keeper)?;
            remove(&operator, old)?
        }
        other => return Err(CliError::UnknownCommand(other.to_owned(), ACTIONS)),
    };
    output::print(options.format, &answer);
    Ok(Exit::Done)
}

fn parse_address(text: &str) -> Result<SocketAddr, CliError> {
    let expects = "an IP address and port, such as 10.0.0.1:7100";
    text.parse()
        .map_err(|_| CliError::BadValue("--address", text.to_owned(), expects))
}

fn required_id(id: Option<u64>, option: &'static str) -> Result<u64, CliError> {
    id.ok_or(CliError::Missing(option, "give the keeper's id"))
}

/// The status of each keeper as it reports it, with its address.
fn list(operator: &Operator) -> Result<Value, CliError> {
    let views = operator.get_each("/v1/status")?;
    if views.iter().all(|(_, view)| view.is_none()) {
        let tried = views.iter().map(|(keeper, _)| keeper.to_string());
        return Err(CliError::Unreachable(tried.collect::<Vec<_>>().join(", ")));
    }
    let row = |(address, view): (SocketAddr, Option<Value>)| {
        let view = view.unwrap_or_default();
        json!({
            "http_address": address,
            "reachable": !view.is_null(),
            "keeper": view["keeper"],
            "leading": view["leading"],
            "leader": view["leader"],
            "term": view["term"],
            "commit": view["commit"],
            "applied": view["applied"],
            "config_version": view["config_version"],
        })
    };
    Ok(Value::Array(views.into_iter().map(row).collect()))
}

fn add(operator: &Operator, keeper: &KeeperOptions) -> Result<Value, CliError> {
    let id = required_id(keeper.id, "--id")?;
    let advice = "give the new keeper's wire address";
    let address = keeper
        .address
        .ok_or(CliError::Missing("--address", advice))?;
    let body = json!({ "id": id, "address": address });
    operator.call(&Method::Post, "/v1/keepers", Some(&body), CHANGE_TIMEOUT_MS)
}

fn remove(operator: &Operator, id: u64) -> Result<Value, CliError> {
    let path = format!("/v1/keepers/{id}");
    operator.call(&Method::Delete, &path, None, CHANGE_TIMEOUT_MS)
}
