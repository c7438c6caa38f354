//! The pseudo-random draws of the protocol, fixed by its seed.

use crate::policy::estimators::hash::{mix, unit_interval};

/// The increment of the generator's state (SplitMix64).
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A pseudo-random generator.
#[derive(Debug)]
pub(super) struct Random {
    state: u64,
}

impl Random {
    /// The same seed gives the same draws.
    pub(super) fn new(seed: u64) -> Random {
        Random { state: mix(seed, 3) }
    }

    /// An index below a bound; 0 if the bound is 0.
    pub(super) fn below(&mut self, bound: usize) -> usize {
        self.state = self.state.wrapping_add(INCREMENT);
        (unit_interval(mix(self.state, 0)) * bound as f64) as usize
    }

    /// Some of these items, drawn without replacement.
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
