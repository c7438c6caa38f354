//! Purges that hold for longer than the module remembers them.
//!
//! The module bounds the age of copies for as long as servers take to heed a purge. Where directors tell each
//! other of purges, one that was cut off hears late, and until then it may have had an old copy fetched to a
//! server that had dropped it: so the age stays bounded for as long as any director may hear late.

use crate::policy::types::Micros;
use std::collections::HashMap;

/// What is purged, with the time of the purge and until when that holds, both in Unix microseconds.
#[derive(Debug, Default)]
pub(super) struct Kept {
    objects: HashMap<u64, (Micros, Micros)>,
    groups: HashMap<u32, (Micros, Micros)>,
    /// Entries at which the ended ones are let go next.
    sweep_at: usize,
}

impl Kept {
    /// Holds a purge of an object, by its number, or of a group, until then.
    pub(super) fn hold(&mut self, object: Option<u64>, group: u32, at: Micros, until: Micros, now: Micros) {
        let later = |held: &mut (Micros, Micros)| *held = (held.0.max(at), held.1.max(until));
        match object {
            Some(object) => later(self.objects.entry(object).or_default()),
            None => later(self.groups.entry(group).or_default()),
        }
        if self.objects.len() + self.groups.len() > self.sweep_at {
            self.objects.retain(|_, held| held.1 > now);
            self.groups.retain(|_, held| held.1 > now);
            self.sweep_at = 2 * (self.objects.len() + self.groups.len()) + 64;
        }
    }

    /// The latest purge that holds for an object; where its group is not told it may be any.
    pub(super) fn latest(&self, object: u64, group: Option<u32>, now: Micros) -> Option<Micros> {
        let holds = |held: &&(Micros, Micros)| held.1 > now;
        let of_group = match group {
            Some(group) => self.groups.get(&group).filter(holds).map(|held| held.0),
            None => self.groups.values().filter(holds).map(|held| held.0).max(),
        };
        self.objects.get(&object).filter(holds).map(|held| held.0).max(of_group)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_latest_that_holds_counts_and_ended_ones_are_let_go() {
        let mut kept = Kept::default();
        kept.hold(Some(1), 0, 10, 100, 0);
        kept.hold(Some(1), 0, 5, 50, 0);
        kept.hold(None, 7, 20, 60, 0);
        assert_eq!(kept.latest(1, Some(8), 1), Some(10), "an older one that comes later changes nothing");
        assert_eq!((kept.latest(1, Some(7), 1), kept.latest(1, None, 1)), (Some(20), Some(20)));
        assert_eq!((kept.latest(1, Some(7), 60), kept.latest(1, Some(7), 100)), (Some(10), None));
        assert_eq!(kept.latest(2, Some(8), 1), None);
        (0..10_000).for_each(|n| kept.hold(Some(n), 0, n, n + 5, n));
        assert!(kept.objects.len() < 200, "{}", kept.objects.len());
    }
}
