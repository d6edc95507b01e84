//! The agent's table of runs.

mod listing;
mod orders;
mod owners;
mod queue;

pub use owners::Claim;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hemlock_dispatch::prelude::{
    InstanceId, InstanceReport, LoadReport, RefusalReason, RunEnd, RunReport, SessionId,
    URGENCY_LEVELS, longest_lease,
};
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use crate::driver::{StartCall, StopCall};
use crate::entry::{Entry, Owner, Phase, QueuePlace, QueuedStart};

/// Runs that should be shorter count as being this long when their pace is judged, because what
/// hearing of their ends takes would make them look slow.
const SHORT_RUN_MS: u64 = 50;
/// Added to the longest lease before what it covers is taken to be over, in milliseconds.
const LEASE_MARGIN_MS: u64 = 50;
/// How far a fencing number is raised when a higher one has been seen.
const FENCE_STEP: u64 = 60_000;

/// Times of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunsSettings {
    /// How long the leader's runs go on after it last confirmed its leadership, counted from the
    /// request, in milliseconds.
    pub leader_authority_ms: u64,
    /// How long a gateway's runs go on after it was last heard, in milliseconds.
    pub gateway_silence_ms: u64,
    /// How long an owner whose connection has closed may take to return, in milliseconds. With a tick
    /// and a whole lease it is less than the time after which callers hand a job in again.
    pub return_ms: u64,
    /// How long runs that an earlier process started may take to be claimed, in milliseconds: owners
    /// that are there connect again within a few tenths of a second.
    pub claim_ms: u64,
    /// How long the instance may leave listings unanswered before leases aren't renewed any more, in
    /// milliseconds.
    pub answer_patience_ms: u64,
    /// Longest lease on the instance's clock, in milliseconds.
    pub lease_ms: u64,
    /// Longest time that an accepted stop takes, in milliseconds.
    pub stop_ms: u64,
    /// What must be left of the lease for a start that can't extend it, in milliseconds: most tasks
    /// end in that time, or the lease can be extended before it is over.
    pub start_lease_min_ms: u64,
    /// How long the end of a run is remembered for an owner that returns, in milliseconds.
    pub remember_ends_ms: u64,
}

impl Default for RunsSettings {
    fn default() -> Self {
        Self {
            leader_authority_ms: 2_000,
            gateway_silence_ms: 850,
            return_ms: 200,
            claim_ms: 400,
            answer_patience_ms: 500,
            lease_ms: 1_000,
            stop_ms: 50,
            start_lease_min_ms: 300,
            remember_ends_ms: 3_000,
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

/// What a beat or a listing changed for the owners.
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

/// Something that an owner must be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// A run has ended, under this number among the instance's ends, if it was listed.
    Ended(RunReport, Option<u64>),
    /// A start came to nothing.
    Refused(RefusedStart),
}

/// An owner as the agent sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerState {
    /// Its session; orders of any other are refused.
    pub(crate) session: SessionId,
    /// When it was last heard.
    pub(crate) heard: Instant,
    /// When its connection closed, while it has none.
    pub(crate) closed: Option<Instant>,
    /// The last of its orders that was taken.
    pub(crate) last_order: u64,
}

/// An end among those that the instance numbers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NumberedEnd {
    pub(crate) report: RunReport,
    pub(crate) owner: Option<Owner>,
    pub(crate) settled: bool,
    /// Whether the lease has lapsed since: the end counts for nothing any more.
    pub(crate) outlived: bool,
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
    fence: u64,
    owners: BTreeMap<Owner, OwnerState>,
    instance: Option<InstanceReport>,
    beat_sequence: u64,
    /// When the instance that is listened to was started.
    life: Option<u64>,
    /// Whether the instance answers, and its runs are known.
    reachable: bool,
    clock: Option<ClockReading>,
    /// Until when the instance was told that everything may run, on its clock, in milliseconds.
    granted_until_ms: u64,
    table: BTreeMap<TaskKey, Entry>,
    used: Resources,
    queue: BTreeSet<QueuePlace>,
    queued: BTreeMap<TaskKey, QueuedStart>,
    queued_needs: Resources,
    /// By level of urgency.
    queued_work: [u64; URGENCY_LEVELS],
    ends: BTreeMap<u64, NumberedEnd>,
    settled: u64,
    recent_ends: VecDeque<(Instant, RunReport)>,
    outbox: Vec<(Owner, RunOutcome)>,
    stop_retries: BTreeSet<TaskKey>,
    /// When runs without a known owner were found.
    unclaimed_since: Option<Instant>,
    /// Whether it is known what earlier processes left running.
    runs_known: bool,
    /// When the last listing was asked for that was answered.
    answered_at: Instant,
    /// When the last call was made that may have extended the lease, answered or not.
    leased_at: Instant,
}

impl Runs {
    /// No instance, no owners, no runs. `fence` must be higher than that of any earlier process
    /// beside the instance, which may have renewed leases until `now`.
    pub fn new(settings: RunsSettings, fence: u64, now: Instant) -> Self {
        Self {
            settings,
            fence,
            owners: BTreeMap::new(),
            instance: None,
            beat_sequence: 0,
            life: None,
            reachable: false,
            clock: None,
            granted_until_ms: 0,
            table: BTreeMap::new(),
            used: Resources::default(),
            queue: BTreeSet::new(),
            queued: BTreeMap::new(),
            queued_needs: Resources::default(),
            queued_work: [0; URGENCY_LEVELS],
            ends: BTreeMap::new(),
            settled: 0,
            recent_ends: VecDeque::new(),
            outbox: Vec::new(),
            stop_retries: BTreeSet::new(),
            unclaimed_since: None,
            runs_known: false,
            answered_at: now,
            leased_at: now,
        }
    }

    /// Whether it is known what earlier processes left running. Until then no owner can be told
    /// what became of its runs.
    pub fn knows_runs(&self) -> bool {
        self.runs_known
    }

    /// Notes that the longest lease has passed since this process began without renewing any: what
    /// earlier processes left has ended.
    pub fn leases_have_passed(&mut self) {
        self.runs_known = true;
    }

    /// The fencing number of all calls to the instance.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Raises the fencing number, because the instance has seen a higher one.
    pub fn raise_fence(&mut self) {
        self.fence += FENCE_STEP;
    }

    /// The instance, while it answers.
    pub fn instance(&self) -> Option<&InstanceReport> {
        self.instance.as_ref().filter(|_| self.reachable)
    }

    /// Whether the instance answers, and its runs are known.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Runs that take room.
    pub fn running(&self) -> usize {
        self.table.len()
    }

    /// Starts that wait for room.
    pub fn waiting(&self) -> usize {
        self.queued.len()
    }

    /// The number up to which all ends are settled.
    pub fn settled(&self) -> u64 {
        self.settled
    }

    /// Whether an end waits to be settled, so that the instance would repeat it at once.
    pub fn has_unsettled_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Whether the lease may be extended. While a stop isn't answered, only the lease makes sure that
    /// its run ends: its caller may hand the job in again soon. While ends wait for a leader that
    /// isn't there, only a lapse makes sure that they count for nothing once their tasks are started
    /// elsewhere.
    pub fn may_renew(&self, now: Instant) -> bool {
        let unanswered =
            |entry: &Entry| matches!(entry.phase, Phase::Stopping { accepted: None, .. });
        !self.table.values().any(unanswered) && !self.holds_ends_without_leader(now)
    }

    /// Whether ends must be recorded and no leader has authority here that could record them.
    fn holds_ends_without_leader(&self, now: Instant) -> bool {
        let authority = DurationMs::new(self.settings.leader_authority_ms);
        let leader = self.owners.get(&Owner::Leader);
        let has_authority = leader.is_some_and(|leader| now <= leader.heard + authority);
        let waits = |end: &NumberedEnd| !end.settled && !end.outlived;
        !has_authority && self.ends.values().any(waits)
    }

    /// Marks the ends over which the lease has lapsed.
    fn note_lapse(&mut self, now: Instant) {
        let margin = DurationMs::new(LEASE_MARGIN_MS);
        let lapsed = now > self.leased_at + self.longest_lease() + margin;
        if lapsed && self.holds_ends_without_leader(now) {
            self.ends.values_mut().for_each(|end| end.outlived = true);
        }
    }

    /// The instance's clock, in milliseconds.
    fn clock_ms(&self, now: Instant) -> Option<u64> {
        let reading = self.clock?;
        Some(reading.clock_ms + now.since(reading.at).as_ms())
    }

    /// Extends the lease to its full length from now, and returns its end on the instance's clock.
    fn extend_lease(&mut self, now: Instant) -> Option<u64> {
        let until_ms = self.clock_ms(now)? + self.settings.lease_ms;
        self.granted_until_ms = self.granted_until_ms.max(until_ms);
        self.leased_at = now;
        Some(until_ms)
    }

    /// The end of the lease that a listing takes now. None is taken while a stop isn't answered,
    /// while the instance doesn't answer, and while something runs that nobody has claimed: its
    /// owner may be gone, and however often this process is restarted, such a run then ends with its
    /// last lease.
    pub fn take_renewal(&mut self, now: Instant) -> Option<u64> {
        let may_renew = self.may_renew(now) && !self.has_unclaimed() && self.is_answering(now);
        may_renew.then(|| self.extend_lease(now)).flatten()
    }

    /// The end of the lease that a start takes now: one that may not extend the lease runs in what is
    /// left of it.
    fn take_start_lease(&mut self, now: Instant) -> Option<u64> {
        if !self.is_answering(now) {
            return None;
        }
        match self.may_renew(now) {
            true => self.extend_lease(now),
            false => {
                let least_ms = self.clock_ms(now)? + self.settings.start_lease_min_ms;
                Some(self.granted_until_ms).filter(|until_ms| *until_ms >= least_ms)
            }
        }
    }

    /// Whether the instance has answered lately. One that doesn't may carry out all the same what it
    /// is told, so nothing more is started there and no lease renewed until it answers.
    fn is_answering(&self, now: Instant) -> bool {
        now <= self.answered_at + DurationMs::new(self.settings.answer_patience_ms)
    }

    /// Notes that an instance is lost that has not answered for longer than any lease lasts that
    /// may have been extended.
    pub fn lose_silent_instance(&mut self, now: Instant) -> InstanceChange {
        let margin = DurationMs::new(self.settings.stop_ms + LEASE_MARGIN_MS);
        let lapsed = now > self.leased_at + self.longest_lease() + margin;
        match lapsed && !self.is_answering(now) {
            true => self.instance_lost(now),
            false => InstanceChange::None,
        }
    }

    /// The longest true time that a lease lasts.
    pub fn longest_lease(&self) -> DurationMs {
        longest_lease(self.settings.lease_ms)
    }

    /// Takes what owners must be told.
    pub fn take_outbox(&mut self) -> Vec<(Owner, RunOutcome)> {
        std::mem::take(&mut self.outbox)
    }

    /// What an owner needs to know to order more.
    pub fn room(&self, now: Instant, owner: Owner) -> LoadReport {
        let free = match (self.instance(), self.has_unclaimed()) {
            (Some(instance), false) => instance
                .capacity
                .saturating_sub(&self.used)
                .saturating_sub(&self.queued_needs),
            _ => Resources::default(),
        };
        let state = self.owners.get(&owner);
        LoadReport {
            free,
            queued_work: self.queued_work,
            slowest_percent: self.slowest_percent(now),
            owners: u32::try_from(self.owners.len()).unwrap_or(u32::MAX),
            last_order: state.map_or(0, |state| state.last_order),
        }
    }

    /// How long the slowest run has taken against what was expected, in per cent.
    fn slowest_percent(&self, now: Instant) -> u32 {
        let percent =
            |entry: &Entry| entry.took_ms(now) * 100 / entry.expected_ms.max(SHORT_RUN_MS);
        let known = self.table.values().filter(|entry| entry.expected_ms > 0);
        let slowest = known.map(percent).max().unwrap_or(0);
        u32::try_from(slowest).unwrap_or(u32::MAX)
    }

    /// Whether something runs whose needs aren't known.
    fn has_unclaimed(&self) -> bool {
        self.table.values().any(|entry| entry.needs.is_none())
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
        let runs_lost = self.note_life(now, born_ms);
        self.beat_sequence = beat.sequence;
        if runs_lost || !same_life {
            self.clock = None;
        }
        // A clock reading from a beat may be old: a listing's is preferred.
        if self.clock.is_none() {
            self.note_clock(now, beat.clock_ms);
        }
        let changed = self.instance.as_ref() != Some(&beat.instance);
        let draining = beat.instance.draining;
        self.instance = Some(beat.instance);
        if draining {
            self.refuse_queue(RefusalReason::NoInstance);
        }
        match (runs_lost, changed) {
            (true, _) => InstanceChange::RunsLost,
            (false, true) => InstanceChange::Updated,
            (false, false) => InstanceChange::None,
        }
    }

    /// Takes over what an earlier process knew of the instance, unless the instance has spoken for
    /// itself since or is in another life.
    pub fn take_noted(&mut self, noted: InstanceReport) -> InstanceChange {
        let same_life = self.life == Some(noted.id.born_ms) && noted.id.born_ms > 0;
        match self.instance {
            None if same_life && self.reachable => {
                self.instance = Some(noted);
                InstanceChange::Updated
            }
            _ => InstanceChange::None,
        }
    }

    /// Notes that the instance is gone, or has been silent for longer than any lease lasts.
    pub fn instance_lost(&mut self, now: Instant) -> InstanceChange {
        let was_there = self.reachable || !self.table.is_empty();
        self.reachable = false;
        self.forget_runs(now);
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
                self.refuse_queue(RefusalReason::NoInstance);
                InstanceChange::Updated
            }
            _ => InstanceChange::None,
        }
    }

    /// Whether orders for this life of the instance can be carried out.
    fn takes_starts_for(&self, meant: &Option<InstanceId>) -> bool {
        match (self.instance(), meant) {
            (Some(instance), Some(meant)) => instance.id == *meant && !instance.draining,
            (None, _) | (_, None) => false,
        }
    }

    /// Notes which life of the instance speaks; true when it is another than before.
    fn note_life(&mut self, now: Instant, born_ms: u64) -> bool {
        let another = self.life.is_some_and(|life| life != born_ms);
        if self.life != Some(born_ms) {
            self.life = Some(born_ms);
            self.ends.clear();
            self.settled = 0;
            self.beat_sequence = 0;
            self.granted_until_ms = 0;
        }
        if another {
            self.forget_runs(now);
            self.reachable = false;
            self.clock = None;
        }
        another
    }

    fn note_clock(&mut self, at: Instant, clock_ms: u64) {
        self.clock = Some(ClockReading { clock_ms, at });
    }

    /// Notes that nothing runs any more.
    fn forget_runs(&mut self, now: Instant) {
        let table = std::mem::take(&mut self.table);
        self.used = Resources::default();
        self.stop_retries.clear();
        self.unclaimed_since = None;
        for (task, entry) in table {
            let report = RunReport {
                task,
                run: entry.run,
                end: Some(RunEnd::Lapsed),
                took_ms: entry.took_ms(now),
            };
            self.note_over(now, entry.owner, report, None);
        }
        self.refuse_queue(RefusalReason::NoInstance);
    }

    /// Remembers an end and tells the owner of it.
    fn note_over(
        &mut self,
        now: Instant,
        owner: Option<Owner>,
        report: RunReport,
        number: Option<u64>,
    ) {
        let kept = DurationMs::new(self.settings.remember_ends_ms);
        while self
            .recent_ends
            .front()
            .is_some_and(|(at, _)| now > *at + kept)
        {
            self.recent_ends.pop_front();
        }
        self.recent_ends.push_back((now, report));
        if let Some(owner) = owner {
            self.outbox.push((owner, RunOutcome::Ended(report, number)));
        }
    }

    fn insert(&mut self, task: TaskKey, entry: Entry) {
        if let Some(needs) = self.table.insert(task, entry).and_then(|e| e.needs) {
            self.used.subtract(&needs);
        }
        if let Some(needs) = entry.needs {
            self.used.add(&needs);
        }
    }

    fn remove(&mut self, task: TaskKey) -> Option<Entry> {
        let entry = self.table.remove(&task)?;
        self.stop_retries.remove(&task);
        if let Some(needs) = entry.needs {
            self.used.subtract(&needs);
        }
        Some(entry)
    }

    fn note_running(&mut self, now: Instant, task: TaskKey) {
        if let Some(entry) = self.table.get_mut(&task) {
            entry.phase = Phase::Running(now);
            entry.began_at.get_or_insert(now);
        }
    }

    fn set_phase(&mut self, task: TaskKey, phase: Phase) {
        if let Some(entry) = self.table.get_mut(&task) {
            entry.phase = phase;
        }
    }
}
