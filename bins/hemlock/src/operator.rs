//! Client for the keepers' HTTP API for operators.

use std::net::SocketAddr;

use hemlock_http::prelude::*;
use serde_json::Value;

use crate::error::CliError;

/// Default timeout of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 15_000;
/// Timeout of a call for the state of a single keeper, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 2_000;
/// Timeout of a change that must be in effect on every entry, in milliseconds.
pub(crate) const IN_FORCE_TIMEOUT_MS: u64 = 60_000;

/// Client that authenticates to keepers with an operator's key.
#[derive(Debug)]
pub(crate) struct Operator {
    keepers: Vec<SocketAddr>,
    key: String,
    client: HttpClient,
}

impl Operator {
    /// A client that sends `key` to any of the keepers.
    pub(crate) fn new(keepers: Vec<SocketAddr>, key: String) -> Self {
        let config = HttpClientConfig::default().with_timeout_ms(CALL_TIMEOUT_MS);
        Self {
            keepers,
            key,
            client: HttpClient::new(config),
        }
    }

    /// Sends a GET request to any keeper.
    pub(crate) fn get(&self, path: &str) -> Result<Value, CliError> {
        self.call(&Method::Get, path, None, CALL_TIMEOUT_MS)
    }

    /// Sends a GET request to every keeper. The answer of an unreachable keeper is `None`.
    pub(crate) fn get_each(
        &self,
        path: &str,
    ) -> Result<Vec<(SocketAddr, Option<Value>)>, CliError> {
        let mut answers = Vec::new();
        for keeper in &self.keepers {
            let call = self.build(&Method::Get, *keeper, path, None, STATUS_TIMEOUT_MS);
            let answer = match self.client.send(&call) {
                Ok(reply) if reply.status < 300 => Some(parse_body(&reply.body)?),
                Ok(reply) if reply.status < 500 => return Err(refusal(&reply)),
                Ok(_) | Err(_) => None,
            };
            answers.push((*keeper, answer));
        }
        Ok(answers)
    }

    /// Calls each keeper in turn until one can answer for the cluster.
    ///
    /// Every change is identified by a revision or a stop's id, so it is not applied twice if it is
    /// sent again to another keeper after a lost answer.
    pub(crate) fn call(
        &self,
        method: &Method,
        path: &str,
        body: Option<&Value>,
        timeout_ms: u64,
    ) -> Result<Value, CliError> {
        let mut undecided = None;
        let mut tried = Vec::new();
        for keeper in &self.keepers {
            let call = self.build(method, *keeper, path, body, timeout_ms);
            match self.client.send(&call) {
                Ok(reply) if reply.status < 300 => return parse_body(&reply.body),
                Ok(reply) if reply.status < 500 => return Err(refusal(&reply)),
                Ok(reply) if is_undecided(&reply) => undecided = Some(describe(&reply)),
                Ok(reply) => tried.push(format!("{keeper} ({})", describe(&reply))),
                Err(error @ (HttpClientError::NeverSent(_) | HttpClientError::BadRequest)) => {
                    tried.push(format!("{keeper} ({error})"));
                }
                Err(error) => undecided = Some(format!("{keeper}: {error}")),
            }
        }
        match undecided {
            Some(reason) => Err(CliError::Undecided(reason)),
            None => Err(CliError::Unreachable(tried.join(", "))),
        }
    }

    fn build(
        &self,
        method: &Method,
        keeper: SocketAddr,
        path: &str,
        body: Option<&Value>,
        timeout_ms: u64,
    ) -> HttpCall {
        let call = HttpCall::new(method.clone(), keeper, path)
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_timeout_ms(timeout_ms);
        match body {
            Some(body) => call.with_body(body.to_string(), "application/json"),
            None => call,
        }
    }
}

/// Whether the answer says that the change may have been recorded, or was recorded but is not in
/// effect yet.
fn is_undecided(reply: &HttpReply) -> bool {
    let error = serde_json::from_slice::<Value>(&reply.body)
        .ok()
        .and_then(|value| value.get("error")?.as_str().map(str::to_owned));
    matches!(error.as_deref(), Some("no-quorum" | "not-in-force-yet"))
}

fn parse_body(body: &[u8]) -> Result<Value, CliError> {
    match body.is_empty() {
        true => Ok(Value::Null),
        false => Ok(serde_json::from_slice(body)?),
    }
}

/// The error for an answer with a 4xx status.
pub(crate) fn refusal(reply: &HttpReply) -> CliError {
    CliError::Refused(reply.status, describe(reply))
}

/// Describes an answer in text: its `message`, its `faults` or else its other fields.
pub(crate) fn describe(reply: &HttpReply) -> String {
    let text = String::from_utf8_lossy(&reply.body).trim().to_owned();
    match serde_json::from_slice::<Value>(&reply.body) {
        Ok(Value::Object(fields)) => describe_fields(&fields),
        _ if text.is_empty() => format!("status {}", reply.status),
        _ => text,
    }
}

fn describe_fields(fields: &serde_json::Map<String, Value>) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let error = fields.get("error").map(text).unwrap_or_default();
    if let Some(message) = fields.get("message") {
        return format!("{error}: {}", text(message));
    }
    if let Some(Value::Array(faults)) = fields.get("faults") {
        let fault =
            |fault: &Value| format!("{}: {}", text(&fault["field"]), text(&fault["reason"]));
        let faults: Vec<String> = faults.iter().map(fault).collect();
        return format!("{error}: {}", faults.join("; "));
    }
    let rest: Vec<String> = fields
        .iter()
        .filter(|(name, _)| *name != "error")
        .map(|(name, value)| format!("{name} {}", text(value)))
        .collect();
    match rest.is_empty() {
        true => error,
        false => format!("{error}: {}", rest.join(", ")),
    }
}
