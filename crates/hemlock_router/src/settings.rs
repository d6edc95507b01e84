//! Settings of the router.

use hemlock_types::prelude::*;

/// Settings of the router. [`RouterSettings::new`] suits the deployments that the guide
/// describes.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Identity of this entry.
    pub entry: Incarnation,
    /// The entry's failure domain; endpoints there are preferred when that costs no queueing.
    pub domain: FailureDomainName,
    /// Seed of the router's random number generator.
    pub seed: u64,
    /// Maximum number of tasks that may wait in this entry, over all contracts.
    pub max_queued: u32,
    /// Number of starts of one task that gates may refuse before it is given up.
    pub max_placements: u8,
    /// Maximum share of a service's endpoints that may be ejected at once, in percent. At
    /// least one may be ejected when the service has several.
    pub max_ejected_percent: u8,
    /// Maximum number of agents that one claim may name, unless the job has more tasks.
    pub max_plan_agents: usize,
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
            max_plan_agents: 48,
        }
    }

    /// Sets the maximum number of tasks that may wait.
    #[must_use]
    pub fn with_max_queued(mut self, tasks: u32) -> Self {
        self.max_queued = tasks;
        self
    }

    /// Sets the maximum number of agents that one claim may name.
    #[must_use]
    pub fn with_max_plan_agents(mut self, agents: usize) -> Self {
        self.max_plan_agents = agents;
        self
    }
}
