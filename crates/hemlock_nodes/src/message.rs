//! Messages between gateways, runners and coordinators. They are encoded by position.

use bytes::Bytes;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_quorum::prelude::KeeperId;
use hemlock_runs::prelude::{Claim, RefusedStart};
use serde::{Deserialize, Serialize};

/// The operation that a caller requests on a queue or a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAction {
    /// Submits a job.
    Submit(JobSpec),
    /// Reads a job's state, or a queue's number of pending jobs.
    State,
    /// Cancels a job.
    Cancel,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The host of the caller's request.
    pub host: String,
    /// The path of the caller's request: a queue's prefix, followed by a job's id unless the
    /// request is for the queue itself.
    pub path: String,
    /// The requested operation.
    pub action: CallerAction,
}

/// A job's state as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Pending,
    /// At least one task has started.
    Active,
    /// The job has ended.
    Ended(JobOutcome),
}

/// The answer to a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerAnswer {
    /// The job is stored durably.
    Accepted,
    /// A best-effort job has ended.
    Finished(JobOutcome),
    /// The job's state.
    State(JobState),
    /// The job is cancelled, or had ended before.
    Canceled,
    /// Number of accepted jobs of the queue without a started task.
    PendingJobs(u64),
    /// No queue matches the host and path.
    NoSuchQueue,
    /// No job has this id.
    NoSuchJob,
    /// The path doesn't contain a valid job id.
    BadJobId,
    /// The job is not stored and won't run; the caller may submit it again after the delay.
    Rejected {
        /// Reason of the rejection.
        reason: Rejection,
        /// Delay before the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request may or may not have taken effect.
    Undecided,
}

impl CallerAnswer {
    /// Returns the answer's label in metrics.
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

/// Reason for which a job was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The job could not finish while its result is still useful to the caller.
    Overload,
    /// No configuration is in force yet.
    NoConfiguration,
    /// No leader could be reached in time.
    NoLeader,
}

/// Requests to a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// An encoded consensus message between coordinators.
    Quorum(Bytes),
    /// Asks which keeper leads.
    WhoLeads,
    /// A caller's request.
    Call(CallerRequest),
    /// Begins a runner's session.
    Register(AgentId),
    /// Lists the instance's runs at the start of a session.
    Adopt(AgentId, SessionId, Inventory),
    /// Asks the leader to confirm its leadership and, for a runner, the session.
    Ping(Option<(AgentId, SessionId)>),
    /// Long poll for the configuration and the agents: answered when one of them differs from the
    /// given version, or after a timeout.
    Watch {
        /// Version of the sender's configuration; zero if it has none.
        configuration: u64,
        /// Version of the sender's set of agents.
        agents: u64,
    },
    /// Reports ended runs and refused starts.
    Report(AgentId, SessionId, Report),
    /// Reports that the instance changed, and whether its previous runs are lost.
    InstanceChanged(AgentId, SessionId, Option<InstanceReport>, bool),
}

/// Ended runs and refused starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Ended runs.
    pub ended: Vec<RunReport>,
    /// Refused starts.
    pub refused: Vec<RefusedStart>,
}

/// Replies of a coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The request was carried out.
    Done,
    /// The leader and the members, as far as this coordinator knows.
    Leads {
        /// Whether this coordinator leads and serves requests.
        here: bool,
        /// The leader.
        leader: Option<KeeperId>,
        /// The member set.
        members: Vec<KeeperId>,
    },
    /// This coordinator doesn't lead; the request had no effect.
    NotLeader,
    /// The answer to a caller.
    Call(CallerAnswer),
    /// The current configuration and agents, as far as they changed.
    Watched {
        /// The configuration, if it is newer than the sender's.
        configuration: Option<Box<Configuration>>,
        /// The version of the set of agents and the agents, if the sender's version differs.
        agents: Option<(u64, Vec<AgentId>)>,
    },
    /// The session has begun.
    Registered {
        /// The session.
        session: SessionId,
        /// The agent's instance, as reported by an earlier process of the agent.
        instance: Option<InstanceReport>,
    },
    /// The runs are adopted and the reported ends are recorded; the runner must stop these runs.
    Adopted(Vec<StopOrder>),
    /// The session is unknown or has expired.
    VoidSession,
    /// The request may or may not have taken effect.
    Undecided,
}

/// Requests to a runner, from the leading coordinator or from a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerRequest {
    /// Starts and stops of runs.
    Order(Order),
    /// Begins a gateway's session and claims the runs that the gateway expects on this runner.
    Attach(SessionId, Vec<Claim>),
    /// Keeps a gateway's session alive.
    Ping(SessionId),
}

/// Replies of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerReply {
    /// The order was accepted, except for these refused starts.
    Ordered(Vec<RefusedStart>, LoadReport),
    /// The session has begun.
    Attached(Inventory, LoadReport),
    /// The session is valid.
    Alive(LoadReport),
    /// The session is unknown, has expired or can't begin yet.
    VoidSession,
}

/// An update that a runner pushes to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUpdate {
    /// The agent.
    pub agent: AgentId,
    /// The gateway's session.
    pub session: SessionId,
    /// Ended runs and refused starts.
    pub report: Report,
    /// The runner's free capacity and load.
    #[serde(rename = "room")]
    pub load_report: LoadReport,
    /// The change of the instance, if it changed.
    pub instance: Option<InstanceUpdate>,
}

/// A change of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceUpdate {
    /// The instance, if it is available.
    pub instance: Option<InstanceReport>,
    /// Whether all previous runs are lost. Each of their ends is also reported separately.
    pub runs_lost: bool,
}
