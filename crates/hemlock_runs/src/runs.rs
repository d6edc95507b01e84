//! The agent's table of runs.

mod listing;
mod orders;

use std::collections::{BTreeMap, BTreeSet};

use hemlock_dispatch::prelude::{
    InstanceReport, Inventory, RefusalReason, RunReport, SessionId,
};
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use crate::driver::{Listing, StartCall, StopCall};
use crate::entry::{Entry, Phase};

/// Per mille of true time that an instance's clock may lose.
const SLOW_CLOCK_PER_MILLE: u64 = 20;

/// Times of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunsSettings {
    /// How long the agent may act on a confirmation, counted from its request, in milliseconds.
    pub authority_ms: u64,
    /// Longest lease on the instance's clock, in milliseconds.
    pub lease_ms: u64,
    /// Longest time that an accepted stop takes, in milliseconds.
    pub stop_ms: u64,
}

impl Default for RunsSettings {
    fn default() -> Self {
        Self {
            authority_ms: 2_000,
            lease_ms: 1_000,
            stop_ms: 50,
        }
    }
}

/// What an instance says of itself at intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Beat {
    /// The instance.
    pub instance: InstanceReport,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Numbers the beats of one life; a late one has a lower number.
    pub sequence: u64,
}

/// What a beat or a listing changed for the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceChange {
    /// Nothing.
    None,
    /// The instance changed, and what runs goes on.
    Updated,
    /// Whatever ran before is over.
    RunsLost,
}

/// A call that is to be made to the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DriverCall {
    /// Starts a run.
    Start(StartCall),
    /// Stops a run.
    Stop(StopCall),
}

/// A start that was not carried out and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RefusedStart {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// Why.
    pub reason: RefusalReason,
}

/// Something that the leader must be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// A run has ended, under this number among the instance's ends, if it was listed.
    Ended(RunReport, Option<u64>),
    /// A start came to nothing.
    Refused(RefusedStart),
}

#[derive(Clone, Copy, Debug)]
struct Session {
    id: SessionId,
    fence: u64,
    /// Whether the table was built from what the instance listed in this session.
    listed: bool,
    /// Whether the leader knows what runs.
    adopted: bool,
}

/// A reading of the instance's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock_ms: u64,
    at: Instant,
}

/// The runs at one instance.
#[derive(Debug)]
pub struct Runs {
    settings: RunsSettings,
    session: Option<Session>,
    authority_until: Instant,
    instance: Option<InstanceReport>,
    beat_sequence: u64,
    /// When the instance that is listened to was started.
    life: Option<u64>,
    /// Whether the instance answers.
    reachable: bool,
    clock: Option<ClockReading>,
    table: BTreeMap<TaskKey, Entry>,
    used: Resources,
    /// Numbers of ends that were reported, and whether they are settled.
    ends: BTreeMap<u64, bool>,
    settled: u64,
    /// What the leader must be told.
    outbox: Vec<RunOutcome>,
    stop_retries: BTreeSet<TaskKey>,
}

impl Runs {
    /// No instance, no session, no runs.
    pub fn new(settings: RunsSettings) -> Self {
        Self {
            settings,
            session: None,
            authority_until: Instant::ZERO,
            instance: None,
            beat_sequence: 0,
            life: None,
            reachable: false,
            clock: None,
            table: BTreeMap::new(),
            used: Resources::default(),
            ends: BTreeMap::new(),
            settled: 0,
            outbox: Vec::new(),
            stop_retries: BTreeSet::new(),
        }
    }

    /// Begins a session. Nothing is started before [`adopted`](Self::adopted).
    pub fn begin_session(&mut self, id: SessionId, fence: u64, asked_at: Instant) {
        self.session = Some(Session {
            id,
            fence,
            listed: false,
            adopted: false,
        });
        self.outbox.clear();
        self.extend_authority(asked_at);
    }

    /// Notes that the leader confirmed a request that was sent at `asked_at`.
    pub fn extend_authority(&mut self, asked_at: Instant) {
        let until = asked_at + DurationMs::new(self.settings.authority_ms);
        self.authority_until = self.authority_until.max(until);
    }

    /// Notes that the leader can't be told anything. Leases are renewed until the authority runs
    /// out.
    pub fn end_session(&mut self) {
        if let Some(session) = self.session.as_mut() {
            session.adopted = false;
        }
    }

    /// Whether the leader knows what runs, so that it may be told what changes.
    pub fn is_adopted(&self) -> bool {
        self.session.is_some_and(|session| session.adopted)
    }

    /// Whether the table was built in this session, so that listings may change it.
    pub fn is_listed(&self) -> bool {
        self.session.is_some_and(|session| session.listed)
    }

    /// Whether the agent may start runs and renew leases now.
    pub fn may_act(&self, now: Instant) -> bool {
        self.session.is_some() && now < self.authority_until
    }

    /// The session's fencing number.
    pub fn fence(&self) -> Option<u64> {
        self.session.map(|session| session.fence)
    }

    /// The session.
    pub fn session(&self) -> Option<SessionId> {
        self.session.map(|session| session.id)
    }

    /// The instance, while it answers.
    pub fn instance(&self) -> Option<&InstanceReport> {
        self.instance.as_ref().filter(|_| self.reachable)
    }

    /// Whether the instance has ever been heard, or may be there.
    pub fn knows_instance(&self) -> bool {
        self.instance.is_some()
    }

    /// Runs that take room.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether nothing takes room.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// The number up to which all ends are settled.
    pub fn settled(&self) -> u64 {
        self.settled
    }

    /// Whether an end was reported and isn't settled, so that the instance would repeat it at once.
    pub fn has_unsettled_ends(&self) -> bool {
        self.ends.values().any(|settled| !settled)
    }

    /// Whether a stop waits for its effect.
    pub fn is_stopping(&self) -> bool {
        let stopping = |entry: &Entry| matches!(entry.phase, Phase::Stopping { .. });
        self.table.values().any(stopping)
    }

    /// The end of a lease taken now, on the instance's clock.
    pub fn lease_until_ms(&self, now: Instant) -> Option<u64> {
        let reading = self.clock?;
        let clock_ms = reading.clock_ms + now.since(reading.at).as_ms();
        Some(clock_ms + self.settings.lease_ms)
    }

    /// The longest true time that a lease lasts.
    pub fn longest_lease(&self) -> DurationMs {
        DurationMs::new(self.settings.lease_ms * 1_000 / (1_000 - SLOW_CLOCK_PER_MILLE))
    }

    /// Takes what the leader must be told.
    pub fn take_outbox(&mut self) -> Vec<RunOutcome> {
        std::mem::take(&mut self.outbox)
    }

    /// Builds the table from a listing that was asked for under the new session's fencing number:
    /// whatever was ordered before and isn't listed is over.
    pub fn take_inventory(&mut self, now: Instant, listing: &Listing) -> Inventory {
        self.note_life(listing.born_ms);
        self.note_clock(now, listing.clock_ms);
        self.reachable = true;
        self.note_listed();
        let earlier = std::mem::take(&mut self.table);
        self.used = Resources::default();
        self.stop_retries.clear();
        self.outbox.clear();
        for listed in &listing.running {
            let known = earlier.get(&listed.task);
            let known = known.filter(|entry| entry.run == listed.run);
            let entry = Entry {
                run: listed.run,
                needs: known.map(|entry| entry.needs).unwrap_or_default(),
                phase: Phase::Running(now),
            };
            self.insert(listed.task, entry);
        }
        let ended = listing.ended.iter();
        let unsettled = ended.filter(|ended| ended.number > self.settled);
        self.ends = unsettled.clone().map(|end| (end.number, false)).collect();
        let ended = unsettled.map(|ended| RunReport {
            task: ended.task,
            run: ended.run,
            end: Some(ended.end),
        });
        let running = listing.running.iter().map(|listed| RunReport {
            task: listed.task,
            run: listed.run,
            end: None,
        });
        Inventory {
            instance: self.instance().cloned(),
            runs: running.chain(ended).collect(),
        }
    }

    /// What is told of an instance that isn't there.
    pub fn take_empty_inventory(&mut self) -> Inventory {
        self.forget_runs();
        self.reachable = false;
        self.note_listed();
        Inventory::default()
    }

    fn note_listed(&mut self) {
        if let Some(session) = self.session.as_mut() {
            session.listed = true;
        }
    }

    /// Notes that the leader knows what runs, as told by the inventory of this listing.
    pub fn adopted(&mut self, id: SessionId, listing: Option<&Listing>) {
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else {
            return;
        };
        session.adopted = true;
        let ended = listing.into_iter().flat_map(|listing| &listing.ended);
        self.settle(ended.map(|ended| ended.number));
    }

    /// Notes that ends are recorded, or need not be.
    pub fn settle(&mut self, numbers: impl IntoIterator<Item = u64>) {
        for number in numbers {
            if let Some(settled) = self.ends.get_mut(&number) {
                *settled = true;
            }
        }
        while let Some((number, true)) = self.ends.first_key_value().map(|(n, s)| (*n, *s)) {
            self.ends.pop_first();
            self.settled = self.settled.max(number);
        }
    }

    /// Takes in what the instance says of itself.
    pub fn beat(&mut self, now: Instant, beat: Beat) -> InstanceChange {
        let born_ms = beat.instance.id.born_ms;
        let known = self.instance.as_ref();
        let same_life = known.is_some_and(|known| known.id == beat.instance.id);
        match self.life {
            Some(life) if born_ms < life => return InstanceChange::None,
            _ if same_life && beat.sequence <= self.beat_sequence => return InstanceChange::None,
            _ => {}
        }
        self.beat_sequence = beat.sequence;
        let runs_lost = self.note_life(born_ms);
        if runs_lost || !same_life {
            self.clock = None;
        }
        // A clock reading from a beat may be old: a listing's is preferred.
        if self.clock.is_none() {
            self.note_clock(now, beat.clock_ms);
        }
        let changed = self.instance.as_ref() != Some(&beat.instance);
        self.instance = Some(beat.instance);
        match (runs_lost, changed) {
            (true, _) => InstanceChange::RunsLost,
            (false, true) => InstanceChange::Updated,
            (false, false) => InstanceChange::None,
        }
    }

    /// Notes that the instance is gone, or has been silent for longer than any lease lasts.
    pub fn instance_lost(&mut self) -> InstanceChange {
        let was_there = self.reachable || !self.table.is_empty();
        self.reachable = false;
        self.forget_runs();
        match was_there {
            true => InstanceChange::RunsLost,
            false => InstanceChange::None,
        }
    }

    /// Notes that the instance called by this name has left.
    pub fn instance_left(&mut self, name: &str) -> InstanceChange {
        match &mut self.instance {
            Some(instance) if instance.id.name == name && !instance.draining => {
                instance.draining = true;
                InstanceChange::Updated
            }
            _ => InstanceChange::None,
        }
    }

    /// Notes which life of the instance speaks; true when it is another than before.
    fn note_life(&mut self, born_ms: u64) -> bool {
        let another = self.life.is_some_and(|life| life != born_ms);
        if self.life != Some(born_ms) {
            self.life = Some(born_ms);
            self.ends.clear();
            self.settled = 0;
            self.beat_sequence = 0;
        }
        if another {
            self.forget_runs();
            self.clock = None;
        }
        another
    }

    fn note_clock(&mut self, at: Instant, clock_ms: u64) {
        self.clock = Some(ClockReading { clock_ms, at });
    }

    fn forget_runs(&mut self) {
        self.table.clear();
        self.used = Resources::default();
        self.stop_retries.clear();
        self.outbox.clear();
    }

    fn insert(&mut self, task: TaskKey, entry: Entry) {
        if let Some(earlier) = self.table.insert(task, entry) {
            self.used.take(&earlier.needs);
        }
        self.used.add(&entry.needs);
    }

    fn remove(&mut self, task: TaskKey) -> Option<Entry> {
        let entry = self.table.remove(&task)?;
        self.stop_retries.remove(&task);
        self.used.take(&entry.needs);
        Some(entry)
    }
}
