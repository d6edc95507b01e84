//! What becomes of an operator's change.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::stop::PlannedStop;

/// What becomes of a contract's new state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContractVerdict {
    /// It is accepted.
    Accepted {
        /// The version that it has.
        version: ConfigVersion,
    },
    /// The same state was accepted before.
    Repeated {
        /// The version that it got then.
        version: ConfigVersion,
    },
    /// Another state with this revision was accepted first.
    Conflict {
        /// The accepted state.
        winner: Box<Contract>,
    },
    /// A higher revision is in force.
    Stale {
        /// The revision in force.
        current: Revision,
    },
    /// Another customer's contract has one of the keys.
    KeyTaken {
        /// The other customer.
        customer: CustomerName,
    },
}

/// What becomes of an announced planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopVerdict {
    /// It is accepted.
    Accepted {
        /// The version that it has.
        version: ConfigVersion,
    },
    /// The same stop was accepted before and still holds.
    Repeated {
        /// The version that it got then.
        version: ConfigVersion,
    },
    /// Another stop has the same id.
    Conflict {
        /// The accepted stop.
        winner: PlannedStop,
    },
    /// The stop was lifted before; a new one needs a new id.
    AlreadyLifted,
}

/// What becomes of the lifting of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LiftVerdict {
    /// It is lifted.
    Lifted {
        /// The version of the change.
        version: ConfigVersion,
    },
    /// It was lifted before.
    Repeated,
    /// No stop has this id.
    Unknown,
}
