//! A checker of the five rules that every decision follows. It sees only the router's events and actions.

use crate::common::*;
use foxhold::*;
use std::collections::BTreeMap;

/// An attempt that the router sent.
pub struct Attempt {
    pub server: ServerId,
    pub sent_at: Micros,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A request that the router received.
pub struct TrackedRequest {
    pub request: Request,
    pub attempts: Vec<Attempt>,
    /// Whether the router sent a final response, an attempt succeeded or the client cancelled.
    pub finished: bool,
}

/// A purge that the router was notified of.
pub struct IssuedPurge {
    pub object: ObjectId,
    pub purged_at: Micros,
    pub notified_at: Micros,
}

/// A server that started, and the transfer times that have been sent to it since.
pub struct StartedServer {
    pub started_at: Micros,
    pub sent: Vec<(Micros, f64)>,
}

/// Asserts the five rules on each action of a router.
pub struct RuleChecker {
    pub settings: Settings,
    pub now: Micros,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    /// The time at which each server began to drain or left the member list.
    pub departed: BTreeMap<ServerId, Micros>,
    pub purges: Vec<IssuedPurge>,
    pub started: BTreeMap<ServerId, StartedServer>,
    pub timers: Vec<(Micros, TimerToken)>,
}

impl RuleChecker {
    pub fn new(settings: Settings, now: Micros) -> Self {
        RuleChecker {
            settings,
            now,
            requests: BTreeMap::new(),
            departed: BTreeMap::new(),
            purges: Vec::new(),
            started: BTreeMap::new(),
            timers: Vec::new(),
        }
    }

    /// Checks the actions that follow from one event.
    pub fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Attempt { request, server, fill, .. } => self.check_attempt(*request, *server, *fill),
                Action::Reject { request, .. } => self.check_final_response(*request, true),
                Action::Fail(request) => self.check_final_response(*request, false),
                Action::Cancel { request, attempt } => {
                    let attempt = &self.requests[request].attempts[*attempt as usize];
                    assert!(attempt.outcome.is_none(), "an attempt was cancelled after its end");
                }
                Action::SetTimer { at, token } => self.timers.push((*at, *token)),
                _ => {}
            }
        }
    }

    fn check_final_response(&mut self, id: RequestId, is_rejection: bool) {
        let tracked = self.requests.get_mut(&id).expect("a request that was received");
        assert!(!tracked.finished, "rule 1: a second final response");
        assert!(self.now <= tracked.request.deadline + 8_000, "rule 1: a response past the deadline");
        tracked.finished = true;
        let may_have_run = tracked.attempts.iter().any(Attempt::may_have_run);
        let is_safe = match self.settings.classes[tracked.request.class].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
            _ => !may_have_run,
        };
        assert!(!is_rejection || is_safe, "rule 2: a request that may have run was rejected");
    }

    fn check_attempt(&mut self, id: RequestId, server: ServerId, fill: Option<Fill>) {
        let tracked = self.requests.get(&id).expect("a request that was received");
        let (object, transfer_time) = (tracked.request.object, tracked.request.size_kb * 1000.0);
        self.check_timing(tracked);
        self.check_idempotency(tracked, server);
        self.check_departures(server, fill);
        self.check_purges(object, fill);
        for used in [server, fill.map_or(server, |fill| fill.source)] {
            self.check_slow_start(used, transfer_time);
        }
        let tracked = self.requests.get_mut(&id).expect("a request that was received");
        tracked.attempts.push(Attempt { server, sent_at: self.now, outcome: None });
    }

    fn check_timing(&self, tracked: &TrackedRequest) {
        assert!(!tracked.finished, "rule 1: an attempt after the request finished");
        assert!(self.now <= tracked.request.deadline, "rule 1: an attempt after the deadline");
        assert!(tracked.attempts.len() < self.settings.max_attempts as usize);
        if !self.settings.hedging {
            assert!(
                tracked.attempts.iter().all(|a| a.outcome.is_some()),
                "two attempts in flight without hedging"
            );
        }
    }

    fn check_idempotency(&self, tracked: &TrackedRequest, server: ServerId) {
        for earlier in tracked.attempts.iter().filter(|attempt| attempt.may_have_run()) {
            match self.settings.classes[tracked.request.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::AtMostOnce => panic!("rule 2: an at-most-once request was retried"),
                Idempotency::IdempotencyKey { scope, window } => {
                    assert!(
                        self.now - earlier.sent_at < window,
                        "rule 2: a retry past the idempotency window"
                    );
                    let cell = |id: ServerId| (running_member(id.0).zone, running_member(id.0).cell);
                    let in_scope = scope == KeyScope::All || cell(server) == cell(earlier.server);
                    assert!(in_scope, "rule 2: a retry in another cell");
                }
            }
        }
    }

    fn check_departures(&self, server: ServerId, fill: Option<Fill>) {
        for used in [Some(server), fill.map(|fill| fill.source)].into_iter().flatten() {
            if let Some(departed_at) = self.departed.get(&used) {
                assert!(
                    self.now <= departed_at + self.settings.drain_grace,
                    "rule 3: {used:?} used after the drain grace"
                );
            }
        }
    }

    /// Checks the budget of a server in slow start. A server that is both cache and source counts twice,
    /// which is stricter than the rule.
    fn check_slow_start(&mut self, used: ServerId, transfer_time: f64) {
        let now = self.now;
        let Some(started) = self.started.get_mut(&used) else { return };
        started.sent.push((now, transfer_time));
        let rule = self.settings.cache_slow_start;
        let age = (now - started.started_at) as f64;
        let warm = rule.initial_capacity_share
            + (1.0 - rule.initial_capacity_share) * age / rule.warm_up_time as f64;
        let in_window = started.sent.iter().filter(|sent| sent.0 + rule.overload_window > now);
        let sum: f64 = in_window.map(|sent| sent.1).sum();
        let routers = if used.0 > 10 { 2.0 } else { 1.0 };
        let budget = rule.overload_multiple * 20.0 * warm.min(1.0) * rule.overload_window as f64 / routers;
        assert!(sum <= budget, "rule 4: {used:?} received {sum} us of transfer time, budget {budget} us");
    }

    fn check_purges(&self, object: ObjectId, fill: Option<Fill>) {
        let now = self.now;
        for purge in self.purges.iter().filter(|purge| purge.object == object) {
            let is_binding = now >= purge.notified_at + self.settings.purge_grace
                && now < purge.purged_at + self.settings.purge_complete_within;
            let Some(fill) = fill.filter(|_| is_binding) else { continue };
            let age = now - purge.purged_at;
            let is_limited = fill.max_age > 0 && fill.max_age <= age;
            assert!(is_limited && !fill.collapse, "rule 5: {fill:?} for a purge {age} us ago");
        }
    }
}
