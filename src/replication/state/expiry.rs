//! Removal of expired entries.

use super::{ClockReading, Entry, ReplicatedState, StoredKey};
use crate::replication::entry::{Key, Kind, Value};

impl ReplicatedState {
    /// Removes the expired entries and returns their keys.
    pub fn expire(&mut self, now: ClockReading) -> Vec<Key> {
        let expired =
            self.entries.iter().filter(|(stored_key, entry)| self.is_expired(&stored_key.key, entry, now));
        let expired: Vec<StoredKey> = expired.map(|(stored_key, _)| stored_key.clone()).collect();
        expired.iter().for_each(|stored_key| self.remove(stored_key));
        expired.into_iter().map(|stored_key| stored_key.key).collect()
    }

    fn is_expired(&self, key: &Key, entry: &Entry, now: ClockReading) -> bool {
        match &entry.value {
            Value::Purged(at) => at.saturating_add(self.bounds.purge_retention) < now.unix,
            Value::Endpoint(_, record) => record.is_gone() && self.is_past_retention(entry, now),
            Value::Drain(_) => self.is_past_retention(entry, now) && self.is_server_gone(key, now),
        }
    }

    /// Returns whether an entry last changed longer ago than [`Bounds::tombstone_retention`].
    ///
    /// [`Bounds::tombstone_retention`]: super::Bounds::tombstone_retention
    fn is_past_retention(&self, entry: &Entry, now: ClockReading) -> bool {
        now.monotonic.saturating_sub(entry.changed_at) > self.bounds.tombstone_retention
    }

    /// Returns whether the server of a drain is not listed, or has been gone for longer than tombstones are
    /// kept. If the state has no entries of the endpoint list, other directors may have them, and the drain
    /// is kept.
    fn is_server_gone(&self, key: &Key, now: ClockReading) -> bool {
        let Key::Drain(name) = key else { return false };
        match self.entries.get(&StoredKey::new(Key::Endpoint(name.clone()))) {
            Some(entry) => match &entry.value {
                Value::Endpoint(_, record) => record.is_gone() && self.is_past_retention(entry, now),
                _ => self.count(Kind::Members) > 0,
            },
            None => self.count(Kind::Members) > 0,
        }
    }

    /// Removes all entries of the endpoint list and returns their number. Called when this director was
    /// disconnected, or its stored state has not been updated, for longer than tombstones are kept: other
    /// directors may have removed servers that it still lists. Purges and drains are kept, because a purge
    /// contains its time and a drain the start time of its process.
    pub fn forget_members(&mut self) -> usize {
        let members = self.entries.keys().filter(|stored_key| stored_key.key.kind() == Kind::Members);
        let members: Vec<StoredKey> = members.cloned().collect();
        members.iter().for_each(|stored_key| self.remove(stored_key));
        members.len()
    }
}
