//! Parsing of operators' calls, and their replies in JSON.

use std::net::SocketAddr;

use bytes::Bytes;
use hemlock_contract::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::KeeperReply;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::event::OperatorCall;
use crate::command::{CommandItem, Output};

/// HTTP statuses of the replies to operators.
mod status {
    pub(super) const OK: u16 = 200;
    pub(super) const BAD_REQUEST: u16 = 400;
    pub(super) const NOT_FOUND: u16 = 404;
    pub(super) const METHOD_NOT_ALLOWED: u16 = 405;
    pub(super) const CONFLICT: u16 = 409;
    pub(super) const PAYLOAD_TOO_LARGE: u16 = 413;
    pub(super) const UNAVAILABLE: u16 = 503;
    pub(super) const GATEWAY_TIMEOUT: u16 = 504;
}

/// Parsed call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OperatorRequest {
    /// Changes a contract or a planned stop.
    Change {
        /// Command item to propose.
        item: CommandItem,
        /// Parameters of the reply.
        change: OperatorChange,
    },
    /// Reads from the state.
    Read(OperatorRead),
    /// Changes the member set of the keepers.
    Keepers(KeeperChange),
}

/// Parameters of the reply to a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OperatorChange {
    /// Fields of the request that the reply repeats.
    pub(crate) echo: Value,
    /// Set when the reply is held until the change is in force on all entries.
    pub(crate) wait_in_force: bool,
}

/// Data that an operator can read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OperatorRead {
    /// All contracts.
    Contracts,
    /// One contract.
    Contract(CustomerName),
    /// All planned stops.
    Stops,
    /// All endpoints.
    Endpoints,
}

/// Change of the member set of the keepers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeeperChange {
    /// Adds a keeper.
    Add(KeeperBody),
    /// Removes a keeper.
    Remove(u64),
}

/// Body of a call that adds a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KeeperBody {
    /// The keeper's id.
    pub(crate) id: u64,
    /// Its wire address.
    pub(crate) address: SocketAddr,
}

impl OperatorRequest {
    /// Returns `true` if the reply is held until a change is in force on all entries.
    pub(crate) fn waits_in_force(&self) -> bool {
        matches!(self, Self::Change { change, .. } if change.wait_in_force)
    }

    /// Parses a call.
    ///
    /// # Errors
    ///
    /// The error reply to an invalid call.
    pub(crate) fn parse(call: &OperatorCall) -> Result<Self, Box<KeeperReply>> {
        let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
        let wait = query.split('&').any(|pair| pair == "wait=in-force");
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        match (call.method.as_str(), parts.as_slice()) {
            ("PUT", ["v1", "contracts", customer]) => parse_contract(customer, &call.body, wait),
            ("GET", ["v1", "contracts"]) => Ok(Self::Read(OperatorRead::Contracts)),
            ("GET", ["v1", "contracts", customer]) => {
                Ok(Self::Read(OperatorRead::Contract((*customer).into())))
            }
            ("POST", ["v1", "stops"]) => parse_stop(&call.body, wait),
            ("GET", ["v1", "stops"]) => Ok(Self::Read(OperatorRead::Stops)),
            ("DELETE", ["v1", "stops", id]) => Ok(lift_stop(id, wait)),
            ("GET", ["v1", "endpoints"]) => Ok(Self::Read(OperatorRead::Endpoints)),
            ("POST", ["v1", "keepers"]) => parse_keeper(&call.body),
            ("DELETE", ["v1", "keepers", id]) => match id.parse() {
                Ok(id) => Ok(Self::Keepers(KeeperChange::Remove(id))),
                Err(_) => Err(invalid_field("id", "must be a keeper's number")),
            },
            (_, ["v1", "contracts" | "stops" | "endpoints" | "keepers", ..]) => {
                Err(refuse(status::METHOD_NOT_ALLOWED, "method-not-allowed"))
            }
            _ => Err(refuse(status::NOT_FOUND, "not-found")),
        }
    }
}

fn parse_contract(
    customer: &str,
    body: &[u8],
    wait: bool,
) -> Result<OperatorRequest, Box<KeeperReply>> {
    let contract = parse_json(body).map_err(|error| contract_invalid(&error))?;
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

fn parse_stop(body: &[u8], wait: bool) -> Result<OperatorRequest, Box<KeeperReply>> {
    let stop = parse_stop_json(body).map_err(|error| contract_invalid(&error))?;
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

fn parse_keeper(body: &[u8]) -> Result<OperatorRequest, Box<KeeperReply>> {
    match serde_json::from_slice(body) {
        Ok(keeper) => Ok(OperatorRequest::Keepers(KeeperChange::Add(keeper))),
        Err(error) => Err(invalid_field("body", &error.to_string())),
    }
}

/// Returns the reply to a change that was applied, and its configuration version if it was
/// accepted.
pub(crate) fn change_reply(
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
        Output::Contract(refused) => (contract_refused(refused), None),
        Output::Stop(refused) => (stop_refused(refused), None),
        Output::Lift(LiftVerdict::Repeated) | Output::Done => {
            (json_reply(status::OK, &change.echo), None)
        }
        Output::Lift(LiftVerdict::Unknown) => (not_found("stop"), None),
        Output::Claim(_) | Output::Cancel(_) => {
            unreachable!("an operator's change has the output of a contract or stop")
        }
    }
}

fn accepted(change: &OperatorChange, version: ConfigVersion) -> KeeperReply {
    let mut body = change.echo.clone();
    body["version"] = json!(version);
    if change.wait_in_force {
        body["in_force"] = json!(true);
    }
    json_reply(status::OK, &body)
}

fn contract_refused(verdict: &ContractVerdict) -> KeeperReply {
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
            unreachable!("an accepted contract has no error reply")
        }
    };
    json_reply(status::CONFLICT, &body)
}

fn stop_refused(verdict: &StopVerdict) -> KeeperReply {
    let body = match verdict {
        StopVerdict::Conflict { winner } => {
            json!({"error": "id-taken", "field": "id", "winner": winner})
        }
        _ => json!({"error": "already-lifted", "field": "id"}),
    };
    json_reply(status::CONFLICT, &body)
}

/// Creates a reply with a JSON body.
pub(crate) fn json_reply(status: u16, body: &Value) -> KeeperReply {
    KeeperReply::Operator {
        status,
        body: Bytes::from(body.to_string()),
    }
}

/// Creates the reply to a successful read.
pub(crate) fn ok(body: &Value) -> KeeperReply {
    json_reply(status::OK, body)
}

/// Creates the reply for a missing contract or planned stop.
pub(crate) fn not_found(what: &str) -> KeeperReply {
    json_reply(
        status::NOT_FOUND,
        &json!({"error": "not-found", "what": what}),
    )
}

/// Creates the reply to a call that reached no quorum of keepers in time. A change may or may not
/// have been committed; sending it again is safe.
pub(crate) fn no_quorum() -> KeeperReply {
    let body = json!({"error": "no-quorum", "retry_after_ms": 1_000, "resend_is_safe": true});
    json_reply(status::UNAVAILABLE, &body)
}

/// Creates the reply to a change that is accepted but not in force on all entries yet.
pub(crate) fn not_in_force_yet(version: ConfigVersion) -> KeeperReply {
    let body = json!({"error": "not-in-force-yet", "accepted": true, "version": version});
    json_reply(status::GATEWAY_TIMEOUT, &body)
}

/// Creates the reply to a rejected change of the member set.
pub(crate) fn member_change_refused(reason: &str) -> KeeperReply {
    json_reply(
        status::CONFLICT,
        &json!({"error": "keeper-set", "reason": reason}),
    )
}

/// Creates the reply to a change that is too large for a log entry.
pub(crate) fn too_large() -> KeeperReply {
    json_reply(
        status::PAYLOAD_TOO_LARGE,
        &json!({"error": "too-large", "field": "body"}),
    )
}

fn refuse(status: u16, error: &str) -> Box<KeeperReply> {
    Box::new(json_reply(status, &json!({"error": error})))
}

fn invalid_field(field: &str, reason: &str) -> Box<KeeperReply> {
    let fault = json!({"line": 0, "field": field, "reason": reason});
    invalid(&[fault])
}

fn invalid(faults: &[Value]) -> Box<KeeperReply> {
    let body = json!({"error": "invalid", "faults": faults});
    Box::new(json_reply(status::BAD_REQUEST, &body))
}

fn contract_invalid(error: &ContractError) -> Box<KeeperReply> {
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
