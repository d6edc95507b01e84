//! A customer's contract.

use derive_more::Display;
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Deadline of a request that names none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;
/// Longest deadline that a caller may ask for by default, in milliseconds.
const DEFAULT_DEADLINE_CAP_MS: u64 = 60_000;
/// Share of requests that may be retried by default, in percent.
const DEFAULT_RETRY_BUDGET_PERCENT: u8 = 10;
/// Share of requests that may be hedged by default, in percent.
const DEFAULT_HEDGE_BUDGET_PERCENT: u8 = 1;
/// Weight of a contract that names none.
const DEFAULT_WEIGHT: u32 = 100;

/// One whole state of one customer's contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The customer.
    pub customer: CustomerName,
    /// Number of this state; a change must carry a higher one than the state it replaces.
    pub revision: Revision,
    /// SHA-256 digests of the keys that callers may present.
    pub key_sha256: Vec<Digest>,
    /// Services that the customer may call.
    pub services: Vec<ServiceName>,
    /// How many tasks may run at once, over all entries.
    pub max_running: u32,
    /// How many tasks may wait in one entry's queue.
    pub max_queued: u32,
    /// How urgent the work is.
    #[serde(default)]
    pub urgency: Urgency,
    /// Share of capacity against contracts of the same urgency.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Operations that must run at most once.
    #[serde(default)]
    pub non_idempotent: Vec<OperationRef>,
    /// Deadline of a request that names none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Longest deadline that a caller may ask for, in milliseconds.
    #[serde(default = "default_deadline_cap_ms")]
    pub deadline_cap_ms: u64,
    /// Share of requests that may be retried, in percent.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u8,
    /// When a second copy of an idempotent request may be sent.
    #[serde(default)]
    pub hedging: Hedging,
}

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

fn default_deadline_cap_ms() -> u64 {
    DEFAULT_DEADLINE_CAP_MS
}

fn default_retry_budget_percent() -> u8 {
    DEFAULT_RETRY_BUDGET_PERCENT
}

impl Contract {
    /// Whether the operation must run at most once.
    pub fn is_non_idempotent(&self, service: &ServiceName, operation: &OperationName) -> bool {
        self.non_idempotent
            .iter()
            .any(|listed| listed.service == *service && listed.operation == *operation)
    }

    /// Digest of the whole content, by which a resend of the same state is recognised.
    ///
    /// # Panics
    ///
    /// Never: every contract has a JSON form.
    pub fn content_digest(&self) -> Digest {
        let text = serde_json::to_vec(self).expect("every contract has a JSON form");
        Digest::of_parts(&[&text])
    }

    /// Whether the customer may call the service.
    pub fn allows_service(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }
}

/// How urgent a customer's work is.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Someone waits for the answer.
    #[display("interactive")]
    Interactive,
    /// Ordinary work.
    #[default]
    #[display("normal")]
    Normal,
    /// Work that may wait for everything else.
    #[display("batch")]
    Batch,
}

/// Names one operation of one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationRef {
    /// The service.
    pub service: ServiceName,
    /// The operation.
    pub operation: OperationName,
}

/// When a second copy of an idempotent request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hedging {
    /// Whether it may be sent at all.
    pub enabled: bool,
    /// Share of requests that may be hedged, in percent.
    #[serde(default = "default_hedge_budget_percent")]
    pub budget_percent: u8,
}

fn default_hedge_budget_percent() -> u8 {
    DEFAULT_HEDGE_BUDGET_PERCENT
}

impl Default for Hedging {
    fn default() -> Self {
        Self {
            enabled: false,
            budget_percent: DEFAULT_HEDGE_BUDGET_PERCENT,
        }
    }
}
