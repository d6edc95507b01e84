//! Parses the JSON document of a job.

use bytes::Bytes;
use derive_more::Display;
use hemlock_router::prelude::*;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Why a job's document is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum JobError {
    /// The document is not UTF-8.
    #[display("not-utf8")]
    NotUtf8,
    /// The document is not valid JSON or lacks the expected fields.
    #[display("bad-job")]
    Malformed,
    /// The job has no task, or more than [`MAX_TASKS`].
    #[display("task-count")]
    TaskCount,
}

impl JobError {
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::NotUtf8 => "not-utf8",
            Self::Malformed => "bad-job",
            Self::TaskCount => "task-count",
        }
    }

    pub(crate) fn message(self) -> &'static str {
        match self {
            Self::NotUtf8 => "a job is a JSON document in UTF-8",
            Self::Malformed => {
                "a job is {\"submission\", \"service\", \"deadline_ms\"?, \"tasks\": \
                 [{\"operation\", \"body\"?, \"cores\"?, \"memory_mb\"?}]}"
            }
            Self::TaskCount => "a job has 1 to 240 tasks",
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskDocument<'a> {
    operation: String,
    #[serde(borrow, default)]
    body: Option<&'a RawValue>,
    #[serde(default)]
    cores: u32,
    #[serde(default)]
    memory_mb: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobDocument<'a> {
    submission: String,
    service: String,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(borrow)]
    tasks: Vec<TaskDocument<'a>>,
}

/// A parsed job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) submission: String,
    pub(crate) service: String,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) tasks: Vec<TaskRequest>,
}

/// Parses a job. Each task's body is the unchanged slice of the document.
pub(crate) fn parse_job(body: &Bytes) -> Result<Job, JobError> {
    let text = std::str::from_utf8(body).map_err(|_| JobError::NotUtf8)?;
    let document: JobDocument<'_> = serde_json::from_str(text).map_err(|_| JobError::Malformed)?;
    if !(1..=MAX_TASKS).contains(&document.tasks.len()) {
        return Err(JobError::TaskCount);
    }
    let task = |task: TaskDocument<'_>| TaskRequest {
        operation: task.operation.as_str().into(),
        body: task
            .body
            .map_or_else(Bytes::new, |raw| body.slice_ref(raw.get().as_bytes())),
        cores: task.cores,
        memory_mb: task.memory_mb,
    };
    Ok(Job {
        submission: document.submission,
        service: document.service,
        deadline_ms: document.deadline_ms,
        tasks: document.tasks.into_iter().map(task).collect(),
    })
}
