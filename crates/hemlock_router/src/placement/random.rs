//! The naive rule: any endpoint.

use rand_pcg::Pcg64;

use super::{Ask, Placement, SwapList, row};
use crate::fleet::{Endpoint, EndpointKey, Fleet};
use crate::queue::ServiceKey;

/// Chooses any endpoint that takes new work, whatever it has to do already.
#[derive(Debug, Default)]
pub struct Random {
    services: Vec<SwapList>,
}

impl Placement for Random {
    fn update(&mut self, key: EndpointKey, endpoint: &Endpoint) {
        row(&mut self.services, endpoint.service).set(key, endpoint.is_open());
    }

    fn remove(&mut self, key: EndpointKey, service: ServiceKey) {
        row(&mut self.services, service).set(key, false);
    }

    fn pick(&self, ask: &Ask<'_>, fleet: &Fleet, rng: &mut Pcg64) -> Option<EndpointKey> {
        let list = self.services.get(ask.service.0 as usize)?;
        let allowed = |key: &EndpointKey| {
            let endpoint = fleet.get(*key);
            endpoint.is_some_and(|endpoint| ask.allows(*key, endpoint))
        };
        let drawn = list.random(rng).filter(allowed);
        drawn.or_else(|| match ask.is_narrow() {
            true => list.iter().find(allowed),
            false => None,
        })
    }

    fn has_room(&self, service: ServiceKey) -> bool {
        self.services
            .get(service.0 as usize)
            .is_some_and(|list| !list.is_empty())
    }

    fn asks_for_slots(&self) -> bool {
        false
    }
}
