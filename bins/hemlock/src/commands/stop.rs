//! `hemlock stop`: announces, lists and cancels planned stops of endpoints.

use hemlock_contract::prelude::*;
use hemlock_http::Method;
use hemlock_types::prelude::*;
use serde_json::{Value, json};

use crate::error::CliError;
use crate::exit::Exit;
use crate::operator::Operator;
use crate::options::{OPERATOR_HELP, OperatorOptions};
use crate::output::{self, Format};

const HELP: &str = "\
hemlock stop: announces, lists and cancels (lifts) planned stops of endpoints

Usage:
  hemlock stop announce --id ID --endpoint INCARNATION       one endpoint
  hemlock stop announce --id ID --domain DOMAIN [--rack RACK]  a rack or a failure domain
  hemlock stop list
  hemlock stop lift ID

An endpoint with a planned stop gets no new tasks and finishes the running ones. The
INCARNATION is shown by `hemlock endpoints`. Announcing a stop again with the same ID has no
effect.

";
const ACTIONS: &str = "announce, list, lift";
/// Timeout of one call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 15_000;

/// Options that describe a planned stop.
#[derive(Debug, Default)]
struct StopOptions {
    id: Option<String>,
    endpoint: Option<String>,
    domain: Option<String>,
    rack: Option<String>,
}

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<Exit, CliError> {
    use lexopt::prelude::*;
    let mut options = OperatorOptions::default();
    let mut stop = StopOptions::default();
    let mut words: Vec<String> = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("id") => stop.id = Some(parser.value()?.string()?),
            Long("endpoint") => stop.endpoint = Some(parser.value()?.string()?),
            Long("domain") => stop.domain = Some(parser.value()?.string()?),
            Long("rack") => stop.rack = Some(parser.value()?.string()?),
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
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["announce"] => announce(&options, stop),
        ["list"] => list(&options),
        ["lift", id] => lift(&options, id),
        [] => Err(CliError::Missing(
            "the action",
            "use announce, list or lift",
        )),
        [other, ..] => Err(CliError::UnknownCommand(other.to_owned(), ACTIONS)),
    }
}

fn operator(options: &OperatorOptions) -> Result<Operator, CliError> {
    Ok(Operator::new(options.keepers()?, options.key()?))
}

fn announce(options: &OperatorOptions, stop: StopOptions) -> Result<Exit, CliError> {
    let advice = "choose a name for the stop, such as repair-12";
    let id = stop.id.ok_or(CliError::Missing("--id", advice))?;
    let target = match (stop.endpoint, stop.domain, stop.rack) {
        (Some(endpoint), None, None) => StopTarget::Endpoint(parse_incarnation(&endpoint)?),
        (None, Some(domain), Some(rack)) => {
            StopTarget::Rack(FailureDomainName::new(domain), RackName::new(rack))
        }
        (None, Some(domain), None) => StopTarget::Domain(FailureDomainName::new(domain)),
        _ => {
            let advice = "give either --endpoint, or --domain with or without --rack";
            return Err(CliError::Missing("the target", advice));
        }
    };
    let planned = PlannedStop {
        id: StopId(id),
        target,
    };
    let body = serde_json::to_value(&planned)?;
    let answer =
        operator(options)?.call(&Method::Post, "/v1/stops", Some(&body), CALL_TIMEOUT_MS)?;
    output::print(options.format, &answer);
    Ok(Exit::Done)
}

fn list(options: &OperatorOptions) -> Result<Exit, CliError> {
    let mut answer = operator(options)?.get("/v1/stops")?;
    let stops = answer["stops"].take();
    let shown = match (options.format, stops) {
        (Format::Table, Value::Array(stops)) => stops.iter().map(summary).collect(),
        (_, stops) => stops,
    };
    output::print(options.format, &shown);
    Ok(Exit::Done)
}

/// One row of the table of planned stops.
fn summary(entry: &Value) -> Value {
    let target = match &entry["stop"]["target"] {
        target if target["endpoint"].is_u64() => {
            let agent = Incarnation(target["endpoint"].as_u64().unwrap_or_default());
            format!("endpoint {agent}")
        }
        target if target["rack"].is_array() => format!(
            "rack {} in {}",
            target["rack"][1].as_str().unwrap_or_default(),
            target["rack"][0].as_str().unwrap_or_default()
        ),
        target => format!("domain {}", target["domain"].as_str().unwrap_or_default()),
    };
    json!({ "id": entry["stop"]["id"], "target": target, "version": entry["version"] })
}

fn lift(options: &OperatorOptions, id: &str) -> Result<Exit, CliError> {
    let path = format!("/v1/stops/{id}");
    let answer: Value = operator(options)?.call(&Method::Delete, &path, None, CALL_TIMEOUT_MS)?;
    output::print(options.format, &answer);
    Ok(Exit::Done)
}

/// Parses an incarnation in the format of `hemlock endpoints`: 16 hexadecimal digits.
fn parse_incarnation(text: &str) -> Result<Incarnation, CliError> {
    let expects = "the 16 hexadecimal digits that `hemlock endpoints` shows";
    u64::from_str_radix(text, 16)
        .map(Incarnation)
        .map_err(|_| CliError::BadValue("--endpoint", text.to_owned(), expects))
}
