//! Many routers at once, each with its own traffic only: what all of them together do to one server.

mod common;
use common::*;
use foxhold::*;

const SECOND: Micros = 1_000_000;

/// `n` routers of one zone that know each other's number only.
fn fleet(n: u32, settings: &Settings, ids: &[u32]) -> Vec<Gateway> {
    let settings = Settings { routers: n, routers_by_zone: vec![0, 0, n, 0], ..settings.clone() };
    let one = |seed| {
        let mut g = Gateway::seeded(settings.clone(), u64::from(seed) + 1);
        g.list(MemberUpdate::Full, ids.iter().map(|id| member(*id)).collect());
        g
    };
    (0..n).map(one).collect()
}

/// Asks for objects of one size at the routers in turn, every answer a fill; what named `id`, and when.
fn play(fleet: &mut [Gateway], id: ServerId, kb: f64, gap: Micros, lasting: Micros) -> Vec<(Micros, f64)> {
    let (mut log, start, mut object) = (Vec::new(), fleet[0].now, 0);
    while gap * object < lasting {
        object += 1;
        let now = start + gap * object;
        let n = fleet.len();
        let g = &mut fleet[(object as usize * 7919) % n];
        g.now = now;
        let mut request = g.request(0, object * 31);
        (request.size_kb, request.deadline) = (kb, now + 5 * SECOND);
        for one in sent(&g.event(Event::Request(request))) {
            if one.server == id || one.fill.is_some_and(|f| f.source == id) {
                log.push((now, kb * 1000.0));
            }
            g.end(&one, 0, Outcome::Ok, CacheStatus::Filled);
        }
    }
    log
}

#[test]
fn a_cold_server_is_used_early_and_stays_under_its_limit_with_any_number_of_routers() {
    for (id, kb) in [(11, 50.0), (11, 350.0), (1, 50.0), (1, 350.0)] {
        for routers in [4, 40, 180] {
            for multiple in [1.3, 2.0, 3.0] {
                let rule = SlowStartRule { overload_multiple: multiple, ..settings().parent_slow_start };
                let settings = Settings { parent_slow_start: rule, cache_slow_start: rule, ..settings() };
                let mut fleet = fleet(routers, &settings, &[1, 2, 3, 11, 12, 13, 20]);
                play(&mut fleet, ServerId(99), kb, SECOND / 200, 8 * SECOND);
                let since = fleet[0].now.max(fleet[1].now);
                for g in &mut fleet {
                    g.now = since;
                    g.list(MemberUpdate::Incremental, vec![Member { started_at: since, ..member(id) }]);
                }
                let log = play(&mut fleet, ServerId(id), kb, (kb * 40.0) as Micros, 10 * SECOND);
                let what = format!("server {id}, {kb} KB, {routers} routers, multiple {multiple}");
                let early: f64 = log.iter().filter(|l| l.0 < since + 5 * SECOND).map(|l| l.1).sum();
                // Half of the warm-up at 0.4 of its capacity in the middle, 20 transfers at full pace.
                let possible = 5.0 * 0.4 * 20.0 * SECOND as f64;
                assert!(early > 0.1 * possible, "{what}: {early} of {possible} in the first half");
                for (at, _) in &log {
                    let sum: f64 =
                        log.iter().filter(|l| (*at..at + SECOND).contains(&l.0)).map(|l| l.1).sum();
                    let warm = 0.2 + 0.8 * (at - since) as f64 / (10 * SECOND) as f64;
                    let limit = multiple * 20.0 * warm * SECOND as f64;
                    assert!(sum <= limit, "{what}: {sum} of {limit} at {}", at - since);
                }
            }
        }
    }
}

/// Incidents i537137 and ic85c23: parents lost, and every gateway turned to the origin at once.
#[test]
fn the_origin_is_not_rushed_when_the_parents_are_lost_and_is_found_again() {
    for routers in [4, 40, 180] {
        let mut fleet = fleet(routers, &settings(), &[1, 2, 3, 11, 20]);
        for g in &mut fleet {
            g.list(MemberUpdate::Incremental, vec![Member { state: MemberState::Gone, ..member(11) }]);
        }
        // No fill ends: what is under way at the origin is all that ever named it.
        let named = |fleet: &mut [Gateway], rounds: u64| {
            let mut named = 0;
            for object in 0..rounds {
                for g in fleet.iter_mut() {
                    let actions = g.ask(0, object);
                    let to_origin = |s: &&Sent| s.fill.is_some_and(|f| f.source == ORIGIN);
                    named += sent(&actions).iter().filter(to_origin).count();
                }
            }
            named
        };
        let first = named(&mut fleet, 1);
        assert!((1..=72).contains(&first), "{routers} routers: {first} fills under way at the origin");
        let more = first + named(&mut fleet, 20);
        assert!(more <= 96.max(routers as usize), "{routers} routers: {more} fills under way at the origin");
        // Fills in time widen what each may have there.
        let mut fleet = self::fleet(routers, &settings(), &[1, 2, 3, 20]);
        for object in 100..160 {
            for g in &mut fleet {
                for one in sent(&g.ask(0, object)) {
                    g.end(&one, 0, Outcome::Ok, CacheStatus::Filled);
                }
            }
        }
        let after = named(&mut fleet[..], 1);
        assert!(after as u32 * 10 >= routers * 9, "{routers} routers: {after} fills at the origin");
    }
}

/// A window of less than one fill is drawn for; were it at least one for each, 180 would be a crowd.
#[test]
fn a_source_whose_fills_are_late_is_relieved_to_less_than_one_fill_a_gateway() {
    let mut g = Gateway::with(settings(), &[1, 2, 3, 11, 20]);
    for object in 0..60 {
        let one = g.send(object);
        g.now += 450_000;
        let over = |took| AttemptEnd {
            request: one.request,
            attempt: 0,
            server: one.server,
            outcome: Outcome::Ok,
            elapsed: took,
            request_finished: true,
            cache_status: CacheStatus::Filled,
            source_wait: 0,
            load_report: Vec::new(),
        };
        g.event(Event::AttemptEnded(over(450_000)));
    }
    let at_parent = (100..200).filter(|o| g.peek(*o) == ServerId(11)).count();
    assert!((1..60).contains(&at_parent), "{at_parent} of 100 lone fills");
}

/// Big-1 of the later branch deployment: a gateway that sends a parent one fill in some seconds took connects
/// that failed for mere fullness, for as long as the list named it.
#[test]
fn a_first_strike_asks_for_a_probe_and_a_failed_one_makes_the_server_suspected() {
    let mut g = Gateway::with(Settings { health_checks: true, ..settings() }, &[1, 2, 3, 11, 12, 20]);
    let probes = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::HealthCheck(_))).count();
    let object = g.pair_of(11);
    let one = g.send(object);
    let actions = g.end(&one, 0, Outcome::Failed, CacheStatus::SourceUnreachable);
    assert!(actions.contains(&Action::HealthCheck(ServerId(11))), "{actions:?}");
    g.now += 100_000;
    let probe = |outcome| Event::HealthChecked {
        server: ServerId(11),
        outcome,
        elapsed: 250_000,
        load_report: Vec::new(),
    };
    g.event(probe(Outcome::Ok));
    assert_eq!(g.peek(object), ServerId(11), "an answer leaves it as it was");
    let one = g.send(object);
    assert_eq!(probes(&g.end(&one, 0, Outcome::Failed, CacheStatus::SourceUnreachable)), 1);
    g.now += 100_000;
    g.event(probe(Outcome::ConnectError));
    assert_eq!(g.peek(object), ServerId(12));
    let mut g = Gateway::usual();
    let one = g.send(object);
    assert_eq!(
        probes(&g.end(&one, 0, Outcome::Failed, CacheStatus::SourceUnreachable)),
        0,
        "not where it is not allowed"
    );
}

/// Mass days: where a gateway sends little, three late answers were three strikes, each with a probe.
#[test]
fn late_answers_of_a_server_that_answers_probes_are_no_strikes() {
    let probed = |outcome| {
        let mut g = Gateway::with(Settings { health_checks: true, ..settings() }, &[1, 11, 12, 20]);
        let (mut probes, mut suspected) = (0, false);
        for object in 0..6 {
            if suspected {
                break;
            }
            let actions = g.ask(0, object);
            let late = actions.iter().find_map(|a| match a {
                Action::SetTimer { at, token } if *at < g.now + 500_000 => Some((*at, *token)),
                _ => None,
            });
            let (at, token) = late.expect("a look at it while it can still be in time");
            g.now = at;
            let mut asked = g.event(Event::Timer(token));
            while let Some(action) = asked.pop() {
                suspected |= matches!(action, Action::Log(_));
                if let Action::HealthCheck(server) = action {
                    probes += 1;
                    let probe =
                        Event::HealthChecked { server, outcome, elapsed: 1_000, load_report: Vec::new() };
                    asked.extend(g.event(probe));
                }
            }
        }
        (probes, suspected)
    };
    assert_eq!(probed(Outcome::Ok), (6, false));
    assert!(probed(Outcome::TimedOut).1, "silence to probes as well makes it suspected");
}

/// Trouble `answer_lost`: the work is done, the answer does not come back; the same cache holds it by now.
#[test]
fn where_answers_are_lost_at_large_the_same_cache_is_asked_again() {
    let late = |g: &mut Gateway, object| {
        let actions = g.ask(0, object);
        let one = sent(&actions)[0].clone();
        let ok = g.send(object);
        g.now += 400_000;
        g.end(&ok, 0, Outcome::Ok, CacheStatus::Filled);
        let due = |a: &Action| match a {
            Action::SetTimer { at, token } if *at <= g.now => Some(*token),
            _ => None,
        };
        let tokens: Vec<TimerToken> = actions.iter().filter_map(due).collect();
        let again: Vec<Sent> = tokens.into_iter().flat_map(|t| sent(&g.event(Event::Timer(t)))).collect();
        (one, again)
    };
    let mut g = Gateway::usual();
    assert!(late(&mut g, 5).1.is_empty(), "an answer that is only late is waited for");
    for object in 10..16 {
        let one = g.send(object);
        let ok = g.send(object);
        g.now += 1_000;
        g.end(&ok, 0, Outcome::Ok, CacheStatus::Hit);
        g.end(&one, 0, Outcome::TimedOut, CacheStatus::Unknown);
    }
    let (one, again) = late(&mut g, 5);
    assert_eq!(again.iter().map(|s| s.server).collect::<Vec<_>>(), [one.server]);
    let mut g =
        Gateway::with(Settings { request_collapsing: false, ..settings() }, &[1, 2, 3, 11, 12, 13, 20]);
    for object in 10..16 {
        let one = g.send(object);
        let ok = g.send(object);
        g.now += 1_000;
        g.end(&ok, 0, Outcome::Ok, CacheStatus::Hit);
        g.end(&one, 0, Outcome::TimedOut, CacheStatus::Unknown);
    }
    assert!(late(&mut g, 5).1.is_empty(), "without joining it would fill the bytes twice");
}

#[test]
fn ids_of_sixty_four_bits_have_their_own_wake_ups() {
    let mut g = Gateway::usual();
    let ids = [u64::MAX, u64::MAX >> 8, u64::MAX - 1];
    let mut wakes = Vec::new();
    for id in ids {
        let request = Request { id: RequestId(id), ..g.request(0, 5) };
        let deadline = request.deadline;
        for action in g.event(Event::Request(request)) {
            if let Action::SetTimer { at, token } = action {
                wakes.extend((at == deadline).then_some(token));
            }
        }
    }
    g.now += 2_000_000;
    for (id, token) in ids.into_iter().zip(wakes) {
        let actions = g.event(Event::Timer(token));
        let own = |a: &Action| matches!(a, Action::Reject { request, .. } if request.0 == id);
        assert_eq!(actions.iter().filter(|a| own(a)).count(), 1, "{id}: {actions:?}");
        assert_eq!(actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count(), 1);
    }
}

#[test]
fn odd_figures_in_settings_and_requests_do_no_harm() {
    for odd in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let rule = SlowStartRule {
            initial_capacity_share: odd,
            warm_up_time: SECOND,
            overload_multiple: odd,
            overload_window: SECOND,
        };
        let mut settings = Settings {
            transfer_kb_per_s: odd,
            cache_slow_start: rule,
            parent_slow_start: rule,
            ..settings()
        };
        settings.classes[0].objective_stretch = odd;
        (settings.classes[0].freshness_lifetime, settings.classes[0].stale_grace) =
            (Micros::MAX, Micros::MAX);
        let mut g = Gateway::new(settings);
        let odd_member = |id| Member { size: odd, started_at: g.now, ..member(id) };
        let members = [1, 2, 11, 12, 20].map(odd_member).to_vec();
        g.list(MemberUpdate::Full, members);
        for now in [g.now, g.now + 2 * SECOND, Micros::MAX - 1] {
            g.now = now;
            let mut request = g.request_until(5, Micros::MAX);
            request.size_kb = odd;
            let actions = g.event(Event::Request(request));
            let answered = !sent(&actions).is_empty() || refused(&actions);
            assert!(answered, "{odd} at {now}: {actions:?}");
            g.event(Event::Purged { object: None, group: 5, age: Micros::MAX });
        }
    }
}

/// A choice must not cost a sort of the whole list; nor may one event that names thousands of servers fail.
#[test]
fn a_list_of_several_thousand_servers_is_no_trouble() {
    let mut g = Gateway::new(settings());
    let entry =
        |n: u32| Member { server: ServerId(1000 + n), ..member(if n.is_multiple_of(5) { 11 } else { 1 }) };
    let mut members: Vec<Member> = (0..5000).map(entry).collect();
    members.push(member(20));
    g.list(MemberUpdate::Full, members);
    for object in 0..200 {
        let one = g.fill(object);
        assert_ne!(one.source(), ORIGIN);
    }
}

/// Day hb91594: past the windows of their pair fills wandered on, and each parent fetched the same anew.
#[test]
fn past_the_windows_of_its_pair_a_fill_goes_to_the_origin_and_not_to_a_third_parent() {
    let mut g = Gateway::with(settings(), &[1, 2, 3, 11, 12, 13, 14, 20]);
    let object = g.pair_of(11);
    let source = |g: &mut Gateway, object| {
        let one = g.send(object);
        g.end(&one, 0, Outcome::Rejected, CacheStatus::SourceRejected);
        one.source()
    };
    // Both of the pair turn fills away and are passed over for a moment.
    let first = source(&mut g, object);
    let second = g.peek(object);
    assert!(first == ServerId(11) && second != first && second != ORIGIN);
    let theirs: Vec<u64> = (2000..9000).filter(|o| g.peek(*o) == second).take(1).collect();
    source(&mut g, theirs[0]);
    assert_eq!(g.peek(object), ORIGIN);
}

/// A source that a cache could not reach, told by a refusal (`AGAIN` with `up_lost`), is as lost as one
/// told by an error: nothing ran, yet its objects go to the next parent. Before, each gateway went on
/// sending there.
#[test]
fn a_source_that_caches_can_t_reach_is_suspected_though_they_turn_the_fill_away() {
    let mut g = Gateway::with(settings(), &[1, 2, 3, 11, 12, 20]);
    let object = g.pair_of(11);
    for _ in 0..3 {
        let one = g.send(object);
        assert_eq!(one.source(), ServerId(11));
        g.end(&one, 0, Outcome::Rejected, CacheStatus::SourceUnreachable);
        g.now += 10_000;
    }
    assert_ne!(g.peek(object), ServerId(11), "a lost parent is passed over");
}

/// Trials at a server that stays lost come ever further apart: a hundred gateways each trying every 0.7 s
/// made a steady share of all fills fail.
#[test]
fn trials_at_a_lost_source_back_off() {
    let mut g = Gateway::with(settings(), &[1, 2, 3, 11, 12, 20]);
    let object = g.pair_of(11);
    let (mut trials, start) = (0, g.now);
    while g.now < start + 20 * SECOND {
        let one = g.send(object);
        let lost = one.source() == ServerId(11);
        trials += usize::from(lost);
        g.end(&one, 0, if lost { Outcome::Failed } else { Outcome::Ok }, CacheStatus::SourceUnreachable);
        g.now += 50_000;
    }
    // Three strikes, then a trial at 0.7, 1.4, 2.8 and 5.6 s at most (each between half and half again).
    assert!((4..=10).contains(&trials), "{trials} trials in 20 s; every 0.7 s would be 28");
}
