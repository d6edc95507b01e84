//! Calls that the agent makes to its instance, and the trait that a transport implements for them.

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use hemlock_dispatch::prelude::{RefusalReason, RunEnd};
use hemlock_jobs::prelude::{RunNumber, TaskKey};

/// Request to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// Task that the run executes.
    pub task: TaskKey,
    /// Number of the run among the task's runs.
    pub run: RunNumber,
    /// Input that is passed to the task.
    pub payload: Bytes,
    /// End of the lease on the instance's clock, in milliseconds. The lease covers all runs at the
    /// instance, and the instance refuses the start after it has ended.
    pub lease_until_ms: u64,
    /// Fencing token of the agent's process; the instance rejects calls with a token lower than the
    /// highest that it has seen.
    pub fence: u64,
}

/// Result of a [`StartCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The run has started, by this call or an earlier copy of it.
    Started,
    /// The instance refused the start; this call does not start a run, now or later.
    Refused(RefusalReason),
    /// The call was rejected because the instance has seen a higher fencing token.
    Fenced,
    /// No usable answer arrived: the start may have been executed, or may still be executed later.
    Unanswered,
}

/// Request to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopCall {
    /// Task that the run executes.
    pub task: TaskKey,
    /// Number of the run among the task's runs.
    pub run: RunNumber,
    /// Fencing token of the agent's process; the instance rejects calls with a token lower than the
    /// highest that it has seen.
    pub fence: u64,
}

/// Result of a [`StopCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopResult {
    /// The run ends shortly, or will not start if its start is still on the way.
    Accepted,
    /// The call was rejected because the instance has seen a higher fencing token.
    Fenced,
    /// No usable answer arrived: the stop may or may not have been executed.
    Unanswered,
}

/// Request to renew the lease and to list the running and the ended runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListCall {
    /// Fencing token of the agent's process; the instance rejects calls with a token lower than the
    /// highest that it has seen.
    pub fence: u64,
    /// Start time of the incarnation that the numbers of ends and the clock below belong to, in Unix
    /// milliseconds; `None` if it is unknown. They mean nothing to any other incarnation, although
    /// it may have the same name and accept the call.
    pub born_ms: Option<u64>,
    /// New end of the lease on the instance's clock, in milliseconds; `None` leaves the lease as it
    /// is.
    pub lease_until_ms: Option<u64>,
    /// The instance may discard ends up to this number: they are recorded or need no record.
    pub settled: u64,
    /// Longest time that the instance may wait for a run to end before it answers, in milliseconds.
    pub wait_ms: u64,
    /// Time after which the call counts as unanswered, in milliseconds.
    pub timeout_ms: u64,
}

impl ListCall {
    /// The same call without what belongs to an incarnation, for one that may be another: it renews
    /// no lease, lets the instance forget no end, and is answered at once.
    #[must_use]
    pub fn to_any_incarnation(self) -> Self {
        Self {
            lease_until_ms: None,
            settled: 0,
            wait_ms: 0,
            ..self
        }
    }
}

/// A running run in a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// Task that the run executes.
    pub task: TaskKey,
    /// Number of the run among the task's runs.
    pub run: RunNumber,
}

/// An ended run in a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// Sequence number of the end, counted from 1 since the instance was started.
    pub number: u64,
    /// Task that the run executes.
    pub task: TaskKey,
    /// Number of the run among the task's runs.
    pub run: RunNumber,
    /// Cause of the end.
    pub end: RunEnd,
}

/// An instance's answer to a [`ListCall`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Current time on the instance's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start time of the instance, in Unix milliseconds; zero if the instance does not report it.
    pub born_ms: u64,
    /// Runs in progress.
    pub running: Vec<ListedRun>,
    /// Ends with numbers above [`ListCall::settled`], the oldest first.
    pub ended: Vec<ListedEnd>,
    /// Whether `ended` is complete: an instance limits the number of ends in one listing.
    pub ended_complete: bool,
    /// Tasks that are named by an entry whose run can't be read. Whether they run is unknown.
    pub unclear: Vec<TaskKey>,
    /// Number of entries that were left out because they can't be used.
    pub unusable: usize,
}

/// Reason why a [`ListCall`] returned no listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListError {
    /// Nothing listens at the instance's address: its process has exited, and its runs with it.
    Gone,
    /// Another instance answered at the address: the one that the call was meant for has exited.
    OtherInstance,
    /// The call was rejected because the instance has seen a higher fencing token.
    Fenced,
    /// No answer arrived, or one that could not be decoded.
    Unanswered,
}

/// Transport for the calls to one instance.
pub trait InstanceDriver {
    /// Sends a request to start a run.
    fn start(&self, call: StartCall) -> LocalBoxFuture<'static, StartResult>;

    /// Sends a request to stop a run.
    fn stop(&self, call: StopCall) -> LocalBoxFuture<'static, StopResult>;

    /// Sends a request to renew the lease and to list the runs.
    fn list(&self, call: ListCall) -> LocalBoxFuture<'static, Result<Listing, ListError>>;

    /// Requests a listing from the instance `name`, whatever the target is. It neither renews the
    /// lease nor discards ends. Another instance at the address answers with
    /// [`ListError::OtherInstance`].
    fn identify(
        &self,
        name: String,
        fence: u64,
    ) -> LocalBoxFuture<'static, Result<Listing, ListError>>;

    /// Sets the name of the instance that later calls are meant for, so that another instance at
    /// the address rejects them; `None` accepts any instance.
    fn set_target(&self, name: Option<String>);
}
