//! The pseudo-random number generator of the gossip protocol.

use crate::policy::estimators::hash::{mix, unit_interval};

/// The increment of the generator's state, as in SplitMix64.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A pseudo-random number generator whose sequence depends only on its seed.
#[derive(Debug)]
pub(super) struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator. The same seed gives the same sequence.
    pub(super) fn new(seed: u64) -> Random {
        Random { state: mix(seed, 3) }
    }

    /// Draws an index from 0 to `bound` (exclusive). Returns 0 if the bound is 0.
    pub(super) fn below(&mut self, bound: usize) -> usize {
        self.state = self.state.wrapping_add(INCREMENT);
        (unit_interval(mix(self.state, 0)) * bound as f64) as usize
    }

    /// Draws up to `count` of the items, without replacement.
    pub(super) fn sample<T: Clone>(&mut self, items: &[T], count: usize) -> Vec<T> {
        let mut indices: Vec<usize> = (0..items.len()).collect();
        let count = count.min(indices.len());
        for n in 0..count {
            let other = n + self.below(indices.len() - n);
            indices.swap(n, other);
        }
        indices[..count].iter().map(|index| items[*index].clone()).collect()
    }
}
