//! Periodic update of what placement needs to know about the instances as a whole: their relative
//! pace, and which of them are scarce.

use std::collections::BTreeMap;

use hemlock_jobs::prelude::*;
use hemlock_types::time::DurationMs;

use super::Dispatcher;
use crate::instance::Agent;
use crate::pace::Paces;

/// Time between two updates. Runners report any change after 50 ms at the latest.
const UPDATE_PERIOD: DurationMs = DurationMs::new(50);
/// Relative pace below which an instance counts as fast.
const FAST_PACE: f64 = 0.95;
/// Share of the capacity of the fast instances that is free below which they are scarce.
const SCARCE_FREE_SHARE: f64 = 0.15;
/// Ratio of the demand for a rack to the CPU that this dispatcher may count on there above which
/// the rack is in demand: several times the demand of jobs that are spread evenly over the racks.
const DEMAND_SHARE: f64 = 0.4;

impl Dispatcher {
    /// Adds the work of a new job to the demand for the racks that its tasks prefer.
    pub(super) fn note_rack_demand(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        for step in &job.steps {
            if let Some(rack) = &step.spec.preferred_rack {
                let work = crate::job::step_work(&step.spec, step.waiting.len());
                self.rack_demand.add(self.now, rack, work);
            }
        }
    }

    /// Updates the relative pace and the scarcity of all instances if that is due.
    pub(super) fn update_scarcity(&mut self) {
        if self.now < self.next_scarcity_update {
            return;
        }
        self.next_scarcity_update = self.now + UPDATE_PERIOD;
        self.update_paces();
        self.rack_demand.decay(self.now);
        let fast_are_scarce = self.fast_are_scarce();
        let racks_in_demand = self.racks_in_demand();
        self.steers = fast_are_scarce || !racks_in_demand.is_empty();
        for agent in self.agents.values_mut() {
            agent.is_scarce_for_speed = fast_are_scarce && agent.pace < FAST_PACE;
            agent.rack_in_demand = racks_in_demand.iter().any(|rack| agent.has_label(rack));
        }
    }

    fn update_paces(&mut self) {
        let mut by_service: BTreeMap<&str, Paces> = BTreeMap::new();
        for agent in self.agents.values() {
            if let (Some(instance), Some(load)) = (&agent.instance, &agent.load) {
                let paces = by_service.entry(&instance.service).or_default();
                paces.add(load.pace_percent);
            }
        }
        let relative = |agent: &Agent| {
            let (instance, load) = (agent.instance.as_ref()?, agent.load.as_ref()?);
            let paces = by_service.get(instance.service.as_str())?;
            Some(paces.relative(load.pace_percent))
        };
        let paces: Vec<f64> = self
            .agents
            .values()
            .map(|agent| relative(agent).unwrap_or(1.0))
            .collect();
        for (agent, pace) in self.agents.values_mut().zip(paces) {
            agent.pace = pace;
        }
    }

    /// Whether little capacity is free at the fast instances.
    fn fast_are_scarce(&self) -> bool {
        let mut capacity = 0;
        let mut free = 0;
        for agent in self.agents.values() {
            if agent.pace < FAST_PACE && agent.accepts_work() {
                capacity += agent.instance.as_ref().map_or(0, |i| i.capacity.cpu_milli);
                free += agent.free().cpu_milli;
            }
        }
        (free as f64) < capacity as f64 * SCARCE_FREE_SHARE
    }

    fn racks_in_demand(&self) -> Vec<String> {
        let share = |agent: &Agent| agent.load.map_or(0, |load| load.share_cpu_milli);
        let is_in_demand = |rack: &str, cpu_milli: f64| {
            let agents = self.agents.values().filter(|agent| agent.accepts_work());
            let on_rack = agents.filter(|agent| agent.has_label(rack));
            cpu_milli > on_rack.map(share).sum::<u64>() as f64 * DEMAND_SHARE
        };
        self.rack_demand
            .racks()
            .filter(|(rack, cpu_milli)| is_in_demand(rack, *cpu_milli))
            .map(|(rack, _)| rack.to_owned())
            .collect()
    }
}
