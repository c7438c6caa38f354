//! Events: notifications from the host to the router.

use super::{
    AttemptEnd, Member, MemberUpdate, Micros, ObjectId, Outcome, Request, RequestId, ServerId, Settings,
    TimerToken,
};

/// A notification from the host to the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The member list changed, was fetched or is unavailable.
    Members {
        /// Whether `members` holds changed entries or the whole list, and whether it may be out of date.
        kind: MemberUpdate,
        /// Empty after a failure.
        members: Vec<Member>,
    },
    /// A client request arrived.
    Request(Request),
    /// A streamed response started: the client receives the body of this attempt from now on.
    ResponseStarted {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// An attempt succeeded, failed, timed out, was cancelled or was not sent.
    AttemptEnded(AttemptEnd),
    /// The client cancelled the request, or its final response is overdue.
    ClientCancelled(RequestId),
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) fired.
    Timer(TimerToken),
    /// A health check ended.
    HealthChecked {
        /// Target of the health check.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// Time since the health check was sent, in microseconds.
        elapsed: Micros,
        /// Load report: values in the order of [`Settings::load_report`]; empty if the server sent none.
        load_report: Vec<f64>,
    },
    /// A message from another router.
    Message {
        /// Number of the sending router.
        from: u32,
        /// The payload, as passed to [`Action::SendMessage`](super::Action::SendMessage).
        bytes: Vec<u8>,
    },
    /// New settings for future requests; pending requests keep the old ones, see
    /// [`RequestRules`](super::RequestRules). Zones and kinds don't change.
    Settings(Box<Settings>),
    /// An object or a group was purged: copies older than the purge must not be served.
    Purged {
        /// The purged object; `None` if the whole group is purged.
        object: Option<ObjectId>,
        /// The group to purge; ignored if `object` is given.
        group: u32,
        /// Time since the purge was issued, in microseconds.
        age: Micros,
    },
}
