//! Counters and current status of a gate.

use derive_more::Display;
use hemlock_types::prelude::*;

/// Reason for which a gate refuses a request to start a task. Every refusal is proof that this
/// request does not run the task.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request is addressed to another incarnation of the agent.
    #[display("another-incarnation")]
    AnotherIncarnation,
    /// A fence of the submission excludes the request's epoch.
    #[display("fenced")]
    Fenced,
    /// The request was cancelled before it arrived.
    #[display("revoked")]
    Revoked,
    /// No new work starts because of a planned stop or the end of the agent.
    #[display("leaving")]
    Leaving,
    /// No endpoint is announced, or the endpoint refused a connection.
    #[display("no-endpoint")]
    NoEndpoint,
    /// The endpoint provides another service.
    #[display("another-service")]
    AnotherService,
    /// The task's deadline has passed.
    #[display("deadline")]
    Deadline,
    /// Every slot is occupied by a running task.
    #[display("no-slot")]
    NoSlot,
    /// The limit on recorded submissions or tasks is reached.
    #[display("memory-full")]
    MemoryFull,
}

impl Refusal {
    /// Every reason, in the order of [`Counters::refused`].
    pub const ALL: [Self; 9] = [
        Self::AnotherIncarnation,
        Self::Fenced,
        Self::Revoked,
        Self::Leaving,
        Self::NoEndpoint,
        Self::AnotherService,
        Self::Deadline,
        Self::NoSlot,
        Self::MemoryFull,
    ];

    /// Returns the outcome with which the request is answered.
    pub fn outcome(self) -> Outcome {
        let reason = match self {
            Self::Revoked => NotRunReason::Cancelled,
            Self::Leaving => NotRunReason::Draining,
            Self::NoEndpoint | Self::AnotherService => NotRunReason::NoEndpoint,
            Self::Deadline => NotRunReason::Deadline,
            Self::MemoryFull => NotRunReason::QueueFull,
            Self::AnotherIncarnation | Self::Fenced | Self::NoSlot => NotRunReason::Refused,
        };
        let proof = match self {
            Self::Revoked => NotRunProof::Revoked,
            _ => NotRunProof::RefusedByGate,
        };
        Outcome::NotRun(reason, proof)
    }
}

/// Totals since the gate was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Tasks started.
    pub started: u64,
    /// Tasks ended.
    pub ended: u64,
    /// Ended tasks that the endpoint provably never received.
    pub released: u64,
    /// Refused requests, by reason in the order of [`Refusal::ALL`].
    pub refused: [u64; Refusal::ALL.len()],
    /// Requests to start a task that had already started.
    pub duplicates: u64,
    /// Requests that used a credit.
    pub with_credit: u64,
    /// Credits granted.
    pub granted: u64,
    /// Credits recalled.
    pub recalled: u64,
    /// Tasks cancelled while they were running.
    pub withdrawn: u64,
    /// Requests cancelled before they arrived.
    pub revoked: u64,
    /// Outcomes that were not delivered because the link of the request was closed.
    pub unclaimed: u64,
}

/// Current status of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateStatus {
    /// State of the endpoint instance.
    pub phase: crate::endpoint::EndpointPhase,
    /// Number of tasks that may run at once.
    pub slots: u16,
    /// Number of running tasks.
    pub running: u16,
    /// Number of idle slots that credits reserve.
    pub reserved: u16,
    /// Number of links that wait for a slot.
    pub waiting: usize,
    /// Number of recorded tasks, including running ones.
    pub tasks: usize,
    /// Number of recorded submissions.
    pub submissions: usize,
    /// Total size of kept answers, in bytes.
    pub outcome_bytes: usize,
}
