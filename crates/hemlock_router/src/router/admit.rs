//! Admission of work, or refusal before anything is sent.

use hemlock_types::prelude::*;

use super::Router;
use crate::action::{Action, Actions, CallResult, CallerFault, Observation};
use crate::admission::Load;
use crate::contracts::ContractKey;
use crate::event::{CallId, Submit, TaskRequest};
use crate::queue::{LevelIndex, ServiceKey};
use crate::submission::Submission;
use crate::timers::Timer;
use crate::work::{MAX_TASKS, Task, TaskRef, TaskState, Waiter, Work, WorkKey};

/// Number of ended tasks that a contract's queue may hold, in addition to one for each queued task
/// of the contract, before they are removed.
const ENDED_TASKS_SLACK: usize = 256;

impl Router {
    pub(super) fn submit(&mut self, now: Instant, submit: Submit, out: &mut Actions) {
        if let Some((id, digest)) = submit.submission
            && let Some(work) = self.submissions.get(&id).copied()
        {
            self.join(now, work, digest, &submit, out);
            return;
        }
        if let Some(reason) = self.unavailable_reason(now) {
            self.refuse(&submit, reason, out);
            return;
        }
        match self.check_caller(&submit) {
            Err(fault) => Self::reject(submit.call, fault, out),
            Ok(contract) => self.check_and_admit(now, contract, submit, out),
        }
    }

    fn unavailable_reason(&self, now: Instant) -> Option<NotRunReason> {
        match () {
            () if self.draining => Some(NotRunReason::Draining),
            () if !self.has_lease(now) => Some(NotRunReason::NoLease),
            () => None,
        }
    }

    fn check_caller(&self, submit: &Submit) -> Result<ContractKey, CallerFault> {
        let Some(key) = self.contracts.find(&submit.customer) else {
            return Err(CallerFault::ServiceNotCovered);
        };
        let contract = &self.contracts.state(key).contract;
        let needs_key =
            |task: &TaskRequest| contract.is_non_idempotent(&submit.service, &task.operation);
        match submit {
            submit if !contract.allows_service(&submit.service) => {
                Err(CallerFault::ServiceNotCovered)
            }
            submit if !(1..=MAX_TASKS).contains(&submit.tasks.len()) => Err(CallerFault::TaskCount),
            submit if submit.submission.is_none() && submit.tasks.iter().any(needs_key) => {
                Err(CallerFault::KeyRequired)
            }
            _ => Ok(key),
        }
    }

    pub(super) fn reject(call: CallId, fault: CallerFault, out: &mut Actions) {
        out.push(Action::Answer {
            call,
            result: CallResult::Rejected(fault),
            retry_after_ms: None,
        });
    }

    fn check_and_admit(
        &mut self,
        now: Instant,
        contract: ContractKey,
        submit: Submit,
        out: &mut Actions,
    ) {
        let service = self.fleet.intern_service(&submit.service);
        let deadline_ms = self.deadline_ms(contract, &submit);
        let checked = self
            .check_endpoints(service, &submit)
            .and_then(|()| self.check_load(contract, service, deadline_ms, &submit));
        match checked {
            Err(reason) => self.refuse(&submit, reason, out),
            Ok(()) => self.admit(now, contract, service, deadline_ms, submit, out),
        }
    }

    fn deadline_ms(&self, contract: ContractKey, submit: &Submit) -> u64 {
        let contract = &self.contracts.state(contract).contract;
        let requested = submit.deadline_ms.unwrap_or(contract.deadline_ms);
        requested.min(contract.deadline_cap_ms)
    }

    fn check_endpoints(
        &mut self,
        service: ServiceKey,
        submit: &Submit,
    ) -> Result<(), NotRunReason> {
        let worker_sizes = &self.service(service).worker_sizes;
        let fits = |task: &TaskRequest| {
            let fits_worker = |size: &super::WorkerSize| {
                task.cores <= size.cores && task.memory_mb <= size.memory_mb
            };
            worker_sizes.iter().any(fits_worker)
        };
        match () {
            () if worker_sizes.is_empty() => Err(NotRunReason::NoEndpoint),
            () if !submit.tasks.iter().all(fits) => Err(NotRunReason::Infeasible),
            () => Ok(()),
        }
    }

    fn check_load(
        &mut self,
        contract: ContractKey,
        service: ServiceKey,
        deadline_ms: u64,
        submit: &Submit,
    ) -> Result<(), NotRunReason> {
        let mut expected_us = 0;
        let mut quantiles = None;
        for task in &submit.tasks {
            let key = self.estimates.intern(contract, service, &task.operation);
            expected_us = expected_us.max(self.estimates.expected_us(key));
            let times = [quantiles, self.estimates.quantiles(key)];
            quantiles = times.into_iter().flatten().max_by_key(|times| times.p50_us);
        }
        let load = Load {
            tasks: submit.tasks.len() as u64,
            expected_us,
            quantiles,
            remaining_ms: deadline_ms,
            ..self.load_of(contract, service)
        };
        self.admission.admit(&load)
    }

    /// The current load for new work of the contract; the fields that describe the work are zero.
    pub(super) fn load_of(&mut self, contract: ContractKey, service: ServiceKey) -> Load {
        let level = LevelIndex::from(self.contracts.state(contract).contract.urgency);
        let has_room = self.placement.has_room(service);
        let state = self.service(service);
        let queued_ahead = match has_room {
            true => 0,
            false => state.queue.len_ahead(level) as u64,
        };
        let (starts_per_s, slots) = (state.meter.rate(), state.slots);
        let contract_state = self.contracts.state(contract);
        Load {
            tasks: 0,
            contract_queued: u64::from(contract_state.queued),
            contract_max_queued: u64::from(contract_state.contract.max_queued),
            contract_share: u64::from(contract_state.share),
            entry_queued: self.queued,
            entry_max_queued: u64::from(self.settings.max_queued),
            queued_ahead,
            starts_per_s,
            slots,
            expected_us: 0,
            quantiles: None,
            remaining_ms: 0,
        }
    }

    fn admit(
        &mut self,
        now: Instant,
        contract: ContractKey,
        service: ServiceKey,
        deadline_ms: u64,
        submit: Submit,
        out: &mut Actions,
    ) {
        let deadline = now + DurationMs::new(deadline_ms);
        let count = submit.tasks.len();
        let state = self.contracts.state_mut(contract);
        let level = LevelIndex::from(state.contract.urgency);
        state.queued += count as u32;
        state.retries.deposit(state.contract.retry_budget_percent);
        state.hedges.deposit(state.contract.hedging.budget_percent);
        self.queued += count as u64;
        let waiters = match submit.detached {
            true => Vec::new(),
            false => vec![Waiter {
                call: submit.call,
                deadline,
            }],
        };
        let submission = submit
            .submission
            .map(|(id, digest)| Submission::new(id, digest, count, now));
        let tasks = submit.tasks.into_iter();
        let tasks = tasks
            .map(|task| self.new_task(contract, service, task))
            .collect();
        let work = self.works.insert(Work {
            waiters,
            contract,
            service,
            level,
            submission,
            tasks,
            open_tasks: count as u16,
            starts_by_rack: Vec::new(),
            admitted: now,
            deadline,
            traceparent: submit.traceparent,
        });
        self.timers.set(deadline, Timer::Deadline(work));
        Self::observe(
            out,
            Observation::Admitted {
                tasks: count as u16,
            },
        );
        if submit.detached {
            Self::answer_running(submit.call, out);
        }
        match submit.submission {
            None => self.enqueue_held(work, out),
            Some((id, _)) => {
                self.submissions.insert(id, work);
                self.claim(now, work, out);
            }
        }
    }

    fn new_task(&mut self, contract: ContractKey, service: ServiceKey, task: TaskRequest) -> Task {
        Task {
            operation_key: self.estimates.intern(contract, service, &task.operation),
            operation: task.operation,
            body: task.body,
            cores: task.cores,
            memory_mb: task.memory_mb,
            state: TaskState::Held,
            start: None,
            hedge: None,
            last_endpoint: None,
            refusals: 0,
            losses: 0,
            may_have_run: false,
        }
    }

    /// Queues all tasks of the work that are [`TaskState::Held`].
    pub(super) fn enqueue_held(&mut self, key: WorkKey, out: &mut Actions) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        let (service, level, contract) = (work.service, work.level, work.contract);
        let mut queued = Vec::with_capacity(work.tasks.len());
        for index in work.indices() {
            let task = work.task_mut(index);
            if task.state == TaskState::Held {
                task.state = TaskState::Queued;
                queued.push(index);
            }
        }
        self.remove_ended_tasks(service, level, contract);
        let queue = &mut self.service(service).queue;
        for task in queued {
            queue.push_back(level, contract, TaskRef { work: key, task });
        }
        self.services_to_dispatch.insert(service);
        if self.contracts.state_mut(contract).report_if_grown() {
            out.push(Action::SyncSoon);
        }
    }

    /// Removes ended tasks from a contract's queue when most of its tasks have ended.
    fn remove_ended_tasks(
        &mut self,
        service: ServiceKey,
        level: LevelIndex,
        contract: ContractKey,
    ) {
        let queued = self.contracts.state(contract).queued as usize;
        let works = &self.works;
        let queue = &mut self.services[service.0 as usize].queue;
        if queue.contract_len(level, contract) <= 2 * queued + ENDED_TASKS_SLACK {
            return;
        }
        queue.retain(level, contract, |task| {
            let work = works.get(task.work);
            work.is_some_and(|work| work.task(task.task).state == TaskState::Queued)
        });
    }
}
