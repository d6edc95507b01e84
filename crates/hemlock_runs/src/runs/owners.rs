//! Owners that come, return, fall silent and go.

use hemlock_dispatch::prelude::{Inventory, RunEnd, RunReport, SessionId, StopOrder};
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};
use serde::{Deserialize, Serialize};

use super::{DriverCall, OwnerState, Runs};
use crate::entry::{Entry, Owner, Phase};

/// A run that an owner believes to be at the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// What it takes of the instance.
    pub needs: Resources,
}

impl Runs {
    /// Begins a session with an owner. Orders of its earlier sessions are refused from now on.
    /// Returns what became of the runs that it claims, and what else runs for it.
    ///
    /// # Panics
    ///
    /// Before it is known what earlier processes left running: a run that isn't known here would be
    /// called over.
    pub fn attach(
        &mut self,
        now: Instant,
        owner: Owner,
        session: SessionId,
        claims: &[Claim],
    ) -> Inventory {
        assert!(
            self.runs_known,
            "claims are answered once the runs are known"
        );
        let last_order = 0;
        self.owners.insert(
            owner,
            OwnerState {
                session,
                heard: now,
                closed: None,
                last_order,
            },
        );
        // What waits here was ordered in an earlier session.
        self.drop_queued_of(owner);
        let mut runs: Vec<RunReport> = Vec::new();
        for claim in claims {
            runs.push(self.take_claim(owner, claim));
        }
        let claimed = |task: &TaskKey| claims.iter().any(|claim| claim.task == *task);
        let others = self.table.iter();
        let others = others.filter(|(task, entry)| entry.owner == Some(owner) && !claimed(task));
        runs.extend(others.map(|(task, entry)| RunReport {
            task: *task,
            run: entry.run,
            end: None,
            took_ms: 0,
        }));
        Inventory {
            instance: self.instance().cloned(),
            runs,
        }
    }

    fn take_claim(&mut self, owner: Owner, claim: &Claim) -> RunReport {
        let (task, run) = (claim.task, claim.run);
        let entry = self.table.get(&task).copied();
        let running = entry.filter(|entry| entry.run == run);
        let end = match running {
            Some(entry) => {
                let needs = Some(entry.needs.unwrap_or(claim.needs));
                let owner = Some(owner);
                self.insert(
                    task,
                    Entry {
                        owner,
                        needs,
                        ..entry
                    },
                );
                None
            }
            None => {
                let mut ends = self.recent_ends.iter().rev();
                let known = ends.find(|(_, end)| end.task == task && end.run == run);
                // A run that isn't known here never began: its order was of an earlier session.
                Some(known.and_then(|(_, end)| end.end).unwrap_or(RunEnd::Lapsed))
            }
        };
        // The end is told by this answer.
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

    /// All that may belong to the leader: its own runs, and those of unknown owners.
    pub fn leader_inventory(&mut self, now: Instant, session: SessionId) -> Inventory {
        let mut inventory = self.attach(now, Owner::Leader, session, &[]);
        let unknown = self.table.iter();
        let unknown = unknown.filter(|(_, entry)| entry.owner.is_none());
        inventory
            .runs
            .extend(unknown.map(|(task, entry)| RunReport {
                task: *task,
                run: entry.run,
                end: None,
                took_ms: 0,
            }));
        let ends = self.ends.values();
        let ends = ends.filter(|ended| matches!(ended.owner, None | Some(Owner::Leader)));
        inventory.runs.extend(ends.map(|ended| ended.report));
        self.outbox.retain(|(owner, _)| *owner != Owner::Leader);
        inventory
    }

    /// Notes which of the runs told by an inventory the leader wants, and that all ends told by it
    /// are settled.
    pub fn leader_adopted(
        &mut self,
        now: Instant,
        inventory: &Inventory,
        stops: &[StopOrder],
    ) -> Vec<DriverCall> {
        let mut calls = Vec::new();
        for report in &inventory.runs {
            let (task, run) = (report.task, report.run);
            let unwanted = stops
                .iter()
                .any(|stop| stop.task == task && stop.run == run);
            match report.end {
                Some(_) => self.settle_report(report),
                None if unwanted => {
                    let owned = self.table.get(&task).and_then(|entry| entry.owner);
                    if owned == Some(Owner::Leader) {
                        calls.extend(self.begin_stop(now, task, false));
                    }
                }
                None => {
                    if let Some(entry) = self.table.get_mut(&task).filter(|e| e.run == run) {
                        entry.owner = Some(Owner::Leader);
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
        self.advance_settled();
    }

    /// Notes that ends are recorded, or need not be.
    pub fn settle(&mut self, numbers: impl IntoIterator<Item = u64>) {
        for number in numbers {
            if let Some(ended) = self.ends.get_mut(&number) {
                ended.settled = true;
            }
        }
        self.advance_settled();
    }

    pub(super) fn advance_settled(&mut self) {
        while let Some((number, true)) = self.ends.first_key_value().map(|(n, e)| (*n, e.settled)) {
            self.ends.pop_first();
            self.settled = self.settled.max(number);
        }
    }

    /// Notes that an owner was heard, or that the leader confirmed a request sent at `heard`.
    pub fn owner_heard(&mut self, owner: Owner, session: SessionId, heard: Instant) -> bool {
        let state = self.owners.get_mut(&owner);
        match state.filter(|state| state.session == session) {
            Some(state) => {
                state.heard = state.heard.max(heard);
                true
            }
            None => false,
        }
    }

    /// Notes that the connection of an owner's session has closed.
    pub fn owner_closed(&mut self, now: Instant, owner: Owner, session: SessionId) {
        let state = self.owners.get_mut(&owner);
        if let Some(state) = state.filter(|state| state.session == session) {
            state.closed.get_or_insert(now);
        }
    }

    /// The owner's session.
    pub fn session(&self, owner: Owner) -> Option<SessionId> {
        self.owners.get(&owner).map(|state| state.session)
    }

    /// Ends what belongs to owners that are gone, and what nobody claims. Returns the calls to be
    /// made.
    pub fn tick(&mut self, now: Instant) -> Vec<DriverCall> {
        let settings = self.settings;
        let is_gone = |owner: &Owner, state: &OwnerState| {
            let patience_ms = match owner {
                Owner::Leader => settings.leader_authority_ms,
                Owner::Gateway(_) => settings.gateway_silence_ms,
            };
            let returns = DurationMs::new(settings.return_ms);
            let left = match owner {
                // A new leader may be elected meanwhile, and adopts what runs.
                Owner::Leader => false,
                Owner::Gateway(_) => state.closed.is_some_and(|closed| now > closed + returns),
            };
            left || now > state.heard + DurationMs::new(patience_ms)
        };
        let owners = self.owners.iter();
        let gone: Vec<Owner> = owners
            .filter(|(owner, state)| is_gone(owner, state))
            .map(|(owner, _)| *owner)
            .collect();
        let mut calls = Vec::new();
        for owner in gone {
            self.owners.remove(&owner);
            self.drop_queued_of(owner);
            calls.extend(self.stop_runs_of(now, Some(owner)));
        }
        self.note_lapse(now);
        calls.extend(self.stop_unclaimed(now));
        calls.extend(self.stop_stalled(now));
        calls.extend(self.take_stop_retries());
        calls.extend(self.start_queued(now));
        calls
    }

    fn stop_runs_of(&mut self, now: Instant, owner: Option<Owner>) -> Vec<DriverCall> {
        let of_owner = |(task, entry): (&TaskKey, &Entry)| {
            let stopping = matches!(entry.phase, Phase::Stopping { .. });
            (entry.owner == owner && !stopping).then_some(*task)
        };
        let tasks: Vec<TaskKey> = self.table.iter().filter_map(of_owner).collect();
        let calls = tasks
            .into_iter()
            .filter_map(|task| self.begin_stop(now, task, false));
        calls.collect()
    }

    /// Stops runs that take so long that they must be standing still.
    fn stop_stalled(&mut self, now: Instant) -> Vec<DriverCall> {
        let is_stalled = |entry: &Entry| {
            let running = matches!(entry.phase, Phase::Running(_));
            running && entry.stall_after_ms > 0 && entry.took_ms(now) > entry.stall_after_ms
        };
        let stalled = self.table.iter().filter(|(_, entry)| is_stalled(entry));
        let tasks: Vec<TaskKey> = stalled.map(|(task, _)| *task).collect();
        let calls = tasks.into_iter();
        calls
            .filter_map(|task| self.begin_stop(now, task, true))
            .collect()
    }

    /// Stops what an earlier process started and no owner has claimed in time.
    fn stop_unclaimed(&mut self, now: Instant) -> Vec<DriverCall> {
        let patience = DurationMs::new(self.settings.claim_ms);
        match self.unclaimed_since {
            Some(since) if now > since + patience => {
                self.unclaimed_since = None;
                self.stop_runs_of(now, None)
            }
            Some(_) | None => Vec::new(),
        }
    }
}
