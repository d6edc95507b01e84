//! Which incarnation of the instance is present, and its reports about itself.
//!
//! A heartbeat may arrive late, or come from another writer than the instance. One that names
//! another incarnation than the present one therefore proves nothing: believing it would report
//! runs as ended that continue. Only answers of the instance itself tell of a restart.

use std::collections::BTreeSet;

use hemlock_dispatch::prelude::{InstanceId, InstanceReport, RefusalReason};
use hemlock_jobs::prelude::{RunNumber, TaskKey};
use hemlock_types::time::{DurationMs, Instant};

use super::start_limit::ColdPhase;
use super::{ClockReading, DriverCall, Loss, Runs};
use crate::breaker::Breaker;
use crate::driver::Listing;
use crate::pace::Pace;
use crate::tracked_run::TrackedRun;

/// Largest difference of the sequence numbers of two heartbeats that follow each other.
const MAX_SEQUENCE_STEP: u64 = 1_000_000;
/// Least time between two heartbeats of an instance. Late ones that arrive together follow each other
/// faster.
const MIN_HEARTBEAT_INTERVAL: DurationMs = DurationMs::new(300);

/// Periodic status report of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identity, capacity and state of the instance.
    pub instance: InstanceReport,
    /// Increases with each heartbeat since the instance was started, so that late ones are
    /// detected.
    pub sequence: u64,
    /// Time for which the instance will still be slow, in milliseconds; zero if it isn't, or if it
    /// doesn't report it.
    pub cold_left_ms: u64,
}

/// Change of the instance that its owners must be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceChange {
    /// No change.
    None,
    /// The instance's report or reachability has changed; its runs continue.
    Updated,
    /// All runs known before have ended.
    RunsLost,
}

/// How a heartbeat was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is of the present incarnation, or is ignored.
    Handled(InstanceChange),
    /// The heartbeat names another incarnation than the present one, and nothing has changed. It
    /// must be passed to [`Runs::confirm_heartbeat`] with an answer of the instance that it names.
    Unconfirmed,
}

/// What an answer of the instance says of an unconfirmed heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The heartbeat is of the present incarnation and was applied. The calls must follow.
    Confirmed(InstanceChange, Vec<DriverCall>),
    /// The answer is of another incarnation than the one that the heartbeat names.
    Refuted,
    /// The answer may be older than what is known, so another one is needed.
    Outdated,
}

/// What is known about the present incarnation of the instance.
#[derive(Clone, Debug, Default)]
pub(super) struct IncarnationState {
    /// Start time in Unix milliseconds, as the instance answered; `None` before the first answer.
    born_ms: Option<u64>,
    /// Time at which the first answer of this incarnation was received.
    since: Instant,
    /// Highest sequence number of its heartbeats.
    max_sequence: u64,
    /// Sequence number of the latest heartbeat that was held back because its number is far above
    /// the others.
    sequence_ahead: Option<u64>,
    /// Sequence number and time of a heartbeat that counted as late.
    sequence_behind: Option<(u64, Instant)>,
    /// The service in its latest heartbeat, if that differs from the one in the heartbeats before.
    other_service: Option<String>,
}

impl IncarnationState {
    /// Whether a heartbeat of the present incarnation with this sequence number is newer than the
    /// ones before.
    ///
    /// A single number that is far above the others is of another writer, and must not make those
    /// that follow look late. If the next heartbeats continue it, it is sound. If they continue the
    /// numbers below, a higher number that was accepted before wasn't: late heartbeats arrive
    /// together, and new ones at intervals.
    fn admits_sequence(&mut self, now: Instant, sequence: u64) -> bool {
        let is_ahead = sequence > self.max_sequence.saturating_add(MAX_SEQUENCE_STEP);
        let continues_ahead = self.sequence_ahead.is_some_and(|ahead| sequence > ahead);
        let behind = self.sequence_behind;
        let continues_behind = behind.is_some_and(|(behind, received_at)| {
            sequence > behind && now >= received_at + MIN_HEARTBEAT_INTERVAL
        });
        match sequence > self.max_sequence {
            true if is_ahead && !continues_ahead => {
                self.sequence_ahead = Some(sequence);
                false
            }
            false if !continues_behind => {
                if behind.is_none_or(|(behind, _)| sequence <= behind) {
                    self.sequence_behind = Some((sequence, now));
                }
                false
            }
            true | false => true,
        }
    }

    /// Records the sequence number of a heartbeat that takes effect.
    fn note_sequence(&mut self, sequence: u64) {
        self.sequence_ahead = None;
        self.sequence_behind = None;
        self.max_sequence = sequence;
    }
}

impl Runs {
    /// Handles a heartbeat. Late heartbeats of the present incarnation are ignored.
    pub fn heartbeat_received(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        let present = self.instance.as_ref().map(|instance| &instance.id);
        match present == Some(&heartbeat.instance.id) {
            true => HeartbeatOutcome::Handled(self.note_heartbeat(now, heartbeat)),
            false => HeartbeatOutcome::Unconfirmed,
        }
    }

    /// Handles a heartbeat of an unconfirmed incarnation after the instance that it names has
    /// answered a request sent at `asked_at` with `listing`.
    pub fn confirm_heartbeat(
        &mut self,
        now: Instant,
        asked_at: Instant,
        heartbeat: &Heartbeat,
        listing: &Listing,
    ) -> Confirmation {
        let born_ms = heartbeat.instance.id.born_ms;
        let is_present = self.reachable && self.incarnation.born_ms == Some(born_ms);
        let (change, calls) = match is_present {
            _ if listing.born_ms != born_ms => return Confirmation::Refuted,
            true => (InstanceChange::None, Vec::new()),
            false if self.is_outdated(asked_at, born_ms) => return Confirmation::Outdated,
            false => self.handle_listing(now, asked_at, listing),
        };
        let change = match (change, self.note_heartbeat(now, heartbeat)) {
            (InstanceChange::RunsLost, _) => InstanceChange::RunsLost,
            (change, InstanceChange::None) => change,
            (_, changed) => changed,
        };
        Confirmation::Confirmed(change, calls)
    }

    /// Takes over a heartbeat of the present incarnation.
    fn note_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> InstanceChange {
        let report = &heartbeat.instance;
        let known = self.instance.as_ref().filter(|known| known.id == report.id);
        if known.is_some() && !self.incarnation.admits_sequence(now, heartbeat.sequence) {
            return InstanceChange::None;
        }
        if known.is_some_and(|known| known.service != report.service)
            && self.incarnation.other_service.as_ref() != Some(&report.service)
        {
            // An incarnation stays with its service, so this is of another writer. If the next
            // heartbeat names the same service, the earlier one was.
            self.incarnation.other_service = Some(report.service.clone());
            return InstanceChange::None;
        }
        self.incarnation.other_service = None;
        self.incarnation.note_sequence(heartbeat.sequence);
        let changed = self.instance.as_ref() != Some(report);
        self.instance = Some(report.clone());
        self.note_cold_left(now, heartbeat.cold_left_ms);
        self.refuse_queue_if_evacuated();
        self.refuse_oversized_starts();
        if report.draining {
            self.refuse_queue(RefusalReason::NoInstance);
        }
        match changed {
            true => InstanceChange::Updated,
            false => InstanceChange::None,
        }
    }

    /// Start time of the present incarnation, as the instance answered, in Unix milliseconds; `None`
    /// before the first answer.
    pub fn born_ms(&self) -> Option<u64> {
        self.incarnation.born_ms
    }

    /// Whether a request sent at `asked_at` may have been answered, or refused, before the present
    /// incarnation was started. Only later requests tell that it has exited.
    pub fn predates_incarnation(&self, asked_at: Instant) -> bool {
        asked_at < self.incarnation.since
    }

    /// Whether an answer to a request sent at `asked_at` may be older than what is known: answers
    /// on different connections may overtake each other.
    pub(super) fn is_outdated(&self, asked_at: Instant, born_ms: u64) -> bool {
        let is_other = self.incarnation.born_ms != Some(born_ms);
        asked_at < self.last_answered_request_at
            || (is_other && self.predates_incarnation(asked_at))
    }

    /// Handles the loss of the instance, whose process has exited, as shown by a call made at
    /// `asked_at`.
    pub fn instance_lost(&mut self, now: Instant, asked_at: Instant) -> InstanceChange {
        if self.predates_incarnation(asked_at) {
            return InstanceChange::None;
        }
        self.note_lost(now, Loss::Exit, |_, tracked| tracked.began_after(asked_at))
    }

    pub(super) fn note_lost(
        &mut self,
        now: Instant,
        loss: Loss,
        may_go_on: impl Fn(TaskKey, &TrackedRun) -> bool,
    ) -> InstanceChange {
        let was_present = self.reachable || !self.table.is_empty();
        self.reachable = false;
        self.end_all_runs(now, loss, may_go_on);
        match was_present {
            true => InstanceChange::RunsLost,
            false => InstanceChange::None,
        }
    }

    /// Handles the deregistration of the instance `name`: it counts as draining, and its queued
    /// starts are refused.
    pub fn instance_left(&mut self, name: &str) -> InstanceChange {
        match &mut self.instance {
            Some(instance) if instance.id.name == name && !instance.draining => {
                instance.draining = true;
                self.refuse_queue(RefusalReason::NoInstance);
                InstanceChange::Updated
            }
            _ => InstanceChange::None,
        }
    }

    /// Whether starts that are meant for the instance `meant` can be executed by the current one.
    pub(super) fn accepts_starts_for(&self, meant: &Option<InstanceId>) -> bool {
        match (self.instance(), meant) {
            (Some(instance), Some(meant)) => instance.id == *meant && !instance.draining,
            (None, _) | (_, None) => false,
        }
    }

    /// Updates the start time of the instance with that in a listing, requested at `asked_at`.
    /// Returns true if the instance has been restarted, which ends the runs of its predecessor.
    ///
    /// The name may be the same, so a start that was meant for the predecessor may have reached the
    /// new incarnation. The listing names such a run, or was requested before the run began.
    pub(super) fn note_instance_start(
        &mut self,
        now: Instant,
        asked_at: Instant,
        listing: &Listing,
    ) -> bool {
        let born_ms = listing.born_ms;
        let known_ms = self.incarnation.born_ms;
        if known_ms == Some(born_ms) {
            return false;
        }
        self.incarnation = IncarnationState {
            born_ms: Some(born_ms),
            since: now,
            ..IncarnationState::default()
        };
        self.pace = Pace::default();
        self.ends.clear();
        self.settled = 0;
        self.lease_until_max_ms = 0;
        if known_ms.is_none() {
            return false;
        }
        self.breaker = Breaker::default();
        let running = listing.running.iter().map(|run| (run.task, run.run));
        let ended = listing.ended.iter().map(|end| (end.task, end.run));
        let named: BTreeSet<(TaskKey, RunNumber)> = running.chain(ended).collect();
        self.end_all_runs(now, Loss::Exit, |task, tracked| {
            named.contains(&(task, tracked.run)) || tracked.began_after(asked_at)
        });
        self.report_silent_crashes(now);
        // The new incarnation may have another name, service or kind.
        self.instance = None;
        self.reachable = false;
        self.clock = None;
        self.cold = ColdPhase::default();
        true
    }

    pub(super) fn note_clock(&mut self, at: Instant, clock_ms: u64) {
        self.clock = Some(ClockReading { clock_ms, at });
    }
}
