//! Roles of hemlockridge processes.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Role of a process in the cluster.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Stores the cluster's durable state and serves operators' requests.
    #[display("keeper")]
    Keeper,
    /// Accepts callers' requests and assigns them to endpoints.
    #[display("entry")]
    Entry,
    /// Runs alongside one endpoint instance and starts work on it.
    #[display("agent")]
    Agent,
    /// Sends an operator's requests to the process that leads, and serves none.
    #[display("operator")]
    Operator,
}
