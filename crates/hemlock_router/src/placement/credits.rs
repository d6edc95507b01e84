//! Late binding: a task is bound to an endpoint only when the endpoint has promised a slot.

use std::cmp::Reverse;

use rand_pcg::Pcg64;

use super::{Ask, Placement, SwapList, draw, row};
use crate::fleet::{Endpoint, EndpointKey, Fleet};
use crate::queue::ServiceKey;

#[derive(Debug, Default)]
struct Ready {
    is_local: SwapList,
    far: SwapList,
}

/// Chooses among the endpoints whose agents have granted this entry a slot: in its own failure
/// domain first, on the rack that the job uses least, then where most slots are granted.
#[derive(Debug, Default)]
pub struct Credits {
    services: Vec<Ready>,
}

impl Placement for Credits {
    fn update(&mut self, key: EndpointKey, endpoint: &Endpoint) {
        let ready = row(&mut self.services, endpoint.service);
        let present = endpoint.is_open() && endpoint.credits > 0;
        ready.is_local.set(key, present && endpoint.is_local);
        ready.far.set(key, present && !endpoint.is_local);
    }

    fn remove(&mut self, key: EndpointKey, service: ServiceKey) {
        let ready = row(&mut self.services, service);
        ready.is_local.set(key, false);
        ready.far.set(key, false);
    }

    fn pick(&self, ask: &Ask<'_>, fleet: &Fleet, rng: &mut Pcg64) -> Option<EndpointKey> {
        let ready = self.services.get(ask.service.0 as usize)?;
        let cost = |endpoint: &Endpoint| (ask.on_rack(endpoint.rack), Reverse(endpoint.credits));
        draw(&ready.is_local, ask, fleet, rng, cost)
            .or_else(|| draw(&ready.far, ask, fleet, rng, cost))
    }

    fn has_room(&self, service: ServiceKey) -> bool {
        self.services
            .get(service.0 as usize)
            .is_some_and(|ready| !ready.is_local.is_empty() || !ready.far.is_empty())
    }

    fn asks_for_slots(&self) -> bool {
        true
    }
}
