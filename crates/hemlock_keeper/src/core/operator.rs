//! Operators' calls: reading them, and answering in JSON.

use std::net::SocketAddr;

use bytes::Bytes;
use hemlock_contract::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::KeeperReply;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::event::OperatorCall;
use crate::command::{CommandItem, Output};

/// HTTP statuses that operators get.
mod status {
    pub(super) const OK: u16 = 200;
    pub(super) const BAD_REQUEST: u16 = 400;
    pub(super) const NOT_FOUND: u16 = 404;
    pub(super) const NOT_ALLOWED: u16 = 405;
    pub(super) const CONFLICT: u16 = 409;
    pub(super) const TOO_LARGE: u16 = 413;
    pub(super) const UNAVAILABLE: u16 = 503;
    pub(super) const NOT_YET: u16 = 504;
}

/// A call, understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OperatorRequest {
    /// Changes the configuration.
    Change {
        /// What to propose.
        item: CommandItem,
        /// What it is, for the answer.
        change: OperatorChange,
    },
    /// Reads something.
    Read(OperatorRead),
    /// Changes the keeper set.
    Keepers(KeeperChange),
}

/// A change of the configuration, as its answer needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OperatorChange {
    /// Fields that the answer repeats.
    pub(crate) echo: Value,
    /// Whether the answer waits until the change is in force everywhere.
    pub(crate) wait_in_force: bool,
}

/// Something to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OperatorRead {
    /// Every contract.
    Contracts,
    /// One contract.
    Contract(CustomerName),
    /// Every planned stop.
    Stops,
    /// Every endpoint.
    Endpoints,
}

/// A change of the keeper set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeeperChange {
    /// Takes a keeper in.
    Add(KeeperBody),
    /// Takes a keeper out.
    Remove(u64),
}

/// Body of a call that takes a keeper in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KeeperBody {
    /// The keeper's id.
    pub(crate) id: u64,
    /// Its wire address.
    pub(crate) address: SocketAddr,
}

impl OperatorRequest {
    /// Whether the answer waits until a change is in force everywhere.
    pub(crate) fn waits_in_force(&self) -> bool {
        matches!(self, Self::Change { change, .. } if change.wait_in_force)
    }

    /// Reads a call.
    ///
    /// # Errors
    ///
    /// The answer that refuses it.
    pub(crate) fn read(call: &OperatorCall) -> Result<Self, Box<KeeperReply>> {
        let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
        let wait = query.split('&').any(|pair| pair == "wait=in-force");
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        match (call.method.as_str(), parts.as_slice()) {
            ("PUT", ["v1", "contracts", customer]) => read_contract(customer, &call.body, wait),
            ("GET", ["v1", "contracts"]) => Ok(Self::Read(OperatorRead::Contracts)),
            ("GET", ["v1", "contracts", customer]) => {
                Ok(Self::Read(OperatorRead::Contract((*customer).into())))
            }
            ("POST", ["v1", "stops"]) => read_stop(&call.body, wait),
            ("GET", ["v1", "stops"]) => Ok(Self::Read(OperatorRead::Stops)),
            ("DELETE", ["v1", "stops", id]) => Ok(lift_stop(id, wait)),
            ("GET", ["v1", "endpoints"]) => Ok(Self::Read(OperatorRead::Endpoints)),
            ("POST", ["v1", "keepers"]) => read_keeper(&call.body),
            ("DELETE", ["v1", "keepers", id]) => match id.parse() {
                Ok(id) => Ok(Self::Keepers(KeeperChange::Remove(id))),
                Err(_) => Err(invalid_field("id", "must be a keeper's number")),
            },
            (_, ["v1", "contracts" | "stops" | "endpoints" | "keepers", ..]) => {
                Err(refuse(status::NOT_ALLOWED, "method-not-allowed"))
            }
            _ => Err(refuse(status::NOT_FOUND, "not-found")),
        }
    }
}

fn read_contract(
    customer: &str,
    body: &[u8],
    wait: bool,
) -> Result<OperatorRequest, Box<KeeperReply>> {
    let contract = parse_json(body).map_err(|error| faults(&error))?;
    if contract.customer.as_str() != customer {
        return Err(invalid_field(
            "customer",
            "must be the customer that the path names",
        ));
    }
    let echo = json!({"customer": contract.customer, "revision": contract.revision});
    Ok(OperatorRequest::Change {
        item: CommandItem::Contract(contract),
        change: OperatorChange {
            echo,
            wait_in_force: wait,
        },
    })
}

fn read_stop(body: &[u8], wait: bool) -> Result<OperatorRequest, Box<KeeperReply>> {
    let stop = parse_stop_json(body).map_err(|error| faults(&error))?;
    let echo = json!({"id": stop.id});
    Ok(OperatorRequest::Change {
        item: CommandItem::Stop(stop),
        change: OperatorChange {
            echo,
            wait_in_force: wait,
        },
    })
}

fn lift_stop(id: &str, wait: bool) -> OperatorRequest {
    OperatorRequest::Change {
        item: CommandItem::LiftStop(StopId(id.to_owned())),
        change: OperatorChange {
            echo: json!({"id": id}),
            wait_in_force: wait,
        },
    }
}

fn read_keeper(body: &[u8]) -> Result<OperatorRequest, Box<KeeperReply>> {
    match serde_json::from_slice(body) {
        Ok(keeper) => Ok(OperatorRequest::Keepers(KeeperChange::Add(keeper))),
        Err(error) => Err(invalid_field("body", &error.to_string())),
    }
}

/// The answer to a change that was applied, and the version that it has if it was accepted.
pub(crate) fn verdict(
    change: &OperatorChange,
    output: &Output,
) -> (KeeperReply, Option<ConfigVersion>) {
    match output {
        Output::Contract(
            ContractVerdict::Accepted { version } | ContractVerdict::Repeated { version },
        )
        | Output::Stop(StopVerdict::Accepted { version } | StopVerdict::Repeated { version })
        | Output::Lift(LiftVerdict::Lifted { version }) => {
            (accepted(change, *version), Some(*version))
        }
        Output::Contract(refused) => (refused_contract(refused), None),
        Output::Stop(refused) => (refused_stop(refused), None),
        Output::Lift(LiftVerdict::Repeated) | Output::Done => {
            (answer(status::OK, &change.echo), None)
        }
        Output::Lift(LiftVerdict::Unknown) => (not_found("stop"), None),
        Output::Claim(_) | Output::Cancel(_) => {
            unreachable!("an operator's change has an operator's verdict")
        }
    }
}

fn accepted(change: &OperatorChange, version: ConfigVersion) -> KeeperReply {
    let mut body = change.echo.clone();
    body["version"] = json!(version);
    if change.wait_in_force {
        body["in_force"] = json!(true);
    }
    answer(status::OK, &body)
}

fn refused_contract(verdict: &ContractVerdict) -> KeeperReply {
    let body = match verdict {
        ContractVerdict::Conflict { winner } => {
            json!({"error": "revision-taken", "field": "revision", "winner": winner})
        }
        ContractVerdict::Stale { current } => {
            json!({"error": "stale-revision", "field": "revision", "current": current})
        }
        ContractVerdict::KeyTaken { customer } => {
            json!({"error": "key-taken", "field": "key_sha256", "customer": customer})
        }
        ContractVerdict::Accepted { .. } | ContractVerdict::Repeated { .. } => {
            unreachable!("an accepted contract is not refused")
        }
    };
    answer(status::CONFLICT, &body)
}

fn refused_stop(verdict: &StopVerdict) -> KeeperReply {
    let body = match verdict {
        StopVerdict::Conflict { winner } => {
            json!({"error": "id-taken", "field": "id", "winner": winner})
        }
        _ => json!({"error": "already-lifted", "field": "id"}),
    };
    answer(status::CONFLICT, &body)
}

/// A JSON answer.
pub(crate) fn answer(status: u16, body: &Value) -> KeeperReply {
    KeeperReply::Operator {
        status,
        body: Bytes::from(body.to_string()),
    }
}

/// The answer with what was asked for.
pub(crate) fn found(body: &Value) -> KeeperReply {
    answer(status::OK, body)
}

/// The answer when there is no such thing.
pub(crate) fn not_found(what: &str) -> KeeperReply {
    answer(
        status::NOT_FOUND,
        &json!({"error": "not-found", "what": what}),
    )
}

/// The answer when no quorum of keepers could be reached in time. The change may or may not be
/// recorded; sending it again is safe.
pub(crate) fn no_quorum() -> KeeperReply {
    let body = json!({"error": "no-quorum", "retry_after_ms": 1_000, "resend_is_safe": true});
    answer(status::UNAVAILABLE, &body)
}

/// The answer when the change is accepted, but some entry does not hold it yet.
pub(crate) fn not_in_force_yet(version: ConfigVersion) -> KeeperReply {
    let body = json!({"error": "not-in-force-yet", "accepted": true, "version": version});
    answer(status::NOT_YET, &body)
}

/// The answer when the keeper set can't be changed so.
pub(crate) fn refused_keepers(reason: &str) -> KeeperReply {
    answer(
        status::CONFLICT,
        &json!({"error": "keeper-set", "reason": reason}),
    )
}

/// The answer when the change does not fit a log entry.
pub(crate) fn too_large() -> KeeperReply {
    answer(
        status::TOO_LARGE,
        &json!({"error": "too-large", "field": "body"}),
    )
}

fn refuse(status: u16, error: &str) -> Box<KeeperReply> {
    Box::new(answer(status, &json!({"error": error})))
}

fn invalid_field(field: &str, reason: &str) -> Box<KeeperReply> {
    let fault = json!({"line": 0, "field": field, "reason": reason});
    invalid(&[fault])
}

fn invalid(faults: &[Value]) -> Box<KeeperReply> {
    let body = json!({"error": "invalid", "faults": faults});
    Box::new(answer(status::BAD_REQUEST, &body))
}

fn faults(error: &ContractError) -> Box<KeeperReply> {
    let listed: Vec<Value> = error
        .faults
        .iter()
        .map(|fault| {
            let reason = fault.kind.to_string();
            json!({"line": fault.line, "field": fault.field, "reason": reason})
        })
        .collect();
    invalid(&listed)
}
