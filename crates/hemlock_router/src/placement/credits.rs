//! Late binding: a task is sent to an endpoint only after its agent has granted a slot.

use std::cmp::Reverse;

use rand_pcg::Pcg64;

use super::{EndpointSet, Placement, PlacementRequest, best_of_sample, service_entry};
use crate::fleet::{Endpoint, EndpointKey, Fleet};
use crate::queue::ServiceKey;

#[derive(Debug, Default)]
struct ReadyEndpoints {
    local: EndpointSet,
    remote: EndpointSet,
}

/// Chooses among the endpoints whose agents have granted this entry a slot. Prefers its own
/// failure domain, then the rack with the fewest starts of the job, then the endpoint with the
/// most granted slots.
#[derive(Debug, Default)]
pub struct Credits {
    services: Vec<ReadyEndpoints>,
}

impl Placement for Credits {
    fn update(&mut self, key: EndpointKey, endpoint: &Endpoint) {
        let ready = service_entry(&mut self.services, endpoint.service);
        let present = endpoint.is_open() && endpoint.credits > 0;
        ready.local.set(key, present && endpoint.is_local);
        ready.remote.set(key, present && !endpoint.is_local);
    }

    fn remove(&mut self, key: EndpointKey, service: ServiceKey) {
        let ready = service_entry(&mut self.services, service);
        ready.local.set(key, false);
        ready.remote.set(key, false);
    }

    fn pick(
        &self,
        request: &PlacementRequest<'_>,
        fleet: &Fleet,
        rng: &mut Pcg64,
    ) -> Option<EndpointKey> {
        let ready = self.services.get(request.service.0 as usize)?;
        let cost = |endpoint: &Endpoint| {
            (
                request.starts_on_rack(endpoint.rack),
                Reverse(endpoint.credits),
            )
        };
        best_of_sample(&ready.local, request, fleet, rng, cost)
            .or_else(|| best_of_sample(&ready.remote, request, fleet, rng, cost))
    }

    fn has_room(&self, service: ServiceKey) -> bool {
        self.services
            .get(service.0 as usize)
            .is_some_and(|ready| !ready.local.is_empty() || !ready.remote.is_empty())
    }

    fn requests_slots(&self) -> bool {
        true
    }
}
