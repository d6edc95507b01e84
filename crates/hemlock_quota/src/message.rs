//! What entries report of their demand, and the shares they are dealt.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// How much of one customer's work an entry has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The customer.
    pub customer: CustomerName,
    /// Tasks started and not yet settled, with tasks of unknown outcome until their deadline.
    pub running: u32,
    /// Tasks that wait.
    pub queued: u32,
    /// The unexpired share that the entry holds as it sends the report, 0 when none. A new leader
    /// knows from it what an earlier leader has dealt.
    pub held: u32,
}

/// How many tasks of one customer an entry may have running at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The customer.
    pub customer: CustomerName,
    /// Most tasks running at once.
    pub count: u32,
    /// How long the share holds, in milliseconds from when the entry sent its report.
    pub valid_ms: u64,
}
