//! Attempts in flight: those that have not ended, as far as is known.

use super::endpoint_registry::RestartedEndpoint;
use crate::dispatch::AttemptId;
use crate::policy::types::{Fill, Micros, ServerId};
use std::collections::HashMap;

/// An attempt that has not ended, as far as is known.
#[derive(Debug)]
pub(super) struct AttemptInFlight {
    pub(super) server: ServerId,
    /// Server that a miss is filled from, for the log.
    pub(super) fill_source: Option<ServerId>,
    /// Rank at which the copy is cached, for the log.
    pub(super) cache_rank: u8,
    /// Whether the mailbox of its connection actor accepted it.
    pub(super) was_sent: bool,
    started: Micros,
    /// When the attempt was completely written. `None` if this has not been reported.
    written: Option<Micros>,
}

impl AttemptInFlight {
    /// Creates an attempt that starts at `now` and has not been sent.
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

    /// Returns how long the server has had the attempt, in microseconds. Time spent waiting for a connection
    /// does not count, because it says nothing about the server or the link. An attempt with a response has
    /// been written even if this was not reported; its time then counts from its start.
    pub(super) fn time_at_server(&self, now: Micros, has_response: bool) -> Micros {
        let received = self.written.or(has_response.then_some(self.started));
        received.map_or(0, |at| now.saturating_sub(at))
    }
}

/// Returns the server that a miss is filled from. Returns `None` if nothing is filled, which includes a fill
/// that names the server itself.
pub(super) fn fill_source(server: ServerId, fill: Option<Fill>) -> Option<ServerId> {
    fill.map(|f| f.source).filter(|source| *source != server)
}

/// The attempts in flight, by id.
#[derive(Debug, Default)]
pub(super) struct AttemptsInFlight(HashMap<AttemptId, AttemptInFlight>);

impl AttemptsInFlight {
    pub(super) fn insert(&mut self, id: AttemptId, attempt: AttemptInFlight) {
        self.0.insert(id, attempt);
    }

    /// Removes an attempt that has ended. Returns `None` if it had ended before.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<AttemptInFlight> {
        self.0.remove(&id)
    }

    /// Returns whether the attempt is in flight.
    pub(super) fn contains(&self, id: AttemptId) -> bool {
        self.0.contains_key(&id)
    }

    /// Returns the server of an attempt in flight.
    pub(super) fn server(&self, id: AttemptId) -> Option<ServerId> {
        self.0.get(&id).map(|attempt| attempt.server)
    }

    /// Records that the mailbox of the connection actor accepted the attempt.
    pub(super) fn mark_sent(&mut self, id: AttemptId) {
        if let Some(attempt) = self.0.get_mut(&id) {
            attempt.was_sent = true;
        }
    }

    /// Records that the attempt was completely written at `now`.
    pub(super) fn mark_written(&mut self, id: AttemptId, now: Micros) {
        if let Some(attempt) = self.0.get_mut(&id) {
            attempt.written = Some(now);
        }
    }

    /// Returns the attempts that were started before the present process of their endpoint.
    pub(super) fn lost_to_restarts(&self, restarted: &[RestartedEndpoint]) -> Vec<AttemptId> {
        let is_lost = |attempt: &AttemptInFlight| {
            restarted.iter().any(|r| attempt.server == r.server && attempt.started < r.started_at)
        };
        self.0.iter().filter(|(_, attempt)| is_lost(attempt)).map(|(id, _)| *id).collect()
    }

    /// Returns whether any attempt is in flight at `server`.
    pub(super) fn any_at(&self, server: ServerId) -> bool {
        self.0.values().any(|attempt| attempt.server == server)
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
