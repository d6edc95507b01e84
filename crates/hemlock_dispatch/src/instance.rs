//! An agent and its instance as the dispatcher sees them.

use std::collections::BTreeMap;

use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use crate::health::Health;
use crate::order::{Room, SessionId, StartOrder, StopOrder};

/// Time until the next end at a full instance: some ten tasks of a few hundred milliseconds.
const NEXT_END_MS: u64 = 20;

/// One run at an instance. It takes room until it is known to be over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) number: RunNumber,
    pub(crate) needs: Resources,
    pub(crate) ordered_at: Instant,
    /// How long it should take, in milliseconds.
    pub(crate) expected_ms: u64,
    pub(crate) stopping: bool,
    /// The order that carried its start.
    pub(crate) order: u64,
    /// The level in which it waits at the instance, if it has to.
    pub(crate) level: usize,
}

/// One agent.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) session: Option<SessionId>,
    /// Whether the agent has told in this session what runs.
    pub(crate) adopted: bool,
    /// When the leader last confirmed the agent's authority.
    pub(crate) confirmed: Instant,
    pub(crate) instance: Option<InstanceReport>,
    pub(crate) used: Resources,
    /// What the agent says is left, where others order starts there too.
    pub(crate) room: Option<Room>,
    /// The last order to the agent.
    pub(crate) last_order: u64,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    pub(crate) health: Health,
    /// Orders that are to be sent.
    pub(crate) starts: Vec<StartOrder>,
    pub(crate) stops: Vec<StopOrder>,
}

impl Agent {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            session: None,
            adopted: false,
            confirmed: now,
            instance: None,
            used: Resources::default(),
            room: None,
            last_order: 0,
            runs: BTreeMap::new(),
            health: Health::default(),
            starts: Vec::new(),
            stops: Vec::new(),
        }
    }

    /// Whether it is in session, told what runs, and has an instance that stays.
    pub(crate) fn takes_work(&self) -> bool {
        let stays = |instance: &InstanceReport| !instance.draining;
        self.session.is_some() && self.adopted && self.instance.as_ref().is_some_and(stays)
    }

    /// What its instance has left, as far as is known.
    pub(crate) fn free(&self) -> Resources {
        if let Some(room) = &self.room {
            let mut unknown_to_agent = Resources::default();
            let runs = self.runs.values();
            let newer = runs.filter(|run| run.order > room.last_order);
            newer.for_each(|run| unknown_to_agent.add(&run.needs));
            return room.free.minus(&unknown_to_agent);
        }
        self.instance
            .as_ref()
            .map(|instance| instance.capacity.minus(&self.used))
            .unwrap_or_default()
    }

    /// How long a start of the given level would wait there, as far as is known, in milliseconds.
    pub(crate) fn expected_wait_ms(&self, needs: &Resources, level: usize) -> u64 {
        let (Some(room), false) = (&self.room, self.free().fits(needs)) else {
            return 0;
        };
        let capacity = self.instance.as_ref().map_or(0, |i| i.capacity.cpu_milli);
        let queued: u64 = room.queued_work.iter().take(level + 1).sum();
        let runs = self.runs.values();
        let newer = runs.filter(|run| run.order > room.last_order && run.level <= level);
        let newer: u64 = newer.map(|run| run.needs.cpu_milli * run.expected_ms).sum();
        NEXT_END_MS + (queued + newer) / capacity.max(1)
    }

    /// Notes a run that takes room.
    pub(crate) fn add_run(&mut self, task: TaskKey, run: Run) {
        if let Some(earlier) = self.runs.insert(task, run) {
            self.used.take(&earlier.needs);
        }
        self.used.add(&run.needs);
    }

    /// Gives back the room of a run that is over, if it is this one.
    pub(crate) fn remove_run(&mut self, task: TaskKey, number: RunNumber) -> Option<Run> {
        let known = self.runs.get(&task).is_some_and(|run| run.number == number);
        let run = known.then(|| self.runs.remove(&task)).flatten()?;
        self.used.take(&run.needs);
        Some(run)
    }

    /// Orders the end of a run, once.
    pub(crate) fn stop_run(&mut self, task: TaskKey) {
        if let Some(run) = self.runs.get_mut(&task).filter(|run| !run.stopping) {
            run.stopping = true;
            let run = run.number;
            self.stops.push(StopOrder { task, run });
        }
    }
}
