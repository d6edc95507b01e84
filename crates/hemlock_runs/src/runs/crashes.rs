//! Runs that end because their instance has exited.

use std::collections::VecDeque;

use hemlock_dispatch::prelude::{CrashSuspect, RefusalReason, RunEnd, RunReport};
use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::{Loss, Runs};
use crate::tracked_run::{Owner, Phase, TrackedRun};

/// Greatest time between the start of a run and that of the last run before a crash for the run to
/// be strongly suspected, in milliseconds. Starts of several owners arrive interleaved.
const STRONG_SUSPICION_MS: u64 = 20;
/// Most crash reports that wait to be recorded. Further ones replace the oldest.
const MAX_CRASH_REPORTS: usize = 1_024;

/// Crash reports that must not be lost with an owner's session.
#[derive(Debug, Default)]
pub(super) struct CrashReports {
    /// Reports of runs whose ends must be recorded, oldest first, until the leader has done so.
    to_record: VecDeque<CrashReport>,
    /// Runs that ended when the instance had been silent for too long. A restart of the instance
    /// shows that it crashed.
    silent: Vec<(Option<Owner>, RunReport)>,
    /// Strongly suspected tasks of the latest crash, until they are taken.
    suspects: Vec<CrashSuspect>,
}

/// The report of a run that its instance's crash has ended.
#[derive(Clone, Copy, Debug)]
struct CrashReport {
    report: RunReport,
    /// Same as [`TrackedRun::is_certain`] when the run ended, and until now.
    is_certain: bool,
    /// Whether a leader may have been told of the crash.
    reported: bool,
}

impl CrashReports {
    fn keep(&mut self, report: CrashReport) {
        if self.to_record.len() >= MAX_CRASH_REPORTS {
            self.to_record.pop_front();
        }
        self.to_record.push_back(report);
    }

    /// All reports, of which the leader is told now.
    pub(super) fn report_all(&mut self) -> impl Iterator<Item = RunReport> + '_ {
        self.to_record.iter_mut().map(|kept| {
            kept.reported = true;
            kept.report
        })
    }

    /// Notes that the leader is told of a crash.
    pub(super) fn note_reported(&mut self, report: &RunReport) {
        let kept = self.to_record.iter_mut();
        kept.filter(|kept| kept.report == *report)
            .for_each(|kept| kept.reported = true);
    }

    /// Notes that a leader may have taken the runs for lost.
    pub(super) fn note_interruption(&mut self) {
        let kept = self.to_record.iter_mut();
        kept.for_each(|kept| kept.is_certain = false);
    }

    /// Certain runs whose crash no leader has been told of.
    pub(super) fn unreported(&self) -> impl Iterator<Item = (TaskKey, RunNumber)> + '_ {
        let kept = self.to_record.iter();
        kept.filter(|kept| kept.is_certain && !kept.reported)
            .map(|kept| (kept.report.task, kept.report.run))
    }

    pub(super) fn settle(&mut self, report: &RunReport) {
        self.to_record.retain(|kept| kept.report != *report);
    }
}

impl Runs {
    /// Ends all tracked runs and refuses all queued starts, because the instance is lost. Runs whose
    /// start calls are unanswered end with these calls, and those that `may_go_on` at the next
    /// incarnation are kept.
    pub(super) fn end_all_runs(
        &mut self,
        now: Instant,
        loss: Loss,
        may_go_on: impl Fn(TaskKey, &TrackedRun) -> bool,
    ) {
        let mut table = std::mem::take(&mut self.table);
        self.used = Resources::default();
        self.stop_retries.clear();
        self.unclaimed_since = None;
        for (task, tracked) in table.extract_if(.., |task, tracked| may_go_on(*task, tracked)) {
            self.insert(task, tracked);
        }
        let instance = self.instance.as_ref();
        let is_leaving = instance.is_some_and(|instance| instance.draining);
        if loss == Loss::Exit {
            let starting = table.extract_if(.., |_, tracked| tracked.phase == Phase::Starting);
            for (task, mut tracked) in starting {
                // A planned exit of the instance is no fault of what it runs.
                let end = match is_leaving {
                    true => RunEnd::Lapsed,
                    false => RunEnd::Crashed(Suspicion::Weak),
                };
                tracked.end_if_unanswered.get_or_insert(end);
                self.insert(task, tracked);
            }
        }
        let youngest_ms = table
            .values()
            .filter(|tracked| matches!(tracked.phase, Phase::Running(_)))
            .map(|tracked| tracked.elapsed_ms(now))
            .min()
            .unwrap_or(0);
        for (task, tracked) in table {
            let end = match loss {
                // A planned exit of the instance is no fault of what it runs.
                Loss::Exit if !is_leaving => end_by_exit(now, &tracked, youngest_ms),
                Loss::Exit | Loss::Silent => RunEnd::Lapsed,
            };
            if let (RunEnd::Crashed(Suspicion::Strong), Some(queue)) = (end, tracked.queue) {
                self.crashes.suspects.push(CrashSuspect { task, queue });
            }
            let report = RunReport {
                task,
                run: tracked.run,
                end: Some(end),
                took_ms: tracked.elapsed_ms(now),
            };
            if loss == Loss::Silent && !is_leaving {
                self.crashes.silent.push((tracked.owner, report));
            }
            self.report_lost_run(now, tracked.owner, tracked.is_certain, report);
        }
        self.refuse_queue(RefusalReason::NoInstance);
    }

    /// Takes the strongly suspected tasks of the crashes since the last call.
    pub fn take_crash_suspects(&mut self) -> Vec<CrashSuspect> {
        std::mem::take(&mut self.crashes.suspects)
    }

    /// Forgets the runs of an instance that fell silent, because it has not crashed.
    pub(super) fn forget_silent_runs(&mut self) {
        self.crashes.silent.clear();
    }

    /// Reports the runs of an instance that fell silent as crashed, after it has been restarted.
    pub(super) fn report_silent_crashes(&mut self, now: Instant) {
        for (owner, report) in std::mem::take(&mut self.crashes.silent) {
            let end = Some(RunEnd::Crashed(Suspicion::Weak));
            // The leader may have been told that the run lapsed, and have started the task again.
            let is_certain = false;
            self.report_lost_run(now, owner, is_certain, RunReport { end, ..report });
        }
    }

    /// Ends a run whose instance was lost before its start call has ended without an answer.
    pub(super) fn end_lost_start(&mut self, now: Instant, task: TaskKey, tracked: TrackedRun) {
        self.remove(task);
        let report = RunReport {
            task,
            run: tracked.run,
            end: tracked.end_if_unanswered,
            took_ms: 0,
        };
        self.report_lost_run(now, tracked.owner, tracked.is_certain, report);
    }

    fn report_lost_run(
        &mut self,
        now: Instant,
        owner: Option<Owner>,
        is_certain: bool,
        report: RunReport,
    ) {
        let is_recorded = report.run.is_recorded();
        let crashed = matches!(report.end, Some(RunEnd::Crashed(_)));
        if crashed && is_recorded {
            self.crashes.keep(CrashReport {
                report,
                is_certain,
                reported: false,
            });
        }
        // Only the leader records ends, also those of runs whose owner is unknown.
        let recipient = owner.or((crashed && is_recorded).then_some(Owner::Leader));
        self.report_end(now, recipient, report, None);
    }
}

/// How a run ended that was at an instance when the instance exited.
fn end_by_exit(now: Instant, tracked: &TrackedRun, youngest_ms: u64) -> RunEnd {
    let is_among_last = tracked.elapsed_ms(now) <= youngest_ms + STRONG_SUSPICION_MS;
    match tracked.phase {
        Phase::Running(_) if is_among_last => RunEnd::Crashed(Suspicion::Strong),
        // The stop was carried out before the exit.
        Phase::Stopping {
            accepted: Some(_), ..
        } => RunEnd::Lapsed,
        // A stop without an answer may not have reached the instance before it exited.
        Phase::Running(_) | Phase::Starting | Phase::Stopping { .. } => {
            RunEnd::Crashed(Suspicion::Weak)
        }
    }
}
