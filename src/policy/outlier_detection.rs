//! Outlier detection: servers that fail are ejected, ahead of the member list, until a probation request
//! succeeds.

use crate::policy::router::Router;
use crate::policy::types::{Action, Micros, Outcome, ServerId};

/// Consecutive failures that eject a server.
const MAX_CONSECUTIVE_FAILURES: f64 = 3.0;
/// A timeout or an error.
pub(super) const FAILURE: f64 = 1.0;
/// A refused or broken connection counts as so many failures: it is plainer than silence.
pub(super) const CONNECTION_FAILURE: f64 = 1.5;
/// An error before any fill counts as so many failures: more often than not the request is at fault.
pub(super) const REQUEST_ERROR: f64 = 0.1;
/// A late response where health checks tell more: only asks for one.
const SUSPICION: f64 = 0.0;
/// Connections that break within this time broke by one event, so that they count once.
const RESET_GROUPING_WINDOW: Micros = 50_000;
/// The first interval between probation requests; each that fails doubles it.
const MIN_PROBATION_INTERVAL: Micros = 700_000;
const MAX_PROBATION_INTERVAL: Micros = 5_600_000;
/// A server that rejected a request receives none for this long.
const OVERLOAD_BACKOFF: Micros = 60_000;

/// When an ejected server receives requests.
struct Probation {
    next_request_at: Micros,
    interval: Micros,
}

/// The health of one server, as this router's attempts and health checks show it.
#[derive(Default)]
pub(super) struct Health {
    /// Weighted failures since the last success.
    consecutive_failures: f64,
    health_check_in_flight: bool,
    last_success_at: Micros,
    /// Set while the server is ejected.
    probation: Option<Probation>,
    overloaded_until: Micros,
    last_reset_at: Micros,
}

impl Health {
    /// Another process runs on the server.
    pub(super) fn reset(&mut self) {
        self.consecutive_failures = 0.0;
        self.probation = None;
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.probation.is_some()
    }

    /// Whether it is not ejected, or a probation request is due.
    pub(super) fn is_available(&self, now: Micros) -> bool {
        self.probation.as_ref().is_none_or(|probation| probation.next_request_at <= now)
    }

    pub(super) fn is_overloaded(&self, now: Micros) -> bool {
        self.overloaded_until > now
    }

    /// The server rejected a request for lack of capacity.
    pub(super) fn back_off(&mut self, now: Micros) {
        self.overloaded_until = now + OVERLOAD_BACKOFF;
    }

    /// Whether the server responded to anything that this router sent, at or after this time.
    pub(super) fn responded_since(&self, time: Micros) -> bool {
        self.last_success_at >= time
    }

    /// A request is sent: the next probation request is due an interval later.
    pub(super) fn request_sent(&mut self, now: Micros) {
        if let Some(probation) = &mut self.probation {
            probation.next_request_at = now + probation.interval;
        }
    }

    /// Records a broken connection, and returns whether it broke together with an earlier one.
    pub(super) fn record_reset(&mut self, now: Micros) -> bool {
        let before = std::mem::replace(&mut self.last_reset_at, now);
        before > 0 && now.saturating_sub(before) < RESET_GROUPING_WINDOW
    }

    /// Records a success, and returns whether it ended an ejection.
    fn record_success(&mut self, now: Micros) -> bool {
        self.last_success_at = now;
        self.consecutive_failures = 0.0;
        self.probation.take().is_some()
    }

    /// Ejects the server or doubles its probation interval, and returns whether it was not ejected before.
    /// `jitter` is in [0, 1). Growing intervals end chance failures in a row, and keep a fleet of routers off
    /// a server that is lost.
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
    /// Records a success of a server, which proves that it works.
    pub(super) fn record_success(&mut self, now: Micros, id: ServerId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if endpoint.health.record_success(now) {
            actions.push(Action::Log(format!("server {} answers again", id.0)));
        }
    }

    /// Records a failure of a server by its weight. Below the limit a health check is asked for; at it the
    /// server is ejected, and requests that wait for it alone are hedged.
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

    /// Records a response that is late from a server that has been silent since the attempt. If this router
    /// sends little, every late response finds a server silent, so that a health check tells more.
    pub(super) fn record_silence(&mut self, now: Micros, id: ServerId, actions: &mut Vec<Action>) {
        let weight = if self.settings.health_checks { SUSPICION } else { FAILURE };
        self.record_failure(now, id, weight, actions);
    }

    /// Takes the outcome of a health check. A response shows that the process runs: a response that was late
    /// before it is no sign of silence.
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
