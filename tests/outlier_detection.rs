//! Servers that fail, are silent, slow or at capacity: ejection, probation requests and backoff.

mod common;
use common::*;
use foxhold::*;

/// Ends an attempt as a server does that can't serve the request: at once and without a cache status.
fn end_at_once(
    router: &mut RouterHarness,
    attempt: &SentAttempt,
    number: u32,
    outcome: Outcome,
) -> Vec<Action> {
    router.end_attempt_after(attempt, number, outcome, CacheStatus::Unknown, 1_000)
}

#[test]
fn a_silent_cache_is_ejected_and_hedged_requests_go_elsewhere() {
    let mut router = RouterHarness::with_default_site();
    let (mut first, mut copies) = (None, 0);
    for object in 0..40 {
        let actions = router.send_request(0, object);
        let attempt = attempts_in(&actions)[0].clone();
        if *first.get_or_insert(attempt.server) != attempt.server {
            router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
            continue;
        }
        router.now += 600_000;
        for action in &actions {
            if let Action::SetTimer { at, token } = action {
                if *at <= router.now {
                    let more = router.handle(Event::Timer(*token));
                    copies += attempts_in(&more).iter().filter(|s| Some(s.server) != first).count();
                }
            }
        }
    }
    assert!(copies >= 3, "{copies}");
    let mut probations = 0;
    for object in 100..160 {
        let attempt = router.attempt_for(object);
        probations += usize::from(Some(attempt.server) == first);
        if Some(attempt.server) != first {
            router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
        }
    }
    assert!(probations <= 1, "an ejected cache gets one probation request at most: {probations}");
}

#[test]
fn a_source_whose_fills_fail_is_ejected_for_the_origin_and_gets_probation_requests() {
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 20]);
    for object in 0..3 {
        let attempt = router.attempt_for(object);
        assert_eq!(attempt.source(), ServerId(11));
        router.end_attempt(&attempt, 0, Outcome::Failed, CacheStatus::SourceUnreachable);
        router.now += 1_000;
    }
    assert_eq!(router.peek_source(500), ORIGIN);
    router.now += 1_000_000;
    let probation = router.attempt_for(501);
    assert_eq!(probation.source(), ServerId(11));
    router.end_attempt(&probation, 0, Outcome::Ok, CacheStatus::Filled);
    assert_eq!(router.peek_source(502), ServerId(11));
}

/// Regression: connections broke at caches that went on responding; leaving them filled the same bytes again.
#[test]
fn a_broken_connection_to_a_responding_cache_is_retried_there_and_is_no_failure() {
    let mut router = RouterHarness::with_default_site();
    for object in 0..10 {
        let attempt = router.attempt_for(object);
        router.now += 1_000;
        let other = router.attempt_for(object);
        router.end_attempt(&other, 0, Outcome::Ok, CacheStatus::Hit);
        let again = attempts_in(&router.end_attempt(&attempt, 0, Outcome::Reset, CacheStatus::Unknown));
        assert_eq!(again.first().map(|s| s.server), Some(attempt.server));
        router.end_attempt(&again[0], 1, Outcome::Ok, CacheStatus::Hit);
        router.now += 200_000;
        for _ in 0..8 {
            router.peek_source(object);
        }
    }
}

/// Regression: errors for the requests of a few bad clients closed the fill windows of all sources, and each
/// request was retried at one server after another.
#[test]
fn a_request_that_two_servers_fail_at_once_is_rejected_and_counts_against_no_source() {
    let mut router = RouterHarness::with_default_site();
    for n in 0..8 {
        let first = router.attempt_for(7_000 + n);
        let again = end_at_once(&mut router, &first, 0, Outcome::Failed);
        let second = attempts_in(&again).first().cloned().expect("a second try");
        assert_ne!(second.server, first.server);
        assert!(is_rejected(&end_at_once(&mut router, &second, 1, Outcome::Failed)));
        // Good requests continue in between, as most do.
        let (source, other) = (first.source(), router.attempt_for(9_000 + n));
        router.end_attempt(&other, 0, Outcome::Ok, CacheStatus::Filled);
        let object = router.object_with_first_parent(source.0);
        let sent = router.attempt_for(object);
        assert_eq!((sent.source(), sent.fill.map(|f| f.only_if_cached)), (source, Some(false)));
        router.end_attempt(&sent, 0, Outcome::Ok, CacheStatus::Hit);
    }
}

/// Guards against one broken connection counting as many failures of its server.
#[test]
fn connections_that_break_together_count_as_one_failure() {
    let mut router = RouterHarness::with_servers(settings(), &[1, 11, 12, 20]);
    let many: Vec<SentAttempt> = (0..8).map(|n| router.attempt_for(800 + n)).collect();
    for attempt in &many {
        let actions = end_at_once(&mut router, attempt, 0, Outcome::Reset);
        assert!(!actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("suspected"))));
    }
    assert_eq!(router.attempt_for(900).server, ServerId(1));
}

/// Regression: parents at capacity were ejected, and others fetched their objects from the origin again.
#[test]
fn a_source_that_rejects_fills_is_backed_off_from_and_never_ejected() {
    let mut router =
        RouterHarness::with_servers(Settings { health_checks: true, ..settings() }, &[1, 2, 3, 11, 12, 20]);
    let object = router.object_with_first_parent(11);
    for _ in 0..10 {
        let attempt = router.attempt_for(object);
        let actions = end_at_once(&mut router, &attempt, 0, Outcome::Rejected);
        assert!(!actions.iter().any(|a| matches!(a, Action::Log(_) | Action::HealthCheck(_))), "{actions:?}");
        router.now += 100_000;
    }
}

/// Guards against a cache that serves all requests at a fraction of its rate: requests that it could not
/// serve in time go to the next in hash order, small ones stay, and their times show when it has recovered.
#[test]
fn a_cache_with_slow_hits_is_avoided_until_it_recovers() {
    let mut router = RouterHarness::with_default_site();
    let hit = |router: &mut RouterHarness, object: u64, size_kb: f64, slow: Option<u32>| {
        let request = Request { size_kb, ..router.new_request(0, object) };
        let attempt = attempts_in(&router.handle(Event::Request(request)))[0].clone();
        router.now += 1_000;
        let times = if slow == Some(attempt.server.0) { 10.0 } else { 1.0 };
        router.handle(Event::AttemptEnded(attempt.ended(
            Outcome::Ok,
            CacheStatus::Hit,
            (size_kb * 1000.0 * times) as Micros,
        )));
        attempt.server.0
    };
    let first = hit(&mut router, 5, 100.0, None);
    let spread = |router: &mut RouterHarness, size_kb: f64, slow| -> Vec<u32> {
        (0..90).map(|object| hit(router, object, size_kb, slow)).collect()
    };
    assert!(spread(&mut router, 100.0, None).contains(&first));
    spread(&mut router, 20.0, Some(first));
    assert!(!spread(&mut router, 100.0, Some(first)).contains(&first), "it has no time for these");
    assert!(spread(&mut router, 2.0, Some(first)).contains(&first), "it has for these");
    spread(&mut router, 2.0, None);
    assert!(spread(&mut router, 100.0, None).contains(&first), "it has recovered");
}

/// Regression: a parent overloaded by the fills of other zones has few fills of this router in flight.
#[test]
fn a_source_with_late_fills_gets_fewer_until_they_are_in_time_again() {
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 20]);
    let slow = |router: &mut RouterHarness, attempt: &SentAttempt, took| {
        router.handle(Event::AttemptEnded(AttemptEnd {
            source_wait: took - 50_000, // the source was slow, not the link
            ..attempt.ended(Outcome::Ok, CacheStatus::Filled, took)
        }))
    };
    for object in 0..20 {
        let attempt = router.attempt_for(object);
        router.now += 450_000;
        slow(&mut router, &attempt, 450_000);
    }
    let sources: Vec<ServerId> = (100..110).map(|o| router.attempt_for(o).source()).collect();
    assert!(sources.contains(&ORIGIN), "past the narrowed window the origin takes some: {sources:?}");
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 20]);
    for object in 0..20 {
        let attempt = router.attempt_for(object);
        slow(&mut router, &attempt, 60_000);
    }
    assert!(
        (100..110).all(|o| router.attempt_for(o).source() == ServerId(11)),
        "fills in time leave it open"
    );
}
