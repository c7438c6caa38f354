//! Watch events: the changes of members and the purges that the discovery service reports.

use crate::config::settings::json::micros;
use crate::dispatch::{DispatcherMessage, Endpoint};
use tokio::sync::mpsc;

/// A change that the discovery service reports, with its place in the order of all changes.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// Revision of the service's state after this change; each event has a higher one than the event before.
    pub revision: u64,
    /// What changed.
    pub change: WatchChange,
}

/// What an event reports.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchChange {
    /// Members that changed, or all of them.
    Members {
        /// Whether `members` is the complete list, which replaces what was known before.
        complete: bool,
        /// The members.
        members: Vec<Endpoint>,
    },
    /// A purge of one object or of a group of objects.
    Purge {
        /// Name of the object; `None` purges the group.
        object: Option<String>,
        /// The group.
        group: u32,
        /// Time of the purge in Unix milliseconds.
        unix_ms: f64,
    },
    /// A kind of change that this version does not know; only its revision counts.
    Unknown,
}

/// Which events reach the dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchScope {
    /// Changes of members and purges.
    #[default]
    MembersAndPurges,
    /// Purges only: the members come from another source.
    PurgesOnly,
}

/// A further receiver of all events. An event that finds its queue full is dropped there; the client never
/// waits for it.
pub type Subscriber = Option<mpsc::Sender<WatchEvent>>;

impl WatchEvent {
    /// The message that reports this event to the dispatcher, if it concerns the dispatcher.
    pub fn into_message(self, scope: WatchScope) -> Option<DispatcherMessage> {
        match self.change {
            WatchChange::Members { .. } if scope == WatchScope::PurgesOnly => None,
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
