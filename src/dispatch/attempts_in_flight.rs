//! Attempts in flight: those whose end is not known yet.

use super::endpoint_registry::RestartedEndpoint;
use crate::dispatch::AttemptId;
use crate::policy::types::{Fill, Micros, ServerId};
use std::collections::HashMap;

/// An attempt whose end is not known yet.
#[derive(Debug)]
pub(super) struct AttemptInFlight {
    pub(super) server: ServerId,
    /// The source of its fill, for the log.
    pub(super) fill_source: Option<ServerId>,
    /// Rank at which its copy is cached, for the log.
    pub(super) cache_rank: u8,
    /// Whether its endpoint's mailbox took it.
    pub(super) was_sent: bool,
    started: Micros,
    /// When it had been written completely.
    written: Option<Micros>,
}

impl AttemptInFlight {
    /// An attempt that begins now at a server.
    pub(super) fn new(server: ServerId, now: Micros, fill: Option<Fill>) -> Self {
        AttemptInFlight {
            server,
            fill_source: fill_source(server, fill),
            cache_rank: fill.map_or(0, |f| f.cache_rank),
            was_sent: false,
            started: now,
            written: None,
        }
    }

    /// How long the server has had it, in microseconds. What it waited for a connection says nothing of
    /// server or link; one that has a response had been written, be it that this was not reported.
    pub(super) fn time_at_server(&self, now: Micros, has_response: bool) -> Micros {
        let received = self.written.or(has_response.then_some(self.started));
        received.map_or(0, |at| now.saturating_sub(at))
    }
}

/// The server that a miss is filled from; none: the server itself, so that nothing is filled.
pub(super) fn fill_source(server: ServerId, fill: Option<Fill>) -> Option<ServerId> {
    fill.map(|f| f.source).filter(|source| *source != server)
}

/// The attempts whose end is not known yet.
#[derive(Debug, Default)]
pub(super) struct AttemptsInFlight(HashMap<AttemptId, AttemptInFlight>);

impl AttemptsInFlight {
    /// Adds an attempt.
    pub(super) fn insert(&mut self, id: AttemptId, attempt: AttemptInFlight) {
        self.0.insert(id, attempt);
    }

    /// Removes an attempt that has ended; none: it had ended before.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<AttemptInFlight> {
        self.0.remove(&id)
    }

    /// Whether the attempt has not ended.
    pub(super) fn contains(&self, id: AttemptId) -> bool {
        self.0.contains_key(&id)
    }

    /// The server of an attempt.
    pub(super) fn server(&self, id: AttemptId) -> Option<ServerId> {
        self.0.get(&id).map(|attempt| attempt.server)
    }

    /// The attempt's endpoint has it.
    pub(super) fn mark_sent(&mut self, id: AttemptId) {
        if let Some(attempt) = self.0.get_mut(&id) {
            attempt.was_sent = true;
        }
    }

    /// The attempt has been written completely.
    pub(super) fn mark_written(&mut self, id: AttemptId, now: Micros) {
        if let Some(attempt) = self.0.get_mut(&id) {
            attempt.written = Some(now);
        }
    }

    /// Attempts that were started at an endpoint's process before that of now.
    pub(super) fn lost_by(&self, restarted: &[RestartedEndpoint]) -> Vec<AttemptId> {
        let is_lost = |attempt: &AttemptInFlight| {
            restarted.iter().any(|r| attempt.server == r.server && attempt.started < r.started_at)
        };
        self.0.iter().filter(|(_, attempt)| is_lost(attempt)).map(|(id, _)| *id).collect()
    }

    /// Whether an attempt is in flight at this server.
    pub(super) fn any_at(&self, server: ServerId) -> bool {
        self.0.values().any(|attempt| attempt.server == server)
    }

    /// Attempts in flight.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
