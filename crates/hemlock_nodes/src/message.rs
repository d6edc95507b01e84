//! Messages between gateways, runners and coordinators.

use bytes::Bytes;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_quorum::prelude::KeeperId;
use hemlock_runs::prelude::{Claim, RefusedStart};
use serde::{Deserialize, Serialize};

/// What a caller wants of a queue or a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAction {
    /// Hands in a job.
    Submit(JobSpec),
    /// Asks for a job's state.
    State,
    /// Cancels a job.
    Cancel,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The host that the caller named.
    pub host: String,
    /// The path that the caller named: a queue's prefix, and a job's id unless the queue itself is
    /// asked for.
    pub path: String,
    /// What is wanted.
    pub action: CallerAction,
}

/// A job's state as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has been started.
    Pending,
    /// A task has been started.
    Active,
    /// It has ended.
    Ended(JobOutcome),
}

/// The answer to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAnswer {
    /// The job is kept.
    Accepted,
    /// A best-effort job has ended.
    Finished(JobOutcome),
    /// The job's state.
    State(JobState),
    /// The job is cancelled, or had ended.
    Canceled,
    /// Accepted jobs of the queue of which no task has been started.
    PendingJobs(u64),
    /// There is no such queue.
    NoSuchQueue,
    /// There is no such job.
    NoSuchJob,
    /// The path names no job.
    BadJobId,
    /// Nothing is kept of the job; it may be handed in again after the time.
    Rejected {
        /// Why.
        reason: Rejection,
        /// Milliseconds from now.
        retry_after_ms: u64,
    },
    /// It isn't known whether the request took effect.
    Undecided,
}

impl CallerAnswer {
    /// The answer's label on counters.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Finished(JobOutcome::Complete) => "complete",
            Self::Finished(JobOutcome::Failed) => "failed",
            Self::Finished(JobOutcome::Canceled) | Self::Canceled => "canceled",
            Self::State(_) => "state",
            Self::PendingJobs(_) => "count",
            Self::NoSuchQueue => "no-such-queue",
            Self::NoSuchJob => "no-such-job",
            Self::BadJobId => "bad-job-id",
            Self::Rejected { .. } => "rejected",
            Self::Undecided => "undecided",
        }
    }
}

/// Why a job was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// It could not be served while its result is of use.
    Overload,
    /// No configuration is in force yet.
    NoConfiguration,
    /// No leader can be reached.
    NoLeader,
}

/// Requests to a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A message of the replicated log, between coordinators.
    Quorum(Bytes),
    /// Asks who leads.
    WhoLeads,
    /// A caller's request.
    Call(CallerRequest),
    /// Begins a runner's session.
    Register(AgentId),
    /// Tells what runs, at the begin of a session.
    Adopt(AgentId, SessionId, Inventory),
    /// Asks the leader to confirm that it leads, and the runner's session.
    Ping(Option<(AgentId, SessionId)>),
    /// Asks for the configuration and the agents once they differ from these versions, or after a
    /// while.
    Watch {
        /// Version of the configuration that is held; zero for none.
        configuration: u64,
        /// Version of the set of agents that is held.
        agents: u64,
    },
    /// Tells of ends and of starts that came to nothing.
    Report(AgentId, SessionId, Report),
    /// Tells that the instance changed, and whether what ran is over.
    InstanceChanged(AgentId, SessionId, Option<InstanceReport>, bool),
}

/// Ends of runs, and starts that came to nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Ends.
    pub ended: Vec<RunReport>,
    /// Starts.
    pub refused: Vec<RefusedStart>,
}

/// Answers of a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Done.
    Done,
    /// Who leads, as far as the coordinator knows.
    Leads {
        /// Whether it is this coordinator, and it serves.
        here: bool,
        /// The leader.
        leader: Option<KeeperId>,
        /// The keeper set.
        members: Vec<KeeperId>,
    },
    /// Nothing was done, because this coordinator doesn't lead.
    NotLeader,
    /// The answer to a caller.
    Call(CallerAnswer),
    /// What is in force.
    Watched {
        /// The configuration, if it is newer than the one held.
        configuration: Option<Box<Configuration>>,
        /// The agents, if they differ, with their version.
        agents: Option<(u64, Vec<AgentId>)>,
    },
    /// The session has begun.
    Registered {
        /// The session.
        session: SessionId,
        /// The agent's instance, as an earlier process of the agent described it.
        instance: Option<InstanceReport>,
    },
    /// The runs are adopted, and all ends told of are settled.
    Adopted(Vec<StopOrder>),
    /// The session is void.
    VoidSession,
    /// It isn't known whether the request took effect.
    Undecided,
}

/// Requests to a runner, from the leading coordinator or from a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerRequest {
    /// Orders.
    Order(Order),
    /// Begins a gateway's session, with the runs that it believes to be there.
    Attach(SessionId, Vec<Claim>),
    /// Shows that a gateway is there.
    Ping(SessionId),
}

/// Answers of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerReply {
    /// The orders are taken, but for these starts.
    Ordered(Vec<RefusedStart>, LoadReport),
    /// The session has begun.
    Attached(Inventory, LoadReport),
    /// The session holds.
    Alive(LoadReport),
    /// The session is void.
    VoidSession,
}

/// What a runner tells a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerNews {
    /// The agent.
    pub agent: AgentId,
    /// The gateway's session.
    pub session: SessionId,
    /// Ends, and starts that came to nothing.
    pub report: Report,
    /// What is left.
    pub room: LoadReport,
    /// The instance, if it changed.
    pub instance: Option<InstanceNews>,
}

/// An instance that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceNews {
    /// The instance, while it is there.
    pub instance: Option<InstanceReport>,
    /// Whether what ran before is over. Each end is reported by itself.
    pub runs_lost: bool,
}
