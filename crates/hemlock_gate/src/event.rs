//! Input events and output actions of a gate.

use derive_more::{Display, From, Into};
use hemlock_types::prelude::*;

use crate::arena::Key;
use crate::endpoint::Offer;

/// Id of a connection of an entry; unique within an agent's incarnation.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Id of a call that waits for an answer; unique within an agent's incarnation.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash)]
pub struct CallId(pub u64);

/// Id of one run of a task at the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey(pub(crate) Key);

/// Input of a gate.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry has connected.
    Opened {
        /// The connection.
        link: LinkId,
        /// Incarnation of the entry.
        entry: Incarnation,
    },
    /// A connection is closed. The tasks that were started through it continue.
    Closed {
        /// The connection.
        link: LinkId,
    },
    /// The entry has missed several heartbeats in a row on a connection.
    Unresponsive {
        /// The connection.
        link: LinkId,
    },
    /// The entry answers heartbeats again on a connection that was unresponsive.
    Responsive {
        /// The connection.
        link: LinkId,
    },
    /// A heartbeat on a connection was answered.
    RoundTrip {
        /// The connection.
        link: LinkId,
        /// Time from sending the heartbeat to its answer, in microseconds.
        micros: u64,
    },
    /// The endpoint instance is announced, for the first time or again.
    Announced(Offer),
    /// The announcement of the endpoint instance is withdrawn.
    Withdrawn,
    /// The endpoint instance refused a connection.
    Unreachable,
    /// The endpoint instance accepted a connection.
    Reached,
    /// A planned stop covers the endpoint instance.
    Drain,
    /// No planned stop covers the endpoint instance any more.
    Lift,
    /// The agent begins to stop: no new work starts, and running tasks finish.
    Stop,
    /// An entry requests the start of a task; answered by [`Action::Settle`].
    Start {
        /// The connection.
        link: LinkId,
        /// The request.
        spec: TaskSpec,
    },
    /// An entry has `count` tasks waiting for slots; answered by [`Action::Granted`].
    Want {
        /// The connection.
        link: LinkId,
        /// The call to answer.
        call: CallId,
        /// Number of waiting tasks; replaces the number that was reported before.
        count: u16,
    },
    /// An entry fences a submission; answered by [`Action::Fenced`] or
    /// [`Action::FenceRefused`].
    Fence {
        /// The call to answer.
        call: CallId,
        /// The submission.
        submission: SubmissionId,
        /// Lowest epoch under which its tasks may start from now on.
        epoch: Epoch,
    },
    /// An entry cancels requests to start tasks; answered by [`Action::Cancelled`].
    Cancel {
        /// The connection.
        link: LinkId,
        /// The call to answer.
        call: CallId,
        /// The requests to cancel.
        requests: Vec<RequestId>,
    },
    /// An entry has answered an [`Action::Recall`].
    Returned {
        /// The connection.
        link: LinkId,
        /// Number of credits that the recall asked for.
        asked: u16,
        /// Number of credits that the entry returned.
        slots: u16,
    },
    /// A run has ended. An outcome of `NotRun` means that the endpoint provably never received the
    /// task.
    Ended {
        /// The run.
        run: RunKey,
        /// Outcome of the run.
        outcome: Outcome,
        /// Time for which the endpoint processed the task, in microseconds.
        service_us: u64,
    },
    /// Time has passed: expired records are removed and due grants are made. See
    /// [`Gate::next_wakeup`](crate::Gate::next_wakeup).
    Tick,
}

/// Output of a gate, carried out by the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the task to the endpoint and report the end of the run with [`Event::Ended`].
    Run {
        /// The run.
        run: RunKey,
        /// Announcement of the endpoint instance, with its address.
        offer: Offer,
        /// The task.
        spec: TaskSpec,
    },
    /// Answer an [`Event::Start`].
    Settle {
        /// The connection.
        link: LinkId,
        /// The request that is answered.
        request: RequestId,
        /// Outcome of the task.
        outcome: Outcome,
        /// Time for which the endpoint processed the task, in microseconds.
        service_us: u64,
        /// Number of credits granted with the answer.
        granted: u16,
    },
    /// Answer an [`Event::Want`].
    Granted {
        /// The connection.
        link: LinkId,
        /// The call.
        call: CallId,
        /// Number of credits granted with the answer.
        slots: u16,
    },
    /// Answer an [`Event::Fence`] with every task of the submission that this gate has started.
    Fenced {
        /// The call.
        call: CallId,
        /// The tasks, in the order of their positions in the submission.
        tasks: Vec<(TaskIndex, TaskRecord)>,
    },
    /// Answer an [`Event::Fence`] that took no effect because the gate keeps records of as many
    /// submissions as it may.
    FenceRefused {
        /// The call.
        call: CallId,
    },
    /// Answer an [`Event::Cancel`], in the order of its requests.
    Cancelled {
        /// The call.
        call: CallId,
        /// Outcome for each request; `None` if its start is answered separately.
        outcomes: Vec<(RequestId, Option<Outcome>)>,
    },
    /// Grant credits to an entry in a message of their own.
    Grant {
        /// The connection.
        link: LinkId,
        /// Number of credits.
        slots: u16,
    },
    /// Ask an entry to return unused credits, and report its answer with [`Event::Returned`].
    Recall {
        /// The connection.
        link: LinkId,
        /// Largest number of credits to return.
        slots: u16,
    },
    /// Tell an entry that the endpoint takes no new work and that its credits are void.
    Leaving {
        /// The connection.
        link: LinkId,
    },
    /// No task is running after [`Event::Stop`]; the agent may exit.
    Drained,
}

/// Actions in the order in which they must be carried out.
pub type Actions = Vec<Action>;
