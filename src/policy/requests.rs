//! Pending requests and their attempts.

use crate::policy::placement::Popularity;
use crate::policy::types::{Micros, Request, RequestId, ServerId};
use std::collections::BTreeMap;

/// Where an attempt goes.
pub(super) struct Route {
    pub(super) server: ServerId,
    /// The source of a fill; the server itself for a request that it serves directly.
    pub(super) source: Option<ServerId>,
    /// The source may serve only what it has cached.
    pub(super) only_if_cached: bool,
}

impl Route {
    pub(super) fn is_direct(&self) -> bool {
        self.source == Some(self.server)
    }
}

/// One attempt of a request.
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) source: Option<ServerId>,
    pub(super) sent_at: Micros,
    pub(super) in_flight: bool,
    pub(super) may_have_run: bool,
    /// The source failed, or has been silent since the send: the next attempt should name another.
    pub(super) source_failed: bool,
    /// The response may be lost: the server may receive another attempt while this one is in flight.
    pub(super) response_lost: bool,
    /// The server must receive no further attempt of this request.
    pub(super) server_failed: bool,
    /// It ended in an error that is more likely the request's fault than a server's.
    pub(super) request_at_fault: bool,
    /// No suitable copy was cached at the server.
    pub(super) missed: bool,
    /// Slow-start tokens spent on the source, refunded if the response is a hit.
    pub(super) reserved_tokens: f64,
}

impl Attempt {
    pub(super) fn new(route: &Route, sent_at: Micros, reserved_tokens: f64) -> Self {
        Attempt {
            server: route.server,
            source: route.source,
            sent_at,
            in_flight: true,
            may_have_run: true,
            source_failed: false,
            response_lost: false,
            server_failed: false,
            request_at_fault: false,
            missed: false,
            reserved_tokens,
        }
    }
}

/// A request without a final response, or with attempts in flight.
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) attempts: Vec<Attempt>,
    /// Its transfer time in microseconds, known or estimated.
    pub(super) transfer_time: f64,
    /// When a response has to be complete to meet the latency objective.
    pub(super) objective_at: Micros,
    pub(super) popularity: Popularity,
    /// Most attempts by the settings at its arrival; 0 for no limit.
    pub(super) max_attempts: u32,
    /// The final response was given, or nobody waits for it.
    pub(super) finished: bool,
    pub(super) response_started: bool,
}

impl PendingRequest {
    /// Whether no attempt was sent before.
    pub(super) fn is_first_attempt(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether the client still waits for the start of a response.
    pub(super) fn awaits_response(&self) -> bool {
        !self.finished && !self.response_started
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether exactly one attempt is in flight, and at this server.
    pub(super) fn waits_only_for(&self, server: ServerId) -> bool {
        let mut in_flight = self.attempts.iter().filter(|attempt| attempt.in_flight);
        in_flight.next().is_some_and(|attempt| attempt.server == server) && in_flight.next().is_none()
    }

    /// Whether the server may receive an attempt, by how earlier ones there went.
    pub(super) fn may_use_server(&self, server: ServerId) -> bool {
        let excludes =
            |attempt: &Attempt| attempt.in_flight && !attempt.response_lost || attempt.server_failed;
        self.attempts.iter().all(|attempt| attempt.server != server || !excludes(attempt))
    }

    /// Whether a fill may name the source, by how earlier ones went.
    pub(super) fn may_use_source(&self, source: ServerId) -> bool {
        self.attempts.iter().all(|attempt| attempt.source != Some(source) || !attempt.source_failed)
    }

    /// Time left to the latency objective, in microseconds.
    pub(super) fn time_to_objective(&self, now: Micros) -> f64 {
        self.objective_at.saturating_sub(now) as f64
    }
}

/// All pending requests.
#[derive(Default)]
pub(super) struct PendingRequests(BTreeMap<RequestId, PendingRequest>);

impl PendingRequests {
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.0.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.0.get_mut(&id)
    }

    pub(super) fn insert(&mut self, pending: PendingRequest) {
        self.0.insert(pending.request.id, pending);
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.0.remove(&id)
    }

    /// Marks a request as finished.
    pub(super) fn finish(&mut self, id: RequestId) {
        if let Some(pending) = self.get_mut(id) {
            pending.finished = true;
        }
    }

    /// Requests without a response whose only attempt in flight is at this server.
    pub(super) fn waiting_only_for(&self, server: ServerId) -> Vec<RequestId> {
        let is_waiting = |p: &&PendingRequest| p.awaits_response() && p.waits_only_for(server);
        self.0.values().filter(is_waiting).map(|pending| pending.request.id).collect()
    }
}
