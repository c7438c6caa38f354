//! What is replicated: keys, values, and the merge of two copies of a value.
//!
//! Every merge is commutative, associative and idempotent, so the order in which copies arrive, and how
//! often, makes no difference. Where two copies leave a doubt the safer one wins (a drain, a later purge).

mod drain_record;
mod endpoint_record;

pub use crate::dispatch::membership::DrainCommand;
pub use drain_record::{DrainRecord, Incarnation};
pub use endpoint_record::{EndpointRecord, EndpointState};

use crate::policy::types::Micros;
use serde::{Deserialize, Serialize};

/// What an entry is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// A purge of one object, by its name.
    Object(String),
    /// A purge of a group.
    Group(u32),
    /// Operators' drains of a server, by its name.
    Drain(String),
    /// A server of the endpoint list, by its name.
    Endpoint(String),
}

/// The kinds of entries.
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
    /// All of them.
    pub const ALL: [Kind; 3] = [Kind::Purges, Kind::Drains, Kind::Members];

    /// Its name in operators' commands and metrics.
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

    /// The name in it; none: it is a number.
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

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// Copies older than this Unix time (microseconds) are not to be served; the later time wins.
    Purged(Micros),
    /// Operators' drains and undrains of a server.
    Drain(DrainRecord),
    /// A server, by the revision of the discovery event that described it; the later revision wins.
    Endpoint(u64, EndpointRecord),
}

/// The outcome of merging a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The copy holds nothing new.
    Unchanged,
    /// The value has changed.
    Changed,
    /// Two copies of one version differ, which no correct director causes. The greater one by its encoding is
    /// kept, so that all directors keep the same, and the conflict is reported.
    Conflict {
        /// Whether the value has changed.
        changed: bool,
    },
}

impl MergeOutcome {
    /// Whether the value has changed.
    pub fn has_changed(self) -> bool {
        matches!(self, MergeOutcome::Changed | MergeOutcome::Conflict { changed: true })
    }
}

impl Value {
    /// Merges a copy of the same key. A copy that is not of the key's kind is rejected before
    /// ([`matches_kind`]).
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

/// Whether a value is of its key's kind.
pub fn matches_kind(key: &Key, value: &Value) -> bool {
    matches!(
        (key, value),
        (Key::Object(_) | Key::Group(_), Value::Purged(_))
            | (Key::Drain(_), Value::Drain(_))
            | (Key::Endpoint(_), Value::Endpoint(..))
    )
}

/// The encoding that is sent, stored and hashed for digests (postcard).
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // The types of this crate are serialised to memory, which cannot fail.
    postcard::to_stdvec(value).unwrap_or_default()
}
