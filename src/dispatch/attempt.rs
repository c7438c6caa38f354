//! Attempts: how one is named, and how one that gave no response ended.

use crate::dispatch::UpstreamResponse;
use crate::policy::types::RequestId;

/// Names one attempt: the request's number at the dispatcher and the attempt's within the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request's number.
    pub request: u64,
    /// The attempt's number, from 0.
    pub attempt: u32,
}

impl AttemptId {
    /// The request that the attempt is made for.
    pub fn request_id(self) -> RequestId {
        RequestId(self.request)
    }
}

/// How far an attempt had come when it ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// No connection could be established.
    #[error("not connected")]
    NotConnected,
    /// No connection was tried, for this process has no descriptor left for one: no fault of the server.
    #[error("no descriptor left")]
    NoDescriptor,
    /// Nothing of it was written.
    #[error("nothing written")]
    NotWritten,
    /// A part of it was written; a server runs only complete requests.
    #[error("partly written")]
    PartiallyWritten,
    /// It was written completely and nothing came back.
    #[error("written, not answered")]
    Unanswered,
    /// Its response had begun.
    #[error("broke off in the answer")]
    ResponseInterrupted,
    /// Its request had finished or was cancelled before anything of it was written.
    #[error("called off, nothing written")]
    Cancelled,
}

impl AttemptError {
    /// Whether the attempt certainly had no effect.
    pub fn never_ran(self) -> bool {
        !matches!(self, AttemptError::Unanswered | AttemptError::ResponseInterrupted)
    }
}

/// How an attempt ended at its server.
pub type AttemptResult = Result<UpstreamResponse, AttemptError>;
