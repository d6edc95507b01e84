//! What reaches the control thread.

use std::net::SocketAddr;

use bytes::Bytes;
use crossbeam::channel::Sender;
use hemlock_http::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use tokio::sync::oneshot;

/// How the answer of a call is written.
#[derive(Clone, Debug)]
pub(crate) enum CallShape {
    /// The endpoint's status and body.
    Request,
    /// A JSON document on a job, under the name that its caller gave it.
    Job(String),
}

/// A caller's call, ready for the router.
#[derive(Debug)]
pub(crate) enum CallKind {
    /// Work; the router's call id is filled in by the control thread.
    Submit(Box<Submit>),
    /// How does this submission stand?
    Query(SubmissionId),
    /// Cancel this submission.
    Cancel(SubmissionId),
}

/// A caller's call with the right to answer it.
#[derive(Debug)]
pub(crate) struct Call {
    /// What is asked.
    pub(crate) kind: CallKind,
    /// How the answer is written.
    pub(crate) shape: CallShape,
    /// The entry's own trace context, echoed to the caller; empty without one.
    pub(crate) traceparent: Bytes,
    /// Answers the caller.
    pub(crate) responder: Responder,
}

/// What the keeper session puts into its next report.
#[derive(Debug)]
pub(crate) struct Report {
    /// Configuration version in force.
    pub(crate) config: ConfigVersion,
    /// Generation and version of the directory.
    pub(crate) directory: (u64, u64),
    /// Demand by contract.
    pub(crate) demand: Vec<Demand>,
    /// Number of the latest deal of shares taken.
    pub(crate) shares_seen: u64,
    /// Whether the configuration lease is valid; without one the answer is wanted at once.
    pub(crate) has_lease: bool,
    /// When the report is sent.
    pub(crate) sent: Instant,
}

/// One thing for the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A caller's call.
    Call(Box<Call>),
    /// An event for the router.
    Event(Event),
    /// The keeper session is about to report.
    Report(oneshot::Sender<Report>),
    /// An agent asks for slots back; the lane waits for the number.
    Recall {
        /// The agent.
        agent: Incarnation,
        /// How many at most.
        slots: u16,
        /// Takes how many are given back.
        answer: oneshot::Sender<u16>,
    },
    /// Begin a planned stop.
    Drain,
    /// The HTTP server has closed every connection.
    HttpClosed,
    /// The keeper session has handed everything over and given the lease back.
    SessionClosed,
    /// End at once.
    Kill,
}

/// Where every other thread puts its inputs.
pub(crate) type Inbox = Sender<Input>;

/// Puts an input into the inbox. Once the control thread has ended, nobody needs it.
pub(crate) fn post(inbox: &Inbox, input: Input) {
    drop(inbox.send(input));
}

/// Puts a router event into the inbox.
pub(crate) fn post_event(inbox: &Inbox, event: Event) {
    post(inbox, Input::Event(event));
}

/// One thing for a lane.
#[derive(Debug)]
pub(crate) enum LaneCommand {
    /// Keep a connection to an agent.
    Connect(Incarnation, SocketAddr),
    /// Close the connection to an agent.
    Disconnect(Incarnation),
    /// Send a start.
    Start(Incarnation, Box<TaskSpec>),
    /// Ask for slots.
    Want(Incarnation, u16),
    /// Withdraw starts.
    Cancel(Incarnation, Vec<RequestId>),
    /// Fence a submission.
    Fence(Incarnation, SubmissionId, Epoch),
}
