//! Purges that stay in force longer than the policy keeps them.
//!
//! The policy limits the age of copies for as long as servers need to complete a purge. Where directors
//! notify each other of purges, a director that was cut off learns of a purge late. Until then it may have
//! had an old copy fetched to a server that had already dropped it. Therefore the age of copies stays limited
//! for as long as any director may learn of the purge late.

use crate::policy::types::{Fill, Micros, ObjectId};
use std::collections::HashMap;
use std::hash::Hash;

#[cfg(test)]
mod tests;

/// Margin in the number of records at which finished purges are removed: twice the number left by the last
/// removal, plus this margin.
const SWEEP_MARGIN: usize = 64;

/// The objects that a purge applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PurgeTarget {
    /// The object of this number.
    Object(ObjectId),
    /// All objects of a group.
    Group(u32),
}

/// A purge. Times are by the Unix clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PurgeRecord {
    /// Copies from before this time are not served.
    pub(super) purged_at: Micros,
    /// The purge is in force until this time.
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

/// The purges in force, and the time before which no copy of any object is served.
#[derive(Debug, Default)]
pub(super) struct PurgeRecords {
    objects: HashMap<ObjectId, PurgeRecord>,
    groups: HashMap<u32, PurgeRecord>,
    /// Copies of any object from before this Unix time are not served. `None` if there is no such limit.
    not_before: Option<Micros>,
    /// Number of records above which finished purges are removed.
    sweep_at: usize,
}

impl PurgeRecords {
    /// Sets the Unix time before which no copy of any object is served, until the next call. `None` removes
    /// the limit.
    pub(super) fn set_not_before(&mut self, unix: Option<Micros>) {
        self.not_before = unix;
    }

    /// Records a purge. An older purge of the same target that arrives later changes nothing.
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

    /// Returns the time of the latest purge in force for an object. If its group is not known, the purges of
    /// all groups count.
    pub(super) fn latest(&self, object: ObjectId, group: Option<u32>, now: Micros) -> Option<Micros> {
        let of_group = match group {
            Some(group) => in_force(&self.groups, &group, now),
            None => self.groups.values().filter(|p| p.is_in_force(now)).map(|p| p.purged_at).max(),
        };
        in_force(&self.objects, &object, now).max(of_group)
    }

    /// Limits the age of the copies that a fill may return, according to the purges in force. The class's
    /// freshness lifetime, in microseconds, already limits a fill that has no limit set.
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
        // A fill in progress may return a copy that was fetched before the purge.
        fill.collapse &= purge_age > limit && limit > 0;
    }
}

fn in_force<K: Eq + Hash>(records: &HashMap<K, PurgeRecord>, key: &K, now: Micros) -> Option<Micros> {
    records.get(key).filter(|purge| purge.is_in_force(now)).map(|purge| purge.purged_at)
}
