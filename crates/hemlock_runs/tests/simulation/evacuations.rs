//! Evacuations that begin and end at random, and reach the processes late or never.

use rand::RngExt;

use super::{GATEWAY_COUNT, RUNNER_COUNT, Simulation};

/// Number of failure domains, to which the instances are assigned in turn.
const DOMAINS: u64 = 2;
/// Longest cold phase of an instance, in milliseconds.
const MAX_COLD_MS: u64 = 2_000;

/// Name of the failure domain of an instance.
pub(super) fn domain_of(runner: u64) -> String {
    format!("d-{}", runner % DOMAINS)
}

impl Simulation {
    /// Begins or ends an evacuation now and then, and tells some of the processes.
    pub(super) fn step_evacuations(&mut self) {
        // Evacuations are short, because the simulated callers are not rejected: the instances must
        // catch up with what waits.
        for domain in (0..DOMAINS).map(domain_of) {
            match self.evacuations.contains(&domain) {
                true if self.chance(10) => self.evacuations.end(&domain),
                false if self.chance(1) => self.evacuations.begin(&domain),
                _ => {}
            }
        }
        for gateway in 0..GATEWAY_COUNT {
            if self.chance(20) {
                self.tell_gateway(gateway);
            }
        }
        for runner in 0..RUNNER_COUNT {
            if self.chance(20) {
                self.tell_runner(runner);
            }
            if self.chance(2) {
                let cold_ms = self.rng.random_range(0..MAX_COLD_MS);
                self.runners[runner as usize].cold_until_ms = self.now_ms + cold_ms;
            }
        }
    }

    /// Ends all evacuations and tells every process.
    pub(super) fn end_evacuations(&mut self) {
        for domain in (0..DOMAINS).map(domain_of) {
            self.evacuations.end(&domain);
        }
        (0..GATEWAY_COUNT).for_each(|gateway| self.tell_gateway(gateway));
        (0..RUNNER_COUNT).for_each(|runner| self.tell_runner(runner));
    }

    fn tell_gateway(&mut self, gateway: u64) {
        let dispatcher = &mut self.gateways[gateway as usize].dispatcher;
        dispatcher.set_evacuations(&self.evacuations);
    }

    fn tell_runner(&mut self, runner: u64) {
        let runs = &mut self.runners[runner as usize].runs;
        runs.note_evacuations(&self.evacuations);
        self.report_outcomes(runner);
    }
}
