//! Congestion of servers, estimated from response times: the only sign of other routers' load where servers
//! report none.

use std::collections::{BTreeSet, HashMap};

/// Weighted sums of a server's response times, and of the times that the same responses take when idle.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyTotals {
    elapsed: f64,
    expected: f64,
}

impl LatencyTotals {
    /// Response time as a multiple of the time when idle.
    fn slowdown(&self) -> f64 {
        self.elapsed / self.expected
    }
}

/// The slowdown of each of a few servers, and the smallest of all, in steps that grow with the logarithm of
/// their number. Holds one entry for each recorded server until [`CongestionEstimator::forget`] or
/// [`CongestionEstimator::retain`] removes it.
#[derive(Debug, Default)]
pub struct CongestionEstimator {
    totals: HashMap<u32, LatencyTotals>,
    /// Slowdowns as ordered bits (they are above 0), and their servers.
    by_slowdown: BTreeSet<(u64, u32)>,
}

impl CongestionEstimator {
    /// Records a response that took `elapsed` and takes `expected` when idle, both above 0 and in the same
    /// unit. `weight` is that of the new observation, from 0 to 1.
    pub fn record(&mut self, server: u32, elapsed: f64, expected: f64, weight: f64) {
        let totals = self.totals.entry(server).or_default();
        if totals.expected > 0.0 {
            self.by_slowdown.remove(&(totals.slowdown().to_bits(), server));
        }
        let kept = if totals.expected > 0.0 { 1.0 - weight } else { 0.0 };
        *totals = LatencyTotals {
            elapsed: totals.elapsed * kept + elapsed,
            expected: totals.expected * kept + expected,
        };
        self.by_slowdown.insert((totals.slowdown().to_bits(), server));
    }

    /// Removes a server, because it restarted or is no longer used.
    pub fn forget(&mut self, server: u32) {
        if let Some(totals) = self.totals.remove(&server) {
            self.by_slowdown.remove(&(totals.slowdown().to_bits(), server));
        }
    }

    /// Removes all servers but those for which `is_known` holds.
    pub fn retain(&mut self, is_known: impl Fn(u32) -> bool) {
        let gone: Vec<u32> = self.totals.keys().copied().filter(|server| !is_known(*server)).collect();
        gone.into_iter().for_each(|server| self.forget(server));
    }

    /// The server's slowdown as a multiple of the smallest one; `None` if the server has no observation.
    pub fn relative_to_quickest(&self, server: u32) -> Option<f64> {
        let smallest = f64::from_bits(self.by_slowdown.first()?.0);
        Some(self.totals.get(&server)?.slowdown() / smallest)
    }
}
