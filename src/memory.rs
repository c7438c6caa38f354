//! The limit on the bytes of client requests and upstream responses that a process holds at a time.
//!
//! Every buffer whose size a client or a server determines is reserved before it is allocated. Buffers of a
//! small, fixed size are not: the budget is smaller than the memory limit of the process, and the rest has
//! room for them.

use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Minimum capacity of a budget, in bytes. A response of the maximum size fits the part that is left to
/// responses.
const MIN_CAPACITY: usize = 2 << 20;
/// Maximum capacity of a budget, in bytes.
const MAX_CAPACITY: usize = u32::MAX as usize;

/// What a buffer is used for. It determines which part of the budget has to stay free for other uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Bytes that a client sends while its response is pending. Three quarters of the budget stay free.
    ReadAhead,
    /// The head or the body of a client request. A fifth of the budget stays free.
    Request,
    /// The body of an upstream response. It may use all of the budget.
    Response,
}

impl MemoryUse {
    /// Returns how many bytes of a budget stay free for other uses.
    fn headroom(self, capacity: usize) -> usize {
        match self {
            MemoryUse::ReadAhead => capacity / 4 * 3,
            MemoryUse::Request => capacity / 5,
            MemoryUse::Response => 0,
        }
    }
}

/// A limit on reserved bytes. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    capacity: usize,
    available: Arc<Semaphore>,
}

/// Reserved bytes, released on drop.
#[derive(Debug)]
#[must_use]
pub struct MemoryReservation {
    _permit: OwnedSemaphorePermit,
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes, at least 2 MiB.
    pub fn new(capacity: usize) -> MemoryBudget {
        let capacity = capacity.clamp(MIN_CAPACITY, MAX_CAPACITY.min(Semaphore::MAX_PERMITS));
        MemoryBudget { capacity, available: Arc::new(Semaphore::new(capacity)) }
    }

    /// Reserves all of `bytes`, or returns `None` if less is available for this use.
    pub fn try_reserve(&self, bytes: usize, memory_use: MemoryUse) -> Option<MemoryReservation> {
        let required = bytes.checked_add(memory_use.headroom(self.capacity))?;
        if self.available.available_permits() < required {
            return None;
        }
        let permits = u32::try_from(bytes).ok()?;
        let permit = self.available.clone().try_acquire_many_owned(permits).ok()?;
        Some(MemoryReservation { _permit: permit })
    }

    /// Waits until `bytes` are available for a response, and reserves them. Returns `None` if the budget is
    /// smaller.
    pub async fn reserve_for_response(&self, bytes: usize) -> Option<MemoryReservation> {
        let permits = u32::try_from(bytes).ok().filter(|_| bytes <= self.capacity)?;
        let permit = self.available.clone().acquire_many_owned(permits).await.ok()?;
        Some(MemoryReservation { _permit: permit })
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.capacity - self.available.available_permits()
    }
}

impl MemoryReservation {
    /// Attaches the reservation to the buffer that it was made for, so that both are released together.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
