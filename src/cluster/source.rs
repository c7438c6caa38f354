//! Applies events of the local discovery source to the replicated state.

use crate::config::settings::json::micros;
use crate::discovery::{WatchChange, WatchEvent};
use crate::replication::entry::{Key, Value};
use crate::replication::state::{ClockReading, ListScope, ReplicatedState};

/// Applies an event, and returns the entries that changed by it.
pub(super) fn apply(
    state: &mut ReplicatedState,
    notice: &WatchEvent,
    now: ClockReading,
) -> Vec<(Key, Value)> {
    match &notice.change {
        WatchChange::Members { complete: full, members } => {
            let scope = if *full { ListScope::Full } else { ListScope::Incremental };
            state.apply_member_update(notice.revision, scope, members, now)
        }
        WatchChange::Purge { object, group, unix_ms: ms } => {
            let key = object.clone().map_or(Key::Group(*group), Key::Object);
            state.purge(key, micros(*ms), now).ok().flatten().into_iter().collect()
        }
        WatchChange::Unknown => Vec::new(),
    }
}
