//! What a router asks its host to do.

use super::{Micros, RequestId, ServerId, TimerToken};

/// How a cache miss is filled, and how the copy is cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// A parent, the origin, another cache, or the server itself for no fill.
    pub source: ServerId,
    /// 0 to cache no copy; 1 to 3: its rank in the cache, low ranks are evicted first.
    pub cache_rank: u8,
    /// Greatest age of an acceptable copy; 0 for the class's freshness lifetime.
    pub max_age: Micros,
    /// Collapse into a running fill of the same object.
    pub collapse: bool,
    /// The source may serve only what it has cached (only-if-cached, RFC 9111).
    pub only_if_cached: bool,
    /// Serve an ageing copy and revalidate it in the background.
    pub revalidate: bool,
}

/// Something the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Attempt {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Timeout; 0 for the request's deadline.
        timeout: Micros,
        /// How a miss is filled; `None` to serve only what the server holds (the origin holds all objects).
        fill: Option<Fill>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Final response: rejected; the request had no effect, so the client may retry.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client may retry; 0 for no advice.
        retry_after: Micros,
    },
    /// Final response: failed; the request may have had an effect.
    Fail(RequestId),
    /// Set a timer.
    SetTimer {
        /// It fires at or after this time.
        at: Micros,
        /// Comes back with the event.
        token: TimerToken,
    },
    /// Check the health of a server.
    HealthCheck(ServerId),
    /// Subscribe to changes of the member list.
    Subscribe,
    /// Fetch the whole member list once.
    FetchMembers,
    /// Send a message to one router, or to all.
    SendMessage {
        /// The number of the receiver; `None` for all.
        to: Option<u32>,
        /// The payload, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Write a line to the operators' log.
    Log(String),
}
