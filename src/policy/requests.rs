//! Pending requests and their attempts.

use crate::policy::placement::Popularity;
use crate::policy::service_times::EstimateId;
use crate::policy::types::{Micros, Request, RequestId, RequestRules, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// The route of an attempt: a server, and the source if the server has to fill.
pub(super) struct Route {
    pub(super) server: ServerId,
    /// The source of a fill, or the server itself for an attempt sent directly to a parent or the origin.
    /// `None` if the server needs no source or may use none.
    pub(super) source: Option<ServerId>,
    /// Whether the source may serve only what it has cached.
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
    /// The source failed, or has not responded since the attempt was sent. The next attempt names another
    /// source.
    pub(super) source_failed: bool,
    /// The response may be lost, so the server may receive another attempt while this one is in flight.
    pub(super) response_lost: bool,
    /// The server must receive no further attempt of this request.
    pub(super) server_failed: bool,
    /// The attempt ended in an error caused more likely by the request than by a server.
    pub(super) request_at_fault: bool,
    /// The server had no suitable copy cached.
    pub(super) missed: bool,
    /// Slow-start tokens spent on the source, refunded if the attempt succeeds without a fill from it.
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
    pub(super) rules: RequestRules,
    /// The estimate of the service times of the request's class.
    pub(super) estimate: EstimateId,
    pub(super) attempts: Vec<Attempt>,
    /// Transfer time in microseconds: from the size if it is known, otherwise an estimate.
    pub(super) transfer_time: f64,
    /// The time by which the response has to be complete to meet the latency objective.
    pub(super) objective_at: Micros,
    pub(super) popularity: Popularity,
    /// The final response was given, or the client no longer waits for it.
    pub(super) finished: bool,
    pub(super) response_started: bool,
}

impl PendingRequest {
    /// Returns whether the request's settings allow a further attempt after those sent.
    pub(super) fn allows_another_attempt(&self) -> bool {
        let max_attempts = self.rules.settings().max_attempts as usize;
        max_attempts == 0 || self.attempts.len() < max_attempts
    }

    /// Returns whether the next attempt is the first one.
    pub(super) fn is_first_attempt(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns whether the client still waits for a response to start.
    pub(super) fn awaits_response(&self) -> bool {
        !self.finished && !self.response_started
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Returns whether exactly one attempt is in flight and it is at this server.
    pub(super) fn waits_only_for(&self, server: ServerId) -> bool {
        let mut in_flight = self.attempts.iter().filter(|attempt| attempt.in_flight);
        in_flight.next().is_some_and(|attempt| attempt.server == server) && in_flight.next().is_none()
    }

    /// Returns whether the server may receive another attempt, given the state of earlier attempts there.
    pub(super) fn may_use_server(&self, server: ServerId) -> bool {
        let excludes =
            |attempt: &Attempt| attempt.in_flight && !attempt.response_lost || attempt.server_failed;
        self.attempts.iter().all(|attempt| attempt.server != server || !excludes(attempt))
    }

    /// Returns whether a fill may name the source, given how earlier attempts with it ended.
    pub(super) fn may_use_source(&self, source: ServerId) -> bool {
        self.attempts.iter().all(|attempt| attempt.source != Some(source) || !attempt.source_failed)
    }

    /// Returns the time left to the latency objective, in microseconds; 0 if it has passed.
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

    /// Marks a request as finished. An unknown id is ignored.
    pub(super) fn finish(&mut self, id: RequestId) {
        if let Some(pending) = self.get_mut(id) {
            pending.finished = true;
        }
    }

    /// Returns the estimates that pending requests use.
    pub(super) fn estimates_in_use(&self) -> BTreeSet<EstimateId> {
        self.0.values().map(|pending| pending.estimate).collect()
    }

    /// Returns the requests that await a response and whose only attempt in flight is at this server.
    pub(super) fn waiting_only_for(&self, server: ServerId) -> Vec<RequestId> {
        let is_waiting = |p: &&PendingRequest| p.awaits_response() && p.waits_only_for(server);
        self.0.values().filter(is_waiting).map(|pending| pending.request.id).collect()
    }
}
