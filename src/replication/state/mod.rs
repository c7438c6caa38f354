//! The replicated entries of one director. Received entries are merged, added to the digest tree and removed
//! when they expire; [`Bounds`] limit their number and size.
//!
//! Expired entries are not restored by copies from other directors:
//!
//! | entry | expires | why it is not restored |
//! | --- | --- | --- |
//! | purge | [`Bounds::purge_retention`] after its time | it contains its time, so all directors reject it |
//! | drain | [`Bounds::tombstone_retention`] after the server is gone | its process has ended |
//! | tombstone | [`Bounds::tombstone_retention`] after it was set | a longer absence discards the list |
//!
//! If the state is full, tombstones are evicted, those with the lowest revision first. From then on an
//! unlisted server is rejected unless its revision is higher than that of every evicted tombstone. Purges,
//! drains and listed servers are never evicted: new entries are rejected instead, counted and logged.

mod bounds;
mod expiry;
mod local_changes;

pub use bounds::{Bounds, MergeError, MAX_CLOCK_SKEW, MAX_NAME_BYTES};

use super::digest::{leaf_index, stable_hash, DigestTree, EntrySum};
use super::entry::{encode, matches_kind, Incarnation, Key, Kind, MergeOutcome, Value};
use crate::policy::types::{MemberState, Micros};
use bounds::{ENTRY_OVERHEAD_BYTES, MAX_DRAIN_INCARNATIONS};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// A reading of both clocks, passed in by the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time in microseconds.
    pub monotonic: Micros,
    /// Unix time in microseconds. It may be wrong, and it may jump.
    pub unix: Micros,
}

/// The scope of an endpoint list: complete or incremental.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The list contains all endpoints; a server that is not in it is gone.
    Full,
    /// The list contains only endpoints that changed.
    Incremental,
}

/// A borrowed entry of the state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryRef<'a> {
    /// The hash of the key, by which entries are ordered.
    pub key_hash: u64,
    /// The key, from which `key_hash` is computed.
    pub key: &'a Key,
    /// The value, of the kind that the key requires.
    pub value: &'a Value,
}

/// A value with its metadata.
#[derive(Clone, Debug)]
struct Entry {
    value: Value,
    /// The hash of the key and value, which the digest tree includes.
    sum: u64,
    /// Monotonic time of the last change at this director.
    changed_at: Micros,
    /// The size in bytes, as defined by [`Bounds::bytes`].
    size: usize,
}

/// A key of the map, ordered by its hash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StoredKey {
    hash: u64,
    key: Key,
}

impl StoredKey {
    fn new(key: Key) -> StoredKey {
        StoredKey { hash: stable_hash(&encode(&key)), key }
    }

    /// Returns the lowest key that can have this hash.
    fn first_of(hash: u64) -> StoredKey {
        StoredKey { hash, key: Key::Object(String::new()) }
    }
}

/// The replicated entries of one director.
#[derive(Debug)]
pub struct ReplicatedState {
    incarnation: Incarnation,
    bounds: Bounds,
    entries: BTreeMap<StoredKey, Entry>,
    digest: DigestTree,
    bytes: usize,
    /// The number of entries of each kind.
    counts: [usize; Kind::ALL.len()],
    /// The highest revision of an evicted tombstone.
    evicted_revision: u64,
}

/// Returns the hash of an entry for the digest tree. It is never 0, which means "no entry" there.
fn entry_sum(key: &Key, value: &Value) -> u64 {
    stable_hash(&encode(&(key, value))) | 1
}

fn entry_size(key: &Key, value: &Value) -> usize {
    encode(key).len() + encode(value).len() + ENTRY_OVERHEAD_BYTES
}

impl ReplicatedState {
    /// Creates an empty state for the director of this incarnation.
    pub fn new(incarnation: Incarnation, bounds: Bounds) -> ReplicatedState {
        ReplicatedState {
            incarnation,
            bounds,
            entries: BTreeMap::new(),
            digest: DigestTree::default(),
            bytes: 0,
            counts: [0; Kind::ALL.len()],
            evicted_revision: 0,
        }
    }
}

// ---- merging ----

impl ReplicatedState {
    /// Merges a copy of an entry into the state, or rejects it.
    pub fn merge(&mut self, key: &Key, value: &Value, now: ClockReading) -> Result<MergeOutcome, MergeError> {
        self.validate(key, value, now)?;
        let stored_key = StoredKey::new(key.clone());
        let Some(entry) = self.entries.get(&stored_key) else {
            self.make_room(entry_size(key, value))?;
            self.insert(stored_key, value.clone(), now);
            return Ok(MergeOutcome::Changed);
        };
        let mut merged = entry.value.clone();
        let outcome = merged.merge(value);
        if matches!(&merged, Value::Drain(record) if record.incarnation_count() > MAX_DRAIN_INCARNATIONS) {
            return Err(MergeError::NoCapacity);
        }
        if outcome.has_changed() {
            self.insert(stored_key, merged, now);
        }
        Ok(outcome)
    }

    fn validate(&self, key: &Key, value: &Value, now: ClockReading) -> Result<(), MergeError> {
        let is_invalid = |name: &str| name.is_empty() || name.len() > MAX_NAME_BYTES;
        if !matches_kind(key, value) || key.name().is_some_and(is_invalid) {
            return Err(MergeError::Malformed);
        }
        let is_expired = match value {
            Value::Purged(at) if *at > now.unix.saturating_add(MAX_CLOCK_SKEW) => {
                return Err(MergeError::FromFuture)
            }
            Value::Purged(at) => at.saturating_add(self.bounds.purge_retention) < now.unix,
            Value::Endpoint(revision, _) => *revision <= self.evicted_revision && self.get(key).is_none(),
            Value::Drain(_) => false,
        };
        if is_expired {
            return Err(MergeError::Expired);
        }
        Ok(())
    }

    /// Evicts tombstones until a new entry of this size (in bytes) fits.
    fn make_room(&mut self, size: usize) -> Result<(), MergeError> {
        while self.entries.len() + 1 > self.bounds.entries || self.bytes + size > self.bounds.bytes {
            // A linear search is sufficient: it runs only if the bounds of a director are too small.
            let tombstones = self.entries.iter().filter_map(|(stored_key, entry)| match &entry.value {
                Value::Endpoint(revision, record) if record.is_gone() => Some((stored_key, *revision)),
                _ => None,
            });
            let oldest = tombstones.min_by_key(|(_, revision)| *revision);
            let (stored_key, revision) = oldest.ok_or(MergeError::NoCapacity)?;
            let stored_key = stored_key.clone();
            self.evicted_revision = self.evicted_revision.max(revision);
            self.remove(&stored_key);
        }
        Ok(())
    }

    fn insert(&mut self, stored_key: StoredKey, value: Value, now: ClockReading) {
        self.remove(&stored_key);
        let (size, sum) = (entry_size(&stored_key.key, &value), entry_sum(&stored_key.key, &value));
        self.digest.replace_entry(stored_key.hash, 0, sum);
        self.bytes += size;
        self.counts[stored_key.key.kind() as usize] += 1;
        self.entries.insert(stored_key, Entry { value, sum, changed_at: now.monotonic, size });
    }

    fn remove(&mut self, stored_key: &StoredKey) {
        if let Some(entry) = self.entries.remove(stored_key) {
            self.digest.replace_entry(stored_key.hash, entry.sum, 0);
            self.bytes -= entry.size;
            self.counts[stored_key.key.kind() as usize] -= 1;
        }
    }
}

// ---- reading ----

impl ReplicatedState {
    /// Returns the value stored for a key.
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.entries.get(&StoredKey::new(key.clone())).map(|entry| &entry.value)
    }

    /// Returns the incarnation of this director.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the bounds that this state was created with.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Returns the digest tree over all entries.
    pub fn digest(&self) -> &DigestTree {
        &self.digest
    }

    /// Returns the number of entries of all kinds.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the state has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of all entries in bytes, as defined by [`Bounds::bytes`].
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of entries of one kind, tombstones included.
    pub fn count(&self, kind: Kind) -> usize {
        self.counts[kind as usize]
    }

    /// Iterates over the entries within a range of key hashes, in ascending order of the hashes.
    pub fn range(&self, key_hashes: RangeInclusive<u64>) -> impl Iterator<Item = EntryRef<'_>> {
        self.stored_range(key_hashes).map(|(stored_key, entry)| EntryRef {
            key_hash: stored_key.hash,
            key: &stored_key.key,
            value: &entry.value,
        })
    }

    /// Iterates over the entries whose key hashes are within a range, in ascending order of key hash, and
    /// returns the key hash and the digest hash of each.
    pub fn entry_sums(&self, key_hashes: RangeInclusive<u64>) -> impl Iterator<Item = EntrySum> + '_ {
        self.stored_range(key_hashes)
            .map(|(stored_key, entry)| EntrySum { key_hash: stored_key.hash, sum: entry.sum })
    }

    fn stored_range(&self, key_hashes: RangeInclusive<u64>) -> impl Iterator<Item = (&StoredKey, &Entry)> {
        let from_first = self.entries.range(StoredKey::first_of(*key_hashes.start())..);
        from_first.take_while(move |(stored_key, _)| key_hashes.contains(&stored_key.hash))
    }

    /// Returns all entries of one kind, sorted by key.
    pub fn entries_of_kind(&self, kind: Kind) -> Vec<(&Key, &Value)> {
        let of_kind = self.entries.iter().filter(|(stored_key, _)| stored_key.key.kind() == kind);
        let mut entries: Vec<_> =
            of_kind.map(|(stored_key, entry)| (&stored_key.key, &entry.value)).collect();
        entries.sort_by(|a, b| a.0.cmp(b.0));
        entries
    }

    /// Returns the lifecycle state of a server, or `None` if the state has no entry for it.
    pub fn endpoint_state(&self, name: &str) -> Option<MemberState> {
        match self.get(&Key::Endpoint(name.into())) {
            Some(Value::Endpoint(_, record)) => Some(record.state.into()),
            _ => None,
        }
    }
}

/// Returns the range of key hashes that a leaf of the digest tree covers.
pub fn leaf_key_hashes(index: u16) -> RangeInclusive<u64> {
    let first = u64::from(index) << 52;
    debug_assert_eq!(leaf_index(first), usize::from(index));
    first..=first | ((1 << 52) - 1)
}
