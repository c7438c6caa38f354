//! Purges that stay in force for longer than the policy remembers them.
//!
//! The policy bounds the age of copies for as long as servers take to complete a purge. Where directors
//! notify each other of purges, one that was cut off hears late, and until then it may have had an old copy
//! fetched to a server that had dropped it: so the age stays bounded for as long as any director may hear
//! late.

use crate::policy::types::{Fill, Micros, ObjectId};
use std::collections::HashMap;
use std::hash::Hash;

#[cfg(test)]
mod tests;

/// Records beyond twice those in force at the last sweep that are kept until the next.
const SWEEP_MARGIN: usize = 64;

/// What a purge is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PurgeTarget {
    /// One object.
    Object(ObjectId),
    /// All objects of a group.
    Group(u32),
}

/// A purge, by the Unix clock in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PurgeRecord {
    /// Copies from before this are not served.
    pub(super) purged_at: Micros,
    /// The purge is in force until then.
    pub(super) in_force_until: Micros,
}

impl PurgeRecord {
    fn is_in_force(&self, now: Micros) -> bool {
        self.in_force_until > now
    }

    fn merge(&mut self, other: PurgeRecord) {
        self.purged_at = self.purged_at.max(other.purged_at);
        self.in_force_until = self.in_force_until.max(other.in_force_until);
    }
}

/// The purges in force, and the time before which no copy at all is served.
#[derive(Debug, Default)]
pub(super) struct PurgeRecords {
    objects: HashMap<ObjectId, PurgeRecord>,
    groups: HashMap<u32, PurgeRecord>,
    /// No copy of any object from before this Unix time is served.
    not_before: Option<Micros>,
    /// Number of records beyond which the finished ones are removed.
    sweep_at: usize,
}

impl PurgeRecords {
    /// Until further notice no copy of any object from before this Unix time is served.
    pub(super) fn set_not_before(&mut self, unix: Option<Micros>) {
        self.not_before = unix;
    }

    /// Records a purge; an older one of the same target that comes later changes nothing.
    pub(super) fn record(&mut self, target: PurgeTarget, purge: PurgeRecord, now: Micros) {
        match target {
            PurgeTarget::Object(object) => self.objects.entry(object).or_default().merge(purge),
            PurgeTarget::Group(group) => self.groups.entry(group).or_default().merge(purge),
        }
        if self.objects.len() + self.groups.len() > self.sweep_at {
            self.remove_finished(now);
        }
    }

    fn remove_finished(&mut self, now: Micros) {
        self.objects.retain(|_, purge| purge.is_in_force(now));
        self.groups.retain(|_, purge| purge.is_in_force(now));
        self.sweep_at = 2 * (self.objects.len() + self.groups.len()) + SWEEP_MARGIN;
    }

    /// The latest purge in force for an object; where its group is not known it may be any.
    pub(super) fn latest(&self, object: ObjectId, group: Option<u32>, now: Micros) -> Option<Micros> {
        let of_group = match group {
            Some(group) => in_force(&self.groups, &group, now),
            None => self.groups.values().filter(|p| p.is_in_force(now)).map(|p| p.purged_at).max(),
        };
        in_force(&self.objects, &object, now).max(of_group)
    }

    /// Bounds the age of the copies that a fill may give by the purges in force. The class's freshness
    /// lifetime, in microseconds, bounds it already where the fill has no bound of its own.
    pub(super) fn limit_age(
        &self,
        fill: &mut Fill,
        object: ObjectId,
        group: Option<u32>,
        freshness_lifetime: Micros,
        now: Micros,
    ) {
        let Some(purged_at) = self.latest(object, group, now).max(self.not_before) else { return };
        let purge_age = now.saturating_sub(purged_at).max(1);
        let limit = if fill.max_age > 0 { fill.max_age } else { freshness_lifetime };
        fill.max_age = if limit > 0 { purge_age.min(limit) } else { purge_age };
        // A fill in progress may give a copy that was fetched before.
        fill.collapse &= purge_age > limit && limit > 0;
    }
}

fn in_force<K: Eq + Hash>(records: &HashMap<K, PurgeRecord>, key: &K, now: Micros) -> Option<Micros> {
    records.get(key).filter(|purge| purge.is_in_force(now)).map(|purge| purge.purged_at)
}
