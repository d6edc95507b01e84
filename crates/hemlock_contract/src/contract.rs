//! Contracts of customers.

use derive_more::Display;
use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Default deadline of requests that name none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;
/// Default upper limit on the deadline that a caller may request, in milliseconds.
const DEFAULT_DEADLINE_CAP_MS: u64 = 60_000;
/// Default share of requests that may be retried, in percent.
const DEFAULT_RETRY_BUDGET_PERCENT: u8 = 10;
/// Default share of requests that may be hedged, in percent.
const DEFAULT_HEDGE_BUDGET_PERCENT: u8 = 1;
/// Default weight of a contract.
const DEFAULT_WEIGHT: u32 = 100;

/// Complete state of a customer's contract at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The customer.
    pub customer: CustomerName,
    /// Revision of this state; must be higher than that of the state it replaces.
    pub revision: Revision,
    /// SHA-256 digests of the keys with which callers authenticate.
    pub key_sha256: Vec<Digest>,
    /// Services that the customer may call.
    pub services: Vec<ServiceName>,
    /// Largest number of tasks that may run at once, over all entries.
    pub max_running: u32,
    /// Largest number of tasks that may wait in one entry's queue.
    pub max_queued: u32,
    /// Urgency of the work.
    #[serde(default)]
    pub urgency: Urgency,
    /// Weight by which capacity is divided among contracts of the same urgency.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Operations that must run at most once.
    #[serde(default)]
    pub non_idempotent: Vec<OperationRef>,
    /// Deadline of a request that names none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Upper limit on the deadline that a caller may request, in milliseconds.
    #[serde(default = "default_deadline_cap_ms")]
    pub deadline_cap_ms: u64,
    /// Share of requests that may be retried, in percent.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u8,
    /// Sending of second copies of idempotent requests.
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
    /// Returns whether the operation must run at most once.
    pub fn is_non_idempotent(&self, service: &ServiceName, operation: &OperationName) -> bool {
        self.non_idempotent
            .iter()
            .any(|listed| listed.service == *service && listed.operation == *operation)
    }

    /// Returns a digest of the complete contract, which identifies a resent contract.
    ///
    /// # Panics
    ///
    /// Does not panic, because every contract can be written as JSON.
    pub fn content_digest(&self) -> Digest {
        let text = serde_json::to_vec(self).expect("every contract can be written as JSON");
        Digest::of_parts(&[&text])
    }

    /// Returns whether the customer may call the service.
    pub fn allows_service(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }
}

/// Urgency of a customer's work.
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
    /// A person waits for the answer.
    #[display("interactive")]
    Interactive,
    /// Ordinary work.
    #[default]
    #[display("normal")]
    Normal,
    /// Work that may wait for all other work.
    #[display("batch")]
    Batch,
}

/// Reference to one operation of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationRef {
    /// The service.
    pub service: ServiceName,
    /// The operation.
    pub operation: OperationName,
}

/// Hedging policy: sending a second copy of an idempotent request while the first is unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hedging {
    /// Enables sending of second copies.
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
