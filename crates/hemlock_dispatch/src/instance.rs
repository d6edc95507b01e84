//! The dispatcher's state of an agent, its instance and the runs there.

use std::collections::BTreeMap;

use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use crate::health::Health;
use crate::order::{LoadReport, REPORTED_ENDS, SessionId, StartOrder, StopOrder, WITHHOLDS_ALL};

/// Expected time until the next end at the instances that placement chooses when all are full, in
/// milliseconds.
const CHOSEN_END_WAIT_MS: u64 = 20;
/// Shortest expected time until the next end at one instance, in milliseconds. The expected end of
/// a run is an estimate, and a start takes some time to arrive.
const MIN_END_WAIT_MS: u64 = 4;

/// A run at an instance. It occupies capacity until it is known to be over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) number: RunNumber,
    pub(crate) needs: Resources,
    pub(crate) ordered_at: Instant,
    /// Expected duration, in milliseconds.
    pub(crate) expected_ms: u64,
    /// Whether a stop was ordered.
    pub(crate) stopping: bool,
    /// Sequence number of the order that carried the start.
    pub(crate) order: u64,
    /// The urgency level in which the start waits if the instance is full.
    pub(crate) level: usize,
}

/// An agent and its instance.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) session: Option<SessionId>,
    /// Whether the agent has sent its inventory in this session.
    pub(crate) adopted: bool,
    /// Whether the agent gets no more starts, because the dispatcher is about to leave it.
    pub(crate) retiring: bool,
    /// Whether the failure domain of the instance is evacuated, as far as the dispatcher knows.
    pub(crate) evacuated: bool,
    /// Percentage of the instance's capacity that gets no new starts, as the agent last reported.
    pub(crate) withheld_percent: u32,
    /// When the leader last confirmed the agent's authority.
    pub(crate) confirmed: Instant,
    pub(crate) instance: Option<InstanceReport>,
    /// The service of the latest instance.
    service: Option<String>,
    /// When the instance exited; `None` unless it is known to be gone.
    pub(crate) exited_at: Option<Instant>,
    /// Capacity that the runs take.
    pub(crate) used: Resources,
    /// The agent's latest load report, if the instance is shared with other dispatchers.
    pub(crate) load: Option<LoadReport>,
    /// When the load report arrived.
    pub(crate) load_at: Instant,
    /// Sequence number of the last order to the agent.
    pub(crate) last_order: u64,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    pub(crate) health: Health,
    /// Duration of tasks relative to an instance of usual speed; 1 if unknown.
    pub(crate) pace: f64,
    /// Whether the instance is fast and little capacity is free at the fast ones.
    pub(crate) is_scarce_for_speed: bool,
    /// Whether much recent work prefers the instance's rack.
    pub(crate) rack_in_demand: bool,
    /// Starts for the next order.
    pub(crate) starts: Vec<StartOrder>,
    /// Stops for the next order.
    pub(crate) stops: Vec<StopOrder>,
}

impl Agent {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            session: None,
            adopted: false,
            retiring: false,
            evacuated: false,
            withheld_percent: 0,
            confirmed: now,
            instance: None,
            service: None,
            exited_at: None,
            used: Resources::default(),
            load: None,
            load_at: now,
            last_order: 0,
            runs: BTreeMap::new(),
            health: Health::default(),
            pace: 1.0,
            is_scarce_for_speed: false,
            rack_in_demand: false,
            starts: Vec::new(),
            stops: Vec::new(),
        }
    }

    /// Whether the agent has an instance that is available and may get new starts.
    pub(crate) fn accepts_work(&self) -> bool {
        self.is_available() && !self.is_evacuated()
    }

    /// Whether nothing may be started at the instance. The agent may know of an evacuation before
    /// the dispatcher, or of its end later.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.evacuated || self.withheld_percent >= WITHHOLDS_ALL
    }

    /// Whether the agent is in session, has sent its inventory, isn't retiring, and has an instance
    /// that is neither draining nor suspended.
    pub(crate) fn is_available(&self) -> bool {
        let is_staying = |instance: &InstanceReport| !instance.draining;
        let is_attached = self.session.is_some() && self.adopted && !self.retiring;
        let is_suspended = self.load.is_some_and(|load| load.suspended);
        is_attached && !is_suspended && self.instance.as_ref().is_some_and(is_staying)
    }

    /// Replaces the instance; one whose report can't be used counts as gone. Returns how long it was
    /// gone if it is back.
    pub(crate) fn set_instance(
        &mut self,
        now: Instant,
        instance: Option<InstanceReport>,
    ) -> Option<DurationMs> {
        let was_leaving = self
            .instance
            .as_ref()
            .is_none_or(|earlier| earlier.draining);
        self.instance = instance.filter(InstanceReport::is_usable);
        match &self.instance {
            Some(current) => {
                self.service = Some(current.service.clone());
                self.exited_at.take().map(|exited_at| now.since(exited_at))
            }
            None => {
                if !was_leaving {
                    self.exited_at = Some(now);
                }
                None
            }
        }
    }

    /// The service of the instance, or of the latest one if it is gone.
    pub(crate) fn last_service(&self) -> Option<&str> {
        self.service.as_deref()
    }

    /// Whether the instance has a label, such as that of its rack.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        let labels = self.instance.as_ref().map(|instance| &instance.labels);
        labels.is_some_and(|labels| labels.iter().any(|own| own == label))
    }

    /// Forgets what was learnt from the runs of an earlier incarnation of the instance.
    pub(crate) fn forget_runs(&mut self) {
        self.health = Health::default();
        self.pace = 1.0;
        if let Some(load) = &mut self.load {
            load.pace_percent = 0;
        }
    }

    /// Whether the instance is of the service.
    pub(crate) fn serves(&self, service: &str) -> bool {
        let instance = self.instance.as_ref();
        instance.is_some_and(|instance| instance.service == service)
    }

    /// Updates whether the failure domain of the instance is evacuated.
    pub(crate) fn note_evacuations(&mut self, evacuations: &Evacuations) {
        let is_evacuated =
            |instance: &InstanceReport| evacuations.contains(&instance.failure_domain);
        self.evacuated = self.instance.as_ref().is_some_and(is_evacuated);
    }

    /// The part of an amount of the instance's capacity that may be used for new starts.
    pub(crate) fn usable_share(&self, amount: u64) -> u64 {
        let withheld_percent = self.withheld_percent.min(WITHHOLDS_ALL);
        amount.saturating_mul(u64::from(WITHHOLDS_ALL - withheld_percent))
            / u64::from(WITHHOLDS_ALL)
    }

    /// Whether a task may be placed at the instance, as far as that depends on whether it is cold.
    ///
    /// A cold instance runs its tasks slowly, so a queue there would wait longer than expected. It
    /// gets only what fits at once, and a single task of any size.
    pub(crate) fn admits_while_cold(&self, needs: &Resources) -> bool {
        let capacity = self.instance.as_ref().map(|instance| instance.capacity);
        let is_idle = Some(self.unused()) == capacity;
        self.withheld_percent == 0 || is_idle || self.free().fits(needs)
    }

    /// Whether the runs of this dispatcher fit the instance's capacity.
    pub(crate) fn is_within_capacity(&self) -> bool {
        let instance = self.instance.as_ref();
        instance.is_some_and(|instance| instance.capacity.fits(&self.used))
    }

    /// Free capacity of the instance for new starts, as far as is known.
    pub(crate) fn free(&self) -> Resources {
        let capacity = self.instance.as_ref().map(|instance| instance.capacity);
        let withheld = capacity.unwrap_or_default().percent(self.withheld_percent);
        self.unused().saturating_sub(&withheld)
    }

    /// Capacity that is taken neither by runs nor by queued starts, as far as is known.
    fn unused(&self) -> Resources {
        if let Some(load) = &self.load {
            let mut unknown_to_agent = Resources::default();
            let runs = self.runs.values();
            let newer = runs.filter(|run| run.order > load.last_order);
            newer.for_each(|run| unknown_to_agent.add(&run.needs));
            return load.free.saturating_sub(&unknown_to_agent);
        }
        self.instance
            .as_ref()
            .map(|instance| instance.capacity.saturating_sub(&self.used))
            .unwrap_or_default()
    }

    /// Expected wait of a start of the given urgency level at the instance, in milliseconds.
    ///
    /// A start at a full instance waits for the next end there, and for the starts that are queued
    /// ahead of it. With few and long tasks on each instance, the next ends differ so much that a
    /// wide job is on time only at those instances where they are near.
    pub(crate) fn expected_wait_ms(&self, now: Instant, needs: &Resources, level: usize) -> u64 {
        let (Some(load), false) = (&self.load, self.free().fits(needs)) else {
            return 0;
        };
        let (newer_starts, work_wait_ms) = self.work_ahead(load, level);
        let age_ms = now.since(self.load_at).as_ms();
        let end_ms = u64::from(load.next_ends_ms[newer_starts.min(REPORTED_ENDS - 1)]);
        let end_ms = end_ms.saturating_sub(age_ms).max(MIN_END_WAIT_MS);
        end_ms.saturating_add(work_wait_ms)
    }

    /// Wait of starts of the given urgency level at the instance as admission counts it, in
    /// milliseconds.
    ///
    /// Placement chooses instances where an end is near, so the mean time until the next end at all
    /// instances would make admission reject work that can be on time.
    pub(crate) fn mean_wait_ms(&self, needs: &Resources, level: usize) -> u64 {
        let (Some(load), false) = (&self.load, self.free().fits(needs)) else {
            return 0;
        };
        let (_, work_wait_ms) = self.work_ahead(load, level);
        CHOSEN_END_WAIT_MS.saturating_add(work_wait_ms)
    }

    /// The number of starts ordered since the load report, and the time that they and the queue
    /// ahead of a new start take, in milliseconds.
    fn work_ahead(&self, load: &LoadReport, level: usize) -> (usize, u64) {
        let capacity = self.instance.as_ref().map_or(0, |i| i.capacity.cpu_milli);
        let queued: u64 = load.queued_work.iter().take(level + 1).sum();
        let runs = self.runs.values();
        let newer = runs.filter(|run| run.order > load.last_order && run.level <= level);
        let (starts, work) = newer.fold((0, 0), |(starts, work), run| {
            (starts + 1, work + run.needs.cpu_milli * run.expected_ms)
        });
        let work_ms = queued.saturating_add(work) as f64 * self.pace / capacity.max(1) as f64;
        (starts, work_ms as u64)
    }

    /// Adds a run and reserves the capacity that it needs.
    pub(crate) fn add_run(&mut self, task: TaskKey, run: Run) {
        if let Some(earlier) = self.runs.insert(task, run) {
            self.used.subtract(&earlier.needs);
        }
        self.used.add(&run.needs);
    }

    /// Removes a run and frees its capacity, if the task's known run has this number.
    pub(crate) fn remove_run(&mut self, task: TaskKey, number: RunNumber) -> Option<Run> {
        let known = self.runs.get(&task).is_some_and(|run| run.number == number);
        let run = known.then(|| self.runs.remove(&task)).flatten()?;
        self.used.subtract(&run.needs);
        Some(run)
    }

    /// Orders the stop of a run unless it was ordered before.
    pub(crate) fn stop_run(&mut self, task: TaskKey) {
        if let Some(run) = self.runs.get_mut(&task).filter(|run| !run.stopping) {
            run.stopping = true;
            let run = run.number;
            self.stops.push(StopOrder { task, run });
        }
    }
}
