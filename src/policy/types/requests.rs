//! Client requests, and how attempts to serve them end.

use super::{Micros, ObjectId, RequestId, ServerId};

/// A client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// The requested object.
    pub object: ObjectId,
    /// The requested part of the object.
    pub part: u32,
    /// The object's group, which purges may name; `None` if unknown, so that it may be any.
    pub group: Option<u32>,
    /// When the client gives up.
    pub deadline: Micros,
    /// Size in KB; 0 if unknown.
    pub size_kb: f64,
    /// Whether the client marked the request as a retry of an earlier one.
    pub is_retry: bool,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error; the request may have run.
    Failed,
    /// Rejected for lack of capacity at the server or at its source; the request never ran.
    Rejected,
    /// No response in time; the request may have run.
    TimedOut,
    /// No connection; the request never ran.
    ConnectError,
    /// The connection broke; the request may have run.
    Reset,
    /// Cancelled by the router; the request may have run.
    Cancelled,
    /// Not sent.
    NotSent,
    /// No suitable copy was cached; the request never ran.
    Miss,
}

impl Outcome {
    /// Whether the outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectError | Outcome::NotSent | Outcome::Miss)
    }
}

/// What a response tells about its copy or fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CacheStatus {
    /// Nothing.
    #[default]
    Unknown,
    /// Served from a cached copy.
    Hit,
    /// Filled from the source.
    Filled,
    /// Filled from the source, which fetched the object from the origin.
    FilledFromOrigin,
    /// Collapsed into a running fill; with a miss, that a fill is running.
    Collapsed,
    /// Served from a stale copy.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source could not be reached, broke off or timed out.
    SourceUnreachable,
    /// The source does not hold the object.
    SourceMiss,
    /// The cache has no slot for another fill.
    FillLimitReached,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request it belongs to.
    pub request: RequestId,
    /// Its number: 0 for the request's first attempt, then upwards.
    pub attempt: u32,
    /// The server it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Whether the request is finished, by this attempt or before.
    pub request_finished: bool,
    /// What the response tells about the copy.
    pub cache_status: CacheStatus,
    /// Time to the source's first byte or failure; 0 if unknown.
    pub source_wait: Micros,
    /// Load report, in the order of [`Settings::load_report`](super::Settings::load_report); may be empty.
    pub load_report: Vec<f64>,
}
