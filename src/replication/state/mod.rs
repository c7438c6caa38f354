//! All entries of one director: merged as they arrive, summed into the digest tree, bounded, and removed when
//! they can no longer matter.
//!
//! What is removed, and why it does not come back:
//!
//! | entry | removed | why it does not come back |
//! | --- | --- | --- |
//! | purge | its own time is [`Bounds::purge_retention`] ago | it carries its time: all directors reject it |
//! | drain | a tombstone retention after the server is gone | it names the process that ended |
//! | tombstone | a tombstone retention after it was set | who was away for longer forgets its list |
//!
//! Where there is no capacity tombstones are evicted, the lowest revision first; a server that is not known
//! and has no higher revision is rejected from then on. Purges, drains and servers that are listed are never
//! evicted: new entries are rejected instead, counted and logged.

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

/// The time, as the host reads it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// The monotonic clock, in microseconds.
    pub monotonic: Micros,
    /// Unix time in microseconds, which may be wrong and may step.
    pub unix: Micros,
}

/// Whether a list of endpoints is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All endpoints: those that are missing are gone.
    Full,
    /// Only endpoints that changed.
    Incremental,
}

/// An entry of the state, borrowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryRef<'a> {
    /// The hash of the key, by which entries are ordered.
    pub key_hash: u64,
    /// The key.
    pub key: &'a Key,
    /// The value.
    pub value: &'a Value,
}

/// A value with what is kept beside it.
#[derive(Clone, Debug)]
struct Entry {
    value: Value,
    /// Its part of the digest.
    sum: u64,
    /// When it last changed here, by the monotonic clock.
    changed_at: Micros,
    /// Its size by [`Bounds::bytes`].
    size: usize,
}

/// A key in the map, ordered by its hash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StoredKey {
    hash: u64,
    key: Key,
}

impl StoredKey {
    fn new(key: Key) -> StoredKey {
        StoredKey { hash: stable_hash(&encode(&key)), key }
    }

    /// The least key of a hash.
    fn first_of(hash: u64) -> StoredKey {
        StoredKey { hash, key: Key::Object(String::new()) }
    }
}

/// All entries of one director.
#[derive(Debug)]
pub struct ReplicatedState {
    incarnation: Incarnation,
    bounds: Bounds,
    entries: BTreeMap<StoredKey, Entry>,
    digest: DigestTree,
    bytes: usize,
    /// Entries by kind.
    counts: [usize; Kind::ALL.len()],
    /// Tombstones up to this revision may have been evicted.
    evicted_revision: u64,
}

/// The part of an entry in the digest; never 0, which stands for no entry.
fn entry_sum(key: &Key, value: &Value) -> u64 {
    stable_hash(&encode(&(key, value))) | 1
}

fn entry_size(key: &Key, value: &Value) -> usize {
    encode(key).len() + encode(value).len() + ENTRY_OVERHEAD_BYTES
}

impl ReplicatedState {
    /// An empty state.
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
    /// Merges a copy of an entry.
    pub fn merge(&mut self, key: &Key, value: &Value, now: ClockReading) -> Result<MergeOutcome, MergeError> {
        self.validate(key, value, now)?;
        let at = StoredKey::new(key.clone());
        let Some(entry) = self.entries.get(&at) else {
            self.make_room(entry_size(key, value))?;
            self.insert(at, value.clone(), now);
            return Ok(MergeOutcome::Changed);
        };
        let mut merged = entry.value.clone();
        let outcome = merged.merge(value);
        if matches!(&merged, Value::Drain(record) if record.incarnation_count() > MAX_DRAIN_INCARNATIONS) {
            return Err(MergeError::NoCapacity);
        }
        if outcome.has_changed() {
            self.insert(at, merged, now);
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

    /// Evicts tombstones until a new entry of this size fits.
    fn make_room(&mut self, size: usize) -> Result<(), MergeError> {
        while self.entries.len() + 1 > self.bounds.entries || self.bytes + size > self.bounds.bytes {
            // A linear search: it happens only to a director whose bounds are too small.
            let tombstones = self.entries.iter().filter_map(|(at, entry)| match &entry.value {
                Value::Endpoint(revision, record) if record.is_gone() => Some((at, *revision)),
                _ => None,
            });
            let oldest = tombstones.min_by_key(|(_, revision)| *revision);
            let (at, revision) = oldest.ok_or(MergeError::NoCapacity)?;
            let at = at.clone();
            self.evicted_revision = self.evicted_revision.max(revision);
            self.remove(&at);
        }
        Ok(())
    }

    fn insert(&mut self, at: StoredKey, value: Value, now: ClockReading) {
        self.remove(&at);
        let (size, sum) = (entry_size(&at.key, &value), entry_sum(&at.key, &value));
        self.digest.replace_entry(at.hash, 0, sum);
        self.bytes += size;
        self.counts[at.key.kind() as usize] += 1;
        self.entries.insert(at, Entry { value, sum, changed_at: now.monotonic, size });
    }

    fn remove(&mut self, at: &StoredKey) {
        if let Some(entry) = self.entries.remove(at) {
            self.digest.replace_entry(at.hash, entry.sum, 0);
            self.bytes -= entry.size;
            self.counts[at.key.kind() as usize] -= 1;
        }
    }
}

// ---- reading ----

impl ReplicatedState {
    /// The value of a key.
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.entries.get(&StoredKey::new(key.clone())).map(|entry| &entry.value)
    }

    /// The incarnation of this director.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The bounds in force.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// The digest of all entries.
    pub fn digest(&self) -> &DigestTree {
        &self.digest
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The size of all entries, as [`Bounds::bytes`] counts it.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The number of entries of a kind.
    pub fn count(&self, kind: Kind) -> usize {
        self.counts[kind as usize]
    }

    /// Entries by the hash of their keys.
    pub fn range(&self, key_hashes: RangeInclusive<u64>) -> impl Iterator<Item = EntryRef<'_>> {
        self.stored_range(key_hashes).map(|(at, entry)| EntryRef {
            key_hash: at.hash,
            key: &at.key,
            value: &entry.value,
        })
    }

    /// The parts of entries in the digest, by the hash of their keys.
    pub fn entry_sums(&self, key_hashes: RangeInclusive<u64>) -> impl Iterator<Item = EntrySum> + '_ {
        self.stored_range(key_hashes).map(|(at, entry)| EntrySum { key_hash: at.hash, sum: entry.sum })
    }

    fn stored_range(&self, key_hashes: RangeInclusive<u64>) -> impl Iterator<Item = (&StoredKey, &Entry)> {
        let from_first = self.entries.range(StoredKey::first_of(*key_hashes.start())..);
        from_first.take_while(move |(at, _)| key_hashes.contains(&at.hash))
    }

    /// All entries of a kind, ordered by key.
    pub fn entries_of_kind(&self, kind: Kind) -> Vec<(&Key, &Value)> {
        let of_kind = self.entries.iter().filter(|(at, _)| at.key.kind() == kind);
        let mut entries: Vec<_> = of_kind.map(|(at, entry)| (&at.key, &entry.value)).collect();
        entries.sort_by(|a, b| a.0.cmp(b.0));
        entries
    }

    /// The state of the server of this name; none: it is not listed.
    pub fn endpoint_state(&self, name: &str) -> Option<MemberState> {
        match self.get(&Key::Endpoint(name.into())) {
            Some(Value::Endpoint(_, record)) => Some(record.state.into()),
            _ => None,
        }
    }
}

/// The key hashes of a leaf of the digest tree.
pub fn leaf_key_hashes(index: u16) -> RangeInclusive<u64> {
    let first = u64::from(index) << 52;
    debug_assert_eq!(leaf_index(first), usize::from(index));
    first..=first | ((1 << 52) - 1)
}
