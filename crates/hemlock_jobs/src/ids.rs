//! Newtype ids of jobs, tasks, runs and agents.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Digits of a job's id in text.
const JOB_ID_DIGITS: usize = 16;

/// Names a job; chosen by its caller.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

impl FromStr for JobId {
    type Err = ParseIntError;

    /// Reads exactly sixteen lower- or upper-case hexadecimal digits.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let well_formed =
            text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        // An empty string fails to parse, as anything of another shape should.
        let digits = if well_formed { text } else { "" };
        u64::from_str_radix(digits, 16).map(Self)
    }
}

/// One task of a job.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The occurrence of a job that runs several times; zero for others.
    pub occurrence: u32,
    /// Position of the step within the job.
    pub step: u16,
    /// Position of the task within its step.
    pub index: u16,
}

impl FromStr for TaskKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        // A missing part is read as an empty one, which is no number.
        let mut part = || parts.next().unwrap_or_default();
        Ok(Self {
            job: part().parse()?,
            occurrence: part().parse()?,
            step: part().parse()?,
            index: part().parse()?,
        })
    }
}

/// Numbers the runs of a task, from 1; a later run has a higher number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct RunNumber(pub u64);

impl RunNumber {
    /// The next number of a run whose end must be recorded. These are the odd ones, so that a
    /// process that finds a run or its end without knowing who ordered it can tell by the number.
    #[must_use]
    pub fn next_recorded(self) -> Self {
        Self(self.0 + 1 + self.0 % 2)
    }

    /// The next number of a run whose end needs no record.
    #[must_use]
    pub fn next_unrecorded(self) -> Self {
        Self(self.0 + 2 - self.0 % 2)
    }

    /// Whether the end of the run must be recorded.
    pub fn is_recorded(self) -> bool {
        self.0 % 2 == 1
    }
}

/// Names the agent beside one instance, over all restarts of either.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
pub struct AgentId(pub u64);
