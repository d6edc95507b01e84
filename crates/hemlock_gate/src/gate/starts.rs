//! Requests to start tasks, and the ends of runs.

use hemlock_types::prelude::*;

use super::Gate;
use crate::arena::Key;
use crate::counters::Refusal;
use crate::credit::Surplus;
use crate::endpoint::{EndpointPhase, Offer};
use crate::event::{Action, Actions, LinkId, RunKey};
use crate::task::{Task, TaskEvent, TaskPhase, Waiter};

impl Gate {
    /// Starts a task, refuses it, or answers a repeated request with the recorded outcome.
    pub(super) fn start(
        &mut self,
        now: Instant,
        link: LinkId,
        spec: TaskSpec,
        out: &mut Actions,
    ) -> Surplus {
        let request = spec.request;
        let revoked = self.entries.record_arrival(link, request);
        if self.credits.consume(now, link) {
            self.counters.with_credit += 1;
        }
        let waiter = Waiter { link, request };
        if self.waiting_starts.contains_key(&waiter) {
            self.counters.duplicates += 1;
            return Surplus::None;
        }
        if let Some(key) = self.find_started(&spec) {
            self.counters.duplicates += 1;
            self.answer_repeated(key, waiter, out);
            return Surplus::None;
        }
        match self.admit(now, &spec, revoked) {
            Ok(offer) => self.run(waiter, offer, spec, out),
            Err(refusal) => {
                self.counters.refused[refusal as usize] += 1;
                out.push(settle(waiter, refusal.outcome(), 0));
            }
        }
        Surplus::None
    }

    fn find_started(&self, spec: &TaskSpec) -> Option<Key> {
        self.task_store.find(spec.submission?, spec.task)
    }

    /// Answers a repeated request with the recorded outcome, or adds it to those that wait for the
    /// outcome of the running task.
    fn answer_repeated(&mut self, key: Key, waiter: Waiter, out: &mut Actions) {
        let Some(task) = self.task_store.task_mut(key) else {
            return;
        };
        match task.record() {
            TaskRecord::Running => {
                task.repeats.push(waiter);
                self.waiting_starts.insert(waiter, key);
            }
            TaskRecord::Ended(outcome) => out.push(settle(waiter, outcome, 0)),
        }
    }

    /// Decides whether the task may start now. Returns the endpoint's announcement if it may.
    fn admit(&mut self, now: Instant, spec: &TaskSpec, revoked: bool) -> Result<Offer, Refusal> {
        let fenced = |id| spec.epoch < self.task_store.fence(id);
        match (&self.offer, self.phase) {
            _ if spec.agent != self.config.agent => Err(Refusal::AnotherIncarnation),
            _ if revoked => Err(Refusal::Revoked),
            _ if spec.submission.is_some_and(fenced) => Err(Refusal::Fenced),
            (_, phase) if phase.is_leaving() => Err(Refusal::Leaving),
            (Some(offer), EndpointPhase::Serving) => match offer {
                _ if offer.service != spec.service => Err(Refusal::AnotherService),
                _ if spec.deadline_ms == 0 => Err(Refusal::Deadline),
                _ if self.running >= offer.capacity() => Err(Refusal::NoSlot),
                _ if !self.raise_fence(now, spec) => Err(Refusal::MemoryFull),
                _ => self.offer.clone().ok_or(Refusal::NoEndpoint),
            },
            _ => Err(Refusal::NoEndpoint),
        }
    }

    /// Raises the fence of the task's submission to the task's epoch. Returns `false` if the task
    /// or its submission can't be recorded.
    fn raise_fence(&mut self, now: Instant, spec: &TaskSpec) -> bool {
        match spec.submission {
            _ if !self.task_store.has_room() => false,
            Some(submission) => self.task_store.raise_fence(now, submission, spec.epoch),
            None => true,
        }
    }

    /// Records the task as started and sends it to the endpoint.
    fn run(&mut self, first: Waiter, offer: Offer, spec: TaskSpec, out: &mut Actions) {
        let id = spec.submission.map(|submission| (submission, spec.task));
        let fence = spec
            .submission
            .map_or(spec.epoch, |submission| self.task_store.fence(submission));
        assert_eq!(
            self.phase,
            EndpointPhase::Serving,
            "a task starts while the endpoint is not serving"
        );
        assert!(spec.epoch >= fence, "a task starts under a fenced epoch");
        let key = self.task_store.insert(Task {
            id,
            phase: TaskPhase::Running,
            outcome: None,
            first,
            repeats: Vec::new(),
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

    /// Handles the end of a run: answers all requests that wait for it and frees its slot.
    pub(super) fn end(
        &mut self,
        now: Instant,
        run: RunKey,
        outcome: Outcome,
        service_us: u64,
        out: &mut Actions,
    ) -> Surplus {
        let RunKey(key) = run;
        let released = matches!(outcome, Outcome::NotRun(..));
        let event = match released {
            true => TaskEvent::Release,
            false => TaskEvent::End,
        };
        if !self.task_store.advance(key, event) {
            return Surplus::None;
        }
        let Some(task) = self.task_store.task_mut(key) else {
            return Surplus::None;
        };
        let (first, repeats) = (task.first, std::mem::take(&mut task.repeats));
        self.running -= 1;
        self.counters.ended += 1;
        self.settle_waiter(first, &outcome, service_us, out);
        for waiter in repeats {
            self.settle_waiter(waiter, &outcome, service_us, out);
        }
        match released {
            true => {
                self.counters.released += 1;
                self.task_store.release(key);
            }
            false => self.task_store.store_outcome(now, key, outcome),
        }
        self.finish_drain(out);
        Surplus::To(first.link)
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
