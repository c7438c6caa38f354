//! Purges that servers may not have completed yet, by the numbers of objects and groups.

/// One purge: of one object, or of a whole group. Times are microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Purge {
    /// The object; `None` for the whole group.
    pub object: Option<u64>,
    /// The group.
    pub group: u32,
    /// When it was issued.
    pub purged_at: u64,
    /// When no server holds a purged copy any more.
    pub complete_at: u64,
}

/// The purges that are not complete.
#[derive(Debug, Default)]
pub struct PendingPurges(Vec<Purge>);

impl PendingPurges {
    /// Adds a purge, and removes those that are complete.
    pub fn add(&mut self, purge: Purge, now: u64) {
        self.0.retain(|p| p.complete_at > now);
        self.0.push(purge);
    }

    /// The greatest age, in microseconds, at which a copy of the object is valid; `None` if no purge covers
    /// it. An object of unknown group may be of any.
    pub fn max_age(&self, object: u64, group: Option<u32>, now: u64) -> Option<u64> {
        let in_group = |p: &Purge| group.is_none_or(|group| group == p.group);
        let covers = |p: &&Purge| p.complete_at > now && p.object.map_or(in_group(p), |o| o == object);
        self.0.iter().filter(covers).map(|p| now.saturating_sub(p.purged_at).max(1)).min()
    }
}
