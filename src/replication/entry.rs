//! What is replicated, and the rule for two copies that differ: one type a kind, one `merge` each.
//!
//! Every merge is commutative, associative and idempotent, so that the order in which copies come, and how
//! often, decides nothing; where two copies leave a doubt, the safer one wins (a drain, a later purge).

use crate::dispatch::membership::Endpoint;
use crate::policy::types::{MemberState, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One run of one director: drawn anew at each start, so that what a director said before it lost its memory
/// is never taken for what it says afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// What an entry is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// A purge of one object, by its name.
    Object(String),
    /// A purge of a group.
    Group(u32),
    /// Operators' words on whether a server drains, by its name.
    Drain(String),
    /// A server as the source of the list tells of it, by its name.
    Endpoint(String),
}

/// The kinds, as operators name them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// Purges of objects and groups.
    Purges,
    /// Operators' drains and undrains.
    Drains,
    /// The member list.
    Members,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 3] = [Kind::Purges, Kind::Drains, Kind::Members];

    /// Its name in commands and figures.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Purges => "purges",
            Kind::Drains => "drains",
            Kind::Members => "members",
        }
    }
}

impl Key {
    /// Its kind.
    pub fn kind(&self) -> Kind {
        match self {
            Key::Object(_) | Key::Group(_) => Kind::Purges,
            Key::Drain(_) => Kind::Drains,
            Key::Endpoint(_) => Kind::Members,
        }
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Key::Object(name) => write!(f, "object {name}"),
            Key::Group(group) => write!(f, "group {group}"),
            Key::Drain(name) | Key::Endpoint(name) => f.write_str(name),
        }
    }
}

/// Operators' words on one server. Each drain is a dot: a run and its number. An undrain takes back the dots
/// that it has heard of, no others: a drain told elsewhere in the same moment stays in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// The process that they are about, by its start (Unix microseconds; 0: not told). A later one stands
    /// above.
    pub started_at: Micros,
    /// The last drain that each run told.
    pub drains_by_incarnation: BTreeMap<Incarnation, u32>,
    /// The last of these that was taken back.
    pub undrains_by_incarnation: BTreeMap<Incarnation, u32>,
}

impl DrainRecord {
    /// Whether the server is to drain.
    pub fn is_draining(&self) -> bool {
        self.drains_by_incarnation.iter().any(|(run, n)| self.undrains_by_incarnation.get(run) < Some(n))
    }

    /// A drain told to this run, for the process that runs there now.
    pub fn with_drain(&self, run: Incarnation, since: Micros) -> DrainRecord {
        let mut words = self.of(since);
        let last = words
            .drains_by_incarnation
            .get(&run)
            .max(words.undrains_by_incarnation.get(&run))
            .copied()
            .unwrap_or(0);
        words.drains_by_incarnation.insert(run, last.saturating_add(1));
        words
    }

    /// All drains that are known here taken back.
    pub fn with_undrain(&self, since: Micros) -> DrainRecord {
        let mut words = self.of(since);
        words.undrains_by_incarnation.extend(words.drains_by_incarnation.iter().map(|(run, n)| (*run, *n)));
        words
    }

    /// These words if they are about that process or a later one, else none yet.
    fn of(&self, since: Micros) -> DrainRecord {
        if since > self.started_at {
            return DrainRecord { started_at: since, ..DrainRecord::default() };
        }
        self.clone()
    }

    fn merge(&mut self, other: &DrainRecord) {
        match self.started_at.cmp(&other.started_at) {
            std::cmp::Ordering::Less => *self = other.clone(),
            std::cmp::Ordering::Greater => {}
            std::cmp::Ordering::Equal => {
                for (mine, theirs) in [
                    (&mut self.drains_by_incarnation, &other.drains_by_incarnation),
                    (&mut self.undrains_by_incarnation, &other.undrains_by_incarnation),
                ] {
                    for (run, n) in theirs {
                        let known = mine.entry(*run).or_default();
                        *known = (*known).max(*n);
                    }
                }
            }
        }
    }
}

/// A server as the list has it, without its name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Where it listens.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Running (0), draining (1) or gone (2).
    pub state: u8,
    /// Its size; 0: not told.
    pub size: f64,
    /// Unix time of a late start in microseconds, or 0.
    pub started_at: Micros,
}

impl EndpointRecord {
    /// One that is gone: nothing else of it matters, and all directors write the same.
    pub fn gone() -> EndpointRecord {
        EndpointRecord { state: 2, ..EndpointRecord::default() }
    }

    /// Of a listing.
    pub fn of(listing: &Endpoint) -> EndpointRecord {
        if listing.state == MemberState::Gone {
            return EndpointRecord::gone();
        }
        EndpointRecord {
            address: listing.address.to_string(),
            zone: listing.zone.clone(),
            kind: listing.kind.clone(),
            cell: listing.cell,
            state: match listing.state {
                MemberState::Running => 0,
                MemberState::Draining => 1,
                MemberState::Gone => 2,
            },
            size: listing.size,
            started_at: listing.started_at,
        }
    }

    /// As the core takes it.
    pub fn to_endpoint(&self, name: &str) -> Endpoint {
        Endpoint {
            name: name.into(),
            address: self.address.as_str().into(),
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            state: match self.state {
                0 => MemberState::Running,
                1 => MemberState::Draining,
                _ => MemberState::Gone,
            },
            size: self.size,
            started_at: self.started_at,
        }
    }
}

/// What is held of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// Copies older than this Unix time (microseconds) are not to be served; the later wins.
    Purged(Micros),
    /// Operators' words on a server.
    Drain(DrainRecord),
    /// What the source says, by the number of its event; the later number wins.
    Endpoint(u64, EndpointRecord),
}

/// What came of a copy that was merged in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing new.
    Unchanged,
    /// What is held is another now.
    Changed,
    /// Two copies of one version differ, which no director makes: the greater by its bytes is kept, so that
    /// all keep the same, and it is to be told.
    Conflict {
        /// Whether the copy that came is the one kept.
        changed: bool,
    },
}

impl Value {
    /// Merges a copy of the same key in. A copy of another kind than the key's is refused before
    /// ([`matches_kind`]).
    pub fn merge(&mut self, other: &Value) -> MergeOutcome {
        let before = self.clone();
        match (&mut *self, other) {
            (Value::Purged(at), Value::Purged(other)) => *at = (*at).max(*other),
            (Value::Drain(words), Value::Drain(other)) => words.merge(other),
            (Value::Endpoint(rev, place), Value::Endpoint(other_rev, other_place)) => {
                if rev == other_rev && place != other_place {
                    let changed = encode(other) > encode(&before);
                    if changed {
                        *place = other_place.clone();
                    }
                    return MergeOutcome::Conflict { changed };
                }
                if other_rev > rev {
                    (*rev, *place) = (*other_rev, other_place.clone());
                }
            }
            _ => {}
        }
        if *self == before {
            MergeOutcome::Unchanged
        } else {
            MergeOutcome::Changed
        }
    }
}

/// Whether a word is of its key's kind.
pub fn matches_kind(key: &Key, word: &Value) -> bool {
    matches!(
        (key, word),
        (Key::Object(_) | Key::Group(_), Value::Purged(_))
            | (Key::Drain(_), Value::Drain(_))
            | (Key::Endpoint(_), Value::Endpoint(..))
    )
}

/// The form in which it is sent and kept; also what digests go by.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Into memory, of types that have a form: there is nothing that could fail.
    postcard::to_stdvec(value).unwrap_or_default()
}
