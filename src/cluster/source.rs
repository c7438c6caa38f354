//! Applies events of the local discovery source to the replicated state.

use crate::config::settings::micros;
use crate::discovery::client::{News, Notice};
use crate::replication::entry::{Key, Word};
use crate::replication::state::{Now, State};

/// Applies an event, and returns the entries that changed by it.
pub(super) fn apply(state: &mut State, notice: &Notice, now: Now) -> Vec<(Key, Word)> {
    match &notice.news {
        News::Members { full, members } => state.listed(notice.rev, *full, members, now),
        News::Purge { object, group, ms } => {
            let key = object.clone().map_or(Key::Group(*group), Key::Object);
            state.purge(key, micros(*ms), now).ok().flatten().into_iter().collect()
        }
        News::Other => Vec::new(),
    }
}
