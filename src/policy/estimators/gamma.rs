//! Rates and shares from few events (a Gamma prior, Poisson counts).
//!
//! Events of a rate `x` over an exposure `e` are Poisson with mean `x * e`. Before any is seen `x` is taken
//! to be Gamma with the prior's mean and shape; after `n` it is Gamma once more, and its mean leans on the
//! prior as if `shape` events had been seen at the prior's mean.

/// What is held of a rate before anything is seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prior {
    /// The mean, above 0.
    pub mean: f64,
    /// How sure that is, in events: its relative standard deviation is `1 / sqrt(shape)`.
    pub shape: f64,
}

/// A rate as it is held to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// The mean.
    pub mean: f64,
    /// The standard deviation: the stated error.
    pub deviation: f64,
}

impl Prior {
    /// By mean and shape.
    pub fn new(mean: f64, shape: f64) -> Prior {
        Prior { mean, shape }
    }

    /// After so many events over an exposure, both at least 0.
    pub fn after(&self, events: f64, exposure: f64) -> Rate {
        let (shape, per) = (self.shape + events, self.shape / self.mean + exposure);
        Rate { mean: shape / per, deviation: shape.sqrt() / per }
    }
}

/// A whole number whose mean over uniform draws is `want`, between 1 and `most`: each director draws its own,
/// so that a fleet does on average what none of it could do exactly. `unit` is uniform in [0, 1).
pub fn whole(want: f64, most: usize, unit: f64) -> usize {
    ((want + unit).floor().max(1.0) as usize).min(most)
}

/// The share of a load that has to go elsewhere for the rest to stay within `bound`; 0 where it does already.
pub fn excess(load: f64, bound: f64) -> f64 {
    if load > bound {
        1.0 - bound / load
    } else {
        0.0
    }
}
