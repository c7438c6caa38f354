//! Odd but legal event sequences, drawn from seeds; the five rules are asserted on every action.

mod common;
use common::*;
use foxhold::*;
use std::collections::BTreeMap;

struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % sides
    }
}

struct Out {
    server: ServerId,
    at: Micros,
    ended: Option<Outcome>,
}

struct Open {
    request: Request,
    attempts: Vec<Out>,
    /// Answered by the router, or ended by an outcome or the client.
    over: bool,
}

/// What the five rules ask, checked from outside the router.
struct Judge {
    settings: Settings,
    now: Micros,
    open: BTreeMap<RequestId, Open>,
    departed: BTreeMap<ServerId, Micros>,
    purges: Vec<(ObjectId, Micros, Micros)>,
    cold: BTreeMap<ServerId, (Micros, Vec<(Micros, f64)>)>,
    wakes: Vec<(Micros, TimerToken)>,
}

impl Judge {
    fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Attempt { request, server, fill, .. } => self.check_attempt(*request, *server, *fill),
                Action::Reject { request, .. } => self.check_answer(*request, true),
                Action::Fail(request) => self.check_answer(*request, false),
                Action::Cancel { request, attempt } => {
                    let open = &self.open[request];
                    assert!(open.attempts[*attempt as usize].ended.is_none(), "cancelled what has ended");
                }
                Action::SetTimer { at, token } => {
                    self.wakes.push((*at, *token));
                }
                _ => {}
            }
        }
    }

    fn may_have_run(out: &Out) -> bool {
        out.ended.is_none_or(|o| !o.never_ran())
    }

    fn check_answer(&mut self, id: RequestId, refused: bool) {
        let open = self.open.get_mut(&id).expect("a request that was taken");
        assert!(!open.over, "rule 1: a second final answer");
        assert!(self.now <= open.request.deadline + 8_000, "rule 1: an answer past the deadline");
        open.over = true;
        let ran = open.attempts.iter().any(Self::may_have_run);
        let free = match self.settings.classes[open.request.class].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => true,
            _ => !ran,
        };
        assert!(!refused || free, "rule 2: a refusal of what may have run");
    }

    fn check_attempt(&mut self, id: RequestId, server: ServerId, fill: Option<Fill>) {
        let now = self.now;
        let open = self.open.get_mut(&id).expect("a request that was taken");
        assert!(!open.over, "rule 1: a send after the end");
        assert!(now <= open.request.deadline, "rule 1: a send after the deadline");
        assert!(open.attempts.len() < self.settings.max_attempts as usize);
        if !self.settings.hedging {
            assert!(open.attempts.iter().all(|a| a.ended.is_some()), "two attempts out together");
        }
        for earlier in open.attempts.iter().filter(|a| Self::may_have_run(a)) {
            match self.settings.classes[open.request.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::AtMostOnce => panic!("rule 2: an unsafe request sent again"),
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
            if let Some((since, log)) = self.cold.get_mut(&used) {
                log.push((now, work));
                let rule = self.settings.cache_slow_start;
                let warm = rule.initial_capacity_share
                    + (1.0 - rule.initial_capacity_share) * (now - *since) as f64 / rule.warm_up_time as f64;
                let sum: f64 = log.iter().filter(|l| l.0 + rule.overload_window > now).map(|l| l.1).sum();
                let sharers = if used.0 > 10 { 2.0 } else { 1.0 };
                // A server that is both asked and named as source counts twice here, which is stricter.
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
        open.attempts.push(Out { server, at: now, ended: None });
    }
}

fn run(seed: u64) -> usize {
    let mut dice = Dice(seed);
    let mut settings = settings();
    settings.hedging = dice.roll(3) > 0;
    settings.can_cancel = dice.roll(3) > 0;
    settings.direct_requests = dice.roll(2) > 0;
    settings.request_collapsing = dice.roll(2) > 0;
    settings.cache_status_level =
        [CacheStatusLevel::None, CacheStatusLevel::Hit, CacheStatusLevel::All][dice.roll(3) as usize];
    let mut judge = Judge {
        settings: settings.clone(),
        now: 100_000_000,
        open: BTreeMap::new(),
        departed: BTreeMap::new(),
        purges: Vec::new(),
        cold: BTreeMap::new(),
        wakes: Vec::new(),
    };
    let ids = [1, 2, 3, 4, 11, 12, 13, 20];
    let mut g = Gateway::with(settings, &ids);
    let mut taken = 0;
    for _ in 0..3000 {
        judge.now += dice.roll(40_000);
        g.now = judge.now;
        // Deadlines and other wake-ups first, as the gateway would.
        let now = judge.now;
        let due: Vec<TimerToken> = judge.wakes.iter().filter(|w| w.0 <= now).map(|w| w.1).collect();
        judge.wakes.retain(|w| w.0 > now);
        for token in due {
            // The wake-up comes within a tick of its time.
            let actions = g.event(Event::Timer(token));
            for action in &actions {
                if let Action::Reject { request, .. } | Action::Fail(request) = action {
                    let open = judge.open.get_mut(request).expect("taken");
                    open.request.deadline = open.request.deadline.max(now);
                }
            }
            judge.check(&actions);
        }
        let event = match dice.roll(20) {
            0..=8 => {
                let mut request = g.request(dice.roll(4) as usize, 1 + dice.roll(40));
                request.deadline = judge.now + dice.roll(2_500_000);
                request.part = dice.roll(3) as u32;
                let open = Open { request: request.clone(), attempts: Vec::new(), over: false };
                judge.open.insert(request.id, open);
                taken += 1;
                Event::Request(request)
            }
            9..=15 => {
                let waiting: Vec<(RequestId, usize)> = judge
                    .open
                    .iter()
                    .flat_map(|(id, o)| (0..o.attempts.len()).map(move |n| (*id, n)))
                    .filter(|(id, n)| judge.open[id].attempts[*n].ended.is_none())
                    .collect();
                if waiting.is_empty() {
                    continue;
                }
                let (request, n) = waiting[dice.roll(waiting.len() as u64) as usize];
                let kinds = [Outcome::Ok, Outcome::Ok, Outcome::Failed, Outcome::Rejected, Outcome::TimedOut];
                let more = [
                    Outcome::ConnectError,
                    Outcome::Reset,
                    Outcome::Cancelled,
                    Outcome::Miss,
                    Outcome::NotSent,
                ];
                let at = dice.roll(10) as usize;
                let outcome = if at < 5 { kinds[at] } else { more[at - 5] };
                let notes = [
                    CacheStatus::Unknown,
                    CacheStatus::Hit,
                    CacheStatus::Filled,
                    CacheStatus::SourceUnreachable,
                    CacheStatus::SourceRejected,
                ];
                let open = judge.open.get_mut(&request).expect("open");
                let out = &mut open.attempts[n];
                out.ended = Some(outcome);
                let (server, took) = (out.server, judge.now - out.at);
                open.over |= outcome == Outcome::Ok;
                Event::AttemptEnded(AttemptEnd {
                    request,
                    attempt: n as u32,
                    server,
                    outcome,
                    elapsed: took,
                    request_finished: open.over,
                    cache_status: notes[dice.roll(5) as usize],
                    source_wait: 0,
                    load_report: Vec::new(),
                })
            }
            16 => {
                let live: Vec<RequestId> = judge.open.iter().filter(|o| !o.1.over).map(|o| *o.0).collect();
                let Some(id) = live.get(dice.roll(8) as usize) else { continue };
                judge.open.get_mut(id).expect("open").over = true;
                Event::ClientCancelled(*id)
            }
            17 => {
                let object = ObjectId(1 + dice.roll(40));
                let age = dice.roll(400_000);
                judge.purges.push((object, judge.now - age, judge.now));
                Event::Purged { object: Some(object), group: 0, age }
            }
            _ => {
                let id = ids[dice.roll(7) as usize];
                let mut entry = member(id);
                let server = ServerId(id);
                match dice.roll(3) {
                    0 => {
                        entry.state = MemberState::Draining;
                        judge.departed.entry(server).or_insert(judge.now);
                    }
                    1 => {
                        entry.state = MemberState::Gone;
                        judge.departed.entry(server).or_insert(judge.now);
                    }
                    _ => {
                        entry.started_at = judge.now;
                        judge.departed.remove(&server);
                        judge.cold.insert(server, (judge.now, Vec::new()));
                    }
                }
                Event::Members { kind: MemberUpdate::Incremental, members: vec![entry] }
            }
        };
        let actions = g.event(event);
        judge.check(&actions);
    }
    // Every request that was not over has a wake-up at its deadline that ends it.
    judge.now += 5_000_000;
    g.now = judge.now;
    for (_, token) in std::mem::take(&mut judge.wakes) {
        for action in g.event(Event::Timer(token)) {
            if let Action::Reject { request, .. } | Action::Fail(request) = action {
                let open = judge.open.get_mut(&request).expect("taken");
                assert!(!std::mem::replace(&mut open.over, true), "rule 1: a second final answer");
            }
        }
    }
    let lost = judge.open.values().filter(|o| !o.over).count();
    assert_eq!(lost, 0, "rule 1: requests with no final answer");
    taken
}

#[test]
fn the_five_rules_hold_on_odd_sequences() {
    let taken: usize = (1..=16).map(run).sum();
    assert!(taken > 10_000, "{taken}");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let play = || {
        let mut g = Gateway::usual();
        let mut all = Vec::new();
        for n in 0..500 {
            g.now += 3_000;
            all.extend(g.ask(n % 3, 1 + (n as u64 * 7) % 11));
        }
        all
    };
    assert_eq!(play(), play());
}
