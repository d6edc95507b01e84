//! `hemlock evacuations`: begins, ends and lists evacuations of failure domains.

use std::net::SocketAddr;
use std::path::PathBuf;

use hemlock_nodes::prelude::{EvacuationChange, OperatorClient, OperatorError};
use hemlock_wire::prelude::ClusterKey;
use serde_json::{Value, json};
use tokio::task::LocalSet;

use crate::error::CliError;
use crate::exit::Exit;
use crate::options::{parse_addresses, read_secret};
use crate::output::{self, Format};

const HELP: &str = "\
hemlock evacuations: begins, ends and lists evacuations of failure domains

Usage:
  hemlock evacuations list
  hemlock evacuations begin DOMAIN
  hemlock evacuations end DOMAIN

Nothing more is started in an evacuated failure domain; what runs there ends by itself. A request
that is in force already may be repeated and changes nothing. Any coordinator may be given: it
names the leader, which must be reachable at its internal address.

  --coordinators A,B,..     internal addresses of coordinators, at least one (or
                            HEMLOCK_COORDINATORS)
  --cluster NAME            name of the cluster (or HEMLOCK_CLUSTER)
  --cluster-key-file FILE   file with the cluster's key (or the key itself in HEMLOCK_CLUSTER_KEY)
  --format FORMAT           table (default) or json
  --help                    show this help
";
const ACTIONS: &str = "list, begin, end";
/// Environment variable with the internal addresses of coordinators.
const COORDINATORS_VARIABLE: &str = "HEMLOCK_COORDINATORS";
/// Environment variable with the name of the cluster.
const CLUSTER_VARIABLE: &str = "HEMLOCK_CLUSTER";
/// Environment variable with the cluster's key.
const CLUSTER_KEY_VARIABLE: &str = "HEMLOCK_CLUSTER_KEY";

/// Options that identify the cluster, and the output format.
#[derive(Debug, Default)]
struct ClusterOptions {
    coordinators: Option<String>,
    cluster: Option<String>,
    key_file: Option<PathBuf>,
    format: Format,
}

impl ClusterOptions {
    fn client(&self) -> Result<OperatorClient, CliError> {
        let advice = "give the name of the cluster, or set HEMLOCK_CLUSTER";
        let cluster = self
            .cluster
            .clone()
            .or_else(|| std::env::var(CLUSTER_VARIABLE).ok())
            .ok_or(CliError::Missing("--cluster", advice))?;
        let key = read_secret(
            self.key_file.as_ref(),
            CLUSTER_KEY_VARIABLE,
            "--cluster-key-file",
            "give the file that holds the cluster's key, or set HEMLOCK_CLUSTER_KEY",
        )?;
        let coordinators = self.coordinators()?;
        Ok(OperatorClient::new(
            &cluster,
            ClusterKey::new(key),
            coordinators,
        ))
    }

    fn coordinators(&self) -> Result<Vec<SocketAddr>, CliError> {
        let advice = "give the internal address of at least one coordinator, such as \
                      10.0.0.1:7720";
        match (&self.coordinators, std::env::var(COORDINATORS_VARIABLE)) {
            (Some(list), _) => parse_addresses("--coordinators", list),
            (None, Ok(list)) => parse_addresses(COORDINATORS_VARIABLE, &list),
            (None, Err(_)) => Err(CliError::Missing("--coordinators", advice)),
        }
    }
}

/// Runs the command.
pub(crate) fn run(mut parser: lexopt::Parser) -> Result<Exit, CliError> {
    use lexopt::prelude::*;
    let mut options = ClusterOptions::default();
    let mut words: Vec<String> = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("coordinators") => options.coordinators = Some(parser.value()?.string()?),
            Long("cluster") => options.cluster = Some(parser.value()?.string()?),
            Long("cluster-key-file") => options.key_file = Some(parser.value()?.into()),
            Long("format") => options.format = Format::parse(&parser.value()?.string()?)?,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Done);
            }
            Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let answer = match words[..] {
        ["list"] => list(&options)?,
        ["begin", domain] => change(&options, EvacuationChange::Begin(domain.to_owned()))?,
        ["end", domain] => change(&options, EvacuationChange::End(domain.to_owned()))?,
        ["begin" | "end"] => {
            let advice = "name the failure domain";
            return Err(CliError::Missing("the failure domain", advice));
        }
        ["list" | "begin" | "end", .., last] => {
            return Err(lexopt::Error::UnexpectedArgument(last.into()).into());
        }
        [] => {
            let advice = "use list, begin or end";
            return Err(CliError::Missing("the action", advice));
        }
        [other, ..] => return Err(CliError::UnknownCommand(other.to_owned(), ACTIONS)),
    };
    output::print(options.format, &answer);
    Ok(Exit::Done)
}

fn list(options: &ClusterOptions) -> Result<Value, CliError> {
    let client = options.client()?;
    let current = wait_for(client.evacuations())?;
    Ok(json!({ "version": current.version(), "domains": current.domains() }))
}

fn change(options: &ClusterOptions, change: EvacuationChange) -> Result<Value, CliError> {
    let client = options.client()?;
    let domain = change.domain().to_owned();
    let evacuated = matches!(change, EvacuationChange::Begin(_));
    let version = wait_for(client.change_evacuations(change))?;
    Ok(json!({ "domain": domain, "evacuated": evacuated, "version": version }))
}

/// Waits for the answer to a request.
fn wait_for<T>(request: impl Future<Output = Result<T, OperatorError>>) -> Result<T, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)?;
    LocalSet::new()
        .block_on(&runtime, request)
        .map_err(|error| match error {
            OperatorError::UnknownDomain(_) => CliError::Refused(404, error.to_string()),
            OperatorError::Unreachable(tried) => CliError::Unreachable(tried),
            OperatorError::Undecided(reason) => CliError::Undecided(reason),
        })
}
