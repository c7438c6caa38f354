//! Pending requests: those that are unanswered, or whose attempts have not all ended.

use super::cancellation_log::ExecutionProof;
use crate::dispatch::request::{ClientRequest, ClientResponse, FailureReason};
use crate::dispatch::{object_number, CancellationToken, SubmittedRequest};
use crate::policy::types::{Idempotency, Micros, ObjectId, Outcome, Request, RequestId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Requests that are pending at a time. Frontends have fewer clients than that; middleware may have any
/// number.
const MAX_PENDING_REQUESTS: usize = 4096;

/// The longest that a request is pending, whatever its client says.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// The response leaves this much before the client gives up, in microseconds, for it has a way to go, as the
/// request had: a share of the timeout, within bounds. Guards short timeouts against being used up by it; on
/// loopback clients were seen to leave 1.9 to 3 ms after theirs.
const MIN_RESPONSE_RESERVE: Micros = 4_000;
const MAX_RESPONSE_RESERVE: Micros = 30_000;
/// The reserve is the timeout divided by this.
const RESPONSE_RESERVE_DIVISOR: Micros = 20;

/// When a request that arrives now must be answered.
pub(super) fn response_deadline(now: Micros, timeout: Duration) -> Micros {
    let timeout = timeout.min(MAX_REQUEST_TIMEOUT).as_micros() as Micros;
    let reserve = (timeout / RESPONSE_RESERVE_DIVISOR).clamp(MIN_RESPONSE_RESERVE, MAX_RESPONSE_RESERVE);
    now + timeout.saturating_sub(reserve)
}

/// A request that is unanswered or whose attempts have not all ended.
pub(super) struct PendingRequest {
    pub(super) request: ClientRequest,
    pub(super) object: ObjectId,
    /// None once the request is answered or cancelled.
    pub(super) responder: Option<oneshot::Sender<ClientResponse>>,
    /// Cancelled when the request is answered or its client has disconnected.
    pub(super) cancellation: CancellationToken,
    /// When the request must be answered, by the monotonic clock.
    pub(super) deadline: Micros,
    /// What its attempts are logged under, where the level is on.
    pub(super) span: tracing::Span,
    attempts_started: u32,
    attempts_in_flight: u32,
    /// Attempts that may have run, as far as is known.
    attempts_maybe_run: u32,
    /// When the first of these was sent.
    first_sent: Micros,
    /// An attempt failed for another reason than want of capacity.
    has_failed_attempt: bool,
}

impl PendingRequest {
    /// A request without attempts.
    pub(super) fn new(submitted: SubmittedRequest, deadline: Micros, span: tracing::Span) -> Self {
        PendingRequest {
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

    /// The request as the policy sees it.
    pub(super) fn policy_request(&self, id: RequestId) -> Request {
        Request {
            id,
            class: self.request.class,
            object: self.object,
            part: self.request.part.unwrap_or(0),
            group: self.request.group,
            deadline: self.deadline,
            size_kb: self.request.size_kb,
            is_retry: self.request.is_retry,
        }
    }

    /// Whether it is neither answered nor cancelled.
    pub(super) fn is_waiting(&self) -> bool {
        self.responder.is_some()
    }

    /// Whether it waits, but for a client that has disconnected, as far as has been notified.
    pub(super) fn client_has_cancelled(&self) -> bool {
        self.responder.as_ref().is_some_and(|r| self.cancellation.is_cancelled() || r.is_closed())
    }

    /// Whether the client's credential has expired at this Unix time.
    pub(super) fn credential_has_expired(&self, unix: Micros) -> bool {
        self.request.credential_expires_at.is_some_and(|expires_at| unix >= expires_at)
    }

    /// Whether the client has the copy of this tag.
    pub(super) fn client_has_copy(&self, etag: Option<&Arc<str>>) -> bool {
        etag.is_some() && self.request.if_none_match.as_ref() == etag
    }

    /// Whether the client can repeat it without harm.
    pub(super) fn is_safe_to_retry(&self, idempotency: Idempotency) -> bool {
        idempotency == Idempotency::Idempotent || self.attempts_maybe_run == 0
    }

    /// Why it has no response from a server so far.
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

    /// An attempt is on its way to its server, and may run from now on.
    pub(super) fn record_sent(&mut self, now: Micros) {
        if self.attempts_maybe_run == 0 {
            self.first_sent = now;
        }
        self.attempts_maybe_run += 1;
    }

    /// When the first attempt that may have run was sent; none: nothing ran.
    pub(super) fn first_sent(&self) -> Option<Micros> {
        (self.attempts_maybe_run > 0).then_some(self.first_sent)
    }

    /// An attempt has ended, which had been sent or not.
    pub(super) fn record_attempt_end(&mut self, outcome: Outcome, was_sent: bool) {
        self.attempts_in_flight -= 1;
        self.has_failed_attempt |=
            !matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::NotSent | Outcome::Cancelled);
        if outcome.never_ran() && was_sent {
            self.attempts_maybe_run -= 1;
        }
    }

    /// Attempts that have not ended.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts_in_flight as usize
    }

    /// What the attempts that have ended prove.
    pub(super) fn proof_of_ended_attempts(&self) -> ExecutionProof {
        ExecutionProof::from_never_ran(self.attempts_maybe_run <= self.attempts_in_flight)
    }

    fn is_complete(&self) -> bool {
        !self.is_waiting() && self.attempts_in_flight == 0
    }
}

/// The pending requests, by number, and the ids under which they are forwarded.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: HashMap<RequestId, PendingRequest>,
    forwarded_ids: HashSet<Arc<str>>,
}

impl PendingRequests {
    /// Whether there is no capacity for another request.
    pub(super) fn is_full(&self) -> bool {
        self.requests.len() >= MAX_PENDING_REQUESTS
    }

    /// Whether a request is pending under this id.
    pub(super) fn contains_forwarded_id(&self, id: &Arc<str>) -> bool {
        self.forwarded_ids.contains(id)
    }

    /// Adds a request.
    pub(super) fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.forwarded_ids.insert(request.request.id.clone());
        self.requests.insert(id, request);
    }

    /// A pending request.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// A pending request, to change it.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// A pending request that is neither answered nor cancelled.
    pub(super) fn waiting(&self, id: RequestId) -> Option<&PendingRequest> {
        self.get(id).filter(|pending| pending.is_waiting())
    }

    /// Removes a request that is answered or cancelled and whose attempts have all ended.
    pub(super) fn remove_if_complete(&mut self, id: RequestId) {
        if self.get(id).is_some_and(PendingRequest::is_complete) {
            if let Some(complete) = self.requests.remove(&id) {
                self.forwarded_ids.remove(&complete.request.id);
            }
        }
    }

    /// Whether a request of the class at this index is pending.
    pub(super) fn uses_class(&self, class: usize) -> bool {
        self.requests.values().any(|pending| pending.request.class == class)
    }

    /// Pending requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len().max(self.forwarded_ids.len())
    }
}
