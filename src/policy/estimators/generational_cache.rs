//! A generational cache: a map of bounded size that drops entries which were not used recently.

use std::collections::HashMap;

/// A map with two generations of at most `MAX_ENTRIES` entries each. An access moves the entry to the young
/// generation. When the young generation is full or `MAX_AGE` microseconds old, it replaces the old
/// generation, whose entries are dropped. An entry used within `MAX_AGE` is therefore kept unless more than
/// `MAX_ENTRIES` others were used since.
#[derive(Debug, Default)]
pub struct GenerationalCache<T, const MAX_ENTRIES: usize, const MAX_AGE: u64> {
    young: HashMap<u64, T>,
    old: HashMap<u64, T>,
    rotated_at: u64,
}

impl<T: Default, const MAX_ENTRIES: usize, const MAX_AGE: u64> GenerationalCache<T, MAX_ENTRIES, MAX_AGE> {
    /// Returns the entry, which it moves to the young generation. A missing entry is created by default.
    pub fn entry(&mut self, key: u64, now: u64) -> &mut T {
        if self.young.len() >= MAX_ENTRIES || now.saturating_sub(self.rotated_at) > MAX_AGE {
            std::mem::swap(&mut self.young, &mut self.old);
            self.young.clear(); // its memory is used again
            self.rotated_at = now;
        }
        let GenerationalCache { young, old, .. } = self;
        young.entry(key).or_insert_with(|| old.remove(&key).unwrap_or_default())
    }

    /// Returns the number of entries in both generations.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether both generations are empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
