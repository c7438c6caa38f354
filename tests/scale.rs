//! The combined effect of many routers on one server, where each router observes only its own traffic; and
//! regressions that appeared at that scale.

mod common;
use common::*;
use foxhold::*;

const SECOND: Micros = 1_000_000;

/// Returns `n` routers of one zone. Each knows their number, but not the others' traffic.
fn fleet(n: u32, settings: &Settings, ids: &[u32]) -> Vec<RouterHarness> {
    let settings = Settings { routers: n, routers_by_zone: vec![0, 0, n, 0], ..settings.clone() };
    let harness = |seed| {
        let mut router = RouterHarness::with_seed(settings.clone(), u64::from(seed) + 1);
        router.update_members(MemberUpdate::Full, ids.iter().map(|id| running_member(*id)).collect());
        router
    };
    (0..n).map(harness).collect()
}

/// Sends requests for objects of one size to the routers in turn, and completes all as fills. Returns the
/// time and the transfer time of each attempt that has `id` as its server or fill source.
fn run_requests(
    fleet: &mut [RouterHarness],
    id: ServerId,
    kb: f64,
    interval: Micros,
    duration: Micros,
) -> Vec<(Micros, f64)> {
    let (mut transfers, start, mut object) = (Vec::new(), fleet[0].now, 0);
    while interval * object < duration {
        object += 1;
        let now = start + interval * object;
        let n = fleet.len();
        let router = &mut fleet[(object as usize * 7919) % n];
        router.now = now;
        let mut request = router.new_request(0, object * 31);
        (request.size_kb, request.deadline) = (kb, now + 5 * SECOND);
        for attempt in attempts_in(&router.handle(Event::Request(request))) {
            if attempt.server == id || attempt.fill.is_some_and(|f| f.source == id) {
                transfers.push((now, kb * 1000.0));
            }
            router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Filled);
        }
    }
    transfers
}

#[test]
fn a_server_in_slow_start_is_used_early_and_within_its_limit_by_any_number_of_routers() {
    for (id, kb) in [(11, 50.0), (11, 350.0), (1, 50.0), (1, 350.0)] {
        for routers in [4, 40, 180] {
            for multiple in [1.3, 2.0, 3.0] {
                let rule = SlowStartRule { overload_multiple: multiple, ..settings().parent_slow_start };
                let settings = Settings { parent_slow_start: rule, cache_slow_start: rule, ..settings() };
                let mut fleet = fleet(routers, &settings, &[1, 2, 3, 11, 12, 13, 20]);
                run_requests(&mut fleet, ServerId(99), kb, SECOND / 200, 8 * SECOND);
                let since = fleet[0].now.max(fleet[1].now);
                for router in &mut fleet {
                    router.now = since;
                    router.update_members(
                        MemberUpdate::Incremental,
                        vec![Member { started_at: since, ..running_member(id) }],
                    );
                }
                let transfers =
                    run_requests(&mut fleet, ServerId(id), kb, (kb * 40.0) as Micros, 10 * SECOND);
                let case = format!("server {id}, {kb} KB, {routers} routers, multiple {multiple}");
                let early: f64 = transfers.iter().filter(|t| t.0 < since + 5 * SECOND).map(|t| t.1).sum();
                // The work that the server can process in the first half of the warm-up. On average it then
                // has 0.4 of its capacity of 20 transfers at full rate.
                let possible = 5.0 * 0.4 * 20.0 * SECOND as f64;
                assert!(
                    early > 0.1 * possible,
                    "{case}: {early} µs of transfers in the first 5 s, {possible} possible"
                );
                for (at, _) in &transfers {
                    let sum: f64 =
                        transfers.iter().filter(|t| (*at..at + SECOND).contains(&t.0)).map(|t| t.1).sum();
                    let capacity_share = 0.2 + 0.8 * (at - since) as f64 / (10 * SECOND) as f64;
                    let limit = multiple * 20.0 * capacity_share * SECOND as f64;
                    assert!(
                        sum <= limit,
                        "{case}: {sum} µs of transfers in a second, limit {limit}, {} µs after the start",
                        at - since
                    );
                }
            }
        }
    }
}

/// Guards against an overload of the origin: when the parents were lost, every router sent its fills there
/// at once.
#[test]
fn the_origin_is_not_overloaded_when_the_parents_are_lost() {
    for routers in [4, 40, 180] {
        let mut fleet = fleet(routers, &settings(), &[1, 2, 3, 11, 20]);
        for router in &mut fleet {
            router.update_members(
                MemberUpdate::Incremental,
                vec![Member { state: MemberState::Gone, ..running_member(11) }],
            );
        }
        // No fill ends, so all attempts that name the origin are in flight there.
        let count_origin_fills = |fleet: &mut [RouterHarness], rounds: u64| {
            let mut fills = 0;
            for object in 0..rounds {
                for router in fleet.iter_mut() {
                    let actions = router.send_request(0, object);
                    let to_origin = |s: &&SentAttempt| s.fill.is_some_and(|f| f.source == ORIGIN);
                    fills += attempts_in(&actions).iter().filter(to_origin).count();
                }
            }
            fills
        };
        let first = count_origin_fills(&mut fleet, 1);
        assert!((1..=72).contains(&first), "{routers} routers: {first} fills in flight at the origin");
        let more = first + count_origin_fills(&mut fleet, 20);
        assert!(more <= 96.max(routers as usize), "{routers} routers: {more} fills in flight at the origin");
        // Fills that end within the latency objective widen each router's window at the origin.
        let mut fleet = self::fleet(routers, &settings(), &[1, 2, 3, 20]);
        for object in 100..160 {
            for router in &mut fleet {
                for attempt in attempts_in(&router.send_request(0, object)) {
                    router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Filled);
                }
            }
        }
        let after = count_origin_fills(&mut fleet[..], 1);
        assert!(after as u32 * 10 >= routers * 9, "{routers} routers: {after} fills at the origin");
    }
}

/// Guards against a minimum of one fill in each router's window, by which 180 routers would overload a
/// source. A window below one admits fills at random.
#[test]
fn a_source_with_late_fills_gets_less_than_one_fill_from_each_router() {
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 20]);
    for object in 0..60 {
        let attempt = router.send_and_take_attempt(object);
        router.now += 450_000;
        let ended = |elapsed| attempt.ended(Outcome::Ok, CacheStatus::Filled, elapsed);
        router.handle(Event::AttemptEnded(ended(450_000)));
    }
    let at_parent = (100..200).filter(|o| router.next_fill_source(*o) == ServerId(11)).count();
    assert!((1..60).contains(&at_parent), "{at_parent} of 100 successive fills at the parent");
}

/// Guards against a router that sends a parent only one fill in several seconds and keeps naming it while it
/// refuses connections, for as long as it is in the member list.
#[test]
fn a_first_failure_triggers_a_health_check_and_a_failed_check_ejects_the_server() {
    let mut router =
        RouterHarness::with_servers(Settings { health_checks: true, ..settings() }, &[1, 2, 3, 11, 12, 20]);
    let health_checks =
        |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::HealthCheck(_))).count();
    let object = router.object_with_first_parent(11);
    let attempt = router.send_and_take_attempt(object);
    let actions = router.end_attempt(&attempt, 0, Outcome::Failed, CacheStatus::SourceUnreachable);
    assert!(actions.contains(&Action::HealthCheck(ServerId(11))), "{actions:?}");
    router.now += 100_000;
    let health_checked = |outcome| Event::HealthChecked {
        server: ServerId(11),
        outcome,
        elapsed: 250_000,
        load_report: Vec::new(),
    };
    router.handle(health_checked(Outcome::Ok));
    assert_eq!(
        router.next_fill_source(object),
        ServerId(11),
        "a parent that passes its health check stays in use"
    );
    let attempt = router.send_and_take_attempt(object);
    assert_eq!(
        health_checks(&router.end_attempt(&attempt, 0, Outcome::Failed, CacheStatus::SourceUnreachable)),
        1
    );
    router.now += 100_000;
    router.handle(health_checked(Outcome::ConnectError));
    assert_eq!(router.next_fill_source(object), ServerId(12));
    let mut router = RouterHarness::with_test_deployment();
    let attempt = router.send_and_take_attempt(object);
    assert_eq!(
        health_checks(&router.end_attempt(&attempt, 0, Outcome::Failed, CacheStatus::SourceUnreachable)),
        0,
        "no health checks where the settings disable them"
    );
}

/// Guards against ejecting a healthy server: at a router that sends few requests, three late responses
/// counted as three failures.
#[test]
fn late_responses_of_a_server_that_passes_health_checks_do_not_count_as_failures() {
    let run_late_responses = |outcome| {
        let mut router =
            RouterHarness::with_servers(Settings { health_checks: true, ..settings() }, &[1, 11, 12, 20]);
        let (mut health_checks, mut ejected) = (0, false);
        for object in 0..6 {
            if ejected {
                break;
            }
            let actions = router.send_request(0, object);
            let timer = actions.iter().find_map(|a| match a {
                Action::SetTimer { at, token } if *at < router.now + 500_000 => Some((*at, *token)),
                _ => None,
            });
            let (at, token) = timer.expect("a timer before the objective");
            router.now = at;
            let mut pending_actions = router.handle(Event::Timer(token));
            while let Some(action) = pending_actions.pop() {
                ejected |= matches!(action, Action::Log(_));
                if let Action::HealthCheck(server) = action {
                    health_checks += 1;
                    let health_checked =
                        Event::HealthChecked { server, outcome, elapsed: 1_000, load_report: Vec::new() };
                    pending_actions.extend(router.handle(health_checked));
                }
            }
        }
        (health_checks, ejected)
    };
    assert_eq!(run_late_responses(Outcome::Ok), (6, false));
    assert!(run_late_responses(Outcome::TimedOut).1, "a server that also fails health checks is ejected");
}

/// Guards against a second fill at another cache when responses get lost: the first cache has done the work
/// and holds the object by now.
#[test]
fn the_hedged_request_goes_to_the_same_cache_when_responses_are_often_lost() {
    let hedge_late_response = |router: &mut RouterHarness, object| {
        let actions = router.send_request(0, object);
        let attempt = attempts_in(&actions)[0].clone();
        let ok = router.send_and_take_attempt(object);
        router.now += 400_000;
        router.end_attempt(&ok, 0, Outcome::Ok, CacheStatus::Filled);
        let due_token = |a: &Action| match a {
            Action::SetTimer { at, token } if *at <= router.now => Some(*token),
            _ => None,
        };
        let tokens: Vec<TimerToken> = actions.iter().filter_map(due_token).collect();
        let hedged: Vec<SentAttempt> =
            tokens.into_iter().flat_map(|t| attempts_in(&router.handle(Event::Timer(t)))).collect();
        (attempt, hedged)
    };
    let mut router = RouterHarness::with_test_deployment();
    assert!(
        hedge_late_response(&mut router, 5).1.is_empty(),
        "no hedged request for a response that is only late"
    );
    for object in 10..16 {
        let attempt = router.send_and_take_attempt(object);
        let ok = router.send_and_take_attempt(object);
        router.now += 1_000;
        router.end_attempt(&ok, 0, Outcome::Ok, CacheStatus::Hit);
        router.end_attempt(&attempt, 0, Outcome::TimedOut, CacheStatus::Unknown);
    }
    let (attempt, hedged) = hedge_late_response(&mut router, 5);
    assert_eq!(hedged.iter().map(|s| s.server).collect::<Vec<_>>(), [attempt.server]);
    let mut router = RouterHarness::with_servers(
        Settings { request_collapsing: false, ..settings() },
        &[1, 2, 3, 11, 12, 13, 20],
    );
    for object in 10..16 {
        let attempt = router.send_and_take_attempt(object);
        let ok = router.send_and_take_attempt(object);
        router.now += 1_000;
        router.end_attempt(&ok, 0, Outcome::Ok, CacheStatus::Hit);
        router.end_attempt(&attempt, 0, Outcome::TimedOut, CacheStatus::Unknown);
    }
    assert!(
        hedge_late_response(&mut router, 5).1.is_empty(),
        "without request collapsing it would fill the bytes twice"
    );
}

#[test]
fn ids_of_64_bits_have_distinct_timers() {
    let mut router = RouterHarness::with_test_deployment();
    let ids = [u64::MAX, u64::MAX >> 8, u64::MAX - 1];
    let mut timers = Vec::new();
    for id in ids {
        let request = Request { id: RequestId(id), ..router.new_request(0, 5) };
        let deadline = request.deadline;
        for action in router.handle(Event::Request(request)) {
            if let Action::SetTimer { at, token } = action {
                timers.extend((at == deadline).then_some(token));
            }
        }
    }
    router.now += 2_000_000;
    for (id, token) in ids.into_iter().zip(timers) {
        let actions = router.handle(Event::Timer(token));
        let rejects_it = |a: &Action| matches!(a, Action::Reject { request, .. } if request.0 == id);
        assert_eq!(actions.iter().filter(|a| rejects_it(a)).count(), 1, "{id}: {actions:?}");
        assert_eq!(actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count(), 1);
    }
}

#[test]
fn requests_are_answered_despite_invalid_numbers_in_settings_and_requests() {
    for invalid in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let rule = SlowStartRule {
            initial_capacity_share: invalid,
            warm_up_time: SECOND,
            overload_multiple: invalid,
            overload_window: SECOND,
        };
        let mut settings = Settings {
            transfer_kb_per_s: invalid,
            cache_slow_start: rule,
            parent_slow_start: rule,
            ..settings()
        };
        settings.classes[0].objective_stretch = invalid;
        (settings.classes[0].freshness_lifetime, settings.classes[0].stale_grace) =
            (Micros::MAX, Micros::MAX);
        let mut router = RouterHarness::new(settings);
        let invalid_member = |id| Member { size: invalid, started_at: router.now, ..running_member(id) };
        let members = [1, 2, 11, 12, 20].map(invalid_member).to_vec();
        router.update_members(MemberUpdate::Full, members);
        for now in [router.now, router.now + 2 * SECOND, Micros::MAX - 1] {
            router.now = now;
            let mut request = router.new_request_until(5, Micros::MAX);
            request.size_kb = invalid;
            let actions = router.handle(Event::Request(request));
            let answered = !attempts_in(&actions).is_empty() || is_rejected(&actions);
            assert!(answered, "{invalid} at {now}: {actions:?}");
            router.handle(Event::Purged { object: None, group: 5, age: Micros::MAX });
        }
    }
}

/// Guards against decisions that sort the complete member list: one event may list thousands of servers.
#[test]
fn fills_avoid_the_origin_with_several_thousand_servers_listed() {
    let mut router = RouterHarness::new(settings());
    let entry = |n: u32| Member {
        server: ServerId(1000 + n),
        ..running_member(if n.is_multiple_of(5) { 11 } else { 1 })
    };
    let mut members: Vec<Member> = (0..5000).map(entry).collect();
    members.push(running_member(20));
    router.update_members(MemberUpdate::Full, members);
    for object in 0..200 {
        let attempt = router.complete_fill(object);
        assert_ne!(attempt.source(), ORIGIN);
    }
}

/// Guards against fills that go on to a third parent and further: each fetched the same object again.
#[test]
fn a_fill_goes_to_the_origin_when_both_parents_reject_fills() {
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 12, 13, 14, 20]);
    let object = router.object_with_first_parent(11);
    let reject_fill = |router: &mut RouterHarness, object| {
        let attempt = router.send_and_take_attempt(object);
        router.end_attempt(&attempt, 0, Outcome::Rejected, CacheStatus::SourceRejected);
        attempt.source()
    };
    // Both parents reject fills; the router sends them none during the backoff.
    let first = reject_fill(&mut router, object);
    let second = router.next_fill_source(object);
    assert!(first == ServerId(11) && second != first && second != ORIGIN);
    let objects_of_second: Vec<u64> =
        (2000..9000).filter(|o| router.next_fill_source(*o) == second).take(1).collect();
    reject_fill(&mut router, objects_of_second[0]);
    assert_eq!(router.next_fill_source(object), ORIGIN);
}

/// Guards against naming a lost source further because the cache that could not reach it rejects the request
/// instead of failing it. The source's objects go to the next parent.
#[test]
fn a_source_that_caches_report_as_unreachable_is_ejected() {
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 12, 20]);
    let object = router.object_with_first_parent(11);
    for _ in 0..3 {
        let attempt = router.send_and_take_attempt(object);
        assert_eq!(attempt.source(), ServerId(11));
        router.end_attempt(&attempt, 0, Outcome::Rejected, CacheStatus::SourceUnreachable);
        router.now += 10_000;
    }
    assert_ne!(router.next_fill_source(object), ServerId(11), "an ejected parent is not named as a source");
}

/// Guards against probation requests at a constant interval: a hundred routers that each sent one every 0.7 s
/// made a steady share of all fills fail.
#[test]
fn probation_requests_to_a_lost_source_back_off() {
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 12, 20]);
    let object = router.object_with_first_parent(11);
    let (mut probations, start) = (0, router.now);
    while router.now < start + 20 * SECOND {
        let attempt = router.send_and_take_attempt(object);
        let lost = attempt.source() == ServerId(11);
        probations += usize::from(lost);
        router.end_attempt(
            &attempt,
            0,
            if lost { Outcome::Failed } else { Outcome::Ok },
            CacheStatus::SourceUnreachable,
        );
        router.now += 50_000;
    }
    // Three failures, then probation requests after 0.7, 1.4, 2.8 and 5.6 s (each with half of it as jitter).
    assert!(
        (4..=10).contains(&probations),
        "{probations} probation requests in 20 s; one every 0.7 s would be 28"
    );
}
