//! Admission control while the zone's link or the origin is congested.

mod common;
use common::*;
use foxhold::*;

/// A response that takes so long misses the class's latency objective; nearly all is the wait for the first
/// byte.
const LATE_ANSWER: Micros = 450_000;
const LATE_FIRST_BYTE: Micros = 400_000;
/// The same response if the bytes themselves took the time.
const EARLY_FIRST_BYTE: Micros = 50_000;
/// Requests sent to measure the admitted share.
const SAMPLES: u64 = 100;

fn settings_without_collapsing() -> Settings {
    Settings { request_collapsing: false, direct_requests: false, ..settings() }
}

/// Ends a fill for which the parent had to fetch the object from the origin.
fn fetched_from_origin(router: &mut RouterHarness, attempt: &SentAttempt, took: Micros, waited: Micros) {
    let end =
        AttemptEnd { source_wait: waited, ..attempt.ended(Outcome::Ok, CacheStatus::FilledFromOrigin, took) };
    router.handle(Event::AttemptEnded(end));
}

/// How many of a hundred requests may only be served from what their source has cached.
fn only_if_cached(router: &mut RouterHarness, first_object: u64) -> usize {
    let mut only_if_cached = 0;
    for object in first_object..first_object + SAMPLES {
        let attempt = router.attempt_for(object);
        only_if_cached += usize::from(attempt.fill.is_some_and(|fill| fill.only_if_cached));
        router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
    }
    only_if_cached
}

/// Regression: when caches and parents were emptied each router went on fetching, and the origin served
/// nobody in time.
#[test]
fn fetches_are_limited_while_the_origin_is_late_and_recover_with_it() {
    let mut router = RouterHarness::with_servers(settings_without_collapsing(), &[1, 2, 3, 11, 12, 13, 20]);
    assert!(only_if_cached(&mut router, 100) <= 5, "all is fetched before any observation");
    for object in 1_000..1_120 {
        let attempt = router.attempt_for(object);
        router.now += 20_000;
        // What parents have cached comes in time meanwhile: their fill windows stay open.
        if object % 3 == 0 {
            fetched_from_origin(&mut router, &attempt, LATE_ANSWER, LATE_FIRST_BYTE);
        } else {
            router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Filled);
        }
    }
    let not_fetched = only_if_cached(&mut router, 2_000);
    assert!(not_fetched >= 70, "{not_fetched} of {SAMPLES} not fetched while the origin is late");
    assert!(not_fetched < 100, "some are fetched, to see when it is better");
    for object in 3_000..3_600 {
        let attempt = router.attempt_for(object);
        router.now += 20_000;
        fetched_from_origin(&mut router, &attempt, 60_000, 10_000);
    }
    let not_fetched = only_if_cached(&mut router, 4_000);
    assert!(not_fetched <= 5, "{not_fetched} of {SAMPLES} not fetched after the origin has recovered");
}

/// A large object takes most of its latency objective to transfer, however quick the origin is.
#[test]
fn a_fetch_that_is_late_because_of_its_size_limits_no_other() {
    let mut router = RouterHarness::with_servers(settings_without_collapsing(), &[1, 2, 3, 11, 12, 13, 20]);
    for object in 1_000..1_120 {
        router.now += 20_000;
        if object % 3 == 0 {
            let large = Request { size_kb: 400.0, ..router.new_request(0, object) };
            let actions = router.handle(Event::Request(large));
            let attempt =
                attempts_in(&actions).first().cloned().unwrap_or_else(|| panic!("nothing sent: {actions:?}"));
            fetched_from_origin(&mut router, &attempt, LATE_ANSWER, EARLY_FIRST_BYTE);
        } else {
            let attempt = router.attempt_for(object);
            router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Filled);
        }
    }
    let not_fetched = only_if_cached(&mut router, 2_000);
    assert!(not_fetched <= 5, "{not_fetched} of {SAMPLES} not fetched, though the origin responds at once");
}

/// A write is cached nowhere: without a source it can only miss.
#[test]
fn a_write_names_the_origin_however_congested_the_link_is() {
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
