//! How the descriptors that a process may hold are shared out: a reserve for what must always have one, the
//! rest for connections of clients and to servers.

use crate::frontend::{admin, serve};

/// The board's connection.
const BOARD: usize = 1;
/// Files are read one at a time: the configuration and those that are watched.
const FILES: usize = 1;
/// The socket for talk among directors, and the state on the disk.
#[cfg(feature = "peers")]
const PEERS: usize = 2;
/// Descriptors that are open already where the system does not say: standard streams, the runtime, signals.
const USUALLY_OPEN: usize = 10;
/// A process gets this much for connections, however low its limit.
const LEAST_FREE: usize = 9;
/// Of nine parts of what is free servers get four, and clients four, or five where none can make room.
const PARTS: usize = 9;
const PARTS_OF_SERVERS: usize = 4;
const USUAL_PARTS_OF_CLIENTS: usize = 4;
/// Processes that serve one inherited socket while one hands over to the other.
const PROCESSES_OF_A_HAND_OVER: usize = 2;

/// What a process opens beside connections of clients and to servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct DescriptorNeeds {
    /// What is open when the shares are reckoned.
    pub already_open: usize,
    /// Listeners that are still to be opened, the operators' among them.
    pub listeners: usize,
    /// Whether operators have an address to call.
    pub admin: bool,
    /// Whether directors talk with each other.
    pub cluster: bool,
    /// Whether another process may serve the same socket at the same time, within the same limit.
    pub handover: bool,
}

impl DescriptorNeeds {
    /// What must always have a descriptor.
    pub fn reserve(&self) -> usize {
        let operators = if self.admin { admin::MAX_DESCRIPTORS } else { 0 };
        #[cfg(feature = "peers")]
        let peers = if self.cluster { PEERS } else { 0 };
        #[cfg(not(feature = "peers"))]
        let peers = 0;
        self.already_open
            + self.listeners
            + BOARD
            + FILES
            + operators
            + peers
            + serve::slots::DESCRIPTORS_BESIDE_SLOTS
    }
}

/// The shares of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Client connections beyond which each that comes has another make room.
    pub client_soft_limit: usize,
    /// Client connections at the very most.
    pub client_hard_limit: usize,
    /// Connections to all servers together.
    pub upstream_limit: usize,
}

impl DescriptorBudget {
    /// Shares out what `limit` leaves beside the reserve.
    pub fn allocate(limit: usize, needs: &DescriptorNeeds) -> DescriptorBudget {
        let limit = if needs.handover { limit / PROCESSES_OF_A_HAND_OVER } else { limit };
        let free = limit.saturating_sub(needs.reserve()).max(LEAST_FREE);
        let servers = free * PARTS_OF_SERVERS / PARTS;
        let usual_clients = free * USUAL_PARTS_OF_CLIENTS / PARTS;
        DescriptorBudget {
            client_soft_limit: usual_clients,
            client_hard_limit: free - servers,
            upstream_limit: servers,
        }
    }
}

/// The descriptors that this process holds now.
pub fn open_now() -> usize {
    // The folder is one of them while it is read.
    std::fs::read_dir("/proc/self/fd").map_or(USUALLY_OPEN, |open| open.count().saturating_sub(1))
}
