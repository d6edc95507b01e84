//! Starting what can start.

use hemlock_types::prelude::*;

use super::Router;
use crate::action::{Action, Actions, Observation};
use crate::fleet::EndpointKey;
use crate::placement::PlacementRequest;
use crate::queue::{Head, ParkedQueue, ServiceKey};
use crate::start_table::{InFlightStart, StartKey};
use crate::work::{TaskRef, TaskState};

/// Heads that may be passed over because the endpoints allowed to them are full.
const SET_ASIDE_MAX: usize = 8;
/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// What becomes of the head of a queue.
enum Verdict {
    /// It has ended meanwhile.
    Gone,
    /// Its contract has no room.
    NoRoom,
    /// It can't end within its deadline any more.
    Hopeless,
    /// It may start.
    Ready,
}

impl Router {
    /// Starts the service's waiting tasks in order, while there is room.
    pub(super) fn dispatch(&mut self, now: Instant, service: ServiceKey, out: &mut Actions) {
        if !self.has_lease(now) {
            return;
        }
        let mut aside = Vec::new();
        let mut blocked = None;
        while let Some(head) = self.service(service).queue.head() {
            match self.inspect(now, head) {
                Verdict::Gone => self.service(service).queue.drop_head(head),
                Verdict::NoRoom => self.park(service, head),
                Verdict::Hopeless => self.drop_hopeless(service, head, out),
                Verdict::Ready => match self.place(head.task) {
                    Some(endpoint) => self.start_head(now, service, head, endpoint, out),
                    None => {
                        blocked.get_or_insert(head.task);
                        if !self.may_pass_over(service, head, aside.len()) {
                            break;
                        }
                        self.service(service).queue.drop_head(head);
                        aside.push(head);
                    }
                },
            }
        }
        for head in aside.into_iter().rev() {
            let queue = &mut self.service(service).queue;
            queue.push_front(head.level, head.contract, head.task);
        }
        self.update_wants(now, service, blocked, out);
    }

    fn inspect(&self, now: Instant, head: Head) -> Verdict {
        let Some(work) = self.works.get(head.task.work) else {
            return Verdict::Gone;
        };
        let task = work.task(head.task.task);
        let needed_us = self
            .estimates
            .quantiles(task.operation_key)
            .map_or(0, |times| times.p50_us);
        match () {
            () if task.state != TaskState::Queued => Verdict::Gone,
            () if work.deadline.micros_since(now) <= needed_us => Verdict::Hopeless,
            () if !self.contracts.state(head.contract).has_room(now) => Verdict::NoRoom,
            () => Verdict::Ready,
        }
    }

    fn park(&mut self, service: ServiceKey, head: Head) {
        let level = head.level;
        self.service(service).queue.park(level, head.contract);
        let parked = ParkedQueue { service, level };
        self.contracts.state_mut(head.contract).parked.push(parked);
    }

    /// Takes up every line that waited for the contract to have room.
    pub(super) fn unpark(&mut self, contract: crate::contracts::ContractKey) {
        let parked = std::mem::take(&mut self.contracts.state_mut(contract).parked);
        for line in parked {
            let queue = &mut self.service(line.service).queue;
            queue.unpark(line.level, contract);
            self.dirty.insert(line.service);
        }
    }

    fn drop_hopeless(&mut self, service: ServiceKey, head: Head, out: &mut Actions) {
        self.service(service).queue.drop_head(head);
        let outcome = Outcome::NotRun(NotRunReason::Deadline, NotRunProof::NeverSent);
        self.end_task(head.task.work, head.task.task, outcome, out);
    }

    fn may_pass_over(&self, service: ServiceKey, head: Head, passed: usize) -> bool {
        let narrow = self.works.get(head.task.work).is_some_and(|work| {
            let task = work.task(head.task.task);
            work.submission.is_some() || task.cores > 0 || task.memory_mb > 0
        });
        narrow && passed < SET_ASIDE_MAX && self.placement.has_room(service)
    }

    /// The endpoint for a task: one on probation that may be tried, or the placement's choice.
    fn place(&mut self, task: TaskRef) -> Option<EndpointKey> {
        self.probe(task).or_else(|| self.pick(task, None))
    }

    /// The placement's choice for a task; `avoid` in place of the endpoint of its latest start.
    pub(super) fn pick(
        &mut self,
        task: TaskRef,
        avoid: Option<EndpointKey>,
    ) -> Option<EndpointKey> {
        let work = self.works.get(task.work)?;
        let service = work.service;
        let (starts_by_rack, plan) = (&work.starts_by_rack, work.submission.as_ref());
        let task = work.task(task.task);
        let several = self.fleet.of_service(service).len() > 1;
        let last = task.last_endpoint.filter(|_| work.may_resend());
        let request = PlacementRequest {
            service,
            plan: plan.map(|submission| submission.plan()),
            avoid: avoid.or(last).filter(|_| several),
            cores: task.cores,
            memory_mb: task.memory_mb,
            starts_by_rack,
        };
        self.placement.pick(&request, &self.fleet, &mut self.rng)
    }

    /// An endpoint on probation without work of this entry, for work that may be sent again.
    fn probe(&self, task: TaskRef) -> Option<EndpointKey> {
        let work = self.works.get(task.work)?;
        let probation = &self.services.get(work.service.0 as usize)?.probation;
        if probation.is_empty() || !work.may_resend() {
            return None;
        }
        let spec = work.task(task.task);
        let free = |key: &&EndpointKey| {
            self.fleet.get(**key).is_some_and(|endpoint| {
                let fits = endpoint.fits(spec.cores, spec.memory_mb);
                let idle = endpoint.in_flight == 0 && endpoint.paused_until == Instant::ZERO;
                fits && idle && endpoint.is_reachable() && spec.last_endpoint != Some(**key)
            })
        };
        probation.iter().find(free).copied()
    }

    fn start_head(
        &mut self,
        now: Instant,
        service: ServiceKey,
        head: Head,
        endpoint: EndpointKey,
        out: &mut Actions,
    ) {
        let weight = self.contracts.state(head.contract).contract.weight;
        let cost_us = self.works.get(head.task.work).map_or(1, |work| {
            let operation = work.task(head.task.task).operation_key;
            self.estimates.expected_us(operation)
        });
        let state = self.service(service);
        state.queue.serve_head(head, cost_us, weight);
        let idle = state.queue.is_empty();
        state.meter.note_start(now, idle);
        self.contracts.state_mut(head.contract).queued -= 1;
        self.queued -= 1;
        let start = self.start(now, head.task, endpoint, out);
        if let Some(work) = self.works.get_mut(head.task.work) {
            let task = work.task_mut(head.task.task);
            task.state = TaskState::Started;
            task.start = start;
            if let Some(submission) = &mut work.submission {
                submission.bind(head.task.task, endpoint);
            }
        }
    }

    /// Sends one start of a task to an endpoint and counts it against the contract.
    pub(super) fn start(
        &mut self,
        now: Instant,
        task: TaskRef,
        endpoint: EndpointKey,
        out: &mut Actions,
    ) -> Option<StartKey> {
        let work = self.works.get_mut(task.work)?;
        let (contract, deadline, job) = (work.contract, work.deadline, work.is_job());
        let operation = work.task(task.task).operation_key;
        work.task_mut(task.task).last_endpoint = Some(endpoint);
        let start = self.starts.insert(InFlightStart {
            request: RequestId(0),
            task,
            endpoint,
            contract,
            operation,
            started: now,
            deadline,
            lost: false,
            abandoned: false,
            resent: false,
            straggled: false,
        });
        if job {
            self.count_rack(task, endpoint);
        }
        let state = self.contracts.state_mut(contract);
        state.running += 1;
        assert!(
            state.running <= state.share,
            "a start stays within the contract's share"
        );
        self.occupy(endpoint);
        self.watch(now, start, operation);
        self.send(now, start, out);
        Some(start)
    }

    fn count_rack(&mut self, task: TaskRef, endpoint: EndpointKey) {
        let Some(rack) = self.fleet.get(endpoint).map(|endpoint| endpoint.rack) else {
            return;
        };
        if let Some(work) = self.works.get_mut(task.work) {
            let index = rack.0 as usize;
            if work.starts_by_rack.len() <= index {
                work.starts_by_rack.resize(index + 1, 0);
            }
            work.starts_by_rack[index] += 1;
        }
    }

    /// Counts one start at the endpoint against its slots.
    pub(super) fn occupy(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.fleet.get_mut(key) {
            endpoint.in_flight += 1;
            endpoint.credits = endpoint.credits.saturating_sub(1);
            self.placement.update(key, endpoint);
        }
    }

    /// Hands a start to the connection.
    pub(super) fn send(&self, now: Instant, start: StartKey, out: &mut Actions) {
        let Some(start) = self.starts.get(start) else {
            return;
        };
        let Some(endpoint) = self.fleet.get(start.endpoint) else {
            return;
        };
        let Some(work) = self.works.get(start.task.work) else {
            return;
        };
        let task = work.task(start.task.task);
        let submission = work.submission.as_ref();
        let agent = endpoint.announcement.agent;
        let left_us = start.deadline.micros_since(now);
        let spec = TaskSpec {
            request: start.request,
            submission: submission.map(|submission| submission.id),
            task: start.task.task,
            epoch: submission.map_or(Epoch(0), |submission| submission.epoch()),
            agent,
            service: endpoint.announcement.service.clone(),
            operation: task.operation.clone(),
            deadline_ms: left_us.div_ceil(US_PER_MS),
            traceparent: work.traceparent.clone(),
            body: task.body.clone(),
        };
        out.push(Action::Start { agent, spec });
    }

    /// Puts a task whose start is proven not to have run back at the head of its line.
    pub(super) fn requeue(&mut self, task: TaskRef, out: &mut Actions) {
        let Some(work) = self.works.get_mut(task.work) else {
            return;
        };
        let (service, level, contract) = (work.service, work.level, work.contract);
        work.task_mut(task.task).state = TaskState::Queued;
        self.contracts.state_mut(contract).queued += 1;
        self.queued += 1;
        self.service(service)
            .queue
            .push_front(level, contract, task);
        self.dirty.insert(service);
        Self::observe(out, Observation::Requeued);
    }
}
