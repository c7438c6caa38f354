//! Bayesian estimates of rates and shares from few events (Gamma prior, Poisson counts).
//!
//! The number of events at a rate `x` over an exposure `e` has a Poisson distribution with mean `x * e`.
//! Before any event `x` has a Gamma distribution with the prior's mean and shape. After `n` events it again
//! has a Gamma distribution; its mean is the same as if `shape` more events had been observed at the prior
//! mean.

/// The distribution of a rate before any observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GammaPrior {
    /// Expected rate before any observation, above 0.
    pub mean: f64,
    /// Weight of the prior, in events. The relative standard deviation is `1 / sqrt(shape)`.
    pub shape: f64,
}

/// An estimated rate with its standard error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateEstimate {
    /// The posterior mean.
    pub mean: f64,
    /// The posterior standard deviation.
    pub standard_deviation: f64,
}

impl GammaPrior {
    /// Creates a prior; `mean` is above 0, `shape` is in events.
    pub fn new(mean: f64, shape: f64) -> GammaPrior {
        GammaPrior { mean, shape }
    }

    /// Returns the estimate after `events` over `exposure`, both at least 0.
    pub fn posterior(&self, events: f64, exposure: f64) -> RateEstimate {
        let shape = self.shape + events;
        let rate = self.shape / self.mean + exposure;
        RateEstimate { mean: shape / rate, standard_deviation: shape.sqrt() / rate }
    }
}
