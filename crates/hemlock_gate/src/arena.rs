//! An arena of values under small `Copy` keys that are never valid twice.

/// Names one value of one arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    index: u32,
    generation: u32,
}

/// Values under keys. A removed value's place is used again under a new generation.
#[derive(Debug)]
pub(crate) struct Arena<T> {
    places: Vec<Place<T>>,
    vacant: Vec<u32>,
}

#[derive(Debug)]
struct Place<T> {
    generation: u32,
    value: Option<T>,
}

impl<T> Arena<T> {
    /// An empty arena.
    pub(crate) fn new() -> Self {
        Self {
            places: Vec::new(),
            vacant: Vec::new(),
        }
    }

    /// Number of values held.
    pub(crate) fn len(&self) -> usize {
        self.places.len() - self.vacant.len()
    }

    /// Keeps a value and names it.
    pub(crate) fn insert(&mut self, value: T) -> Key {
        let index = match self.vacant.pop() {
            Some(index) => index,
            None => {
                self.places.push(Place {
                    generation: 0,
                    value: None,
                });
                u32::try_from(self.places.len() - 1).unwrap_or(u32::MAX)
            }
        };
        let place = &mut self.places[index as usize];
        place.value = Some(value);
        Key {
            index,
            generation: place.generation,
        }
    }

    /// The value under `key`, if it is still held.
    pub(crate) fn get(&self, key: Key) -> Option<&T> {
        self.places
            .get(key.index as usize)
            .filter(|place| place.generation == key.generation)
            .and_then(|place| place.value.as_ref())
    }

    /// The value under `key`, if it is still held.
    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.places
            .get_mut(key.index as usize)
            .filter(|place| place.generation == key.generation)
            .and_then(|place| place.value.as_mut())
    }

    /// Takes the value under `key` out; the key is never valid again.
    pub(crate) fn remove(&mut self, key: Key) -> Option<T> {
        let place = self
            .places
            .get_mut(key.index as usize)
            .filter(|place| place.generation == key.generation)?;
        let value = place.value.take()?;
        place.generation = place.generation.wrapping_add(1);
        self.vacant.push(key.index);
        Some(value)
    }
}
