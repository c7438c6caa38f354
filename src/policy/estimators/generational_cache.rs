//! A map bounded in size that forgets entries not used lately (generational cache).

use std::collections::HashMap;

/// A map in two generations of at most `MAX_ENTRIES` each. A used entry moves to the young generation. When
/// that is full, or `MAX_AGE` microseconds old, it becomes the old generation and the former old one is
/// dropped. So an entry used within `MAX_AGE` is kept unless more than `MAX_ENTRIES` others were used since.
#[derive(Debug, Default)]
pub struct GenerationalCache<T, const MAX_ENTRIES: usize, const MAX_AGE: u64> {
    young: HashMap<u64, T>,
    old: HashMap<u64, T>,
    rotated_at: u64,
}

impl<T: Default, const MAX_ENTRIES: usize, const MAX_AGE: u64> GenerationalCache<T, MAX_ENTRIES, MAX_AGE> {
    /// The entry as it was, or a default one.
    pub fn entry(&mut self, key: u64, now: u64) -> &mut T {
        if self.young.len() >= MAX_ENTRIES || now.saturating_sub(self.rotated_at) > MAX_AGE {
            self.old = std::mem::take(&mut self.young);
            self.rotated_at = now;
        }
        let GenerationalCache { young, old, .. } = self;
        young.entry(key).or_insert_with(|| old.remove(&key).unwrap_or_default())
    }

    /// The number of entries in both generations.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
