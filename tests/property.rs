//! Random but legal event sequences from seeds; the five rules are asserted on every action.

mod common;
use common::*;
use foxhold::*;
use std::collections::BTreeMap;

struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

struct Attempt {
    server: ServerId,
    at: Micros,
    ended: Option<Outcome>,
}

struct PendingRequest {
    request: Request,
    attempts: Vec<Attempt>,
    /// Has a final response of the router, or was ended by an outcome or the client.
    finished: bool,
}

/// Checks the five rules from outside the router.
struct RuleChecker {
    settings: Settings,
    now: Micros,
    open: BTreeMap<RequestId, PendingRequest>,
    departed: BTreeMap<ServerId, Micros>,
    purges: Vec<(ObjectId, Micros, Micros)>,
    slow_start: BTreeMap<ServerId, (Micros, Vec<(Micros, f64)>)>,
    timers: Vec<(Micros, TimerToken)>,
}

impl RuleChecker {
    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Attempt { request, server, fill, .. } => self.check_attempt(*request, *server, *fill),
                Action::Reject { request, .. } => self.check_final_response(*request, true),
                Action::Fail(request) => self.check_final_response(*request, false),
                Action::Cancel { request, attempt } => {
                    let open = &self.open[request];
                    assert!(
                        open.attempts[*attempt as usize].ended.is_none(),
                        "an attempt was cancelled after its end"
                    );
                }
                Action::SetTimer { at, token } => {
                    self.timers.push((*at, *token));
                }
                _ => {}
            }
        }
    }

    fn may_have_run(attempt: &Attempt) -> bool {
        attempt.ended.is_none_or(|o| !o.never_ran())
    }

    fn check_final_response(&mut self, id: RequestId, is_rejection: bool) {
        let open = self.open.get_mut(&id).expect("a request that was taken");
        assert!(!open.finished, "rule 1: a second final response");
        assert!(self.now <= open.request.deadline + 8_000, "rule 1: a response past the deadline");
        open.finished = true;
        let ran = open.attempts.iter().any(Self::may_have_run);
        let is_safe = match self.settings.classes[open.request.class].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
            _ => !ran,
        };
        assert!(!is_rejection || is_safe, "rule 2: a request that may have run was rejected");
    }

    fn check_attempt(&mut self, id: RequestId, server: ServerId, fill: Option<Fill>) {
        let now = self.now;
        let open = self.open.get_mut(&id).expect("a request that was taken");
        assert!(!open.finished, "rule 1: an attempt after the end");
        assert!(now <= open.request.deadline, "rule 1: an attempt after the deadline");
        assert!(open.attempts.len() < self.settings.max_attempts as usize);
        if !self.settings.hedging {
            assert!(open.attempts.iter().all(|a| a.ended.is_some()), "two attempts in flight");
        }
        for earlier in open.attempts.iter().filter(|a| Self::may_have_run(a)) {
            match self.settings.classes[open.request.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::AtMostOnce => panic!("rule 2: an at-most-once request was retried"),
                Idempotency::IdempotencyKey { scope, window } => {
                    assert!(now - earlier.at < window, "rule 2: past the window");
                    let cell = |s: ServerId| (member(s.0).zone, member(s.0).cell);
                    assert!(
                        scope == KeyScope::All || cell(server) == cell(earlier.server),
                        "rule 2: other cell"
                    );
                }
            }
        }
        for used in [Some(server), fill.map(|f| f.source)].into_iter().flatten() {
            if let Some(told) = self.departed.get(&used) {
                assert!(now <= told + self.settings.drain_grace, "rule 3: {used:?} had left");
            }
        }
        let work = open.request.size_kb * 1000.0;
        for used in [server, fill.map_or(server, |f| f.source)] {
            if let Some((since, log)) = self.slow_start.get_mut(&used) {
                log.push((now, work));
                let rule = self.settings.cache_slow_start;
                let warm = rule.initial_capacity_share
                    + (1.0 - rule.initial_capacity_share) * (now - *since) as f64 / rule.warm_up_time as f64;
                let sum: f64 = log.iter().filter(|l| l.0 + rule.overload_window > now).map(|l| l.1).sum();
                let sharers = if used.0 > 10 { 2.0 } else { 1.0 };
                // A server that is both the cache and the source counts twice here, which is stricter.
                let budget =
                    rule.overload_multiple * 20.0 * warm.min(1.0) * rule.overload_window as f64 / sharers;
                assert!(sum <= budget, "rule 4: {used:?} asked for {sum} of {budget}");
            }
        }
        for (object, at, told) in &self.purges {
            let bound =
                now >= told + self.settings.purge_grace && now < at + self.settings.purge_complete_within;
            if *object == open.request.object && bound {
                if let Some(fill) = fill {
                    let capped = fill.max_age > 0 && fill.max_age <= now - at;
                    assert!(capped && !fill.collapse, "rule 5: {fill:?} for a purge {} ago", now - at);
                }
            }
        }
        open.attempts.push(Attempt { server, at: now, ended: None });
    }
}

fn run(seed: u64) -> usize {
    let mut dice = RandomNumbers(seed);
    let mut settings = settings();
    settings.hedging = dice.below(3) > 0;
    settings.can_cancel = dice.below(3) > 0;
    settings.direct_requests = dice.below(2) > 0;
    settings.request_collapsing = dice.below(2) > 0;
    settings.cache_status_level =
        [CacheStatusLevel::None, CacheStatusLevel::Hit, CacheStatusLevel::All][dice.below(3) as usize];
    let mut checker = RuleChecker {
        settings: settings.clone(),
        now: 100_000_000,
        open: BTreeMap::new(),
        departed: BTreeMap::new(),
        purges: Vec::new(),
        slow_start: BTreeMap::new(),
        timers: Vec::new(),
    };
    let ids = [1, 2, 3, 4, 11, 12, 13, 20];
    let mut router = RouterHarness::with_servers(settings, &ids);
    let mut taken = 0;
    for _ in 0..3000 {
        checker.now += dice.below(40_000);
        router.now = checker.now;
        // Timers fire first, as they would at a host.
        let now = checker.now;
        let due: Vec<TimerToken> = checker.timers.iter().filter(|w| w.0 <= now).map(|w| w.1).collect();
        checker.timers.retain(|w| w.0 > now);
        for token in due {
            // A timer fires within a tick of its time.
            let actions = router.handle(Event::Timer(token));
            for action in &actions {
                if let Action::Reject { request, .. } | Action::Fail(request) = action {
                    let open = checker.open.get_mut(request).expect("taken");
                    open.request.deadline = open.request.deadline.max(now);
                }
            }
            checker.check(&actions);
        }
        let event = match dice.below(20) {
            0..=8 => {
                let mut request = router.new_request(dice.below(4) as usize, 1 + dice.below(40));
                request.deadline = checker.now + dice.below(2_500_000);
                request.part = dice.below(3) as u32;
                let open = PendingRequest { request: request.clone(), attempts: Vec::new(), finished: false };
                checker.open.insert(request.id, open);
                taken += 1;
                Event::Request(request)
            }
            9..=15 => {
                let waiting: Vec<(RequestId, usize)> = checker
                    .open
                    .iter()
                    .flat_map(|(id, o)| (0..o.attempts.len()).map(move |n| (*id, n)))
                    .filter(|(id, n)| checker.open[id].attempts[*n].ended.is_none())
                    .collect();
                if waiting.is_empty() {
                    continue;
                }
                let (request, n) = waiting[dice.below(waiting.len() as u64) as usize];
                let kinds = [Outcome::Ok, Outcome::Ok, Outcome::Failed, Outcome::Rejected, Outcome::TimedOut];
                let more = [
                    Outcome::ConnectError,
                    Outcome::Reset,
                    Outcome::Cancelled,
                    Outcome::Miss,
                    Outcome::NotSent,
                ];
                let at = dice.below(10) as usize;
                let outcome = if at < 5 { kinds[at] } else { more[at - 5] };
                let notes = [
                    CacheStatus::Unknown,
                    CacheStatus::Hit,
                    CacheStatus::Filled,
                    CacheStatus::SourceUnreachable,
                    CacheStatus::SourceRejected,
                ];
                let open = checker.open.get_mut(&request).expect("open");
                let out = &mut open.attempts[n];
                out.ended = Some(outcome);
                let (server, took) = (out.server, checker.now - out.at);
                open.finished |= outcome == Outcome::Ok;
                Event::AttemptEnded(AttemptEnd {
                    request,
                    attempt: n as u32,
                    server,
                    outcome,
                    elapsed: took,
                    request_finished: open.finished,
                    cache_status: notes[dice.below(5) as usize],
                    source_wait: 0,
                    load_report: Vec::new(),
                })
            }
            16 => {
                let live: Vec<RequestId> =
                    checker.open.iter().filter(|o| !o.1.finished).map(|o| *o.0).collect();
                let Some(id) = live.get(dice.below(8) as usize) else { continue };
                checker.open.get_mut(id).expect("open").finished = true;
                Event::ClientCancelled(*id)
            }
            17 => {
                let object = ObjectId(1 + dice.below(40));
                let age = dice.below(400_000);
                checker.purges.push((object, checker.now - age, checker.now));
                Event::Purged { object: Some(object), group: 0, age }
            }
            _ => {
                let id = ids[dice.below(7) as usize];
                let mut entry = member(id);
                let server = ServerId(id);
                match dice.below(3) {
                    0 => {
                        entry.state = MemberState::Draining;
                        checker.departed.entry(server).or_insert(checker.now);
                    }
                    1 => {
                        entry.state = MemberState::Gone;
                        checker.departed.entry(server).or_insert(checker.now);
                    }
                    _ => {
                        entry.started_at = checker.now;
                        checker.departed.remove(&server);
                        checker.slow_start.insert(server, (checker.now, Vec::new()));
                    }
                }
                Event::Members { kind: MemberUpdate::Incremental, members: vec![entry] }
            }
        };
        let actions = router.handle(event);
        checker.check(&actions);
    }
    // Every request that is not finished has a timer at its deadline that ends it.
    checker.now += 5_000_000;
    router.now = checker.now;
    for (_, token) in std::mem::take(&mut checker.timers) {
        for action in router.handle(Event::Timer(token)) {
            if let Action::Reject { request, .. } | Action::Fail(request) = action {
                let open = checker.open.get_mut(&request).expect("taken");
                assert!(!std::mem::replace(&mut open.finished, true), "rule 1: a second final response");
            }
        }
    }
    let lost = checker.open.values().filter(|o| !o.finished).count();
    assert_eq!(lost, 0, "rule 1: requests without a final response");
    taken
}

#[test]
fn the_five_rules_hold_in_random_event_sequences() {
    let taken: usize = (1..=16).map(run).sum();
    assert!(taken > 10_000, "{taken}");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut router = RouterHarness::with_default_site();
        let mut all = Vec::new();
        for n in 0..500 {
            router.now += 3_000;
            all.extend(router.send_request(n % 3, 1 + (n as u64 * 7) % 11));
        }
        all
    };
    assert_eq!(run(), run());
}
