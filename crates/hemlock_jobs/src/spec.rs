//! What a caller asks for: steps of tasks with their needs.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::SpecFault;

/// Longest payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Most steps of a job.
pub const MAX_STEPS: usize = 64;
/// Most tasks of a job.
pub const MAX_TASKS: usize = 4_096;

/// An amount of an instance's capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether `need` fits into this amount.
    pub fn fits(&self, need: &Self) -> bool {
        need.cpu_milli <= self.cpu_milli
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: &Self) {
        self.cpu_milli += amount.cpu_milli;
        self.memory_mb += amount.memory_mb;
        self.accelerators += amount.accelerators;
    }

    /// Takes an amount away.
    ///
    /// # Panics
    ///
    /// When more is taken than there is.
    pub fn take(&mut self, amount: &Self) {
        assert!(self.fits(amount), "no more is given back than was taken");
        self.cpu_milli -= amount.cpu_milli;
        self.memory_mb -= amount.memory_mb;
        self.accelerators -= amount.accelerators;
    }

    /// What is left of this amount once `used` is taken; zero where more is used.
    #[must_use]
    pub fn minus(&self, used: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(used.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }
}

/// Tasks that need the same and may run side by side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u16,
    /// What each task needs.
    pub needs: Resources,
    /// How long the caller thinks a task takes, in milliseconds; a rough figure.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u16>,
    /// A label that the instance must have.
    pub required_label: Option<String>,
    /// The rack that holds the step's data.
    pub preferred_rack: Option<String>,
    /// Most tasks of the step on one instance at once; zero for no bound.
    pub max_per_instance: u16,
}

impl StepSpec {
    /// A step of `count` tasks without further needs.
    pub fn new(count: u16) -> Self {
        Self {
            count,
            ..Self::default()
        }
    }
}

/// A job as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that every task gets.
    pub payload: Bytes,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Whether the job need not be kept: its caller waits for its end, and hands it in again when
    /// no answer comes.
    pub best_effort: bool,
}

impl JobSpec {
    /// A job of the given steps.
    pub fn new(payload: Bytes, steps: Vec<StepSpec>) -> Self {
        Self {
            payload,
            steps,
            best_effort: false,
        }
    }

    /// The same job, kept or not.
    #[must_use]
    pub fn with_best_effort(mut self, best_effort: bool) -> Self {
        self.best_effort = best_effort;
        self
    }

    /// Tasks of all steps.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// Checks the bounds that every job must keep.
    ///
    /// # Errors
    ///
    /// The first bound that is broken.
    pub fn check(&self) -> Result<(), SpecFault> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecFault::PayloadTooLong(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecFault::StepCount(self.steps.len()));
        }
        if self.task_count() > MAX_TASKS {
            return Err(SpecFault::TaskCount(self.task_count()));
        }
        for (position, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(SpecFault::EmptyStep(position));
            }
            let is_earlier = |step: &u16| usize::from(*step) < position;
            if !step.depends_on.iter().all(is_earlier) {
                return Err(SpecFault::Dependency(position));
            }
        }
        Ok(())
    }
}
