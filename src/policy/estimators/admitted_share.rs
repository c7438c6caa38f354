//! The share of work admitted to a congested resource: additive increase, multiplicative decrease (AIMD).

/// How a share moves with each observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AimdSteps {
    /// Congestion multiplies the share by this.
    pub decrease_factor: f64,
    /// Spare capacity adds this.
    pub increase: f64,
    /// The share stays at or above this, so that the resource is still observed.
    pub min_share: f64,
}

/// A share of requests that are admitted, from [`AimdSteps::min_share`] to 1; 1 before any observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmittedShare(f64);

impl Default for AdmittedShare {
    fn default() -> Self {
        AdmittedShare(1.0)
    }
}

impl AdmittedShare {
    /// The present share.
    pub fn value(self) -> f64 {
        self.0
    }

    /// Whether everything is admitted.
    pub fn is_full(self) -> bool {
        self.0 >= 1.0
    }

    /// Records one observation: whether the resource was congested.
    pub fn observe(&mut self, congested: bool, steps: AimdSteps) {
        let next = if congested { self.0 * steps.decrease_factor } else { self.0 + steps.increase };
        self.0 = next.clamp(steps.min_share, 1.0);
    }

    /// Multiplies the share by a factor derived from a load report of the resource.
    pub fn scale(&mut self, factor: f64, steps: AimdSteps) {
        self.0 = (self.0 * factor).clamp(steps.min_share, 1.0);
    }
}
