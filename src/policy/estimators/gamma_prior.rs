//! Bayesian estimates of rates and shares from few events (Gamma prior, Poisson counts).
//!
//! Events of a rate `x` over an exposure `e` are Poisson with mean `x * e`. Before any event `x` has a Gamma
//! distribution with the prior's mean and shape; after `n` events it has a Gamma distribution again, whose
//! mean is as if `shape` events had been seen at the prior mean beside the `n`.

/// The distribution of a rate before any observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GammaPrior {
    /// The prior mean, above 0.
    pub mean: f64,
    /// The prior weight, in events: the relative standard deviation is `1 / sqrt(shape)`.
    pub shape: f64,
}

/// An estimated rate with its error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateEstimate {
    /// The posterior mean.
    pub mean: f64,
    /// The posterior standard deviation.
    pub standard_deviation: f64,
}

impl GammaPrior {
    /// A prior with this mean and this shape.
    pub fn new(mean: f64, shape: f64) -> GammaPrior {
        GammaPrior { mean, shape }
    }

    /// The estimate after `events` over `exposure`, both at least 0.
    pub fn posterior(&self, events: f64, exposure: f64) -> RateEstimate {
        let shape = self.shape + events;
        let rate = self.shape / self.mean + exposure;
        RateEstimate { mean: shape / rate, standard_deviation: shape.sqrt() / rate }
    }
}
