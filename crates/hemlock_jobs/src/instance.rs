//! Instances that run tasks, as they describe themselves.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::spec::Resources;

/// Names one life of an instance.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{name}@{born_ms}")]
pub struct InstanceId {
    /// The name that the instance gave itself.
    pub name: String,
    /// When it was started, in Unix milliseconds; zero when it didn't say.
    pub born_ms: u64,
}

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// Which life of which instance.
    pub id: InstanceId,
    /// The service that it belongs to.
    pub service: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// All it has.
    pub capacity: Resources,
    /// Its labels, the rack among them.
    pub labels: Vec<String>,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
}
