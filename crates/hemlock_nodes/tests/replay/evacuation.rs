//! Evacuations of failure domains, and the cold instances that they leave.

use hemlock_jobs::prelude::*;
use hemlock_nodes::message::Report;
use hemlock_runs::prelude::*;

use super::result::Start;
use super::{Event, Replay, fleet, load};

/// Failure domains, to which the instances are assigned in turn.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time between the leader's commit and the arrival at the gateways, whose long polls wait for it.
const GATEWAY_DELAY_US: u64 = 1_000;
/// Longest time between the commit and the arrival at a runner, which asks at this interval.
const PING_INTERVAL_US: u64 = 300_000;
/// Time between two heartbeats of a cold instance.
const HEARTBEAT_US: u64 = 200_000;
/// Ratio of the duration of a task at a cold instance to that at a warm one.
const COLD_FACTOR: f64 = 2.0;

/// A time in which a failure domain is evacuated, in milliseconds after the start of the load.
#[derive(Clone, Debug)]
pub(crate) struct Evacuation {
    pub(crate) domain: &'static str,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    /// How long the instances of the domain are cold after the end.
    pub(crate) cold_ms: u64,
    /// A runner that is cut off from the coordinators.
    pub(crate) missed_by_runner: Option<usize>,
    /// A gateway that is cut off from the coordinators.
    pub(crate) missed_by_gateway: Option<usize>,
}

impl Evacuation {
    pub(crate) fn new(domain: &'static str, from_ms: u64, to_ms: u64) -> Self {
        Self {
            domain,
            from_ms,
            to_ms,
            cold_ms: 0,
            missed_by_runner: None,
            missed_by_gateway: None,
        }
    }
}

/// The failure domain of an instance.
pub(crate) fn domain_of(runner: usize) -> &'static str {
    DOMAINS[runner % DOMAINS.len()]
}

impl Replay {
    pub(super) fn schedule_evacuations(&mut self) {
        for evacuation in self.load.evacuations.clone() {
            let domain = evacuation.domain.to_owned();
            let at_us = |ms: u64| load::START_US + ms * 1_000;
            let begin = Command::Evacuate(domain.clone());
            self.at(at_us(evacuation.from_ms), Event::EvacuationChanged(begin));
            let end = Command::EndEvacuation(domain);
            self.at(at_us(evacuation.to_ms), Event::EvacuationChanged(end));
        }
    }

    /// Applies a committed change and distributes the new set.
    pub(super) fn change_evacuations(&mut self, change: Command) {
        self.evacuations.apply(&Batch::new(0, vec![change.clone()]));
        let evacuations = self.evacuations.evacuations().clone();
        let cut_off = |gateway, runner| {
            let mut plans = self.load.evacuations.iter();
            plans.any(|plan| plan.missed_by_gateway == gateway && plan.missed_by_runner == runner)
        };
        let is_gateway_cut_off = |gateway| cut_off(Some(gateway), None);
        let is_runner_cut_off = |runner| cut_off(None, Some(runner));
        let gateways: Vec<usize> = (0..self.deployment.gateways)
            .filter(|gateway| !is_gateway_cut_off(*gateway))
            .collect();
        let runners: Vec<usize> = (0..self.deployment.runners)
            .filter(|runner| !is_runner_cut_off(*runner))
            .collect();
        for gateway in gateways {
            let event = Event::EvacuationsAtGateway(gateway, evacuations.clone());
            self.at(self.now_us + GATEWAY_DELAY_US, event);
        }
        for (place, runner) in runners.into_iter().enumerate() {
            // The runners' pings are spread evenly over the interval.
            let count = self.deployment.runners as u64;
            let delay_us = PING_INTERVAL_US * (place as u64 + 1) / count;
            let event = Event::EvacuationsAtRunner(runner, evacuations.clone());
            self.at(self.now_us + delay_us, event);
        }
        if let Command::EndEvacuation(domain) = change {
            self.cool_down(&domain);
        }
    }

    /// Makes the instances of a domain cold.
    fn cool_down(&mut self, domain: &str) {
        let plans = self.load.evacuations.iter();
        let cold_ms = plans
            .filter(|plan| plan.domain == domain)
            .map(|plan| plan.cold_ms);
        let cold_us = cold_ms.max().unwrap_or(0) * 1_000;
        let runners = (0..self.deployment.runners).filter(|runner| domain_of(*runner) == domain);
        for runner in runners.collect::<Vec<_>>() {
            self.runners[runner].cold_until_us = self.now_us + cold_us;
            self.at(self.now_us, Event::Heartbeat(runner));
        }
    }

    pub(super) fn note_evacuations(&mut self, runner: usize, evacuations: &Evacuations) {
        if self.runners[runner].runs.note_evacuations(evacuations) {
            self.send_outcomes(runner);
            for gateway in self.runners[runner].owners.clone() {
                self.send_update(runner, gateway, Report::default());
            }
        }
    }

    /// Sends heartbeats while the instance is cold, and one afterwards.
    pub(super) fn send_heartbeat(&mut self, runner: usize) {
        let now = self.now();
        let instance = fleet::instance(&self.deployment, runner);
        let state = &mut self.runners[runner];
        state.heartbeat_count += 1;
        let left_us = state.cold_until_us.saturating_sub(self.now_us);
        let heartbeat = Heartbeat {
            instance,
            sequence: state.heartbeat_count,
            cold_left_ms: left_us / 1_000,
        };
        state.runs.heartbeat_received(now, &heartbeat);
        self.send_outcomes(runner);
        for gateway in self.runners[runner].owners.clone() {
            self.send_update(runner, gateway, Report::default());
        }
        if left_us > 0 {
            self.at(self.now_us + HEARTBEAT_US, Event::Heartbeat(runner));
        }
    }

    /// Records a start at the instance.
    pub(super) fn note_start(&mut self, runner: usize) {
        let state = &self.runners[runner];
        let capacity = fleet::capacity(&self.deployment, runner).cpu_milli as f64;
        let plans = self.load.evacuations.iter();
        let cold_ms = plans.map(|plan| plan.cold_ms).max().unwrap_or(0).max(1);
        let left_us = state.cold_until_us.saturating_sub(self.now_us);
        self.result.starts.push(Start {
            at_us: self.now_us - load::START_US,
            runner,
            used_share: state.runs.used().cpu_milli as f64 / capacity,
            cold_share: left_us as f64 / (cold_ms as f64 * 1_000.0),
        });
    }

    /// Ratio of a task's duration at the instance now to that at a warm one.
    pub(super) fn cold_factor(&self, runner: usize) -> f64 {
        match self.now_us < self.runners[runner].cold_until_us {
            true => COLD_FACTOR,
            false => 1.0,
        }
    }
}
