//! What the instance lists.

use std::collections::BTreeSet;

use hemlock_dispatch::prelude::{RefusalReason, RunEnd, RunReport};
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};

use super::{DriverCall, InstanceChange, RunOutcome, RefusedStart, Runs};
use crate::driver::{Listing, StopCall};
use crate::entry::{Entry, Phase};

/// Added to the time that a stop takes, for timers that fire late, in milliseconds.
const STOP_MARGIN_MS: u64 = 10;

impl Runs {
    /// Takes a listing that was asked for at `asked_at` under the present session.
    pub fn take_listing(
        &mut self,
        now: Instant,
        asked_at: Instant,
        listing: &Listing,
    ) -> (InstanceChange, Vec<DriverCall>) {
        if self.note_life(listing.born_ms) {
            self.reachable = false;
            return (InstanceChange::RunsLost, Vec::new());
        }
        self.note_clock(now, listing.clock_ms);
        let change = match self.reachable {
            true => InstanceChange::None,
            false => InstanceChange::Updated,
        };
        self.reachable = true;
        self.note_ends(listing);
        let stops = self.stop_strangers(listing);
        self.note_vanished(asked_at, listing);
        (change, stops)
    }

    fn note_ends(&mut self, listing: &Listing) {
        for ended in &listing.ended {
            if ended.number <= self.settled || self.ends.contains_key(&ended.number) {
                continue;
            }
            self.ends.insert(ended.number, false);
            let known = self.table.get(&ended.task);
            if known.is_some_and(|entry| entry.run == ended.run) {
                self.remove(ended.task);
            }
            let report = RunReport {
                task: ended.task,
                run: ended.run,
                end: Some(ended.end),
            };
            self.outbox.push(RunOutcome::Ended(report, Some(ended.number)));
        }
    }

    /// Stops what runs without being wanted: a start that was carried out late.
    fn stop_strangers(&mut self, listing: &Listing) -> Vec<DriverCall> {
        let Some(fence) = self.fence() else {
            return Vec::new();
        };
        let mut stops = Vec::new();
        for listed in &listing.running {
            let (task, run) = (listed.task, listed.run);
            if self.table.contains_key(&task) {
                continue;
            }
            let phase = Phase::Stopping {
                began: true,
                accepted: None,
            };
            let needs = Resources::default();
            self.insert(task, Entry { run, needs, phase });
            stops.push(DriverCall::Stop(StopCall { task, run, fence }));
        }
        stops
    }

    /// Notes runs that the instance should list and doesn't.
    fn note_vanished(&mut self, asked_at: Instant, listing: &Listing) {
        let listed: BTreeSet<(TaskKey, RunNumber)> = listing
            .running
            .iter()
            .map(|listed| (listed.task, listed.run))
            .collect();
        let stop_time = DurationMs::new(self.settings.stop_ms + STOP_MARGIN_MS);
        let is_over = |phase: Phase| match phase {
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
            let ended = |end| {
                let end = Some(end);
                RunOutcome::Ended(RunReport { task, run, end }, None)
            };
            self.outbox.push(match entry.phase {
                Phase::Stopping { began: false, .. } => RunOutcome::Refused(RefusedStart {
                    task,
                    run,
                    reason: RefusalReason::Unanswered,
                }),
                Phase::Stopping { .. } => ended(RunEnd::Stopped),
                Phase::Starting | Phase::Running(_) => ended(RunEnd::Lapsed),
            });
        }
    }
}
