//! Timers of the router and their encoding as tokens: the kind above the request's id.

use crate::policy::types::{RequestId, TimerToken};

/// Number of bits below the kind in a token. They hold the request's id.
const KIND_SHIFT: u32 = 64;
const KIND_DEADLINE: TimerToken = 1;
const KIND_RESPONSE_LATE: TimerToken = 2;
const KIND_MEMBER_LIST: TimerToken = 3;

/// A timer that the router sets.
pub(super) enum Timer {
    /// Fires at a request's deadline.
    Deadline(RequestId),
    /// Fires when the response to a request's latest attempt is late.
    ResponseLate(RequestId),
    /// Fires when the member list has to be fetched again.
    MemberList,
}

impl Timer {
    pub(super) fn token(&self) -> TimerToken {
        let (kind, id) = match self {
            Timer::Deadline(id) => (KIND_DEADLINE, id.0),
            Timer::ResponseLate(id) => (KIND_RESPONSE_LATE, id.0),
            Timer::MemberList => (KIND_MEMBER_LIST, 0),
        };
        kind << KIND_SHIFT | TimerToken::from(id)
    }

    /// Decodes a token. Returns `None` if its kind is unknown.
    pub(super) fn from_token(token: TimerToken) -> Option<Timer> {
        let id = RequestId(token as u64);
        match token >> KIND_SHIFT {
            KIND_DEADLINE => Some(Timer::Deadline(id)),
            KIND_RESPONSE_LATE => Some(Timer::ResponseLate(id)),
            KIND_MEMBER_LIST => Some(Timer::MemberList),
            _ => None,
        }
    }
}
