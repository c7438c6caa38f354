//! The share of work that a crowded resource is still given: additive increase, multiplicative decrease.

/// How a share moves with each sign.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Steps {
    /// A sign of crowding multiplies the share by this.
    pub cut: f64,
    /// A sign of room adds this.
    pub grow: f64,
    /// The share stays at or above this, so that the resource is tried again.
    pub least: f64,
}

/// A share of requests that are admitted, from [`Steps::least`] to 1; all of them before any sign.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmittedShare(f64);

impl Default for AdmittedShare {
    fn default() -> Self {
        AdmittedShare(1.0)
    }
}

impl AdmittedShare {
    /// The share now.
    pub fn value(self) -> f64 {
        self.0
    }

    /// Whether everything is admitted.
    pub fn is_full(self) -> bool {
        self.0 >= 1.0
    }

    /// Takes one sign: whether the resource was crowded.
    pub fn observe(&mut self, crowded: bool, steps: Steps) {
        let next = if crowded { self.0 * steps.cut } else { self.0 + steps.grow };
        self.0 = next.clamp(steps.least, 1.0);
    }

    /// Multiplies the share by a factor that a report of the resource's load gives.
    pub fn scale(&mut self, factor: f64, steps: Steps) {
        self.0 = (self.0 * factor).clamp(steps.least, 1.0);
    }
}
