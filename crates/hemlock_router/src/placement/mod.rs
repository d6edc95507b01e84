//! Placement policies, which choose the endpoint for a task.

mod credits;
mod endpoint_set;
mod least_in_flight;
mod random;

use hemlock_types::prelude::*;
use quick_error::quick_error;
use rand_pcg::Pcg64;

pub use credits::Credits;
pub use endpoint_set::EndpointSet;
pub use least_in_flight::LeastInFlight;
pub use random::Random;

use crate::fleet::{Endpoint, EndpointKey, Fleet, RackKey};
use crate::queue::ServiceKey;

/// Request for an endpoint for one task.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service that the task calls.
    pub service: ServiceKey,
    /// The endpoints that the task may go to, sorted; `None` allows all.
    pub plan: Option<&'a [EndpointKey]>,
    /// An endpoint that the task must not go to.
    pub avoid: Option<EndpointKey>,
    /// Cores that the task needs.
    pub cores: u32,
    /// Memory that the task needs, in megabytes.
    pub memory_mb: u64,
    /// Number of starts of the same job on each rack; empty for a single request.
    pub starts_by_rack: &'a [u16],
}

impl PlacementRequest<'_> {
    /// Whether the task may go to the endpoint.
    pub fn allows(&self, key: EndpointKey, endpoint: &Endpoint) -> bool {
        let in_plan = self
            .plan
            .is_none_or(|plan| plan.binary_search(&key).is_ok());
        in_plan && self.avoid != Some(key) && endpoint.fits(self.cores, self.memory_mb)
    }

    /// Whether the request may exclude endpoints of its service.
    pub fn is_restricted(&self) -> bool {
        let has_size = self.cores > 0 || self.memory_mb > 0;
        self.plan.is_some() || self.avoid.is_some() || has_size
    }

    /// Number of starts of the same job on the rack.
    pub fn starts_on_rack(&self, rack: RackKey) -> u16 {
        self.starts_by_rack
            .get(rack.0 as usize)
            .copied()
            .unwrap_or(0)
    }
}

/// A policy that chooses endpoints. It maintains its own index of those that can take a task.
pub trait Placement: Send {
    /// Updates the index after any change to an endpoint.
    fn update(&mut self, key: EndpointKey, endpoint: &Endpoint);

    /// Removes an endpoint from the index.
    fn remove(&mut self, key: EndpointKey, service: ServiceKey);

    /// Chooses the endpoint for a task; `None` when the task has to wait.
    fn pick(
        &self,
        request: &PlacementRequest<'_>,
        fleet: &Fleet,
        rng: &mut Pcg64,
    ) -> Option<EndpointKey>;

    /// Whether any endpoint of the service can take a task now.
    fn has_room(&self, service: ServiceKey) -> bool;

    /// Whether the router has to request slots from agents for waiting tasks.
    fn requests_slots(&self) -> bool;
}

quick_error! {
    /// The name of a placement policy is unknown.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum UnknownPolicy {
        /// No policy has this name.
        Unknown(name: String) {
            display("unknown policy {name:?}, expected one of credits, least-in-flight, random")
        }
    }
}

/// Names of all placement policies.
pub const POLICIES: [&str; 3] = ["credits", "least-in-flight", "random"];

/// Creates the placement policy with the given name.
///
/// # Errors
///
/// When no policy has the name.
pub fn placement_named(name: &str) -> Result<Box<dyn Placement>, UnknownPolicy> {
    match name {
        "credits" => Ok(Box::new(Credits::default())),
        "least-in-flight" => Ok(Box::new(LeastInFlight::default())),
        "random" => Ok(Box::new(Random::default())),
        other => Err(UnknownPolicy::Unknown(other.to_owned())),
    }
}

/// A service's entry in a table indexed by service; grows the table on demand.
fn service_entry<T: Default>(table: &mut Vec<T>, service: ServiceKey) -> &mut T {
    let index = service.0 as usize;
    if table.len() <= index {
        table.resize_with(index + 1, T::default);
    }
    &mut table[index]
}

/// Number of random candidates that a policy compares.
const SAMPLE_SIZE: usize = 3;

/// Chooses the allowed endpoint of lowest `cost` among a few random candidates. When none of them
/// is allowed and the request is restricted, chooses the first allowed candidate.
fn best_of_sample<C: Ord>(
    candidates: &EndpointSet,
    request: &PlacementRequest<'_>,
    fleet: &Fleet,
    rng: &mut Pcg64,
    cost: impl Fn(&Endpoint) -> C,
) -> Option<EndpointKey> {
    let allowed = |key: EndpointKey| {
        let endpoint = fleet.get(key)?;
        request.allows(key, endpoint).then(|| (cost(endpoint), key))
    };
    let sampled = (0..SAMPLE_SIZE)
        .filter_map(|_| candidates.random(rng))
        .filter_map(allowed);
    let best = sampled.min_by(|left, right| left.0.cmp(&right.0));
    let found = best.or_else(|| match request.is_restricted() {
        true => candidates.iter().find_map(allowed),
        false => None,
    });
    found.map(|(_, key)| key)
}

/// Name of the default placement policy.
pub const DEFAULT_POLICY: &str = POLICIES[0];

/// Checks that a placement policy has the given name.
///
/// # Errors
///
/// When no policy has the name.
pub fn check_policy(name: &str) -> Result<(), UnknownPolicy> {
    placement_named(name).map(|_| ())
}

/// The agents of a plan's endpoints, by which the ledger identifies them.
pub fn plan_agents(plan: &[EndpointKey], fleet: &Fleet) -> Vec<Incarnation> {
    let agent = |key: &EndpointKey| fleet.get(*key).map(|endpoint| endpoint.announcement.agent);
    plan.iter().filter_map(agent).collect()
}
