//! `hemlock contract`: applies, shows, lists and compares contracts.

use std::path::{Path, PathBuf};

use hemlock_contract::prelude::Contract;
use hemlock_http::Method;
use serde_json::Value;

use crate::error::CliError;
use crate::exit::Exit;
use crate::operator::{IN_FORCE_TIMEOUT_MS, Operator};
use crate::options::{OPERATOR_HELP, OperatorOptions};
use crate::output::{self, Format};

const HELP: &str = "\
hemlock contract: applies, shows, lists and compares contracts

Usage:
  hemlock contract apply [--wait] FILE...   apply the contract in each file
  hemlock contract get CUSTOMER             show a customer's contract
  hemlock contract list                     show every contract
  hemlock contract diff FILE                compare a file with the contract in effect

  --wait             wait until every entry uses the new contract
";
const ACTIONS: &str = "apply, get, list, diff";

/// Timeout of a change without `--wait`, in milliseconds.
const APPLY_TIMEOUT_MS: u64 = 15_000;
/// Columns of the table that `hemlock contract list` prints.
const SUMMARY_COLUMNS: [&str; 7] = [
    "customer",
    "revision",
    "urgency",
    "weight",
    "max_running",
    "max_queued",
    "services",
];

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<Exit, CliError> {
    use lexopt::prelude::*;
    let mut options = OperatorOptions::default();
    let mut wait = false;
    let mut words: Vec<String> = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("wait") => wait = true,
            Short('h') | Long("help") => {
                print!("{HELP}{OPERATOR_HELP}");
                return Ok(Exit::Done);
            }
            Long(name) => {
                let name = name.to_owned();
                options.parse_option(&name, &mut parser)?;
            }
            Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let (action, rest) = words.split_first().ok_or(CliError::Missing(
        "the action",
        "use apply, get, list or diff",
    ))?;
    match action.as_str() {
        "apply" => apply(&options, rest, wait),
        "get" => get(&options, rest),
        "list" => list(&options),
        "diff" => diff(&options, rest),
        other => Err(CliError::UnknownCommand(other.to_owned(), ACTIONS)),
    }
}

fn operator(options: &OperatorOptions) -> Result<Operator, CliError> {
    Ok(Operator::new(options.keepers()?, options.key()?))
}

fn apply(options: &OperatorOptions, files: &[String], wait: bool) -> Result<Exit, CliError> {
    if files.is_empty() {
        return Err(CliError::Missing("FILE", "name at least one contract file"));
    }
    // Validate every file before applying the first change.
    let contracts = files
        .iter()
        .map(|file| load(Path::new(file)))
        .collect::<Result<Vec<_>, _>>()?;
    let operator = operator(options)?;
    let mut answers = Vec::new();
    for contract in contracts {
        let (suffix, timeout_ms) = match wait {
            true => ("?wait=in-force", IN_FORCE_TIMEOUT_MS),
            false => ("", APPLY_TIMEOUT_MS),
        };
        let path = format!("/v1/contracts/{}{suffix}", contract.customer);
        let body = serde_json::to_value(&contract)?;
        answers.push(operator.call(&Method::Put, &path, Some(&body), timeout_ms)?);
    }
    output::print(options.format, &Value::Array(answers));
    Ok(Exit::Done)
}

fn get(options: &OperatorOptions, words: &[String]) -> Result<Exit, CliError> {
    let [customer] = words else {
        return Err(CliError::Missing("CUSTOMER", "name exactly one customer"));
    };
    let answer = operator(options)?.get(&format!("/v1/contracts/{customer}"))?;
    output::print(options.format, &contract_of(answer));
    Ok(Exit::Done)
}

fn list(options: &OperatorOptions) -> Result<Exit, CliError> {
    let mut answer = operator(options)?.get("/v1/contracts")?;
    let contracts = answer["contracts"].take();
    let shown = match (options.format, contracts) {
        (Format::Table, Value::Array(contracts)) => contracts.iter().map(summary).collect(),
        (_, contracts) => contracts,
    };
    output::print(options.format, &shown);
    Ok(Exit::Done)
}

/// One row of the table of contracts.
fn summary(contract: &Value) -> Value {
    let mut row = serde_json::Map::new();
    for column in SUMMARY_COLUMNS {
        row.insert(column.to_owned(), contract[column].clone());
    }
    Value::Object(row)
}

fn diff(options: &OperatorOptions, files: &[String]) -> Result<Exit, CliError> {
    let [file] = files else {
        return Err(CliError::Missing("FILE", "name exactly one contract file"));
    };
    let contract = load(Path::new(file))?;
    let operator = operator(options)?;
    let in_force = match operator.get(&format!("/v1/contracts/{}", contract.customer)) {
        Ok(answer) => contract_of(answer),
        Err(CliError::Refused(404, _)) => Value::Null,
        Err(error) => return Err(error),
    };
    let differences = compare(&in_force, &serde_json::to_value(&contract)?);
    let exit = match differences.is_empty() {
        true => Exit::Done,
        false => Exit::Failed,
    };
    output::print(options.format, &Value::Array(differences));
    Ok(exit)
}

/// Takes the contract out of a response, which may contain other fields too.
fn contract_of(mut answer: Value) -> Value {
    match answer.get_mut("contract") {
        Some(contract) => contract.take(),
        None => answer,
    }
}

/// Returns one object for each field that differs.
fn compare(in_force: &Value, file: &Value) -> Vec<Value> {
    let none = serde_json::Map::new();
    let old = in_force.as_object().unwrap_or(&none);
    let new = file.as_object().unwrap_or(&none);
    new.iter()
        .filter(|(field, value)| old.get(*field) != Some(value))
        .map(|(field, value)| {
            serde_json::json!({ "field": field, "in_force": old.get(field), "file": value })
        })
        .collect()
}

fn load(path: &Path) -> Result<Contract, CliError> {
    let owned = || PathBuf::from(path);
    hemlock_settings::load(path).map_err(|error| CliError::File(owned(), error))
}
