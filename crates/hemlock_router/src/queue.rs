//! Waiting tasks of one service, shared by weight between urgencies and then between contracts.
//!
//! Both levels use stride scheduling: serving a task advances the pass of its urgency and of its
//! contract by the task's expected cost divided by the weight, and the lowest pass is served
//! next. The pass of an urgency or contract that was idle is raised to the virtual time, the pass
//! that was served last, so that idling accumulates no credit.

use std::collections::{BTreeSet, HashMap, VecDeque};

use hemlock_contract::prelude::Urgency;

use crate::contracts::ContractKey;
use crate::work::TaskRef;

/// Weights of the urgencies, most urgent first.
const LEVEL_WEIGHTS: [u64; LEVELS] = [64, 8, 1];
/// Number of urgencies.
const LEVELS: usize = 3;
/// Factor applied to costs so that dividing them by a weight loses little precision.
const PASS_SCALE: u64 = 64;

/// Index of a service in the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u32);

/// Index of the priority level of a queue that belongs to an urgency; 0 is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LevelIndex(u8);

impl From<Urgency> for LevelIndex {
    fn from(urgency: Urgency) -> Self {
        match urgency {
            Urgency::Interactive => Self(0),
            Urgency::Normal => Self(1),
            Urgency::Batch => Self(2),
        }
    }
}

/// A contract's queue that is skipped until the contract may start tasks again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParkedQueue {
    /// Service that the tasks call.
    pub service: ServiceKey,
    /// Priority level of the tasks.
    pub level: LevelIndex,
}

#[derive(Debug, Default)]
struct ContractQueue {
    tasks: VecDeque<TaskRef>,
    pass: u64,
    parked: bool,
}

#[derive(Debug, Default)]
struct Level {
    queues: HashMap<ContractKey, ContractQueue>,
    ready: BTreeSet<(u64, ContractKey)>,
    virtual_time: u64,
    pass: u64,
    len: usize,
}

/// The task at the head of a [`FairQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Its priority level.
    pub level: LevelIndex,
    /// Its contract.
    pub contract: ContractKey,
    /// The task.
    pub task: TaskRef,
}

/// The waiting tasks of one service.
#[derive(Debug, Default)]
pub struct FairQueue {
    levels: [Level; LEVELS],
    virtual_time: u64,
}

impl FairQueue {
    /// Number of waiting tasks.
    pub fn len(&self) -> usize {
        self.levels.iter().map(|level| level.len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.levels.iter().all(|level| level.len == 0)
    }

    /// Number of waiting tasks at the level and at more urgent ones.
    pub fn len_ahead(&self, level: LevelIndex) -> usize {
        let upto = usize::from(level.0) + 1;
        self.levels[..upto].iter().map(|level| level.len).sum()
    }

    /// Length of one contract's queue at the level. It includes tasks that ended while they waited
    /// and were not removed yet.
    pub fn contract_len(&self, index: LevelIndex, contract: ContractKey) -> usize {
        let level = &self.levels[usize::from(index.0)];
        level
            .queues
            .get(&contract)
            .map_or(0, |queue| queue.tasks.len())
    }

    /// Removes the tasks for which `keep` returns `false` from one contract's queue.
    pub fn retain(
        &mut self,
        index: LevelIndex,
        contract: ContractKey,
        mut keep: impl FnMut(&TaskRef) -> bool,
    ) {
        let level = &mut self.levels[usize::from(index.0)];
        let Some(queue) = level.queues.get_mut(&contract) else {
            return;
        };
        let before = queue.tasks.len();
        queue.tasks.retain(&mut keep);
        level.len -= before - queue.tasks.len();
        if queue.tasks.is_empty() {
            level.ready.remove(&(queue.pass, contract));
        }
    }

    /// Number of waiting tasks that could start, given how many each contract may start; `room`
    /// returns that number.
    pub fn startable(&self, mut room: impl FnMut(ContractKey) -> usize) -> usize {
        let levels = self.levels.iter();
        let ready = levels.flat_map(|level| level.ready.iter().map(move |(_, key)| (level, key)));
        let startable = ready.map(|(level, key)| {
            let waiting = level.queues.get(key).map_or(0, |queue| queue.tasks.len());
            waiting.min(room(*key))
        });
        startable.sum()
    }

    /// Appends a task to its contract's queue.
    pub fn push_back(&mut self, level: LevelIndex, contract: ContractKey, task: TaskRef) {
        self.queue_for_push(level, contract).tasks.push_back(task);
        self.mark_ready(level, contract);
    }

    /// Puts a task that was removed from the head back at the head of its contract's queue.
    pub fn push_front(&mut self, level: LevelIndex, contract: ContractKey, task: TaskRef) {
        self.queue_for_push(level, contract).tasks.push_front(task);
        self.mark_ready(level, contract);
    }

    fn queue_for_push(&mut self, index: LevelIndex, contract: ContractKey) -> &mut ContractQueue {
        let virtual_time = self.virtual_time;
        let level = &mut self.levels[usize::from(index.0)];
        if level.len == 0 {
            level.pass = level.pass.max(virtual_time);
        }
        level.len += 1;
        let level_time = level.virtual_time;
        let queue = level.queues.entry(contract).or_default();
        if queue.tasks.is_empty() {
            queue.pass = queue.pass.max(level_time);
        }
        queue
    }

    fn mark_ready(&mut self, index: LevelIndex, contract: ContractKey) {
        let level = &mut self.levels[usize::from(index.0)];
        match level.queues.get(&contract) {
            Some(queue) if !queue.parked && !queue.tasks.is_empty() => {
                level.ready.insert((queue.pass, contract));
            }
            Some(_) | None => {}
        }
    }

    /// The task to serve next; `None` when nothing waits or every waiting contract is parked.
    pub fn head(&self) -> Option<Head> {
        let levels = self.levels.iter().enumerate();
        let ready = levels.filter(|(_, level)| !level.ready.is_empty());
        let (index, level) = ready.min_by_key(|(_, level)| level.pass)?;
        let (_, contract) = *level.ready.first()?;
        let task = *level.queues.get(&contract)?.tasks.front()?;
        Some(Head {
            level: LevelIndex(index as u8),
            contract,
            task,
        })
    }

    /// Removes the head without charging its contract, for a task that is not started.
    pub fn drop_head(&mut self, head: Head) {
        self.remove_head(head, 0, 1);
    }

    /// Removes the head and charges the expected cost to its contract, which has the given weight.
    pub fn serve_head(&mut self, head: Head, cost_us: u64, weight: u32) {
        self.remove_head(head, cost_us.max(1), u64::from(weight.max(1)));
    }

    fn remove_head(&mut self, head: Head, cost_us: u64, weight: u64) {
        let index = usize::from(head.level.0);
        let level = &mut self.levels[index];
        let Some(queue) = level.queues.get_mut(&head.contract) else {
            return;
        };
        level.ready.remove(&(queue.pass, head.contract));
        let taken = queue.tasks.pop_front();
        assert_eq!(taken, Some(head.task), "only the head leaves a queue");
        level.len -= 1;
        if cost_us > 0 {
            level.virtual_time = queue.pass;
            queue.pass += cost_us * PASS_SCALE / weight + 1;
            self.virtual_time = level.pass;
            level.pass += cost_us * PASS_SCALE / LEVEL_WEIGHTS[index] + 1;
        }
        self.mark_ready(head.level, head.contract);
    }

    /// Skips a contract's queue until [`FairQueue::unpark`].
    pub fn park(&mut self, index: LevelIndex, contract: ContractKey) {
        let level = &mut self.levels[usize::from(index.0)];
        if let Some(queue) = level.queues.get_mut(&contract) {
            level.ready.remove(&(queue.pass, contract));
            queue.parked = true;
        }
    }

    /// Serves a parked contract's queue again.
    pub fn unpark(&mut self, index: LevelIndex, contract: ContractKey) {
        let level = &mut self.levels[usize::from(index.0)];
        let virtual_time = level.virtual_time;
        if let Some(queue) = level.queues.get_mut(&contract) {
            queue.parked = false;
            queue.pass = queue.pass.max(virtual_time);
        }
        self.mark_ready(index, contract);
    }
}
