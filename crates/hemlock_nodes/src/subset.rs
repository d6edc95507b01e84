//! The choice of the runners that a gateway follows.
//!
//! In a large fleet, connections and load reports between every gateway and every runner would cost
//! more than the work itself. Each gateway therefore follows a bounded subset. The subsets of
//! different gateways overlap, so that they balance the load of the whole fleet among each other.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use hemlock_jobs::prelude::AgentId;

/// Chooses at most `limit` of the runners for a gateway.
///
/// Rendezvous hashing is used: each runner is in as many subsets as any other on average, and a
/// runner that joins or leaves changes only one place in the subsets that it belongs to.
pub fn choose_subset(gateway: u64, agents: &BTreeSet<AgentId>, limit: usize) -> BTreeSet<AgentId> {
    if agents.len() <= limit {
        return agents.clone();
    }
    let mut ranked: Vec<(u64, AgentId)> = agents
        .iter()
        .map(|agent| (rank(gateway, *agent), *agent))
        .collect();
    ranked.select_nth_unstable(limit);
    ranked.truncate(limit);
    ranked.into_iter().map(|(_, agent)| agent).collect()
}

fn rank(gateway: u64, agent: AgentId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (gateway, agent).hash(&mut hasher);
    hasher.finish()
}
