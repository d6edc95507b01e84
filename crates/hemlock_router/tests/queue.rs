//! Compares the fair queue with a reference implementation that scans all contracts each time.

use hemlock_contract::prelude::Urgency;
use hemlock_router::arena::Arena;
use hemlock_router::contracts::ContractKey;
use hemlock_router::queue::{FairQueue, Head, LevelIndex};
use hemlock_router::work::{TaskRef, WorkKey};
use hemlock_types::prelude::*;
use quickcheck::{Arbitrary, Gen, quickcheck};

const LEVEL_WEIGHTS: [u64; 3] = [64, 8, 1];
const PASS_SCALE: u64 = 64;

#[derive(Clone, Copy, Debug)]
enum Step {
    Push { contract: u8, urgency: u8 },
    Serve { cost_us: u16 },
    Drop,
    Park,
    Unpark { contract: u8, urgency: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let contract = u8::arbitrary(g) % 4;
        let urgency = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Push { contract, urgency },
            4 | 5 => Self::Serve {
                cost_us: u16::arbitrary(g),
            },
            6 if bool::arbitrary(g) => Self::Park,
            6 => Self::Drop,
            _ => Self::Unpark { contract, urgency },
        }
    }
}

#[derive(Default)]
struct ReferenceContractQueue {
    tasks: Vec<TaskRef>,
    pass: u64,
    parked: bool,
}

#[derive(Default)]
struct ReferenceQueue {
    queues: [[ReferenceContractQueue; 4]; 3],
    level_times: [u64; 3],
    passes: [u64; 3],
    virtual_time: u64,
}

impl ReferenceQueue {
    fn push(&mut self, level: usize, contract: usize, task: TaskRef) {
        if self.queues[level]
            .iter()
            .all(|contract_queue| contract_queue.tasks.is_empty())
        {
            self.passes[level] = self.passes[level].max(self.virtual_time);
        }
        let contract_queue = &mut self.queues[level][contract];
        if contract_queue.tasks.is_empty() {
            contract_queue.pass = contract_queue.pass.max(self.level_times[level]);
        }
        contract_queue.tasks.push(task);
    }

    fn head(&self) -> Option<(usize, usize)> {
        let ready = |contract_queue: &ReferenceContractQueue| {
            !contract_queue.parked && !contract_queue.tasks.is_empty()
        };
        let level = (0..3)
            .filter(|level| self.queues[*level].iter().any(ready))
            .min_by_key(|level| self.passes[*level])?;
        let contract = (0..4)
            .filter(|contract| ready(&self.queues[level][*contract]))
            .min_by_key(|contract| (self.queues[level][*contract].pass, *contract))?;
        Some((level, contract))
    }

    fn serve(&mut self, (level, contract): (usize, usize), cost_us: u64, weight: u64) -> TaskRef {
        let contract_queue = &mut self.queues[level][contract];
        let task = contract_queue.tasks.remove(0);
        if cost_us > 0 {
            self.level_times[level] = contract_queue.pass;
            contract_queue.pass += cost_us * PASS_SCALE / weight + 1;
            self.virtual_time = self.passes[level];
            self.passes[level] += cost_us * PASS_SCALE / LEVEL_WEIGHTS[level] + 1;
        }
        task
    }
}

fn urgency(index: usize) -> LevelIndex {
    let urgencies = [Urgency::Interactive, Urgency::Normal, Urgency::Batch];
    urgencies[index].into()
}

fn weight(contract: usize) -> u32 {
    [1, 10, 100, 300][contract]
}

/// Keys of contracts and works for the queues under test.
struct Keys {
    contracts: Vec<ContractKey>,
    works: Arena<hemlock_router::work::Work>,
}

fn contract_keys() -> Vec<ContractKey> {
    let mut table = hemlock_router::contracts::ContractTable::default();
    let contracts = (0..4).map(support::contract).collect();
    table.update(&hemlock_contract::prelude::ConfigUpdate::Snapshot {
        version: ConfigVersion(1),
        contracts,
        stops: Vec::new(),
    });
    table.iter().map(|(key, _)| key).collect()
}

fn work_key(works: &mut Arena<hemlock_router::work::Work>, contract: ContractKey) -> WorkKey {
    works.insert(support::work(contract))
}

fn matches_reference(steps: Vec<Step>) -> bool {
    let mut keys = Keys {
        contracts: contract_keys(),
        works: Arena::default(),
    };
    let mut queue = FairQueue::default();
    let mut reference = ReferenceQueue::default();
    for step in steps {
        let head: Option<Head> = queue.head();
        let expected = reference.head();
        let position = head.map(|head| {
            let level = (0..3).find(|level| urgency(*level) == head.level);
            let contract = keys.contracts.iter().position(|key| *key == head.contract);
            (level.expect("a level"), contract.expect("a contract"))
        });
        assert_eq!(position, expected);
        match step {
            Step::Push {
                contract,
                urgency: level,
            } => {
                let (contract, level) = (usize::from(contract), usize::from(level));
                let work = work_key(&mut keys.works, keys.contracts[contract]);
                let task = TaskRef {
                    work,
                    task: TaskIndex(0),
                };
                queue.push_back(urgency(level), keys.contracts[contract], task);
                reference.push(level, contract, task);
            }
            Step::Serve { cost_us } => {
                if let (Some(head), Some(position)) = (head, expected) {
                    let cost_us = u64::from(cost_us).max(1);
                    queue.serve_head(head, cost_us, weight(position.1));
                    let task = reference.serve(position, cost_us, u64::from(weight(position.1)));
                    assert_eq!(task, head.task);
                }
            }
            Step::Drop => {
                if let (Some(head), Some(position)) = (head, expected) {
                    queue.drop_head(head);
                    reference.serve(position, 0, 1);
                }
            }
            Step::Park => {
                if let (Some(head), Some(position)) = (head, expected) {
                    queue.park(head.level, head.contract);
                    reference.queues[position.0][position.1].parked = true;
                }
            }
            Step::Unpark {
                contract,
                urgency: level,
            } => {
                let (contract, level) = (usize::from(contract), usize::from(level));
                queue.unpark(urgency(level), keys.contracts[contract]);
                let contract_queue = &mut reference.queues[level][contract];
                if contract_queue.parked
                    || contract_queue.pass > 0
                    || !contract_queue.tasks.is_empty()
                {
                    contract_queue.parked = false;
                    contract_queue.pass = contract_queue.pass.max(reference.level_times[level]);
                }
            }
        }
        let waiting = reference
            .queues
            .iter()
            .flatten()
            .map(|contract_queue| contract_queue.tasks.len());
        assert_eq!(queue.len(), waiting.sum::<usize>());
    }
    true
}

quickcheck! {
    fn the_fair_queue_matches_a_reference_implementation(steps: Vec<Step>) -> bool {
        matches_reference(steps)
    }
}

/// Serves a backlogged queue and counts how often each contract is served.
#[test]
fn contracts_of_one_urgency_are_served_by_weight() {
    let keys = contract_keys();
    let mut works = Arena::default();
    let mut queue = FairQueue::default();
    for contract in &keys {
        for _ in 0..1_000 {
            let work = work_key(&mut works, *contract);
            let task = TaskRef {
                work,
                task: TaskIndex(0),
            };
            queue.push_back(urgency(0), *contract, task);
        }
    }
    let mut served = [0u32; 4];
    for _ in 0..822 {
        let head = queue.head().expect("a backlog");
        let contract = keys.iter().position(|key| *key == head.contract);
        let contract = contract.expect("a contract");
        served[contract] += 1;
        queue.serve_head(head, 1_000, weight(contract));
    }
    assert_eq!(served.iter().sum::<u32>(), 822);
    assert!(served[0] <= 4 && served[1].abs_diff(20) <= 2, "{served:?}");
    assert!(
        served[2].abs_diff(200) <= 4 && served[3].abs_diff(600) <= 6,
        "{served:?}"
    );
}

mod support {
    use super::*;
    use hemlock_contract::prelude::*;
    use hemlock_router::queue::ServiceKey;
    use hemlock_router::work::Work;

    pub(crate) fn contract(index: usize) -> Contract {
        Contract {
            customer: format!("customer-{index}").as_str().into(),
            revision: Revision(1),
            key_sha256: Vec::new(),
            services: Vec::new(),
            max_running: 1,
            max_queued: 1,
            urgency: Urgency::Normal,
            weight: weight(index),
            non_idempotent: Vec::new(),
            deadline_ms: 1,
            deadline_cap_ms: 1,
            retry_budget_percent: 0,
            hedging: Hedging::default(),
        }
    }

    pub(crate) fn work(contract: ContractKey) -> Work {
        Work {
            waiters: Vec::new(),
            contract,
            service: ServiceKey(0),
            level: Urgency::Normal.into(),
            submission: None,
            tasks: Vec::new(),
            open_tasks: 0,
            admitted: Instant::ZERO,
            deadline: Instant::ZERO,
            traceparent: bytes::Bytes::new(),
            starts_by_rack: Vec::new(),
        }
    }
}
