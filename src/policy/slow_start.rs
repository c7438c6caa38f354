//! Slow start: limits on the work given to servers that started lately (token bucket).

use crate::policy::endpoints::Endpoint;
use crate::policy::service_times::ServiceTimes;
use crate::policy::types::{Micros, Settings, SlowStartRule};

/// Greatest share of the work that overloads a server which all routers together may send it,
const MAX_BUDGET_SHARE: f64 = 0.65;
/// and less if that is few transfers: by so many standard deviations of a number that comes by chance.
const BUDGET_DEVIATIONS: f64 = 2.0;
/// Share of the rest that may be spent in a burst.
const BURST_SHARE: f64 = 0.4;
/// Greatest share of the whole in one transfer.
const MAX_TRANSFER_SHARE: f64 = 0.25;

/// Tokens for the work that this router may send to a server; one token is one microsecond of transfer time.
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

    /// Whether a transfer may start: it may overdraw the bucket, which then is paid off before the next.
    fn admits(&self, transfer_time: f64, limits: &Limits) -> bool {
        self.tokens >= 0.0 && transfer_time <= limits.max_transfer_time
    }

    /// Gives back tokens spent on work that the server turned out not to have.
    pub(super) fn refund(&mut self, tokens: f64) {
        self.tokens += tokens;
    }
}

/// This router's share of what a server that warms up can take.
struct Limits {
    /// Tokens per microsecond.
    refill_rate: f64,
    /// Most tokens in the bucket.
    burst: f64,
    /// The longest transfer that the server may be given, in microseconds.
    max_transfer_time: f64,
}

/// Applies the slow-start rules of the settings to servers.
pub(super) struct SlowStart<'a> {
    pub(super) settings: &'a Settings,
    pub(super) service_times: &'a ServiceTimes,
}

impl SlowStart<'_> {
    /// Whether the server may be given a transfer of this time now.
    pub(super) fn admits(&self, endpoint: &mut Endpoint, transfer_time: f64, now: Micros) -> bool {
        let Some(limits) = self.limits(endpoint, now) else { return true };
        endpoint.slow_start.refill(&limits, now);
        endpoint.slow_start.admits(transfer_time, &limits)
    }

    /// Spends the tokens for a transfer of this time, if the server may be given it. All that is sent counts.
    pub(super) fn spend(&self, endpoint: &mut Endpoint, transfer_time: f64, now: Micros) {
        let Some(limits) = self.limits(endpoint, now) else { return };
        endpoint.slow_start.refill(&limits, now);
        if endpoint.slow_start.admits(transfer_time, &limits) {
            endpoint.slow_start.tokens -= transfer_time;
        }
    }

    /// The limits of a server, which stay well below what overloads it in any window; `None` once it is warm.
    /// Among many routers a share is less than one transfer: each may then start a whole one in its turn,
    /// which it pays off before the next, and the first turns come at different times.
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

    /// The number of routers that send to a server: all for a parent, those of its zone for a cache.
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

/// The share of so many transfers, the most that a server can take, whose number stays below that by
/// [`BUDGET_DEVIATIONS`] if they arrive at random.
fn safe_share(transfers: f64) -> f64 {
    ((transfers + BUDGET_DEVIATIONS * BUDGET_DEVIATIONS / 4.0).sqrt() - BUDGET_DEVIATIONS / 2.0).powi(2)
        / transfers
}
