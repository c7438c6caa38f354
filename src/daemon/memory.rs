//! The memory budget of the process: the part of its memory limit that requests and responses may use.

use super::descriptors::PROCESSES_DURING_HANDOVER;
use crate::memory::MemoryBudget;

/// Memory for the program itself, a full object table of the router, buffers of fixed size, and what the
/// allocator holds but can't use, in bytes.
const RESERVE_BYTES: usize = 18_000_000;

/// Returns the budget for a limit in bytes: what the reserve leaves, but at least a quarter and at most two
/// thirds of the limit. During a handover another process may use as much.
pub fn allocate(limit: usize, handover: bool) -> MemoryBudget {
    let limit = if handover { limit / PROCESSES_DURING_HANDOVER } else { limit };
    MemoryBudget::new(limit.saturating_sub(RESERVE_BYTES).clamp(limit / 4, limit / 3 * 2))
}
