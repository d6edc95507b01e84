//! What the instance lists.

use std::collections::BTreeSet;

use hemlock_dispatch::prelude::{RefusalReason, RunEnd, RunReport};
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use super::orders::unclaimed;
use super::{DriverCall, InstanceChange, NumberedEnd, RefusedStart, RunOutcome, Runs};
use crate::driver::Listing;
use crate::entry::{Entry, Owner, Phase};

/// Added to the time that a stop takes, for timers that fire late, in milliseconds.
const STOP_MARGIN_MS: u64 = 10;

impl Runs {
    /// Takes a listing that was asked for at `asked_at`. The first one of an instance's life shows
    /// what an earlier process left.
    pub fn take_listing(
        &mut self,
        now: Instant,
        asked_at: Instant,
        listing: &Listing,
    ) -> (InstanceChange, Vec<DriverCall>) {
        let lost = self.note_life(now, listing.born_ms);
        self.note_clock(now, listing.clock_ms);
        let first = !self.reachable;
        self.reachable = true;
        self.runs_known = true;
        self.answered_at = self.answered_at.max(asked_at);
        self.note_ends(now, listing);
        let mut calls = match first {
            true => {
                self.take_over(now, listing);
                Vec::new()
            }
            false => self.stop_strangers(now, listing),
        };
        self.note_begun(now, listing);
        self.note_vanished(now, asked_at, listing);
        calls.extend(self.start_queued(now));
        let change = match (lost, first) {
            (true, _) => InstanceChange::RunsLost,
            (false, true) => InstanceChange::Updated,
            (false, false) => InstanceChange::None,
        };
        (change, calls)
    }

    fn note_ends(&mut self, now: Instant, listing: &Listing) {
        for ended in &listing.ended {
            if ended.number <= self.settled || self.ends.contains_key(&ended.number) {
                continue;
            }
            let known = self.table.get(&ended.task).copied();
            let known = known.filter(|entry| entry.run == ended.run);
            let owner = known.and_then(|entry| entry.owner);
            if known.is_some() {
                self.remove(ended.task);
            }
            let stalled = known
                .is_some_and(|entry| matches!(entry.phase, Phase::Stopping { stalled: true, .. }));
            let end = match ended.end {
                RunEnd::Stopped if stalled => RunEnd::Stalled,
                end => end,
            };
            let report = RunReport {
                task: ended.task,
                run: ended.run,
                end: Some(end),
                took_ms: known.map_or(0, |entry| entry.took_ms(now)),
            };
            // A gateway's job may run again, so its ends need no record.
            let settled = match owner {
                Some(Owner::Gateway(_)) => true,
                Some(Owner::Leader) => false,
                None => !ended.run.is_recorded(),
            };
            let numbered = NumberedEnd {
                report,
                owner,
                settled,
                outlived: false,
            };
            self.ends.insert(ended.number, numbered);
            // Nobody but the leader can settle an end without an owner.
            let told = owner.or((!settled).then_some(Owner::Leader));
            self.note_over(now, told, report, Some(ended.number));
        }
        self.advance_settled();
    }

    /// Notes starts that were carried out before their answers have come.
    fn note_begun(&mut self, now: Instant, listing: &Listing) {
        for listed in &listing.running {
            let entry = self.table.get(&listed.task).copied();
            let entry = entry.filter(|entry| entry.run == listed.run);
            if entry.is_some_and(|entry| entry.phase == Phase::Starting) {
                self.note_running(now, listed.task);
            }
        }
    }

    /// Takes over what runs at an instance that was not listened to before.
    fn take_over(&mut self, now: Instant, listing: &Listing) {
        for listed in &listing.running {
            if !self.table.contains_key(&listed.task) {
                self.insert(listed.task, unclaimed(listed.run, Phase::Running(now)));
                self.unclaimed_since.get_or_insert(now);
            }
        }
    }

    /// Stops what runs without being wanted: a start that was carried out late.
    fn stop_strangers(&mut self, now: Instant, listing: &Listing) -> Vec<DriverCall> {
        let mut calls = Vec::new();
        for listed in &listing.running {
            if !self.table.contains_key(&listed.task) {
                self.insert(listed.task, unclaimed(listed.run, Phase::Running(now)));
                calls.extend(self.begin_stop(now, listed.task, false));
            }
        }
        calls
    }

    /// Notes runs that the instance should list and doesn't.
    fn note_vanished(&mut self, now: Instant, asked_at: Instant, listing: &Listing) {
        let listed: BTreeSet<(TaskKey, RunNumber)> = listing
            .running
            .iter()
            .map(|listed| (listed.task, listed.run))
            .collect();
        let stop_time = DurationMs::new(self.settings.stop_ms + STOP_MARGIN_MS);
        let is_over = |phase: Phase| match phase {
            // Its end may be among those that aren't listed yet.
            _ if !listing.all_ended => false,
            Phase::Starting => false,
            Phase::Running(since) => since < asked_at,
            Phase::Stopping { accepted, .. } => {
                accepted.is_some_and(|accepted| accepted + stop_time < asked_at)
            }
        };
        let vanished: Vec<(TaskKey, Entry)> = self
            .table
            .iter()
            .filter(|(task, entry)| !listed.contains(&(**task, entry.run)))
            .filter(|(_, entry)| is_over(entry.phase))
            .map(|(task, entry)| (*task, *entry))
            .collect();
        for (task, entry) in vanished {
            self.remove(task);
            let run = entry.run;
            let report = |end| RunReport {
                task,
                run,
                end: Some(end),
                took_ms: entry.took_ms(now),
            };
            match (entry.phase, entry.owner) {
                (Phase::Stopping { began: false, .. }, Some(owner)) => {
                    let reason = RefusalReason::Unanswered;
                    let refused = RefusedStart { task, run, reason };
                    self.outbox.push((owner, RunOutcome::Refused(refused)));
                }
                (Phase::Stopping { stalled: true, .. }, owner) => {
                    self.note_over(now, owner, report(RunEnd::Stalled), None);
                }
                (Phase::Stopping { .. }, owner) => {
                    self.note_over(now, owner, report(RunEnd::Stopped), None);
                }
                (Phase::Starting | Phase::Running(_), owner) => {
                    self.note_over(now, owner, report(RunEnd::Lapsed), None);
                }
            }
        }
    }
}
