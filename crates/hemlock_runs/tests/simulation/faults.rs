//! Injected faults: silent or broken connections and restarted processes.

use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use rand::RngExt;

use super::{GATEWAY_COUNT, RESUBMIT_AFTER_MS, RUNNER_COUNT, Simulation};

impl Simulation {
    /// Causes random faults of connections and processes.
    pub(super) fn inject_faults(&mut self) {
        if self.chance(4) {
            let key = (
                self.rng.random_range(0..GATEWAY_COUNT),
                self.rng.random_range(0..RUNNER_COUNT),
            );
            let silent = self.rng.random_bool(0.5);
            if let Some(link) = self.links.get_mut(&key) {
                match silent {
                    true => link.silent = !link.silent,
                    false => self.disconnect(key),
                }
            }
        }
        if self.chance(2) {
            let gateway = self.rng.random_range(0..GATEWAY_COUNT);
            self.restart_gateway(gateway);
        }
        if self.chance(2) {
            let runner = self.rng.random_range(0..RUNNER_COUNT);
            self.restart_runner(runner, false);
        }
        if self.chance(1) {
            let runner = self.rng.random_range(0..RUNNER_COUNT);
            self.restart_runner(runner, true);
        }
    }

    /// Closes a connection; both sides are notified.
    pub(super) fn disconnect(&mut self, key: (u64, u64)) {
        self.links.remove(&key);
        let now = self.now();
        let (gateway, runner) = (&mut self.gateways[key.0 as usize], key.1);
        let session = gateway.sessions.remove(&runner);
        let owner = Owner::Gateway(gateway.incarnation);
        if let Some(session) = session {
            gateway
                .dispatcher
                .close_session(now, AgentId(runner), session);
            let runs = &mut self.runners[runner as usize].runs;
            runs.owner_closed(now, owner, session);
        }
    }

    /// Replaces a gateway's process. Its callers see their connections break and submit their jobs
    /// again.
    pub(super) fn restart_gateway(&mut self, index: u64) {
        for runner in 0..RUNNER_COUNT {
            self.disconnect((index, runner));
        }
        self.gateways[index as usize] = self.new_gateway();
        let lost: Vec<JobId> = self
            .open_jobs
            .iter()
            .filter(|(_, gateway)| **gateway == index)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.open_jobs.remove(&id);
            self.resubmissions
                .push((self.now_ms + RESUBMIT_AFTER_MS, id));
        }
    }

    /// Replaces a runner's process, and its instance too if `with_instance` is set.
    pub(super) fn restart_runner(&mut self, index: u64, with_instance: bool) {
        for gateway in 0..GATEWAY_COUNT {
            self.disconnect((gateway, index));
        }
        let born_ms = self.next_unique_number();
        let model = match with_instance {
            true => InstanceModel::new(born_ms),
            false => std::mem::take(&mut self.runners[index as usize].model),
        };
        // Delayed calls of the earlier process may still be executed by the same instance.
        let delayed_calls = std::mem::take(&mut self.runners[index as usize].delayed_calls);
        let mut runner = self.new_runner(model);
        if !with_instance {
            runner.delayed_calls = delayed_calls;
        }
        self.runners[index as usize] = runner;
    }
}
