//! `hemlock submit`: sends one request or one job to an entry.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hemlock_http::prelude::*;
use hemlock_types::names::is_valid_name;
use serde_json::{Value, json};

use crate::error::CliError;
use crate::exit::Exit;
use crate::operator::describe;
use crate::options::{parse_addresses, parse_number, read_key};
use crate::output::{self, Format};

const HELP: &str = "\
hemlock submit: sends one request or one job to an entry

Usage:
  hemlock submit --entry A,B --service S --operation O [--body TEXT | --body-file FILE]
  hemlock submit --entry A,B --job FILE

  --entry A,B,..         HTTP addresses of entries; if one is unreachable, the next is tried
  --key-file FILE        file with the customer's key (or the key itself in HEMLOCK_KEY)
  --service NAME         service to call
  --operation NAME       operation to call
  --body TEXT            body of the request (default: empty)
  --body-file FILE       file with the body
  --idempotency-key KEY  idempotency key; required for a non-idempotent operation
  --deadline-ms N        deadline for the answer (default: the contract's)
  --job FILE             job as YAML or JSON: submission, service, deadline_ms, tasks
  --format FORMAT        table (default) or json
  --help                 show this help

A request without an idempotency key is retried only if it was not sent.
";

/// Timeout of a call without a deadline, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 120_000;
/// Time added to the deadline for the network, in milliseconds.
const NETWORK_MARGIN_MS: u64 = 5_000;

#[derive(Debug, Default)]
struct SubmitOptions {
    entries: Vec<SocketAddr>,
    key_file: Option<PathBuf>,
    service: Option<String>,
    operation: Option<String>,
    body: Vec<u8>,
    idempotency_key: Option<String>,
    deadline_ms: Option<u64>,
    job: Option<PathBuf>,
    format: Format,
}

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<Exit, CliError> {
    use lexopt::prelude::*;
    let mut options = SubmitOptions::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("entry") => {
                options.entries = parse_addresses("--entry", &parser.value()?.string()?)?;
            }
            Long("key-file") => options.key_file = Some(parser.value()?.into()),
            Long("service") => options.service = Some(parser.value()?.string()?),
            Long("operation") => options.operation = Some(parser.value()?.string()?),
            Long("body") => options.body = parser.value()?.string()?.into_bytes(),
            Long("body-file") => options.body = read_file(Path::new(&parser.value()?))?,
            Long("idempotency-key") => options.idempotency_key = Some(parser.value()?.string()?),
            Long("deadline-ms") => {
                let text = parser.value()?.string()?;
                options.deadline_ms = Some(parse_number("--deadline-ms", &text)?);
            }
            Long("job") => options.job = Some(parser.value()?.into()),
            Long("format") => options.format = Format::parse(&parser.value()?.string()?)?,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Done);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    if options.entries.is_empty() {
        let advice = "give the HTTP address of at least one entry, such as 127.0.0.1:8080";
        return Err(CliError::Missing("--entry", advice));
    }
    let key = read_key(options.key_file.as_ref())?;
    let call = build(&options, &key)?;
    let reply = send(&options.entries, &call)?;
    report(options.format, &reply)
}

fn read_file(path: &Path) -> Result<Vec<u8>, CliError> {
    std::fs::read(path).map_err(|error| CliError::Read(path.to_owned(), error))
}

/// Builds the call to the first entry.
fn build(options: &SubmitOptions, key: &str) -> Result<HttpCall, CliError> {
    let entry = options.entries[0];
    let call = match &options.job {
        Some(path) => {
            let job = read_job(path)?;
            HttpCall::new(Method::Post, entry, "/v1/jobs")
                .with_body(job.to_string(), "application/json")
        }
        None => {
            let service = required_name("--service", options.service.as_ref())?;
            let operation = required_name("--operation", options.operation.as_ref())?;
            let target = format!("/v1/services/{service}/{operation}");
            HttpCall::new(Method::Post, entry, target)
                .with_body(options.body.clone(), "application/json")
        }
    };
    let mut call = call.with_header("Authorization", format!("Bearer {key}"));
    if let Some(name) = &options.idempotency_key {
        call = call.with_header("Idempotency-Key", name);
    }
    if let Some(deadline_ms) = options.deadline_ms {
        call = call.with_header("Hemlock-Deadline-Ms", deadline_ms.to_string());
    }
    let timeout_ms = options.deadline_ms.map_or(DEFAULT_TIMEOUT_MS, |deadline| {
        deadline.saturating_add(NETWORK_MARGIN_MS)
    });
    Ok(call.with_timeout_ms(timeout_ms))
}

fn required_name<'a>(option: &'static str, value: Option<&'a String>) -> Result<&'a str, CliError> {
    let value = value.ok_or(CliError::Missing(option, "give a name, or use --job FILE"))?;
    match is_valid_name(value) {
        true => Ok(value),
        false => Err(CliError::BadValue(
            option,
            value.clone(),
            "1 to 64 characters from a-z, 0-9, '-', '_' and '.'",
        )),
    }
}

/// Reads a job file as JSON. JSON is a subset of YAML, so the YAML parser reads both.
fn read_job(path: &Path) -> Result<Value, CliError> {
    let bytes = read_file(path)?;
    serde_yaml_ng::from_slice(&bytes).map_err(|error| {
        let error = hemlock_settings::SettingsError::Yaml(error.to_string());
        CliError::File(path.to_owned(), error)
    })
}

/// Sends the call to each entry in turn until one responds. Goes on to the next only if the call
/// was certainly not sent.
fn send(entries: &[SocketAddr], call: &HttpCall) -> Result<HttpReply, CliError> {
    let client = HttpClient::new(HttpClientConfig::default());
    let mut tried = Vec::new();
    for entry in entries {
        let mut call = call.clone();
        call.address = *entry;
        match client.send(&call) {
            Ok(reply) => return Ok(reply),
            Err(error @ (HttpClientError::NeverSent(_) | HttpClientError::BadRequest)) => {
                tried.push(format!("{entry} ({error})"));
            }
            Err(error) => return Err(CliError::Unknown(error)),
        }
    }
    Err(CliError::Unreachable(tried.join(", ")))
}

/// Prints the response and returns the exit code for its outcome.
fn report(format: Format, reply: &HttpReply) -> Result<Exit, CliError> {
    let outcome = reply.header("hemlock-outcome").unwrap_or("none");
    let body = match serde_json::from_slice::<Value>(&reply.body) {
        Ok(value) => value,
        Err(_) => Value::String(String::from_utf8_lossy(&reply.body).into_owned()),
    };
    let answer = json!({
        "status": reply.status,
        "outcome": outcome,
        "reason": reply.header("hemlock-reason"),
        "retry_after_s": reply.header("retry-after"),
        "body": body,
    });
    output::print(format, &answer);
    match outcome {
        "complete" => Ok(Exit::Done),
        "failed" => Ok(Exit::Failed),
        "not-run" => Ok(Exit::Refused),
        _ if reply.status < 300 => Ok(Exit::Done),
        _ if reply.status < 500 => Err(CliError::Refused(reply.status, describe(reply))),
        _ => Ok(Exit::Failed),
    }
}
