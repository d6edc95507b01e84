//! Generational arena: values with small `Copy` keys that are not reused.

/// Key of one value in an arena.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    index: u32,
    generation: u32,
}

/// Values by key. The slot of a removed value is reused with a new generation, so that the old key
/// stays invalid.
#[derive(Debug)]
pub(crate) struct Arena<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

#[derive(Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

impl<T> Arena<T> {
    /// Returns an empty arena.
    pub(crate) fn new() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Returns the number of values.
    pub(crate) fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Adds a value and returns its key.
    pub(crate) fn insert(&mut self, value: T) -> Key {
        let index = match self.free.pop() {
            Some(index) => index,
            None => {
                self.slots.push(Slot {
                    generation: 0,
                    value: None,
                });
                u32::try_from(self.slots.len() - 1).unwrap_or(u32::MAX)
            }
        };
        let slot = &mut self.slots[index as usize];
        slot.value = Some(value);
        Key {
            index,
            generation: slot.generation,
        }
    }

    /// Returns the value of `key`, unless it was removed.
    pub(crate) fn get(&self, key: Key) -> Option<&T> {
        self.slots
            .get(key.index as usize)
            .filter(|slot| slot.generation == key.generation)
            .and_then(|slot| slot.value.as_ref())
    }

    /// Returns the value of `key` for modification, unless it was removed.
    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.slots
            .get_mut(key.index as usize)
            .filter(|slot| slot.generation == key.generation)
            .and_then(|slot| slot.value.as_mut())
    }

    /// Removes and returns the value of `key`. The key becomes invalid.
    pub(crate) fn remove(&mut self, key: Key) -> Option<T> {
        let slot = self
            .slots
            .get_mut(key.index as usize)
            .filter(|slot| slot.generation == key.generation)?;
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }
}
