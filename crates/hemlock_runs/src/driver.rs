//! The border to an instance's own interface.

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use hemlock_dispatch::prelude::{RefusalReason, RunEnd};
use hemlock_jobs::prelude::{RunNumber, TaskKey};

/// Starts a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// What the task gets to know.
    pub payload: Bytes,
    /// Until when everything at the instance may run, on the instance's clock, in milliseconds. The
    /// instance refuses the start after that time.
    pub lease_until_ms: u64,
    /// The session's fencing number.
    pub fence: u64,
}

/// What became of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The run is there.
    Started,
    /// The instance refused, and nothing runs by this call.
    Refused(RefusalReason),
    /// The instance has seen a higher fencing number.
    Fenced,
    /// No answer: the call may have been carried out, or may be later.
    Unanswered,
}

/// Stops a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The session's fencing number.
    pub fence: u64,
}

/// What became of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// The run ends shortly, or never begins.
    Accepted,
    /// The instance has seen a higher fencing number.
    Fenced,
    /// No answer.
    Unanswered,
}

/// Renews the lease and asks what runs and what has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListCall {
    /// The session's fencing number.
    pub fence: u64,
    /// The new end of the lease, on the instance's clock, in milliseconds.
    pub lease_until_ms: Option<u64>,
    /// Ends up to this number are settled, and may be forgotten.
    pub settled: u64,
    /// How long the instance may wait for an end before it answers, in milliseconds.
    pub wait_ms: u64,
    /// Time to the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// A run that goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
}

/// A run that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// Its number among all ends of this life of the instance, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
}

/// What an instance says of its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The instance's clock, in milliseconds.
    pub clock_ms: u64,
    /// When the instance was started, in Unix milliseconds; zero when it doesn't say.
    pub born_ms: u64,
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What has ended and isn't settled, the oldest first.
    pub ended: Vec<ListedEnd>,
    /// Whether these are all ends that aren't settled: an instance lists only so many at once.
    pub all_ended: bool,
}

/// Why an instance gave no listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFault {
    /// Nobody listens at its address: the instance is gone.
    Gone,
    /// Another life of the instance answered: the one asked is gone.
    OtherInstance,
    /// It has seen a higher fencing number.
    Fenced,
    /// No answer, or none that can be understood.
    Unanswered,
}

/// Calls one instance.
pub trait InstanceDriver {
    /// Starts a run.
    fn start(&self, call: StartCall) -> LocalBoxFuture<'static, StartResult>;

    /// Stops a run.
    fn stop(&self, call: StopCall) -> LocalBoxFuture<'static, StopResult>;

    /// Renews the lease and lists the runs.
    fn list(&self, call: ListCall) -> LocalBoxFuture<'static, Result<Listing, ListFault>>;

    /// Names the life of the instance that later calls are meant for; `None` for whichever is there.
    fn set_target(&self, name: Option<String>);
}
