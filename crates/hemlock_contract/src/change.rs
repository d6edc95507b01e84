//! Versioned configuration changes, as keepers send them to entries and agents.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::stop::{PlannedStop, StopId};

/// One accepted change, with the log index at which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Log index of the change.
    pub version: ConfigVersion,
    /// What changed.
    pub item: ConfigItem,
}

/// What one change sets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigItem {
    /// A contract's new whole state.
    Contract(Contract),
    /// A planned stop was announced.
    Stop(PlannedStop),
    /// A planned stop was lifted.
    StopLifted(StopId),
}

/// What brings a process from the version it holds to the keeper's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The process is up to date at this version.
    Current(ConfigVersion),
    /// The changes after `from`, in order, up to and including `to`.
    Delta {
        /// Version that the process holds.
        from: ConfigVersion,
        /// Version that it holds after the changes; may exceed the last change's version.
        to: ConfigVersion,
        /// The changes.
        changes: Vec<ConfigChange>,
    },
    /// The whole configuration; replaces everything held.
    Snapshot {
        /// Version of the snapshot.
        version: ConfigVersion,
        /// Contracts, each with the version that set it.
        contracts: Vec<Contract>,
        /// Planned stops in force.
        stops: Vec<PlannedStop>,
    },
}
