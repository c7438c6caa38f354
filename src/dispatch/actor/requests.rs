//! Requests, from submission to their only response or their cancellation.

use super::Actor;
use crate::dispatch::cancellation_log::{ExecutionProof, ProvenCancellation};
use crate::dispatch::handle::OVERLOAD_RETRY_AFTER;
use crate::dispatch::pending_requests::{response_deadline, PendingRequest};
use crate::dispatch::timers::Timer;
use crate::dispatch::{ClientResponse, EndpointConnector, FailureReason, SubmittedRequest};
use crate::policy::types::{Event, Micros, RequestId};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time, in microseconds, within which a connection actor must report how far an attempt had come when it was
/// cancelled by command. Without a report in this time, the attempt counts as having run.
const CANCELLATION_REPORT_TIMEOUT: Micros = 1_000_000;

impl<C: EndpointConnector> Actor<C> {
    // ---- submission ----

    /// Accepts a request, or ends it immediately if it cannot be accepted.
    pub(super) fn accept_request(&mut self, submitted: SubmittedRequest) {
        let now = self.clock.now();
        let class_name = || submitted.request.rules.class().name.as_str().into();
        if self.requests.is_full() {
            // The request is rejected immediately. This is harmless, because nothing has run.
            let retry_after = Some(OVERLOAD_RETRY_AFTER);
            let rejected = ClientResponse::Rejected { retry_after, reason: FailureReason::Overloaded };
            return self.respond(&class_name(), submitted.responder, rejected);
        }
        if submitted.responder.is_closed() || submitted.cancellation.is_cancelled() {
            // The client disconnected while the request waited in the mailbox, so nothing is sent to servers.
            let proof = ExecutionProof::NeverRan;
            return self.record_cancellation(Some(ProvenCancellation { class: class_name(), proof }));
        }
        // Protects the first of two requests with the same id: servers would mistake the second for the
        // first, or give either one the other's response.
        if self.requests.contains_forwarded_id(&submitted.request.id) {
            let failed = ClientResponse::Failed(FailureReason::DuplicateRequest);
            return self.respond(&class_name(), submitted.responder, failed);
        }
        self.add_request(submitted, now);
    }

    fn add_request(&mut self, submitted: SubmittedRequest, now: Micros) {
        let id = submitted.id;
        let deadline = response_deadline(now, submitted.request.timeout);
        let span = tracing::debug_span!(
            "request",
            id = &*submitted.request.id,
            class = &*submitted.request.rules.class().name
        );
        let pending = PendingRequest::new(submitted, deadline, span);
        let policy_request = pending.policy_request(id);
        self.requests.insert(id, pending);
        if self.credential_has_expired(id) {
            self.expire_request(id);
        } else {
            self.schedule_credential_expiry(id);
            self.events.push_back(Event::Request(policy_request));
        }
    }

    // ---- expiry of credentials ----

    /// Ends a request if its credential has expired; otherwise sets the timer again. The Unix clock decides,
    /// because it may have been set back since the timer was set.
    pub(super) fn check_credential(&mut self, id: RequestId) {
        if self.credential_has_expired(id) {
            self.expire_request(id);
        } else {
            self.schedule_credential_expiry(id);
        }
    }

    /// Sets a timer for the expiry of a request's credential, if it has one that expires and the request is
    /// not yet answered.
    fn schedule_credential_expiry(&mut self, id: RequestId) {
        let expiry = self.requests.waiting(id).and_then(|pending| pending.request.credential_expires_at);
        if let Some(expires_at) = expiry {
            let at = self.clock.unix_to_monotonic(expires_at).max(self.clock.now() + 1);
            self.timers.schedule(at, Timer::CredentialExpiry(id));
        }
    }

    /// Returns whether the request is pending and its credential has expired.
    pub(super) fn credential_has_expired(&self, id: RequestId) -> bool {
        let unix = self.clock.unix();
        self.requests.get(id).is_some_and(|pending| pending.credential_has_expired(unix))
    }

    /// Ends a request whose credential expired before its response began. If an attempt may have run in a
    /// class that must not run twice, the request fails: a rejection would mean that it is safe to repeat.
    pub(super) fn expire_request(&mut self, id: RequestId) {
        let Some(pending) = self.requests.waiting(id) else { return };
        let reason = FailureReason::CredentialExpired;
        let response = if pending.is_safe_to_retry() {
            ClientResponse::Rejected { retry_after: None, reason }
        } else {
            ClientResponse::Failed(reason)
        };
        self.end_and_notify_policy(id, Some(response));
    }

    // ---- cancellation by the client ----

    /// Cancels a request whose client has disconnected. Nothing more is sent for it. The attempts that were
    /// sent determine whether it is counted as never run or as possibly run.
    pub(super) fn cancel_request(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(id).filter(|pending| pending.is_waiting()) else { return };
        pending.responder = None;
        pending.cancellation.cancel();
        let class = &pending.class_name;
        let (ended_attempts, in_flight) = (pending.proof_of_ended_attempts(), pending.attempts_in_flight());
        match self.cancellations.request_cancelled(id, class, ended_attempts, in_flight) {
            Some(proven) => self.record_cancellation(Some(proven)),
            None => {
                let at = self.clock.now() + CANCELLATION_REPORT_TIMEOUT;
                self.timers.schedule(at, Timer::CancellationTimeout(id));
            }
        }
        self.end_and_notify_policy(id, None);
    }

    /// Records whether an attempt certainly never ran, in case its request was cancelled by the client.
    pub(super) fn record_attempt_report(&mut self, id: RequestId, never_ran: bool) {
        let proven = self.cancellations.attempt_reported(id, ExecutionProof::from_never_ran(never_ran));
        self.record_cancellation(proven);
    }

    /// Counts a cancelled request once it is settled whether it may have run.
    pub(super) fn record_cancellation(&mut self, proven: Option<ProvenCancellation>) {
        if let Some(proven) = proven {
            self.counters.record_cancellation(proven);
        }
    }

    // ---- responses ----

    /// Rejects a request on behalf of the policy. `retry_after` is the time in microseconds after which the
    /// client should retry; 0 if it is not known.
    pub(super) fn reject_request(&mut self, id: RequestId, retry_after: Micros) {
        let retry_after = (retry_after > 0).then(|| Duration::from_micros(retry_after));
        let reason = self.failure_reason(id);
        self.complete_request(id, ClientResponse::Rejected { retry_after, reason });
    }

    /// Fails a request for which the policy has nothing left to try.
    pub(super) fn fail_request(&mut self, id: RequestId) {
        let reason = self.failure_reason(id);
        self.complete_request(id, ClientResponse::Failed(reason));
    }

    fn failure_reason(&self, id: RequestId) -> FailureReason {
        let now = self.clock.now();
        self.requests.get(id).map_or(FailureReason::Overloaded, |pending| pending.failure_reason(now))
    }

    /// Completes a request with the final response decided by the policy. A request that has been answered
    /// gets no second response.
    fn complete_request(&mut self, id: RequestId, response: ClientResponse) {
        if let Some(pending) = self.requests.get_mut(id) {
            let class_name = pending.class_name.clone();
            if let Some(responder) = pending.responder.take() {
                pending.cancellation.cancel();
                self.respond(&class_name, responder, response);
            }
        }
        self.requests.remove_if_complete(id);
    }

    /// Ends a request that the policy has not ended, either with a response or because its client cancelled
    /// it, and notifies the policy.
    fn end_and_notify_policy(&mut self, id: RequestId, response: Option<ClientResponse>) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        let class_name = pending.class_name.clone();
        pending.cancellation.cancel();
        if let (Some(responder), Some(response)) = (pending.responder.take(), response) {
            self.respond(&class_name, responder, response);
        }
        self.events.push_back(Event::ClientCancelled(id));
        self.requests.remove_if_complete(id);
    }

    /// Sends a response to the client and counts it.
    pub(super) fn respond(
        &mut self,
        class_name: &Arc<str>,
        responder: oneshot::Sender<ClientResponse>,
        response: ClientResponse,
    ) {
        self.counters.record_response(class_name, &response);
        let _ = responder.send(response); // the client may have disconnected
    }
}
