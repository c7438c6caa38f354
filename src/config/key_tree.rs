//! The keys of a configuration file, compared with those of the file that replaces it.
//!
//! A file that was truncated or assembled wrongly can still be valid JSON, and a setting that is absent from
//! it would silently get its default value. The new file must therefore have every key of the current one:
//!
//! - An object must have the keys that the object at the same place has.
//! - An entry of a list must have the keys of the current entry with the same identity. An entry that the
//!   current list does not contain must have the keys that all of the current entries have. Entries may be
//!   added, removed and reordered.
//!
//! [`KeyRules`] names the keys that identify entries, and the exceptions.

use miniserde::json::{Number, Value};
use std::collections::BTreeMap;

/// The keys of a file that have a special meaning in a comparison. Those that are given with their place are
/// written like `settings.services[].worth`.
pub(super) struct KeyRules {
    /// Names of the keys that identify an entry of a list. The first that an entry has identifies it.
    pub(super) identities: &'static [&'static str],
    /// Places of keys that may be absent.
    pub(super) optional: &'static [&'static str],
    /// Places of keys of which an entry has only some, depending on its kind.
    pub(super) alternatives: &'static [&'static str],
}

/// The keys of a JSON value and of the objects nested in it. A key with the value null counts as absent.
#[derive(Clone, Debug)]
pub(super) enum KeyTree {
    /// A value that has no keys.
    Scalar,
    /// An object, by key.
    Object(BTreeMap<String, KeyTree>),
    /// The objects in a list. Its other elements are left out.
    List(Vec<ListEntry>),
}

/// An object in a list.
#[derive(Clone, Debug)]
pub(super) struct ListEntry {
    identity: Option<String>,
    keys: KeyTree,
}

/// Whether two objects that are compared describe the same thing.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Relation {
    SameEntry,
    AddedEntry,
}

/// The place of a value in the file.
struct Location {
    /// The path for error messages, such as `settings.services[guide-videos].worth`.
    path: String,
    /// The path without identities, such as `settings.services[].worth`.
    pattern: String,
}

impl Location {
    fn root() -> Location {
        Location { path: String::new(), pattern: String::new() }
    }

    fn key(&self, name: &str) -> Location {
        Location { path: join(&self.path, name), pattern: join(&self.pattern, name) }
    }

    fn entry(&self, entry: &ListEntry) -> Location {
        let identity = entry.identity.as_deref().unwrap_or_default();
        Location { path: format!("{}[{identity}]", self.path), pattern: format!("{}[]", self.pattern) }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

impl KeyTree {
    /// Collects the keys of a value.
    pub(super) fn new(value: &Value, rules: &KeyRules) -> KeyTree {
        match value {
            Value::Object(object) => {
                let present = object.iter().filter(|(_, value)| !matches!(value, Value::Null));
                KeyTree::Object(
                    present.map(|(name, value)| (name.clone(), KeyTree::new(value, rules))).collect(),
                )
            }
            Value::Array(list) => {
                let objects = list.iter().filter(|value| matches!(value, Value::Object(_)));
                KeyTree::List(objects.map(|object| ListEntry::new(object, rules)).collect())
            }
            _ => KeyTree::Scalar,
        }
    }

    /// Returns the path of the first key that is in this tree and has to be in `new`, but is not.
    pub(super) fn first_missing_in(&self, new: &KeyTree, rules: &KeyRules) -> Option<String> {
        rules.first_missing(self, new, &Location::root(), Relation::SameEntry)
    }
}

impl ListEntry {
    fn new(value: &Value, rules: &KeyRules) -> ListEntry {
        ListEntry { identity: rules.identity(value), keys: KeyTree::new(value, rules) }
    }
}

impl KeyRules {
    /// Returns the value of the first key that identifies an entry.
    fn identity(&self, value: &Value) -> Option<String> {
        let Value::Object(object) = value else { return None };
        match self.identities.iter().find_map(|key| object.get(*key))? {
            Value::String(text) => Some(text.clone()),
            Value::Number(Number::U64(number)) => Some(number.to_string()),
            _ => None,
        }
    }

    fn may_be_absent(&self, pattern: &str, relation: Relation) -> bool {
        let is_alternative = relation == Relation::AddedEntry && self.alternatives.contains(&pattern);
        self.optional.contains(&pattern) || is_alternative
    }

    fn first_missing(
        &self,
        current: &KeyTree,
        new: &KeyTree,
        location: &Location,
        relation: Relation,
    ) -> Option<String> {
        match current {
            KeyTree::Scalar => None,
            KeyTree::Object(keys) => {
                keys.iter().find_map(|(name, keys)| self.missing_at_key(name, keys, new, location, relation))
            }
            KeyTree::List(entries) => self.missing_in_list(entries, new, location, relation),
        }
    }

    fn missing_at_key(
        &self,
        name: &str,
        current: &KeyTree,
        new: &KeyTree,
        location: &Location,
        relation: Relation,
    ) -> Option<String> {
        let location = location.key(name);
        let found = match new {
            KeyTree::Object(keys) => keys.get(name),
            _ => None,
        };
        match found {
            Some(new) => self.first_missing(current, new, &location, relation),
            None if self.may_be_absent(&location.pattern, relation) => None,
            None => Some(location.path),
        }
    }

    fn missing_in_list(
        &self,
        current: &[ListEntry],
        new: &KeyTree,
        location: &Location,
        relation: Relation,
    ) -> Option<String> {
        let KeyTree::List(new) = new else { return None };
        let common = self.common_keys(current, &format!("{}[]", location.pattern));
        new.iter().find_map(|entry| {
            let same = current.iter().find(|it| it.identity.is_some() && it.identity == entry.identity);
            let location = location.entry(entry);
            match (same, &common) {
                (Some(same), _) => self.first_missing(&same.keys, &entry.keys, &location, relation),
                (None, Some(common)) => {
                    self.first_missing(common, &entry.keys, &location, Relation::AddedEntry)
                }
                (None, None) => None,
            }
        })
    }

    /// Returns the keys that all entries have, and the alternative keys that any has; `None` if there is no
    /// entry.
    fn common_keys(&self, entries: &[ListEntry], pattern: &str) -> Option<KeyTree> {
        let trees = entries.iter().map(|entry| entry.keys.clone());
        trees.reduce(|common, keys| self.intersection(common, keys, pattern))
    }

    fn intersection(&self, one: KeyTree, other: KeyTree, pattern: &str) -> KeyTree {
        match (one, other) {
            (KeyTree::Object(one), KeyTree::Object(other)) => {
                KeyTree::Object(self.shared_keys(one, other, pattern))
            }
            (KeyTree::List(mut one), KeyTree::List(other)) => {
                one.extend(other);
                KeyTree::List(one)
            }
            _ => KeyTree::Scalar,
        }
    }

    fn shared_keys(
        &self,
        one: BTreeMap<String, KeyTree>,
        mut other: BTreeMap<String, KeyTree>,
        pattern: &str,
    ) -> BTreeMap<String, KeyTree> {
        let is_alternative = |name: &str| self.alternatives.contains(&&*join(pattern, name));
        let mut shared = BTreeMap::new();
        for (name, keys) in one {
            match other.remove(&name) {
                Some(other) => {
                    let keys = self.intersection(keys, other, &join(pattern, &name));
                    shared.insert(name, keys);
                }
                None if is_alternative(&name) => {
                    shared.insert(name, keys);
                }
                None => {}
            }
        }
        shared.extend(other.into_iter().filter(|(name, _)| is_alternative(name)));
        shared
    }
}
