//! Client requests and the results of attempts to serve them.

use super::{Micros, ObjectId, RequestId, ServerId, Settings};
use std::sync::Arc;

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Assigned by the host.
    pub id: RequestId,
    /// Index in [`Settings::classes`] of `settings`.
    pub class: usize,
    /// The settings in force when the class was chosen; `None` for those in force when the request arrives.
    /// They apply to the request until its end.
    pub settings: Option<Arc<Settings>>,
    /// The object that is read or written.
    pub object: ObjectId,
    /// Number of the requested part of the object, from 0.
    pub part: u32,
    /// The object's group, which a purge can name; `None` if unknown: a purge of any group then applies.
    pub group: Option<u32>,
    /// Time at which the client gives up, on the router's clock.
    pub deadline: Micros,
    /// Size of the response in KB; 0 if unknown.
    pub size_kb: f64,
    /// Whether the client marked the request as a retry of an earlier one.
    pub is_retry: bool,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server served the request.
    Ok,
    /// The server answered with an error; the request may have run.
    Failed,
    /// Rejected because the server or its fill source had no capacity; the request never ran.
    Rejected,
    /// No response in time; the request may have run.
    TimedOut,
    /// No connection could be established; the request never ran.
    ConnectError,
    /// The connection broke; the request may have run.
    Reset,
    /// Cancelled by the router; the request may have run.
    Cancelled,
    /// The host never sent the attempt; the request never ran.
    NotSent,
    /// No suitable copy was cached; the request never ran.
    Miss,
}

impl Outcome {
    /// Returns whether the outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectError | Outcome::NotSent | Outcome::Miss)
    }
}

/// The cache status of a response: how its copy was obtained, or why a fill failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheStatus {
    /// Not reported.
    #[default]
    Unknown,
    /// Served from a cached copy.
    Hit,
    /// Filled from the fill source.
    Filled,
    /// Filled from the fill source, which fetched the object from the origin.
    FilledFromOrigin,
    /// Collapsed into a running fill. With [`Outcome::Miss`]: a fill of the object is running.
    Collapsed,
    /// Served from a stale copy.
    Stale,
    /// The fill source rejected the fill.
    SourceRejected,
    /// The fill source could not be reached, broke the connection or timed out.
    SourceUnreachable,
    /// The fill source does not hold the object.
    SourceMiss,
    /// The cache has reached its limit of concurrent fills.
    FillLimitReached,
    /// The parent could not fetch the object because the origin failed.
    OriginFailed,
}

/// The result of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within the request: 0 for the first, 1 for the second and so on.
    pub attempt: u32,
    /// The cache, parent or origin that the attempt was sent to.
    pub server: ServerId,
    /// Success, or the kind of failure.
    pub outcome: Outcome,
    /// Time from sending the attempt to its end, in microseconds.
    pub elapsed: Micros,
    /// Whether the request is finished, either by this attempt or earlier.
    pub request_finished: bool,
    /// As reported by the server; `Unknown` if it reports none.
    pub cache_status: CacheStatus,
    /// Time until the fill source's first byte or failure, in microseconds; 0 if unknown.
    pub source_wait: Micros,
    /// Load report: values in the order of [`Settings::load_report`](super::Settings::load_report); empty if
    /// the server sent none.
    pub load_report: Vec<f64>,
}
