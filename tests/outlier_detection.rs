//! Ejection, probation requests and backoff for servers that fail, do not respond, are slow or are at
//! capacity.

mod common;
use common::*;
use foxhold::*;

/// Ends an attempt after 1 ms and without a cache status, as a server does that cannot serve the request.
fn end_at_once(
    router: &mut RouterHarness,
    attempt: &SentAttempt,
    number: u32,
    outcome: Outcome,
) -> Vec<Action> {
    router.end_attempt_after(attempt, number, outcome, CacheStatus::Unknown, 1_000)
}

#[test]
fn a_cache_that_does_not_respond_is_ejected_and_hedged_requests_go_elsewhere() {
    let mut router = RouterHarness::with_test_deployment();
    let (mut first, mut hedged) = (None, 0);
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
                    hedged += attempts_in(&more).iter().filter(|s| Some(s.server) != first).count();
                }
            }
        }
    }
    assert!(hedged >= 3, "expected at least 3 hedged requests to other caches, got {hedged}");
    let mut probations = 0;
    for object in 100..160 {
        let attempt = router.send_and_take_attempt(object);
        probations += usize::from(Some(attempt.server) == first);
        if Some(attempt.server) != first {
            router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
        }
    }
    assert!(probations <= 1, "expected at most one probation request to an ejected cache, got {probations}");
}

#[test]
fn a_source_with_failing_fills_is_replaced_by_the_origin_and_gets_probation_requests() {
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 20]);
    for object in 0..3 {
        let attempt = router.send_and_take_attempt(object);
        assert_eq!(attempt.source(), ServerId(11));
        router.end_attempt(&attempt, 0, Outcome::Failed, CacheStatus::SourceUnreachable);
        router.now += 1_000;
    }
    assert_eq!(router.next_fill_source(500), ORIGIN);
    router.now += 1_000_000;
    let probation = router.send_and_take_attempt(501);
    assert_eq!(probation.source(), ServerId(11));
    router.end_attempt(&probation, 0, Outcome::Ok, CacheStatus::Filled);
    assert_eq!(router.next_fill_source(502), ServerId(11));
}

/// Guards against a regression: connections broke at caches that still responded, and requests that moved to
/// other caches filled the same bytes again.
#[test]
fn a_broken_connection_to_a_responding_cache_is_retried_there_and_is_not_a_failure() {
    let mut router = RouterHarness::with_test_deployment();
    for object in 0..10 {
        let attempt = router.send_and_take_attempt(object);
        router.now += 1_000;
        let other = router.send_and_take_attempt(object);
        router.end_attempt(&other, 0, Outcome::Ok, CacheStatus::Hit);
        let again = attempts_in(&router.end_attempt(&attempt, 0, Outcome::Reset, CacheStatus::Unknown));
        assert_eq!(again.first().map(|s| s.server), Some(attempt.server));
        router.end_attempt(&again[0], 1, Outcome::Ok, CacheStatus::Hit);
        router.now += 200_000;
        for _ in 0..8 {
            router.next_fill_source(object);
        }
    }
}

/// Guards against a regression: errors for invalid requests of a few clients closed the fill windows of all
/// sources, and each request was retried at one server after another.
#[test]
fn a_request_failed_at_once_by_two_servers_is_rejected_and_not_counted_against_sources() {
    let mut router = RouterHarness::with_test_deployment();
    for n in 0..8 {
        let first = router.send_and_take_attempt(7_000 + n);
        let again = end_at_once(&mut router, &first, 0, Outcome::Failed);
        let second = attempts_in(&again).first().cloned().expect("a second attempt");
        assert_ne!(second.server, first.server);
        assert!(is_rejected(&end_at_once(&mut router, &second, 1, Outcome::Failed)));
        // Valid requests, which are the majority, continue in between.
        let (source, other) = (first.source(), router.send_and_take_attempt(9_000 + n));
        router.end_attempt(&other, 0, Outcome::Ok, CacheStatus::Filled);
        let object = router.object_with_first_parent(source.0);
        let sent = router.send_and_take_attempt(object);
        assert_eq!((sent.source(), sent.fill.map(|f| f.only_if_cached)), (source, Some(false)));
        router.end_attempt(&sent, 0, Outcome::Ok, CacheStatus::Hit);
    }
}

/// Guards against a broken connection counting as one failure of its server for each attempt on it.
#[test]
fn connections_that_break_together_count_as_one_failure() {
    let mut router = RouterHarness::with_servers(settings(), &[1, 11, 12, 20]);
    let attempts: Vec<SentAttempt> = (0..8).map(|n| router.send_and_take_attempt(800 + n)).collect();
    for attempt in &attempts {
        let actions = end_at_once(&mut router, attempt, 0, Outcome::Reset);
        assert!(!actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("suspected"))));
    }
    assert_eq!(router.send_and_take_attempt(900).server, ServerId(1));
}

/// Guards against a regression: parents at capacity were ejected, and other parents fetched their objects
/// from the origin again.
#[test]
fn a_source_that_rejects_fills_gets_backoff_and_is_never_ejected() {
    let mut router =
        RouterHarness::with_servers(Settings { health_checks: true, ..settings() }, &[1, 2, 3, 11, 12, 20]);
    let object = router.object_with_first_parent(11);
    for _ in 0..10 {
        let attempt = router.send_and_take_attempt(object);
        let actions = end_at_once(&mut router, &attempt, 0, Outcome::Rejected);
        assert!(!actions.iter().any(|a| matches!(a, Action::Log(_) | Action::HealthCheck(_))), "{actions:?}");
        router.now += 100_000;
    }
}

/// Guards against late responses from a cache that serves all requests at a fraction of its rate. Requests
/// that it cannot serve in time go to the next cache in hash order. Small requests stay, and their response
/// times show when the cache has recovered.
#[test]
fn a_cache_with_slow_hits_is_avoided_until_it_recovers() {
    let mut router = RouterHarness::with_test_deployment();
    let serve_hit = |router: &mut RouterHarness, object: u64, size_kb: f64, slow_cache: Option<u32>| {
        let request = Request { size_kb, ..router.new_request(0, object) };
        let attempt = attempts_in(&router.handle(Event::Request(request)))[0].clone();
        router.now += 1_000;
        let slowdown = if slow_cache == Some(attempt.server.0) { 10.0 } else { 1.0 };
        router.handle(Event::AttemptEnded(attempt.ended(
            Outcome::Ok,
            CacheStatus::Hit,
            (size_kb * 1000.0 * slowdown) as Micros,
        )));
        attempt.server.0
    };
    let first = serve_hit(&mut router, 5, 100.0, None);
    let serving_caches = |router: &mut RouterHarness, size_kb: f64, slow_cache| -> Vec<u32> {
        (0..90).map(|object| serve_hit(router, object, size_kb, slow_cache)).collect()
    };
    assert!(serving_caches(&mut router, 100.0, None).contains(&first));
    serving_caches(&mut router, 20.0, Some(first));
    assert!(
        !serving_caches(&mut router, 100.0, Some(first)).contains(&first),
        "expected the slow cache to get no large requests"
    );
    assert!(
        serving_caches(&mut router, 2.0, Some(first)).contains(&first),
        "expected the slow cache to get small requests"
    );
    serving_caches(&mut router, 2.0, None);
    assert!(
        serving_caches(&mut router, 100.0, None).contains(&first),
        "expected the recovered cache to get large requests"
    );
}

/// Guards against a regression: a parent that the fills of other zones overload may have few fills of this
/// router in flight, so late fills must limit it as well.
#[test]
fn a_source_with_late_fills_gets_fewer_fills_than_one_with_fills_in_time() {
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 20]);
    let end_fill = |router: &mut RouterHarness, attempt: &SentAttempt, elapsed| {
        router.handle(Event::AttemptEnded(AttemptEnd {
            source_wait: elapsed - 50_000, // nearly all of the time is the wait for the source, not the link
            ..attempt.ended(Outcome::Ok, CacheStatus::Filled, elapsed)
        }))
    };
    for object in 0..20 {
        let attempt = router.send_and_take_attempt(object);
        router.now += 450_000;
        end_fill(&mut router, &attempt, 450_000);
    }
    let sources: Vec<ServerId> = (100..110).map(|o| router.send_and_take_attempt(o).source()).collect();
    assert!(
        sources.contains(&ORIGIN),
        "expected the origin to take fills beyond the smaller concurrency window: {sources:?}"
    );
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 20]);
    for object in 0..20 {
        let attempt = router.send_and_take_attempt(object);
        end_fill(&mut router, &attempt, 60_000);
    }
    assert!(
        (100..110).all(|o| router.send_and_take_attempt(o).source() == ServerId(11)),
        "expected fills in time to leave the concurrency window open"
    );
}
