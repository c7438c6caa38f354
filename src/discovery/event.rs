//! Watch events: member changes and purges that the discovery service reports.

use crate::config::settings::json::micros;
use crate::dispatch::{DispatcherMessage, Endpoint};
use tokio::sync::mpsc;

/// A change that the discovery service reports, with the revision that orders it among all changes.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// Revision of the service's state after this change. It increases with every event.
    pub revision: u64,
    /// Content of the event.
    pub change: WatchChange,
}

/// The content of a watch event.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchChange {
    /// A change of members, or the complete member list.
    Members {
        /// `true` if `members` is the complete list, which replaces the previous one.
        complete: bool,
        /// The changed members, or all members if `complete`.
        members: Vec<Endpoint>,
    },
    /// A purge of one object or of a group of objects.
    Purge {
        /// Name of the object; `None` to purge the whole group.
        object: Option<String>,
        /// Number of the group, which is purged if `object` is `None`; 0 if the event gives none.
        group: u32,
        /// Time of the purge in Unix milliseconds.
        unix_ms: f64,
    },
    /// A kind of change that this version does not know. Only its revision is used.
    Unknown,
}

/// The events of the discovery service that the director uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchScope {
    /// Member changes and purges.
    #[default]
    MembersAndPurges,
    /// Purges only, because the members come from another source.
    PurgesOnly,
}

/// An additional receiver of the events in scope. If its queue is full, the event is dropped: the client
/// never waits for the receiver.
pub type Subscriber = Option<mpsc::Sender<WatchEvent>>;

impl WatchEvent {
    /// Returns whether the event is a complete member list.
    pub fn is_complete_list(&self) -> bool {
        matches!(self.change, WatchChange::Members { complete: true, .. })
    }

    /// Returns whether the director uses this event.
    pub fn is_in(&self, scope: WatchScope) -> bool {
        scope == WatchScope::MembersAndPurges || !matches!(self.change, WatchChange::Members { .. })
    }

    /// Returns the dispatcher message for this event, or `None` if the scope excludes the event or its kind
    /// is unknown.
    pub fn into_message(self, scope: WatchScope) -> Option<DispatcherMessage> {
        if !self.is_in(scope) {
            return None;
        }
        match self.change {
            WatchChange::Members { complete, members } => {
                Some(DispatcherMessage::Members { full: complete, members })
            }
            WatchChange::Purge { object, group, unix_ms } => Some(DispatcherMessage::Purged {
                object: object.map(Into::into),
                group,
                at: micros(unix_ms),
                retention: 0,
            }),
            WatchChange::Unknown => None,
        }
    }
}
