//! A small made-up deployment: one edge zone with caches 1..=3, parents 11..=13 at two hubs, the origin 20.
#![allow(dead_code)]

use foxhold::*;

pub const ORIGIN: ServerId = ServerId(20);

pub fn class(effect: Idempotency) -> Class {
    Class {
        name: "pages".into(),
        latency_objective: 500_000,
        deadline: 2_000_000,
        priority_weight: 1.0,
        idempotency: effect,
        freshness_lifetime: 8_000_000,
        stale_grace: 10_000_000,
        ..Class::default()
    }
}

pub fn settings() -> Settings {
    let cold = SlowStartRule {
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
        cache_slow_start: cold,
        parent_slow_start: cold,
        purge_grace: 500_000,
        purge_complete_within: 6_000_000,
        ..Settings::default()
    }
}

pub fn member(id: u32) -> Member {
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

pub struct Gateway {
    pub router: Router,
    pub now: Micros,
    next: u64,
}

/// One attempt as it was asked for.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request: RequestId,
    pub server: ServerId,
    pub fill: Option<Fill>,
}

impl Sent {
    pub fn source(&self) -> ServerId {
        self.fill.expect("a fill").source
    }
}

pub fn sent(actions: &[Action]) -> Vec<Sent> {
    let one = |a: &Action| match a {
        Action::Attempt { request, server, fill, .. } => {
            Some(Sent { request: *request, server: *server, fill: *fill })
        }
        _ => None,
    };
    actions.iter().filter_map(one).collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

impl Gateway {
    pub fn new(settings: Settings) -> Self {
        Gateway::seeded(settings, 42)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let router = Router::new(settings, seed).expect("good settings");
        Gateway { router, now: 100_000_000, next: 1 }
    }

    pub fn with(settings: Settings, ids: &[u32]) -> Self {
        let mut gateway = Gateway::new(settings);
        gateway.list(MemberUpdate::Full, ids.iter().map(|id| member(*id)).collect());
        gateway
    }

    pub fn usual() -> Self {
        Gateway::with(settings(), &[1, 2, 3, 11, 12, 13, 20])
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, kind: MemberUpdate, members: Vec<Member>) -> Vec<Action> {
        self.event(Event::Members { kind, members })
    }

    pub fn request(&mut self, class: usize, object: u64) -> Request {
        self.next += 1;
        Request {
            id: RequestId(self.next),
            class,
            object: ObjectId(object),
            deadline: self.now.saturating_add(2_000_000),
            size_kb: 50.0,
            group: Some((object % 32) as u32),
            ..Request::default()
        }
    }

    pub fn request_until(&mut self, object: u64, deadline: Micros) -> Request {
        self.next += 1;
        let (id, object) = (RequestId(self.next), ObjectId(object));
        Request { id, object, deadline, size_kb: 50.0, ..Request::default() }
    }

    pub fn ask(&mut self, class: usize, object: u64) -> Vec<Action> {
        let request = self.request(class, object);
        self.event(Event::Request(request))
    }

    /// Asks and expects one attempt.
    pub fn send(&mut self, object: u64) -> Sent {
        let actions = self.ask(0, object);
        sent(&actions).first().cloned().unwrap_or_else(|| panic!("nothing sent: {actions:?}"))
    }

    /// The same for an object of the largest class, which a class of which nothing was seen passes for.
    pub fn send_large(&mut self, object: u64) -> Sent {
        let request = Request { size_kb: 200.0, ..self.request(0, object) };
        sent(&self.event(Event::Request(request)))[0].clone()
    }

    pub fn end(&mut self, sent: &Sent, attempt: u32, outcome: Outcome, note: CacheStatus) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptEnd {
            request: sent.request,
            attempt,
            server: sent.server,
            outcome,
            elapsed: 80_000,
            request_finished: outcome == Outcome::Ok,
            cache_status: note,
            source_wait: 0,
            load_report: Vec::new(),
        }))
    }

    pub fn fill(&mut self, object: u64) -> Sent {
        let sent = self.send(object);
        self.end(&sent, 0, Outcome::Ok, CacheStatus::Filled);
        sent
    }

    /// An object whose pair is these two parents, in this order, and its second's name.
    pub fn pair_of(&mut self, first: u32) -> u64 {
        (1000..).find(|o| self.peek(*o) == ServerId(first)).expect("some object")
    }

    /// The source a lone request would name; the request is ended at once.
    pub fn peek(&mut self, object: u64) -> ServerId {
        let sent = self.send(object);
        self.end(&sent, 0, Outcome::Ok, CacheStatus::Hit);
        sent.source()
    }
}
