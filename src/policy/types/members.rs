//! Entries of the member list.

use super::{Micros, ServerId};

/// The lifecycle state of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberState {
    /// Accepts requests.
    #[default]
    Running,
    /// Completes its running requests and accepts no new ones.
    Draining,
    /// No longer in service.
    Gone,
}

/// An entry of the member list: one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    /// Unique within the member list.
    pub server: ServerId,
    /// Index in [`Settings::zones`](super::Settings::zones).
    pub zone: usize,
    /// Index in [`Settings::kinds`](super::Settings::kinds).
    pub kind: usize,
    /// Number of the server's cell within its zone.
    pub cell: u32,
    /// Whether the server accepts requests, drains or has been removed.
    pub state: MemberState,
    /// Registered capacity in concurrent transfers at full rate. Ignored if it is 0 or if
    /// [`Settings::sizes_known`](super::Settings::sizes_known) is not set.
    pub size: f64,
    /// Time when the server's process last started; 0 if that was long ago, so that no slow start applies.
    pub started_at: Micros,
}

/// The content of a member list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberUpdate {
    /// Only changed entries.
    Incremental,
    /// The whole list.
    Full,
    /// The whole list as last known, possibly out of date.
    Stale,
    /// No entries: a fetch failed or the subscription broke.
    Failed,
}
