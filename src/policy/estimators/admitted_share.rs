//! The share of work admitted to a congested resource: additive increase, multiplicative decrease (AIMD).

/// The parameters by which observations change an [`AdmittedShare`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AimdSteps {
    /// Factor applied to the share when the resource is congested, from 0 to 1.
    pub decrease_factor: f64,
    /// Amount added to the share when the resource is not congested.
    pub increase: f64,
    /// Lower bound of the share, above 0, so that some work still reaches the resource and is observed.
    pub min_share: f64,
}

/// The share of requests that are admitted, from [`AimdSteps::min_share`] to 1; 1 before any observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmittedShare(f64);

impl Default for AdmittedShare {
    fn default() -> Self {
        AdmittedShare(1.0)
    }
}

impl AdmittedShare {
    /// Returns the current share.
    pub fn value(self) -> f64 {
        self.0
    }

    /// Returns whether all requests are admitted.
    pub fn is_full(self) -> bool {
        self.0 >= 1.0
    }

    /// Records whether the resource was congested, and adjusts the share.
    pub fn observe(&mut self, congested: bool, steps: AimdSteps) {
        let next = if congested { self.0 * steps.decrease_factor } else { self.0 + steps.increase };
        self.0 = next.clamp(steps.min_share, 1.0);
    }

    /// Multiplies the share by a factor derived from a load report of the resource.
    pub fn scale(&mut self, factor: f64, steps: AimdSteps) {
        self.0 = (self.0 * factor).clamp(steps.min_share, 1.0);
    }
}
