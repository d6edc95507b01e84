//! The configuration in force, as every keeper holds it.

use std::collections::{BTreeMap, VecDeque};

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::change::{ConfigChange, ConfigItem, ConfigUpdate};
use crate::contract::Contract;
use crate::history::History;
use crate::stop::{PlannedStop, StopId};
use crate::verdict::{ContractVerdict, LiftVerdict, StopVerdict};

/// Changes kept for processes that are a little behind; others get a snapshot.
const TAIL_CHANGES: usize = 1_024;
/// Ids of lifted stops that are remembered, so that a late resend doesn't bring one back.
const LIFTED_STOPS: usize = 4_096;

/// Contracts and planned stops with the versions that set them.
///
/// Every keeper applies the same changes in the same order and so holds the same state.
/// Revisions and versions only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    version: ConfigVersion,
    contracts: BTreeMap<CustomerName, Held>,
    stops: BTreeMap<StopId, (PlannedStop, ConfigVersion)>,
    lifted: VecDeque<StopId>,
    tail: VecDeque<ConfigChange>,
    tail_from: ConfigVersion,
}

/// One customer's contract with the revisions before it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    contract: Contract,
    version: ConfigVersion,
    history: History,
}

impl ConfigState {
    /// The version of the latest change.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Every contract, in the order of the customers' names.
    pub fn contracts(&self) -> impl Iterator<Item = &Contract> {
        self.contracts.values().map(|held| &held.contract)
    }

    /// The customer's contract and the version that set it.
    pub fn contract(&self, customer: &CustomerName) -> Option<(&Contract, ConfigVersion)> {
        self.contracts
            .get(customer)
            .map(|held| (&held.contract, held.version))
    }

    /// Every planned stop and the version that announced it.
    pub fn stops(&self) -> impl Iterator<Item = (&PlannedStop, ConfigVersion)> {
        self.stops.values().map(|(stop, version)| (stop, *version))
    }

    /// Whether a planned stop covers the endpoint that stands at the given place.
    pub fn is_stopped(
        &self,
        agent: Incarnation,
        domain: &FailureDomainName,
        rack: &RackName,
    ) -> bool {
        self.stops()
            .any(|(stop, _)| stop.target.covers(agent, domain, rack))
    }

    /// Applies a contract's new state, accepted as `version` unless it is refused.
    ///
    /// # Panics
    ///
    /// When `version` is not above every earlier one.
    pub fn apply_contract(
        &mut self,
        version: ConfigVersion,
        contract: Contract,
    ) -> ContractVerdict {
        assert!(version > self.version, "versions only grow");
        match self.judge_contract(&contract) {
            ContractVerdict::Accepted { .. } => self.set_contract(version, contract),
            refused => refused,
        }
    }

    /// What [`apply_contract`](Self::apply_contract) would say; `Accepted` with the current
    /// version stands for a change that would be made.
    pub fn judge_contract(&self, contract: &Contract) -> ContractVerdict {
        if let Some(refused) = self.judge_revision(contract) {
            return refused;
        }
        let owner = self.contracts.values().find(|held| {
            held.contract.customer != contract.customer && shares_key(&held.contract, contract)
        });
        match owner {
            Some(held) => ContractVerdict::KeyTaken {
                customer: held.contract.customer.clone(),
            },
            None => ContractVerdict::Accepted {
                version: self.version,
            },
        }
    }

    fn judge_revision(&self, contract: &Contract) -> Option<ContractVerdict> {
        let held = self.contracts.get(&contract.customer)?;
        let winner = held.contract.revision;
        match held.history.find(contract.revision) {
            Some(past) if past.is_same(contract) => Some(ContractVerdict::Repeated {
                version: past.version(),
            }),
            Some(_) if contract.revision == winner => Some(ContractVerdict::Conflict {
                winner: Box::new(held.contract.clone()),
            }),
            _ if contract.revision <= winner => Some(ContractVerdict::Stale { current: winner }),
            _ => None,
        }
    }

    fn set_contract(&mut self, version: ConfigVersion, contract: Contract) -> ContractVerdict {
        let earlier = self.contracts.remove(&contract.customer);
        let mut history = match earlier {
            Some(held) => {
                assert!(
                    contract.revision > held.contract.revision,
                    "revisions of a contract only grow"
                );
                held.history
            }
            None => History::default(),
        };
        history.push(&contract, version);
        self.record(version, ConfigItem::Contract(contract.clone()));
        let held = Held {
            contract,
            version,
            history,
        };
        self.contracts.insert(held.contract.customer.clone(), held);
        ContractVerdict::Accepted { version }
    }

    /// Applies a planned stop, accepted as `version` unless it is refused.
    ///
    /// # Panics
    ///
    /// When `version` is not above every earlier one.
    pub fn apply_stop(&mut self, version: ConfigVersion, stop: PlannedStop) -> StopVerdict {
        assert!(version > self.version, "versions only grow");
        match self.stops.get(&stop.id) {
            Some((held, first)) if *held == stop => StopVerdict::Repeated { version: *first },
            Some((held, _)) => StopVerdict::Conflict {
                winner: held.clone(),
            },
            None if self.lifted.contains(&stop.id) => StopVerdict::AlreadyLifted,
            None => {
                self.record(version, ConfigItem::Stop(stop.clone()));
                self.stops.insert(stop.id.clone(), (stop, version));
                StopVerdict::Accepted { version }
            }
        }
    }

    /// Lifts a planned stop as `version`.
    ///
    /// # Panics
    ///
    /// When `version` is not above every earlier one.
    pub fn lift_stop(&mut self, version: ConfigVersion, id: &StopId) -> LiftVerdict {
        assert!(version > self.version, "versions only grow");
        match self.stops.remove(id) {
            Some(_) => {
                self.record(version, ConfigItem::StopLifted(id.clone()));
                self.remember_lifted(id.clone());
                LiftVerdict::Lifted { version }
            }
            None if self.lifted.contains(id) => LiftVerdict::Repeated,
            None => LiftVerdict::Unknown,
        }
    }

    fn remember_lifted(&mut self, id: StopId) {
        self.lifted.push_back(id);
        if self.lifted.len() > LIFTED_STOPS {
            self.lifted.pop_front();
        }
    }

    fn record(&mut self, version: ConfigVersion, item: ConfigItem) {
        self.version = version;
        self.tail.push_back(ConfigChange { version, item });
        if self.tail.len() > TAIL_CHANGES
            && let Some(dropped) = self.tail.pop_front()
        {
            self.tail_from = dropped.version;
        }
    }

    /// What brings a process from version `held` to the current one.
    ///
    /// A process that claims a version above the keeper's own is given a snapshot, which it
    /// refuses; this happens only when it talks to a keeper of another cluster's data.
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

fn shares_key(one: &Contract, other: &Contract) -> bool {
    one.key_sha256
        .iter()
        .any(|key| other.key_sha256.contains(key))
}
