//! Pending requests: those that have not been answered, or that have attempts in flight.

use super::cancellation_log::ExecutionProof;
use crate::dispatch::request::{ClientRequest, ClientResponse, FailureReason};
use crate::dispatch::{object_number, CancellationToken, SubmittedRequest};
use crate::policy::types::{Idempotency, Micros, ObjectId, Outcome, Request, RequestId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Maximum number of requests pending at a time. Frontends have fewer clients than this; middleware may have
/// any number.
const MAX_PENDING_REQUESTS: usize = 4096;

/// Longest time that a request may be pending, regardless of the timeout set by its client.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// Bounds of the response reserve, in microseconds: the time between the response and the client's timeout,
/// which covers the transit of the request and of the response. The reserve is a share of the timeout, so
/// that it does not use up short timeouts. On loopback, clients were observed to disconnect 1.9 to 3 ms after
/// their timeout.
const MIN_RESPONSE_RESERVE: Micros = 4_000;
const MAX_RESPONSE_RESERVE: Micros = 30_000;
/// Divisor of the timeout that gives the response reserve, before it is clamped to its bounds.
const RESPONSE_RESERVE_DIVISOR: Micros = 20;

/// Returns the time by which a request that arrives at `now` must be answered.
pub(super) fn response_deadline(now: Micros, timeout: Duration) -> Micros {
    let timeout = timeout.min(MAX_REQUEST_TIMEOUT).as_micros() as Micros;
    let reserve = (timeout / RESPONSE_RESERVE_DIVISOR).clamp(MIN_RESPONSE_RESERVE, MAX_RESPONSE_RESERVE);
    now + timeout.saturating_sub(reserve)
}

/// A request that has not been answered, or that has attempts in flight.
pub(super) struct PendingRequest {
    pub(super) request: ClientRequest,
    pub(super) class_name: Arc<str>,
    pub(super) object: ObjectId,
    /// `None` once the request is answered or cancelled.
    pub(super) responder: Option<oneshot::Sender<ClientResponse>>,
    /// Cancelled once the request is answered or its client has disconnected.
    pub(super) cancellation: CancellationToken,
    /// Time by which the request must be answered, by the monotonic clock.
    pub(super) deadline: Micros,
    /// Span for log events about its attempts, if the log level enables it.
    pub(super) span: tracing::Span,
    attempts_started: u32,
    attempts_in_flight: u32,
    /// Number of attempts that may have run, as far as is known.
    attempts_maybe_run: u32,
    /// When the first of the attempts that may have run was sent.
    first_sent: Micros,
    /// Whether an attempt failed for a reason other than lack of capacity.
    has_failed_attempt: bool,
}

impl PendingRequest {
    /// Creates a pending request without attempts.
    pub(super) fn new(submitted: SubmittedRequest, deadline: Micros, span: tracing::Span) -> Self {
        PendingRequest {
            class_name: submitted.request.rules.class().name.as_str().into(),
            object: ObjectId(object_number(&submitted.request.object)),
            request: submitted.request,
            responder: Some(submitted.responder),
            cancellation: submitted.cancellation,
            deadline,
            span,
            attempts_started: 0,
            attempts_in_flight: 0,
            attempts_maybe_run: 0,
            first_sent: 0,
            has_failed_attempt: false,
        }
    }

    /// Returns the request in the form that the policy receives.
    pub(super) fn policy_request(&self, id: RequestId) -> Request {
        Request {
            id,
            class: self.request.rules.class_index(),
            settings: Some(self.request.rules.settings().clone()),
            object: self.object,
            part: self.request.part.unwrap_or(0),
            group: self.request.group,
            deadline: self.deadline,
            size_kb: self.request.size_kb,
            is_retry: self.request.is_retry,
        }
    }

    /// Returns whether the request is neither answered nor cancelled.
    pub(super) fn is_waiting(&self) -> bool {
        self.responder.is_some()
    }

    /// Returns whether the request has no response yet and its client is known to have disconnected.
    pub(super) fn client_has_cancelled(&self) -> bool {
        self.responder.as_ref().is_some_and(|r| self.cancellation.is_cancelled() || r.is_closed())
    }

    /// Returns whether the client's credential has expired at the Unix time `unix`.
    pub(super) fn credential_has_expired(&self, unix: Micros) -> bool {
        self.request.credential_expires_at.is_some_and(|expires_at| unix >= expires_at)
    }

    /// Returns whether `etag` names the copy that the client has.
    pub(super) fn client_has_copy(&self, etag: Option<&Arc<str>>) -> bool {
        etag.is_some() && self.request.if_none_match.as_ref() == etag
    }

    /// Returns whether the client can repeat the request without harm.
    pub(super) fn is_safe_to_retry(&self) -> bool {
        self.request.rules.class().idempotency == Idempotency::Idempotent || self.attempts_maybe_run == 0
    }

    /// Returns why no server has served the request so far.
    pub(super) fn failure_reason(&self, now: Micros) -> FailureReason {
        if now >= self.deadline {
            FailureReason::DeadlineExceeded
        } else if self.has_failed_attempt {
            FailureReason::UpstreamFailed
        } else {
            FailureReason::Overloaded
        }
    }

    /// Starts an attempt and returns its number.
    pub(super) fn start_attempt(&mut self) -> u32 {
        let number = self.attempts_started;
        self.attempts_started += 1;
        self.attempts_in_flight += 1;
        number
    }

    /// Records that an attempt is on its way to its server. It may run from now on.
    pub(super) fn record_sent(&mut self, now: Micros) {
        if self.attempts_maybe_run == 0 {
            self.first_sent = now;
        }
        self.attempts_maybe_run += 1;
    }

    /// Returns when the first attempt that may have run was sent. Returns `None` if nothing ran.
    pub(super) fn first_sent(&self) -> Option<Micros> {
        (self.attempts_maybe_run > 0).then_some(self.first_sent)
    }

    /// Records the end of an attempt, whether or not it had been sent.
    pub(super) fn record_attempt_end(&mut self, outcome: Outcome, was_sent: bool) {
        self.attempts_in_flight -= 1;
        self.has_failed_attempt |=
            !matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::NotSent | Outcome::Cancelled);
        if outcome.never_ran() && was_sent {
            self.attempts_maybe_run -= 1;
        }
    }

    /// Returns the number of attempts that have not ended.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts_in_flight as usize
    }

    /// Returns what the attempts that have ended prove about the execution of the request.
    pub(super) fn proof_of_ended_attempts(&self) -> ExecutionProof {
        ExecutionProof::from_never_ran(self.attempts_maybe_run <= self.attempts_in_flight)
    }

    fn is_complete(&self) -> bool {
        !self.is_waiting() && self.attempts_in_flight == 0
    }
}

/// The pending requests by number, and the ids under which they are forwarded to servers.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: HashMap<RequestId, PendingRequest>,
    forwarded_ids: HashSet<Arc<str>>,
}

impl PendingRequests {
    /// Returns whether no further request can be accepted.
    pub(super) fn is_full(&self) -> bool {
        self.requests.len() >= MAX_PENDING_REQUESTS
    }

    /// Returns whether a pending request is forwarded under this id.
    pub(super) fn contains_forwarded_id(&self, id: &Arc<str>) -> bool {
        self.forwarded_ids.contains(id)
    }

    pub(super) fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.forwarded_ids.insert(request.request.id.clone());
        self.requests.insert(id, request);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns a pending request if it is neither answered nor cancelled.
    pub(super) fn waiting(&self, id: RequestId) -> Option<&PendingRequest> {
        self.get(id).filter(|pending| pending.is_waiting())
    }

    /// Removes a request if it is answered or cancelled and has no attempts in flight.
    pub(super) fn remove_if_complete(&mut self, id: RequestId) {
        if self.get(id).is_some_and(PendingRequest::is_complete) {
            if let Some(complete) = self.requests.remove(&id) {
                self.forwarded_ids.remove(&complete.request.id);
            }
        }
    }

    /// Returns the size of the larger of the two tables.
    pub(super) fn len(&self) -> usize {
        self.requests.len().max(self.forwarded_ids.len())
    }
}
