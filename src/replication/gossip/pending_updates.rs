//! The queue of updates that are being gossiped, each for [`ROUNDS`] rounds.

use crate::replication::entry::{Key, Value};
use crate::replication::state::ReplicatedState;
use std::collections::BTreeMap;

/// Number of members to which pending updates are sent in one round.
pub const FANOUT: usize = 3;
/// Number of rounds in which an update is sent.
pub const ROUNDS: u8 = 3;
/// Maximum number of pending updates. Updates beyond it are not gossiped: anti-entropy transfers them.
pub const MAX_PENDING_UPDATES: usize = 512;

/// The keys of pending updates, each with its number of remaining rounds.
#[derive(Debug, Default)]
pub(super) struct PendingUpdates {
    rounds_left: BTreeMap<Key, u8>,
}

impl PendingUpdates {
    /// Adds an update. If it is already pending, its number of rounds starts over. Returns `false` if the
    /// queue is full.
    pub(super) fn add(&mut self, key: Key) -> bool {
        if self.rounds_left.len() >= MAX_PENDING_UPDATES && !self.rounds_left.contains_key(&key) {
            return false;
        }
        self.rounds_left.insert(key, ROUNDS);
        true
    }

    /// Returns whether no update is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.rounds_left.is_empty()
    }

    /// Returns the entries to send in this round, and decrements the remaining rounds of each.
    pub(super) fn next_round(&mut self, state: &ReplicatedState) -> Vec<(Key, Value)> {
        let current_entry = |key: &Key| state.get(key).map(|value| (key.clone(), value.clone()));
        let entries = self.rounds_left.keys().filter_map(current_entry).collect();
        self.rounds_left.values_mut().for_each(|rounds| *rounds -= 1);
        self.rounds_left.retain(|_, rounds| *rounds > 0);
        entries
    }
}
