//! Versioned configuration changes, which keepers send to entries and agents.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::contract::Contract;
use crate::stop::{PlannedStop, StopId};

/// An accepted change and its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Index of the change in the keepers' replicated log.
    pub version: ConfigVersion,
    /// The change.
    pub item: ConfigItem,
}

/// Content of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigItem {
    /// New complete state of a contract.
    Contract(Contract),
    /// A planned stop was announced.
    Stop(PlannedStop),
    /// A planned stop was lifted.
    StopLifted(StopId),
}

/// Update that brings a process from its configuration version to the keeper's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The process already has the current version.
    Current(ConfigVersion),
    /// Changes after version `from`, in order, up to and including `to`.
    Delta {
        /// Version that the process has.
        from: ConfigVersion,
        /// Version that the process has after the changes; may exceed the last change's version.
        to: ConfigVersion,
        /// The changes.
        changes: Vec<ConfigChange>,
    },
    /// Complete configuration, which replaces the one that the process has.
    Snapshot {
        /// Version of the snapshot.
        version: ConfigVersion,
        /// All contracts.
        contracts: Vec<Contract>,
        /// All planned stops in force.
        stops: Vec<PlannedStop>,
    },
}
