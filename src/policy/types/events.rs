//! What a router is notified of.

use super::{
    AttemptEnd, Member, MemberUpdate, Micros, ObjectId, Outcome, Request, RequestId, ServerId, Settings,
    TimerToken,
};

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the member list.
    Members {
        /// What `members` holds.
        kind: MemberUpdate,
        /// The entries.
        members: Vec<Member>,
    },
    /// A client request arrived.
    Request(Request),
    /// A streamed response started: from now on the attempt serves the client.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client cancelled the request, or its final response is overdue.
    ClientCancelled(RequestId),
    /// A timer fired.
    Timer(TimerToken),
    /// A health check ended.
    HealthChecked {
        /// The checked server.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// Load report, in the order of [`Settings::load_report`]; may be empty.
        load_report: Vec<f64>,
    },
    /// Another router's message.
    Message {
        /// The number of the sender.
        from: u32,
        /// The payload.
        bytes: Vec<u8>,
    },
    /// New settings for requests to come; pending requests keep the old ones. Classes keep their indices, see
    /// [`Settings::updated_to`]; zones and kinds stay as they were.
    Settings(Box<Settings>),
    /// Copies older than this purge must not be served.
    Purged {
        /// The object; `None` for the whole group.
        object: Option<ObjectId>,
        /// The group.
        group: u32,
        /// Time since the purge.
        age: Micros,
    },
}
