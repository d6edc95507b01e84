//! The report of the demonstration, from the counts of the stand-in endpoints and the callers.

use std::collections::HashMap;

use serde::Serialize;

use crate::demo::caller::Answer;
use crate::demo::cluster::EndpointCounts;
use crate::demo::plan::{Plan, Submission};
use crate::demo::script::ScriptResult;

/// Report that the demonstration prints as its last line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Report {
    /// Number of submissions.
    submitted: u64,
    /// Submissions with a complete answer.
    complete: u64,
    /// Submissions answered as failed.
    failed: u64,
    /// Submissions answered as not run.
    not_run: u64,
    /// Submissions answered as complete without the right response for each task.
    partial: u64,
    /// Repeated starts of tasks that must start only once.
    duplicate_starts: u64,
    /// Requests whose connection was closed while an endpoint ran them. At least the number of
    /// submissions that failed after a start on the stopped endpoint.
    cut_in_flight: u64,
    /// Submissions without an answer.
    lost: u64,
    /// Answers that say not run although an endpoint started a task of the submission.
    false_not_run: u64,
    /// Submissions sent again through the other entry.
    resubmitted: u64,
    /// Submissions sent again whose second answer differs from the first.
    resubmitted_otherwise: u64,
    /// Starts on the stopped endpoint more than a few seconds after its stop was announced.
    late_starts: u64,
}

impl Report {
    /// Counts the results.
    pub(crate) fn count(
        plan: &Plan,
        result: &ScriptResult,
        endpoint_counts: &[EndpointCounts],
    ) -> Self {
        let mut starts: HashMap<&str, u32> = HashMap::new();
        for counts in endpoint_counts {
            for (key, count) in &counts.starts {
                *starts.entry(key.as_str()).or_default() += count;
            }
        }
        let mut report = Self {
            late_starts: result.late_starts,
            ..Self::default()
        };
        for (submission, answers) in plan.submissions.iter().zip(&result.answers) {
            report.count_submission(submission, answers, &starts);
        }
        report.count_cuts(plan, result, endpoint_counts);
        report
    }

    fn count_submission(
        &mut self,
        submission: &Submission,
        answers: &[Answer],
        starts: &HashMap<&str, u32>,
    ) {
        let starts_of = |key: &str| starts.get(key).copied().unwrap_or(0);
        let started: u32 = submission
            .tasks
            .iter()
            .map(|task| starts_of(&task.key))
            .sum();
        if submission.must_start_once() {
            let beyond_first = |key: &str| u64::from(starts_of(key).saturating_sub(1));
            let duplicates = submission.tasks.iter().map(|task| beyond_first(&task.key));
            self.duplicate_starts += duplicates.sum::<u64>();
        }
        let Some((first, again)) = answers.split_first() else {
            return;
        };
        self.submitted += 1;
        match first {
            Answer::Complete(_) => self.complete += 1,
            Answer::Partial(_) => self.partial += 1,
            Answer::Failed(_) => self.failed += 1,
            Answer::NotRun(_) => self.not_run += 1,
            Answer::Lost(_) => self.lost += 1,
        }
        for answer in again {
            self.resubmitted += 1;
            self.resubmitted_otherwise += u64::from(answer != first);
        }
        let called_not_run = |answer: &&Answer| matches!(answer, Answer::NotRun(_)) && started > 0;
        self.false_not_run += answers.iter().filter(called_not_run).count() as u64;
    }

    fn count_cuts(
        &mut self,
        plan: &Plan,
        result: &ScriptResult,
        endpoint_counts: &[EndpointCounts],
    ) {
        let cut: u64 = endpoint_counts.iter().map(|counts| counts.totals.cut).sum();
        let Some(stopped) = result.stopped.and_then(|index| endpoint_counts.get(index)) else {
            self.cut_in_flight = cut;
            return;
        };
        let started_on_stopped = |submission: &Submission| {
            let mut keys = submission.tasks.iter().map(|task| &task.key);
            keys.any(|key| stopped.starts.contains_key(key))
        };
        let failed_on_stopped = plan
            .submissions
            .iter()
            .zip(&result.answers)
            .filter(|(submission, answers)| {
                matches!(answers.first(), Some(Answer::Failed(_) | Answer::Lost(_)))
                    && started_on_stopped(submission)
            })
            .count() as u64;
        self.cut_in_flight = cut.max(failed_on_stopped);
    }

    /// Whether the system met all its guarantees.
    pub(crate) fn meets_guarantees(&self) -> bool {
        let answered = self.complete + self.failed + self.not_run;
        let violations = self.partial
            + self.duplicate_starts
            + self.cut_in_flight
            + self.lost
            + self.false_not_run
            + self.resubmitted_otherwise
            + self.late_starts;
        violations == 0 && answered == self.submitted
    }

    /// Encodes the report as one line of JSON.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a struct of numbers has a JSON form")
    }
}
