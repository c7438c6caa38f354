//! The bounds of the replicated state, and why an entry is rejected.

use crate::policy::types::Micros;

/// The longest name of an object or server, in bytes.
pub const MAX_NAME_BYTES: usize = 512;
/// How far directors' clocks may differ, in microseconds: a purge from further in the future is rejected.
pub const MAX_CLOCK_SKEW: Micros = 60_000_000;
/// Incarnations in one drain record: an entry with more would not fit a message.
pub(super) const MAX_DRAIN_INCARNATIONS: usize = 256;
/// Memory of an entry beside its encoding, in bytes: its node in the map, its time and its sum.
pub(super) const ENTRY_OVERHEAD_BYTES: usize = 96;

/// How much is stored, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The most entries.
    pub entries: usize,
    /// The most bytes of keys and values, with the overhead of each entry.
    pub bytes: usize,
    /// How long a purge is kept after its own time, in microseconds: no older copy can be stored anywhere by
    /// then.
    pub purge_retention: Micros,
    /// How long tombstones are kept, in microseconds. A director that was away for longer forgets its list.
    pub tombstone_retention: Micros,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            entries: 200_000,
            bytes: 48 << 20,
            purge_retention: 600_000_000,
            tombstone_retention: 600_000_000,
        }
    }
}

/// Why an entry was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum MergeError {
    /// The value is not of its key's kind, or the name is empty or too long.
    #[error("malformed entry")]
    Malformed,
    /// A purge, or an event of a server, that is older than what is kept.
    #[error("expired entry")]
    Expired,
    /// A purge from further in the future than clocks may differ.
    #[error("purge from the future")]
    FromFuture,
    /// The state is full, and nothing in it may be evicted.
    #[error("no capacity")]
    NoCapacity,
}

impl MergeError {
    /// Its name in operators' metrics.
    pub fn name(self) -> &'static str {
        match self {
            MergeError::Malformed => "form",
            MergeError::Expired => "old",
            MergeError::FromFuture => "ahead",
            MergeError::NoCapacity => "full",
        }
    }
}
