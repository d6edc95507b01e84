//! The [`Gate`] state machine: dispatch of events, endpoint state and credit grants.

mod starts;

use std::collections::HashMap;

use hemlock_chart::prelude::*;
use hemlock_types::prelude::*;

use crate::arena::Key;
use crate::config::GateConfig;
use crate::counters::{Counters, GateStatus, Refusal};
use crate::credit::{CreditChanges, CreditPolicy, ReservingCredits, Surplus};
use crate::endpoint::{EndpointEvent, EndpointPhase, Offer, endpoint_chart};
use crate::entries::Entries;
use crate::event::{Action, Actions, CallId, Event, LinkId};
use crate::task::{TaskEvent, Waiter, task_chart};
use crate::task_store::TaskStore;

/// Decides which requested tasks run at one endpoint instance. See the [crate](crate)
/// documentation.
pub struct Gate {
    pub(crate) config: GateConfig,
    chart: Chart<EndpointPhase, EndpointEvent>,
    phase: EndpointPhase,
    offer: Option<Offer>,
    /// Number of running tasks.
    running: u16,
    /// Requests that wait for the outcome of a task, with the task's key.
    waiting_starts: HashMap<Waiter, Key>,
    task_store: TaskStore,
    entries: Entries,
    credits: Box<dyn CreditPolicy>,
    /// Empty between events; kept so that its memory is reused.
    credit_changes: CreditChanges,
    counters: Counters,
}

impl Gate {
    /// Creates a gate that grants credits with [`ReservingCredits`]. No endpoint is announced yet.
    ///
    /// # Errors
    /// Returns an error if a state chart is invalid.
    pub fn new(config: GateConfig) -> Result<Self, ChartError> {
        let credits = ReservingCredits::new(config.recall_protection, config.agent.0);
        Self::with_credits(config, Box::new(credits))
    }

    /// Creates a gate that grants credits with the given policy. No endpoint is announced yet.
    ///
    /// # Errors
    /// Returns an error if a state chart is invalid.
    pub fn with_credits(
        config: GateConfig,
        credits: Box<dyn CreditPolicy>,
    ) -> Result<Self, ChartError> {
        let chart = endpoint_chart()?;
        Ok(Self {
            config,
            phase: chart.initial(),
            chart,
            offer: None,
            running: 0,
            waiting_starts: HashMap::new(),
            task_store: TaskStore::new(config, task_chart()?),
            entries: Entries::default(),
            credits,
            credit_changes: CreditChanges::default(),
            counters: Counters::default(),
        })
    }

    /// Handles one event and appends the resulting actions to `out`.
    ///
    /// # Panics
    /// Panics if an invariant is violated: more tasks run than there are slots, a task of a
    /// submission starts twice, a task starts under a fenced epoch or while the endpoint is not
    /// serving, or credits reserve more slots than are idle.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Actions) {
        let first_action = out.len();
        let surplus = self.dispatch(now, event, out);
        self.assign_credits(now, first_action, surplus, out);
    }

    /// Returns the time at which a link's recall protection ends while links wait for a slot. An
    /// [`Event::Tick`] is needed then, in addition to the regular ones.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.credits.next_wakeup()
    }

    /// Returns the totals since the gate was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the current status of the gate.
    pub fn status(&self) -> GateStatus {
        GateStatus {
            phase: self.phase,
            slots: self.capacity(),
            running: self.running,
            reserved: self.credits.reserved(),
            waiting: self.credits.waiting(),
            tasks: self.task_store.tasks(),
            submissions: self.task_store.submissions(),
            outcome_bytes: self.task_store.outcome_bytes(),
        }
    }

    /// Returns the announcement of the endpoint instance, if there is one.
    pub fn offer(&self) -> Option<&Offer> {
        self.offer.as_ref()
    }

    /// Handles one event and returns which links are granted the idle slots that remain.
    fn dispatch(&mut self, now: Instant, event: Event, out: &mut Actions) -> Surplus {
        match event {
            Event::Opened { link, entry } => self.open(link, entry, out),
            Event::Closed { link } => self.close(now, link),
            Event::Unresponsive { link } => self.suspend(link),
            Event::Responsive { link } => self.resume(link),
            Event::RoundTrip { link, micros } => self.record_round_trip(link, micros),
            Event::Announced(offer) => self.announce(offer),
            Event::Withdrawn => self.withdraw(),
            Event::Unreachable => self.advance_phase(EndpointEvent::Unreachable),
            Event::Reached => self.advance_phase(EndpointEvent::Reached),
            Event::Drain => self.stop_admission(EndpointEvent::Drain, out),
            Event::Lift => self.lift(),
            Event::Stop => self.stop_admission(EndpointEvent::Stop, out),
            Event::Start { link, spec } => self.start(now, link, spec, out),
            Event::Want { link, call, count } => self.want(now, link, call, count, out),
            Event::Fence {
                call,
                submission,
                epoch,
            } => self.fence(now, call, submission, epoch, out),
            Event::Cancel {
                link,
                call,
                requests,
            } => self.cancel(link, call, requests, out),
            Event::Returned { link, asked, slots } => self.handle_returned(link, asked, slots),
            Event::Ended {
                run,
                outcome,
                service_us,
            } => self.end(now, run, outcome, service_us, out),
            Event::Tick => self.tick(now),
        }
    }

    fn open(&mut self, link: LinkId, entry: Incarnation, out: &mut Actions) -> Surplus {
        self.entries.open(link, entry);
        self.credits.open(link);
        if self.phase.is_leaving() {
            out.push(Action::Leaving { link });
        }
        Surplus::Rebalance(link)
    }

    fn close(&mut self, now: Instant, link: LinkId) -> Surplus {
        self.entries.close(now, link);
        self.credits.close(link);
        Surplus::RoundRobin
    }

    fn suspend(&mut self, link: LinkId) -> Surplus {
        self.credits.suspend(link, &mut self.credit_changes);
        Surplus::RoundRobin
    }

    fn resume(&mut self, link: LinkId) -> Surplus {
        self.credits.resume(link);
        Surplus::RoundRobin
    }

    fn record_round_trip(&mut self, link: LinkId, micros: u64) -> Surplus {
        self.credits.record_round_trip(link, micros);
        Surplus::None
    }

    fn announce(&mut self, offer: Offer) -> Surplus {
        self.offer = Some(offer);
        self.advance_phase(EndpointEvent::Announce)
    }

    fn withdraw(&mut self) -> Surplus {
        self.offer = None;
        self.advance_phase(EndpointEvent::Withdraw)
    }

    /// Ends a planned stop. The endpoint serves again at once if it is still announced.
    fn lift(&mut self) -> Surplus {
        let lifted = self.chart.next(self.phase, EndpointEvent::Lift).is_some();
        self.advance_phase(EndpointEvent::Lift);
        match self.offer.is_some() {
            true if lifted => self.advance_phase(EndpointEvent::Announce),
            _ => Surplus::None,
        }
    }

    /// Refuses new work from now on, voids all credits and notifies every entry.
    fn stop_admission(&mut self, event: EndpointEvent, out: &mut Actions) -> Surplus {
        let was_leaving = self.phase.is_leaving();
        self.advance_phase(event);
        if !was_leaving {
            self.credits.clear();
            out.extend(self.entries.links().map(|link| Action::Leaving { link }));
        }
        self.finish_drain(out);
        Surplus::None
    }

    fn advance_phase(&mut self, event: EndpointEvent) -> Surplus {
        self.phase = self.chart.step(self.phase, event);
        Surplus::RoundRobin
    }

    /// Reports [`Action::Drained`] once the agent is stopping and no task is running.
    fn finish_drain(&mut self, out: &mut Actions) {
        if self.running > 0 {
            return;
        }
        if let Some(phase) = self.chart.next(self.phase, EndpointEvent::Drained) {
            self.phase = phase;
            out.push(Action::Drained);
        }
    }

    fn want(
        &mut self,
        now: Instant,
        link: LinkId,
        call: CallId,
        count: u16,
        out: &mut Actions,
    ) -> Surplus {
        if !self.phase.is_leaving() {
            self.credits.set_waiting_tasks(now, link, count);
        }
        out.push(Action::Granted {
            link,
            call,
            slots: 0,
        });
        Surplus::None
    }

    fn fence(
        &mut self,
        now: Instant,
        call: CallId,
        submission: SubmissionId,
        epoch: Epoch,
        out: &mut Actions,
    ) -> Surplus {
        out.push(match self.task_store.raise_fence(now, submission, epoch) {
            true => Action::Fenced {
                call,
                tasks: self.task_store.records(submission),
            },
            false => Action::FenceRefused { call },
        });
        Surplus::None
    }

    fn cancel(
        &mut self,
        link: LinkId,
        call: CallId,
        requests: Vec<RequestId>,
        out: &mut Actions,
    ) -> Surplus {
        let outcomes = requests
            .into_iter()
            .map(|request| (request, self.cancel_one(link, request)))
            .collect();
        out.push(Action::Cancelled { call, outcomes });
        Surplus::None
    }

    /// Cancels one request. Returns its outcome if the request is proven not to run its task.
    fn cancel_one(&mut self, link: LinkId, request: RequestId) -> Option<Outcome> {
        if let Some(key) = self.waiting_starts.get(&Waiter { link, request }).copied() {
            if self.task_store.advance(key, TaskEvent::Cancel) {
                self.counters.withdrawn += 1;
            }
            return None;
        }
        if !self.entries.revoke(link, request, self.config.max_revoked) {
            return None;
        }
        self.counters.revoked += 1;
        Some(Refusal::Revoked.outcome())
    }

    fn handle_returned(&mut self, link: LinkId, asked: u16, slots: u16) -> Surplus {
        self.credits.handle_returned(link, asked, slots);
        Surplus::RoundRobin
    }

    fn tick(&mut self, now: Instant) -> Surplus {
        self.task_store.expire(now);
        self.entries.expire(now, self.config.retention);
        Surplus::RoundRobin
    }

    fn capacity(&self) -> u16 {
        self.offer.as_ref().map_or(0, Offer::capacity)
    }

    /// Returns the number of slots that credits may reserve: those without a running task, or none
    /// unless the endpoint is serving.
    fn idle_slots(&self) -> u16 {
        match self.phase {
            EndpointPhase::Serving => self.capacity().saturating_sub(self.running),
            _ => 0,
        }
    }

    /// Grants and recalls credits for the idle slots. Credits are added to an answer among the
    /// actions from index `first_action` on if one goes to the same link.
    fn assign_credits(
        &mut self,
        now: Instant,
        first_action: usize,
        surplus: Surplus,
        out: &mut Actions,
    ) {
        let mut changes = std::mem::take(&mut self.credit_changes);
        self.credits
            .assign(now, self.idle_slots(), surplus, &mut changes);
        for (link, slots) in changes.granted.drain(..) {
            self.counters.granted += u64::from(slots);
            if !add_to_answer(&mut out[first_action..], link, slots) {
                out.push(Action::Grant { link, slots });
            }
        }
        for (link, slots) in changes.recalled.drain(..) {
            self.counters.recalled += u64::from(slots);
            out.push(Action::Recall { link, slots });
        }
        self.credit_changes = changes;
    }
}

/// Adds credits to the first answer that goes to `link`. Returns whether there is one.
fn add_to_answer(answers: &mut [Action], link: LinkId, credits: u16) -> bool {
    for answer in answers {
        match answer {
            Action::Settle {
                link: to, granted, ..
            } if *to == link => {
                *granted += credits;
                return true;
            }
            Action::Granted {
                link: to, slots, ..
            } if *to == link => {
                *slots += credits;
                return true;
            }
            _ => {}
        }
    }
    false
}
