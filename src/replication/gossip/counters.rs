//! Counters of the gossip protocol.

use crate::replication::state::MergeError;
use std::collections::BTreeMap;

/// Counters since the start of the director.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Received entries that changed the state.
    pub merged: u64,
    /// Received entries that were already known.
    pub unchanged: u64,
    /// Received entries that have the same revision as the local entry but a different value.
    pub conflicts: u64,
    /// Received entries that were rejected, by cause.
    pub rejected: BTreeMap<MergeError, u64>,
    /// Updates that were not gossiped because the queue of pending updates was full.
    pub updates_dropped: u64,
    /// Received root digests that differed from the local one and started a comparison.
    pub digest_mismatches: u64,
    /// Times that a transfer lane replaced an unanswered request by a new one, usually to another source.
    pub source_changes: u64,
}
