//! The dispatcher's metrics: requests by class and outcome, endpoints, and the sizes of its tables.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Requests of one class since the start, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests served, those whose client has a current copy included.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests cancelled by their clients of which nothing ran.
    pub cancelled_not_run: u64,
    /// Requests cancelled by their clients that may have run.
    pub cancelled_may_have_run: u64,
}

/// The dispatcher's metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatcherMetrics {
    /// Requests by the name of their class.
    pub requests: BTreeMap<Arc<str>, ClassCounts>,
    /// Attempts written completely to servers since the start.
    pub attempts: u64,
    /// Servers in the endpoint list.
    pub endpoints_known: usize,
    /// Those of them to which nothing is sent now.
    pub endpoints_excluded: usize,
    /// What the dispatcher holds at this moment.
    pub tables: TableSizes,
}

/// How many entries the dispatcher's tables have. Each is bounded by what is in progress, not by what has
/// been.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Requests that are unanswered or whose attempts have not all ended.
    pub pending_requests: usize,
    /// Attempts in flight.
    pub attempts_in_flight: usize,
    /// Timers that have not fired, those of ended requests among them.
    pub timers: usize,
    /// Health checks in flight.
    pub health_checks: usize,
    /// Requests cancelled by their clients whose attempts have not all been reported; each for 1 s at most.
    pub cancelled_requests: usize,
    /// Servers listed, and those gone that still have attempts in flight.
    pub servers: usize,
    /// Messages that wait in the mailbox, of 4,096 at most.
    pub mailbox: usize,
    /// Classes, retired ones among them.
    pub classes: usize,
}

impl TableSizes {
    /// Whether no table has more entries than in `limits`.
    pub fn within(&self, limits: &TableSizes) -> bool {
        self.sizes().iter().zip(limits.sizes()).all(|(size, limit)| *size <= limit)
    }

    fn sizes(&self) -> [usize; 8] {
        [
            self.pending_requests,
            self.attempts_in_flight,
            self.timers,
            self.health_checks,
            self.cancelled_requests,
            self.servers,
            self.mailbox,
            self.classes,
        ]
    }
}
