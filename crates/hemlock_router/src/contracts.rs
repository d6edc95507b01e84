//! The contracts in force, and this entry's share of their limits.

use std::collections::HashMap;

use hemlock_contract::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_types::prelude::*;

use crate::arena::{Arena, Key};
use crate::budget::Budget;
use crate::queue::ParkedQueue;

/// Demand is reported early when it has grown by at least one part in this many.
const GROWTH_PARTS: u32 = 4;

/// Identifies a contract in the router.
pub type ContractKey = Key<ContractState>;

/// A contract, with this entry's share of it and its use of that share.
#[derive(Debug)]
pub struct ContractState {
    /// The contract.
    pub contract: Contract,
    /// Maximum number of tasks that this entry may have running.
    pub share: u32,
    /// When the share expires.
    pub share_until: Instant,
    /// Starts that may still run. A lost start, whose outcome is unknown, counts until its
    /// deadline.
    pub running: u32,
    /// Tasks admitted and not yet started.
    pub queued: u32,
    /// Demand at the latest report to the keepers, or when an early report was last requested.
    pub reported: u32,
    /// Budget for retries.
    pub retries: Budget,
    /// Budget for hedges.
    pub hedges: Budget,
    /// Queues of this contract that are parked until it may start tasks again.
    pub parked: Vec<ParkedQueue>,
}

impl ContractState {
    fn new(contract: Contract) -> Self {
        Self {
            contract,
            share: 0,
            share_until: Instant::ZERO,
            running: 0,
            queued: 0,
            reported: 0,
            retries: Budget::default(),
            hedges: Budget::default(),
            parked: Vec::new(),
        }
    }

    /// Whether demand exceeds the share and has grown considerably since it was last reported. If
    /// so, marks it as reported.
    pub fn report_if_grown(&mut self) -> bool {
        let demand = self.running + self.queued;
        let threshold = self.reported + (self.reported / GROWTH_PARTS).max(1);
        match demand > self.share && demand >= threshold {
            true => {
                self.reported = demand;
                true
            }
            false => false,
        }
    }

    /// Whether the share allows one more task to start now.
    pub fn has_room(&self, now: Instant) -> bool {
        self.running < self.share && now < self.share_until
    }
}

/// Every contract in force.
#[derive(Debug, Default)]
pub struct ContractTable {
    states: Arena<ContractState>,
    by_customer: HashMap<CustomerName, ContractKey>,
    version: ConfigVersion,
    shares_seq: u64,
}

impl ContractTable {
    /// Version of the configuration that the table holds.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The customer's contract.
    pub fn find(&self, customer: &CustomerName) -> Option<ContractKey> {
        self.by_customer.get(customer).copied()
    }

    /// A contract's state.
    ///
    /// # Panics
    ///
    /// When the key belongs to another table. Contracts are never removed.
    pub fn state(&self, key: ContractKey) -> &ContractState {
        match self.states.get(key) {
            Some(state) => state,
            None => unreachable!("contract {key:?} is not in the table"),
        }
    }

    /// Mutable access to a contract's state.
    ///
    /// # Panics
    ///
    /// When the key belongs to another table. Contracts are never removed.
    pub fn state_mut(&mut self, key: ContractKey) -> &mut ContractState {
        match self.states.get_mut(key) {
            Some(state) => state,
            None => unreachable!("contract {key:?} is not in the table"),
        }
    }

    /// Iterates over all contracts.
    pub fn iter(&self) -> impl Iterator<Item = (ContractKey, &ContractState)> {
        self.states.iter()
    }

    /// Applies a configuration update and returns whether it changed anything. Ignores an update
    /// that is older or starts from a later version than the one held: the next report requests
    /// the missing changes again.
    pub fn update(&mut self, update: &ConfigUpdate) -> bool {
        match update {
            ConfigUpdate::Current(_) => false,
            ConfigUpdate::Delta { from, to, changes } if *from <= self.version => {
                let newer = changes
                    .iter()
                    .filter(|change| change.version > self.version);
                let contracts = newer.filter_map(|change| match &change.item {
                    ConfigItem::Contract(contract) => Some(contract.clone()),
                    ConfigItem::Stop(_) | ConfigItem::StopLifted(_) => None,
                });
                let contracts: Vec<_> = contracts.collect();
                self.advance(*to, contracts)
            }
            ConfigUpdate::Snapshot {
                version, contracts, ..
            } if *version >= self.version => self.advance(*version, contracts.clone()),
            ConfigUpdate::Delta { .. } | ConfigUpdate::Snapshot { .. } => false,
        }
    }

    fn advance(&mut self, to: ConfigVersion, contracts: Vec<Contract>) -> bool {
        if to < self.version {
            return false;
        }
        for contract in contracts {
            self.upsert(contract);
        }
        let changed = to > self.version;
        self.version = to;
        changed
    }

    fn upsert(&mut self, contract: Contract) {
        match self.by_customer.get(&contract.customer) {
            Some(key) => {
                let key = *key;
                let state = self.state_mut(key);
                assert!(
                    contract.revision >= state.contract.revision,
                    "a contract never goes back to an earlier revision"
                );
                state.contract = contract;
            }
            None => {
                let customer = contract.customer.clone();
                let key = self.states.insert(ContractState::new(contract));
                self.by_customer.insert(customer, key);
            }
        }
    }

    /// Sequence number of the latest allocation of shares that was applied.
    pub fn shares_seq(&self) -> u64 {
        self.shares_seq
    }

    /// Replaces all shares with those granted in answer to a report sent at `sent`, and sets the
    /// share of every other contract to zero. Returns `false` and changes nothing when `seq` is
    /// not newer than the sequence number held.
    pub fn set_shares(&mut self, sent: Instant, shares: &[Share], seq: u64) -> bool {
        if seq <= self.shares_seq {
            return false;
        }
        self.shares_seq = seq;
        self.apply_shares(sent, shares);
        true
    }

    fn apply_shares(&mut self, sent: Instant, shares: &[Share]) {
        let keys: Vec<_> = self.states.iter().map(|(key, _)| key).collect();
        for key in keys {
            let state = self.state_mut(key);
            let found = shares
                .iter()
                .find(|share| share.customer == state.contract.customer);
            state.share = found.map_or(0, |share| share.count);
            state.share_until = found.map_or(Instant::ZERO, |share| {
                sent + DurationMs::new(share.valid_ms)
            });
        }
    }

    /// This entry's demand by contract, for its next report.
    pub fn demand(&mut self, now: Instant) -> Vec<Demand> {
        let keys: Vec<_> = self.states.iter().map(|(key, _)| key).collect();
        for key in keys {
            let state = self.state_mut(key);
            state.reported = state.running + state.queued;
        }
        let held_share = |state: &ContractState| match now < state.share_until {
            true => state.share,
            false => 0,
        };
        let busy =
            |state: &&ContractState| state.running > 0 || state.queued > 0 || held_share(state) > 0;
        let demand = |state: &ContractState| Demand {
            customer: state.contract.customer.clone(),
            running: state.running,
            queued: state.queued,
            held: held_share(state),
        };
        self.states
            .iter()
            .map(|(_, state)| state)
            .filter(busy)
            .map(demand)
            .collect()
    }
}
