//! Starts and their ends.

use hemlock_types::prelude::*;

use super::Gate;
use crate::arena::Key;
use crate::counters::Refusal;
use crate::credit::Spare;
use crate::endpoint::{EndpointPhase, Offer};
use crate::event::{Action, Actions, LinkId, RunKey};
use crate::task::{Task, TaskEvent, TaskPhase, Waiter};

impl Gate {
    pub(super) fn start(
        &mut self,
        now: Instant,
        link: LinkId,
        spec: TaskSpec,
        out: &mut Actions,
    ) -> Spare {
        let request = spec.request;
        let revoked = self.entries.arrive(link, request);
        if self.credits.consume(now, link) {
            self.counters.with_credit += 1;
        }
        let waiter = Waiter { link, request };
        if self.waiting_starts.contains_key(&waiter) {
            self.counters.duplicates += 1;
            return Spare::Keep;
        }
        if let Some(key) = self.started_before(&spec) {
            self.counters.duplicates += 1;
            self.join(key, waiter, out);
            return Spare::Keep;
        }
        match self.admit(now, &spec, revoked) {
            Ok(offer) => self.run(waiter, offer, spec, out),
            Err(refusal) => {
                self.counters.refused[refusal as usize] += 1;
                out.push(settle(waiter, refusal.outcome(), 0));
            }
        }
        Spare::Keep
    }

    fn started_before(&self, spec: &TaskSpec) -> Option<Key> {
        self.memory.find(spec.submission?, spec.task)
    }

    /// Answers a repeated start with the recorded outcome, or lets it wait for it.
    fn join(&mut self, key: Key, waiter: Waiter, out: &mut Actions) {
        let Some(task) = self.memory.task_mut(key) else {
            return;
        };
        match task.record() {
            TaskRecord::Running => {
                task.others.push(waiter);
                self.waiting_starts.insert(waiter, key);
            }
            TaskRecord::Ended(outcome) => out.push(settle(waiter, outcome, 0)),
        }
    }

    /// Whether the start may run now.
    fn admit(&mut self, now: Instant, spec: &TaskSpec, revoked: bool) -> Result<Offer, Refusal> {
        let fenced = |id| spec.epoch < self.memory.fence(id);
        match (&self.offer, self.phase) {
            _ if spec.agent != self.config.agent => Err(Refusal::AnotherIncarnation),
            _ if revoked => Err(Refusal::Revoked),
            _ if spec.submission.is_some_and(fenced) => Err(Refusal::Fenced),
            (_, phase) if phase.is_leaving() => Err(Refusal::Leaving),
            (Some(offer), EndpointPhase::Serving) => match offer {
                _ if offer.service != spec.service => Err(Refusal::AnotherService),
                _ if spec.deadline_ms == 0 => Err(Refusal::Deadline),
                _ if self.running >= offer.capacity() => Err(Refusal::NoSlot),
                _ if !self.remember_epoch(now, spec) => Err(Refusal::MemoryFull),
                _ => self.offer.clone().ok_or(Refusal::NoEndpoint),
            },
            _ => Err(Refusal::NoEndpoint),
        }
    }

    /// Makes room for the task and raises its submission's fence to its epoch.
    fn remember_epoch(&mut self, now: Instant, spec: &TaskSpec) -> bool {
        match spec.submission {
            _ if !self.memory.has_room() => false,
            Some(submission) => self.memory.raise_fence(now, submission, spec.epoch),
            None => true,
        }
    }

    fn run(&mut self, first: Waiter, offer: Offer, spec: TaskSpec, out: &mut Actions) {
        let name = spec.submission.map(|submission| (submission, spec.task));
        let fence = spec
            .submission
            .map_or(spec.epoch, |id| self.memory.fence(id));
        assert_eq!(
            self.phase,
            EndpointPhase::Serving,
            "a start while not serving"
        );
        assert!(spec.epoch >= fence, "a start under a fenced epoch");
        let key = self.memory.insert(Task {
            name,
            phase: TaskPhase::Running,
            outcome: None,
            first,
            others: Vec::new(),
        });
        self.waiting_starts.insert(first, key);
        self.running += 1;
        self.counters.started += 1;
        assert!(
            self.running <= offer.capacity(),
            "more tasks run than there are slots"
        );
        out.push(Action::Run {
            run: RunKey(key),
            offer,
            spec,
        });
    }

    pub(super) fn end(
        &mut self,
        now: Instant,
        run: RunKey,
        outcome: Outcome,
        service_us: u64,
        out: &mut Actions,
    ) -> Spare {
        let RunKey(key) = run;
        let released = matches!(outcome, Outcome::NotRun(..));
        let event = match released {
            true => TaskEvent::Release,
            false => TaskEvent::End,
        };
        if !self.memory.advance(key, event) {
            return Spare::Keep;
        }
        let Some(task) = self.memory.task_mut(key) else {
            return Spare::Keep;
        };
        let (first, others) = (task.first, std::mem::take(&mut task.others));
        self.running -= 1;
        self.counters.ended += 1;
        self.settle_waiter(first, &outcome, service_us, out);
        for waiter in others {
            self.settle_waiter(waiter, &outcome, service_us, out);
        }
        match released {
            true => {
                self.counters.released += 1;
                self.memory.release(key);
            }
            false => self.memory.keep_outcome(now, key, outcome),
        }
        self.finish_drain(out);
        Spare::To(first.link)
    }

    fn settle_waiter(
        &mut self,
        waiter: Waiter,
        outcome: &Outcome,
        service_us: u64,
        out: &mut Actions,
    ) {
        self.waiting_starts.remove(&waiter);
        match self.entries.is_open(waiter.link) {
            true => out.push(settle(waiter, outcome.clone(), service_us)),
            false => self.counters.unclaimed += 1,
        }
    }
}

fn settle(waiter: Waiter, outcome: Outcome, service_us: u64) -> Action {
    Action::Settle {
        link: waiter.link,
        request: waiter.request,
        outcome,
        service_us,
        granted: 0,
    }
}
