//! What goes wrong.

use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use rand::RngExt;

use super::{GATEWAYS, RESEND_MS, RUNNERS, World};

impl World {
    pub(super) fn break_something(&mut self) {
        if self.chance(4) {
            let key = (
                self.rng.random_range(0..GATEWAYS),
                self.rng.random_range(0..RUNNERS),
            );
            let silent = self.rng.random_bool(0.5);
            if let Some(link) = self.links.get_mut(&key) {
                match silent {
                    true => link.silent = !link.silent,
                    false => self.cut(key),
                }
            }
        }
        if self.chance(2) {
            let gateway = self.rng.random_range(0..GATEWAYS);
            self.kill_gateway(gateway);
        }
        if self.chance(2) {
            let runner = self.rng.random_range(0..RUNNERS);
            self.restart_runner(runner, false);
        }
        if self.chance(1) {
            let runner = self.rng.random_range(0..RUNNERS);
            self.restart_runner(runner, true);
        }
    }

    /// Closes a connection; both sides notice.
    pub(super) fn cut(&mut self, key: (u64, u64)) {
        self.links.remove(&key);
        let now = self.now();
        let (gateway, runner) = (&mut self.gateways[key.0 as usize], key.1);
        let session = gateway.sessions.remove(&runner);
        let owner = Owner::Gateway(gateway.life);
        if let Some(session) = session {
            gateway
                .dispatcher
                .close_session(now, AgentId(runner), session);
            let runs = &mut self.runners[runner as usize].runs;
            runs.owner_closed(now, owner, session);
        }
    }

    /// A gateway dies. Its callers see their connections break, and hand their jobs in again.
    pub(super) fn kill_gateway(&mut self, index: u64) {
        for runner in 0..RUNNERS {
            self.cut((index, runner));
        }
        self.gateways[index as usize] = self.new_gateway();
        let lost: Vec<JobId> = self
            .open
            .iter()
            .filter(|(_, gateway)| **gateway == index)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.open.remove(&id);
            self.again.push((self.now_ms + RESEND_MS, id));
        }
    }

    /// A runner's process is replaced; its instance goes on, or is replaced with it.
    pub(super) fn restart_runner(&mut self, index: u64, with_instance: bool) {
        for gateway in 0..GATEWAYS {
            self.cut((gateway, index));
        }
        let born_ms = self.draw_life();
        let model = match with_instance {
            true => InstanceModel::new(born_ms),
            false => std::mem::take(&mut self.runners[index as usize].model),
        };
        // Calls of the earlier process that are still on their way may be carried out yet.
        let late = std::mem::take(&mut self.runners[index as usize].late);
        let mut runner = self.new_runner(model);
        if !with_instance {
            runner.late = late;
        }
        self.runners[index as usize] = runner;
    }
}
