//! Applies events of the local discovery source to the replicated state.

use crate::config::settings::json::micros;
use crate::discovery::{WatchChange, WatchEvent};
use crate::replication::entry::{Key, Value};
use crate::replication::state::{ClockReading, ListScope, ReplicatedState};

/// Applies a watch event and returns the entries changed by it.
pub(super) fn apply(state: &mut ReplicatedState, event: &WatchEvent, now: ClockReading) -> Vec<(Key, Value)> {
    match &event.change {
        WatchChange::Members { complete, members } => {
            let scope = if *complete { ListScope::Full } else { ListScope::Incremental };
            state.apply_member_update(event.revision, scope, members, now)
        }
        WatchChange::Purge { object, group, unix_ms } => {
            let key = object.clone().map_or(Key::Group(*group), Key::Object);
            state.purge(key, micros(*unix_ms), now).ok().flatten().into_iter().collect()
        }
        WatchChange::Unknown => Vec::new(),
    }
}
