//! The router's pseudo-random numbers (splitmix64). The same seed and events give the same decisions.

use crate::policy::estimators::hash::{mix, unit_interval};

/// A seeded pseudo-random number generator.
pub(super) struct RandomSequence {
    state: u64,
}

impl RandomSequence {
    pub(super) fn new(seed: u64) -> Self {
        RandomSequence { state: mix(seed, 1) }
    }

    /// Returns the next number of the sequence, uniform over all values.
    pub(super) fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.state, 0)
    }

    /// Returns the next number of the sequence, scaled to [0, 1).
    pub(super) fn next_unit(&mut self) -> f64 {
        unit_interval(self.next_u64())
    }

    /// Returns a number in [0, 1) derived from the present state and a key, without advancing the sequence.
    pub(super) fn unit_for(&self, key: u64) -> f64 {
        unit_interval(mix(self.state, key))
    }
}
