//! Messages between entries and the leading keeper: reported demand and allocated shares.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// An entry's report on its tasks of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The customer.
    pub customer: CustomerName,
    /// Number of tasks that have started and have no outcome yet, including tasks of unknown
    /// outcome until their deadline.
    pub running: u32,
    /// Number of tasks in the queue.
    pub queued: u32,
    /// Share that the entry holds when it sends the report; 0 if it has none or the share has
    /// expired. It tells a new leader what an earlier leader has allocated.
    pub held: u32,
}

/// Number of tasks of one customer that an entry may have running at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The customer.
    pub customer: CustomerName,
    /// Largest number of running tasks.
    pub count: u32,
    /// Period of validity in milliseconds, from the time at which the entry sent its report.
    pub valid_ms: u64,
}
