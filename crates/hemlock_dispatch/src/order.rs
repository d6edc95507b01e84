//! Messages between the dispatcher and the agents.

use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;
use derive_more::{Display, From, Into};
use hemlock_jobs::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies a registration of an agent with a leader. A later registration has a higher number.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct SessionId(pub u64);

/// Identifies a queue to processes that don't know its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QueueId(u64);

impl QueueId {
    /// The id of the queue with the given name.
    pub fn of(name: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// A task that is strongly suspected to have crashed an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// The task.
    pub task: TaskKey,
    /// The queue of its job.
    pub queue: QueueId,
}

/// How a run ended at its instance.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunEnd {
    /// The task is done.
    #[display("done")]
    Done,
    /// It failed.
    #[display("failed")]
    Failed,
    /// It was stopped on order.
    #[display("stopped")]
    Stopped,
    /// Its lease expired, or the instance no longer had it when asked.
    #[display("lapsed")]
    Lapsed,
    /// It was stopped because another member of its gang ended.
    #[display("broken")]
    Broken,
    /// It timed out waiting for the other members of its gang.
    #[display("alone")]
    Alone,
    /// It made no progress, and its agent stopped it.
    #[display("stalled")]
    Stalled,
    /// Its instance crashed.
    #[display("crashed")]
    Crashed(Suspicion),
}

/// An agent's report of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// How it ended; `None` while it is running.
    pub end: Option<RunEnd>,
    /// How long the agent observed it running, in milliseconds; zero if unknown.
    pub took_ms: u64,
}

/// The state of an agent's instance at the start of a session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The instance, if there is one.
    pub instance: Option<InstanceReport>,
    /// Active runs, and ended runs whose end has not been confirmed.
    pub runs: Vec<RunReport>,
    /// Those of the runs that are certain to be the latest ones of their tasks: no leader can have
    /// started the task again, because none can have taken the run for lost or been told of its end.
    pub latest_runs: Vec<(TaskKey, RunNumber)>,
}

impl Inventory {
    /// Whether the reported run is certain to be the latest one of its task.
    pub fn proves_latest(&self, report: &RunReport) -> bool {
        self.latest_runs.contains(&(report.task, report.run))
    }
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: RunNumber,
    /// The queue of the job.
    pub queue: QueueId,
    /// The job's payload, which is passed to the task.
    pub payload: Bytes,
    /// Capacity that the run takes at the instance.
    pub needs: Resources,
    /// Its urgency among the starts that wait at the instance.
    pub urgency: Urgency,
    /// Expected duration, in milliseconds.
    pub expected_ms: u64,
    /// Duration after which the run counts as stalled, in milliseconds; zero for never.
    pub stall_after_ms: u64,
}

impl StartOrder {
    /// Longest expected duration, in milliseconds: ten days, for a task of a day away from its data.
    const MAX_EXPECTED_MS: u64 = 864_000_000;
    /// Highest run number. Not all instances represent higher ones exactly.
    const MAX_RUN: RunNumber = RunNumber((1 << 53) - 1);

    /// Whether the figures are within the limits of the calculations with them.
    pub fn is_usable(&self) -> bool {
        MAX_RESOURCES.fits(&self.needs)
            && self.expected_ms <= Self::MAX_EXPECTED_MS
            && (RunNumber(1)..=Self::MAX_RUN).contains(&self.run)
    }

    /// Expected CPU time, in milli-cores times milliseconds.
    pub fn work(&self) -> u64 {
        self.needs.cpu_milli.saturating_mul(self.expected_ms)
    }
}

/// Urgency of a start among those of all owners that wait at an instance. The lowest value goes
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency {
    /// 0 if the job can be on time, 1 if it can only be late, 2 if its result is of no use.
    pub class: u8,
    /// The queue's priority.
    pub priority: u32,
    /// Time left until the job was due when the start was ordered, in milliseconds.
    pub due_in_ms: u64,
}

/// Number of urgency levels by which an instance reports its queue.
pub const URGENCY_LEVELS: usize = 4;

impl Urgency {
    /// The urgency of a new job of the given priority that can be on time.
    pub(crate) fn of_new_work(priority: u32) -> Self {
        Self {
            class: 0,
            priority,
            due_in_ms: 0,
        }
    }

    /// The level in which an instance counts a queued start: by priority if the job can be on time,
    /// the last level otherwise.
    pub fn level(&self) -> usize {
        let last = URGENCY_LEVELS - 1;
        match self.class {
            0 => usize::try_from(self.priority).map_or(last, |priority| priority.min(last)),
            _ => last,
        }
    }
}

/// Value of [`LoadReport::withheld_percent`] of an instance that gets no new starts.
pub const WITHHOLDS_ALL: u32 = 100;

/// Number of expected ends in a load report. Few starts wait at an instance at once.
pub const REPORTED_ENDS: usize = 4;

/// An instance's load as reported to one owner. An owner is a dispatcher that orders starts there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Capacity taken neither by runs nor by queued starts.
    pub free: Resources,
    /// Expected CPU time of the queued starts of all owners by urgency level, in milli-cores times
    /// milliseconds.
    pub queued_work: [u64; URGENCY_LEVELS],
    /// Elapsed time of the slowest run in percent of its expected duration.
    pub slowest_percent: u32,
    /// Number of owners that order starts at the instance.
    pub owners: u32,
    /// CPU of the instance that the owner may count on, in milli-cores.
    pub share_cpu_milli: u64,
    /// Mean ratio of the actual to the expected duration of recent runs, in percent. Zero if
    /// unknown.
    pub pace_percent: u32,
    /// Whether the instance is given no work because it has failed what it ran.
    pub suspended: bool,
    /// Sequence number of the owner's last order that the report takes into account.
    pub last_order: u64,
    /// Expected times until the next runs end, in ascending order and in milliseconds. Zero for each
    /// that is missing because fewer runs are active.
    pub next_ends_ms: [u32; REPORTED_ENDS],
    /// Percentage of the instance's capacity that gets no new starts: [`WITHHOLDS_ALL`] while its
    /// failure domain is evacuated, less while the instance is cold, otherwise zero.
    pub withheld_percent: u32,
}

impl LoadReport {
    /// Most queued work of an urgency level, in milli-cores times milliseconds. The sum of all levels
    /// stays within 64 bits.
    const MAX_QUEUED_WORK: u64 = 1 << 60;
    /// Highest pace, in percent.
    const MAX_PACE_PERCENT: u32 = 1_000_000;

    /// Whether the figures are within the limits of the calculations with them.
    pub fn is_usable(&self) -> bool {
        MAX_RESOURCES.fits(&self.free)
            && self.share_cpu_milli <= MAX_RESOURCES.cpu_milli
            && self.pace_percent <= Self::MAX_PACE_PERCENT
            && self
                .queued_work
                .iter()
                .all(|work| *work <= Self::MAX_QUEUED_WORK)
    }
}

/// An order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
}

/// A message with starts and stops for an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The agent.
    pub agent: AgentId,
    /// The session in which the order is valid.
    pub session: SessionId,
    /// Sequence number among the owner's orders to the agent.
    pub sequence: u64,
    /// The incarnation of the instance that the starts are meant for.
    pub instance: Option<InstanceId>,
    /// Runs to start.
    pub starts: Vec<StartOrder>,
    /// Runs to stop.
    pub stops: Vec<StopOrder>,
}

/// Why an agent refused a start. A refused start never leads to a run, now or later.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The instance has too little free capacity.
    #[display("no-room")]
    NoRoom,
    /// The instance is draining, gone, or not the one that the order names.
    #[display("no-instance")]
    NoInstance,
    /// The agent is in another session, or has no authority to act.
    #[display("session")]
    Session,
    /// The instance refused the start because it is unhealthy or overloaded.
    #[display("unhealthy")]
    Unhealthy,
    /// The start arrived too late, or a higher run number has been used.
    #[display("outdated")]
    Outdated,
    /// The owner withdrew the start before it was carried out.
    #[display("withdrawn")]
    Withdrawn,
    /// The instance did not answer the start, and later confirmed that the task is not running.
    #[display("unanswered")]
    Unanswered,
    /// The failure domain of the instance is evacuated.
    #[display("evacuated")]
    Evacuated,
    /// The agent gives the instance no work because it has failed what it ran.
    #[display("suspended")]
    Suspended,
}

/// How to handle the end of a run that an agent has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndAction {
    /// Record the end in the job store before confirming it.
    Record(TaskEnd),
    /// Confirm the end at once.
    Confirm,
    /// Don't confirm the end yet: a later run of the task may exist. The agent must report the end
    /// again.
    Defer,
}
