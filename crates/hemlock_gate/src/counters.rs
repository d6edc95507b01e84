//! What a gate counts.

use derive_more::Display;
use hemlock_types::prelude::*;

/// Why a gate refuses a start. Every refusal is proof that the start does not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// It is meant for another incarnation of the agent.
    #[display("another-incarnation")]
    AnotherIncarnation,
    /// Its epoch is fenced.
    #[display("fenced")]
    Fenced,
    /// It was cancelled before it arrived.
    #[display("revoked")]
    Revoked,
    /// No new work starts because of a planned stop.
    #[display("leaving")]
    Leaving,
    /// No endpoint is announced, or it does not take connections.
    #[display("no-endpoint")]
    NoEndpoint,
    /// The endpoint offers another service.
    #[display("another-service")]
    AnotherService,
    /// Its deadline has passed.
    #[display("deadline")]
    Deadline,
    /// Every slot has a running task.
    #[display("no-slot")]
    NoSlot,
    /// The bound on remembered starts is reached.
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

    /// The refusal as the answer to the start.
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

/// Totals since the gate was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Tasks started.
    pub started: u64,
    /// Tasks that ended.
    pub ended: u64,
    /// Of these, tasks that the endpoint provably never received.
    pub released: u64,
    /// Starts refused, by [`Refusal::ALL`].
    pub refused: [u64; Refusal::ALL.len()],
    /// Starts of a task that had already started.
    pub duplicates: u64,
    /// Starts that used a credit.
    pub with_credit: u64,
    /// Credits granted.
    pub granted: u64,
    /// Credits recalled.
    pub recalled: u64,
    /// Starts cancelled while they ran.
    pub withdrawn: u64,
    /// Starts revoked before they arrived.
    pub revoked: u64,
    /// Outcomes whose entry was gone.
    pub unclaimed: u64,
}

/// What a gate is doing now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateStatus {
    /// Where the endpoint instance is in its life.
    pub phase: crate::endpoint::EndpointPhase,
    /// Tasks that may run at once.
    pub slots: u16,
    /// Tasks running.
    pub running: u16,
    /// Idle slots reserved by credits.
    pub reserved: u16,
    /// Links waiting for a slot.
    pub waiting: usize,
    /// Tasks remembered or running.
    pub tasks: usize,
    /// Submissions remembered.
    pub submissions: usize,
    /// Bytes of kept outcomes.
    pub outcome_bytes: usize,
}
