//! What a gate is told, and what it wants done.

use derive_more::{Display, From, Into};
use hemlock_types::prelude::*;

use crate::arena::Key;
use crate::endpoint::Offer;

/// One connection of one entry; never used twice in an agent's incarnation.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// One call that waits for an answer; never used twice in an agent's incarnation.
#[derive(Clone, Copy, Debug, Display, From, Into, PartialEq, Eq, Hash)]
pub struct CallId(pub u64);

/// One run of one task at the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey(pub(crate) Key);

/// What a gate is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry has connected.
    Opened {
        /// The connection.
        link: LinkId,
        /// The entry.
        entry: Incarnation,
    },
    /// A connection is closed. Its tasks run on.
    Closed {
        /// The connection.
        link: LinkId,
    },
    /// The other end of a connection has not answered heartbeats for a while.
    Silent {
        /// The connection.
        link: LinkId,
    },
    /// The other end of a silent connection has answered again.
    Heard {
        /// The connection.
        link: LinkId,
    },
    /// A heartbeat on a connection was answered after this time.
    RoundTrip {
        /// The connection.
        link: LinkId,
        /// From sending to the answer, in microseconds.
        micros: u64,
    },
    /// The endpoint instance is announced, for the first time or again.
    Announced(Offer),
    /// The endpoint instance is withdrawn.
    Withdrawn,
    /// The endpoint instance refused a connection.
    Unreachable,
    /// The endpoint instance took a connection.
    Reached,
    /// A planned stop covers the endpoint instance.
    Drain,
    /// The planned stop is over or was withdrawn.
    Lift,
    /// The agent is to end.
    Stop,
    /// An entry starts a task; answered by [`Action::Settle`].
    Start {
        /// The connection.
        link: LinkId,
        /// The task.
        spec: TaskSpec,
    },
    /// An entry has `count` tasks waiting for slots; answered by [`Action::Granted`].
    Want {
        /// The connection.
        link: LinkId,
        /// The call to answer.
        call: CallId,
        /// Number of waiting tasks; replaces the number told before.
        count: u16,
    },
    /// An entry fences a submission; answered by [`Action::Fenced`] or
    /// [`Action::FenceRefused`].
    Fence {
        /// The call to answer.
        call: CallId,
        /// The submission.
        submission: SubmissionId,
        /// The lowest epoch that may start its tasks from now on.
        epoch: Epoch,
    },
    /// An entry withdraws starts; answered by [`Action::Cancelled`].
    Cancel {
        /// The connection.
        link: LinkId,
        /// The call to answer.
        call: CallId,
        /// The starts.
        requests: Vec<RequestId>,
    },
    /// An entry has answered a recall.
    Returned {
        /// The connection.
        link: LinkId,
        /// Credits that were asked for.
        asked: u16,
        /// Credits that it gave back.
        slots: u16,
    },
    /// A run has ended. `NotRun` says that the endpoint provably never received it.
    Ended {
        /// The run.
        run: RunKey,
        /// Its outcome.
        outcome: Outcome,
        /// Time that the endpoint took, in microseconds.
        service_us: u64,
    },
    /// Time has passed; see [`Gate::next_wakeup`](crate::Gate::next_wakeup).
    Tick,
}

/// What a gate wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the task to the endpoint, and report its end with [`Event::Ended`].
    Run {
        /// The run.
        run: RunKey,
        /// What the endpoint instance offers.
        offer: Offer,
        /// The task.
        spec: TaskSpec,
    },
    /// Answer a start.
    Settle {
        /// The connection.
        link: LinkId,
        /// The start.
        request: RequestId,
        /// What became of it.
        outcome: Outcome,
        /// Time that the endpoint took, in microseconds.
        service_us: u64,
        /// Credits granted with the answer.
        granted: u16,
    },
    /// Answer a want.
    Granted {
        /// The connection.
        link: LinkId,
        /// The call.
        call: CallId,
        /// Credits granted with the answer.
        slots: u16,
    },
    /// Answer a fence: every task of the submission that has started here.
    Fenced {
        /// The call.
        call: CallId,
        /// The tasks.
        tasks: Vec<(TaskIndex, TaskRecord)>,
    },
    /// Answer a fence that could not be recorded; it is not in force.
    FenceRefused {
        /// The call.
        call: CallId,
    },
    /// Answer a cancellation, in the order asked.
    Cancelled {
        /// The call.
        call: CallId,
        /// `None` for a start that has been or will be settled.
        outcomes: Vec<(RequestId, Option<Outcome>)>,
    },
    /// Push credits to an entry.
    Grant {
        /// The connection.
        link: LinkId,
        /// How many.
        slots: u16,
    },
    /// Ask an entry for unused credits, and report with [`Event::Returned`].
    Recall {
        /// The connection.
        link: LinkId,
        /// How many at most.
        slots: u16,
    },
    /// Tell an entry that no new work is taken and its credits are void.
    Leaving {
        /// The connection.
        link: LinkId,
    },
    /// The last task has ended after a stop; the agent may end.
    Drained,
}

/// Actions in the order in which they are wanted.
pub type Actions = Vec<Action>;
