//! Record of what happened to each job, for the report of a violation.

use std::fmt::Write as _;

use hemlock_jobs::prelude::*;

use super::{MS, Node, Simulation};

/// Most lines of a trace.
const MAX_LINES: usize = 160;

#[derive(Clone, Debug)]
pub(super) struct TraceEntry {
    at_us: u64,
    /// The job; `None` if the entry concerns all.
    job: Option<JobId>,
    what: What,
}

#[derive(Clone, Debug)]
enum What {
    Task(TaskKey, RunNumber, usize, &'static str),
    Job(usize, &'static str),
    Node(Node, &'static str),
    Link(usize, usize, &'static str),
    Instance(usize, u64, &'static str),
}

/// Two runs of a task at the same time.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) at_us: u64,
    pub(crate) task: TaskKey,
    pub(crate) instances: [usize; 2],
    pub(crate) trace: String,
}

impl Simulation {
    fn note(&mut self, job: Option<JobId>, what: What) {
        let at_us = self.now_us;
        self.trace.push(TraceEntry { at_us, job, what });
    }

    pub(super) fn note_task(
        &mut self,
        task: TaskKey,
        run: RunNumber,
        place: usize,
        text: &'static str,
    ) {
        self.note(Some(task.job), What::Task(task, run, place, text));
    }

    pub(super) fn note_job(&mut self, job: JobId, gateway: usize, text: &'static str) {
        self.note(Some(job), What::Job(gateway, text));
    }

    pub(super) fn note_process(&mut self, node: Node, text: &'static str) {
        self.note(None, What::Node(node, text));
    }

    pub(super) fn note_link(&mut self, gateway: usize, runner: usize, text: &'static str) {
        self.note(None, What::Link(gateway, runner, text));
    }

    pub(super) fn note_instance(&mut self, index: usize, born_ms: u64, text: &'static str) {
        self.note(None, What::Instance(index, born_ms, text));
    }

    pub(super) fn note_violation(&mut self, task: TaskKey, instances: [usize; 2]) {
        if self.violation.is_some() {
            return;
        }
        self.violation = Some(Violation {
            at_us: self.now_us,
            task,
            instances,
            trace: self.trace_of(task, instances),
        });
    }

    fn trace_of(&self, task: TaskKey, instances: [usize; 2]) -> String {
        let of_job = self.trace.iter().filter(|e| e.job == Some(task.job));
        let from_us = of_job.map(|e| e.at_us).min().unwrap_or(0);
        let concerns = |entry: &&TraceEntry| match &entry.what {
            What::Task(key, ..) => *key == task,
            What::Job(..) => entry.job == Some(task.job),
            What::Node(Node::Runner(index), _) | What::Instance(index, ..) => {
                instances.contains(index)
            }
            What::Node(Node::Gateway(_), _) => true,
            What::Link(_, runner, _) => instances.contains(runner),
        };
        let entries = self
            .trace
            .iter()
            .filter(|e| e.at_us + 1_000 * MS >= from_us);
        let mut text = String::new();
        let lines: Vec<&TraceEntry> = entries.filter(concerns).collect();
        for entry in lines.iter().skip(lines.len().saturating_sub(MAX_LINES)) {
            let ms = entry.at_us as f64 / MS as f64;
            let _ = match &entry.what {
                What::Task(key, run, place, what) => {
                    writeln!(
                        text,
                        "{ms:10.2} task {key} run {} at {place}: {what}",
                        run.0
                    )
                }
                What::Job(gateway, what) => writeln!(text, "{ms:10.2} gateway {gateway}: {what}"),
                What::Node(node, what) => writeln!(text, "{ms:10.2} {node:?} {what}"),
                What::Link(gateway, runner, what) => {
                    writeln!(
                        text,
                        "{ms:10.2} gateway {gateway} - runner {runner}: {what}"
                    )
                }
                What::Instance(index, born, what) => {
                    writeln!(text, "{ms:10.2} instance {index} born {born}: {what}")
                }
            };
        }
        text
    }
}
