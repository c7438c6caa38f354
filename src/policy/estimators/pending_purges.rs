//! Purges that servers may not have completed yet, identified by object and group numbers.

/// A purge of one object or of a whole group. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Purge {
    /// The purged object; `None` if the whole group is purged.
    pub object: Option<u64>,
    /// The group to purge; ignored if `object` is given.
    pub group: u32,
    /// Time when the purge was issued.
    pub purged_at: u64,
    /// Time from which no server holds a purged copy any more.
    pub complete_at: u64,
}

/// The purges that servers may not have completed yet.
#[derive(Debug, Default)]
pub struct PendingPurges(Vec<Purge>);

impl PendingPurges {
    /// Adds a purge and removes the completed ones.
    pub fn add(&mut self, purge: Purge, now: u64) {
        self.0.retain(|p| p.complete_at > now);
        self.0.push(purge);
    }

    /// Returns the maximum age, in microseconds, at which a copy of the object is valid; `None` if no purge
    /// covers the object. An object whose group is unknown is covered by a purge of any group.
    pub fn max_age(&self, object: u64, group: Option<u32>, now: u64) -> Option<u64> {
        let in_group = |p: &Purge| group.is_none_or(|group| group == p.group);
        let covers = |p: &&Purge| p.complete_at > now && p.object.map_or(in_group(p), |o| o == object);
        self.0.iter().filter(covers).map(|p| now.saturating_sub(p.purged_at).max(1)).min()
    }
}
