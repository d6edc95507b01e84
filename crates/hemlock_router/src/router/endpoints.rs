//! Changes of endpoints: directory, connections, granted slots, heartbeats, health.

use hemlock_types::prelude::*;

use super::{Router, WorkerSize};
use crate::action::{Action, Actions, Observation};
use crate::fleet::{Endpoint, EndpointKey, FleetChange};
use crate::health::{HealthChange, Sample};
use crate::queue::ServiceKey;
use crate::timers::Timer;

/// An endpoint is ejected only if its bad rate is at least this many times the mean of the others.
const OUTLIER_FACTOR: u32 = 2;

impl Router {
    pub(super) fn apply_fleet_change(&mut self, change: FleetChange, out: &mut Actions) {
        let (FleetChange::Added(key) | FleetChange::Changed(key) | FleetChange::Unlisted(key)) =
            change;
        let Some(endpoint) = self.fleet.get(key) else {
            return;
        };
        let service = endpoint.service;
        let (agent, address) = (endpoint.announcement.agent, endpoint.announcement.address);
        let gone = !endpoint.listed && !endpoint.connected;
        match change {
            FleetChange::Added(_) => out.push(Action::Connect { agent, address }),
            FleetChange::Unlisted(_) if gone => self.forget_endpoint(key, out),
            FleetChange::Changed(_) | FleetChange::Unlisted(_) => {}
        }
        self.endpoint_changed(key);
        self.refresh_capacity(service);
    }

    /// Recomputes the worker sizes and the number of slots of a service.
    fn refresh_capacity(&mut self, service: ServiceKey) {
        let mut worker_sizes: Vec<WorkerSize> = Vec::new();
        let mut slots = 0;
        for key in self.fleet.of_service(service) {
            let Some(endpoint) = self.fleet.get(*key) else {
                continue;
            };
            if endpoint.leaving {
                continue;
            }
            slots += u64::from(endpoint.announcement.slots);
            let size = WorkerSize {
                cores: endpoint.announcement.cores,
                memory_mb: endpoint.announcement.memory_mb,
            };
            if !worker_sizes.contains(&size) {
                worker_sizes.push(size);
            }
        }
        let state = self.service(service);
        state.worker_sizes = worker_sizes;
        state.slots = slots;
    }

    fn forget_endpoint(&mut self, key: EndpointKey, out: &mut Actions) {
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        let (agent, service) = (endpoint.announcement.agent, endpoint.service);
        let lost_starts = std::mem::take(&mut endpoint.lost_starts);
        self.fail_lost_starts(lost_starts, out);
        self.placement.remove(key, service);
        self.service(service)
            .probation
            .retain(|other| *other != key);
        self.service(service).wants.forget(key);
        self.fleet.remove(key);
        self.refresh_capacity(service);
        out.push(Action::Disconnect(agent));
    }

    pub(super) fn link_up(&mut self, now: Instant, agent: Incarnation, out: &mut Actions) {
        let Some(key) = self.fleet.find(agent) else {
            out.push(Action::Disconnect(agent));
            return;
        };
        if let Some(endpoint) = self.fleet.get_mut(key) {
            endpoint.connected = true;
            endpoint.missed_pings = 0;
        }
        self.endpoint_changed(key);
        self.resend_lost_starts(now, key, out);
    }

    pub(super) fn link_down(&mut self, agent: Incarnation, out: &mut Actions) {
        let Some(key) = self.fleet.find(agent) else {
            return;
        };
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        endpoint.connected = false;
        endpoint.credits = 0;
        endpoint.wanted = 0;
        let gone = !endpoint.listed;
        self.endpoint_changed(key);
        if gone {
            self.forget_endpoint(key, out);
        }
    }

    fn update_endpoint(&mut self, agent: Incarnation, change: impl FnOnce(&mut Endpoint)) {
        let Some(key) = self.fleet.find(agent) else {
            return;
        };
        if let Some(endpoint) = self.fleet.get_mut(key) {
            change(endpoint);
        }
        self.endpoint_changed(key);
    }

    pub(super) fn granted(&mut self, agent: Incarnation, slots: u16) {
        if slots == 0 {
            return;
        }
        self.update_endpoint(agent, |endpoint| {
            endpoint.credits = endpoint.credits.saturating_add(slots);
            endpoint.wanted = endpoint.wanted.saturating_sub(slots);
        });
    }

    /// Returns recalled slots that no waiting task can use.
    pub(super) fn recall(
        &mut self,
        now: Instant,
        agent: Incarnation,
        slots: u16,
        ticket: u64,
        out: &mut Actions,
    ) {
        if let Some(service) = self.service_of(agent) {
            self.services_to_dispatch.remove(&service);
            self.dispatch(now, service, out);
        }
        let mut returned = 0;
        self.update_endpoint(agent, |endpoint| {
            returned = endpoint.credits.min(slots);
            endpoint.credits -= returned;
        });
        out.push(Action::Return {
            agent,
            ticket,
            slots: returned,
        });
    }

    fn service_of(&self, agent: Incarnation) -> Option<ServiceKey> {
        let key = self.fleet.find(agent)?;
        self.fleet.get(key).map(|endpoint| endpoint.service)
    }

    pub(super) fn leaving(&mut self, agent: Incarnation) {
        self.update_endpoint(agent, |endpoint| {
            endpoint.leaving = true;
            endpoint.credits = 0;
            endpoint.wanted = 0;
        });
        if let Some(service) = self.service_of(agent) {
            self.refresh_capacity(service);
        }
    }

    pub(super) fn pong(&mut self, agent: Incarnation, draining: bool) {
        self.update_endpoint(agent, |endpoint| {
            endpoint.missed_pings = 0;
            endpoint.leaving |= draining;
        });
    }

    pub(super) fn ping_missed(&mut self, agent: Incarnation) {
        self.update_endpoint(agent, |endpoint| {
            endpoint.missed_pings = endpoint.missed_pings.saturating_add(1);
        });
    }

    pub(super) fn end_pause(&mut self, now: Instant, key: EndpointKey, out: &mut Actions) {
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        if now < endpoint.paused_until {
            return;
        }
        endpoint.paused_until = Instant::ZERO;
        let connected = endpoint.connected;
        self.endpoint_changed(key);
        if connected {
            self.resend_lost_starts(now, key, out);
        }
    }

    /// Records a sample of an endpoint's health, and ejects the endpoint when it is an outlier.
    pub(super) fn record_sample(
        &mut self,
        now: Instant,
        key: EndpointKey,
        sample: Sample,
        out: &mut Actions,
    ) {
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        let (agent, service) = (endpoint.announcement.agent, endpoint.service);
        match endpoint.health.record(sample) {
            HealthChange::Unchanged => {}
            HealthChange::Outlier if self.may_eject(key, service) => self.eject(now, key, out),
            HealthChange::Outlier => {}
            HealthChange::FailedProbation => self.eject(now, key, out),
            HealthChange::Reinstated => {
                self.service(service)
                    .probation
                    .retain(|other| *other != key);
                Self::observe(out, Observation::Reinstated(agent));
                self.endpoint_changed(key);
            }
        }
    }

    /// Whether the endpoint does much worse than the others of its service, and one more endpoint
    /// may be ejected.
    fn may_eject(&self, key: EndpointKey, service: ServiceKey) -> bool {
        let of_service = self.fleet.of_service(service);
        let others = of_service.iter().filter(|other| **other != key);
        let healths = others.filter_map(|other| self.fleet.get(*other).map(|e| e.health));
        let (mut count, mut ejected, mut bad) = (0u32, 0u32, 0u32);
        for health in healths {
            count += 1;
            ejected += u32::from(!health.is_healthy());
            bad += health.bad_rate();
        }
        let own = self.fleet.get(key).map_or(0, |e| e.health.bad_rate());
        let percent = u32::from(self.settings.max_ejected_percent);
        let max_ejected = ((count + 1) * percent / 100).max(1);
        count > 0 && ejected < max_ejected && own * count >= OUTLIER_FACTOR * bad
    }

    fn eject(&mut self, now: Instant, key: EndpointKey, out: &mut Actions) {
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        let (agent, service) = (endpoint.announcement.agent, endpoint.service);
        let until = endpoint.health.eject(now);
        self.timers.set(until, Timer::BeginProbation(key));
        self.service(service)
            .probation
            .retain(|other| *other != key);
        self.endpoint_changed(key);
        Self::observe(out, Observation::Ejected(agent));
    }

    pub(super) fn begin_probation(&mut self, now: Instant, key: EndpointKey) {
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        let service = endpoint.service;
        endpoint.health.begin_probation(now);
        if endpoint.health.is_on_probation() {
            self.service(service).probation.push(key);
            self.endpoint_changed(key);
        }
    }
}
