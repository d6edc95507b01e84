//! Parsers of contracts and planned stops in YAML and JSON.

use serde::de::DeserializeOwned;
use serde_path_to_error::Error as PathError;

use crate::contract::Contract;
use crate::error::{ContractError, LocatedFault, ParseFault};
use crate::fault::ContractFault;
use crate::stop::PlannedStop;

/// Largest accepted size of a text, in bytes.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;

/// Parses a contract from YAML and checks it.
///
/// # Errors
///
/// Returns all faults in the content, each with its line and field, or the single fault that
/// prevents parsing.
pub fn parse_yaml(text: &str) -> Result<Contract, ContractError> {
    check_size(text.len())?;
    let reader = serde_yaml_ng::Deserializer::from_str(text);
    let contract: Contract =
        serde_path_to_error::deserialize(reader).map_err(|error| yaml_error(&error))?;
    let locate = |fault: &ContractFault| find_line(text, &fault.field);
    check_content(contract, locate)
}

/// Parses a contract from JSON and checks it.
///
/// # Errors
///
/// Returns all faults in the content, each with its field, or the single fault that prevents
/// parsing. Only the latter has a line.
pub fn parse_json(body: &[u8]) -> Result<Contract, ContractError> {
    let contract = deserialize_json(body)?;
    check_content(contract, |_| 0)
}

/// Parses a planned stop from JSON and checks its names.
///
/// # Errors
///
/// Returns all faults in the content, each with its field, or the single fault that prevents
/// parsing.
pub fn parse_stop_json(body: &[u8]) -> Result<PlannedStop, ContractError> {
    let stop: PlannedStop = deserialize_json(body)?;
    match stop.check() {
        Ok(()) => Ok(stop),
        Err(faults) => Err(content_error(faults, |_| 0)),
    }
}

fn deserialize_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ContractError> {
    check_size(body.len())?;
    let mut reader = serde_json::Deserializer::from_slice(body);
    let value =
        serde_path_to_error::deserialize(&mut reader).map_err(|error| json_error(&error))?;
    reader
        .end()
        .map_err(|error| syntax_error(error.line(), String::new(), error.to_string()))?;
    Ok(value)
}

fn check_size(length: usize) -> Result<(), ContractError> {
    match length > MAX_TEXT_BYTES {
        false => Ok(()),
        true => Err(ContractError {
            faults: vec![LocatedFault {
                line: 0,
                field: String::new(),
                kind: ParseFault::TooLarge(MAX_TEXT_BYTES),
            }],
        }),
    }
}

fn check_content(
    contract: Contract,
    locate: impl Fn(&ContractFault) -> usize,
) -> Result<Contract, ContractError> {
    match contract.check() {
        Ok(()) => Ok(contract),
        Err(faults) => Err(content_error(faults, locate)),
    }
}

fn content_error(
    faults: Vec<ContractFault>,
    locate: impl Fn(&ContractFault) -> usize,
) -> ContractError {
    let located = |fault: ContractFault| LocatedFault {
        line: locate(&fault),
        field: fault.field.clone(),
        kind: ParseFault::Content(fault),
    };
    ContractError {
        faults: faults.into_iter().map(located).collect(),
    }
}

fn yaml_error(error: &PathError<serde_yaml_ng::Error>) -> ContractError {
    let line = error
        .inner()
        .location()
        .map_or(0, |location| location.line());
    let reason = error.inner().to_string();
    syntax_error(line, field_of(&error.path().to_string(), &reason), reason)
}

fn json_error(error: &PathError<serde_json::Error>) -> ContractError {
    let reason = error.inner().to_string();
    let field = field_of(&error.path().to_string(), &reason);
    syntax_error(error.inner().line(), field, reason)
}

fn syntax_error(line: usize, field: String, reason: String) -> ContractError {
    ContractError {
        faults: vec![LocatedFault {
            line,
            field,
            kind: ParseFault::Syntax(reason),
        }],
    }
}

/// Returns the field to which a deserialization error refers. This is the path of the error; for a
/// missing, unknown or duplicate field, the name that the message has in backquotes is appended.
fn field_of(path: &str, reason: &str) -> String {
    let parent = if path == "." { "" } else { path };
    let is_about_name = ["missing field", "unknown field", "duplicate field"]
        .iter()
        .any(|kind| reason.contains(kind));
    let quoted = reason.split('`').nth(1).unwrap_or("");
    match parent {
        "" if is_about_name => quoted.to_owned(),
        parent if is_about_name && !ends_with_field(parent, quoted) => format!("{parent}.{quoted}"),
        parent => parent.to_owned(),
    }
}

fn ends_with_field(path: &str, field: &str) -> bool {
    path.rsplit('.').next() == Some(field)
}

/// Returns the line of a top-level field in a YAML text, starting at 1; 0 if the text does not have
/// the field.
fn find_line(text: &str, field: &str) -> usize {
    let top_level = field.split(['.', '[']).next().unwrap_or(field);
    let starts_field = |line: &str| {
        line.strip_prefix(top_level)
            .is_some_and(|rest| rest.trim_start().starts_with(':'))
    };
    text.lines()
        .position(starts_field)
        .map_or(0, |index| index + 1)
}
