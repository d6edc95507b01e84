//! A simplified agent, whose gate starts each task of a submission at most once.

use std::collections::HashMap;

use hemlock_types::prelude::*;

/// The entry and request that an answer to a start is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReturnAddress {
    pub(crate) entry: Incarnation,
    pub(crate) request: RequestId,
}

#[derive(Debug)]
struct Run {
    answers: Vec<ReturnAddress>,
    spec: TaskSpec,
    ends_at: Instant,
}

/// The gate of one agent, with its endpoint.
#[derive(Debug)]
pub(crate) struct FakeGate {
    pub(crate) agent: Incarnation,
    pub(crate) slots: usize,
    pub(crate) fails_all_tasks: bool,
    runs: Vec<Run>,
    ended: HashMap<(SubmissionId, TaskIndex), Outcome>,
    fences: HashMap<SubmissionId, Epoch>,
    /// All starts of tasks of submissions, for the checks of the call log.
    pub(crate) starts: Vec<(SubmissionId, TaskIndex)>,
}

/// An answer to a start: its address, the outcome, and the service time in microseconds.
pub(crate) type Settled = (ReturnAddress, Outcome, u64);

impl FakeGate {
    pub(crate) fn new(agent: Incarnation, slots: usize) -> Self {
        Self {
            agent,
            slots,
            fails_all_tasks: false,
            runs: Vec::new(),
            ended: HashMap::new(),
            fences: HashMap::new(),
            starts: Vec::new(),
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.runs.len()
    }

    pub(crate) fn start(
        &mut self,
        now: Instant,
        to: ReturnAddress,
        spec: TaskSpec,
        service_ms: u64,
    ) -> Option<Settled> {
        let refused = Outcome::NotRun(NotRunReason::Refused, NotRunProof::RefusedByGate);
        if let Some(submission) = spec.submission {
            let name = (submission, spec.task);
            if let Some(outcome) = self.ended.get(&name) {
                return Some((to, outcome.clone(), 0));
            }
            let same = |run: &&mut Run| {
                run.spec.submission == Some(submission) && run.spec.task == spec.task
            };
            if let Some(run) = self.runs.iter_mut().find(same) {
                run.answers.push(to);
                return None;
            }
            let fence = self.fences.get(&submission).copied().unwrap_or_default();
            if spec.epoch < fence {
                return Some((to, refused, 0));
            }
        }
        if spec.agent != self.agent || self.runs.len() >= self.slots {
            return Some((to, refused, 0));
        }
        if let Some(submission) = spec.submission {
            self.starts.push((submission, spec.task));
        }
        self.runs.push(Run {
            answers: vec![to],
            spec,
            ends_at: now + DurationMs::new(service_ms),
        });
        None
    }

    pub(crate) fn fence(
        &mut self,
        submission: SubmissionId,
        epoch: Epoch,
    ) -> Vec<(TaskIndex, TaskRecord)> {
        let fence = self.fences.entry(submission).or_default();
        *fence = epoch.max(*fence);
        let ended = self.ended.iter().filter(|((id, _), _)| *id == submission);
        let ended = ended.map(|((_, task), outcome)| (*task, TaskRecord::Ended(outcome.clone())));
        let runs = self.runs.iter();
        let runs = runs.filter(|run| run.spec.submission == Some(submission));
        let running = runs.map(|run| (run.spec.task, TaskRecord::Running));
        ended.chain(running).collect()
    }

    /// Ends the runs whose service time is over, and returns their answers.
    pub(crate) fn advance(&mut self, now: Instant) -> Vec<Settled> {
        let mut settled = Vec::new();
        let (done, running) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.ends_at <= now);
        self.runs = running;
        for run in done {
            let outcome = match self.fails_all_tasks {
                true => Outcome::Failed(FailureKind::BrokenAnswer),
                false => Outcome::Complete(Answer {
                    status: 200,
                    content_type: bytes::Bytes::new(),
                    body: run.spec.body.clone(),
                }),
            };
            if let Some(submission) = run.spec.submission {
                self.ended
                    .insert((submission, run.spec.task), outcome.clone());
            }
            let answers = run.answers.into_iter();
            settled.extend(answers.map(|to| (to, outcome.clone(), 20_000)));
        }
        settled
    }
}
