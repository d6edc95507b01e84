//! What an entry asks of an agent.

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A request to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentRequest {
    /// Starts one task; the answer comes when it has ended: [`AgentReply::Settled`].
    Start(TaskSpec),
    /// Asks for slots for `count` waiting tasks of this entry: [`AgentReply::Granted`], and
    /// later grants by [`EntryRequest::Grant`](super::entry::EntryRequest::Grant).
    Want {
        /// Total number of slots that the entry now waits for at this agent; replaces the
        /// number of an earlier request.
        count: u16,
    },
    /// Refuses every start of the submission below `epoch` from now on, and asks what has
    /// started: [`AgentReply::Fenced`].
    Fence {
        /// The submission.
        submission: SubmissionId,
        /// The fencing epoch.
        epoch: Epoch,
    },
    /// Withdraws tasks: [`AgentReply::Cancelled`].
    Cancel {
        /// The starts to withdraw, by the sender's request ids.
        requests: Vec<RequestId>,
    },
    /// Heartbeat: [`AgentReply::Pong`].
    Ping,
}

/// An agent's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentReply {
    /// A started or refused task has settled.
    Settled {
        /// The start that this answers.
        request: RequestId,
        /// What became of it.
        outcome: Outcome,
        /// Time that the endpoint took, in microseconds; zero when nothing ran.
        service_us: u64,
        /// Slots granted to this entry with the answer.
        granted: u16,
    },
    /// Slots granted at once.
    Granted {
        /// How many.
        slots: u16,
    },
    /// What the agent knows of a fenced submission.
    Fenced {
        /// Every task of it that the agent has started or settled.
        tasks: Vec<(TaskIndex, TaskRecord)>,
    },
    /// What became of the withdrawn tasks, in the order asked.
    Cancelled {
        /// `None` while it runs on; its outcome follows as the answer to its start.
        outcomes: Vec<(RequestId, Option<Outcome>)>,
    },
    /// Answer to a heartbeat.
    Pong {
        /// Tasks running now.
        running: u16,
        /// Whether the agent takes no new work.
        draining: bool,
    },
}
