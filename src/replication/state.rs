//! All entries of one director: merged as they come, summed into the digest, bounded, and let go when they
//! can't matter any more.
//!
//! What may be let go, and why nothing comes back by it:
//!
//! | entry | let go | why it can't come back |
//! | --- | --- | --- |
//! | a purge | when its own time is over `purges_kept` old | it carries its time, by which all turn it down |
//! | words on a server | a horizon after it is gone | they name the process that ended |
//! | a gone server | a horizon after that was told | who was away so long forgets its list |
//!
//! Where room is short servers that are gone go first, the lowest number first (what is unknown and has no
//! higher number is turned down from then on). Purges, drains and servers that are there never go; new
//! entries are turned down then, counted and logged.

use super::digest::{leaf_index, stable_hash, DigestTree};
use super::entry::{
    encode, matches_kind, DrainRecord, EndpointRecord, Incarnation, Key, Kind, MergeOutcome, Value,
};
use crate::dispatch::membership::Endpoint;
use crate::policy::types::{MemberState, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// The longest name of an object or server, in bytes.
pub const MAX_NAME_BYTES: usize = 512;
/// Clocks of directors may differ by so much: a purge from further ahead is turned down.
pub const MAX_CLOCK_SKEW: Micros = 60_000_000;
/// Runs that have told of drains of one process of a server: with more an entry would not fit a message.
const MOST_RUNS: usize = 256;
/// What an entry costs beside its bytes: its place in the map, its time and sums.
const OVERHEAD: usize = 96;

/// How much is held, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Entries at most.
    pub entries: usize,
    /// Bytes of keys and words at most, with what the map needs for each.
    pub bytes: usize,
    /// A purge is kept for so long after its own time, in microseconds: no copy from before can be about
    /// then.
    pub purge_retention: Micros,
    /// Entries of what is gone are kept for so long (microseconds); who was away for longer forgets its list.
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

/// Why a copy was turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MergeError {
    /// The word is not of its key's kind, or a name is too long or empty.
    Malformed,
    /// A purge or a server's listing from beyond what is kept.
    Expired,
    /// A purge from further ahead than clocks may differ.
    FromFuture,
    /// There is no room, and nothing that may be let go for it.
    NoCapacity,
}

impl MergeError {
    /// Its name in operators' figures.
    pub fn name(self) -> &'static str {
        match self {
            MergeError::Malformed => "form",
            MergeError::Expired => "old",
            MergeError::FromFuture => "ahead",
            MergeError::NoCapacity => "full",
        }
    }
}

/// What is held of a key.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The word.
    pub value: Value,
    /// Its part of the digest.
    sum: u64,
    /// When it last changed here, by the steady clock.
    changed: Micros,
    size: usize,
}

/// The time, as the host reads it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// The steady clock, in microseconds.
    pub monotonic: Micros,
    /// Unix microseconds, which may be wrong and may step.
    pub unix: Micros,
}

/// A place in the map: the key's hash, then the key.
type At = (u64, Key);

/// All entries of one director.
#[derive(Debug)]
pub struct ReplicatedState {
    run: Incarnation,
    bounds: Bounds,
    entries: BTreeMap<At, Entry>,
    digest: DigestTree,
    bytes: usize,
    counts: [usize; Kind::ALL.len()],
    /// Gone servers up to this number may have been let go for want of room.
    let_go: u64,
}

fn place(key: &Key) -> u64 {
    stable_hash(&encode(key))
}

/// What digests compare of an entry; never 0.
fn sum(key: &Key, word: &Value) -> u64 {
    stable_hash(&encode(&(key, word))) | 1
}

impl ReplicatedState {
    /// With nothing.
    pub fn new(run: Incarnation, bounds: Bounds) -> ReplicatedState {
        let (entries, digest) = (BTreeMap::new(), DigestTree::default());
        ReplicatedState { run, bounds, entries, digest, bytes: 0, counts: [0; Kind::ALL.len()], let_go: 0 }
    }

    // ---- what this director is told itself ----

    /// A purge told here. None: nothing new.
    pub fn purge(
        &mut self,
        key: Key,
        at: Micros,
        now: ClockReading,
    ) -> Result<Option<(Key, Value)>, MergeError> {
        self.put(key, Value::Purged(at), now)
    }

    /// An operator's word told here: a server, by the process of it that is listed, drains or no longer does.
    pub fn set_drain(
        &mut self,
        name: &str,
        on: bool,
        now: ClockReading,
    ) -> Result<Option<(Key, Value)>, MergeError> {
        let since = match self.get(&Key::Endpoint(name.into())) {
            Some(Value::Endpoint(_, place)) => place.started_at,
            _ => 0,
        };
        let key = Key::Drain(name.into());
        let none = DrainRecord::default();
        let words = match self.get(&key) {
            Some(Value::Drain(words)) => words,
            _ => &none,
        };
        let words = if on { words.with_drain(self.run, since) } else { words.with_undrain(since) };
        self.put(key, Value::Drain(words), now)
    }

    /// An event of the list's source: what changed by it. A whole list ends all that stands in none as late.
    pub fn apply_member_update(
        &mut self,
        rev: u64,
        full: bool,
        members: &[Endpoint],
        now: ClockReading,
    ) -> Vec<(Key, Value)> {
        let mut news: Vec<(Key, Value)> = Vec::new();
        let named: BTreeSet<&str> = members.iter().map(|m| &*m.name).collect();
        let of =
            |m: &Endpoint| (Key::Endpoint(m.name.to_string()), Value::Endpoint(rev, EndpointRecord::of(m)));
        news.extend(members.iter().map(of));
        if full {
            let missing = self.entries.iter().filter_map(|((_, key), entry)| match (key, &entry.value) {
                (Key::Endpoint(name), Value::Endpoint(at, place))
                    if *at < rev && place.state != 2 && !named.contains(&**name) =>
                {
                    Some((key.clone(), Value::Endpoint(rev, EndpointRecord::gone())))
                }
                _ => None,
            });
            news.extend(missing.collect::<Vec<_>>());
        }
        // What finds no room is counted by who asks; the core has it from the source itself.
        news.into_iter().filter_map(|(key, word)| self.put(key, word, now).ok().flatten()).collect()
    }

    fn put(&mut self, key: Key, word: Value, now: ClockReading) -> Result<Option<(Key, Value)>, MergeError> {
        let merged = self.merge(&key, &word, now)?;
        let news = matches!(merged, MergeOutcome::Changed | MergeOutcome::Conflict { changed: true });
        Ok(news.then_some((key, word)))
    }

    // ---- copies ----

    /// Merges a copy in.
    pub fn merge(&mut self, key: &Key, word: &Value, now: ClockReading) -> Result<MergeOutcome, MergeError> {
        self.acceptable(key, word, now)?;
        let at = (place(key), key.clone());
        let Some(entry) = self.entries.get_mut(&at) else {
            self.room(key, word)?;
            self.insert(at, word.clone(), now);
            return Ok(MergeOutcome::Changed);
        };
        let mut merged = entry.value.clone();
        let what = merged.merge(word);
        let runs =
            |words: &DrainRecord| words.drains_by_incarnation.len().max(words.undrains_by_incarnation.len());
        if matches!(&merged, Value::Drain(words) if runs(words) > MOST_RUNS) {
            return Err(MergeError::NoCapacity);
        }
        if matches!(what, MergeOutcome::Changed | MergeOutcome::Conflict { changed: true }) {
            self.insert(at, merged, now);
        }
        Ok(what)
    }

    fn acceptable(&self, key: &Key, word: &Value, now: ClockReading) -> Result<(), MergeError> {
        let name = match key {
            Key::Object(name) | Key::Drain(name) | Key::Endpoint(name) => Some(name),
            Key::Group(_) => None,
        };
        if !matches_kind(key, word) || name.is_some_and(|n| n.is_empty() || n.len() > MAX_NAME_BYTES) {
            return Err(MergeError::Malformed);
        }
        let old = match word {
            Value::Purged(at) if *at > now.unix.saturating_add(MAX_CLOCK_SKEW) => {
                return Err(MergeError::FromFuture)
            }
            Value::Purged(at) => at.saturating_add(self.bounds.purge_retention) < now.unix,
            Value::Endpoint(rev, _) => *rev <= self.let_go && self.get(key).is_none(),
            Value::Drain(_) => false,
        };
        if old {
            return Err(MergeError::Expired);
        }
        Ok(())
    }

    /// Makes room for a new entry, where something may be let go for it.
    fn room(&mut self, key: &Key, word: &Value) -> Result<(), MergeError> {
        let size = encode(key).len() + encode(word).len() + OVERHEAD;
        while self.entries.len() + 1 > self.bounds.entries || self.bytes + size > self.bounds.bytes {
            // Looked for one by one: it happens only to a director whose bounds are too small.
            let gone = self.entries.iter().filter_map(|(at, e)| match &e.value {
                Value::Endpoint(rev, place) if place.state == 2 => Some((at.clone(), *rev)),
                _ => None,
            });
            let first = gone.min_by_key(|(_, rev)| *rev);
            let Some((at, rev)) = first else { return Err(MergeError::NoCapacity) };
            self.let_go = self.let_go.max(rev);
            self.remove(&at);
        }
        Ok(())
    }

    fn insert(&mut self, at: At, word: Value, now: ClockReading) {
        self.remove(&at);
        let size = encode(&at.1).len() + encode(&word).len() + OVERHEAD;
        let sum = sum(&at.1, &word);
        self.digest.replace_entry(at.0, 0, sum);
        self.bytes += size;
        self.counts[at.1.kind() as usize] += 1;
        self.entries.insert(at, Entry { value: word, sum, changed: now.monotonic, size });
    }

    fn remove(&mut self, at: &At) {
        if let Some(entry) = self.entries.remove(at) {
            self.digest.replace_entry(at.0, entry.sum, 0);
            self.bytes -= entry.size;
            self.counts[at.1.kind() as usize] -= 1;
        }
    }

    // ---- what ends ----

    /// Lets go what can't matter any more; what that was.
    pub fn expire(&mut self, now: ClockReading) -> Vec<Key> {
        let since = |e: &Entry| now.monotonic.saturating_sub(e.changed);
        let ended = |(at, e): (&At, &Entry)| {
            let over = match &e.value {
                Value::Purged(when) => when.saturating_add(self.bounds.purge_retention) < now.unix,
                Value::Endpoint(_, place) => place.state == 2 && since(e) > self.bounds.tombstone_retention,
                Value::Drain(_) => since(e) > self.bounds.tombstone_retention && self.long_gone(&at.1, now),
            };
            over.then(|| at.clone())
        };
        let ended: Vec<At> = self.entries.iter().filter_map(ended).collect();
        ended.iter().for_each(|at| self.remove(at));
        ended.into_iter().map(|at| at.1).collect()
    }

    /// Whether the server that an operator's words are about has been gone for a horizon, or is on no list.
    /// Where there is no list here it may be on another, and the words stay.
    fn long_gone(&self, key: &Key, now: ClockReading) -> bool {
        let Key::Drain(name) = key else { return false };
        let listed = Key::Endpoint(name.clone());
        match self.entries.get(&(place(&listed), listed)) {
            Some(Entry { value: Value::Endpoint(_, place), changed, .. }) => {
                place.state == 2 && now.monotonic.saturating_sub(*changed) > self.bounds.tombstone_retention
            }
            _ => self.count(Kind::Members) > 0,
        }
    }

    /// This director was away for longer than the horizon, or its memory is that old: the list that it had
    /// may hold what others have let go of. Purges carry their time and words the process they are about:
    /// they stay.
    pub fn forget_members(&mut self) -> usize {
        let forgotten = |at: &&At| at.1.kind() == Kind::Members;
        let old: Vec<At> = self.entries.keys().filter(forgotten).cloned().collect();
        old.iter().for_each(|at| self.remove(at));
        old.len()
    }

    // ---- what is held ----

    /// What is held of a key.
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.entries.get(&(place(key), key.clone())).map(|e| &e.value)
    }

    /// The run that this director is in.
    pub fn incarnation(&self) -> Incarnation {
        self.run
    }

    /// The bounds in force.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// The digest of all entries.
    pub fn digest(&self) -> &DigestTree {
        &self.digest
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes held, as [`Bounds::bytes`] counts them.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Entries of a kind.
    pub fn count(&self, kind: Kind) -> usize {
        self.counts[kind as usize]
    }

    /// Entries by their places.
    pub fn range(&self, places: RangeInclusive<u64>) -> impl Iterator<Item = (u64, &Key, &Value)> {
        let all = self.entries.range((*places.start(), Key::Object(String::new()))..);
        let within = all.take_while(move |(at, _)| places.contains(&at.0));
        within.map(|((place, key), entry)| (*place, key, &entry.value))
    }

    /// Places and sums of what digests compare within a range.
    pub fn entry_sums(&self, places: RangeInclusive<u64>) -> impl Iterator<Item = (u64, u64)> + '_ {
        let all = self.entries.range((*places.start(), Key::Object(String::new()))..);
        all.take_while(move |(at, _)| places.contains(&at.0)).map(|(at, e)| (at.0, e.sum))
    }

    /// All entries of a kind, by key.
    pub fn entries_of_kind(&self, kind: Kind) -> Vec<(&Key, &Value)> {
        let of_kind = self.entries.iter().filter(|(at, _)| at.1.kind() == kind);
        let mut all: Vec<_> = of_kind.map(|(at, e)| (&at.1, &e.value)).collect();
        all.sort_by(|a, b| a.0.cmp(b.0));
        all
    }

    /// Whether the server of this name is listed and not gone.
    pub fn endpoint_state(&self, name: &str) -> Option<MemberState> {
        match self.get(&Key::Endpoint(name.into())) {
            Some(Value::Endpoint(_, place)) => Some(place.to_endpoint(name).state),
            _ => None,
        }
    }
}

/// The places of a leaf.
pub fn leaf_key_hashes(number: u16) -> RangeInclusive<u64> {
    let first = u64::from(number) << 52;
    debug_assert_eq!(leaf_index(first), usize::from(number));
    first..=first | ((1 << 52) - 1)
}
