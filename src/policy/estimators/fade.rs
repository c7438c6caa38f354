//! Counts that fade.

/// A sum whose parts lose their weight with time: `e^(-age / span)`.
///
/// In a steady stream of `r` events a second the count stands at `r * span`, with a relative error (standard
/// deviation over mean) of `1 / sqrt(2 * r * span)`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fading {
    value: f64,
    at: u64,
}

impl Fading {
    /// Adds so much, and gives the sum. `span` is the time constant in microseconds, above 0.
    pub fn add(&mut self, now: u64, amount: f64, span: f64) -> f64 {
        *self = Fading { value: self.value(now, span) + amount, at: now.max(self.at) };
        self.value
    }

    /// The sum as it stands now. A time before the last addition counts as that.
    pub fn value(&self, now: u64, span: f64) -> f64 {
        self.value * (-(now.saturating_sub(self.at) as f64) / span).exp()
    }
}
