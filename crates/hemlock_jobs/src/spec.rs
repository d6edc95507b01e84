//! Specification of a job: its steps, their tasks and the resources these need.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::JobSpecError;

/// Maximum size of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 64;
/// Maximum number of tasks of a job.
pub const MAX_TASKS: usize = 4_096;
/// Largest estimated duration of a task, in milliseconds: a day.
pub const MAX_ESTIMATE_MS: u64 = 86_400_000;
/// Largest amount of each resource of a task or an instance. Sums and products of such amounts and
/// of durations stay within 64 bits.
pub const MAX_RESOURCES: Resources = Resources {
    cpu_milli: 1_000_000_000,
    memory_mb: 1_000_000_000,
    accelerators: 1_000_000,
};

/// An amount of capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether `need` fits into this amount.
    pub fn fits(&self, need: &Self) -> bool {
        need.cpu_milli <= self.cpu_milli
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// The lesser of both amounts of each resource.
    #[must_use]
    pub fn min(&self, most: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(most.cpu_milli),
            memory_mb: self.memory_mb.min(most.memory_mb),
            accelerators: self.accelerators.min(most.accelerators),
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: &Self) {
        self.cpu_milli += amount.cpu_milli;
        self.memory_mb += amount.memory_mb;
        self.accelerators += amount.accelerators;
    }

    /// Subtracts an amount.
    ///
    /// # Panics
    ///
    /// Panics if `amount` exceeds this amount.
    pub fn subtract(&mut self, amount: &Self) {
        assert!(
            self.fits(amount),
            "the subtracted resources exceed the available ones"
        );
        self.cpu_milli -= amount.cpu_milli;
        self.memory_mb -= amount.memory_mb;
        self.accelerators -= amount.accelerators;
    }

    /// The given percentage of this amount, at most all of it, rounded down.
    #[must_use]
    pub fn percent(&self, percent: u32) -> Self {
        /// Percentage that stands for the whole.
        const WHOLE: u64 = 100;
        let percent = u64::from(percent).min(WHOLE);
        let part = |amount: u64| amount.saturating_mul(percent) / WHOLE;
        Self {
            cpu_milli: part(self.cpu_milli),
            memory_mb: part(self.memory_mb),
            accelerators: part(self.accelerators),
        }
    }

    /// This amount minus `used`, with zero for each resource of which more is used.
    #[must_use]
    pub fn saturating_sub(&self, used: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(used.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }
}

/// A group of tasks that have the same requirements and may run in parallel.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task needs.
    pub needs: Resources,
    /// The caller's rough estimate of the duration of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Positions of earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u16>,
    /// A label that the instance must have.
    pub required_label: Option<String>,
    /// The rack that holds the step's data.
    pub preferred_rack: Option<String>,
    /// Maximum number of concurrent tasks of the step on one instance; zero for no limit.
    pub max_per_instance: u16,
}

impl StepSpec {
    /// Creates a step of `count` tasks without further requirements.
    pub fn new(count: u16) -> Self {
        Self {
            count,
            ..Self::default()
        }
    }
}

/// A caller's description of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that is passed to every task.
    pub payload: Bytes,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Whether the job need not be stored, because its caller waits for its end and submits it
    /// again if no answer arrives.
    pub best_effort: bool,
}

impl JobSpec {
    /// Creates a job with the given steps that is not best effort.
    pub fn new(payload: Bytes, steps: Vec<StepSpec>) -> Self {
        Self {
            payload,
            steps,
            best_effort: false,
        }
    }

    /// Sets whether the job is best effort.
    #[must_use]
    pub fn with_best_effort(mut self, best_effort: bool) -> Self {
        self.best_effort = best_effort;
        self
    }

    /// Number of tasks of all steps.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// Checks the size limits and the dependencies between steps.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn check(&self) -> Result<(), JobSpecError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobSpecError::PayloadTooLong(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(JobSpecError::StepCount(self.steps.len()));
        }
        if self.task_count() > MAX_TASKS {
            return Err(JobSpecError::TaskCount(self.task_count()));
        }
        for (position, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(JobSpecError::EmptyStep(position));
            }
            let is_earlier = |step: &u16| usize::from(*step) < position;
            if !step.depends_on.iter().all(is_earlier) {
                return Err(JobSpecError::Dependency(position));
            }
            if !MAX_RESOURCES.fits(&step.needs) || step.estimate_ms > MAX_ESTIMATE_MS {
                return Err(JobSpecError::TooLarge(position));
            }
        }
        Ok(())
    }
}
