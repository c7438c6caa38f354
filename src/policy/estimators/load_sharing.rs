//! Functions by which independent routers split a load without exchanging messages.

/// Rounds `target` at random to an integer from 1 to `max` whose mean is `target`, so that a fleet of routers
/// reaches a fractional target on average. `draw` is uniformly distributed in [0, 1).
pub fn stochastic_round(target: f64, max: usize, draw: f64) -> usize {
    ((target + draw).floor().max(1.0) as usize).min(max)
}

/// Returns the share of a load that has to be moved elsewhere so that the rest stays within `bound`; 0 if the
/// whole load does.
pub fn excess_share(load: f64, bound: f64) -> f64 {
    if load > bound {
        1.0 - bound / load
    } else {
        0.0
    }
}
