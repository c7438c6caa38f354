//! The dispatcher's metrics: requests by class and outcome, endpoints, and the sizes of its tables.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Numbers of requests of one class since the start, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests served, including those whose client had a current copy.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests cancelled by their clients that certainly never ran.
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
    /// Servers in the endpoint list to which nothing is sent at present.
    pub endpoints_excluded: usize,
    /// Present sizes of the dispatcher's tables.
    pub tables: TableSizes,
}

/// Number of entries in each of the dispatcher's tables. Each is bounded by the work in progress, not by past
/// work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Requests that have not been answered or that have attempts in flight.
    pub pending_requests: usize,
    /// Attempts that have not ended, as far as is known.
    pub attempts_in_flight: usize,
    /// Timers that have not fired, including those of requests that have ended.
    pub timers: usize,
    /// Health checks in flight.
    pub health_checks: usize,
    /// Requests cancelled by their clients with attempts that have not been reported; each stays for at most
    /// 1 s.
    pub cancelled_requests: usize,
    /// Servers in the endpoint list, and those gone that still have attempts in flight.
    pub servers: usize,
    /// Messages queued in the mailbox; at most 4,096.
    pub mailbox: usize,
    /// Classes in the settings in force, and in each of the earlier settings that a request still uses.
    pub classes: usize,
    /// Classes of which the policy has estimates: those in the settings in force, and those of pending
    /// requests.
    pub class_estimates: usize,
}

impl TableSizes {
    /// Returns whether no table has more entries than in `limits`.
    pub fn within(&self, limits: &TableSizes) -> bool {
        self.sizes().iter().zip(limits.sizes()).all(|(size, limit)| *size <= limit)
    }

    fn sizes(&self) -> [usize; 9] {
        [
            self.pending_requests,
            self.attempts_in_flight,
            self.timers,
            self.health_checks,
            self.cancelled_requests,
            self.servers,
            self.mailbox,
            self.classes,
            self.class_estimates,
        ]
    }
}
