//! Removal of entries that can no longer matter.

use super::{ClockReading, Entry, ReplicatedState, StoredKey};
use crate::replication::entry::{Key, Kind, Value};

impl ReplicatedState {
    /// Removes the entries that have expired, and returns their keys.
    pub fn expire(&mut self, now: ClockReading) -> Vec<Key> {
        let expired = self.entries.iter().filter(|(at, entry)| self.is_expired(&at.key, entry, now));
        let expired: Vec<StoredKey> = expired.map(|(at, _)| at.clone()).collect();
        expired.iter().for_each(|at| self.remove(at));
        expired.into_iter().map(|at| at.key).collect()
    }

    fn is_expired(&self, key: &Key, entry: &Entry, now: ClockReading) -> bool {
        match &entry.value {
            Value::Purged(at) => at.saturating_add(self.bounds.purge_retention) < now.unix,
            Value::Endpoint(_, record) => record.is_gone() && self.outlived_retention(entry, now),
            Value::Drain(_) => self.outlived_retention(entry, now) && self.is_server_gone(key, now),
        }
    }

    /// Whether an entry last changed longer ago than tombstones are kept.
    fn outlived_retention(&self, entry: &Entry, now: ClockReading) -> bool {
        now.monotonic.saturating_sub(entry.changed_at) > self.bounds.tombstone_retention
    }

    /// Whether the server of a drain has been gone for longer than tombstones are kept, or is not listed.
    /// Where no server is listed here the list may be at other directors, and the drain stays.
    fn is_server_gone(&self, key: &Key, now: ClockReading) -> bool {
        let Key::Drain(name) = key else { return false };
        match self.entries.get(&StoredKey::new(Key::Endpoint(name.clone()))) {
            Some(entry) => match &entry.value {
                Value::Endpoint(_, record) => record.is_gone() && self.outlived_retention(entry, now),
                _ => self.count(Kind::Members) > 0,
            },
            None => self.count(Kind::Members) > 0,
        }
    }

    /// Forgets the endpoint list, and returns how many entries that were. For a director that was away, or
    /// whose stored state is older, than tombstones are kept: others may have removed what it still lists.
    /// Purges carry their time and drains the process that they are about, so they stay.
    pub fn forget_members(&mut self) -> usize {
        let members = self.entries.keys().filter(|at| at.key.kind() == Kind::Members);
        let members: Vec<StoredKey> = members.cloned().collect();
        members.iter().for_each(|at| self.remove(at));
        members.len()
    }
}
