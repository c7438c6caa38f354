//! Slow start: token buckets that limit the work sent to recently started servers.

use crate::policy::endpoints::Endpoint;
use crate::policy::service_times::ServiceTimes;
use crate::policy::types::{Micros, Settings, SlowStartRule};

/// Upper limit of the work that all routers together may send to a server, as a share of the work that
/// overloads it. The limit is lower if only a few transfers overload the server; see [`BUDGET_DEVIATIONS`].
const MAX_BUDGET_SHARE: f64 = 0.65;
/// Margin between the mean number of transfers sent and the number that overloads a server, in standard
/// deviations of the number sent. The number is assumed to have a Poisson distribution.
const BUDGET_DEVIATIONS: f64 = 2.0;
/// Capacity of the token bucket, as a share of the difference between the work that overloads a server and
/// [`MAX_BUDGET_SHARE`] of that work.
const BURST_SHARE: f64 = 0.4;
/// Largest transfer that may be sent to a server, as a share of the work that overloads it.
const MAX_TRANSFER_SHARE: f64 = 0.25;

/// A token bucket for the work that this router may send to a server. One token is one microsecond of
/// transfer time.
#[derive(Default)]
pub(super) struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    pub(super) fn new(tokens: f64, now: Micros) -> Self {
        TokenBucket { tokens, refilled_at: now }
    }

    fn refill(&mut self, limits: &Limits, now: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64;
        self.tokens = (self.tokens + limits.refill_rate * elapsed).min(limits.burst);
        self.refilled_at = now;
    }

    /// Returns whether a transfer may start. It may overdraw the bucket; the next one then waits until the
    /// bucket is no longer below 0.
    fn admits(&self, transfer_time: f64, limits: &Limits) -> bool {
        self.tokens >= 0.0 && transfer_time <= limits.max_transfer_time
    }

    /// Refunds tokens that were spent on work that the server did not have to do.
    pub(super) fn refund(&mut self, tokens: f64) {
        self.tokens += tokens;
    }
}

/// The limits of one server in slow start: this router's share of the work that the server can take.
struct Limits {
    /// Refill rate, in tokens per microsecond.
    refill_rate: f64,
    /// Largest number of tokens in the bucket.
    burst: f64,
    /// Longest transfer that may be sent to the server, in microseconds.
    max_transfer_time: f64,
}

/// The slow-start rules of the settings, applied to servers.
pub(super) struct SlowStart<'a> {
    pub(super) settings: &'a Settings,
    pub(super) service_times: &'a ServiceTimes,
}

impl SlowStart<'_> {
    /// Returns whether a transfer of this time may be sent to the server now; always true for a warm server.
    pub(super) fn admits(&self, endpoint: &mut Endpoint, transfer_time: f64, now: Micros) -> bool {
        let Some(limits) = self.limits(endpoint, now) else { return true };
        endpoint.slow_start.refill(&limits, now);
        endpoint.slow_start.admits(transfer_time, &limits)
    }

    /// Spends the tokens for a transfer of this time if the bucket admits it. Called for everything that is
    /// sent to the server.
    pub(super) fn spend(&self, endpoint: &mut Endpoint, transfer_time: f64, now: Micros) {
        let Some(limits) = self.limits(endpoint, now) else { return };
        endpoint.slow_start.refill(&limits, now);
        if endpoint.slow_start.admits(transfer_time, &limits) {
            endpoint.slow_start.tokens -= transfer_time;
        }
    }

    /// Returns the limits of a server, or `None` if it is warm: its slow start is over or it started long
    /// ago. The origin has no slow start. The limits keep the work in any overload window well below what
    /// overloads the server.
    ///
    /// With many routers the share of each is less than one transfer. A router may still start a whole
    /// transfer when its bucket is not overdrawn, and pays for it before it starts the next one. As the
    /// buckets begin with random debts, the first transfers of the routers come at different times.
    fn limits(&self, endpoint: &Endpoint, now: Micros) -> Option<Limits> {
        let member = &endpoint.member;
        let rule = self.rule(endpoint);
        let age = now.saturating_sub(member.started_at);
        if member.started_at == 0 || age >= rule.warm_up_time || endpoint.is_origin(self.settings) {
            return None;
        }
        let warm = rule.initial_capacity_share
            + (1.0 - rule.initial_capacity_share) * age as f64 / rule.warm_up_time as f64;
        let overload =
            endpoint.size(self.settings) * warm * rule.overload_multiple * rule.overload_window as f64;
        let transfers = overload / self.service_times.max_transfer_time();
        let share = overload / f64::from(self.sharing_routers(endpoint).max(1));
        Some(Limits {
            refill_rate: share * safe_share(transfers).min(MAX_BUDGET_SHARE) / rule.overload_window as f64,
            burst: share * (1.0 - MAX_BUDGET_SHARE) * BURST_SHARE,
            max_transfer_time: overload * MAX_TRANSFER_SHARE,
        })
    }

    fn rule(&self, endpoint: &Endpoint) -> SlowStartRule {
        if endpoint.is_parent(self.settings) {
            self.settings.parent_slow_start
        } else {
            self.settings.cache_slow_start
        }
    }

    /// Returns the number of routers that send to a server: all routers for a parent, those of its zone for a
    /// cache. All routers are assumed if the number in the zone is unknown.
    fn sharing_routers(&self, endpoint: &Endpoint) -> u32 {
        if endpoint.is_parent(self.settings) {
            return self.settings.routers;
        }
        let in_zone = self.settings.routers_by_zone.get(endpoint.member.zone).copied().unwrap_or(0);
        if in_zone > 0 {
            in_zone
        } else {
            self.settings.routers
        }
    }
}

/// Returns the share of `transfers`, the largest number that a server can take, that may be sent on average.
/// If the transfers arrive at random, their mean number plus [`BUDGET_DEVIATIONS`] standard deviations is
/// `transfers`.
fn safe_share(transfers: f64) -> f64 {
    ((transfers + BUDGET_DEVIATIONS * BUDGET_DEVIATIONS / 4.0).sqrt() - BUDGET_DEVIATIONS / 2.0).powi(2)
        / transfers
}
