//! Differential test of the configuration state against a naive model, and test of processes that
//! follow it by updates.
//!
//! The tests guard against a wrong verdict on a resent, stale or conflicting change, and against a
//! process whose configuration differs from the keeper's after an update.

use std::collections::BTreeMap;

use hemlock_contract::prelude::*;
use hemlock_types::prelude::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// One step of a random run.
#[derive(Clone, Debug)]
enum Step {
    Contract {
        customer: u8,
        revision: u8,
        running: u8,
        key: u8,
    },
    Stop {
        id: u8,
        target: u8,
    },
    Lift {
        id: u8,
    },
    Follow,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..=4 => Self::Contract {
                customer: u8::arbitrary(g) % 3,
                revision: u8::arbitrary(g) % 12 + 1,
                running: u8::arbitrary(g) % 2 + 1,
                key: u8::arbitrary(g) % 12,
            },
            5 | 6 => Self::Stop {
                id: u8::arbitrary(g) % 5,
                target: u8::arbitrary(g) % 2,
            },
            7 => Self::Lift {
                id: u8::arbitrary(g) % 5,
            },
            _ => Self::Follow,
        }
    }
}

fn contract(customer: u8, revision: u8, running: u8, key: u8) -> Contract {
    // Every customer has its own key, except that key 0 is used by all of them.
    let key = if key == 0 { 0 } else { customer + 1 };
    let key = Digest::of_key(&[key]);
    let text = format!(
        "customer: c{customer}\nrevision: {revision}\nkey_sha256: [{key}]\n\
         services: [s]\nmax_running: {running}\nmax_queued: 1\n"
    );
    parse_yaml(&text).expect("the contract is valid")
}

fn stop(id: u8, target: u8) -> PlannedStop {
    PlannedStop {
        id: StopId(format!("s{id}")),
        target: StopTarget::Endpoint(Incarnation(target.into())),
    }
}

/// Naive model: a list of everything ever accepted, searched completely for every decision.
#[derive(Default)]
struct Model {
    accepted: Vec<(Contract, ConfigVersion)>,
    stops: Vec<(PlannedStop, ConfigVersion)>,
    lifted: Vec<StopId>,
}

impl Model {
    fn current(&self) -> BTreeMap<CustomerName, Contract> {
        let in_order = self.accepted.iter().map(|(contract, _)| contract.clone());
        in_order
            .map(|contract| (contract.customer.clone(), contract))
            .collect()
    }

    fn evaluate(&self, contract: &Contract, version: ConfigVersion) -> ContractVerdict {
        let same_customer =
            |known: &&(Contract, ConfigVersion)| known.0.customer == contract.customer;
        if let Some((_, first)) = self.accepted.iter().find(|known| known.0 == *contract) {
            return ContractVerdict::Repeated { version: *first };
        }
        let last = self
            .accepted
            .iter()
            .rfind(same_customer)
            .map(|(last, _)| last);
        match last {
            Some(last) if last.revision == contract.revision => {
                let winner = Box::new(last.clone());
                return ContractVerdict::Conflict { winner };
            }
            Some(last) if last.revision > contract.revision => {
                return ContractVerdict::Stale {
                    current: last.revision,
                };
            }
            _ => {}
        }
        let current = self.current();
        let owner = current.values().find(|other| {
            other.customer != contract.customer && other.key_sha256 == contract.key_sha256
        });
        match owner {
            Some(other) => ContractVerdict::KeyTaken {
                customer: other.customer.clone(),
            },
            None => ContractVerdict::Accepted { version },
        }
    }

    fn apply(&mut self, contract: Contract, version: ConfigVersion) -> ContractVerdict {
        let verdict = self.evaluate(&contract, version);
        if matches!(verdict, ContractVerdict::Accepted { .. }) {
            self.accepted.push((contract, version));
        }
        verdict
    }

    fn stop(&mut self, stop: PlannedStop, version: ConfigVersion) -> StopVerdict {
        if self.lifted.contains(&stop.id) {
            return StopVerdict::AlreadyLifted;
        }
        let known = self.stops.iter().find(|(known, _)| known.id == stop.id);
        match known.cloned() {
            Some((known, first)) if known == stop => StopVerdict::Repeated { version: first },
            Some((winner, _)) => StopVerdict::Conflict { winner },
            None => {
                self.stops.push((stop, version));
                StopVerdict::Accepted { version }
            }
        }
    }

    fn lift(&mut self, id: &StopId, version: ConfigVersion) -> LiftVerdict {
        let before = self.stops.len();
        self.stops.retain(|(stop, _)| stop.id != *id);
        match self.stops.len() < before {
            true => {
                self.lifted.push(id.clone());
                LiftVerdict::Lifted { version }
            }
            false if self.lifted.contains(id) => LiftVerdict::Repeated,
            false => LiftVerdict::Unknown,
        }
    }
}

/// A process that keeps its configuration current by updates.
#[derive(Default)]
struct Follower {
    version: ConfigVersion,
    contracts: BTreeMap<CustomerName, Contract>,
    stops: BTreeMap<StopId, PlannedStop>,
}

impl Follower {
    fn apply(&mut self, update: ConfigUpdate) {
        match update {
            ConfigUpdate::Current(version) => assert_eq!(version, self.version),
            ConfigUpdate::Delta { from, to, changes } => {
                assert_eq!(from, self.version);
                changes
                    .into_iter()
                    .for_each(|change| self.apply_change(change));
                self.version = to;
            }
            ConfigUpdate::Snapshot {
                version,
                contracts,
                stops,
            } => {
                self.version = version;
                let keyed = contracts.into_iter().map(|c| (c.customer.clone(), c));
                self.contracts = keyed.collect();
                self.stops = stops.into_iter().map(|s| (s.id.clone(), s)).collect();
            }
        }
    }

    fn apply_change(&mut self, change: ConfigChange) {
        assert!(change.version > self.version, "changes must be in order");
        match change.item {
            ConfigItem::Contract(contract) => {
                self.contracts.insert(contract.customer.clone(), contract);
            }
            ConfigItem::Stop(stop) => {
                self.stops.insert(stop.id.clone(), stop);
            }
            ConfigItem::StopLifted(id) => {
                self.stops.remove(&id);
            }
        }
    }
}

/// Applies the steps to the state and to the model. Returns whether they agree.
fn run(steps: &[Step]) -> bool {
    let mut state = ConfigState::default();
    let mut model = Model::default();
    let mut follower = Follower::default();
    for (index, step) in steps.iter().enumerate() {
        let version = ConfigVersion(index as u64 + 1);
        let agrees = match step {
            Step::Contract {
                customer,
                revision,
                running,
                key,
            } => {
                let contract = contract(*customer, *revision, *running, *key);
                state.apply_contract(version, contract.clone()) == model.apply(contract, version)
            }
            Step::Stop { id, target } => {
                let stop = stop(*id, *target);
                state.apply_stop(version, stop.clone()) == model.stop(stop, version)
            }
            Step::Lift { id } => {
                let id = StopId(format!("s{id}"));
                state.lift_stop(version, &id) == model.lift(&id, version)
            }
            Step::Follow => {
                follower.apply(state.update_since(follower.version));
                let stops: Vec<_> = model.stops.iter().map(|(stop, _)| &stop.id).collect();
                follower.contracts == model.current()
                    && follower.stops.len() == stops.len()
                    && stops.iter().all(|id| follower.stops.contains_key(id))
            }
        };
        if !agrees {
            return false;
        }
    }
    state.contracts().cloned().eq(model.current().into_values())
}

#[test]
fn agrees_with_the_model() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(steps: Vec<Step>) -> bool {
        run(&steps)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, 11))
        .tests(1_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn a_process_that_is_thousands_of_changes_behind_catches_up() {
    let mut state = ConfigState::default();
    let mut follower = Follower::default();
    for change in 1..=5_000_u64 {
        let mut next = contract((change % 3) as u8, 1, 1, 1);
        next.revision = Revision(change);
        let verdict = state.apply_contract(ConfigVersion(change * 2), next);
        assert!(matches!(verdict, ContractVerdict::Accepted { .. }));
        if change % 700 == 3 || change == 5_000 {
            follower.apply(state.update_since(follower.version));
            assert_eq!(follower.version, ConfigVersion(change * 2));
        }
    }
    assert!(follower.contracts.values().eq(state.contracts()));
    // A process without a configuration, one too far behind and one with a version beyond the
    // keeper's get a snapshot.
    for version in [ConfigVersion(0), ConfigVersion(6), ConfigVersion(1_000_000)] {
        assert!(matches!(
            state.update_since(version),
            ConfigUpdate::Snapshot { .. }
        ));
    }
}
