//! Congestion of servers, estimated from response times. Where servers send no load reports, this is the only
//! sign of the load from other routers.

use std::collections::{BTreeSet, HashMap};

/// Weighted sums of a server's response times, and of the times that an idle server needs for the same
/// responses.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyTotals {
    elapsed: f64,
    expected: f64,
}

impl LatencyTotals {
    /// Returns the response time as a multiple of the response time of an idle server.
    fn slowdown(&self) -> f64 {
        self.elapsed / self.expected
    }
}

/// The slowdown of each server of a small set, and the smallest slowdown. An update takes time logarithmic in
/// the number of servers. Holds one entry for each recorded server until [`CongestionEstimator::forget`] or
/// [`CongestionEstimator::retain`] removes it.
#[derive(Debug, Default)]
pub struct CongestionEstimator {
    totals: HashMap<u32, LatencyTotals>,
    /// Pairs of slowdown and server, ordered by slowdown. The slowdowns are `f64` bits, which sort like the
    /// numbers because these are above 0.
    by_slowdown: BTreeSet<(u64, u32)>,
}

impl CongestionEstimator {
    /// Records a response that took `elapsed`, and would take `expected` from an idle server. Both are
    /// positive and in the same unit. `weight` is the weight of the new observation, from 0 to 1.
    pub fn record(&mut self, server: u32, elapsed: f64, expected: f64, weight: f64) {
        let totals = self.totals.entry(server).or_default();
        if totals.expected > 0.0 {
            self.by_slowdown.remove(&(totals.slowdown().to_bits(), server));
        }
        let retained = if totals.expected > 0.0 { 1.0 - weight } else { 0.0 };
        *totals = LatencyTotals {
            elapsed: totals.elapsed * retained + elapsed,
            expected: totals.expected * retained + expected,
        };
        self.by_slowdown.insert((totals.slowdown().to_bits(), server));
    }

    /// Removes a server, because it restarted or is no longer used.
    pub fn forget(&mut self, server: u32) {
        if let Some(totals) = self.totals.remove(&server) {
            self.by_slowdown.remove(&(totals.slowdown().to_bits(), server));
        }
    }

    /// Removes all servers for which `is_known` returns `false`.
    pub fn retain(&mut self, is_known: impl Fn(u32) -> bool) {
        let unknown: Vec<u32> = self.totals.keys().copied().filter(|server| !is_known(*server)).collect();
        unknown.into_iter().for_each(|server| self.forget(server));
    }

    /// Returns the server's slowdown as a multiple of the smallest one; `None` if the server has no
    /// observation.
    pub fn relative_to_quickest(&self, server: u32) -> Option<f64> {
        let smallest = f64::from_bits(self.by_slowdown.first()?.0);
        Some(self.totals.get(&server)?.slowdown() / smallest)
    }
}
