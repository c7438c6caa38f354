//! How independent routers split a load between them without talking to each other.

/// Rounds `target` to a whole number from 1 to `max` whose mean over uniform draws is `target`, so that a
/// fleet of routers does on average what none of them could do exactly. `draw` is uniform in [0, 1).
pub fn stochastic_round(target: f64, max: usize, draw: f64) -> usize {
    ((target + draw).floor().max(1.0) as usize).min(max)
}

/// The share of a load that has to go elsewhere for the rest to stay within `bound`; 0 for a load within it.
pub fn excess_share(load: f64, bound: f64) -> f64 {
    if load > bound {
        1.0 - bound / load
    } else {
        0.0
    }
}
