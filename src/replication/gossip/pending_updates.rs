//! Updates that are being gossiped, each for a number of rounds.

use crate::replication::entry::{Key, Value};
use crate::replication::state::ReplicatedState;
use std::collections::BTreeMap;

/// Members that updates are sent to in one round.
pub const FANOUT: usize = 3;
/// Rounds for which an update is gossiped.
pub const ROUNDS: u8 = 3;
/// Updates that are gossiped at a time. Beyond that digests find what differs.
pub const MAX_PENDING_UPDATES: usize = 512;

/// The keys of pending updates, with the rounds that each has left.
#[derive(Debug, Default)]
pub(super) struct PendingUpdates {
    rounds_left: BTreeMap<Key, u8>,
}

impl PendingUpdates {
    /// Adds an update, or starts its rounds anew. Returns false if there is no capacity for it.
    pub(super) fn add(&mut self, key: Key) -> bool {
        if self.rounds_left.len() >= MAX_PENDING_UPDATES && !self.rounds_left.contains_key(&key) {
            return false;
        }
        self.rounds_left.insert(key, ROUNDS);
        true
    }

    /// Whether there is none.
    pub(super) fn is_empty(&self) -> bool {
        self.rounds_left.is_empty()
    }

    /// The entries to send in the next round, which this counts as done.
    pub(super) fn next_round(&mut self, state: &ReplicatedState) -> Vec<(Key, Value)> {
        let held = |key: &Key| state.get(key).map(|value| (key.clone(), value.clone()));
        let entries = self.rounds_left.keys().filter_map(held).collect();
        self.rounds_left.values_mut().for_each(|rounds| *rounds -= 1);
        self.rounds_left.retain(|_, rounds| *rounds > 0);
        entries
    }
}
