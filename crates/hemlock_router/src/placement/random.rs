//! Simplest policy: a random endpoint.

use rand_pcg::Pcg64;

use super::{EndpointSet, Placement, PlacementRequest, service_entry};
use crate::fleet::{Endpoint, EndpointKey, Fleet};
use crate::queue::ServiceKey;

/// Chooses a random endpoint that accepts new work, whatever its load.
#[derive(Debug, Default)]
pub struct Random {
    services: Vec<EndpointSet>,
}

impl Placement for Random {
    fn update(&mut self, key: EndpointKey, endpoint: &Endpoint) {
        service_entry(&mut self.services, endpoint.service).set(key, endpoint.is_open());
    }

    fn remove(&mut self, key: EndpointKey, service: ServiceKey) {
        service_entry(&mut self.services, service).set(key, false);
    }

    fn pick(
        &self,
        request: &PlacementRequest<'_>,
        fleet: &Fleet,
        rng: &mut Pcg64,
    ) -> Option<EndpointKey> {
        let candidates = self.services.get(request.service.0 as usize)?;
        let allowed = |key: &EndpointKey| {
            let endpoint = fleet.get(*key);
            endpoint.is_some_and(|endpoint| request.allows(*key, endpoint))
        };
        let sampled = candidates.random(rng).filter(allowed);
        sampled.or_else(|| match request.is_restricted() {
            true => candidates.iter().find(allowed),
            false => None,
        })
    }

    fn has_room(&self, service: ServiceKey) -> bool {
        self.services
            .get(service.0 as usize)
            .is_some_and(|candidates| !candidates.is_empty())
    }

    fn requests_slots(&self) -> bool {
        false
    }
}
