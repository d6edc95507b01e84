//! Results of operators' changes.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::stop::PlannedStop;

/// Result of applying a new state of a contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContractVerdict {
    /// The state is accepted.
    Accepted {
        /// Version of the change.
        version: ConfigVersion,
    },
    /// The same state was accepted before.
    Repeated {
        /// Version of the change that accepted it.
        version: ConfigVersion,
    },
    /// Another state with this revision was accepted first.
    Conflict {
        /// The accepted state.
        winner: Box<Contract>,
    },
    /// A higher revision is in force.
    Stale {
        /// Revision in force.
        current: Revision,
    },
    /// Another customer's contract has one of the contract's keys.
    KeyTaken {
        /// The other customer.
        customer: CustomerName,
    },
}

/// Result of announcing a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopVerdict {
    /// The stop is accepted.
    Accepted {
        /// Version of the change.
        version: ConfigVersion,
    },
    /// The same stop was accepted before and is still in force.
    Repeated {
        /// Version of the change that accepted it.
        version: ConfigVersion,
    },
    /// A different stop with the same id is in force.
    Conflict {
        /// The accepted stop.
        winner: PlannedStop,
    },
    /// A stop with this id was lifted before; a new stop needs a new id.
    AlreadyLifted,
}

/// Result of lifting a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LiftVerdict {
    /// The stop is lifted.
    Lifted {
        /// Version of the change.
        version: ConfigVersion,
    },
    /// The stop was lifted before.
    Repeated,
    /// No stop with this id is known.
    Unknown,
}
