//! Replicated entries: keys, values, and the merge of two copies of a value.
//!
//! Every merge is commutative, associative and idempotent, so neither the order of deliveries nor their
//! number matters. Where two copies contradict each other, the safer one wins (a drain, a later purge).

mod drain_record;
mod endpoint_record;

pub use crate::dispatch::membership::DrainCommand;
pub use drain_record::{DrainRecord, Incarnation};
pub use endpoint_record::{EndpointRecord, EndpointState};

use crate::policy::types::Micros;
use serde::{Deserialize, Serialize};

/// The key of a replicated entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// A purge of one object, by the object's name.
    Object(String),
    /// A purge of a group of objects, by the group's number.
    Group(u32),
    /// Operators' drains of a server, by the server's name.
    Drain(String),
    /// A server of the endpoint list, by the server's name.
    Endpoint(String),
}

/// The kind of a replicated entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// Purges of objects and groups.
    Purges,
    /// Operators' drains and undrains.
    Drains,
    /// The endpoint list.
    Members,
}

impl Kind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Kind; 3] = [Kind::Purges, Kind::Drains, Kind::Members];

    /// Returns the name of the kind in operators' commands and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Purges => "purges",
            Kind::Drains => "drains",
            Kind::Members => "members",
        }
    }
}

impl Key {
    /// Returns the kind of entry that this key belongs to.
    pub fn kind(&self) -> Kind {
        match self {
            Key::Object(_) | Key::Group(_) => Kind::Purges,
            Key::Drain(_) => Kind::Drains,
            Key::Endpoint(_) => Kind::Members,
        }
    }

    /// Returns the name of the object or server, or `None` if the key is a group number.
    pub(super) fn name(&self) -> Option<&str> {
        match self {
            Key::Object(name) | Key::Drain(name) | Key::Endpoint(name) => Some(name),
            Key::Group(_) => None,
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

/// The value of a replicated entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// Cached copies older than this Unix time (microseconds) must not be served. The later time wins.
    Purged(Micros),
    /// Operators' drains and undrains of a server.
    Drain(DrainRecord),
    /// The revision of a discovery event, and the server as that event described it. The later revision wins.
    Endpoint(u64, EndpointRecord),
}

/// The outcome of merging a received copy into a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The copy contained nothing new.
    Unchanged,
    /// The value has changed.
    Changed,
    /// Two copies of the same revision differ, which no correct director causes. All directors keep the copy
    /// whose encoding is greater, so that they agree, and report the conflict.
    Conflict {
        /// Whether the merge changed the value.
        changed: bool,
    },
}

impl MergeOutcome {
    /// Returns whether the merge changed the value.
    pub fn has_changed(self) -> bool {
        matches!(self, MergeOutcome::Changed | MergeOutcome::Conflict { changed: true })
    }
}

impl Value {
    /// Merges a copy of the value for the same key. The caller has already rejected values that don't match
    /// the kind of their key ([`matches_kind`]).
    pub fn merge(&mut self, other: &Value) -> MergeOutcome {
        let before = self.clone();
        match (&mut *self, other) {
            (Value::Purged(at), Value::Purged(other)) => *at = (*at).max(*other),
            (Value::Drain(record), Value::Drain(other)) => record.merge(other),
            (Value::Endpoint(revision, record), Value::Endpoint(other_revision, other_record)) => {
                if revision == other_revision && record != other_record {
                    let changed = encode(other) > encode(&before);
                    if changed {
                        *record = other_record.clone();
                    }
                    return MergeOutcome::Conflict { changed };
                }
                if other_revision > revision {
                    (*revision, *record) = (*other_revision, other_record.clone());
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

/// Returns whether the kind of a value matches that of its key.
pub fn matches_kind(key: &Key, value: &Value) -> bool {
    matches!(
        (key, value),
        (Key::Object(_) | Key::Group(_), Value::Purged(_))
            | (Key::Drain(_), Value::Drain(_))
            | (Key::Endpoint(_), Value::Endpoint(..))
    )
}

/// Encodes a value with postcard. This encoding is sent, stored and hashed for digests.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialising this crate's types to memory cannot fail.
    postcard::to_stdvec(value).unwrap_or_default()
}
