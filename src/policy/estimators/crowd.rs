//! How crowded servers are, by what their answers took: the only sign of others' load where nobody tells.

use std::collections::{BTreeSet, HashMap};

/// What a server's answers took lately over what they take at full pace.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    took: f64,
    usual: f64,
}

impl Pace {
    fn stretch(&self) -> f64 {
        self.took / self.usual
    }
}

/// The stretch of each of a few servers, and the least of all, in steps that grow with the logarithm of their
/// number. Holds what [`Crowds::forget`] has not taken out: one entry for each server that was ever told of.
#[derive(Debug, Default)]
pub struct Crowds {
    paces: HashMap<u32, Pace>,
    /// Stretches as ordered bits (they are above 0), and whose.
    ordered: BTreeSet<(u64, u32)>,
}

impl Crowds {
    /// An answer took `took` where it takes `usual` at full pace, both above 0; `blend` is its weight.
    pub fn told(&mut self, server: u32, took: f64, usual: f64, blend: f64) {
        let pace = self.paces.entry(server).or_default();
        if pace.usual > 0.0 {
            self.ordered.remove(&(pace.stretch().to_bits(), server));
        }
        let kept = if pace.usual > 0.0 { 1.0 - blend } else { 0.0 };
        *pace = Pace { took: pace.took * kept + took, usual: pace.usual * kept + usual };
        self.ordered.insert((pace.stretch().to_bits(), server));
    }

    /// Nothing is held of this server any more: another process runs there, or it is not asked now.
    pub fn forget(&mut self, server: u32) {
        if let Some(pace) = self.paces.remove(&server) {
            self.ordered.remove(&(pace.stretch().to_bits(), server));
        }
    }

    /// Forgets all but these.
    pub fn keep(&mut self, known: impl Fn(u32) -> bool) {
        let gone: Vec<u32> = self.paces.keys().copied().filter(|server| !known(*server)).collect();
        gone.into_iter().for_each(|server| self.forget(server));
    }

    /// How many times as long as at the quickest server answers take here; none: nothing is held.
    pub fn over_quickest(&self, server: u32) -> Option<f64> {
        let least = f64::from_bits(self.ordered.first()?.0);
        Some(self.paces.get(&server)?.stretch() / least)
    }
}
