//! The contracts in force, and what this entry may run under each.

use std::collections::HashMap;

use hemlock_contract::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_types::prelude::*;

use crate::arena::{Arena, Key};
use crate::budget::Budget;
use crate::queue::Parked;

/// Demand has grown much when it has grown by one part in this many.
const GROWTH_PARTS: u32 = 4;

/// Names a contract in the router.
pub type ContractKey = Key<ContractState>;

/// One contract with this entry's share and use of it.
#[derive(Debug)]
pub struct ContractState {
    /// The contract.
    pub contract: Contract,
    /// Most tasks that this entry may have running.
    pub share: u32,
    /// When the share runs out.
    pub share_until: Instant,
    /// Starts whose outcome is not settled, with those of unknown outcome until their deadline.
    pub running: u32,
    /// Tasks admitted and not yet started.
    pub queued: u32,
    /// Demand in the latest report to the keepers, or at the latest call for one.
    pub reported: u32,
    /// Budget of retries.
    pub retries: Budget,
    /// Budget of hedges.
    pub hedges: Budget,
    /// Queues that wait for this contract to have room again.
    pub parked: Vec<Parked>,
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

    /// Whether demand beyond the share has grown much since it was last reported; if so it counts
    /// as reported.
    pub fn has_grown(&mut self) -> bool {
        let demand = self.running + self.queued;
        let much = self.reported + (self.reported / GROWTH_PARTS).max(1);
        match demand > self.share && demand >= much {
            true => {
                self.reported = demand;
                true
            }
            false => false,
        }
    }

    /// Whether one more task may start now.
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
    /// Version of the configuration in force.
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
    /// When the key is not of this table: contracts are never removed.
    pub fn state(&self, key: ContractKey) -> &ContractState {
        match self.states.get(key) {
            Some(state) => state,
            None => unreachable!("contract {key:?} is not in the table"),
        }
    }

    /// A contract's state to change.
    ///
    /// # Panics
    ///
    /// When the key is not of this table: contracts are never removed.
    pub fn state_mut(&mut self, key: ContractKey) -> &mut ContractState {
        match self.states.get_mut(key) {
            Some(state) => state,
            None => unreachable!("contract {key:?} is not in the table"),
        }
    }

    /// Every contract.
    pub fn iter(&self) -> impl Iterator<Item = (ContractKey, &ContractState)> {
        self.states.iter()
    }

    /// Brings the configuration forward; returns whether it changed. An update that does not
    /// start from the version held, or that is older, is left out: the next report asks again.
    pub fn update(&mut self, update: &ConfigUpdate) -> bool {
        match update {
            ConfigUpdate::Current(_) => false,
            ConfigUpdate::Delta { from, to, changes } if *from <= self.version => {
                let news = changes
                    .iter()
                    .filter(|change| change.version > self.version);
                let contracts = news.filter_map(|change| match &change.item {
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
            self.set(contract);
        }
        let changed = to > self.version;
        self.version = to;
        changed
    }

    fn set(&mut self, contract: Contract) {
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

    /// Number of the latest deal of shares taken.
    pub fn shares_seq(&self) -> u64 {
        self.shares_seq
    }

    /// Replaces every share with those dealt in answer to a report sent at `sent`; returns
    /// `false` for a deal that is not newer than the one held.
    pub fn set_shares(&mut self, sent: Instant, shares: &[Share], seq: u64) -> bool {
        if seq <= self.shares_seq {
            return false;
        }
        self.shares_seq = seq;
        self.deal(sent, shares);
        true
    }

    fn deal(&mut self, sent: Instant, shares: &[Share]) {
        let keys: Vec<_> = self.states.iter().map(|(key, _)| key).collect();
        for key in keys {
            let state = self.state_mut(key);
            let dealt = shares
                .iter()
                .find(|share| share.customer == state.contract.customer);
            state.share = dealt.map_or(0, |share| share.count);
            state.share_until = dealt.map_or(Instant::ZERO, |share| {
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
        let held = |state: &ContractState| match now < state.share_until {
            true => state.share,
            false => 0,
        };
        let busy =
            |state: &&ContractState| state.running > 0 || state.queued > 0 || held(state) > 0;
        let demand = |state: &ContractState| Demand {
            customer: state.contract.customer.clone(),
            running: state.running,
            queued: state.queued,
            held: held(state),
        };
        self.states
            .iter()
            .map(|(_, state)| state)
            .filter(busy)
            .map(demand)
            .collect()
    }
}
