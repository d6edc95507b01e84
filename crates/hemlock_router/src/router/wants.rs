//! Requests for slots from agents while tasks wait and no slot is granted.
//!
//! Two agents are asked first for each waiting task, and their number doubles at intervals. A free
//! slot thus costs two messages while slots are plentiful, and all agents of a full service are
//! asked, up to [`MAX_ASKED_AGENTS`].

use hemlock_types::prelude::*;
use rand::RngExt;

use super::Router;
use crate::action::{Action, Actions, Observation, WasteCause};
use crate::fleet::EndpointKey;
use crate::queue::ServiceKey;
use crate::timers::Timer;
use crate::work::TaskRef;

/// Number of agents asked at first for each waiting task.
const INITIAL_AGENTS_PER_TASK: usize = 2;
/// Number of slots requested for each waiting task, over all agents.
const SLOTS_PER_TASK: usize = 1;
/// Number of random candidates compared for each agent that is added, and of attempts to add it.
const CANDIDATES_PER_AGENT: usize = 3;
/// Maximum number of agents asked at once for one service.
const MAX_ASKED_AGENTS: usize = 64;
/// Interval after which more agents are asked, in milliseconds.
const WIDEN_INTERVAL_MS: u64 = 4;
/// Minimum interval between reviews of the requests for a backlogged queue, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 1;
/// Delay before requests are withdrawn after the queue needs no more slots, in milliseconds.
const WITHDRAW_DELAY_MS: u64 = 2;

/// Requests for slots made for the queue of one service.
#[derive(Debug, Default)]
pub(super) struct Wants {
    asked: Vec<EndpointKey>,
    target: usize,
    widen_at: Instant,
    review_at: Instant,
    idle_since: Option<Instant>,
}

impl Wants {
    /// Removes an endpoint that is no longer known.
    pub(super) fn forget(&mut self, key: EndpointKey) {
        self.asked.retain(|other| *other != key);
    }
}

impl Router {
    /// Requests slots or withdraws requests, as the queue needs. `blocked` is the first task that
    /// found no endpoint. If slots are granted nevertheless, its claim doesn't allow their
    /// endpoints, and only agents that the claim names are asked.
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
            self.withdraw_when_idle(now, service, out);
            return;
        }
        let state = self.service(service);
        state.wants.idle_since = None;
        if now < state.wants.review_at && state.wants.target > 0 {
            return;
        }
        let waiting = self.startable(now, service);
        if waiting == 0 {
            self.withdraw_when_idle(now, service, out);
            return;
        }
        if let Some(plan) = &plan {
            self.withdraw_outside_plan(service, plan, out);
        }
        self.widen(now, service, waiting, plan.as_deref());
        self.send_wants(service, waiting, out);
    }

    /// The endpoints named by the claim of a task's submission; `None` without a submission.
    fn plan_of(&self, task: TaskRef) -> Option<Vec<EndpointKey>> {
        let submission = self.works.get(task.work)?.submission.as_ref()?;
        Some(submission.plan().to_vec())
    }

    /// Withdraws requests made to agents outside `plan`.
    fn withdraw_outside_plan(
        &mut self,
        service: ServiceKey,
        plan: &[EndpointKey],
        out: &mut Actions,
    ) {
        let asked = std::mem::take(&mut self.service(service).wants.asked);
        let (kept, outside): (Vec<_>, Vec<_>) =
            asked.into_iter().partition(|key| plan.contains(key));
        self.service(service).wants.asked = kept;
        for key in outside {
            self.withdraw_want(key, out);
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

    /// Determines how many agents to ask, and adds agents up to that number.
    fn widen(
        &mut self,
        now: Instant,
        service: ServiceKey,
        waiting: usize,
        plan: Option<&[EndpointKey]>,
    ) {
        let max_asked = self.fleet.of_service(service).len().min(MAX_ASKED_AGENTS);
        let wants = &mut self.services[service.0 as usize].wants;
        match wants.target {
            0 => {
                wants.target = (waiting * INITIAL_AGENTS_PER_TASK).min(max_asked);
                wants.widen_at = now + DurationMs::new(WIDEN_INTERVAL_MS);
            }
            target if now >= wants.widen_at => {
                wants.target = (target * 2).min(max_asked);
                wants.widen_at = now + DurationMs::new(WIDEN_INTERVAL_MS);
            }
            _ => {}
        }
        wants.review_at = now + DurationMs::new(REVIEW_INTERVAL_MS);
        let (target, widen_at) = (wants.target, wants.widen_at);
        self.timers.set(widen_at, Timer::RefreshWants(service));
        self.add_agents(service, target, plan);
    }

    /// Adds agents up to `target`: each time the one of a few random candidates that has the fewest
    /// starts in flight from this entry.
    fn add_agents(&mut self, service: ServiceKey, target: usize, plan: Option<&[EndpointKey]>) {
        let all = plan.unwrap_or_else(|| self.fleet.of_service(service));
        if all.is_empty() {
            return;
        }
        let fleet = &self.fleet;
        let wants = &mut self.services[service.0 as usize].wants;
        let open = |key: &EndpointKey| fleet.get(*key).is_some_and(|endpoint| endpoint.is_open());
        wants.asked.retain(open);
        let mut attempts = target * CANDIDATES_PER_AGENT;
        while wants.asked.len() < target && attempts > 0 {
            attempts -= 1;
            let candidates =
                (0..CANDIDATES_PER_AGENT).map(|_| all[self.rng.random_range(0..all.len())]);
            let usable = candidates.filter(|key| open(key) && !wants.asked.contains(key));
            let load = |key: &EndpointKey| fleet.get(*key).map(|endpoint| endpoint.in_flight);
            wants.asked.extend(usable.min_by_key(load));
        }
    }

    /// Sends each asked agent the number of slots wanted from it. Skips an agent whose last request
    /// still covers more than half of that.
    fn send_wants(&mut self, service: ServiceKey, waiting: usize, out: &mut Actions) {
        let asked = std::mem::take(&mut self.service(service).wants.asked);
        let share = (waiting * SLOTS_PER_TASK).div_ceil(asked.len().max(1));
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

    /// Withdraws all requests once the queue has needed no slots for [`WITHDRAW_DELAY_MS`].
    fn withdraw_when_idle(&mut self, now: Instant, service: ServiceKey, out: &mut Actions) {
        let wants = &mut self.services[service.0 as usize].wants;
        if wants.asked.is_empty() {
            wants.target = 0;
            return;
        }
        let since = *wants.idle_since.get_or_insert(now);
        let until = since + DurationMs::new(WITHDRAW_DELAY_MS);
        if now < until {
            if since == now {
                self.timers.set(until, Timer::RefreshWants(service));
            }
            return;
        }
        wants.target = 0;
        wants.idle_since = None;
        for key in std::mem::take(&mut wants.asked) {
            self.withdraw_want(key, out);
        }
    }

    fn withdraw_want(&mut self, key: EndpointKey, out: &mut Actions) {
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
