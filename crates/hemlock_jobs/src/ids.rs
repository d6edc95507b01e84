//! Identifiers of jobs, tasks, runs and agents.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Number of hexadecimal digits of a job's id in text.
const JOB_ID_DIGITS: usize = 16;

/// Identifies a job; chosen by its caller.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

impl FromStr for JobId {
    type Err = ParseIntError;

    /// Parses exactly sixteen hexadecimal digits in lower or upper case.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_valid =
            text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        // An empty string stands in for malformed text, because it fails to parse as well.
        let digits = if is_valid { text } else { "" };
        u64::from_str_radix(digits, 16).map(Self)
    }
}

/// Identifies a task of a job.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The occurrence of a job that repeats; zero for other jobs.
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
        // A missing part becomes an empty string, which fails to parse as a number.
        let mut part = || parts.next().unwrap_or_default();
        Ok(Self {
            job: part().parse()?,
            occurrence: part().parse()?,
            step: part().parse()?,
            index: part().parse()?,
        })
    }
}

/// The number of a run of a task, from 1. A later run has a higher number.
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
    /// The next number of a run whose end must be recorded.
    ///
    /// These numbers are odd, so that a process that finds a run or its end can tell by the number
    /// whether to record it, without knowing who ordered the run.
    #[must_use]
    pub fn next_recorded(self) -> Self {
        Self(self.0 + 1 + self.0 % 2)
    }

    /// The next number of a run whose end need not be recorded. These numbers are even.
    #[must_use]
    pub fn next_unrecorded(self) -> Self {
        Self(self.0 + 2 - self.0 % 2)
    }

    /// Whether the end of the run must be recorded.
    pub fn is_recorded(self) -> bool {
        self.0 % 2 == 1
    }
}

/// Identifies the agent of an instance across restarts of both.
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
