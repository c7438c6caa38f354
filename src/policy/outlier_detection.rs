//! Outlier detection: ejects failing servers, before the member list removes them, until a probation request
//! succeeds.

use crate::policy::router::Router;
use crate::policy::types::{Action, Micros, Outcome, ServerId};

/// Weighted sum of consecutive failures from which a server is ejected.
const MAX_CONSECUTIVE_FAILURES: f64 = 3.0;
/// Weight of a timeout or an error.
pub(super) const FAILURE_WEIGHT: f64 = 1.0;
/// Weight of a refused or broken connection, which is stronger evidence than a missing response.
pub(super) const CONNECTION_FAILURE_WEIGHT: f64 = 1.5;
/// Weight of an error returned before any fill, which is caused by the request more often than not.
pub(super) const REQUEST_ERROR_WEIGHT: f64 = 0.1;
/// Weight of a late response where health checks are enabled. It only triggers a health check, which gives
/// better evidence.
const LATE_RESPONSE_WEIGHT: f64 = 0.0;
/// Connections to a server that break within this time of each other have one cause and count as one failure.
const RESET_GROUPING_WINDOW: Micros = 50_000;
/// Initial interval between probation requests. Each failed one doubles it.
const MIN_PROBATION_INTERVAL: Micros = 700_000;
/// Largest interval between probation requests.
const MAX_PROBATION_INTERVAL: Micros = 5_600_000;
/// A server that rejected a request receives no requests for this long.
const OVERLOAD_BACKOFF: Micros = 60_000;

/// The schedule of probation requests to an ejected server.
struct Probation {
    next_request_at: Micros,
    interval: Micros,
}

/// The health of one server, according to this router's attempts and health checks.
#[derive(Default)]
pub(super) struct Health {
    /// Weighted sum of failures since the last success.
    consecutive_failures: f64,
    health_check_in_flight: bool,
    last_success_at: Micros,
    /// Set while the server is ejected.
    probation: Option<Probation>,
    overloaded_until: Micros,
    last_reset_at: Micros,
}

impl Health {
    /// Ends an ejection and clears failures, because another process now runs on the server.
    pub(super) fn reset(&mut self) {
        self.consecutive_failures = 0.0;
        self.probation = None;
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.probation.is_some()
    }

    /// Returns whether the server is not ejected, or a probation request to it is due.
    pub(super) fn is_available(&self, now: Micros) -> bool {
        self.probation.as_ref().is_none_or(|probation| probation.next_request_at <= now)
    }

    pub(super) fn is_overloaded(&self, now: Micros) -> bool {
        self.overloaded_until > now
    }

    /// Records that the server rejected a request for lack of capacity: it is overloaded for
    /// [`OVERLOAD_BACKOFF`].
    pub(super) fn back_off(&mut self, now: Micros) {
        self.overloaded_until = now + OVERLOAD_BACKOFF;
    }

    /// Returns whether a response to any of this router's requests or health checks arrived at or after
    /// `time`.
    pub(super) fn responded_since(&self, time: Micros) -> bool {
        self.last_success_at >= time
    }

    /// Records that a request is sent. To an ejected server, the next one is due after the probation
    /// interval.
    pub(super) fn request_sent(&mut self, now: Micros) {
        if let Some(probation) = &mut self.probation {
            probation.next_request_at = now + probation.interval;
        }
    }

    /// Records a broken connection. Returns whether it broke together with an earlier one.
    pub(super) fn record_reset(&mut self, now: Micros) -> bool {
        let before = std::mem::replace(&mut self.last_reset_at, now);
        before > 0 && now.saturating_sub(before) < RESET_GROUPING_WINDOW
    }

    /// Records a success. Returns whether it ended an ejection.
    fn record_success(&mut self, now: Micros) -> bool {
        self.last_success_at = now;
        self.consecutive_failures = 0.0;
        self.probation.take().is_some()
    }

    /// Ejects the server, or doubles the probation interval if it is already ejected. Returns whether it is
    /// newly ejected. `jitter` is in [0, 1). Growing intervals outlast a series of chance failures, and keep
    /// a fleet of routers from sending to a server that stays down.
    fn eject(&mut self, now: Micros, jitter: f64) -> bool {
        let interval = match &self.probation {
            Some(probation) => (2 * probation.interval).min(MAX_PROBATION_INTERVAL),
            None => MIN_PROBATION_INTERVAL,
        };
        let wait = (interval as f64 * (0.5 + jitter)) as Micros;
        let probation = Probation { next_request_at: now + wait, interval };
        self.probation.replace(probation).is_none()
    }
}

impl Router {
    /// Records a success of a server. It proves that the server works, and ends its ejection.
    pub(super) fn record_success(&mut self, now: Micros, id: ServerId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if endpoint.health.record_success(now) {
            actions.push(Action::Log(format!("server {} answers again", id.0)));
        }
    }

    /// Adds the weight of a failure to the server's consecutive failures. Below the limit, a health check is
    /// requested; at the limit, the server is ejected and the requests that wait only for it are hedged.
    pub(super) fn record_failure(
        &mut self,
        now: Micros,
        id: ServerId,
        weight: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let is_running = endpoint.is_running();
        let health = &mut endpoint.health;
        health.consecutive_failures += weight;
        if health.consecutive_failures < MAX_CONSECUTIVE_FAILURES {
            let may_check = self.settings.health_checks && is_running;
            if may_check && !std::mem::replace(&mut health.health_check_in_flight, true) {
                actions.push(Action::HealthCheck(id));
            }
            return;
        }
        if health.eject(now, self.random.unit_for(id.0.into())) {
            actions.push(Action::Log(format!("server {} suspected", id.0)));
            for request in self.requests.waiting_only_for(id) {
                self.send_retry(now, request, actions);
            }
        }
    }

    /// Records a late response from a server that has not responded to anything since the attempt was sent.
    /// With little traffic from this router that is true of every late response, so a health check gives
    /// better evidence and is preferred where health checks are enabled.
    pub(super) fn record_unresponsive(&mut self, now: Micros, id: ServerId, actions: &mut Vec<Action>) {
        let weight = if self.settings.health_checks { LATE_RESPONSE_WEIGHT } else { FAILURE_WEIGHT };
        self.record_failure(now, id, weight, actions);
    }

    /// Handles the outcome of a health check. A response, even a rejection, shows that the process runs. A
    /// late response to an attempt sent before the check is then no evidence that the server is unresponsive.
    pub(super) fn health_checked(
        &mut self,
        now: Micros,
        id: ServerId,
        outcome: Outcome,
        load_report: &[f64],
        actions: &mut Vec<Action>,
    ) {
        if self.endpoints.caches.contains(id) {
            self.admission.observe_load_report(&self.settings, load_report);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.health.health_check_in_flight = false;
        match outcome {
            Outcome::Ok | Outcome::Rejected => endpoint.health.last_success_at = now,
            Outcome::ConnectError | Outcome::Reset => {
                self.record_failure(now, id, MAX_CONSECUTIVE_FAILURES, actions)
            }
            _ => self.record_failure(now, id, MAX_CONSECUTIVE_FAILURES / 2.0, actions),
        }
    }
}
