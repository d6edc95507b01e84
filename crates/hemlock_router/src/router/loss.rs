//! Starts without an answer.

use hemlock_types::prelude::*;

use super::Router;
use super::settle::detach;
use crate::action::{Actions, Observation, WasteCause};
use crate::event::Loss;
use crate::fleet::EndpointKey;
use crate::flight::FlightKey;
use crate::timers::Timer;
use crate::work::Work;

impl Router {
    pub(super) fn start_lost(
        &mut self,
        now: Instant,
        agent: Incarnation,
        request: RequestId,
        loss: Loss,
        out: &mut Actions,
    ) {
        let Some(key) = self.find_flight(agent, request) else {
            return;
        };
        match loss {
            Loss::NeverSent => self.start_unsent(now, key, out),
            Loss::AfterSending => self.start_unanswered(now, key, out),
        }
    }

    /// The start never left: the task waits again as if nothing had happened.
    fn start_unsent(&mut self, now: Instant, key: FlightKey, out: &mut Actions) {
        let resent = self.flights.get(key).is_some_and(|flight| flight.resent);
        if resent {
            self.start_unanswered(now, key, out);
            return;
        }
        let Some(flight) = self.take_flight(key) else {
            return;
        };
        self.rest(now, flight.endpoint);
        self.touch_endpoint(flight.endpoint);
        if flight.abandoned {
            return;
        }
        let Some(work) = self.works.get_mut(flight.task.work) else {
            return;
        };
        let other = detach(work, &flight, key);
        let (reason, proof) = (NotRunReason::Refused, NotRunProof::NeverSent);
        self.start_refused(&flight, other, reason, proof, out);
    }

    /// The start may have run. It counts against its contract until its deadline. A start of a
    /// submission is sent again to the same agent, whose gate starts it at most once; other work
    /// may be sent elsewhere.
    fn start_unanswered(&mut self, now: Instant, key: FlightKey, out: &mut Actions) {
        Self::observe(out, Observation::Wasted(WasteCause::LostStart));
        let Some(flight) = self.flights.get_mut(key) else {
            return;
        };
        flight.lost = true;
        let (endpoint, deadline, task) = (flight.endpoint, flight.deadline, flight.task);
        let abandoned = flight.abandoned;
        self.timers.set(deadline.max(now), Timer::Release(key));
        self.vacate(endpoint);
        let resendable = self.works.get(task.work).map(Work::may_resend);
        match resendable {
            Some(false) if !abandoned => self.keep_unresolved(now, key, endpoint, out),
            Some(true) if !abandoned => self.give_start_up(now, key, out),
            Some(_) | None => {}
        }
    }

    fn keep_unresolved(
        &mut self,
        now: Instant,
        key: FlightKey,
        endpoint: EndpointKey,
        out: &mut Actions,
    ) {
        match self.fleet.get_mut(endpoint) {
            Some(state) => {
                state.unresolved.push(key);
                self.rest(now, endpoint);
                self.touch_endpoint(endpoint);
            }
            None => self.fail_unresolved(vec![key], out),
        }
    }

    fn give_start_up(&mut self, now: Instant, key: FlightKey, out: &mut Actions) {
        let Some(flight) = self.flights.get_mut(key) else {
            return;
        };
        flight.abandoned = true;
        let copy = flight.clone();
        let Some(work) = self.works.get_mut(copy.task.work) else {
            return;
        };
        let other = detach(work, &copy, key);
        let outcome = Outcome::Failed(FailureKind::ConnectionLost);
        self.start_failed(now, &copy, other, outcome, out);
    }

    /// Sends the lost starts of submissions again over a new connection to the same agent.
    pub(super) fn resend_unresolved(&mut self, now: Instant, key: EndpointKey, out: &mut Actions) {
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        for flight in std::mem::take(&mut endpoint.unresolved) {
            self.resend(now, flight, out);
        }
    }

    fn resend(&mut self, now: Instant, key: FlightKey, out: &mut Actions) {
        let Some(flight) = self.flights.get_mut(key) else {
            return;
        };
        if flight.abandoned || !flight.lost || now >= flight.deadline {
            return;
        }
        flight.lost = false;
        flight.resent = true;
        let endpoint = flight.endpoint;
        self.flights.renew_request(key);
        self.occupy(endpoint);
        self.send(now, key, out);
    }

    /// The agent of lost starts is gone for good: their outcome can't be known.
    pub(super) fn fail_unresolved(&mut self, flights: Vec<FlightKey>, out: &mut Actions) {
        for key in flights {
            let Some(flight) = self.flights.get_mut(key) else {
                continue;
            };
            if std::mem::replace(&mut flight.abandoned, true) {
                continue;
            }
            let copy = flight.clone();
            let Some(work) = self.works.get_mut(copy.task.work) else {
                continue;
            };
            detach(work, &copy, key);
            let outcome = Outcome::Failed(FailureKind::EndpointLost);
            self.end_task(copy.task.work, copy.task.task, outcome, out);
        }
    }

    /// A lost start no longer counts against its contract.
    pub(super) fn release_lost(&mut self, key: FlightKey) {
        if self.flights.get(key).is_some_and(|flight| flight.lost) {
            self.take_flight(key);
        }
    }
}
