//! The demonstration's counts, from what the stand-in endpoints and the callers saw.

use std::collections::HashMap;

use serde::Serialize;

use crate::demo::caller::Seen;
use crate::demo::cluster::Sighting;
use crate::demo::plan::{Plan, Submission};
use crate::demo::script::Played;

/// The last line of the demonstration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Report {
    /// Submissions sent.
    submitted: u64,
    /// Answered whole.
    complete: u64,
    /// Answered as failed.
    failed: u64,
    /// Answered as not run.
    not_run: u64,
    /// Answered as complete without one own answer for each task.
    partial: u64,
    /// Starts beyond the first of a task that may start once.
    duplicate_starts: u64,
    /// Requests cut at an endpoint, or failed after a start at the endpoint that stopped.
    cut_in_flight: u64,
    /// Submitted without any answer.
    lost: u64,
    /// Answered as not run although an endpoint started it.
    false_not_run: u64,
    /// Sent again through the other entry.
    resubmitted: u64,
    /// Sent again and not answered like the first time.
    resubmitted_otherwise: u64,
    /// Starts at the stopped endpoint later than a few seconds after the stop.
    late_starts: u64,
}

impl Report {
    /// Counts what was seen.
    pub(crate) fn count(plan: &Plan, played: &Played, sightings: &[Sighting]) -> Self {
        let mut starts: HashMap<&str, u32> = HashMap::new();
        for sighting in sightings {
            for (key, count) in &sighting.starts {
                *starts.entry(key.as_str()).or_default() += count;
            }
        }
        let mut report = Self {
            late_starts: played.late_starts,
            ..Self::default()
        };
        for (submission, answers) in plan.submissions.iter().zip(&played.answers) {
            report.count_submission(submission, answers, &starts);
        }
        report.count_cuts(plan, played, sightings);
        report
    }

    fn count_submission(
        &mut self,
        submission: &Submission,
        answers: &[Seen],
        starts: &HashMap<&str, u32>,
    ) {
        let starts_of = |key: &str| starts.get(key).copied().unwrap_or(0);
        let started: u32 = submission
            .tasks
            .iter()
            .map(|task| starts_of(&task.key))
            .sum();
        if submission.starts_once() {
            let beyond_first = |key: &str| u64::from(starts_of(key).saturating_sub(1));
            let duplicates = submission.tasks.iter().map(|task| beyond_first(&task.key));
            self.duplicate_starts += duplicates.sum::<u64>();
        }
        let Some((first, again)) = answers.split_first() else {
            return;
        };
        self.submitted += 1;
        match first {
            Seen::Complete(_) => self.complete += 1,
            Seen::Partial(_) => self.partial += 1,
            Seen::Failed(_) => self.failed += 1,
            Seen::NotRun(_) => self.not_run += 1,
            Seen::Lost(_) => self.lost += 1,
        }
        for answer in again {
            self.resubmitted += 1;
            self.resubmitted_otherwise += u64::from(answer != first);
        }
        let called_not_run = |answer: &&Seen| matches!(answer, Seen::NotRun(_)) && started > 0;
        self.false_not_run += answers.iter().filter(called_not_run).count() as u64;
    }

    fn count_cuts(&mut self, plan: &Plan, played: &Played, sightings: &[Sighting]) {
        let cut: u64 = sightings.iter().map(|sighting| sighting.totals.cut).sum();
        let Some(stopped) = played.stopped.and_then(|index| sightings.get(index)) else {
            self.cut_in_flight = cut;
            return;
        };
        let started_there = |submission: &Submission| {
            let mut keys = submission.tasks.iter().map(|task| &task.key);
            keys.any(|key| stopped.starts.contains_key(key))
        };
        let failed_there = plan
            .submissions
            .iter()
            .zip(&played.answers)
            .filter(|(submission, answers)| {
                matches!(answers.first(), Some(Seen::Failed(_) | Seen::Lost(_)))
                    && started_there(submission)
            })
            .count() as u64;
        self.cut_in_flight = cut.max(failed_there);
    }

    /// Whether every promise held.
    pub(crate) fn keeps_promises(&self) -> bool {
        let answered = self.complete + self.failed + self.not_run;
        let broken = self.partial
            + self.duplicate_starts
            + self.cut_in_flight
            + self.lost
            + self.false_not_run
            + self.resubmitted_otherwise
            + self.late_starts;
        broken == 0 && answered == self.submitted
    }

    /// The report as one line of JSON.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a struct of numbers has a JSON form")
    }
}
