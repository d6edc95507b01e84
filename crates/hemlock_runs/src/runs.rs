//! State of the runs at one instance, of the owners that order them, and of the instance's lease.

mod clock_offset;
mod crashes;
mod incarnation;
mod lease;
mod listing;
mod orders;
mod owners;
mod ownership;
mod postponement;
mod queue;
mod start_limit;

use clock_offset::ClockOffset;
use crashes::CrashReports;
use incarnation::IncarnationState;
pub use incarnation::{Confirmation, Heartbeat, HeartbeatOutcome, InstanceChange};
pub use owners::Claim;
pub use ownership::OwnershipChange;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hemlock_dispatch::prelude::{
    InstanceReport, LoadReport, REPORTED_ENDS, RefusalReason, RunEnd, RunReport, SessionId,
    URGENCY_LEVELS,
};
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use crate::breaker::Breaker;
use crate::driver::{StartCall, StopCall};
use crate::pace::Pace;
use crate::shares::Shares;
use crate::tracked_run::{Owner, Phase, QueuePosition, QueuedStart, TrackedRun};
use start_limit::ColdPhase;

/// Lower bound for a run's expected duration when its slowness is calculated, in milliseconds: the
/// delay before an end is reported would make shorter runs look slow.
const MIN_EXPECTED_MS: u64 = 50;
/// Increase of the fencing token of a new process after the instance has reported a higher one. The
/// tokens are wall-clock times in milliseconds, so a clock that was set back is overtaken soon.
const FENCE_STEP: u64 = 60_000;

/// Timeouts and lease durations of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunsSettings {
    /// Time for which the leader's runs continue after its last confirmation, counted from the
    /// sending of the confirmed request, in milliseconds.
    pub leader_authority_ms: u64,
    /// Time for which a gateway's runs continue after it was last heard from, in milliseconds.
    pub gateway_timeout_ms: u64,
    /// Time that a gateway whose connection has closed has to reconnect, in milliseconds.
    pub reconnect_timeout_ms: u64,
    /// Shortest time after the last sign of a gateway after which its callers may have submitted
    /// their jobs through another one, in milliseconds. No lease lets a gateway's run go on longer,
    /// also if this process is lost or its stops have no effect.
    pub resubmit_ms: u64,
    /// Time in which owners must claim the runs that an earlier process started, in milliseconds:
    /// live owners reconnect within a few tenths of a second.
    pub claim_timeout_ms: u64,
    /// Time after the last answered listing, in milliseconds, after which the agent neither renews
    /// the lease nor starts runs.
    pub answer_timeout_ms: u64,
    /// Duration of a lease on the instance's clock, in milliseconds.
    pub lease_ms: u64,
    /// Longest time from the acceptance of a stop to the end of the run, in milliseconds.
    pub max_stop_ms: u64,
    /// Time that must be left of the lease for a start that cannot extend it, in milliseconds: most
    /// tasks end in that time, or the lease can be extended before it ends.
    pub min_start_lease_ms: u64,
    /// Time for which the end of a run is remembered for an owner that reconnects, in milliseconds.
    pub end_retention_ms: u64,
}

impl Default for RunsSettings {
    fn default() -> Self {
        Self {
            leader_authority_ms: 2_000,
            gateway_timeout_ms: 850,
            reconnect_timeout_ms: 200,
            resubmit_ms: 1_300,
            claim_timeout_ms: 400,
            answer_timeout_ms: 500,
            lease_ms: 1_000,
            max_stop_ms: 50,
            min_start_lease_ms: 300,
            end_retention_ms: 3_000,
        }
    }
}

/// What a process does after the instance has rejected its fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceAction {
    /// Makes its calls again with the raised token.
    Retry,
    /// Ends, because a later process has taken over the instance.
    StepDown,
}

/// A call that the agent must now make to the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DriverCall {
    /// Request to start a run.
    Start(StartCall),
    /// Request to stop a run.
    Stop(StopCall),
}

/// A start that was not executed and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RefusedStart {
    /// Task that was to be started.
    pub task: TaskKey,
    /// Number of the run among the task's runs.
    pub run: RunNumber,
    /// Reason of the refusal.
    pub reason: RefusalReason,
}

/// How an instance was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// Its process has exited.
    Exit,
    /// It has not answered for longer than any lease lasts, so its runs have ended.
    Silent,
}

/// Outcome of an order that its owner must be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// A run has ended. The number is that of the end in the instance's listing; `None` if the end
    /// was inferred without one.
    Ended(RunReport, Option<u64>),
    /// A start was not executed.
    Refused(RefusedStart),
}

/// State of an owner's session with the agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerState {
    /// Current session; orders from any other session are refused.
    pub(crate) session: SessionId,
    /// Time of the owner's last sign: for the leader, the sending time of the last request that it
    /// confirmed, or of the first registration if it has confirmed none; for a gateway, the time at
    /// which its last message was sent, as far as is known, or at which its session began.
    pub(crate) last_heard: Instant,
    /// Time at which the last order or ping of a gateway was sent, as far as is known. The begin of a
    /// session doesn't count, because its message may have been on its way for long.
    pub(crate) last_sign: Option<Instant>,
    /// Time at which the session's connection closed; `None` while it is open.
    pub(crate) closed_at: Option<Instant>,
    /// Highest sequence number of the orders handled in this session.
    pub(crate) last_order: u64,
}

/// The number of a listed end, and the run that has ended.
type EndKey = (u64, TaskKey, RunNumber);

/// An end that the instance has listed under a number and that is not yet discarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NumberedEnd {
    pub(crate) report: RunReport,
    pub(crate) owner: Option<Owner>,
    /// Whether the run was known, or may be one that an earlier process ordered. Any other end may
    /// be of another writer.
    pub(crate) is_expected: bool,
    /// Same as [`TrackedRun::is_certain`] when the run ended, and until now.
    pub(crate) is_certain: bool,
    /// Whether the end is recorded or needs no record.
    pub(crate) settled: bool,
    /// Whether a leader may have been told of the end.
    pub(crate) reported: bool,
    /// Whether the lease has lapsed since the end was listed. The leader may then start the task
    /// elsewhere, so the end is no longer a reason to withhold the lease's renewal.
    pub(crate) lease_lapsed: bool,
}

/// Time on the instance's clock at a point on the agent's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock_ms: u64,
    at: Instant,
}

/// The runs at one instance, as far as its agent knows them.
///
/// The methods are driven by events and the current time. They perform no I/O: calls to the
/// instance are returned, and outcomes for the owners are collected until [`Runs::take_outbox`].
#[derive(Debug)]
pub struct Runs {
    settings: RunsSettings,
    fence: u64,
    /// Whether the instance has accepted the fencing token.
    fence_accepted: bool,
    owners: BTreeMap<Owner, OwnerState>,
    /// Gateways without a session whose runs may not be over, with the time of their last sign.
    departed: BTreeMap<Owner, Instant>,
    /// What is known of the clocks of gateways.
    clock_offsets: BTreeMap<Owner, ClockOffset>,
    /// Sending time of the last request of this process that a leader has confirmed.
    leader_confirmed_at: Option<Instant>,
    shares: Shares,
    instance: Option<InstanceReport>,
    /// Failure domains in which nothing is started.
    evacuations: Evacuations,
    cold: ColdPhase,
    incarnation: IncarnationState,
    /// Pace of the current incarnation of the instance.
    pace: Pace,
    /// Whether the instance has answered a listing since it was started or last lost.
    reachable: bool,
    clock: Option<ClockReading>,
    /// Latest end of a lease sent to the instance, on the instance's clock, in milliseconds.
    lease_until_max_ms: u64,
    table: BTreeMap<TaskKey, TrackedRun>,
    /// Sum of the resources of the runs in `table`, without unclaimed runs.
    used: Resources,
    /// Tasks of `queued` in the order in which they are started.
    queue_order: BTreeSet<QueuePosition>,
    queued: BTreeMap<TaskKey, QueuedStart>,
    /// Sum of the resources of the starts in `queued`.
    queued_needs: Resources,
    /// Work of the queued starts by level of urgency, in thousandths of a core times milliseconds.
    queued_work: [u64; URGENCY_LEVELS],
    /// Listed ends with numbers above `settled`. Another writer may have used the number of an end.
    ends: BTreeMap<EndKey, NumberedEnd>,
    /// Number up to which all ends are settled.
    settled: u64,
    /// Suspends the instance for all owners while it fails what it runs.
    breaker: Breaker,
    /// Ends of the last few seconds, for owners that reconnect.
    recent_ends: VecDeque<(Instant, RunReport)>,
    /// Crashes of the instance that are still to be recorded.
    crashes: CrashReports,
    /// Outcomes that their owners are still to be told.
    outbox: Vec<(Owner, RunOutcome)>,
    /// Changes in the ownership of runs that are still to be logged.
    ownership_changes: Vec<OwnershipChange>,
    /// Tasks whose stop failed and must be sent again.
    stop_retries: BTreeSet<TaskKey>,
    /// Time since which runs of an earlier process wait for their owners to claim them.
    unclaimed_since: Option<Instant>,
    /// Whether the runs that earlier processes left at the instance are known.
    runs_known: bool,
    /// Sending time of the latest listing request that was answered.
    last_answered_request_at: Instant,
    /// Time of the last call that may have extended the lease, answered or not.
    lease_extended_at: Instant,
}

impl Runs {
    /// Creates the state without an instance, owners or runs.
    ///
    /// The fencing token `fence` must be higher than that of any earlier agent process of the
    /// instance. Such a process may have renewed leases until `now`.
    pub fn new(settings: RunsSettings, fence: u64, now: Instant) -> Self {
        Self {
            settings,
            fence,
            fence_accepted: false,
            owners: BTreeMap::new(),
            departed: BTreeMap::new(),
            clock_offsets: BTreeMap::new(),
            leader_confirmed_at: None,
            shares: Shares::default(),
            instance: None,
            evacuations: Evacuations::default(),
            cold: ColdPhase::default(),
            incarnation: IncarnationState::default(),
            pace: Pace::default(),
            reachable: false,
            clock: None,
            lease_until_max_ms: 0,
            table: BTreeMap::new(),
            used: Resources::default(),
            queue_order: BTreeSet::new(),
            queued: BTreeMap::new(),
            queued_needs: Resources::default(),
            queued_work: [0; URGENCY_LEVELS],
            ends: BTreeMap::new(),
            settled: 0,
            breaker: Breaker::default(),
            recent_ends: VecDeque::new(),
            crashes: CrashReports::default(),
            outbox: Vec::new(),
            ownership_changes: Vec::new(),
            stop_retries: BTreeSet::new(),
            unclaimed_since: None,
            runs_known: false,
            last_answered_request_at: now,
            lease_extended_at: now,
        }
    }

    /// Whether the runs that earlier processes left at the instance are known. Until then, no owner
    /// can be told the state of its runs.
    pub fn knows_runs(&self) -> bool {
        self.runs_known
    }

    /// Tells that the longest lease has passed since this process started without renewing any, so
    /// that all runs of earlier processes have ended.
    pub fn note_leases_expired(&mut self) {
        self.runs_known = true;
    }

    /// The fencing token for all calls to the instance.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Handles the rejection of a call because the instance has seen a higher fencing token.
    ///
    /// A new process raises its token until the instance accepts it, because the clock that the
    /// token was taken from may have been set back. A process whose token was accepted before was
    /// paused or cut off and has been replaced meanwhile. Raising its token would let it take the
    /// instance back from its successor.
    pub fn handle_fenced(&mut self) -> FenceAction {
        if self.fence_accepted {
            return FenceAction::StepDown;
        }
        self.fence += FENCE_STEP;
        FenceAction::Retry
    }

    /// The instance's latest report, while the instance is reachable.
    pub fn instance(&self) -> Option<&InstanceReport> {
        self.instance.as_ref().filter(|_| self.reachable)
    }

    /// Whether the instance has answered a listing since it was started or last lost.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// The number of runs that count against the instance's capacity.
    pub fn running(&self) -> usize {
        self.table.len()
    }

    /// The resources that a task's run takes at the instance, if they are known.
    pub fn capacity_of(&self, task: TaskKey) -> Option<Resources> {
        self.table.get(&task)?.needs
    }

    /// The resources that all runs take together.
    pub fn used(&self) -> &Resources {
        &self.used
    }

    /// The number of starts that wait for free capacity.
    pub fn waiting(&self) -> usize {
        self.queued.len()
    }

    /// The number up to which all ends are settled, so that the instance may discard them. An end
    /// is settled once it is recorded or needs no record.
    pub fn settled(&self) -> u64 {
        self.settled
    }

    /// Whether the instance has not been told to forget an end. It would repeat it in the next
    /// listing without waiting for another end.
    pub fn has_unsettled_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Removes and returns the outcomes that owners must be told.
    pub fn take_outbox(&mut self) -> Vec<(Owner, RunOutcome)> {
        let outcomes = std::mem::take(&mut self.outbox);
        for (owner, outcome) in &outcomes {
            match outcome {
                RunOutcome::Ended(report, number) if *owner == Owner::Leader => {
                    let key = number.map(|number| (number, report.task, report.run));
                    let ended = key.and_then(|key| self.ends.get_mut(&key));
                    ended.into_iter().for_each(|ended| ended.reported = true);
                    self.crashes.note_reported(report);
                }
                RunOutcome::Ended(..) | RunOutcome::Refused(_) => {}
            }
        }
        outcomes
    }

    /// Like [`Runs::take_outbox`], for the gateways only.
    ///
    /// What happens after the leader's inventory was taken and before the leader has adopted it is
    /// in neither that inventory nor the next one, so it waits for the adoption.
    pub fn take_gateway_outbox(&mut self) -> Vec<(Owner, RunOutcome)> {
        let outcomes = std::mem::take(&mut self.outbox).into_iter();
        let (to_leader, to_gateways) = outcomes.partition(|(owner, _)| *owner == Owner::Leader);
        self.outbox = to_leader;
        to_gateways
    }

    /// The instance's load and free capacity, as an owner needs them for further orders.
    pub fn load_report(&self, now: Instant, owner: Owner) -> LoadReport {
        let free = match (self.instance(), self.has_unclaimed()) {
            (Some(instance), false) if instance.capacity.fits(&self.used) => instance
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
            share_cpu_milli: self.share_cpu_milli(now, owner),
            pace_percent: self.pace.percent(),
            suspended: !self.breaker.admits(),
            last_order: state.map_or(0, |state| state.last_order),
            next_ends_ms: self.next_ends_ms(now),
            withheld_percent: self.withheld_percent(now),
        }
    }

    /// The CPU of the instance that the owner may count on, in milli-cores.
    fn share_cpu_milli(&self, now: Instant, owner: Owner) -> u64 {
        let capacity = self.instance().map_or(0, |i| i.capacity.cpu_milli);
        let owners = self.owners.len();
        self.shares.share_cpu_milli(now, owner, owners, capacity)
    }

    /// The shares of all owners, the largest first, in milli-cores.
    pub fn shares(&self, now: Instant) -> Vec<(Owner, u64)> {
        let owners = self.owners.keys();
        let share = |owner: &Owner| (*owner, self.share_cpu_milli(now, *owner));
        let mut shares: Vec<(Owner, u64)> = owners.map(share).collect();
        shares.sort_unstable_by_key(|(owner, share)| (std::cmp::Reverse(*share), *owner));
        shares
    }

    /// The CPU that the recent work of all owners takes, in milli-cores.
    pub fn demand_cpu_milli(&self, now: Instant) -> u64 {
        self.shares.total_cpu_milli(now)
    }

    /// Expected times until the next runs end, in ascending order.
    fn next_ends_ms(&self, now: Instant) -> [u32; REPORTED_ENDS] {
        let mut left_ms: Vec<u64> = self.table.values().map(|run| run.left_ms(now)).collect();
        left_ms.sort_unstable();
        let mut next = [0; REPORTED_ENDS];
        for (next, left_ms) in next.iter_mut().zip(left_ms) {
            *next = u32::try_from(left_ms).unwrap_or(u32::MAX);
        }
        next
    }

    /// The highest ratio of elapsed to expected duration among the runs, in percent.
    fn slowest_percent(&self, now: Instant) -> u32 {
        let percent = |tracked: &TrackedRun| {
            tracked.elapsed_ms(now) * 100 / tracked.expected_ms.max(MIN_EXPECTED_MS)
        };
        let known = self
            .table
            .values()
            .filter(|tracked| tracked.expected_ms > 0);
        let slowest = known.map(percent).max().unwrap_or(0);
        u32::try_from(slowest).unwrap_or(u32::MAX)
    }

    /// Whether the resources of a run are unknown because its owner has not claimed it.
    fn has_unclaimed(&self) -> bool {
        self.table.values().any(|tracked| tracked.needs.is_none())
    }

    /// Remembers an end and reports it to the owner.
    fn report_end(
        &mut self,
        now: Instant,
        owner: Option<Owner>,
        report: RunReport,
        number: Option<u64>,
    ) {
        let retention = DurationMs::new(self.settings.end_retention_ms);
        while self
            .recent_ends
            .front()
            .is_some_and(|(at, _)| now > *at + retention)
        {
            self.recent_ends.pop_front();
        }
        self.recent_ends.push_back((now, report));
        self.note_outcome(now, report.task, report.end);
        if let Some(owner) = owner {
            self.outbox.push((owner, RunOutcome::Ended(report, number)));
        }
    }

    /// Notes what an end tells about the health of the instance.
    fn note_outcome(&mut self, now: Instant, task: TaskKey, end: Option<RunEnd>) {
        match end {
            Some(RunEnd::Done) => self.breaker.record_success(task),
            Some(RunEnd::Failed | RunEnd::Stalled) => self.note_failure(now, task),
            _ => self.breaker.record_other_end(task),
        }
    }

    /// Notes a failure for which the instance may be the cause. Queued starts of a suspended
    /// instance are refused, so that their owners place them elsewhere at once.
    fn note_failure(&mut self, now: Instant, task: TaskKey) {
        if self.breaker.record_failure(now, task) {
            self.refuse_queue(RefusalReason::Suspended);
        }
    }

    /// Whether the instance is given no work because it has failed what it ran.
    pub fn is_suspended(&self) -> bool {
        !self.breaker.admits()
    }

    fn insert(&mut self, task: TaskKey, tracked: TrackedRun) {
        if let Some(needs) = self.table.insert(task, tracked).and_then(|e| e.needs) {
            self.used.subtract(&needs);
        }
        if let Some(needs) = tracked.needs {
            self.used.add(&needs);
        }
    }

    fn remove(&mut self, task: TaskKey) -> Option<TrackedRun> {
        let tracked = self.table.remove(&task)?;
        self.stop_retries.remove(&task);
        if let Some(needs) = tracked.needs {
            self.used.subtract(&needs);
        }
        Some(tracked)
    }

    fn mark_running(&mut self, now: Instant, task: TaskKey) {
        if let Some(tracked) = self.table.get_mut(&task) {
            tracked.phase = Phase::Running(now);
            tracked.end_if_unanswered = None;
            tracked.started_at.get_or_insert(now);
        }
    }

    fn set_phase(&mut self, task: TaskKey, phase: Phase) {
        if let Some(tracked) = self.table.get_mut(&task) {
            tracked.phase = phase;
        }
    }
}
