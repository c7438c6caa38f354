//! The descriptor budget of the process. A reserve covers what must always get a descriptor; client
//! connections and connections to servers share the rest.

use crate::frontend::{admin, serve};

/// The connection to the discovery service.
const DISCOVERY_DESCRIPTORS: usize = 1;
/// One is enough: the configuration and the watched files are read one at a time.
const FILE_DESCRIPTORS: usize = 1;
/// The socket for gossip among directors, and the store on disk.
#[cfg(feature = "peers")]
const CLUSTER_DESCRIPTORS: usize = 2;
/// Assumed number of open descriptors if the system does not report it: standard streams, the runtime,
/// signals.
const DEFAULT_ALREADY_OPEN: usize = 10;
/// Minimum number of descriptors for connections, one per share, even if the limit leaves fewer.
const MIN_CONNECTIONS: usize = 9;
/// The descriptors for connections are divided into nine equal shares. Connections to servers get four, and
/// client connections four, or five while no idle one can be closed for a new one.
const TOTAL_SHARES: usize = 9;
const UPSTREAM_SHARES: usize = 4;
const CLIENT_SOFT_LIMIT_SHARES: usize = 4;
/// Processes that serve one inherited socket, within one limit, during a handover.
pub(super) const PROCESSES_DURING_HANDOVER: usize = 2;

/// The descriptors that a process needs besides those of client connections and connections to servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct DescriptorNeeds {
    /// Descriptors that are already open when the budget is computed.
    pub already_open: usize,
    /// Listeners still to be opened, including that of the admin endpoint.
    pub listeners: usize,
    /// Whether there is an admin endpoint.
    pub admin: bool,
    /// Whether this director gossips with others.
    pub cluster: bool,
    /// Whether another process may serve the same socket at the same time, within the same limit.
    pub handover: bool,
}

impl DescriptorNeeds {
    /// Returns the number of descriptors to reserve.
    pub fn reserve(&self) -> usize {
        let admin = if self.admin { admin::MAX_DESCRIPTORS } else { 0 };
        let non_slot = serve::slots::DESCRIPTORS_BESIDE_SLOTS;
        self.already_open
            + self.listeners
            + DISCOVERY_DESCRIPTORS
            + FILE_DESCRIPTORS
            + admin
            + self.cluster_reserve()
            + non_slot
    }

    #[cfg(feature = "peers")]
    fn cluster_reserve(&self) -> usize {
        if self.cluster {
            CLUSTER_DESCRIPTORS
        } else {
            0
        }
    }

    #[cfg(not(feature = "peers"))]
    fn cluster_reserve(&self) -> usize {
        0
    }
}

/// Limits on the number of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Number of client connections at which a new one first closes an idle one.
    pub client_soft_limit: usize,
    /// Maximum number of client connections.
    pub client_hard_limit: usize,
    /// Maximum number of connections to all servers together.
    pub upstream_limit: usize,
}

impl DescriptorBudget {
    /// Divides the descriptors that `limit` leaves after the reserve among clients and servers.
    pub fn allocate(limit: usize, needs: &DescriptorNeeds) -> DescriptorBudget {
        let limit = if needs.handover { limit / PROCESSES_DURING_HANDOVER } else { limit };
        let free = limit.saturating_sub(needs.reserve()).max(MIN_CONNECTIONS);
        let upstream_limit = free * UPSTREAM_SHARES / TOTAL_SHARES;
        DescriptorBudget {
            client_soft_limit: free * CLIENT_SOFT_LIMIT_SHARES / TOTAL_SHARES,
            client_hard_limit: free - upstream_limit,
            upstream_limit,
        }
    }
}

/// Counts the open descriptors of this process.
pub fn count_open() -> usize {
    // Less one: the descriptor that reads this directory.
    std::fs::read_dir("/proc/self/fd").map_or(DEFAULT_ALREADY_OPEN, |open| open.count().saturating_sub(1))
}
