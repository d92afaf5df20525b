//! A generational arena: values in reusable slots, addressed by small `Copy` keys.
//!
//! Reusing a slot raises its generation, which invalidates all earlier keys, so
//! a late event can never reach the wrong value.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::marker::PhantomData;

/// A key of an [`Arena`]: a slot index and the generation of the slot.
pub struct Key<T> {
    index: u32,
    generation: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    /// Encodes the key as one number, for a message.
    pub const fn to_bits(self) -> u64 {
        ((self.generation as u64) << 32) | self.index as u64
    }

    /// Decodes a key from a number made by [`Key::to_bits`].
    pub const fn from_bits(bits: u64) -> Self {
        Self { index: bits as u32, generation: (bits >> 32) as u32, kind: PhantomData }
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
        self.to_bits() == other.to_bits()
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
        self.to_bits().cmp(&other.to_bits())
    }
}

impl<T> Hash for Key<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.to_bits().hash(state);
    }
}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "#{}.{}", self.index, self.generation)
    }
}

#[derive(Debug, Clone)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// A collection of values of one type with stable keys.
#[derive(Debug, Clone)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Arena<T> {
    /// Creates an empty arena.
    pub fn new() -> Self {
        Self::default()
    }

    /// Inserts a value and returns its key.
    pub fn insert(&mut self, value: T) -> Key<T> {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, value: None });
            (self.slots.len() - 1) as u32
        });
        let slot = &mut self.slots[index as usize];
        slot.value = Some(value);
        Key { index, generation: slot.generation, kind: PhantomData }
    }

    /// Removes and returns a value; `None` when the key is stale.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// Returns a value; `None` when the key is stale.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        if slot.generation == key.generation { slot.value.as_ref() } else { None }
    }

    /// Returns a mutable reference to a value; `None` when the key is stale.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation == key.generation { slot.value.as_mut() } else { None }
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether the arena holds no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Iterates over all keys and values, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = Key { index: index as u32, generation: slot.generation, kind: PhantomData };
            slot.value.as_ref().map(|value| (key, value))
        })
    }

    /// Iterates over all keys and mutable references to values, in slot order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key<T>, &mut T)> {
        self.slots.iter_mut().enumerate().filter_map(|(index, slot)| {
            let key = Key { index: index as u32, generation: slot.generation, kind: PhantomData };
            slot.value.as_mut().map(|value| (key, value))
        })
    }
}
