//! Waiting tasks of one service: by urgency, weighted-fair between contracts.
//!
//! Both choices use stride scheduling: who is served advances by the work's expected cost over
//! its weight, and the one that is furthest behind is served next. Who has been idle starts
//! level with the others, so that idling saves nothing up.

use std::collections::{BTreeSet, HashMap, VecDeque};

use hemlock_contract::prelude::Urgency;

use crate::contracts::ContractKey;
use crate::work::TaskRef;

/// Weight of each urgency against the others, most urgent first.
const LEVEL_WEIGHTS: [u64; LEVELS] = [64, 8, 1];
/// Number of urgencies.
const LEVELS: usize = 3;
/// Scales costs so that dividing by a weight keeps its precision.
const PASS_SCALE: u64 = 64;

/// Index of a service in the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u32);

/// Position of an urgency among the levels of a queue.
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

/// A contract's line in one queue that waits until the contract has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parked {
    /// The queue's service.
    pub service: ServiceKey,
    /// The level within the queue.
    pub level: LevelIndex,
}

#[derive(Debug, Default)]
struct Line {
    tasks: VecDeque<TaskRef>,
    pass: u64,
    parked: bool,
}

#[derive(Debug, Default)]
struct Level {
    lines: HashMap<ContractKey, Line>,
    ready: BTreeSet<(u64, ContractKey)>,
    floor: u64,
    pass: u64,
    len: usize,
}

/// The head of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Its level.
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
    floor: u64,
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

    /// Number of waiting tasks at the level and the more urgent ones.
    pub fn len_ahead(&self, level: LevelIndex) -> usize {
        let upto = usize::from(level.0) + 1;
        self.levels[..upto].iter().map(|level| level.len).sum()
    }

    /// Waiting tasks of one contract at the level, with those that have ended meanwhile.
    pub fn line_len(&self, index: LevelIndex, contract: ContractKey) -> usize {
        let level = &self.levels[usize::from(index.0)];
        level
            .lines
            .get(&contract)
            .map_or(0, |line| line.tasks.len())
    }

    /// Takes the tasks that `keep` refuses out of one contract's line.
    pub fn retain(
        &mut self,
        index: LevelIndex,
        contract: ContractKey,
        mut keep: impl FnMut(&TaskRef) -> bool,
    ) {
        let level = &mut self.levels[usize::from(index.0)];
        let Some(line) = level.lines.get_mut(&contract) else {
            return;
        };
        let before = line.tasks.len();
        line.tasks.retain(&mut keep);
        level.len -= before - line.tasks.len();
        if line.tasks.is_empty() {
            level.ready.remove(&(line.pass, contract));
        }
    }

    /// Number of waiting tasks that could start, given the room of each contract.
    pub fn startable(&self, mut room: impl FnMut(ContractKey) -> usize) -> usize {
        let levels = self.levels.iter();
        let ready = levels.flat_map(|level| level.ready.iter().map(move |(_, key)| (level, key)));
        let startable = ready.map(|(level, key)| {
            let waiting = level.lines.get(key).map_or(0, |line| line.tasks.len());
            waiting.min(room(*key))
        });
        startable.sum()
    }

    /// Appends a task to its contract's line.
    pub fn push_back(&mut self, level: LevelIndex, contract: ContractKey, task: TaskRef) {
        self.line_for_push(level, contract).tasks.push_back(task);
        self.enlist(level, contract);
    }

    /// Puts a task that was already served once back at the head of its contract's line.
    pub fn push_front(&mut self, level: LevelIndex, contract: ContractKey, task: TaskRef) {
        self.line_for_push(level, contract).tasks.push_front(task);
        self.enlist(level, contract);
    }

    fn line_for_push(&mut self, index: LevelIndex, contract: ContractKey) -> &mut Line {
        let floor = self.floor;
        let level = &mut self.levels[usize::from(index.0)];
        if level.len == 0 {
            level.pass = level.pass.max(floor);
        }
        level.len += 1;
        let level_floor = level.floor;
        let line = level.lines.entry(contract).or_default();
        if line.tasks.is_empty() {
            line.pass = line.pass.max(level_floor);
        }
        line
    }

    fn enlist(&mut self, index: LevelIndex, contract: ContractKey) {
        let level = &mut self.levels[usize::from(index.0)];
        match level.lines.get(&contract) {
            Some(line) if !line.parked && !line.tasks.is_empty() => {
                level.ready.insert((line.pass, contract));
            }
            Some(_) | None => {}
        }
    }

    /// The task to serve next, unless every waiting contract is parked.
    pub fn head(&self) -> Option<Head> {
        let levels = self.levels.iter().enumerate();
        let ready = levels.filter(|(_, level)| !level.ready.is_empty());
        let (index, level) = ready.min_by_key(|(_, level)| level.pass)?;
        let (_, contract) = *level.ready.first()?;
        let task = *level.lines.get(&contract)?.tasks.front()?;
        Some(Head {
            level: LevelIndex(index as u8),
            contract,
            task,
        })
    }

    /// Removes the head without charging for it: it is not served.
    pub fn drop_head(&mut self, head: Head) {
        self.take(head, 0, 1);
    }

    /// Removes the head and charges its contract, of the given weight, the expected cost.
    pub fn serve_head(&mut self, head: Head, cost_us: u64, weight: u32) {
        self.take(head, cost_us.max(1), u64::from(weight.max(1)));
    }

    fn take(&mut self, head: Head, cost_us: u64, weight: u64) {
        let index = usize::from(head.level.0);
        let level = &mut self.levels[index];
        let Some(line) = level.lines.get_mut(&head.contract) else {
            return;
        };
        level.ready.remove(&(line.pass, head.contract));
        let taken = line.tasks.pop_front();
        assert_eq!(taken, Some(head.task), "only the head leaves a queue");
        level.len -= 1;
        if cost_us > 0 {
            level.floor = line.pass;
            line.pass += cost_us * PASS_SCALE / weight + 1;
            self.floor = level.pass;
            level.pass += cost_us * PASS_SCALE / LEVEL_WEIGHTS[index] + 1;
        }
        self.enlist(head.level, head.contract);
    }

    /// Sets a contract's line aside until [`FairQueue::unpark`].
    pub fn park(&mut self, index: LevelIndex, contract: ContractKey) {
        let level = &mut self.levels[usize::from(index.0)];
        if let Some(line) = level.lines.get_mut(&contract) {
            level.ready.remove(&(line.pass, contract));
            line.parked = true;
        }
    }

    /// Takes a contract's line up again.
    pub fn unpark(&mut self, index: LevelIndex, contract: ContractKey) {
        let level = &mut self.levels[usize::from(index.0)];
        let floor = level.floor;
        if let Some(line) = level.lines.get_mut(&contract) {
            line.parked = false;
            line.pass = line.pass.max(floor);
        }
        self.enlist(index, contract);
    }
}
