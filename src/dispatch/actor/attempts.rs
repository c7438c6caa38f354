//! Attempts, from start to end.

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

/// Time from a request's deadline to the timeout of an attempt for which the policy set none, in
/// microseconds. It lets the policy act on the deadline first.
const TIMEOUT_AFTER_DEADLINE: Micros = 2_000;

/// Longest time, in microseconds, that an attempt may wait to be sent; after that it is not sent at all. Half
/// of the drain grace or purge grace in the settings applies instead if it is shorter, because an attempt
/// decided just before a drain or purge may be sent after it.
const MAX_SEND_DELAY: Micros = 500_000;

/// An attempt about to be sent. Times are by the monotonic clock.
struct AttemptPlan {
    id: AttemptId,
    server: ServerId,
    fill: Option<Fill>,
    started_at: Micros,
    timeout_at: Micros,
}

impl<C: EndpointConnector> Actor<C> {
    // ---- start ----

    /// Starts an attempt at a server. With a timeout of 0, the attempt may take until the request's deadline.
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

    /// Ends a request for which nothing more may be sent, because its credential has expired or its client
    /// has disconnected. The message about a disconnect may still be queued in the mailbox, may have been
    /// dropped because the mailbox was full, or may not have been sent yet.
    fn end_request_if_obsolete(&mut self, id: RequestId) {
        if self.requests.waiting(id).is_some() && self.credential_has_expired(id) {
            self.expire_request(id);
        }
        if self.requests.get(id).is_some_and(PendingRequest::client_has_cancelled) {
            self.cancel_request(id);
        }
    }

    /// Sends an attempt to its server's connection actor. Returns whether the actor accepted it. A full
    /// mailbox means that the connection actor already has far more attempts than it can handle.
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
            let freshness_lifetime = request.rules.class().freshness_lifetime;
            let unix = self.clock.unix();
            self.purges.limit_age(fill, pending.object, request.group, freshness_lifetime, unix);
        }
        let max_delay = self.max_send_delay(pending, plan.started_at);
        let send_deadline = plan.timeout_at.min(plan.started_at + max_delay);
        UpstreamRequest {
            attempt_id: plan.id,
            id: request.id.clone(),
            class: pending.class_name.clone(),
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

    /// Returns how long an attempt may wait before it is sent, in microseconds. The grace periods are those
    /// in force, because they protect servers.
    fn max_send_delay(&self, pending: &PendingRequest, now: Micros) -> Micros {
        let grace_periods = [self.settings.drain_grace, self.settings.purge_grace];
        let shortest = grace_periods.into_iter().filter(|grace| *grace > 0).min();
        let delay = shortest.map_or(MAX_SEND_DELAY, |grace| (grace / 2).min(MAX_SEND_DELAY));
        match (&pending.request.rules.class().idempotency, pending.first_sent()) {
            // Servers recognize a retry only within this window after the first attempt. The policy read the
            // clock before the attempt was queued, so the rest of the window limits the delay.
            (Idempotency::IdempotencyKey { window, .. }, Some(first_sent)) => {
                delay.min((first_sent + window).saturating_sub(now))
            }
            _ => delay,
        }
    }

    // ---- end ----

    /// Records that an attempt has been written completely.
    pub(super) fn record_written(&mut self, id: AttemptId) {
        self.counters.attempts_written += 1;
        self.attempts.mark_written(id, self.clock.now());
    }

    /// Handles a connection actor's report that an attempt has ended.
    pub(super) fn handle_attempt_end(&mut self, id: AttemptId, result: AttemptResult) {
        let request = id.request_id();
        let outcome = self.outcome(request, &result);
        // Attempts of cancelled requests are recorded too, because they show whether a request whose client
        // has disconnected may have run.
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
                // A response that names a copy other than the client's, or no copy, is corrupt.
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

    /// Cancels an attempt on behalf of the policy.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId) {
        if let Some(server) = self.attempts.server(id) {
            self.send_cancel(server, id);
        }
        self.complete_attempt(id, Outcome::Cancelled, None);
    }

    fn send_cancel(&self, server: ServerId, id: AttemptId) {
        // If the mailbox is full, the server continues the attempt needlessly, and its response is ignored.
        self.endpoints.try_send(server, EndpointCommand::Cancel(id));
    }

    /// Completes an attempt. Only the first end counts: later ones find the attempt removed and are ignored.
    /// Guards against a connection actor that reports after a timeout or a cancellation, or not at all.
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
        let class_name = pending.class_name.clone();
        self.log_attempt(&attempt, &end);
        if let (Some(responder), Some(response)) = (responder, response.and_then(client_response)) {
            self.respond(&class_name, responder, response);
        }
        self.events.push_back(Event::AttemptEnded(AttemptEnd { request_finished, ..end }));
        self.requests.remove_if_complete(request);
    }

    /// Returns the end of an attempt in the form that the policy receives. The caller sets
    /// `request_finished`, which is `false` here.
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

/// Converts a fill's maximum age of copies from microseconds to the milliseconds that are forwarded. Rounds
/// down, because rounding up would allow an older copy. A non-zero age never becomes 0, because 0 means the
/// class's freshness lifetime.
fn max_age_ms(max_age: Micros) -> u64 {
    match max_age {
        0 => 0,
        max_age => (max_age / 1000).max(1),
    }
}

/// Converts a server's response to a response for the client. Returns `None` if its status is not one that is
/// passed on to clients.
fn client_response(response: UpstreamResponse) -> Option<ClientResponse> {
    match response.status {
        ResponseStatus::Ok(representation) => Some(ClientResponse::Served(representation)),
        ResponseStatus::NotModified(etag) => Some(ClientResponse::NotModified(etag)),
        _ => None,
    }
}
