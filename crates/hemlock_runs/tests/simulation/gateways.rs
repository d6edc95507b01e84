//! Simulated callers and gateways.

use bytes::Bytes;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use rand::RngExt;

use super::{GATEWAY_COUNT, JOBS_PER_STEP, Message, PING_MS, Simulation, needs, work_ms};

impl Simulation {
    /// Submits the jobs whose resubmission is due, and sometimes a new one.
    pub(super) fn submit_due_jobs(&mut self) {
        let due: Vec<JobId> = self
            .resubmissions
            .iter()
            .filter(|(at_ms, _)| *at_ms <= self.now_ms)
            .map(|(_, id)| *id)
            .collect();
        self.resubmissions.retain(|(at_ms, _)| *at_ms > self.now_ms);
        for id in due {
            self.submit_job(id);
        }
        if self.next_job != u64::MAX && self.rng.random_bool(JOBS_PER_STEP) {
            let id = JobId(self.next_job);
            self.next_job += 1;
            self.submitted += 1;
            self.submit_job(id);
        }
    }

    /// Submits a job to a random gateway.
    pub(super) fn submit_job(&mut self, id: JobId) {
        let now = self.now();
        let index = self.rng.random_range(0..GATEWAY_COUNT);
        let mut step = StepSpec::new(1 + (id.0 % 4) as u16);
        step.needs = needs();
        step.estimate_ms = work_ms(id);
        let spec = JobSpec::new(Bytes::new(), vec![step]).with_best_effort(true);
        let acceptance = Acceptance::new(id, "q", "s", 3, spec);
        let gateway = &mut self.gateways[index as usize];
        let accept = Command::Accept(Box::new(acceptance));
        gateway
            .job_store
            .apply(&Batch::new(self.now_ms, vec![accept]));
        if let Some(open) = gateway.job_store.job(id).and_then(JobRecord::open) {
            gateway.dispatcher.job_accepted(now, id, "q", open);
        }
        self.open_jobs.insert(id, index);
    }

    /// Records the end of a run at its gateway if the dispatcher asks for it, and answers the
    /// caller if its job has ended.
    pub(super) fn handle_end(&mut self, index: u64, report: RunReport, verdict: EndAction) {
        let EndAction::Record(end) = verdict else {
            return;
        };
        let now = self.now();
        let gateway = &mut self.gateways[index as usize];
        let command = Command::End(report.task, report.run, end);
        let batch = Batch::new(self.now_ms, vec![command]);
        match gateway.job_store.apply(&batch)[0] {
            ApplyOutcome::Ended(_) => {
                gateway.dispatcher.job_ended(report.task.job);
                if self.open_jobs.get(&report.task.job) == Some(&index) {
                    self.open_jobs.remove(&report.task.job);
                    self.ended += 1;
                }
            }
            _ => gateway
                .dispatcher
                .end_recorded(now, report.task, report.run, end),
        }
    }

    /// Sends the gateway's orders, and its pings when they are due.
    pub(super) fn step_gateway(&mut self, index: u64) {
        let now = self.now();
        let gateway = &mut self.gateways[index as usize];
        let orders = gateway.dispatcher.poll(now);
        let ping = self.now_ms >= gateway.next_ping_ms;
        let sessions = gateway.sessions.clone();
        if ping {
            gateway.next_ping_ms = self.now_ms + PING_MS;
        }
        for order in orders {
            let key = (index, order.agent.0);
            self.send(key, true, Message::Order(order));
        }
        if ping {
            for (runner, session) in sessions {
                self.send((index, runner), true, Message::Ping(session));
            }
        }
    }
}
