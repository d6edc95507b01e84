//! A set of endpoints with constant-time insertion, removal and random choice.

use rand::RngExt;
use rand_pcg::Pcg64;

use crate::fleet::EndpointKey;

/// Position of an endpoint that is not in the set.
const ABSENT: u32 = u32::MAX;

/// A set of endpoints, stored in a dense array with an index of positions.
#[derive(Debug, Default)]
pub struct EndpointSet {
    keys: Vec<EndpointKey>,
    positions: Vec<u32>,
}

impl EndpointSet {
    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Number of endpoints in the set.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Inserts the endpoint, or removes it when `present` is `false`.
    pub fn set(&mut self, key: EndpointKey, present: bool) {
        match present {
            true => self.insert(key),
            false => self.remove(key),
        }
    }

    fn insert(&mut self, key: EndpointKey) {
        if self.positions.len() <= key.index() {
            self.positions.resize(key.index() + 1, ABSENT);
        }
        if self.positions[key.index()] == ABSENT {
            self.positions[key.index()] = self.keys.len() as u32;
            self.keys.push(key);
        }
    }

    fn remove(&mut self, key: EndpointKey) {
        let position = self.positions.get(key.index()).copied().unwrap_or(ABSENT);
        if position == ABSENT {
            return;
        }
        self.positions[key.index()] = ABSENT;
        self.keys.swap_remove(position as usize);
        if let Some(moved) = self.keys.get(position as usize) {
            self.positions[moved.index()] = position;
        }
    }

    /// A random endpoint of the set; `None` when it is empty.
    pub fn random(&self, rng: &mut Pcg64) -> Option<EndpointKey> {
        match self.keys.len() {
            0 => None,
            1 => self.keys.first().copied(),
            len => self.keys.get(rng.random_range(0..len)).copied(),
        }
    }

    /// Iterates over the endpoints in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.keys.iter().copied()
    }
}
