//! Which endpoint a task goes to.

mod credits;
mod least_in_flight;
mod random;
mod swap_list;

use hemlock_types::prelude::*;
use quick_error::quick_error;
use rand_pcg::Pcg64;

pub use credits::Credits;
pub use least_in_flight::LeastInFlight;
pub use random::Random;
pub use swap_list::SwapList;

use crate::fleet::{Endpoint, EndpointKey, Fleet, RackKey};
use crate::queue::ServiceKey;

/// One question for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: ServiceKey,
    /// The only endpoints allowed, sorted; `None` allows every one.
    pub plan: Option<&'a [EndpointKey]>,
    /// An endpoint to keep away from.
    pub avoid: Option<EndpointKey>,
    /// Cores that the task needs.
    pub cores: u32,
    /// Memory that the task needs, in megabytes.
    pub memory_mb: u64,
    /// Starts of the same job by rack; empty for a single request.
    pub starts_by_rack: &'a [u16],
}

impl Ask<'_> {
    /// Whether the task may go to the endpoint.
    pub fn allows(&self, key: EndpointKey, endpoint: &Endpoint) -> bool {
        let planned = self
            .plan
            .is_none_or(|plan| plan.binary_search(&key).is_ok());
        planned && self.avoid != Some(key) && endpoint.fits(self.cores, self.memory_mb)
    }

    /// Whether the question allows fewer endpoints than its service has.
    pub fn is_narrow(&self) -> bool {
        let sized = self.cores > 0 || self.memory_mb > 0;
        self.plan.is_some() || self.avoid.is_some() || sized
    }

    /// Starts of the same job on the rack.
    pub fn on_rack(&self, rack: RackKey) -> u16 {
        self.starts_by_rack
            .get(rack.0 as usize)
            .copied()
            .unwrap_or(0)
    }
}

/// A rule that chooses endpoints. It keeps its own index of those that can take a task.
pub trait Placement: Send {
    /// Takes notice of an endpoint after any change to it.
    fn update(&mut self, key: EndpointKey, endpoint: &Endpoint);

    /// Forgets an endpoint.
    fn remove(&mut self, key: EndpointKey, service: ServiceKey);

    /// The endpoint for a task, or `None` when the task should wait.
    fn pick(&self, ask: &Ask<'_>, fleet: &Fleet, rng: &mut Pcg64) -> Option<EndpointKey>;

    /// Whether any endpoint of the service can take a task now.
    fn has_room(&self, service: ServiceKey) -> bool;

    /// Whether waiting tasks ask agents for slots.
    fn asks_for_slots(&self) -> bool;
}

quick_error! {
    /// A policy name that no rule has.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum UnknownPolicy {
        /// No rule has this name.
        Unknown(name: String) {
            display("unknown policy {name:?}, expected one of credits, least-in-flight, random")
        }
    }
}

/// Names of every rule.
pub const POLICIES: [&str; 3] = ["credits", "least-in-flight", "random"];

/// The rule of the given name.
///
/// # Errors
///
/// When no rule has the name.
pub fn placement_named(name: &str) -> Result<Box<dyn Placement>, UnknownPolicy> {
    match name {
        "credits" => Ok(Box::new(Credits::default())),
        "least-in-flight" => Ok(Box::new(LeastInFlight::default())),
        "random" => Ok(Box::new(Random::default())),
        other => Err(UnknownPolicy::Unknown(other.to_owned())),
    }
}

/// Entries of a table with one row per service, grown on demand.
fn row<T: Default>(rows: &mut Vec<T>, service: ServiceKey) -> &mut T {
    let index = service.0 as usize;
    if rows.len() <= index {
        rows.resize_with(index + 1, T::default);
    }
    &mut rows[index]
}

/// Draws that a rule makes before it looks at every candidate.
const DRAWS: usize = 3;

/// The best of a few random candidates by `cost`; when none of them is allowed, the first
/// allowed one.
fn draw<C: Ord>(
    list: &SwapList,
    ask: &Ask<'_>,
    fleet: &Fleet,
    rng: &mut Pcg64,
    cost: impl Fn(&Endpoint) -> C,
) -> Option<EndpointKey> {
    let allowed = |key: EndpointKey| {
        let endpoint = fleet.get(key)?;
        ask.allows(key, endpoint).then(|| (cost(endpoint), key))
    };
    let drawn = (0..DRAWS)
        .filter_map(|_| list.random(rng))
        .filter_map(allowed);
    let best = drawn.min_by(|left, right| left.0.cmp(&right.0));
    let found = best.or_else(|| match ask.is_narrow() {
        true => list.iter().find_map(allowed),
        false => None,
    });
    found.map(|(_, key)| key)
}

/// The name of the default rule.
pub const DEFAULT_POLICY: &str = POLICIES[0];

/// Checks a policy's name.
///
/// # Errors
///
/// When no rule has the name.
pub fn check_policy(name: &str) -> Result<(), UnknownPolicy> {
    placement_named(name).map(|_| ())
}

/// An incarnation's endpoints in a plan, for the ledger.
pub fn plan_agents(plan: &[EndpointKey], fleet: &Fleet) -> Vec<Incarnation> {
    let agent = |key: &EndpointKey| fleet.get(*key).map(|endpoint| endpoint.announcement.agent);
    plan.iter().filter_map(agent).collect()
}
