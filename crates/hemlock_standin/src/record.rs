//! Counts of the requests that a stand-in received, independent of what the system reports.

use std::collections::HashMap;

use serde::Serialize;

use crate::request::WorkRequest;

/// Request counts of one stand-in, or of several together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestCounts {
    /// Requests that were received completely.
    pub started: u64,
    /// Requests whose response was sent completely.
    pub finished: u64,
    /// Requests whose caller closed the connection before the response.
    pub cut: u64,
    /// Requests that got no complete response because of an injected fault.
    pub faulted: u64,
    /// Requests that are running now.
    pub running: u64,
    /// Maximum number of requests that ran at the same time.
    pub peak_running: u64,
    /// Starts of tasks that had already started before.
    pub duplicate_starts: u64,
    /// Starts with a key that had already been used before.
    pub duplicate_keys: u64,
}

impl RequestCounts {
    /// Adds two counts. `peak_running` is the larger of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            started: self.started + other.started,
            finished: self.finished + other.finished,
            cut: self.cut + other.cut,
            faulted: self.faulted + other.faulted,
            running: self.running + other.running,
            peak_running: self.peak_running.max(other.peak_running),
            duplicate_starts: self.duplicate_starts + other.duplicate_starts,
            duplicate_keys: self.duplicate_keys + other.duplicate_keys,
        }
    }
}

/// Request counts, and the number of starts of each task and key.
#[derive(Debug, Default)]
pub(crate) struct StartRecord {
    pub(crate) counts: RequestCounts,
    tasks: HashMap<(String, String), u32>,
    keys: HashMap<String, u32>,
}

impl StartRecord {
    /// Counts a start, and if `count_each` is set also by task and key.
    pub(crate) fn start(&mut self, request: &WorkRequest, count_each: bool) {
        self.counts.started += 1;
        self.counts.running += 1;
        self.counts.peak_running = self.counts.peak_running.max(self.counts.running);
        if !count_each {
            return;
        }
        if let (Some(submission), Some(task)) = (&request.submission, &request.task) {
            let count = self
                .tasks
                .entry((submission.clone(), task.clone()))
                .or_default();
            *count += 1;
            self.counts.duplicate_starts += u64::from(*count > 1);
        }
        if let Some(key) = request.key() {
            let count = self.keys.entry(key.to_owned()).or_default();
            *count += 1;
            self.counts.duplicate_keys += u64::from(*count > 1);
        }
    }

    /// Number of starts of each task, by submission and task number.
    pub(crate) fn task_starts(&self) -> &HashMap<(String, String), u32> {
        &self.tasks
    }

    /// Number of starts of each key.
    pub(crate) fn key_starts(&self) -> &HashMap<String, u32> {
        &self.keys
    }
}
