//! Self-reported data of the instances that run tasks.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::spec::{MAX_RESOURCES, Resources};

/// Identifies an incarnation of an instance.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{name}@{born_ms}")]
pub struct InstanceId {
    /// The name that the instance gave itself.
    pub name: String,
    /// When the incarnation started, in Unix milliseconds; zero if not reported.
    pub born_ms: u64,
}

/// An instance's report about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The incarnation of the instance.
    pub id: InstanceId,
    /// The service that the instance belongs to.
    pub service: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its total capacity.
    pub capacity: Resources,
    /// Its labels, including its rack.
    pub labels: Vec<String>,
    /// Whether it is draining and accepts no new work.
    pub draining: bool,
}

impl InstanceReport {
    /// Whether the capacity is within the limits of the calculations with it.
    pub fn is_usable(&self) -> bool {
        MAX_RESOURCES.fits(&self.capacity)
    }
}
