//! Descriptor budget: what a process may hold is divided into a reserve for what must always have a
//! descriptor, connections of clients, and connections to servers.

use crate::frontend::{admin, serve};

/// The discovery service's connection.
const DISCOVERY: usize = 1;
/// Files are read one at a time: the configuration and those that are watched.
const FILES: usize = 1;
/// The socket for gossip among directors, and the store on the disk.
#[cfg(feature = "peers")]
const CLUSTER: usize = 2;
/// Descriptors that are open already where the system does not say: standard streams, the runtime, signals.
const DEFAULT_ALREADY_OPEN: usize = 10;
/// A process gets this many for connections, however low its limit is.
const MIN_FREE: usize = 9;
/// Of nine parts of what is free servers get four, and clients four, or five where none can make room.
const PARTS: usize = 9;
const UPSTREAM_PARTS: usize = 4;
const CLIENT_SOFT_LIMIT_PARTS: usize = 4;
/// Processes that serve one inherited socket during a handover.
const PROCESSES_DURING_HANDOVER: usize = 2;

/// What a process opens beside connections of clients and to servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct DescriptorNeeds {
    /// Descriptors that are open when the budget is made.
    pub already_open: usize,
    /// Listeners that are still to be opened, the admin endpoint's among them.
    pub listeners: usize,
    /// Whether there is an admin endpoint.
    pub admin: bool,
    /// Whether directors gossip.
    pub cluster: bool,
    /// Whether another process may serve the same socket at the same time, within the same limit.
    pub handover: bool,
}

impl DescriptorNeeds {
    /// Descriptors for what must always have one.
    pub fn reserve(&self) -> usize {
        let admin = if self.admin { admin::MAX_DESCRIPTORS } else { 0 };
        let beside_slots = serve::slots::DESCRIPTORS_BESIDE_SLOTS;
        self.already_open + self.listeners + DISCOVERY + FILES + admin + self.cluster_reserve() + beside_slots
    }

    #[cfg(feature = "peers")]
    fn cluster_reserve(&self) -> usize {
        if self.cluster {
            CLUSTER
        } else {
            0
        }
    }

    #[cfg(not(feature = "peers"))]
    fn cluster_reserve(&self) -> usize {
        0
    }
}

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Client connections beyond which each new one has an idle one close.
    pub client_soft_limit: usize,
    /// Client connections at most.
    pub client_hard_limit: usize,
    /// Connections to all servers together at most.
    pub upstream_limit: usize,
}

impl DescriptorBudget {
    /// Divides what `limit` leaves beside the reserve.
    pub fn allocate(limit: usize, needs: &DescriptorNeeds) -> DescriptorBudget {
        let limit = if needs.handover { limit / PROCESSES_DURING_HANDOVER } else { limit };
        let free = limit.saturating_sub(needs.reserve()).max(MIN_FREE);
        let upstream_limit = free * UPSTREAM_PARTS / PARTS;
        DescriptorBudget {
            client_soft_limit: free * CLIENT_SOFT_LIMIT_PARTS / PARTS,
            client_hard_limit: free - upstream_limit,
            upstream_limit,
        }
    }
}

/// The descriptors that this process holds now.
pub fn count_open() -> usize {
    // The folder is one of them while it is read.
    std::fs::read_dir("/proc/self/fd").map_or(DEFAULT_ALREADY_OPEN, |open| open.count().saturating_sub(1))
}
