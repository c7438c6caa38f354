//! Retries and hedged requests: the retry budget, and whether a further attempt is safe.

use crate::policy::endpoints::EndpointTable;
use crate::policy::requests::{Attempt, PendingRequest};
use crate::policy::router::Router;
use crate::policy::types::{Action, Idempotency, KeyScope, Micros, RequestId, ServerId};

/// Tokens that each request adds to the retry budget; a further attempt costs 1.
const TOKENS_PER_REQUEST: f64 = 0.05;
/// Largest number of tokens in the retry budget.
const MAX_TOKENS: f64 = 25.0;
/// Share of lost responses above which losses are general, so that a single one is not attributed to its
/// server.
const MIN_LOSS_SHARE: f64 = 0.05;
/// Weight of a new observation in the running share of lost responses.
const LOSS_OBSERVATION_WEIGHT: f64 = 0.02;

/// The retry budget: tokens for further attempts, shared by all requests.
pub(super) struct RetryBudget {
    tokens: f64,
    /// Running share of attempts whose response was lost while the cache still responds to other requests.
    lost_share: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS / 2.0, lost_share: 0.0 }
    }
}

impl RetryBudget {
    /// Adds the tokens that a new request earns: [`TOKENS_PER_REQUEST`] plus the share of lost responses.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST + self.lost_share).min(MAX_TOKENS);
    }

    /// Records for one attempt whether its response was lost.
    pub(super) fn record_response(&mut self, lost: bool) {
        self.lost_share += LOSS_OBSERVATION_WEIGHT * (f64::from(u8::from(lost)) - self.lost_share);
    }

    /// Returns whether responses are lost in general, so that a lost one is no evidence against its server.
    pub(super) fn responses_get_lost(&self) -> bool {
        self.lost_share > MIN_LOSS_SHARE
    }
}

/// Returns whether a further attempt at this server is allowed and can do no harm. This depends on the
/// request's rules: on hedging, on the limit on attempts and, if earlier attempts may have run, on the
/// class's idempotency.
pub(super) fn is_safe_attempt(
    endpoints: &EndpointTable,
    pending: &PendingRequest,
    server: ServerId,
    now: Micros,
) -> bool {
    if !pending.rules.settings().hedging && pending.has_attempt_in_flight() {
        return false;
    }
    if !pending.allows_another_attempt() {
        return false;
    }
    let mut may_have_run = pending.attempts.iter().filter(|attempt| attempt.may_have_run);
    match pending.rules.class().idempotency {
        Idempotency::Idempotent => true,
        Idempotency::AtMostOnce => may_have_run.next().is_none(),
        Idempotency::IdempotencyKey { scope, window } => may_have_run.all(|attempt: &Attempt| {
            now.saturating_sub(attempt.sent_at) < window
                && in_key_scope(endpoints, scope, attempt.server, server)
        }),
    }
}

/// Returns whether the second server recognizes and drops a duplicate of a request that ran at the first.
fn in_key_scope(endpoints: &EndpointTable, scope: KeyScope, first: ServerId, second: ServerId) -> bool {
    if scope == KeyScope::All {
        return true;
    }
    let (Some(first), Some(second)) = (endpoints.get(first), endpoints.get(second)) else { return false };
    let (first, second) = (&first.member, &second.member);
    first.zone == second.zone && (scope == KeyScope::Zone || first.cell == second.cell)
}

/// Returns whether the request may be rejected. A rejection promises the client that a retry does no harm.
pub(super) fn may_reject(pending: &PendingRequest) -> bool {
    match pending.rules.class().idempotency {
        Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
        _ => pending.attempts.iter().all(|attempt| !attempt.may_have_run),
    }
}

impl Router {
    /// Sends a further attempt (retry or hedged request) if the retry budget has a token and the transfer can
    /// complete before the deadline. Returns whether it was sent.
    pub(super) fn send_retry(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.get(id) else { return false };
        let is_too_late = now as f64 + pending.transfer_time > pending.request.deadline as f64;
        if self.retry_budget.tokens < 1.0 || is_too_late {
            return false;
        }
        let sent = self.send_attempt(now, id, actions);
        if sent {
            self.retry_budget.tokens -= 1.0;
        }
        sent
    }
}
