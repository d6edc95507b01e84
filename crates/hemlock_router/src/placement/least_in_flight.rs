//! Baseline policy: the endpoint with the fewest starts in flight from this entry.

use rand_pcg::Pcg64;

use super::{EndpointSet, Placement, PlacementRequest, best_of_sample, service_entry};
use crate::fleet::{Endpoint, EndpointKey, Fleet};
use crate::queue::ServiceKey;

#[derive(Debug, Default)]
struct EndpointsByLoad {
    by_load: Vec<EndpointSet>,
    load_of: Vec<Option<u16>>,
}

impl EndpointsByLoad {
    fn set_load(&mut self, key: EndpointKey, load: Option<u16>) {
        if self.load_of.len() <= key.index() {
            self.load_of.resize(key.index() + 1, None);
        }
        let before = std::mem::replace(&mut self.load_of[key.index()], load);
        if before == load {
            return;
        }
        if let Some(before) = before {
            self.by_load[usize::from(before)].set(key, false);
        }
        if let Some(load) = load {
            let index = usize::from(load);
            if self.by_load.len() <= index {
                self.by_load.resize_with(index + 1, EndpointSet::default);
            }
            self.by_load[index].set(key, true);
        }
    }
}

/// Chooses the endpoint with the fewest starts in flight from this entry, among those with a free
/// slot. It doesn't know which slots other entries use.
#[derive(Debug, Default)]
pub struct LeastInFlight {
    services: Vec<EndpointsByLoad>,
}

impl Placement for LeastInFlight {
    fn update(&mut self, key: EndpointKey, endpoint: &Endpoint) {
        let free = endpoint.is_open() && endpoint.in_flight < endpoint.announcement.slots;
        let load = free.then_some(endpoint.in_flight);
        service_entry(&mut self.services, endpoint.service).set_load(key, load);
    }

    fn remove(&mut self, key: EndpointKey, service: ServiceKey) {
        service_entry(&mut self.services, service).set_load(key, None);
    }

    fn pick(
        &self,
        request: &PlacementRequest<'_>,
        fleet: &Fleet,
        rng: &mut Pcg64,
    ) -> Option<EndpointKey> {
        let endpoints = self.services.get(request.service.0 as usize)?;
        let cost =
            |endpoint: &Endpoint| (request.starts_on_rack(endpoint.rack), !endpoint.is_local);
        let non_empty = endpoints
            .by_load
            .iter()
            .filter(|candidates| !candidates.is_empty());
        non_empty
            .into_iter()
            .find_map(|candidates| best_of_sample(candidates, request, fleet, rng, cost))
    }

    fn has_room(&self, service: ServiceKey) -> bool {
        self.services
            .get(service.0 as usize)
            .is_some_and(|endpoints| {
                endpoints
                    .by_load
                    .iter()
                    .any(|candidates| !candidates.is_empty())
            })
    }

    fn requests_slots(&self) -> bool {
        false
    }
}
