//! Admission control while the zone's link or the origin is congested.

mod common;
use common::*;
use foxhold::*;

/// Duration, in microseconds, of a response that misses the class's latency objective. Nearly all of it is
/// the wait for the first byte.
const LATE_RESPONSE: Micros = 450_000;
const LATE_FIRST_BYTE: Micros = 400_000;
/// Wait for the first byte, in microseconds, of a response that is late because of the transfer itself.
const EARLY_FIRST_BYTE: Micros = 50_000;
/// Requests sent to measure the admitted share.
const SAMPLES: u64 = 100;

fn settings_without_collapsing() -> Settings {
    Settings { request_collapsing: false, direct_requests: false, ..settings() }
}

/// Ends a fill for which the parent fetched the object from the origin.
fn end_origin_fill(router: &mut RouterHarness, attempt: &SentAttempt, elapsed: Micros, source_wait: Micros) {
    let end =
        AttemptEnd { source_wait, ..attempt.ended(Outcome::Ok, CacheStatus::FilledFromOrigin, elapsed) };
    router.handle(Event::AttemptEnded(end));
}

/// Sends [`SAMPLES`] requests, and returns the number of those that may be served only from cached copies of
/// their source.
fn count_only_if_cached(router: &mut RouterHarness, first_object: u64) -> usize {
    let mut count = 0;
    for object in first_object..first_object + SAMPLES {
        let attempt = router.send_and_take_attempt(object);
        count += usize::from(attempt.fill.is_some_and(|fill| fill.only_if_cached));
        router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
    }
    count
}

/// Guards against a regression: after caches and parents were emptied, each router kept fetching, and the
/// origin served no request in time.
#[test]
fn fetches_are_limited_while_the_origin_is_late_and_resume_when_it_recovers() {
    let mut router = RouterHarness::with_servers(settings_without_collapsing(), &[1, 2, 3, 11, 12, 13, 20]);
    assert!(
        count_only_if_cached(&mut router, 100) <= 5,
        "expected at most 5 unfetched objects before any observation"
    );
    for object in 1_000..1_120 {
        let attempt = router.send_and_take_attempt(object);
        router.now += 20_000;
        // Objects cached at parents still arrive in time, so the parents' fill windows stay open.
        if object % 3 == 0 {
            end_origin_fill(&mut router, &attempt, LATE_RESPONSE, LATE_FIRST_BYTE);
        } else {
            router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Filled);
        }
    }
    let not_fetched = count_only_if_cached(&mut router, 2_000);
    assert!(
        not_fetched >= 70,
        "expected at least 70 of {SAMPLES} not fetched while the origin is late, got {not_fetched}"
    );
    assert!(not_fetched < 100, "expected some fetches, which show when the origin recovers");
    for object in 3_000..3_600 {
        let attempt = router.send_and_take_attempt(object);
        router.now += 20_000;
        end_origin_fill(&mut router, &attempt, 60_000, 10_000);
    }
    let not_fetched = count_only_if_cached(&mut router, 4_000);
    assert!(
        not_fetched <= 5,
        "expected at most 5 of {SAMPLES} not fetched after recovery, got {not_fetched}"
    );
}

/// Guards against counting a large object as a late origin: its transfer takes most of the latency objective,
/// however quick the origin is.
#[test]
fn a_fetch_late_because_of_its_size_does_not_limit_other_fetches() {
    let mut router = RouterHarness::with_servers(settings_without_collapsing(), &[1, 2, 3, 11, 12, 13, 20]);
    for object in 1_000..1_120 {
        router.now += 20_000;
        if object % 3 == 0 {
            let large = Request { size_kb: 400.0, ..router.new_request(0, object) };
            let actions = router.handle(Event::Request(large));
            let attempt =
                attempts_in(&actions).first().cloned().unwrap_or_else(|| panic!("nothing sent: {actions:?}"));
            end_origin_fill(&mut router, &attempt, LATE_RESPONSE, EARLY_FIRST_BYTE);
        } else {
            let attempt = router.send_and_take_attempt(object);
            router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Filled);
        }
    }
    let not_fetched = count_only_if_cached(&mut router, 2_000);
    assert!(
        not_fetched <= 5,
        "expected at most 5 of {SAMPLES} not fetched from a quick origin, got {not_fetched}"
    );
}

/// Guards against a write without a fill source: it would always miss, because writes are not cached.
#[test]
fn a_write_is_filled_from_the_origin_while_the_link_is_congested() {
    const WRITES: usize = 3;
    let mut router = RouterHarness::with_servers(settings_without_collapsing(), &[1, 2, 3, 11, 12, 13, 20]);
    for object in 0..60 {
        router.now += 100_000;
        for attempt in attempts_in(&router.send_request(0, object)) {
            router.end_attempt(&attempt, 0, Outcome::Rejected, CacheStatus::FillLimitReached);
        }
    }
    for object in 100..160 {
        router.now += 100_000;
        let actions = router.send_request(WRITES, object);
        let attempt =
            attempts_in(&actions).first().cloned().unwrap_or_else(|| panic!("nothing sent: {actions:?}"));
        assert_eq!(attempt.fill.map(|fill| (fill.source, fill.only_if_cached)), Some((ORIGIN, false)));
        router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Filled);
    }
}
