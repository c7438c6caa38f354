//! Counters of the protocol since the start.

use crate::replication::state::MergeError;
use std::collections::BTreeMap;

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Entries received that changed the state.
    pub merged: u64,
    /// Entries received that were already known.
    pub unchanged: u64,
    /// Entries received that differ from ours in the same version.
    pub conflicts: u64,
    /// Entries rejected, by cause.
    pub rejected: BTreeMap<MergeError, u64>,
    /// Updates that were not gossiped, because too many were pending.
    pub updates_dropped: u64,
    /// Root digests that differed from ours.
    pub digest_mismatches: u64,
    /// Times that a transfer lane continued with another source.
    pub source_changes: u64,
}
