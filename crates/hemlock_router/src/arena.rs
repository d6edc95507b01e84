//! A generational arena: values are addressed by small `Copy` keys, and the key of a removed value
//! never refers to a later value in the same slot.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::marker::PhantomData;

/// Identifies one value in an [`Arena`].
pub struct Key<T> {
    index: u32,
    generation: u32,
    marker: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    /// Index of the slot; no two stored values share it.
    pub fn index(self) -> usize {
        self.index as usize
    }
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.index, self.generation) == (other.index, other.generation)
    }
}

impl<T> Eq for Key<T> {}

impl<T> PartialOrd for Key<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Key<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.index, self.generation).cmp(&(other.index, other.generation))
    }
}

impl<T> Hash for Key<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.index, self.generation).hash(state);
    }
}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.index, self.generation)
    }
}

#[derive(Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Values in slots that are reused after removal.
#[derive(Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
    len: usize,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
            len: 0,
        }
    }
}

impl<T> Arena<T> {
    /// Stores a value.
    pub fn insert(&mut self, value: T) -> Key<T> {
        self.len += 1;
        let index = match self.free.pop() {
            Some(index) => index,
            None => self.grow(),
        };
        let slot = &mut self.slots[index as usize];
        slot.value = Some(value);
        Key {
            index,
            generation: slot.generation,
            marker: PhantomData,
        }
    }

    fn grow(&mut self) -> u32 {
        self.slots.push(Slot {
            generation: 0,
            value: None,
        });
        (self.slots.len() - 1) as u32
    }

    /// The value, unless it was removed.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index())?;
        match slot.generation == key.generation {
            true => slot.value.as_ref(),
            false => None,
        }
    }

    /// Mutable access to the value, unless it was removed.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index())?;
        match slot.generation == key.generation {
            true => slot.value.as_mut(),
            false => None,
        }
    }

    /// Removes and returns the value, unless it was removed before.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        self.len -= 1;
        Some(value)
    }

    /// The key of the value stored in the slot `index`, if any.
    pub fn key_at(&self, index: usize) -> Option<Key<T>> {
        let slot = self.slots.get(index)?;
        slot.value.as_ref()?;
        Some(Key {
            index: index as u32,
            generation: slot.generation,
            marker: PhantomData,
        })
    }

    /// Iterates over all keys and values.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = Key {
                index: index as u32,
                generation: slot.generation,
                marker: PhantomData,
            };
            slot.value.as_ref().map(|value| (key, value))
        })
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is no value.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
