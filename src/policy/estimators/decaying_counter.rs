//! An exponentially decaying counter.

/// A sum in which each amount has the weight `e^(-age / time_constant)`.
///
/// For a steady stream of `r` events per second the sum converges to `r * time_constant`, with a relative
/// error (standard deviation over mean) of `1 / sqrt(2 * r * time_constant)`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingCounter {
    value: f64,
    updated_at: u64,
}

impl DecayingCounter {
    /// Adds `amount` and returns the sum. Times are in microseconds, and `time_constant` is positive.
    pub fn add(&mut self, now: u64, amount: f64, time_constant: f64) -> f64 {
        *self = DecayingCounter {
            value: self.value(now, time_constant) + amount,
            updated_at: now.max(self.updated_at),
        };
        self.value
    }

    /// Returns the sum at `now`. A time before the last addition counts as the time of that addition.
    pub fn value(&self, now: u64, time_constant: f64) -> f64 {
        self.value * (-(now.saturating_sub(self.updated_at) as f64) / time_constant).exp()
    }
}
