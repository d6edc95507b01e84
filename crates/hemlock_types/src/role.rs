//! The roles that a process can have.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What a process does in the system.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Holds the durable state and answers operators.
    #[display("keeper")]
    Keeper,
    /// Takes callers' requests and places them.
    #[display("entry")]
    Entry,
    /// Stands beside one endpoint instance and starts its work.
    #[display("agent")]
    Agent,
}
