//! Processing of the instance's listings: ends, unknown runs and runs that are no longer listed.

use std::collections::BTreeSet;

use hemlock_dispatch::prelude::{RefusalReason, RunEnd, RunReport};
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use super::orders::unclaimed_run;
use super::ownership::{OwnershipChange, runs_of};
use super::{DriverCall, InstanceChange, NumberedEnd, RefusedStart, RunOutcome, Runs};
use crate::driver::Listing;
use crate::tracked_run::{Owner, Phase, TrackedRun};

/// Safety margin after the longest duration of a stop, in milliseconds, for timers that fire late.
const STOP_MARGIN_MS: u64 = 10;

impl Runs {
    /// Handles a listing that was requested at `asked_at`, and returns the calls that must follow.
    ///
    /// The first listing after the instance was unreachable shows the runs that an earlier process
    /// left. A listing that may be older than an earlier answer is ignored.
    pub fn handle_listing(
        &mut self,
        now: Instant,
        asked_at: Instant,
        listing: &Listing,
    ) -> (InstanceChange, Vec<DriverCall>) {
        if self.is_outdated(asked_at, listing.born_ms) {
            return (InstanceChange::None, Vec::new());
        }
        let restarted = self.note_instance_start(now, asked_at, listing);
        self.note_clock(now, listing.clock_ms);
        let first = !self.reachable;
        self.reachable = true;
        self.runs_known = true;
        self.fence_accepted = true;
        self.last_answered_request_at = self.last_answered_request_at.max(asked_at);
        self.note_ends(now, listing, first);
        if first && !restarted {
            self.forget_silent_runs();
        }
        let mut calls = match (restarted, first) {
            (true, _) => self.stop_inherited_runs(now, listing),
            (false, true) => {
                self.import_runs(now, listing);
                Vec::new()
            }
            (false, false) => self.stop_unknown_runs(now, listing),
        };
        self.mark_listed_starts(now, listing);
        self.end_unlisted_runs(now, asked_at, listing);
        calls.extend(self.start_queued(now));
        let change = match (restarted, first) {
            (true, _) => InstanceChange::RunsLost,
            (false, true) => InstanceChange::Updated,
            (false, false) => InstanceChange::None,
        };
        (change, calls)
    }

    /// Processes the listed ends that are new. The first listing may have ends of runs that aren't in
    /// the table.
    fn note_ends(&mut self, now: Instant, listing: &Listing, is_first: bool) {
        for ended in &listing.ended {
            let key = (ended.number, ended.task, ended.run);
            if ended.number <= self.settled || self.ends.contains_key(&key) {
                continue;
            }
            let known = self.table.get(&ended.task).copied();
            let known = known.filter(|tracked| tracked.run == ended.run);
            let owner = known.and_then(|tracked| tracked.owner);
            if known.is_some() {
                self.remove(ended.task);
            }
            let stalled = known.is_some_and(|tracked| {
                matches!(tracked.phase, Phase::Stopping { stalled: true, .. })
            });
            let end = match ended.end {
                RunEnd::Stopped if stalled => RunEnd::Stalled,
                end => end,
            };
            // A stalled run was stopped early, so its duration is a lower bound.
            if let (Some(tracked), RunEnd::Done | RunEnd::Stalled) = (known, end) {
                self.pace.add(tracked.expected_ms, tracked.elapsed_ms(now));
            }
            let report = RunReport {
                task: ended.task,
                run: ended.run,
                end: Some(end),
                took_ms: known.map_or(0, |tracked| tracked.elapsed_ms(now)),
            };
            // A gateway's jobs are best effort and may run again, so their ends need no record.
            let settled = match owner {
                Some(Owner::Gateway(_)) => true,
                Some(Owner::Leader) => false,
                None => !ended.run.is_recorded(),
            };
            let numbered = NumberedEnd {
                report,
                owner,
                is_expected: known.is_some() || is_first,
                is_certain: known.is_some_and(|tracked| tracked.is_certain),
                settled,
                reported: false,
                lease_lapsed: false,
            };
            self.ends.insert(key, numbered);
            // Only the leader can settle an end that has no owner.
            let recipient = owner.or((!settled).then_some(Owner::Leader));
            self.report_end(now, recipient, report, Some(ended.number));
        }
        self.advance_settled();
    }

    /// Marks runs as running that are listed before the answers to their starts have arrived.
    fn mark_listed_starts(&mut self, now: Instant, listing: &Listing) {
        for listed in &listing.running {
            let tracked = self.table.get(&listed.task).copied();
            let tracked = tracked.filter(|tracked| tracked.run == listed.run);
            if tracked.is_some_and(|tracked| tracked.phase == Phase::Starting) {
                self.mark_running(now, listed.task);
            }
        }
    }

    /// Adds the runs in the first listing as unclaimed, so that their owners can claim them.
    fn import_runs(&mut self, now: Instant, listing: &Listing) {
        let mut found = Vec::new();
        for listed in &listing.running {
            if !self.table.contains_key(&listed.task) {
                self.insert(listed.task, unclaimed_run(listed.run, Phase::Running(now)));
                self.unclaimed_since.get_or_insert(now);
                found.push((listed.task, listed.run));
            }
        }
        if !found.is_empty() {
            self.ownership_changes.push(OwnershipChange::Found(found));
        }
    }

    /// Stops listed runs that are not in the table: their starts were executed late.
    fn stop_unknown_runs(&mut self, now: Instant, listing: &Listing) -> Vec<DriverCall> {
        let mut calls = Vec::new();
        for listed in &listing.running {
            if !self.table.contains_key(&listed.task) {
                self.insert(listed.task, unclaimed_run(listed.run, Phase::Running(now)));
                calls.extend(self.begin_stop(now, listed.task, false));
            }
        }
        if !calls.is_empty() {
            let unknown = OwnershipChange::Unknown(runs_of(&calls));
            self.ownership_changes.push(unknown);
        }
        calls
    }

    /// Stops all runs that a restarted instance lists or that began after the listing was requested:
    /// their starts were meant for its predecessor, which may have been of another service or kind.
    /// Those in the table are over once the stop is confirmed.
    fn stop_inherited_runs(&mut self, now: Instant, listing: &Listing) -> Vec<DriverCall> {
        let listed = listing
            .running
            .iter()
            .map(|listed| (listed.task, listed.run));
        let listed: BTreeSet<(TaskKey, RunNumber)> = listed.collect();
        let kept = self.table.iter().filter(|(task, tracked)| {
            listed.contains(&(**task, tracked.run)) || tracked.phase != Phase::Starting
        });
        let kept: Vec<TaskKey> = kept.map(|(task, _)| *task).collect();
        let mut calls = Vec::new();
        for task in kept {
            // An earlier stop of the run may have reached the predecessor.
            self.mark_running(now, task);
            calls.extend(self.begin_stop(now, task, false));
        }
        calls.extend(self.stop_unknown_runs(now, listing));
        calls
    }

    /// Removes runs that the instance should list and does not, and reports their ends.
    fn end_unlisted_runs(&mut self, now: Instant, asked_at: Instant, listing: &Listing) {
        let listed: BTreeSet<(TaskKey, RunNumber)> = listing
            .running
            .iter()
            .map(|listed| (listed.task, listed.run))
            .collect();
        let stop_time = DurationMs::new(self.settings.max_stop_ms + STOP_MARGIN_MS);
        let has_ended = |phase: Phase| match phase {
            // The listing is truncated, so the end of the run may be missing from it.
            _ if !listing.ended_complete => false,
            Phase::Starting => false,
            Phase::Running(since) => since < asked_at,
            Phase::Stopping { accepted, .. } => {
                accepted.is_some_and(|accepted| accepted + stop_time < asked_at)
            }
        };
        let unlisted: Vec<(TaskKey, TrackedRun)> = self
            .table
            .iter()
            .filter(|(task, tracked)| !listed.contains(&(**task, tracked.run)))
            .filter(|(task, _)| !listing.unclear.contains(task))
            .filter(|(_, tracked)| has_ended(tracked.phase))
            .map(|(task, tracked)| (*task, *tracked))
            .collect();
        for (task, tracked) in unlisted {
            self.remove(task);
            let run = tracked.run;
            let report = |end| RunReport {
                task,
                run,
                end: Some(end),
                took_ms: tracked.elapsed_ms(now),
            };
            match (tracked.phase, tracked.owner) {
                (Phase::Stopping { started: false, .. }, Some(owner)) => {
                    self.breaker.record_other_end(task);
                    let reason = RefusalReason::Unanswered;
                    let refused = RefusedStart { task, run, reason };
                    self.outbox.push((owner, RunOutcome::Refused(refused)));
                }
                (Phase::Stopping { stalled: true, .. }, owner) => {
                    self.report_end(now, owner, report(RunEnd::Stalled), None);
                }
                (Phase::Stopping { .. }, owner) => {
                    self.report_end(now, owner, report(RunEnd::Stopped), None);
                }
                (Phase::Starting | Phase::Running(_), owner) => {
                    self.report_end(now, owner, report(RunEnd::Lapsed), None);
                }
            }
        }
    }
}
