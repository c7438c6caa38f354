//! Actions: instructions from the router to its host.

use super::{Micros, RequestId, ServerId, TimerToken};

/// How a cache miss is filled, and how the copy is cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// The fill source: a parent, the origin or another cache. The attempt's own server if there is no fill.
    pub source: ServerId,
    /// Cache rank of the copy, from 1 to 3; lower ranks are evicted first. 0 if no copy is cached.
    pub cache_rank: u8,
    /// Maximum age of an acceptable copy, in microseconds; 0 for the class's freshness lifetime.
    pub max_age: Micros,
    /// The request may be collapsed into a running fill of the same object.
    pub collapse: bool,
    /// The source may only serve a copy that it has cached (only-if-cached, RFC 9111).
    pub only_if_cached: bool,
    /// The cache serves an ageing copy without delay and revalidates it in the background.
    pub revalidate: bool,
}

/// An instruction from the router to its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Attempt {
        /// A request that has no final response yet.
        request: RequestId,
        /// The cache, parent or origin to send the attempt to.
        server: ServerId,
        /// Timeout in microseconds; 0 if only the request's deadline applies.
        timeout: Micros,
        /// How a miss is filled; `None` if the server may only serve what it holds (the origin holds all
        /// objects).
        fill: Option<Fill>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// Final response: rejected; the request had no effect, so the client may retry.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// Time after which the client may retry, in microseconds; 0 to send no Retry-After.
        retry_after: Micros,
    },
    /// Final response: failed; the request may have had an effect.
    Fail(RequestId),
    /// Set a one-shot timer.
    SetTimer {
        /// Earliest time at which the timer fires, on the router's clock.
        at: Micros,
        /// Returned to the router in [`Event::Timer`](super::Event::Timer).
        token: TimerToken,
    },
    /// Send a health check to a server.
    HealthCheck(ServerId),
    /// Subscribe to changes of the member list.
    Subscribe,
    /// Fetch the whole member list once.
    FetchMembers,
    /// Send a message to one router, or to all.
    SendMessage {
        /// Number of the receiving router; `None` for all routers.
        to: Option<u32>,
        /// The payload, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Write a line to the operators' log.
    Log(String),
}
