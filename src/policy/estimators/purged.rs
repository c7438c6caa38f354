//! Purges that servers may not have heeded yet, by the numbers of objects and groups.

/// One purge: of one object, or of all of a group; told of at `at`, heeded by all at `until`.
#[derive(Clone, Copy, Debug)]
pub struct Purge {
    /// The object; none: all of the group.
    pub object: Option<u64>,
    /// The group.
    pub group: u32,
    /// When it was.
    pub at: u64,
    /// From when on nothing is left of what it names.
    pub until: u64,
}

/// Those of them that are not over.
#[derive(Debug, Default)]
pub struct Purges(Vec<Purge>);

impl Purges {
    /// Adds one, and forgets those that are over.
    pub fn add(&mut self, purge: Purge, now: u64) {
        self.0.retain(|p| p.until > now);
        self.0.push(purge);
    }

    /// The oldest copy of an object that will do, if it is under purge; one whose group is not told may be of
    /// any.
    pub fn oldest(&self, object: u64, group: Option<u32>, now: u64) -> Option<u64> {
        let grouped = |p: &Purge| group.is_none_or(|group| group == p.group);
        let hit = |p: &&Purge| p.until > now && p.object.map_or(grouped(p), |o| o == object);
        self.0.iter().filter(hit).map(|p| now.saturating_sub(p.at).max(1)).min()
    }
}
