//! Identifiers of attempts, and the errors of attempts that ended without a response.

use crate::dispatch::UpstreamResponse;
use crate::policy::types::RequestId;

/// Identifies an attempt by the request's number at the dispatcher and the attempt's number within the
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request's number at the dispatcher.
    pub request: u64,
    /// The attempt's number within the request, starting at 0.
    pub attempt: u32,
}

impl AttemptId {
    /// Returns the number of the request that the attempt belongs to.
    pub fn request_id(self) -> RequestId {
        RequestId(self.request)
    }
}

/// The error of an attempt that ended without a response, according to how far the attempt had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// No connection could be established.
    #[error("could not connect to the server")]
    NotConnected,
    /// No connection was tried, because this process has no file descriptor left for one. The server is not
    /// at fault.
    #[error("no file descriptor available for a connection")]
    NoDescriptor,
    /// No part of the attempt was written.
    #[error("attempt ended before any part of it was written")]
    NotWritten,
    /// Only part of the attempt was written. A server runs only complete requests.
    #[error("attempt ended after only part of it was written")]
    PartiallyWritten,
    /// The attempt was completely written, but no part of a response was received.
    #[error("attempt completely written, but no response received")]
    Unanswered,
    /// The response had begun, but was not received completely.
    #[error("response interrupted before it was complete")]
    ResponseInterrupted,
    /// The request finished or was cancelled before any part of the attempt was written.
    #[error("attempt cancelled before any part of it was written")]
    Cancelled,
}

impl AttemptError {
    /// Returns whether the attempt certainly had no effect.
    pub fn never_ran(self) -> bool {
        !matches!(self, AttemptError::Unanswered | AttemptError::ResponseInterrupted)
    }
}

/// The server's response to an attempt, or the error with which the attempt ended.
pub type AttemptResult = Result<UpstreamResponse, AttemptError>;
