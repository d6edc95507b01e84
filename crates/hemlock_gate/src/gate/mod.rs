//! The gate itself: every event, and the invariants that hold after each.

mod starts;

use std::collections::HashMap;

use hemlock_chart::prelude::*;
use hemlock_types::prelude::*;

use crate::arena::Key;
use crate::config::GateConfig;
use crate::counters::{Counters, GateStatus, Refusal};
use crate::credit::{CreditPolicy, Deal, DealtCredits, Spare};
use crate::endpoint::{EndpointEvent, EndpointPhase, Offer, endpoint_chart};
use crate::entries::Entries;
use crate::event::{Action, Actions, CallId, Event, LinkId};
use crate::memory::Memory;
use crate::task::{TaskEvent, Waiter, task_chart};

/// Decides which starts run at one endpoint instance. See the crate's text.
pub struct Gate {
    pub(crate) config: GateConfig,
    chart: Chart<EndpointPhase, EndpointEvent>,
    phase: EndpointPhase,
    offer: Option<Offer>,
    running: u16,
    waiting_starts: HashMap<Waiter, Key>,
    memory: Memory,
    entries: Entries,
    credits: Box<dyn CreditPolicy>,
    deal: Deal,
    counters: Counters,
}

impl Gate {
    /// A gate without an endpoint that deals credits.
    ///
    /// # Errors
    /// A fault in one of the state charts' files.
    pub fn new(config: GateConfig) -> Result<Self, ChartError> {
        let credits = DealtCredits::new(config.promise, config.agent.0);
        Self::with_credits(config, Box::new(credits))
    }

    /// A gate without an endpoint that deals credits by the given rule.
    ///
    /// # Errors
    /// A fault in one of the state charts' files.
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
            memory: Memory::new(config, task_chart()?),
            entries: Entries::default(),
            credits,
            deal: Deal::default(),
            counters: Counters::default(),
        })
    }

    /// Takes one event and appends what is to be done.
    ///
    /// # Panics
    /// Panics if an invariant is broken: more tasks run than there are slots, a task of a
    /// submission starts twice, or something starts that must not.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Actions) {
        let first = out.len();
        let spare = self.dispatch(now, event, out);
        self.deal(now, first, spare, out);
    }

    /// When a [`Event::Tick`] may find something to do before the next second has passed.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.credits.next_wakeup()
    }

    /// Totals since the gate was made.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// What the gate is doing now.
    pub fn status(&self) -> GateStatus {
        GateStatus {
            phase: self.phase,
            slots: self.capacity(),
            running: self.running,
            reserved: self.credits.reserved(),
            waiting: self.credits.waiting(),
            tasks: self.memory.tasks(),
            submissions: self.memory.submissions(),
            outcome_bytes: self.memory.outcome_bytes(),
        }
    }

    /// What the endpoint instance offers, while one is announced.
    pub fn offer(&self) -> Option<&Offer> {
        self.offer.as_ref()
    }

    fn dispatch(&mut self, now: Instant, event: Event, out: &mut Actions) -> Spare {
        match event {
            Event::Opened { link, entry } => self.open(link, entry, out),
            Event::Closed { link } => self.close(now, link),
            Event::Silent { link } => self.silence(link),
            Event::Heard { link } => self.hear(link),
            Event::RoundTrip { link, micros } => self.note_round_trip(link, micros),
            Event::Announced(offer) => self.announce(offer),
            Event::Withdrawn => self.withdraw(),
            Event::Unreachable => self.step(EndpointEvent::Unreachable),
            Event::Reached => self.step(EndpointEvent::Reached),
            Event::Drain => self.leave(EndpointEvent::Drain, out),
            Event::Lift => self.lift(),
            Event::Stop => self.leave(EndpointEvent::Stop, out),
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
            Event::Returned { link, asked, slots } => self.take_back(link, asked, slots),
            Event::Ended {
                run,
                outcome,
                service_us,
            } => self.end(now, run, outcome, service_us, out),
            Event::Tick => self.tick(now),
        }
    }

    fn open(&mut self, link: LinkId, entry: Incarnation, out: &mut Actions) -> Spare {
        self.entries.open(link, entry);
        self.credits.open(link);
        if self.phase.is_leaving() {
            out.push(Action::Leaving { link });
        }
        Spare::Share(link)
    }

    fn close(&mut self, now: Instant, link: LinkId) -> Spare {
        self.entries.close(now, link);
        self.credits.close(link);
        Spare::Spread
    }

    fn silence(&mut self, link: LinkId) -> Spare {
        self.credits.silence(link, &mut self.deal);
        Spare::Spread
    }

    fn hear(&mut self, link: LinkId) -> Spare {
        self.credits.hear(link);
        Spare::Spread
    }

    fn note_round_trip(&mut self, link: LinkId, micros: u64) -> Spare {
        self.credits.note_round_trip(link, micros);
        Spare::Keep
    }

    fn announce(&mut self, offer: Offer) -> Spare {
        self.offer = Some(offer);
        self.step(EndpointEvent::Announce)
    }

    fn withdraw(&mut self) -> Spare {
        self.offer = None;
        self.step(EndpointEvent::Withdraw)
    }

    fn lift(&mut self) -> Spare {
        let lifted = self.chart.next(self.phase, EndpointEvent::Lift).is_some();
        self.step(EndpointEvent::Lift);
        match self.offer.is_some() {
            true if lifted => self.step(EndpointEvent::Announce),
            _ => Spare::Keep,
        }
    }

    /// Takes no new work from now on and tells every entry.
    fn leave(&mut self, event: EndpointEvent, out: &mut Actions) -> Spare {
        let had_left = self.phase.is_leaving();
        self.step(event);
        if !had_left {
            self.credits.void();
            out.extend(self.entries.links().map(|link| Action::Leaving { link }));
        }
        self.finish_drain(out);
        Spare::Keep
    }

    fn step(&mut self, event: EndpointEvent) -> Spare {
        self.phase = self.chart.step(self.phase, event);
        Spare::Spread
    }

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
    ) -> Spare {
        if !self.phase.is_leaving() {
            self.credits.want(now, link, count);
        }
        out.push(Action::Granted {
            link,
            call,
            slots: 0,
        });
        Spare::Keep
    }

    fn fence(
        &mut self,
        now: Instant,
        call: CallId,
        submission: SubmissionId,
        epoch: Epoch,
        out: &mut Actions,
    ) -> Spare {
        out.push(match self.memory.raise_fence(now, submission, epoch) {
            true => Action::Fenced {
                call,
                tasks: self.memory.records(submission),
            },
            false => Action::FenceRefused { call },
        });
        Spare::Keep
    }

    fn cancel(
        &mut self,
        link: LinkId,
        call: CallId,
        requests: Vec<RequestId>,
        out: &mut Actions,
    ) -> Spare {
        let outcomes = requests
            .into_iter()
            .map(|request| (request, self.cancel_one(link, request)))
            .collect();
        out.push(Action::Cancelled { call, outcomes });
        Spare::Keep
    }

    fn cancel_one(&mut self, link: LinkId, request: RequestId) -> Option<Outcome> {
        if let Some(key) = self.waiting_starts.get(&Waiter { link, request }).copied() {
            if self.memory.advance(key, TaskEvent::Cancel) {
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

    fn take_back(&mut self, link: LinkId, asked: u16, slots: u16) -> Spare {
        self.credits.returned(link, asked, slots);
        Spare::Spread
    }

    fn tick(&mut self, now: Instant) -> Spare {
        self.memory.expire(now);
        self.entries.expire(now, self.config.retention);
        Spare::Spread
    }

    fn capacity(&self) -> u16 {
        self.offer.as_ref().map_or(0, Offer::capacity)
    }

    /// Slots that may be reserved: those without a running task while new work starts.
    fn idle(&self) -> u16 {
        match self.phase {
            EndpointPhase::Serving => self.capacity().saturating_sub(self.running),
            _ => 0,
        }
    }

    /// Deals the idle slots. Credits go with an answer of this event where there is one.
    fn deal(&mut self, now: Instant, first: usize, spare: Spare, out: &mut Actions) {
        let mut deal = std::mem::take(&mut self.deal);
        self.credits.deal(now, self.idle(), spare, &mut deal);
        for (link, slots) in deal.granted.drain(..) {
            self.counters.granted += u64::from(slots);
            if !add_to_answer(&mut out[first..], link, slots) {
                out.push(Action::Grant { link, slots });
            }
        }
        for (link, slots) in deal.recalled.drain(..) {
            self.counters.recalled += u64::from(slots);
            out.push(Action::Recall { link, slots });
        }
        self.deal = deal;
    }
}

/// Adds credits to an answer that goes to `link` anyway. Says whether there is one.
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
