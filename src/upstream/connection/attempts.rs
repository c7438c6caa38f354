//! The attempts whose requests a connection has appended to its out buffer.

use crate::dispatch::AttemptId;
use std::collections::{HashMap, VecDeque};
use std::ops::Range;
use std::sync::Arc;
use tokio::time::Instant;

/// Maximum number of cancelled requests whose ids are kept because their responses may still arrive. A
/// retry on the same connection follows soon after the cancellation, so a short list is enough.
const MAX_CANCELLED: usize = 64;

/// An attempt whose request was appended to the out buffer.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    pub(super) request_id: Arc<str>,
    /// Position of the request in the stream of bytes that the connection writes.
    pub(super) bytes: Range<u64>,
    /// Time at which the request was appended to the out buffer.
    pub(super) sent_at: Instant,
}

/// The attempts in flight on a connection.
#[derive(Debug, Default)]
pub(super) struct InFlightAttempts {
    attempts: HashMap<AttemptId, InFlightAttempt>,
    by_request: HashMap<Arc<str>, AttemptId>,
    /// Ids of requests that were cancelled after writing had begun, oldest first. Holds at most
    /// [`MAX_CANCELLED`]; the oldest is then dropped.
    cancelled: VecDeque<Arc<str>>,
}

impl InFlightAttempts {
    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    pub(super) fn get(&self, attempt: AttemptId) -> Option<&InFlightAttempt> {
        self.attempts.get(&attempt)
    }

    /// Returns whether a response with this request id could belong to an earlier attempt.
    pub(super) fn is_ambiguous(&self, request_id: &Arc<str>) -> bool {
        self.cancelled.contains(request_id) || self.by_request.contains_key(request_id)
    }

    /// Returns the time at which the oldest attempt was appended to the out buffer.
    pub(super) fn oldest(&self) -> Option<Instant> {
        self.attempts.values().map(|attempt| attempt.sent_at).min()
    }

    pub(super) fn insert(&mut self, attempt: AttemptId, in_flight: InFlightAttempt) {
        self.by_request.insert(in_flight.request_id.clone(), attempt);
        self.attempts.insert(attempt, in_flight);
    }

    pub(super) fn remove(&mut self, attempt: AttemptId) -> Option<InFlightAttempt> {
        let in_flight = self.attempts.remove(&attempt)?;
        self.by_request.remove(&in_flight.request_id);
        Some(in_flight)
    }

    /// Removes the attempt that a response belongs to, and returns its id.
    pub(super) fn remove_request(&mut self, request_id: &str) -> Option<AttemptId> {
        let attempt = self.by_request.remove(request_id)?;
        self.attempts.remove(&attempt);
        Some(attempt)
    }

    /// Records the id of a cancelled request whose response may still arrive.
    pub(super) fn remember_cancelled(&mut self, request_id: Arc<str>) {
        if self.cancelled.len() >= MAX_CANCELLED {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(request_id);
    }

    /// Removes and returns all attempts.
    pub(super) fn take_all(&mut self) -> HashMap<AttemptId, InFlightAttempt> {
        self.by_request.clear();
        std::mem::take(&mut self.attempts)
    }
}
