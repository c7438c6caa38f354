//! Timers of the router, and their encoding in tokens.

use crate::policy::types::{RequestId, TimerToken};

/// Bits of a token below its kind: the request's id.
const KIND_SHIFT: u32 = 64;
const KIND_DEADLINE: TimerToken = 1;
const KIND_RESPONSE_LATE: TimerToken = 2;
const KIND_MEMBER_LIST: TimerToken = 3;

/// A timer that the router sets.
pub(super) enum Timer {
    /// A request's deadline passed.
    Deadline(RequestId),
    /// A request's latest attempt should have a response by now.
    ResponseLate(RequestId),
    /// The member list is to be fetched again.
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

    /// The timer of a token; `None` if no timer has it.
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
