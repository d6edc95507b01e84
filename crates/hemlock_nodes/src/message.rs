//! Messages between gateways, runners and coordinators. They are encoded by position.

use bytes::Bytes;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_quorum::prelude::KeeperId;
use hemlock_runs::prelude::{Claim, RefusedStart};
use hemlock_types::time::Instant;
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
    /// The gateway was interrupted, and the caller may have submitted the job elsewhere meanwhile.
    Interrupted,
}

/// A change of the evacuated failure domains that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationChange {
    /// Nothing more is to be started in the failure domain.
    Begin(String),
    /// The failure domain may be used again.
    End(String),
}

impl EvacuationChange {
    /// Name of the failure domain.
    pub fn domain(&self) -> &str {
        match self {
            Self::Begin(domain) | Self::End(domain) => domain,
        }
    }

    /// The change's label in log lines.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Begin(_) => "begin",
            Self::End(_) => "end",
        }
    }
}

/// The answer to a change of the evacuated failure domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationAnswer {
    /// The change is in force, now or from before. Holds the version of the set.
    Done(u64),
    /// The deployment has no such failure domain. Nothing has changed.
    UnknownDomain,
    /// The request had no effect because this keeper doesn't lead. Holds the leader, if known.
    NotLeader(Option<KeeperId>),
    /// The change may or may not come into force.
    Undecided,
}

/// The answer to a read of the evacuated failure domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationsAnswer {
    /// The evacuated failure domains.
    Current(Evacuations),
    /// This keeper doesn't lead. Holds the leader, if known.
    NotLeader(Option<KeeperId>),
}

/// A runner's periodic message to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerPing {
    /// The runner.
    pub agent: AgentId,
    /// Its session.
    pub session: SessionId,
    /// Percentage of the instance's capacity that gets no new starts.
    pub withheld_percent: u32,
    /// Version of the evacuations that the runner has.
    pub evacuations: u64,
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
    Ping(Option<RunnerPing>),
    /// Long poll for the configuration, the agents and the evacuations: answered when one of them
    /// differs from the given version, or after a timeout.
    Watch {
        /// Version of the sender's configuration; zero if it has none.
        configuration: u64,
        /// Version of the sender's set of agents.
        agents: u64,
        /// Version of the sender's evacuations.
        evacuations: u64,
    },
    /// Reports ended runs and refused starts.
    Report(AgentId, SessionId, Report),
    /// Reports that the instance changed, and whether its previous runs are lost.
    InstanceChanged(AgentId, SessionId, Option<InstanceReport>, bool),
    /// An operator changes the evacuated failure domains.
    Evacuation(EvacuationChange),
    /// An operator reads the evacuated failure domains.
    Evacuations,
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
    /// The current configuration, agents and evacuations, as far as they changed.
    Watched {
        /// The configuration, if it is newer than the sender's.
        configuration: Option<Box<Configuration>>,
        /// The version of the set of agents and the agents, if the sender's version differs.
        agents: Option<(u64, Vec<AgentId>)>,
        /// The evacuated failure domains, if they are newer than the sender's.
        evacuations: Option<Evacuations>,
    },
    /// The session has begun.
    Registered {
        /// The session.
        session: SessionId,
        /// The agent's instance, as reported by an earlier process of the agent.
        instance: Option<InstanceReport>,
    },
    /// The runs are adopted and the reported ends are recorded.
    Adopted {
        /// Runs that the runner must stop.
        stops: Vec<StopOrder>,
        /// Ends that are not recorded yet and must be reported again.
        deferred: Vec<RunReport>,
        /// The evacuated failure domains, if the sender is sure that it leads.
        evacuations: Option<Evacuations>,
    },
    /// This coordinator leads and, for a runner, the session is valid.
    Confirmed {
        /// The evacuated failure domains, if they are newer than the sender's.
        evacuations: Option<Evacuations>,
    },
    /// The session is unknown or has expired.
    VoidSession,
    /// The request was carried out, except for these ends: they are not recorded yet and must be
    /// reported again.
    Deferred(Vec<RunReport>),
    /// The request may or may not have taken effect.
    Undecided,
    /// The answer to an operator's change of the evacuations.
    Evacuation(EvacuationAnswer),
    /// The answer to an operator's read of the evacuations.
    Evacuations(EvacuationsAnswer),
}

/// Requests to a runner, from the leading coordinator or from a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerRequest {
    /// Starts and stops of runs.
    Order(Order, SentAt),
    /// Begins a gateway's session and claims the runs that the gateway expects on this runner.
    Attach(SessionId, Vec<Claim>, SentAt),
    /// Keeps a gateway's session alive.
    Ping(SessionId, SentAt),
}

/// Time on the sender's clock at which a request was sent, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentAt(pub u64);

impl From<Instant> for SentAt {
    fn from(at: Instant) -> Self {
        Self(at.as_micros())
    }
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
    /// Tasks of all owners that are strongly suspected to have crashed the instance.
    pub suspects: Vec<CrashSuspect>,
}
