//! The bounds of the replicated state, and the reasons for which an entry is rejected.

use crate::policy::types::Micros;

/// Maximum length of the name of an object or server, in bytes.
pub const MAX_NAME_BYTES: usize = 512;
/// Maximum difference between directors' clocks, in microseconds. A purge with a time further in the future
/// is rejected.
pub const MAX_CLOCK_SKEW: Micros = 60_000_000;
/// Maximum number of incarnations in one drain record. An entry with more would not fit into a message.
pub(super) const MAX_DRAIN_INCARNATIONS: usize = 256;
/// Memory of an entry in addition to its encoding, in bytes: its map node, the time of its last change and
/// its hash.
pub(super) const ENTRY_OVERHEAD_BYTES: usize = 96;

/// Limits on the size of the state and on the retention of its entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of entries.
    pub entries: usize,
    /// Maximum memory in bytes: encoded keys and values, plus a fixed overhead for each entry.
    pub bytes: usize,
    /// How long a purge is kept after its time, in microseconds. By then no cache can still store a copy that
    /// is older than the purge.
    pub purge_retention: Micros,
    /// How long tombstones are kept, in microseconds. A director that was disconnected or stopped for longer
    /// discards its endpoint list.
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

/// The reason for which an entry was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum MergeError {
    /// The value does not match the kind of its key, or the name is empty or longer than [`MAX_NAME_BYTES`].
    #[error(
        "malformed entry: the value does not match its key, or the name is not 1 to {} bytes long",
        MAX_NAME_BYTES
    )]
    Malformed,
    /// A purge is older than [`Bounds::purge_retention`], or a server that is not listed has a revision whose
    /// tombstone may have been evicted.
    #[error("expired entry: older than the retention period or than an evicted tombstone")]
    Expired,
    /// The time of a purge is more than [`MAX_CLOCK_SKEW`] ahead of this director's clock.
    #[error("purge time is more than {} s ahead of this director's clock", MAX_CLOCK_SKEW / 1_000_000)]
    FromFuture,
    /// The state is full and holds no tombstone to evict, or a drain record would contain more incarnations
    /// than a message can carry.
    #[error("no capacity: the state is full without a tombstone to evict, or the drain record is full")]
    NoCapacity,
}

impl MergeError {
    /// Returns the name of the reason in operators' metrics.
    pub fn name(self) -> &'static str {
        match self {
            MergeError::Malformed => "form",
            MergeError::Expired => "old",
            MergeError::FromFuture => "ahead",
            MergeError::NoCapacity => "full",
        }
    }
}
