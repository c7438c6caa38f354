//! A harness for a router in a small test deployment: caches 1 to 3 in one edge zone, parents 11 to 13 at two
//! hubs, and the origin 20.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use foxhold::*;

/// The origin of the test deployment.
pub const ORIGIN: ServerId = ServerId(20);

/// Returns a request class with this idempotency.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        name: "pages".into(),
        latency_objective: 500_000,
        deadline: 2_000_000,
        priority_weight: 1.0,
        idempotency,
        freshness_lifetime: 8_000_000,
        stale_grace: 10_000_000,
        ..Class::default()
    }
}

/// Returns settings of the test deployment. Class 3 holds writes.
pub fn settings() -> Settings {
    let slow_start = SlowStartRule {
        initial_capacity_share: 0.2,
        warm_up_time: 10_000_000,
        overload_multiple: 2.0,
        overload_window: 1_000_000,
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::AtMostOnce),
            class(Idempotency::IdempotencyKey { scope: KeyScope::Cell, window: 1_000_000 }),
            Class {
                write: true,
                ..class(Idempotency::IdempotencyKey { scope: KeyScope::All, window: 1_000_000 })
            },
        ],
        kinds: vec!["cache".into(), "parent".into(), "origin".into()],
        parent_kind: Some(1),
        origin_kind: 2,
        zones: vec!["hub-a".into(), "hub-b".into(), "edge".into(), "edge-far".into()],
        zone: 2,
        routers_by_zone: vec![0, 0, 1, 1],
        routers: 2,
        transfer_kb_per_s: 1000.0,
        sizes_known: true,
        can_cancel: true,
        hedging: true,
        retry_after: true,
        max_retry_after: 1_000_000,
        max_attempts: 6,
        direct_requests: true,
        request_collapsing: true,
        siblings: Siblings::Zone,
        cache_status_level: CacheStatusLevel::All,
        drain_grace: 500_000,
        cache_slow_start: slow_start,
        parent_slow_start: slow_start,
        purge_grace: 500_000,
        purge_complete_within: 6_000_000,
        ..Settings::default()
    }
}

/// Returns the running server with this id: 1 to 4 are caches of the router's zone, 5 to 10 caches of another
/// zone, 11 to 19 parents, and all others origins.
pub fn running_member(id: u32) -> Member {
    let (zone, kind) = match id {
        1..=4 => (2, 0),
        5..=10 => (3, 0),
        11 | 12 => (0, 1),
        13..=19 => (1, 1),
        _ => (0, 2),
    };
    let cell = if id == 3 { 8 } else { 7 };
    Member { server: ServerId(id), zone, kind, cell, state: MemberState::Running, size: 20.0, started_at: 0 }
}

/// A router with a clock that only the test advances, and a counter for request ids.
pub struct RouterHarness {
    pub router: Router,
    /// The time of the router's clock, in microseconds.
    pub now: Micros,
    last_request: u64,
}

/// An attempt that the router decided to send.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub request: RequestId,
    pub server: ServerId,
    pub fill: Option<Fill>,
}

impl SentAttempt {
    pub fn source(&self) -> ServerId {
        self.fill.expect("a fill").source
    }

    /// Returns whether the attempt names another server as its fill source.
    pub fn has_source(&self) -> bool {
        self.fill.is_some_and(|fill| fill.source != self.server)
    }

    /// Returns the end of this attempt, as the first attempt of its request.
    pub fn ended(&self, outcome: Outcome, cache_status: CacheStatus, elapsed: Micros) -> AttemptEnd {
        AttemptEnd {
            request: self.request,
            attempt: 0,
            server: self.server,
            outcome,
            elapsed,
            request_finished: outcome == Outcome::Ok,
            cache_status,
            source_wait: 0,
            load_report: Vec::new(),
        }
    }
}

/// Returns the attempts among the actions.
pub fn attempts_in(actions: &[Action]) -> Vec<SentAttempt> {
    let attempt = |a: &Action| match a {
        Action::Attempt { request, server, fill, .. } => {
            Some(SentAttempt { request: *request, server: *server, fill: *fill })
        }
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

/// Returns whether the actions reject a request.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Returns whether the actions fail a request.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

impl RouterHarness {
    /// Creates a router without servers, with seed 42.
    pub fn new(settings: Settings) -> Self {
        RouterHarness::with_seed(settings, 42)
    }

    /// Creates a router without servers, with this seed.
    pub fn with_seed(settings: Settings, seed: u64) -> Self {
        let router = Router::new(settings, seed).expect("good settings");
        RouterHarness { router, now: 100_000_000, last_request: 1 }
    }

    /// Creates a router with these servers.
    pub fn with_servers(settings: Settings, ids: &[u32]) -> Self {
        let mut harness = RouterHarness::new(settings);
        harness.update_members(MemberUpdate::Full, ids.iter().map(|id| running_member(*id)).collect());
        harness
    }

    /// Creates a router with the servers of the test deployment.
    pub fn with_test_deployment() -> Self {
        RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 12, 13, 20])
    }

    /// Passes an event to the router and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    /// Passes a member list or changes of it to the router.
    pub fn update_members(&mut self, kind: MemberUpdate, members: Vec<Member>) -> Vec<Action> {
        self.handle(Event::Members { kind, members })
    }

    /// Returns a new request of 50 KB with a deadline in 2 s. It is not sent to the router yet.
    pub fn new_request(&mut self, class: usize, object: u64) -> Request {
        self.last_request += 1;
        Request {
            id: RequestId(self.last_request),
            class,
            object: ObjectId(object),
            deadline: self.now.saturating_add(2_000_000),
            size_kb: 50.0,
            group: Some((object % 32) as u32),
            ..Request::default()
        }
    }

    /// Returns a new request of 50 KB of class 0 with this deadline. It is not sent to the router yet.
    pub fn new_request_until(&mut self, object: u64, deadline: Micros) -> Request {
        self.last_request += 1;
        let (id, object) = (RequestId(self.last_request), ObjectId(object));
        Request { id, object, deadline, size_kb: 50.0, ..Request::default() }
    }

    /// Passes a new request to the router.
    pub fn send_request(&mut self, class: usize, object: u64) -> Vec<Action> {
        let request = self.new_request(class, object);
        self.handle(Event::Request(request))
    }

    /// Passes a new request to the router and returns the first attempt, which it expects to be sent at once.
    pub fn send_and_take_attempt(&mut self, object: u64) -> SentAttempt {
        let actions = self.send_request(0, object);
        attempts_in(&actions).first().cloned().unwrap_or_else(|| panic!("nothing sent: {actions:?}"))
    }

    /// Passes a new request to the router and returns its first attempt. The object has 200 KB, the mean size
    /// assumed for a class without observations.
    pub fn send_large_and_take_attempt(&mut self, object: u64) -> SentAttempt {
        let request = Request { size_kb: 200.0, ..self.new_request(0, object) };
        attempts_in(&self.handle(Event::Request(request)))[0].clone()
    }

    /// Ends an attempt after 80 ms. `number` counts the request's attempts from 0.
    pub fn end_attempt(
        &mut self,
        attempt: &SentAttempt,
        number: u32,
        outcome: Outcome,
        cache_status: CacheStatus,
    ) -> Vec<Action> {
        self.end_attempt_after(attempt, number, outcome, cache_status, 80_000)
    }

    /// Ends an attempt after `elapsed` microseconds. `number` counts the request's attempts from 0.
    pub fn end_attempt_after(
        &mut self,
        attempt: &SentAttempt,
        number: u32,
        outcome: Outcome,
        cache_status: CacheStatus,
        elapsed: Micros,
    ) -> Vec<Action> {
        let end = AttemptEnd { attempt: number, ..attempt.ended(outcome, cache_status, elapsed) };
        self.handle(Event::AttemptEnded(end))
    }

    /// Passes a new request to the router and ends its attempt with a fill after 80 ms.
    pub fn complete_fill(&mut self, object: u64) -> SentAttempt {
        let attempt = self.send_and_take_attempt(object);
        self.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Filled);
        attempt
    }

    /// Returns an object whose first parent is `first`.
    pub fn object_with_first_parent(&mut self, first: u32) -> u64 {
        (1000..).find(|o| self.next_fill_source(*o) == ServerId(first)).expect("some object")
    }

    /// Returns the fill source that a new request names, and ends its attempt with a hit.
    pub fn next_fill_source(&mut self, object: u64) -> ServerId {
        let attempt = self.send_and_take_attempt(object);
        self.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
        attempt.source()
    }
}
