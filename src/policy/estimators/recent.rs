//! A map that forgets what was not met lately.

use std::collections::HashMap;

/// A map in two generations of at most `MOST` entries: what is asked for moves to the young one; when that is
/// full, or has lasted `SPAN` microseconds, it becomes the old one, and the one that was old is forgotten. So
/// nothing that was met within `SPAN` is lost unless more than `MOST` others were met since.
#[derive(Debug, Default)]
pub struct Recent<T, const MOST: usize, const SPAN: u64> {
    young: HashMap<u64, T>,
    old: HashMap<u64, T>,
    turned: u64,
}

impl<T: Default, const MOST: usize, const SPAN: u64> Recent<T, MOST, SPAN> {
    /// The entry, as it was or new.
    pub fn entry(&mut self, key: u64, now: u64) -> &mut T {
        if self.young.len() >= MOST || now.saturating_sub(self.turned) > SPAN {
            self.old = std::mem::take(&mut self.young);
            self.turned = now;
        }
        let Recent { young, old, .. } = self;
        young.entry(key).or_insert_with(|| old.remove(&key).unwrap_or_default())
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
