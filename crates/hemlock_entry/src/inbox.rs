//! Messages between the threads of an entry: inputs of the control thread and commands to lanes.

use std::net::SocketAddr;

use bytes::Bytes;
use crossbeam::channel::Sender;
use hemlock_http::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use tokio::sync::oneshot;

/// Form of the HTTP response to a call.
#[derive(Clone, Debug)]
pub(crate) enum ReplyFormat {
    /// The status and the body that the endpoint returned.
    Request,
    /// A JSON document about a job; holds the submission name that the caller gave it.
    Job(String),
}

/// The operation that a caller requests.
#[derive(Debug)]
pub(crate) enum CallKind {
    /// Run tasks. The control thread fills in the router's call id.
    Submit(Box<Submit>),
    /// Report the state of this submission.
    Query(SubmissionId),
    /// Cancel this submission.
    Cancel(SubmissionId),
}

/// A caller's call with the responder for its answer.
#[derive(Debug)]
pub(crate) struct Call {
    /// The requested operation.
    pub(crate) kind: CallKind,
    /// Form of the response.
    pub(crate) reply_format: ReplyFormat,
    /// The entry's own trace context, returned to the caller; empty if the caller sent none.
    pub(crate) traceparent: Bytes,
    /// Sends the response to the caller.
    pub(crate) responder: Responder,
}

/// The control thread's part of the keeper session's next report.
#[derive(Debug)]
pub(crate) struct Report {
    /// Version of the configuration in force.
    pub(crate) config: ConfigVersion,
    /// Generation and version of the endpoint directory.
    pub(crate) directory: (u64, u64),
    /// Demand by contract.
    pub(crate) demand: Vec<Demand>,
    /// Sequence number of the latest allocation of quota shares that the entry applied.
    pub(crate) shares_seen: u64,
    /// Whether the configuration lease is valid. Without one, the keeper is asked to answer at once.
    pub(crate) has_lease: bool,
    /// Time of the report; the lease in the answer counts from here.
    pub(crate) sent: Instant,
}

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A caller's call.
    Call(Box<Call>),
    /// An event for the router.
    Event(Event),
    /// The keeper session needs the data of its next report.
    Report(oneshot::Sender<Report>),
    /// An agent recalls credits; the lane waits for the number returned.
    Recall {
        /// The agent.
        agent: Incarnation,
        /// Most credits to return.
        slots: u16,
        /// Receives the number of credits returned.
        reply: oneshot::Sender<u16>,
    },
    /// Begin a planned stop.
    Drain,
    /// The HTTP server has closed every connection.
    HttpClosed,
    /// The keeper session has reported every end and released the lease, or given up on it.
    SessionClosed,
    /// End at once, without answering calls in progress.
    Kill,
}

/// Channel on which the other threads send inputs to the control thread.
pub(crate) type Inbox = Sender<Input>;

/// Sends an input to the control thread. The input is dropped if that thread has ended.
pub(crate) fn post(inbox: &Inbox, input: Input) {
    drop(inbox.send(input));
}

/// Sends a router event to the control thread.
pub(crate) fn post_event(inbox: &Inbox, event: Event) {
    post(inbox, Input::Event(event));
}

/// A command from the control thread to a lane.
#[derive(Debug)]
pub(crate) enum LaneCommand {
    /// Open a connection to an agent and reopen it whenever it is lost.
    Connect(Incarnation, SocketAddr),
    /// Close the connection to an agent.
    Disconnect(Incarnation),
    /// Send the start of a task.
    Start(Incarnation, Box<TaskSpec>),
    /// Ask for credits for a number of waiting tasks.
    Want(Incarnation, u16),
    /// Cancel starts.
    Cancel(Incarnation, Vec<RequestId>),
    /// Fence a submission: the agent refuses its starts from earlier epochs.
    Fence(Incarnation, SubmissionId, Epoch),
}
