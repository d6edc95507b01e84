//! Sessions with owners: begin, claims of runs, recording of ends, and timeouts.

use hemlock_dispatch::prelude::{Inventory, RunEnd, RunReport, SessionId, StopOrder};
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};
use serde::{Deserialize, Serialize};

use super::clock_offset::ClockOffset;
use super::ownership::{OwnershipChange, runs_of};
use super::{DriverCall, OwnerState, Runs, RunsSettings};
use crate::tracked_run::{Owner, Phase, TrackedRun};

/// Multiple of its expected duration after which a run at a suspected instance counts as stalled.
/// Declared durations are off by less.
const SUSPECT_OVERDUE_FACTOR: u64 = 2;
/// Largest difference of the numbers of two ends that follow each other. An instance lists all ends
/// that it isn't told to forget, so the difference is small unless this process is new.
const MAX_END_NUMBER_GAP: u64 = 1_000;
/// Time added to it for the delays with which starts and ends are noticed, in milliseconds.
const SUSPECT_OVERDUE_MS: u64 = 50;

/// A run that an owner expects to be at the instance when it begins a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Task that the run executes.
    pub task: TaskKey,
    /// Number of the run among the task's runs.
    pub run: RunNumber,
    /// Resources that the run occupies at the instance.
    pub needs: Resources,
}

impl Runs {
    /// Begins a session with an owner and refuses orders of its earlier sessions from now on.
    ///
    /// Returns the states of the runs that the owner claims, and its other runs.
    ///
    /// # Panics
    ///
    /// Panics while the runs of earlier processes are unknown: a claimed run that is missing here
    /// would be reported as ended.
    pub fn attach(
        &mut self,
        now: Instant,
        owner: Owner,
        session: SessionId,
        claims: &[Claim],
    ) -> Inventory {
        assert!(
            self.runs_known,
            "claims can only be answered once the runs at the instance are known"
        );
        // A registration isn't confirmed by the leader, which may count the time from an earlier
        // request.
        let last_heard = match (owner, self.owners.get(&owner)) {
            (Owner::Leader, Some(earlier)) => earlier.last_heard,
            _ => now,
        };
        let earlier = self.owners.get(&owner);
        let last_sign = earlier.and_then(|earlier| earlier.last_sign);
        let last_sign = last_sign.or_else(|| self.departed.get(&owner).copied());
        self.owners.insert(
            owner,
            OwnerState {
                session,
                last_heard,
                last_sign,
                closed_at: None,
                last_order: 0,
            },
        );
        self.departed.remove(&owner);
        // The queued starts were ordered in an earlier session.
        self.drop_queued_starts(owner);
        let mut runs: Vec<RunReport> = Vec::new();
        for claim in claims {
            runs.push(self.answer_claim(owner, claim));
        }
        let claimed = |task: &TaskKey| claims.iter().any(|claim| claim.task == *task);
        let others = self.table.iter();
        let others =
            others.filter(|(task, tracked)| tracked.owner == Some(owner) && !claimed(task));
        let others: Vec<(TaskKey, RunNumber)> =
            others.map(|(task, tracked)| (*task, tracked.run)).collect();
        runs.extend(others.iter().map(|(task, run)| RunReport {
            task: *task,
            run: *run,
            end: None,
            took_ms: 0,
        }));
        if owner != Owner::Leader {
            others
                .iter()
                .for_each(|(task, _)| self.stop_soon(now, *task));
        }
        Inventory {
            instance: self.instance().cloned(),
            runs,
            latest_runs: Vec::new(),
        }
    }

    fn answer_claim(&mut self, owner: Owner, claim: &Claim) -> RunReport {
        let (task, run) = (claim.task, claim.run);
        let tracked = self.table.get(&task).copied();
        let running = tracked.filter(|tracked| tracked.run == run);
        let end = match running {
            Some(tracked) => {
                let needs = Some(tracked.needs.unwrap_or(claim.needs.min(&MAX_RESOURCES)));
                let owner = Some(owner);
                self.insert(
                    task,
                    TrackedRun {
                        owner,
                        needs,
                        ..tracked
                    },
                );
                None
            }
            None => {
                let mut ends = self.recent_ends.iter().rev();
                let known = ends.find(|(_, end)| end.task == task && end.run == run);
                // An unknown run has never started and never will: its order belongs to an earlier
                // session.
                Some(known.and_then(|(_, end)| end.end).unwrap_or(RunEnd::Lapsed))
            }
        };
        // The answer to the claim reports the end, so a gateway needs no other report of it.
        let numbered = self.ends.values_mut();
        for ended in numbered.filter(|ended| ended.report.task == task && ended.report.run == run) {
            ended.settled = owner != Owner::Leader;
        }
        self.advance_settled();
        let took_ms = 0;
        RunReport {
            task,
            run,
            end,
            took_ms,
        }
    }

    /// Stops a run with the next tick. Its gateway doesn't claim it, so it has taken the run for
    /// over, and may not receive the answer that tells it otherwise.
    fn stop_soon(&mut self, now: Instant, task: TaskKey) {
        if self.begin_stop(now, task, false).is_some() {
            self.stop_retries.insert(task);
        }
    }

    /// Begins a session with the leader. Returns all runs and ends that may belong to it: its own,
    /// and those of unknown owners whose numbers show that they need a record.
    pub fn attach_leader(&mut self, now: Instant, session: SessionId) -> Inventory {
        if !self.is_continuous(now) {
            self.note_interruption();
        }
        let mut inventory = self.attach(now, Owner::Leader, session, &[]);
        inventory.latest_runs = self.certain_runs().collect();
        let unknown = self.table.iter();
        let unknown =
            unknown.filter(|(_, tracked)| tracked.owner.is_none() && tracked.run.is_recorded());
        inventory
            .runs
            .extend(unknown.map(|(task, tracked)| RunReport {
                task: *task,
                run: tracked.run,
                end: None,
                took_ms: 0,
            }));
        let ends = self.ends.values_mut();
        for ended in ends.filter(|ended| matches!(ended.owner, None | Some(Owner::Leader))) {
            ended.reported = true;
            inventory.runs.push(ended.report);
        }
        inventory.runs.extend(self.crashes.report_all());
        self.outbox.retain(|(owner, _)| *owner != Owner::Leader);
        inventory
    }

    /// Whether a leader has confirmed this process's authority so recently that no leader can have
    /// taken its runs for lost since.
    fn is_continuous(&self, now: Instant) -> bool {
        let authority = DurationMs::new(self.settings.leader_authority_ms);
        let longest_lease = self.longest_lease();
        self.leader_confirmed_at
            .is_some_and(|confirmed_at| now < confirmed_at + authority + longest_lease)
    }

    /// Notes that a leader may have taken all runs for lost, and started their tasks elsewhere.
    fn note_interruption(&mut self) {
        let runs = self.table.values_mut();
        runs.for_each(|tracked| tracked.is_certain = false);
        let ends = self.ends.values_mut();
        ends.for_each(|ended| ended.is_certain = false);
        self.crashes.note_interruption();
    }

    /// The leader's runs after which no leader can have started their tasks again: those that are
    /// active, that have succeeded, or whose end no leader has been told of.
    fn certain_runs(&self) -> impl Iterator<Item = (TaskKey, RunNumber)> + '_ {
        let active = self.table.iter();
        let active = active.filter(|(_, run)| run.owner == Some(Owner::Leader) && run.is_certain);
        let active = active.map(|(task, run)| (*task, run.run));
        let ends = self.ends.values();
        let ends = ends.filter(|ended| {
            let is_final = ended.report.end == Some(RunEnd::Done) || !ended.reported;
            ended.owner == Some(Owner::Leader) && ended.is_certain && is_final
        });
        let ends = ends.map(|ended| (ended.report.task, ended.report.run));
        active.chain(ends).chain(self.crashes.unreported())
    }

    /// Handles the leader's answer to an inventory: settles the ends in it but the deferred ones,
    /// stops the leader's runs in `stops`, and assigns the runs that it keeps to it.
    pub fn leader_adopted(
        &mut self,
        now: Instant,
        inventory: &Inventory,
        stops: &[StopOrder],
        deferred: &[RunReport],
    ) -> Vec<DriverCall> {
        let mut calls = Vec::new();
        for report in &inventory.runs {
            let (task, run) = (report.task, report.run);
            let unwanted = stops
                .iter()
                .any(|stop| stop.task == task && stop.run == run);
            match report.end {
                Some(_) if deferred.contains(report) => {}
                Some(_) => self.settle_report(report),
                None if unwanted => {
                    let owned = self.table.get(&task).and_then(|tracked| tracked.owner);
                    if owned == Some(Owner::Leader) {
                        calls.extend(self.begin_stop(now, task, false));
                    }
                }
                None => {
                    if let Some(tracked) = self.table.get_mut(&task).filter(|e| e.run == run) {
                        tracked.owner = Some(Owner::Leader);
                    }
                }
            }
        }
        calls
    }

    fn settle_report(&mut self, report: &RunReport) {
        let ends = self.ends.values_mut();
        for ended in ends.filter(|ended| ended.report == *report) {
            ended.settled = true;
        }
        self.crashes.settle(report);
        self.advance_settled();
    }

    /// Marks ends as settled that the leader has confirmed.
    pub fn settle_reports<'a>(&mut self, reports: impl IntoIterator<Item = &'a RunReport>) {
        reports
            .into_iter()
            .for_each(|report| self.settle_report(report));
    }

    /// Discards the settled ends up to the first one that isn't settled.
    ///
    /// The instance numbers ends in sequence and forgets all up to the number that it is told. An
    /// unexpected end may be of another writer, whose number would make the instance forget ends
    /// that are still to come. It isn't told such a number until a higher one is listed.
    pub(super) fn advance_settled(&mut self) {
        while let Some((number, _, _)) = self.ends.keys().next().copied() {
            let mut same = self.ends.iter().take_while(|(key, _)| key.0 == number);
            let is_next = number <= self.settled.saturating_add(MAX_END_NUMBER_GAP);
            let is_expected = is_next && same.clone().any(|(_, ended)| ended.is_expected);
            let is_followed = self
                .ends
                .keys()
                .next_back()
                .is_some_and(|key| key.0 > number);
            let is_settled = same.all(|(_, ended)| ended.settled);
            if !is_settled || !(is_expected || is_followed) {
                return;
            }
            while self.ends.keys().next().is_some_and(|key| key.0 == number) {
                self.ends.pop_first();
            }
            self.settled = self.settled.max(number);
        }
    }

    /// Returns when a gateway has sent a message that arrives now, from the time on its clock in
    /// microseconds.
    ///
    /// A message that was held up on its way, or while this process stood still, is no sign that its
    /// sender is alive when it arrives.
    pub fn estimate_sent(&mut self, now: Instant, owner: Owner, sent_us: u64) -> Instant {
        let known = self.clock_offsets.entry(owner);
        let offset = known.or_insert_with(|| ClockOffset::new(now, sent_us));
        offset.estimate_sent(now, sent_us)
    }

    /// Tells that a ping of a gateway has arrived, which was sent at `sent_at`. Returns false if the
    /// session is not its current one, or had expired.
    pub fn gateway_pinged(
        &mut self,
        now: Instant,
        owner: Owner,
        session: SessionId,
        sent_at: Instant,
    ) -> bool {
        let in_session = self.is_in_session(owner, session, now);
        if in_session {
            self.note_sign(owner, sent_at);
        }
        in_session
    }

    /// Notes a sign of a gateway.
    pub(super) fn note_sign(&mut self, owner: Owner, sent_at: Instant) {
        if let Some(state) = self.owners.get_mut(&owner) {
            state.last_heard = state.last_heard.max(sent_at);
            state.last_sign = state.last_sign.max(Some(sent_at));
        }
    }

    /// Tells that a gateway was heard from at `heard_at`, or that the leader confirmed a request
    /// sent then. Returns false if the session is not the owner's current one, or had expired.
    pub fn owner_heard(&mut self, owner: Owner, session: SessionId, heard_at: Instant) -> bool {
        if !self.is_in_session(owner, session, heard_at) {
            return false;
        }
        self.note_sign(owner, heard_at);
        if owner == Owner::Leader {
            self.leader_confirmed_at = self.leader_confirmed_at.max(Some(heard_at));
        }
        true
    }

    /// Whether the owner's session is this one and has not expired.
    ///
    /// A process that was suspended may handle messages that arrived meanwhile before its timer
    /// ends the session. Their sender may have given up its runs here since.
    pub(super) fn is_in_session(&self, owner: Owner, session: SessionId, now: Instant) -> bool {
        self.session(owner) == Some(session) && self.has_session(owner, now)
    }

    /// Whether the owner has a session that has not expired.
    pub(super) fn has_session(&self, owner: Owner, now: Instant) -> bool {
        let state = self.owners.get(&owner);
        state.is_some_and(|state| !is_gone(&self.settings, owner, state, now))
    }

    /// Tells that the connection of an owner's session has closed.
    pub fn owner_closed(&mut self, now: Instant, owner: Owner, session: SessionId) {
        let state = self.owners.get_mut(&owner);
        if let Some(state) = state.filter(|state| state.session == session) {
            state.closed_at.get_or_insert(now);
        }
    }

    /// The owner's current session, if it has one.
    pub fn session(&self, owner: Owner) -> Option<SessionId> {
        self.owners.get(&owner).map(|state| state.session)
    }

    /// Applies all timeouts: ends the sessions of owners that are gone, and stops their runs as
    /// well as unclaimed and stalled ones. Returns the calls that must be made.
    pub fn tick(&mut self, now: Instant) -> Vec<DriverCall> {
        let owners = self.owners.iter();
        let gone: Vec<Owner> = owners
            .filter(|(owner, state)| is_gone(&self.settings, **owner, state, now))
            .map(|(owner, _)| *owner)
            .collect();
        let mut calls = Vec::new();
        for owner in gone {
            let state = self.owners.remove(&owner);
            self.shares.remove(owner);
            self.drop_queued_starts(owner);
            let stops = self.stop_runs_of(now, Some(owner));
            if let Some(state) = state {
                let last_sign = state.last_sign.unwrap_or(Instant::ZERO);
                self.departed.insert(owner, last_sign);
                let change = OwnershipChange::owner_gone(now, owner, &state, &stops);
                self.ownership_changes.push(change);
            }
            calls.extend(stops);
        }
        let table = &self.table;
        let has_runs = |owner: &Owner| table.values().any(|run| run.owner == Some(*owner));
        self.departed.retain(|owner, _| has_runs(owner));
        let owners = &self.owners;
        self.clock_offsets
            .retain(|owner, offset| owners.contains_key(owner) || !offset.is_outdated(now));
        self.mark_lapsed_ends(now);
        self.breaker.advance(now);
        calls.extend(self.stop_unclaimed(now));
        calls.extend(self.stop_stalled(now));
        calls.extend(self.take_stop_retries(now));
        calls.extend(self.start_queued(now));
        calls
    }

    fn stop_runs_of(&mut self, now: Instant, owner: Option<Owner>) -> Vec<DriverCall> {
        let of_owner = |(task, tracked): (&TaskKey, &TrackedRun)| {
            let stopping = matches!(tracked.phase, Phase::Stopping { .. });
            (tracked.owner == owner && !stopping).then_some(*task)
        };
        let tasks: Vec<TaskKey> = self.table.iter().filter_map(of_owner).collect();
        let calls = tasks
            .into_iter()
            .filter_map(|task| self.begin_stop(now, task, false));
        calls.collect()
    }

    /// Stops runs that have exceeded their stall limit. At an instance that has failed or stalled
    /// other runs, a run that is overdue has most likely stalled too.
    fn stop_stalled(&mut self, now: Instant) -> Vec<DriverCall> {
        let is_suspect = !self.breaker.is_closed();
        let limit_ms = |tracked: &TrackedRun| match is_suspect {
            true => tracked
                .stall_after_ms
                .min(SUSPECT_OVERDUE_FACTOR * tracked.expected_ms + SUSPECT_OVERDUE_MS),
            false => tracked.stall_after_ms,
        };
        let is_stalled = |tracked: &TrackedRun| {
            let running = matches!(tracked.phase, Phase::Running(_));
            running && tracked.stall_after_ms > 0 && tracked.elapsed_ms(now) > limit_ms(tracked)
        };
        let stalled = self.table.iter().filter(|(_, tracked)| is_stalled(tracked));
        let tasks: Vec<TaskKey> = stalled.map(|(task, _)| *task).collect();
        let calls = tasks.into_iter();
        calls
            .filter_map(|task| self.begin_stop(now, task, true))
            .collect()
    }

    /// Stops the runs of earlier processes that no owner has claimed in time.
    fn stop_unclaimed(&mut self, now: Instant) -> Vec<DriverCall> {
        let timeout = DurationMs::new(self.settings.claim_timeout_ms);
        match self.unclaimed_since {
            Some(since) if now > since + timeout => {
                self.unclaimed_since = None;
                let stops = self.stop_runs_of(now, None);
                if !stops.is_empty() {
                    self.ownership_changes.push(OwnershipChange::Unclaimed {
                        waited: now.since(since),
                        runs: runs_of(&stops),
                    });
                }
                stops
            }
            Some(_) | None => Vec::new(),
        }
    }
}

/// Whether an owner's session is over: it was not heard from for too long, or has not reconnected.
fn is_gone(settings: &RunsSettings, owner: Owner, state: &OwnerState, now: Instant) -> bool {
    let timeout_ms = match owner {
        Owner::Leader => settings.leader_authority_ms,
        Owner::Gateway(_) => settings.gateway_timeout_ms,
    };
    let reconnect_timeout = DurationMs::new(settings.reconnect_timeout_ms);
    let has_left = match owner {
        // A new leader may be elected meanwhile and adopt the runs.
        Owner::Leader => false,
        Owner::Gateway(_) => state
            .closed_at
            .is_some_and(|closed_at| now > closed_at + reconnect_timeout),
    };
    has_left || now > state.last_heard + DurationMs::new(timeout_ms)
}
