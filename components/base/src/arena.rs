//! Values in slots, reached by small keys that can be copied.
//!
//! A slot is used again, and its key's generation tells an old key from a new
//! one, so a late event can never reach the wrong value.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::marker::PhantomData;

/// A key of an [`Arena`].
pub struct Key<T> {
    index: u32,
    generation: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Key<T> {
    /// The key as one number, for a message.
    pub const fn to_bits(self) -> u64 {
        ((self.generation as u64) << 32) | self.index as u64
    }

    /// The key from such a number.
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

/// Slots that hold values of one type.
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
    /// Makes an empty arena.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a value in and returns its key.
    pub fn insert(&mut self, value: T) -> Key<T> {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, value: None });
            (self.slots.len() - 1) as u32
        });
        let slot = &mut self.slots[index as usize];
        slot.value = Some(value);
        Key { index, generation: slot.generation, kind: PhantomData }
    }

    /// Takes a value out; `None` when the key is old.
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

    /// Looks a value up; `None` when the key is old.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        if slot.generation == key.generation { slot.value.as_ref() } else { None }
    }

    /// Looks a value up for change; `None` when the key is old.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation == key.generation { slot.value.as_mut() } else { None }
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether no value is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All keys and values, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = Key { index: index as u32, generation: slot.generation, kind: PhantomData };
            slot.value.as_ref().map(|value| (key, value))
        })
    }

    /// All keys and values, for change, in slot order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (Key<T>, &mut T)> {
        self.slots.iter_mut().enumerate().filter_map(|(index, slot)| {
            let key = Key { index: index as u32, generation: slot.generation, kind: PhantomData };
            slot.value.as_mut().map(|value| (key, value))
        })
    }
}
