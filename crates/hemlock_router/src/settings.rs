//! Settings of the decisions.

use hemlock_types::prelude::*;

/// How the router decides; [`RouterSettings::new`] suits the deployments of the guide.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// This entry.
    pub entry: Incarnation,
    /// Its failure domain; endpoints there are preferred when that costs no queueing.
    pub domain: FailureDomainName,
    /// Seed of the router's generator.
    pub seed: u64,
    /// Most tasks that may wait in this entry, over all contracts.
    pub max_queued: u32,
    /// Most gate refusals of one task before it is given up.
    pub max_placements: u8,
    /// Largest share of a service's endpoints that may be ejected at once, in percent.
    pub max_ejected_percent: u8,
    /// Most agents that one claim may name.
    pub plan_agents: usize,
}

impl RouterSettings {
    /// Settings for an entry in a failure domain.
    pub fn new(entry: Incarnation, domain: FailureDomainName, seed: u64) -> Self {
        Self {
            entry,
            domain,
            seed,
            max_queued: 50_000,
            max_placements: 64,
            max_ejected_percent: 30,
            plan_agents: 48,
        }
    }

    /// Sets the most tasks that may wait.
    #[must_use]
    pub fn with_max_queued(mut self, tasks: u32) -> Self {
        self.max_queued = tasks;
        self
    }

    /// Sets the most agents that one claim may name.
    #[must_use]
    pub fn with_plan_agents(mut self, agents: usize) -> Self {
        self.plan_agents = agents;
        self
    }
}
