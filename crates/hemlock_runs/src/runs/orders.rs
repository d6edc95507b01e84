//! The leader's orders, and what the instance answers to them.

use hemlock_dispatch::prelude::{Order, RefusalReason, StartOrder, StopOrder};
use hemlock_jobs::prelude::*;
use hemlock_types::time::Instant;

use super::{DriverCall, RunOutcome, RefusedStart, Runs};
use crate::driver::{StartCall, StartResult, StopCall, StopResult};
use crate::entry::{Entry, Phase};

impl Runs {
    /// Takes the leader's orders: the calls that carry them out, and the starts that are refused.
    pub fn take_order(
        &mut self,
        now: Instant,
        order: Order,
    ) -> (Vec<DriverCall>, Vec<RefusedStart>) {
        let mut calls = Vec::new();
        let mut refused = Vec::new();
        let fence = self.acting_fence(now, &order);
        for stop in order.stops {
            calls.extend(fence.and_then(|fence| self.stop(stop, fence)));
        }
        let for_present_instance = match (&self.instance, &order.instance) {
            (Some(instance), Some(meant)) => {
                self.reachable && instance.id == *meant && !instance.draining
            }
            (None, _) | (_, None) => false,
        };
        for start in order.starts {
            let result = match fence {
                None => Err(RefusalReason::Session),
                Some(_) if !for_present_instance => Err(RefusalReason::NoInstance),
                Some(fence) => self.start(now, &start, fence),
            };
            match result {
                Ok(call) => calls.push(call),
                Err(reason) => refused.push(RefusedStart {
                    task: start.task,
                    run: start.run,
                    reason,
                }),
            }
        }
        (calls, refused)
    }

    /// The fencing number under which the order may be carried out.
    fn acting_fence(&self, now: Instant, order: &Order) -> Option<u64> {
        let session = self.session.filter(|session| session.id == order.session)?;
        // An order of the session shows that the leader has adopted what was listed.
        (session.listed && self.may_act(now)).then_some(session.fence)
    }

    /// Stops runs that the leader doesn't want.
    pub fn stop_all(&mut self, stops: &[StopOrder]) -> Vec<DriverCall> {
        let Some(fence) = self.fence() else {
            return Vec::new();
        };
        let calls = stops.iter().filter_map(|stop| self.stop(*stop, fence));
        calls.collect()
    }

    fn start(
        &mut self,
        now: Instant,
        order: &StartOrder,
        fence: u64,
    ) -> Result<DriverCall, RefusalReason> {
        if self.table.contains_key(&order.task) {
            return Err(RefusalReason::Outdated);
        }
        let (Some(instance), Some(lease_until_ms)) = (&self.instance, self.lease_until_ms(now))
        else {
            return Err(RefusalReason::NoInstance);
        };
        if !instance.capacity.minus(&self.used).fits(&order.needs) {
            return Err(RefusalReason::NoRoom);
        }
        let entry = Entry {
            run: order.run,
            needs: order.needs,
            phase: Phase::Starting,
        };
        let capacity = instance.capacity;
        self.insert(order.task, entry);
        assert!(
            capacity.fits(&self.used),
            "what runs never passes the instance's capacity"
        );
        Ok(DriverCall::Start(StartCall {
            task: order.task,
            run: order.run,
            payload: order.payload.clone(),
            lease_until_ms,
            fence,
        }))
    }

    fn stop(&mut self, order: StopOrder, fence: u64) -> Option<DriverCall> {
        let (task, run) = (order.task, order.run);
        let known = self.table.get(&task).copied();
        let began = match known {
            Some(entry) if entry.run != run => return None,
            Some(Entry {
                phase: Phase::Stopping { .. },
                ..
            }) => return None,
            Some(entry) => matches!(entry.phase, Phase::Running(_)),
            None => false,
        };
        let entry = Entry {
            run,
            needs: known.map(|entry| entry.needs).unwrap_or_default(),
            phase: Phase::Stopping {
                began,
                accepted: None,
            },
        };
        self.insert(task, entry);
        Some(DriverCall::Stop(StopCall { task, run, fence }))
    }

    /// Takes the instance's answer to a start. Returns a call that must follow.
    pub fn start_answered(
        &mut self,
        now: Instant,
        call: &StartCall,
        result: StartResult,
    ) -> Option<DriverCall> {
        let (task, run) = (call.task, call.run);
        let entry = self.table.get(&task).copied();
        let entry = entry.filter(|entry| entry.run == run && self.fence() == Some(call.fence))?;
        match (result, entry.phase) {
            (StartResult::Started, Phase::Starting) => {
                self.set_phase(task, Phase::Running(now));
                None
            }
            (StartResult::Started, Phase::Stopping { accepted, .. }) => {
                let began = true;
                self.set_phase(task, Phase::Stopping { began, accepted });
                None
            }
            (StartResult::Refused(reason), Phase::Starting) => {
                self.remove(task);
                let refused = RefusedStart { task, run, reason };
                self.outbox.push(RunOutcome::Refused(refused));
                None
            }
            // A stop fences a start that may still be carried out.
            (StartResult::Unanswered | StartResult::Fenced, Phase::Starting) => {
                let phase = Phase::Stopping {
                    began: false,
                    accepted: None,
                };
                self.set_phase(task, phase);
                let fence = call.fence;
                Some(DriverCall::Stop(StopCall { task, run, fence }))
            }
            _ => None,
        }
    }

    /// Takes the instance's answer to a stop.
    pub fn stop_answered(&mut self, now: Instant, call: &StopCall, result: StopResult) {
        let entry = self.table.get(&call.task).copied();
        let current = entry.filter(|entry| entry.run == call.run);
        let Some(Phase::Stopping { began, .. }) = current.map(|entry| entry.phase) else {
            return;
        };
        match result {
            StopResult::Accepted => {
                let accepted = Some(now);
                self.set_phase(call.task, Phase::Stopping { began, accepted });
            }
            StopResult::Unanswered => {
                self.stop_retries.insert(call.task);
            }
            StopResult::Fenced => {}
        }
    }

    /// Stops that had no answer and are to be sent again.
    pub fn take_stop_retries(&mut self) -> Vec<DriverCall> {
        let Some(fence) = self.fence() else {
            return Vec::new();
        };
        let retries = std::mem::take(&mut self.stop_retries);
        let call = |task: TaskKey| {
            let run = self.table.get(&task)?.run;
            Some(DriverCall::Stop(StopCall { task, run, fence }))
        };
        retries.into_iter().filter_map(call).collect()
    }

    pub(super) fn set_phase(&mut self, task: TaskKey, phase: Phase) {
        if let Some(entry) = self.table.get_mut(&task) {
            entry.phase = phase;
        }
    }
}
