//! Stragglers, which are starts that take far longer than their operation usually does, and hedges,
//! which are second copies of them.

use hemlock_types::prelude::*;

use super::Router;
use crate::action::{Actions, Observation};
use crate::estimate::OperationKey;
use crate::health::Sample;
use crate::start_table::StartKey;
use crate::timers::Timer;
use crate::work::{TaskRef, TaskState};

/// A start is a straggler after this many times the 90th percentile of its operation.
const STRAGGLER_FACTOR: u64 = 3;

impl Router {
    /// Sets a timer for the time at which the start becomes a straggler.
    pub(super) fn schedule_straggler_check(
        &mut self,
        now: Instant,
        start: StartKey,
        operation: OperationKey,
    ) {
        if let Some(times) = self.estimates.quantiles(operation) {
            let late_us = now.as_micros() + times.p90_us * STRAGGLER_FACTOR;
            let at = Instant::from_micros(late_us);
            self.timers.set(at, Timer::CheckStraggler(start));
        }
    }

    pub(super) fn check_straggler(&mut self, now: Instant, key: StartKey, out: &mut Actions) {
        let Some(start) = self.starts.get_mut(key) else {
            return;
        };
        if start.lost {
            return;
        }
        start.straggled = true;
        let (endpoint, task, abandoned) = (start.endpoint, start.task, start.abandoned);
        self.record_sample(now, endpoint, Sample::Slow, out);
        if !abandoned && self.may_hedge(now, task) {
            self.hedge(now, key, task, out);
        }
    }

    fn may_hedge(&self, now: Instant, task: TaskRef) -> bool {
        let Some(work) = self.works.get(task.work) else {
            return false;
        };
        let state = self.contracts.state(work.contract);
        let is_unhedged = work.task(task.task).hedge.is_none();
        let started = work.task(task.task).state == TaskState::Started;
        let allowed = state.contract.hedging.enabled && work.may_resend();
        let idle = self.services[work.service.0 as usize].queue.is_empty();
        allowed && is_unhedged && started && idle && state.has_room(now) && self.has_lease(now)
    }

    fn hedge(&mut self, now: Instant, key: StartKey, task: TaskRef, out: &mut Actions) {
        let slow = self.starts.get(key).map(|start| start.endpoint);
        let Some(endpoint) = self.pick(task, slow) else {
            return;
        };
        let Some(contract) = self.works.get(task.work).map(|work| work.contract) else {
            return;
        };
        if !self.contracts.state_mut(contract).hedges.try_spend() {
            return;
        }
        let hedge_start = self.start(now, task, endpoint, out);
        if let Some(work) = self.works.get_mut(task.work) {
            work.task_mut(task.task).hedge = hedge_start;
        }
        Self::observe(out, Observation::Hedged);
    }
}
