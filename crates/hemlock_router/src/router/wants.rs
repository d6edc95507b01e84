//! Asking agents for slots when tasks wait and no slot is granted.
//!
//! A few agents are asked first and more as time goes by, so that a free slot somewhere costs
//! two questions, and a full service is asked as a whole.

use hemlock_types::prelude::*;
use rand::RngExt;

use super::Router;
use crate::action::{Action, Actions, Observation, WasteCause};
use crate::fleet::EndpointKey;
use crate::queue::ServiceKey;
use crate::timers::Timer;
use crate::work::TaskRef;

/// Agents asked at first for each waiting task.
const FIRST_ASKED: usize = 2;
/// Slots asked for each waiting task, over all agents.
const ASKED_SLOTS: usize = 1;
/// Agents drawn for each one added.
const DRAWS: usize = 3;
/// Most agents asked at once.
const MOST_ASKED: usize = 64;
/// Pause after which more agents are asked, in milliseconds.
const WIDEN_MS: u64 = 4;
/// Pause between two looks at a queue that waits, in milliseconds.
const LOOK_MS: u64 = 1;
/// Time for which a question stands when nothing waits any more, in milliseconds.
const LINGER_MS: u64 = 2;

/// The slots that a service's queue has asked for.
#[derive(Debug, Default)]
pub(super) struct Wants {
    asked: Vec<EndpointKey>,
    target: usize,
    widen_at: Instant,
    look_at: Instant,
    idle_since: Option<Instant>,
}

impl Wants {
    /// Forgets an endpoint.
    pub(super) fn forget(&mut self, key: EndpointKey) {
        self.asked.retain(|other| *other != key);
    }
}

impl Router {
    /// Asks for slots, or takes questions back, as the queue needs. `blocked` is the first task
    /// that found no endpoint; slots that its claim does not allow are no room for it.
    pub(super) fn update_wants(
        &mut self,
        now: Instant,
        service: ServiceKey,
        blocked: Option<TaskRef>,
        out: &mut Actions,
    ) {
        if !self.placement.requests_slots() {
            return;
        }
        let has_room = self.placement.has_room(service);
        let plan = blocked
            .filter(|_| has_room)
            .and_then(|task| self.plan_of(task));
        let idle = self.services[service.0 as usize].queue.is_empty();
        if idle || (has_room && plan.is_none()) {
            self.linger(now, service, out);
            return;
        }
        let state = self.service(service);
        state.wants.idle_since = None;
        if now < state.wants.look_at && state.wants.target > 0 {
            return;
        }
        let waiting = self.startable(now, service);
        if waiting == 0 {
            self.linger(now, service, out);
            return;
        }
        if let Some(plan) = &plan {
            self.ask_only(service, plan, out);
        }
        self.widen(now, service, waiting, plan.as_deref());
        self.ask(service, waiting, out);
    }

    /// The endpoints that the claim of a task's submission allows.
    fn plan_of(&self, task: TaskRef) -> Option<Vec<EndpointKey>> {
        let submission = self.works.get(task.work)?.submission.as_ref()?;
        Some(submission.plan().to_vec())
    }

    /// Takes back what agents outside `plan` were asked.
    fn ask_only(&mut self, service: ServiceKey, plan: &[EndpointKey], out: &mut Actions) {
        let asked = std::mem::take(&mut self.service(service).wants.asked);
        let (kept, outside): (Vec<_>, Vec<_>) =
            asked.into_iter().partition(|key| plan.contains(key));
        self.service(service).wants.asked = kept;
        for key in outside {
            self.take_want_back(key, out);
        }
    }

    fn startable(&self, now: Instant, service: ServiceKey) -> usize {
        let contracts = &self.contracts;
        let queue = &self.services[service.0 as usize].queue;
        queue.startable(|key| {
            let state = contracts.state(key);
            match state.has_room(now) {
                true => (state.share - state.running) as usize,
                false => 0,
            }
        })
    }

    /// Decides how many agents to ask, and adds agents up to that number.
    fn widen(
        &mut self,
        now: Instant,
        service: ServiceKey,
        waiting: usize,
        plan: Option<&[EndpointKey]>,
    ) {
        let most = self.fleet.of_service(service).len().min(MOST_ASKED);
        let wants = &mut self.services[service.0 as usize].wants;
        match wants.target {
            0 => {
                wants.target = (waiting * FIRST_ASKED).min(most);
                wants.widen_at = now + DurationMs::new(WIDEN_MS);
            }
            target if now >= wants.widen_at => {
                wants.target = (target * 2).min(most);
                wants.widen_at = now + DurationMs::new(WIDEN_MS);
            }
            _ => {}
        }
        wants.look_at = now + DurationMs::new(LOOK_MS);
        let (target, widen_at) = (wants.target, wants.widen_at);
        self.timers.set(widen_at, Timer::RefreshWants(service));
        self.add_asked(service, target, plan);
    }

    /// Adds agents, of a few random ones the one with the fewest starts of this entry each time.
    fn add_asked(&mut self, service: ServiceKey, target: usize, plan: Option<&[EndpointKey]>) {
        let all = plan.unwrap_or_else(|| self.fleet.of_service(service));
        if all.is_empty() {
            return;
        }
        let fleet = &self.fleet;
        let wants = &mut self.services[service.0 as usize].wants;
        let open = |key: &EndpointKey| fleet.get(*key).is_some_and(|endpoint| endpoint.is_open());
        wants.asked.retain(open);
        let mut draws = target * DRAWS;
        while wants.asked.len() < target && draws > 0 {
            draws -= 1;
            let drawn = (0..DRAWS).map(|_| all[self.rng.random_range(0..all.len())]);
            let usable = drawn.filter(|key| open(key) && !wants.asked.contains(key));
            let load = |key: &EndpointKey| fleet.get(*key).map(|endpoint| endpoint.in_flight);
            wants.asked.extend(usable.min_by_key(load));
        }
    }

    /// Tells each asked agent how many slots the queue waits for there, when that has grown much.
    fn ask(&mut self, service: ServiceKey, waiting: usize, out: &mut Actions) {
        let asked = std::mem::take(&mut self.service(service).wants.asked);
        let share = (waiting * ASKED_SLOTS).div_ceil(asked.len().max(1));
        for key in &asked {
            let Some(endpoint) = self.fleet.get_mut(*key) else {
                continue;
            };
            let slots = usize::from(endpoint.announcement.slots);
            let count = share.clamp(1, slots.max(1)) as u16;
            if endpoint.wanted * 2 > count {
                continue;
            }
            endpoint.wanted = count;
            out.push(Action::Want {
                agent: endpoint.announcement.agent,
                count,
            });
        }
        self.service(service).wants.asked = asked;
    }

    /// Takes questions back once nothing has waited for a while.
    fn linger(&mut self, now: Instant, service: ServiceKey, out: &mut Actions) {
        let wants = &mut self.services[service.0 as usize].wants;
        if wants.asked.is_empty() {
            wants.target = 0;
            return;
        }
        let since = *wants.idle_since.get_or_insert(now);
        let until = since + DurationMs::new(LINGER_MS);
        if now < until {
            if since == now {
                self.timers.set(until, Timer::RefreshWants(service));
            }
            return;
        }
        wants.target = 0;
        wants.idle_since = None;
        for key in std::mem::take(&mut wants.asked) {
            self.take_want_back(key, out);
        }
    }

    fn take_want_back(&mut self, key: EndpointKey, out: &mut Actions) {
        let Some(endpoint) = self.fleet.get_mut(key) else {
            return;
        };
        if std::mem::take(&mut endpoint.wanted) > 0 {
            let agent = endpoint.announcement.agent;
            out.push(Action::Want { agent, count: 0 });
            Self::observe(out, Observation::Wasted(WasteCause::UnusedWant));
        }
    }
}
