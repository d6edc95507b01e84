//! What a stand-in has seen, counted apart from what the system claims.

use std::collections::HashMap;

use serde::Serialize;

use crate::request::WorkRequest;

/// Totals of one stand-in, or of several together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Seen {
    /// Requests that arrived whole.
    pub started: u64,
    /// Requests whose answer was written whole.
    pub finished: u64,
    /// Requests whose caller closed the connection before the answer.
    pub cut: u64,
    /// Requests that a fault kept from a whole answer.
    pub faulted: u64,
    /// Requests running now.
    pub running: u64,
    /// The most requests that ran at once.
    pub peak_running: u64,
    /// Starts of a task that had started before.
    pub duplicate_starts: u64,
    /// Starts with an idempotency key that had started before.
    pub duplicate_keys: u64,
}

impl Seen {
    /// The totals of both.
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

/// Totals and every start by name.
#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) seen: Seen,
    tasks: HashMap<(String, String), u32>,
    keys: HashMap<String, u32>,
}

impl Record {
    /// Counts a start.
    pub(crate) fn start(&mut self, request: &WorkRequest, by_name: bool) {
        self.seen.started += 1;
        self.seen.running += 1;
        self.seen.peak_running = self.seen.peak_running.max(self.seen.running);
        if !by_name {
            return;
        }
        if let (Some(submission), Some(task)) = (&request.submission, &request.task) {
            let count = self
                .tasks
                .entry((submission.clone(), task.clone()))
                .or_default();
            *count += 1;
            self.seen.duplicate_starts += u64::from(*count > 1);
        }
        if let Some(key) = request.key() {
            let count = self.keys.entry(key.to_owned()).or_default();
            *count += 1;
            self.seen.duplicate_keys += u64::from(*count > 1);
        }
    }

    /// How often each task has started.
    pub(crate) fn task_starts(&self) -> &HashMap<(String, String), u32> {
        &self.tasks
    }

    /// How often each key has started.
    pub(crate) fn key_starts(&self) -> &HashMap<String, u32> {
        &self.keys
    }
}
