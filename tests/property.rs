//! Random sequences of valid events from fixed seeds. The five rules are checked on every action of the
//! router.

mod common;
#[path = "property/rule_checker.rs"]
mod rule_checker;

use common::*;
use foxhold::*;
use rule_checker::{IssuedPurge, RuleChecker, StartedServer, TrackedRequest};

const STEPS: usize = 3_000;
const SERVERS: [u32; 8] = [1, 2, 3, 4, 11, 12, 13, 20];
/// Number of servers, from the start of [`SERVERS`], that drain, leave and restart: all but the origin.
const UNSTABLE_SERVERS: u64 = 7;
const OBJECTS: u64 = 40;

struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }

    fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u64) as usize]
    }

    fn settings(&mut self) -> Settings {
        let mut settings = settings();
        settings.hedging = self.below(3) > 0;
        settings.can_cancel = self.below(3) > 0;
        settings.direct_requests = self.below(2) > 0;
        settings.request_collapsing = self.below(2) > 0;
        settings.cache_status_level =
            self.choose(&[CacheStatusLevel::None, CacheStatusLevel::Hit, CacheStatusLevel::All]);
        settings
    }
}

/// A router that receives random events, and the checker of its actions.
struct RandomRun {
    random: RandomNumbers,
    checker: RuleChecker,
    router: RouterHarness,
    requests: usize,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let mut random = RandomNumbers(seed);
        let settings = random.settings();
        let checker = RuleChecker::new(settings.clone(), 100_000_000);
        let router = RouterHarness::with_servers(settings, &SERVERS);
        RandomRun { random, checker, router, requests: 0 }
    }

    fn advance(&mut self, elapsed: Micros) {
        self.checker.now += elapsed;
        self.router.now = self.checker.now;
    }

    /// Fires the timers that are due, as a host would before other events.
    fn fire_timers(&mut self) {
        let now = self.checker.now;
        let due: Vec<TimerToken> = self.checker.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
        self.checker.timers.retain(|timer| timer.0 > now);
        for token in due {
            let actions = self.router.handle(Event::Timer(token));
            // A timer may fire up to one tick late: moves the deadline so that a final response is not late.
            for action in &actions {
                if let Action::Reject { request, .. } | Action::Fail(request) = action {
                    let tracked = self.checker.requests.get_mut(request).expect("a received request");
                    tracked.request.deadline = tracked.request.deadline.max(now);
                }
            }
            self.checker.check(&actions);
        }
    }

    /// Returns a random event, or `None` if no event of the drawn kind is possible now.
    fn next_event(&mut self) -> Option<Event> {
        match self.random.below(20) {
            0..=8 => Some(self.request()),
            9..=15 => self.attempt_end(),
            16 => self.cancellation(),
            17 => Some(self.purge()),
            _ => Some(self.member_update()),
        }
    }

    fn request(&mut self) -> Event {
        let class = self.random.below(4) as usize;
        let object = 1 + self.random.below(OBJECTS);
        let mut request = self.router.new_request(class, object);
        request.deadline = self.checker.now + self.random.below(2_500_000);
        request.part = self.random.below(3) as u32;
        let tracked = TrackedRequest { request: request.clone(), attempts: Vec::new(), finished: false };
        self.checker.requests.insert(request.id, tracked);
        self.requests += 1;
        Event::Request(request)
    }

    fn attempt_end(&mut self) -> Option<Event> {
        let in_flight = self.attempts_in_flight();
        if in_flight.is_empty() {
            return None;
        }
        let (request, number) = self.random.choose(&in_flight);
        let outcome = self.random.choose(&[
            Outcome::Ok,
            Outcome::Ok,
            Outcome::Failed,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::ConnectError,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::Miss,
            Outcome::NotSent,
        ]);
        let cache_status = self.random.choose(&[
            CacheStatus::Unknown,
            CacheStatus::Hit,
            CacheStatus::Filled,
            CacheStatus::SourceUnreachable,
            CacheStatus::SourceRejected,
        ]);
        let tracked = self.checker.requests.get_mut(&request).expect("a received request");
        tracked.finished |= outcome == Outcome::Ok;
        let attempt = &mut tracked.attempts[number];
        attempt.outcome = Some(outcome);
        Some(Event::AttemptEnded(AttemptEnd {
            request,
            attempt: number as u32,
            server: attempt.server,
            outcome,
            elapsed: self.checker.now - attempt.sent_at,
            request_finished: tracked.finished,
            cache_status,
            source_wait: 0,
            load_report: Vec::new(),
        }))
    }

    /// Returns the attempts in flight, each as its request and its number within the request.
    fn attempts_in_flight(&self) -> Vec<(RequestId, usize)> {
        let mut in_flight = Vec::new();
        for (id, tracked) in &self.checker.requests {
            let attempts = tracked.attempts.iter().enumerate();
            in_flight.extend(attempts.filter(|(_, a)| a.outcome.is_none()).map(|(number, _)| (*id, number)));
        }
        in_flight
    }

    fn cancellation(&mut self) -> Option<Event> {
        let requests = self.checker.requests.iter_mut().filter(|(_, tracked)| !tracked.finished);
        let (id, tracked) = requests.take(8).nth(self.random.below(8) as usize)?;
        tracked.finished = true;
        Some(Event::ClientCancelled(*id))
    }

    fn purge(&mut self) -> Event {
        let object = ObjectId(1 + self.random.below(OBJECTS));
        let age = self.random.below(400_000);
        let now = self.checker.now;
        self.checker.purges.push(IssuedPurge { object, purged_at: now - age, notified_at: now });
        Event::Purged { object: Some(object), group: 0, age }
    }

    fn member_update(&mut self) -> Event {
        let mut entry = running_member(SERVERS[self.random.below(UNSTABLE_SERVERS) as usize]);
        let (server, now) = (entry.server, self.checker.now);
        match self.random.below(3) {
            0 => entry.state = MemberState::Draining,
            1 => entry.state = MemberState::Gone,
            _ => entry.started_at = now,
        }
        if entry.state == MemberState::Running {
            self.checker.departed.remove(&server);
            self.checker.started.insert(server, StartedServer { started_at: now, sent: Vec::new() });
        } else {
            self.checker.departed.entry(server).or_insert(now);
        }
        Event::Members { kind: MemberUpdate::Incremental, members: vec![entry] }
    }

    /// Fires all remaining timers. Each unfinished request has a timer at its deadline that ends it.
    fn finish(&mut self) {
        self.advance(5_000_000);
        for (_, token) in std::mem::take(&mut self.checker.timers) {
            for action in self.router.handle(Event::Timer(token)) {
                if let Action::Reject { request, .. } | Action::Fail(request) = action {
                    let tracked = self.checker.requests.get_mut(&request).expect("a received request");
                    let was_finished = std::mem::replace(&mut tracked.finished, true);
                    assert!(!was_finished, "rule 1: a second final response");
                }
            }
        }
        let unanswered = self.checker.requests.values().filter(|tracked| !tracked.finished).count();
        assert_eq!(unanswered, 0, "rule 1: requests without a final response");
    }
}

/// Runs a random sequence of events, and returns the number of requests.
fn run_random_events(seed: u64) -> usize {
    let mut run = RandomRun::new(seed);
    for _ in 0..STEPS {
        let elapsed = run.random.below(40_000);
        run.advance(elapsed);
        run.fire_timers();
        if let Some(event) = run.next_event() {
            let actions = run.router.handle(event);
            run.checker.check(&actions);
        }
    }
    run.finish();
    run.requests
}

#[test]
fn the_five_rules_hold_in_random_event_sequences() {
    let requests: usize = (1..=16).map(run_random_events).sum();
    assert!(requests > 10_000, "expected more than 10,000 requests, got {requests}");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let actions_of_run = || {
        let mut router = RouterHarness::with_test_deployment();
        let mut actions = Vec::new();
        for n in 0..500 {
            router.now += 3_000;
            actions.extend(router.send_request(n % 3, 1 + (n as u64 * 7) % 11));
        }
        actions
    };
    assert_eq!(actions_of_run(), actions_of_run());
}
