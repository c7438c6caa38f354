//! Attempts from their start to their end.

use super::{ordered_load_report, Actor};
use crate::dispatch::attempts_in_flight::{fill_source, AttemptInFlight};
use crate::dispatch::pending_requests::PendingRequest;
use crate::dispatch::timers::Timer;
use crate::dispatch::{
    AttemptError, AttemptId, AttemptResult, ClientResponse, EndpointCommand, EndpointConnector,
    ResponseStatus, UpstreamRequest, UpstreamResponse,
};
use crate::policy::types::{
    AttemptEnd, CacheStatus, Event, Fill, Idempotency, Micros, Outcome, RequestId, ServerId,
};
use std::sync::Arc;

/// An attempt without a timeout of its own times out this much after the deadline, in microseconds: the
/// policy is to act first.
const TIMEOUT_AFTER_DEADLINE: Micros = 2_000;

/// An attempt that has not been sent within this time, in microseconds, is not sent at all, nor past half of
/// the time in which drains and purges must be complete: what is decided just before such an update may
/// still be sent just after it.
const MAX_SEND_DELAY: Micros = 500_000;

/// An attempt that is about to be sent, with times by the monotonic clock.
struct AttemptPlan {
    id: AttemptId,
    server: ServerId,
    fill: Option<Fill>,
    started_at: Micros,
    timeout_at: Micros,
}

impl<C: EndpointConnector> Actor<C> {
    // ---- start ----

    /// Starts an attempt at a server. A timeout of 0 leaves it the time to the request's deadline.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        server: ServerId,
        timeout: Micros,
        fill: Option<Fill>,
    ) {
        self.end_request_if_obsolete(request);
        let now = self.clock.now();
        let Some(pending) = self.requests.get_mut(request) else { return };
        let id = AttemptId { request: request.0, attempt: pending.start_attempt() };
        let is_waiting = pending.is_waiting();
        let timeout_at = if timeout > 0 { now + timeout } else { pending.deadline + TIMEOUT_AFTER_DEADLINE };
        self.attempts.insert(id, AttemptInFlight::new(server, now, fill));
        let plan = AttemptPlan { id, server, fill, started_at: now, timeout_at };
        if is_waiting && self.send_attempt(&plan) {
            self.timers.schedule(timeout_at, Timer::AttemptTimeout(id));
        } else {
            self.complete_attempt(id, Outcome::NotSent, None);
        }
    }

    /// Ends a request for which nothing more may be sent: its credential has expired, or its client has
    /// disconnected, while the message of that is behind in the mailbox, found no capacity there, or has not
    /// come yet.
    fn end_request_if_obsolete(&mut self, id: RequestId) {
        if self.requests.waiting(id).is_some() && self.credential_has_expired(id) {
            self.expire_request(id);
        }
        if self.requests.get(id).is_some_and(PendingRequest::client_has_cancelled) {
            self.cancel_request(id);
        }
    }

    /// Sends an attempt to its server's connection actor; whether that took it. One that has its mailbox full
    /// has far more than it can carry.
    fn send_attempt(&mut self, plan: &AttemptPlan) -> bool {
        let request_id = plan.id.request_id();
        let Some(pending) = self.requests.get(request_id) else { return false };
        let request = self.upstream_request(plan, pending);
        self.endpoints.reconnect_if_ended(plan.server);
        let sent = self.endpoints.try_send(plan.server, EndpointCommand::Send(request));
        if sent {
            self.attempts.mark_sent(plan.id);
            if let Some(pending) = self.requests.get_mut(request_id) {
                pending.record_sent(plan.started_at);
            }
        }
        sent
    }

    fn upstream_request(&self, plan: &AttemptPlan, pending: &PendingRequest) -> UpstreamRequest {
        let (request, mut fill) = (&pending.request, plan.fill);
        if let Some(fill) = fill.as_mut() {
            let freshness_lifetime = self.settings.classes[request.class].freshness_lifetime;
            let unix = self.clock.unix();
            self.purges.limit_age(fill, pending.object, request.group, freshness_lifetime, unix);
        }
        let max_delay = self.max_send_delay(pending, plan.started_at);
        let send_deadline = plan.timeout_at.min(plan.started_at + max_delay);
        UpstreamRequest {
            attempt_id: plan.id,
            id: request.id.clone(),
            class: self.counters.class_name(request.class).clone(),
            object: request.object.clone(),
            part: request.part,
            deadline: self.clock.instant(plan.timeout_at),
            send_deadline: self.clock.instant(send_deadline),
            cancellation: pending.cancellation.clone(),
            fill_source: fill_source(plan.server, fill).and_then(|s| self.endpoints.name(s)).cloned(),
            cache_rank: fill.map_or(0, |f| f.cache_rank),
            max_age_ms: fill.map_or(0, |f| max_age_ms(f.max_age)),
            collapse: fill.is_some_and(|f| f.collapse),
            only_if_cached: fill.is_some_and(|f| f.only_if_cached),
            revalidate: fill.is_some_and(|f| f.revalidate),
            if_none_match: request.if_none_match.clone(),
            idempotency_key: request.idempotency_key.clone(),
            body: request.body.clone(),
        }
    }

    /// How long an attempt may wait before it is sent, in microseconds.
    fn max_send_delay(&self, pending: &PendingRequest, now: Micros) -> Micros {
        let grace_periods = [self.settings.drain_grace, self.settings.purge_grace];
        let shortest = grace_periods.into_iter().filter(|grace| *grace > 0).min();
        let delay = shortest.map_or(MAX_SEND_DELAY, |grace| (grace / 2).min(MAX_SEND_DELAY));
        match (&self.settings.classes[pending.request.class].idempotency, pending.first_sent()) {
            // Servers recognize a retry within this window; the policy read the clock before the attempt was
            // queued.
            (Idempotency::IdempotencyKey { window, .. }, Some(first_sent)) => {
                delay.min((first_sent + window).saturating_sub(now))
            }
            _ => delay,
        }
    }

    // ---- end ----

    /// An attempt has been written completely.
    pub(super) fn record_written(&mut self, id: AttemptId) {
        self.counters.attempts_written += 1;
        self.attempts.mark_written(id, self.clock.now());
    }

    /// A connection actor reports the end of an attempt.
    pub(super) fn handle_attempt_end(&mut self, id: AttemptId, result: AttemptResult) {
        let request = id.request_id();
        let outcome = self.outcome(request, &result);
        // Also of one that was cancelled: its client has disconnected, and what it proves is counted.
        self.record_attempt_report(request, outcome.never_ran());
        if !self.attempts.contains(id) {
            return;
        }
        if outcome == Outcome::Ok && self.credential_has_expired(request) {
            self.expire_request(request);
        }
        self.complete_attempt(id, outcome, result.ok());
    }

    fn outcome(&self, request: RequestId, result: &AttemptResult) -> Outcome {
        match result {
            Ok(response) => match &response.status {
                ResponseStatus::Ok(_) => Outcome::Ok,
                ResponseStatus::NotModified(etag) if self.client_has_copy(request, etag.as_ref()) => {
                    Outcome::Ok
                }
                // A response that names another copy than the client has, or none, is corrupt.
                ResponseStatus::NotModified(_) => Outcome::Failed,
                ResponseStatus::Miss => Outcome::Miss,
                ResponseStatus::Rejected => Outcome::Rejected,
                ResponseStatus::Error => Outcome::Failed,
                ResponseStatus::Expired => Outcome::NotSent,
            },
            Err(AttemptError::Cancelled | AttemptError::NoDescriptor) => Outcome::NotSent,
            Err(error) if error.never_ran() => Outcome::ConnectError,
            Err(_) => Outcome::Reset,
        }
    }

    fn client_has_copy(&self, request: RequestId, etag: Option<&Arc<str>>) -> bool {
        self.requests.get(request).is_some_and(|pending| pending.client_has_copy(etag))
    }

    /// Cancels an attempt that the policy has given up.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId) {
        if let Some(server) = self.attempts.server(id) {
            self.send_cancel(server, id);
        }
        self.complete_attempt(id, Outcome::Cancelled, None);
    }

    fn send_cancel(&self, server: ServerId, id: AttemptId) {
        // Full: the server goes on with it in vain, and its response finds nobody.
        self.endpoints.try_send(server, EndpointCommand::Cancel(id));
    }

    /// Completes an attempt; the first end counts and any later one finds it gone. Guards against a
    /// connection actor that reports after a timeout or a cancellation, or not at all.
    pub(super) fn complete_attempt(
        &mut self,
        id: AttemptId,
        outcome: Outcome,
        response: Option<UpstreamResponse>,
    ) {
        let Some(attempt) = self.attempts.remove(id) else { return };
        if outcome == Outcome::TimedOut {
            self.send_cancel(attempt.server, id);
        }
        let end = self.attempt_end(id, &attempt, outcome, response.as_ref());
        let request = id.request_id();
        let Some(pending) = self.requests.get_mut(request) else { return };
        pending.record_attempt_end(outcome, attempt.was_sent);
        let responder = pending.responder.take_if(|_| outcome == Outcome::Ok);
        let request_finished = pending.responder.is_none();
        if request_finished {
            pending.cancellation.cancel();
        }
        let class = pending.request.class;
        self.log_attempt(&attempt, &end);
        if let (Some(responder), Some(response)) = (responder, response.and_then(client_response)) {
            self.respond(class, responder, response);
        }
        self.events.push_back(Event::AttemptEnded(AttemptEnd { request_finished, ..end }));
        self.requests.remove_if_complete(request);
    }

    /// The end of an attempt as the policy sees it, but for whether the request has finished with it.
    fn attempt_end(
        &self,
        id: AttemptId,
        attempt: &AttemptInFlight,
        outcome: Outcome,
        response: Option<&UpstreamResponse>,
    ) -> AttemptEnd {
        let load_report = response.map(|r| ordered_load_report(&self.settings, &r.load_report));
        AttemptEnd {
            request: id.request_id(),
            attempt: id.attempt,
            server: attempt.server,
            outcome,
            elapsed: attempt.time_at_server(self.clock.now(), response.is_some()),
            request_finished: false,
            cache_status: response.map_or(CacheStatus::Unknown, |r| r.cache_status),
            source_wait: response.map_or(0, |r| r.source_wait),
            load_report: load_report.unwrap_or_default(),
        }
    }

    fn log_attempt(&self, attempt: &AttemptInFlight, end: &AttemptEnd) {
        let Some(pending) = self.requests.get(end.request) else { return };
        let name = |server: ServerId| self.endpoints.name(server).map_or("?", |name| &**name);
        tracing::debug!(
            parent: &pending.span,
            attempt = end.attempt,
            server = name(attempt.server),
            fill_source = attempt.fill_source.map_or("-", name),
            cache_rank = attempt.cache_rank,
            outcome = ?end.outcome,
            cache_status = ?end.cache_status,
            elapsed_ms = end.elapsed / 1000,
            "attempt ended"
        );
    }
}

/// A fill's bound on the age of copies, in microseconds, as it is forwarded in milliseconds. 0 has a meaning
/// of its own, and rounding up would let an older copy pass.
fn max_age_ms(max_age: Micros) -> u64 {
    match max_age {
        0 => 0,
        max_age => (max_age / 1000).max(1),
    }
}

/// The response to the client where a server's response is one.
fn client_response(response: UpstreamResponse) -> Option<ClientResponse> {
    match response.status {
        ResponseStatus::Ok(representation) => Some(ClientResponse::Served(representation)),
        ResponseStatus::NotModified(etag) => Some(ClientResponse::NotModified(etag)),
        _ => None,
    }
}
