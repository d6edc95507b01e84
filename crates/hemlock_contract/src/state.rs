//! Configuration state that every keeper keeps.

use std::collections::{BTreeMap, VecDeque};

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::change::{ConfigChange, ConfigItem, ConfigUpdate};
use crate::contract::Contract;
use crate::history::History;
use crate::stop::{PlannedStop, StopId};
use crate::verdict::{ContractVerdict, LiftVerdict, StopVerdict};

/// Number of latest changes that are kept, so that a process slightly behind gets only the changes.
/// A process further behind gets a snapshot.
const MAX_RECENT_CHANGES: usize = 1_024;
/// Number of ids of lifted stops that are kept, so that a late resend of a stop does not announce
/// it again.
const MAX_LIFTED_STOPS: usize = 4_096;

/// Contracts and planned stops, with the versions that set them.
///
/// Every keeper applies the same changes in the same order and therefore has the same state.
/// Revisions and versions only increase.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    version: ConfigVersion,
    contracts: BTreeMap<CustomerName, ContractRecord>,
    stops: BTreeMap<StopId, (PlannedStop, ConfigVersion)>,
    /// Ids of lifted stops, oldest first.
    lifted: VecDeque<StopId>,
    /// Latest changes, oldest first.
    tail: VecDeque<ConfigChange>,
    /// Version after which `tail` has all changes.
    tail_from: ConfigVersion,
}

/// A customer's contract and its history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ContractRecord {
    contract: Contract,
    version: ConfigVersion,
    history: History,
}

impl ConfigState {
    /// Returns the version of the latest change.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns all contracts, in the order of the customers' names.
    pub fn contracts(&self) -> impl Iterator<Item = &Contract> {
        self.contracts.values().map(|record| &record.contract)
    }

    /// Returns the customer's contract and the version that set it.
    pub fn contract(&self, customer: &CustomerName) -> Option<(&Contract, ConfigVersion)> {
        self.contracts
            .get(customer)
            .map(|record| (&record.contract, record.version))
    }

    /// Returns all planned stops in force, with the versions that announced them.
    pub fn stops(&self) -> impl Iterator<Item = (&PlannedStop, ConfigVersion)> {
        self.stops.values().map(|(stop, version)| (stop, *version))
    }

    /// Returns whether a planned stop covers the endpoint of `agent`, on the given rack of the
    /// failure domain.
    pub fn is_stopped(
        &self,
        agent: Incarnation,
        domain: &FailureDomainName,
        rack: &RackName,
    ) -> bool {
        self.stops()
            .any(|(stop, _)| stop.target.covers(agent, domain, rack))
    }

    /// Applies a new state of a contract. It gets the version `version` if it is accepted.
    ///
    /// # Panics
    ///
    /// Panics if `version` is not higher than all earlier versions.
    pub fn apply_contract(
        &mut self,
        version: ConfigVersion,
        contract: Contract,
    ) -> ContractVerdict {
        assert!(version > self.version, "versions must increase");
        match self.evaluate_contract(&contract) {
            ContractVerdict::Accepted { .. } => self.set_contract(version, contract),
            refused => refused,
        }
    }

    /// Returns the verdict that [`apply_contract`](Self::apply_contract) would give, without
    /// changing the state. An `Accepted` verdict has the current version, because the change has
    /// none yet.
    pub fn evaluate_contract(&self, contract: &Contract) -> ContractVerdict {
        if let Some(refused) = self.evaluate_revision(contract) {
            return refused;
        }
        let owner = self.contracts.values().find(|record| {
            record.contract.customer != contract.customer && shares_key(&record.contract, contract)
        });
        match owner {
            Some(record) => ContractVerdict::KeyTaken {
                customer: record.contract.customer.clone(),
            },
            None => ContractVerdict::Accepted {
                version: self.version,
            },
        }
    }

    fn evaluate_revision(&self, contract: &Contract) -> Option<ContractVerdict> {
        let record = self.contracts.get(&contract.customer)?;
        let current = record.contract.revision;
        match record.history.find(contract.revision) {
            Some(past) if past.has_content_of(contract) => Some(ContractVerdict::Repeated {
                version: past.version(),
            }),
            Some(_) if contract.revision == current => Some(ContractVerdict::Conflict {
                winner: Box::new(record.contract.clone()),
            }),
            _ if contract.revision <= current => Some(ContractVerdict::Stale { current }),
            _ => None,
        }
    }

    fn set_contract(&mut self, version: ConfigVersion, contract: Contract) -> ContractVerdict {
        let earlier = self.contracts.remove(&contract.customer);
        let mut history = match earlier {
            Some(record) => {
                assert!(
                    contract.revision > record.contract.revision,
                    "revisions of a contract must increase"
                );
                record.history
            }
            None => History::default(),
        };
        history.push(&contract, version);
        self.record(version, ConfigItem::Contract(contract.clone()));
        let record = ContractRecord {
            contract,
            version,
            history,
        };
        self.contracts
            .insert(record.contract.customer.clone(), record);
        ContractVerdict::Accepted { version }
    }

    /// Applies a planned stop. It gets the version `version` if it is accepted.
    ///
    /// # Panics
    ///
    /// Panics if `version` is not higher than all earlier versions.
    pub fn apply_stop(&mut self, version: ConfigVersion, stop: PlannedStop) -> StopVerdict {
        assert!(version > self.version, "versions must increase");
        match self.stops.get(&stop.id) {
            Some((known, first)) if *known == stop => StopVerdict::Repeated { version: *first },
            Some((known, _)) => StopVerdict::Conflict {
                winner: known.clone(),
            },
            None if self.lifted.contains(&stop.id) => StopVerdict::AlreadyLifted,
            None => {
                self.record(version, ConfigItem::Stop(stop.clone()));
                self.stops.insert(stop.id.clone(), (stop, version));
                StopVerdict::Accepted { version }
            }
        }
    }

    /// Lifts a planned stop. The change gets the version `version` if the stop is in force.
    ///
    /// # Panics
    ///
    /// Panics if `version` is not higher than all earlier versions.
    pub fn lift_stop(&mut self, version: ConfigVersion, id: &StopId) -> LiftVerdict {
        assert!(version > self.version, "versions must increase");
        match self.stops.remove(id) {
            Some(_) => {
                self.record(version, ConfigItem::StopLifted(id.clone()));
                self.record_lifted(id.clone());
                LiftVerdict::Lifted { version }
            }
            None if self.lifted.contains(id) => LiftVerdict::Repeated,
            None => LiftVerdict::Unknown,
        }
    }

    fn record_lifted(&mut self, id: StopId) {
        self.lifted.push_back(id);
        if self.lifted.len() > MAX_LIFTED_STOPS {
            self.lifted.pop_front();
        }
    }

    /// Appends an accepted change to the latest changes.
    fn record(&mut self, version: ConfigVersion, item: ConfigItem) {
        self.version = version;
        self.tail.push_back(ConfigChange { version, item });
        if self.tail.len() > MAX_RECENT_CHANGES
            && let Some(dropped) = self.tail.pop_front()
        {
            self.tail_from = dropped.version;
        }
    }

    /// Returns the update that brings a process from version `held` to the current one.
    ///
    /// A process that reports a higher version than the keeper's gets a snapshot, which it refuses.
    /// This happens only if the keeper has the data of another cluster.
    pub fn update_since(&self, held: ConfigVersion) -> ConfigUpdate {
        match held {
            held if held == self.version => ConfigUpdate::Current(held),
            held if held > self.version || held < self.tail_from || held == ConfigVersion(0) => {
                self.snapshot()
            }
            held => ConfigUpdate::Delta {
                from: held,
                to: self.version,
                changes: self.changes_after(held),
            },
        }
    }

    fn changes_after(&self, held: ConfigVersion) -> Vec<ConfigChange> {
        let first = self.tail.partition_point(|change| change.version <= held);
        self.tail.range(first..).cloned().collect()
    }

    fn snapshot(&self) -> ConfigUpdate {
        ConfigUpdate::Snapshot {
            version: self.version,
            contracts: self.contracts().cloned().collect(),
            stops: self.stops().map(|(stop, _)| stop.clone()).collect(),
        }
    }
}

/// Returns whether the two contracts have a key in common.
fn shares_key(one: &Contract, other: &Contract) -> bool {
    one.key_sha256
        .iter()
        .any(|key| other.key_sha256.contains(key))
}
