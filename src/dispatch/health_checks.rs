//! Health checks in flight, and what their results come to.

use crate::dispatch::{AttemptError, HealthReport};
use crate::policy::types::{Micros, Outcome, ServerId};
use std::collections::HashMap;

/// A health check without a response by then, in microseconds, has failed.
pub(super) const HEALTH_CHECK_TIMEOUT: Micros = 250_000;

/// A health check whose result is not known yet.
#[derive(Debug)]
pub(super) struct HealthCheck {
    pub(super) server: ServerId,
    pub(super) started: Micros,
}

/// The health checks whose results are not known yet.
#[derive(Debug, Default)]
pub(super) struct HealthChecks {
    in_flight: HashMap<u64, HealthCheck>,
    next_number: u64,
}

impl HealthChecks {
    /// Starts a health check and returns its number.
    pub(super) fn start(&mut self, server: ServerId, now: Micros) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.in_flight.insert(number, HealthCheck { server, started: now });
        number
    }

    /// Completes a health check; none: it had been completed before.
    pub(super) fn complete(&mut self, number: u64) -> Option<HealthCheck> {
        self.in_flight.remove(&number)
    }

    /// Health checks in flight.
    pub(super) fn len(&self) -> usize {
        self.in_flight.len()
    }
}

/// What a health check's result after this time (microseconds) proves of the server.
pub(super) fn outcome(result: &Result<HealthReport, AttemptError>, elapsed: Micros) -> Outcome {
    match result {
        Ok(HealthReport { healthy: true, .. }) => Outcome::Ok,
        Ok(HealthReport { healthy: false, .. }) => Outcome::Failed,
        Err(AttemptError::Unanswered) if elapsed >= HEALTH_CHECK_TIMEOUT => Outcome::TimedOut,
        Err(AttemptError::Unanswered | AttemptError::ResponseInterrupted) => Outcome::Reset,
        Err(_) => Outcome::ConnectError,
    }
}
