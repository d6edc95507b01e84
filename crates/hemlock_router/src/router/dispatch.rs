//! Starting queued tasks.

use hemlock_types::prelude::*;

use super::Router;
use crate::action::{Action, Actions, Observation};
use crate::fleet::EndpointKey;
use crate::placement::PlacementRequest;
use crate::queue::{Head, ParkedQueue, ServiceKey};
use crate::start_table::{InFlightStart, StartKey};
use crate::work::{TaskRef, TaskState};

/// Maximum number of heads of a queue that are skipped because the endpoints allowed for them are
/// full.
const MAX_SKIPPED_HEADS: usize = 8;
/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// Whether the task at the head of a queue can start.
enum HeadStatus {
    /// It is no longer queued because it has ended.
    Ended,
    /// Its contract has no free share.
    ContractFull,
    /// It is expected to miss its deadline.
    TooLate,
    /// It may start.
    Ready,
}

impl Router {
    /// Starts the service's waiting tasks in order, as long as endpoints can take them.
    pub(super) fn dispatch(&mut self, now: Instant, service: ServiceKey, out: &mut Actions) {
        if !self.has_lease(now) {
            return;
        }
        let mut skipped = Vec::new();
        let mut blocked = None;
        while let Some(head) = self.service(service).queue.head() {
            match self.head_status(now, head) {
                HeadStatus::Ended => self.service(service).queue.drop_head(head),
                HeadStatus::ContractFull => self.park(service, head),
                HeadStatus::TooLate => self.drop_too_late(service, head, out),
                HeadStatus::Ready => match self.choose_endpoint(head.task) {
                    Some(endpoint) => self.start_head(now, service, head, endpoint, out),
                    None => {
                        blocked.get_or_insert(head.task);
                        if !self.may_skip(service, head, skipped.len()) {
                            break;
                        }
                        self.service(service).queue.drop_head(head);
                        skipped.push(head);
                    }
                },
            }
        }
        for head in skipped.into_iter().rev() {
            let queue = &mut self.service(service).queue;
            queue.push_front(head.level, head.contract, head.task);
        }
        self.update_wants(now, service, blocked, out);
    }

    fn head_status(&self, now: Instant, head: Head) -> HeadStatus {
        let Some(work) = self.works.get(head.task.work) else {
            return HeadStatus::Ended;
        };
        let task = work.task(head.task.task);
        let needed_us = self
            .estimates
            .quantiles(task.operation_key)
            .map_or(0, |times| times.p50_us);
        match () {
            () if task.state != TaskState::Queued => HeadStatus::Ended,
            () if work.deadline.micros_since(now) <= needed_us => HeadStatus::TooLate,
            () if !self.contracts.state(head.contract).has_room(now) => HeadStatus::ContractFull,
            () => HeadStatus::Ready,
        }
    }

    fn park(&mut self, service: ServiceKey, head: Head) {
        let level = head.level;
        self.service(service).queue.park(level, head.contract);
        let parked = ParkedQueue { service, level };
        self.contracts.state_mut(head.contract).parked.push(parked);
    }

    /// Serves the contract's parked queues again.
    pub(super) fn unpark(&mut self, contract: crate::contracts::ContractKey) {
        let parked = std::mem::take(&mut self.contracts.state_mut(contract).parked);
        for parked_queue in parked {
            let queue = &mut self.service(parked_queue.service).queue;
            queue.unpark(parked_queue.level, contract);
            self.services_to_dispatch.insert(parked_queue.service);
        }
    }

    fn drop_too_late(&mut self, service: ServiceKey, head: Head, out: &mut Actions) {
        self.service(service).queue.drop_head(head);
        let outcome = Outcome::NotRun(NotRunReason::Deadline, NotRunProof::NeverSent);
        self.end_task(head.task.work, head.task.task, outcome, out);
    }

    fn may_skip(&self, service: ServiceKey, head: Head, skipped_count: usize) -> bool {
        let restricted = self.works.get(head.task.work).is_some_and(|work| {
            let task = work.task(head.task.task);
            work.submission.is_some() || task.cores > 0 || task.memory_mb > 0
        });
        restricted && skipped_count < MAX_SKIPPED_HEADS && self.placement.has_room(service)
    }

    /// Chooses the endpoint for a task: one on probation that may be tried, or the choice of the
    /// placement policy.
    fn choose_endpoint(&mut self, task: TaskRef) -> Option<EndpointKey> {
        self.probation_endpoint(task)
            .or_else(|| self.pick(task, None))
    }

    /// Chooses the endpoint for a task by the placement policy. Avoids `avoid` or, without it, the
    /// endpoint of the task's latest start.
    pub(super) fn pick(
        &mut self,
        task: TaskRef,
        avoid: Option<EndpointKey>,
    ) -> Option<EndpointKey> {
        let work = self.works.get(task.work)?;
        let service = work.service;
        let (starts_by_rack, plan) = (&work.starts_by_rack, work.submission.as_ref());
        let task = work.task(task.task);
        let has_alternatives = self.fleet.of_service(service).len() > 1;
        let last = task.last_endpoint.filter(|_| work.may_resend());
        let request = PlacementRequest {
            service,
            plan: plan.map(|submission| submission.plan()),
            avoid: avoid.or(last).filter(|_| has_alternatives),
            cores: task.cores,
            memory_mb: task.memory_mb,
            starts_by_rack,
        };
        self.placement.pick(&request, &self.fleet, &mut self.rng)
    }

    /// An endpoint on probation without a start of this entry in flight, for work that may be sent
    /// again.
    fn probation_endpoint(&self, task: TaskRef) -> Option<EndpointKey> {
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

    /// Starts a task at an endpoint and counts the start against the contract's share.
    pub(super) fn start(
        &mut self,
        now: Instant,
        task: TaskRef,
        endpoint: EndpointKey,
        out: &mut Actions,
    ) -> Option<StartKey> {
        let work = self.works.get_mut(task.work)?;
        let (contract, deadline, is_job) = (work.contract, work.deadline, work.is_job());
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
        if is_job {
            self.count_rack(task, endpoint);
        }
        let state = self.contracts.state_mut(contract);
        state.running += 1;
        assert!(
            state.running <= state.share,
            "starts must not exceed the contract's share"
        );
        self.take_slot(endpoint);
        self.schedule_straggler_check(now, start, operation);
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

    /// Counts one more start at the endpoint and uses one of its granted slots.
    pub(super) fn take_slot(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.fleet.get_mut(key) {
            endpoint.in_flight += 1;
            endpoint.credits = endpoint.credits.saturating_sub(1);
            self.placement.update(key, endpoint);
        }
    }

    /// Emits the action that sends a start to its agent.
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
        let remaining_us = start.deadline.micros_since(now);
        let spec = TaskSpec {
            request: start.request,
            submission: submission.map(|submission| submission.id),
            task: start.task.task,
            epoch: submission.map_or(Epoch(0), |submission| submission.epoch()),
            agent,
            service: endpoint.announcement.service.clone(),
            operation: task.operation.clone(),
            deadline_ms: remaining_us.div_ceil(US_PER_MS),
            traceparent: work.traceparent.clone(),
            body: task.body.clone(),
        };
        out.push(Action::Start { agent, spec });
    }

    /// Puts a task back at the head of its contract's queue, to be started again.
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
        self.services_to_dispatch.insert(service);
        Self::observe(out, Observation::Requeued);
    }
}
