//! What passes between the dispatcher and the agents.

use bytes::Bytes;
use derive_more::{Display, From, Into};
use hemlock_jobs::prelude::*;
use serde::{Deserialize, Serialize};

/// Names one registration of an agent with one leader. A later registration has a higher number.
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
    /// Its lease ran out, or it was gone when its instance was asked.
    #[display("lapsed")]
    Lapsed,
    /// Another member of its gang ended.
    #[display("broken")]
    Broken,
    /// It waited too long for the other members of its gang.
    #[display("alone")]
    Alone,
    /// It stood still, and was stopped by its agent.
    #[display("stalled")]
    Stalled,
}

/// A run that an agent tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// How it ended; `None` while it runs.
    pub end: Option<RunEnd>,
    /// How long it ran, in milliseconds, as far as its agent saw it; zero when it didn't.
    pub took_ms: u64,
}

/// All that an agent knows of its instance at the begin of a session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The instance, if one is there.
    pub instance: Option<InstanceReport>,
    /// What runs, and what ended without having been confirmed.
    pub runs: Vec<RunReport>,
}

/// Starts one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: RunNumber,
    /// What the task gets to know.
    pub payload: Bytes,
    /// What it takes of the instance.
    pub needs: Resources,
    /// Its place among the starts that wait at the instance.
    pub urgency: Urgency,
    /// How long it should take, in milliseconds.
    pub expected_ms: u64,
    /// After how long it is taken to stand still, in milliseconds; zero for never.
    pub stall_after_ms: u64,
}

impl StartOrder {
    /// Its processor time, in thousandths of a core times milliseconds.
    pub fn work(&self) -> u64 {
        self.needs.cpu_milli * self.expected_ms
    }
}

/// Place of a start among those of all owners that wait at one instance; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency {
    /// 0 while the job can be prompt, 1 while it can be late, 2 when it serves nobody any more.
    pub class: u8,
    /// The queue's priority.
    pub priority: u32,
    /// Milliseconds that were left until the job was due when the start was ordered.
    pub due_in_ms: u64,
}

/// Levels of urgency that an instance's queue is reported in.
pub const URGENCY_LEVELS: usize = 4;

impl Urgency {
    /// The level in which the queue counts a start: by priority while its job can be prompt, and
    /// the last one otherwise.
    pub fn level(&self) -> usize {
        let last = URGENCY_LEVELS - 1;
        match self.class {
            0 => usize::try_from(self.priority).map_or(last, |priority| priority.min(last)),
            _ => last,
        }
    }
}

/// What an instance has left, as told to one owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// What neither runs nor starts that wait there take.
    pub free: Resources,
    /// Work of all owners' starts that wait there, by level of urgency, in thousandths of a core
    /// times milliseconds.
    pub queued_work: [u64; URGENCY_LEVELS],
    /// How long the slowest run there has taken against what was expected, in per cent.
    pub slowest_percent: u32,
    /// Owners that order starts there.
    pub owners: u32,
    /// The last of the owner's orders that is taken into account.
    pub last_order: u64,
}

/// Stops one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
}

/// Orders for one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The agent.
    pub agent: AgentId,
    /// The session in which the orders hold.
    pub session: SessionId,
    /// Numbers the owner's orders to the agent.
    pub sequence: u64,
    /// The life of the instance that the starts are for.
    pub instance: Option<InstanceId>,
    /// Runs to start.
    pub starts: Vec<StartOrder>,
    /// Runs to stop.
    pub stops: Vec<StopOrder>,
}

/// Why a start was not carried out. In every case nothing runs by it, now or later.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The instance has too little left.
    #[display("no-room")]
    NoRoom,
    /// The instance is leaving, gone, or another than the order was for.
    #[display("no-instance")]
    NoInstance,
    /// The agent is in another session, or may not act now.
    #[display("session")]
    Session,
    /// The instance refused because it is unhealthy or overloaded.
    #[display("unhealthy")]
    Unhealthy,
    /// The start came too late, or its run number has been passed.
    #[display("outdated")]
    Outdated,
    /// The owner took the start back before it was carried out.
    #[display("withdrawn")]
    Withdrawn,
    /// The instance gave no answer, and has since confirmed that nothing runs.
    #[display("unanswered")]
    Unanswered,
}

/// What is to be done with an end that an agent reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// It must be recorded before it is confirmed.
    Record(TaskEnd),
    /// It may be confirmed at once.
    Confirm,
}
