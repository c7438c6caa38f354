//! Entries of the member list.

use super::{Micros, ServerId};

/// The lifecycle state of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberState {
    /// Accepts requests.
    #[default]
    Running,
    /// Completes the requests it has, and accepts no new ones.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the member list: one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    /// The server.
    pub server: ServerId,
    /// Index in [`Settings::zones`](super::Settings::zones).
    pub zone: usize,
    /// Index in [`Settings::kinds`](super::Settings::kinds).
    pub kind: usize,
    /// The cell within the zone.
    pub cell: u32,
    /// The lifecycle state.
    pub state: MemberState,
    /// The registered capacity, in concurrent transfers at full rate.
    pub size: f64,
    /// When the process last started; 0 if long ago.
    pub started_at: Micros,
}

/// What an event about the member list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberUpdate {
    /// Only changed entries.
    Incremental,
    /// The whole list.
    Full,
    /// The whole list as last known, possibly out of date.
    Stale,
    /// Nothing: a call failed, or the subscription broke.
    Failed,
}
