//! Reading contracts and planned stops from YAML and JSON.

use serde::de::DeserializeOwned;
use serde_path_to_error::Error as PathError;

use crate::contract::Contract;
use crate::error::{ContractError, LocatedFault, TextFault};
use crate::fault::ContractFault;
use crate::stop::PlannedStop;

/// Largest text of one contract, in bytes.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;

/// Reads a contract from YAML and checks it.
///
/// # Errors
///
/// Every fault with its line and field. A text that can't be read at all has one fault.
pub fn parse_yaml(text: &str) -> Result<Contract, ContractError> {
    check_size(text.len())?;
    let reader = serde_yaml_ng::Deserializer::from_str(text);
    let contract: Contract =
        serde_path_to_error::deserialize(reader).map_err(|error| yaml_error(&error))?;
    let locate = |fault: &ContractFault| find_line(text, &fault.field);
    check_content(contract, locate)
}

/// Reads a contract from JSON and checks it.
///
/// # Errors
///
/// Every fault with its field; the line is known for faults of syntax only.
pub fn parse_json(body: &[u8]) -> Result<Contract, ContractError> {
    let contract = read_json(body)?;
    check_content(contract, |_| 0)
}

/// Reads a planned stop from JSON and checks its names.
///
/// # Errors
///
/// The fault with its field.
pub fn parse_stop_json(body: &[u8]) -> Result<PlannedStop, ContractError> {
    let stop: PlannedStop = read_json(body)?;
    match stop.check() {
        Ok(()) => Ok(stop),
        Err(faults) => Err(content_error(faults, |_| 0)),
    }
}

fn read_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ContractError> {
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
                kind: TextFault::TooLarge(MAX_TEXT_BYTES),
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
        kind: TextFault::Content(fault),
    };
    ContractError {
        faults: faults.into_iter().map(located).collect(),
    }
}

fn yaml_error(error: &PathError<serde_yaml_ng::Error>) -> ContractError {
    let line = error.inner().location().map_or(0, |place| place.line());
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
            kind: TextFault::Syntax(reason),
        }],
    }
}

/// The field that an error of the reader is about: its path, and for a missing, unknown or
/// duplicate field the name that the reader puts between backquotes.
fn field_of(path: &str, reason: &str) -> String {
    let parent = if path == "." { "" } else { path };
    let about_name = ["missing field", "unknown field", "duplicate field"]
        .iter()
        .any(|kind| reason.contains(kind));
    let quoted = reason.split('`').nth(1).unwrap_or("");
    match parent {
        "" if about_name => quoted.to_owned(),
        parent if about_name && !ends_with_field(parent, quoted) => format!("{parent}.{quoted}"),
        parent => parent.to_owned(),
    }
}

fn ends_with_field(path: &str, field: &str) -> bool {
    path.rsplit('.').next() == Some(field)
}

/// Line of a top-level field in a YAML text, from 1; 0 when the field is not written out.
fn find_line(text: &str, field: &str) -> usize {
    let top = field.split(['.', '[']).next().unwrap_or(field);
    let starts_field = |line: &str| {
        line.strip_prefix(top)
            .is_some_and(|rest| rest.trim_start().starts_with(':'))
    };
    text.lines()
        .position(starts_field)
        .map_or(0, |index| index + 1)
}
