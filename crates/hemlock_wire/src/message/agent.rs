//! Requests from an entry to an agent, and the agent's replies.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A request to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentRequest {
    /// Starts one task. The reply, [`AgentReply::Settled`], comes when the task has ended.
    Start(TaskSpec),
    /// Requests slots for the waiting tasks of this entry. The reply is [`AgentReply::Granted`];
    /// later grants come as [`EntryRequest::Grant`](super::entry::EntryRequest::Grant).
    Want {
        /// Total number of slots that the entry now waits for at this agent. Replaces the number
        /// of an earlier request.
        count: u16,
    },
    /// Tells the agent to refuse every later start of the submission with an epoch below `epoch`.
    /// The reply, [`AgentReply::Fenced`], lists the tasks that have started.
    Fence {
        /// The submission.
        submission: SubmissionId,
        /// The fencing epoch.
        epoch: Epoch,
    },
    /// Cancels tasks. The reply is [`AgentReply::Cancelled`].
    Cancel {
        /// Request ids of the starts to cancel, as the sender gave them.
        requests: Vec<RequestId>,
    },
    /// Heartbeat. The reply is [`AgentReply::Pong`].
    Ping,
}

/// A reply from an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentReply {
    /// A task has ended, or its start was refused.
    Settled {
        /// Request id of the start.
        request: RequestId,
        /// Outcome of the task.
        outcome: Outcome,
        /// Time that the endpoint took, in microseconds; zero if the task did not run.
        service_us: u64,
        /// Slots granted to this entry with this reply.
        granted: u16,
    },
    /// Slots that were available at once.
    Granted {
        /// Number of slots.
        slots: u16,
    },
    /// State of a fenced submission at this agent.
    Fenced {
        /// Every task of the submission that is running or has ended at this agent.
        tasks: Vec<(TaskIndex, TaskRecord)>,
    },
    /// Outcomes of the cancelled tasks, in the order of the request.
    Cancelled {
        /// `None` if the task is still running; the reply to its start then gives the outcome.
        outcomes: Vec<(RequestId, Option<Outcome>)>,
    },
    /// Reply to a heartbeat.
    Pong {
        /// Number of running tasks.
        running: u16,
        /// Whether the agent is draining and accepts no new work.
        draining: bool,
    },
}
