//! The baseline to beat: the endpoint with the fewest starts of this entry.

use rand_pcg::Pcg64;

use super::{Ask, Placement, SwapList, draw, row};
use crate::fleet::{Endpoint, EndpointKey, Fleet};
use crate::queue::ServiceKey;

#[derive(Debug, Default)]
struct Ready {
    by_load: Vec<SwapList>,
    load_of: Vec<Option<u16>>,
}

impl Ready {
    fn place(&mut self, key: EndpointKey, load: Option<u16>) {
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
                self.by_load.resize_with(index + 1, SwapList::default);
            }
            self.by_load[index].set(key, true);
        }
    }
}

/// Chooses the endpoint with the fewest starts of this entry, of those with a slot left as far
/// as this entry can tell.
#[derive(Debug, Default)]
pub struct LeastInFlight {
    services: Vec<Ready>,
}

impl Placement for LeastInFlight {
    fn update(&mut self, key: EndpointKey, endpoint: &Endpoint) {
        let free = endpoint.is_open() && endpoint.in_flight < endpoint.announcement.slots;
        let load = free.then_some(endpoint.in_flight);
        row(&mut self.services, endpoint.service).place(key, load);
    }

    fn remove(&mut self, key: EndpointKey, service: ServiceKey) {
        row(&mut self.services, service).place(key, None);
    }

    fn pick(&self, ask: &Ask<'_>, fleet: &Fleet, rng: &mut Pcg64) -> Option<EndpointKey> {
        let ready = self.services.get(ask.service.0 as usize)?;
        let cost = |endpoint: &Endpoint| (ask.on_rack(endpoint.rack), !endpoint.is_local);
        let lists = ready.by_load.iter().filter(|list| !list.is_empty());
        lists
            .into_iter()
            .find_map(|list| draw(list, ask, fleet, rng, cost))
    }

    fn has_room(&self, service: ServiceKey) -> bool {
        self.services
            .get(service.0 as usize)
            .is_some_and(|ready| ready.by_load.iter().any(|list| !list.is_empty()))
    }

    fn asks_for_slots(&self) -> bool {
        false
    }
}
