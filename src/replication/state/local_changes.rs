//! Changes made at this director: purges, operators' drains and events of the discovery source.

use super::{ClockReading, Entry, ListScope, MergeError, ReplicatedState, StoredKey};
use crate::dispatch::membership::Endpoint;
use crate::policy::types::Micros;
use crate::replication::entry::{DrainCommand, DrainRecord, EndpointRecord, Key, Value};
use std::collections::BTreeSet;

impl ReplicatedState {
    /// Purges a key as of a Unix time in microseconds. Returns the entry to publish, or `None` if nothing
    /// changed.
    pub fn purge(
        &mut self,
        key: Key,
        at: Micros,
        now: ClockReading,
    ) -> Result<Option<(Key, Value)>, MergeError> {
        self.put(key, Value::Purged(at), now)
    }

    /// Drains or undrains the process that is listed under a server's name. Returns the entry to publish, or
    /// `None` if nothing changed.
    pub fn set_drain(
        &mut self,
        name: &str,
        command: DrainCommand,
        now: ClockReading,
    ) -> Result<Option<(Key, Value)>, MergeError> {
        let started_at = match self.get(&Key::Endpoint(name.into())) {
            Some(Value::Endpoint(_, record)) => record.started_at,
            _ => 0,
        };
        let key = Key::Drain(name.into());
        let record = match self.get(&key) {
            Some(Value::Drain(record)) => record.with_command(command, self.incarnation, started_at),
            _ => DrainRecord::default().with_command(command, self.incarnation, started_at),
        };
        self.put(key, Value::Drain(record), now)
    }

    /// Applies an event of the discovery source with its revision, and returns the entries that changed. A
    /// full list sets a tombstone for each server that it does not contain, unless a later event described
    /// that server.
    pub fn apply_member_update(
        &mut self,
        revision: u64,
        scope: ListScope,
        members: &[Endpoint],
        now: ClockReading,
    ) -> Vec<(Key, Value)> {
        let entry = |member: &Endpoint| {
            let key = Key::Endpoint(member.name.to_string());
            (key, Value::Endpoint(revision, EndpointRecord::from(member)))
        };
        let mut updates: Vec<(Key, Value)> = members.iter().map(entry).collect();
        if scope == ListScope::Full {
            updates.extend(self.tombstones_for_missing(revision, members));
        }
        // Entries rejected for lack of capacity are not counted here: the dispatcher gets them from the
        // source directly.
        updates.into_iter().filter_map(|(key, value)| self.put(key, value, now).ok().flatten()).collect()
    }

    fn tombstones_for_missing(&self, revision: u64, members: &[Endpoint]) -> Vec<(Key, Value)> {
        let listed: BTreeSet<&str> = members.iter().map(|member| &*member.name).collect();
        let is_missing = |(stored_key, entry): &(&StoredKey, &Entry)| match (&stored_key.key, &entry.value) {
            (Key::Endpoint(name), Value::Endpoint(known, record)) => {
                *known < revision && !record.is_gone() && !listed.contains(&**name)
            }
            _ => false,
        };
        let missing = self.entries.iter().filter(is_missing);
        missing
            .map(|(stored_key, _)| {
                (stored_key.key.clone(), Value::Endpoint(revision, EndpointRecord::tombstone()))
            })
            .collect()
    }

    fn put(&mut self, key: Key, value: Value, now: ClockReading) -> Result<Option<(Key, Value)>, MergeError> {
        let outcome = self.merge(&key, &value, now)?;
        Ok(outcome.has_changed().then_some((key, value)))
    }
}
