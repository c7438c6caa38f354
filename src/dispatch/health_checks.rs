//! Health checks in flight, and how their results are judged.

use crate::dispatch::{AttemptError, HealthReport};
use crate::policy::types::{Micros, Outcome, ServerId};
use std::collections::HashMap;

/// Time, in microseconds, after which a health check without a response has failed.
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

    /// Removes a health check that has ended. Returns `None` if it had ended before.
    pub(super) fn complete(&mut self, number: u64) -> Option<HealthCheck> {
        self.in_flight.remove(&number)
    }

    pub(super) fn len(&self) -> usize {
        self.in_flight.len()
    }
}

/// Returns the outcome of a health check that gave `result` after `elapsed` microseconds.
pub(super) fn outcome(result: &Result<HealthReport, AttemptError>, elapsed: Micros) -> Outcome {
    match result {
        Ok(HealthReport { healthy: true, .. }) => Outcome::Ok,
        Ok(HealthReport { healthy: false, .. }) => Outcome::Failed,
        Err(AttemptError::Unanswered) if elapsed >= HEALTH_CHECK_TIMEOUT => Outcome::TimedOut,
        Err(AttemptError::Unanswered | AttemptError::ResponseInterrupted) => Outcome::Reset,
        Err(_) => Outcome::ConnectError,
    }
}
