//! Overload: load shedding, admission to the zone's link, and fill sources at capacity.

mod common;
use common::*;
use foxhold::*;

/// Guards against serving a response that would be late, which takes bandwidth from the others: its request
/// is rejected at once.
#[test]
fn a_request_that_an_overloaded_cache_would_serve_late_is_shed() {
    let mut router =
        RouterHarness::with_servers(Settings { direct_requests: false, ..settings() }, &[1, 11, 20]);
    let (mut admitted, mut first_rejected) = (0, None);
    for object in 0..400 {
        if is_rejected(&router.send_request(0, object)) {
            first_rejected.get_or_insert(object);
        } else {
            admitted += 1;
        }
    }
    // Each takes 50 ms of transfer time at a cache that runs 20 transfers at a time, so that the latency
    // objective of 500 ms is reached at about 170 requests.
    assert!((120..=200).contains(&admitted), "{admitted} requests were admitted");
    assert_eq!(first_rejected, Some(admitted), "no request is admitted after the first rejection");
}

/// Guards against a regression: while the origin was slow and the parents' fill windows were closed, 30% of
/// requests were rejected instead of 18%.
#[test]
fn a_parent_at_capacity_is_asked_for_cached_copies_only() {
    let mut router = RouterHarness::with_test_deployment();
    for n in 0..120 {
        let attempt = router.send_and_take_attempt(20_000 + n);
        router.now += 900_000;
        router.handle(Event::AttemptEnded(AttemptEnd {
            source_wait: 850_000, // the delay is the origin's, not the zone link's
            ..attempt.ended(Outcome::Ok, CacheStatus::FilledFromOrigin, 900_000)
        }));
    }
    let (_, fill) = (30_000..30_200)
        .map(|object| router.send_and_take_attempt(object))
        .find_map(|attempt| attempt.fill.filter(|fill| fill.only_if_cached).map(|fill| (attempt, fill)))
        .expect("a fill from a copy that a parent has cached");
    assert!((11..=13).contains(&fill.source.0));
}

/// Guards against a regression: all fills of a zone share its link, so that one fill too many delays all.
/// Each of 300 routers had one or two fills in flight, too few to narrow any fill window, and hits were late
/// as well.
#[test]
fn a_congested_zone_link_limits_fills_of_all_sizes_equally() {
    let fill_once = |router: &mut RouterHarness, object, elapsed| {
        let attempt = router.send_and_take_attempt(object);
        let filled = attempt.has_source();
        router.end_attempt_after(
            &attempt,
            0,
            Outcome::Ok,
            if filled { CacheStatus::Filled } else { CacheStatus::Hit },
            elapsed,
        );
    };
    let mut router = RouterHarness::with_test_deployment();
    let count_fills = |router: &mut RouterHarness, size_kb: f64| {
        let filled = (0..400).filter(|n| {
            let request = Request { size_kb, ..router.new_request(0, 50_000 + n) };
            let attempt = attempts_in(&router.handle(Event::Request(request)))[0].clone();
            router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
            attempt.has_source()
        });
        filled.count()
    };
    assert_eq!(count_fills(&mut router, 50.0), 400);
    (0..4).for_each(|n| fill_once(&mut router, 30_000 + n, 300_000)); // 50 ms expected by size

    // Within a class no size has priority over another.
    let mut fills_by_size = [0, 0, 0];
    for n in 0..1_200 {
        let size_kb = [25.0, 50.0, 150.0][n % 3];
        let request = Request { size_kb, ..router.new_request(0, 70_000 + n as u64) };
        let attempt = attempts_in(&router.handle(Event::Request(request)))[0].clone();
        router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
        fills_by_size[n % 3] += usize::from(attempt.has_source());
    }
    let [small, mean, large] = fills_by_size;
    assert!((1..300).contains(&mean), "expected some of the fills to be denied: {mean} of 400 admitted");
    let (fewest, most) = (fills_by_size.iter().min(), fills_by_size.iter().max());
    assert!(
        fewest.zip(most).is_some_and(|(fewest, most)| 3 * fewest >= 2 * most),
        "fills admitted: {small} small, {mean} mean, {large} large"
    );
    (0..200).for_each(|n| fill_once(&mut router, 40_000 + n, 300_000));
    assert!((1..200).contains(&count_fills(&mut router, 50.0)), "some fills are still admitted");
    (0..2_000).for_each(|n| fill_once(&mut router, 60_000 + n, 60_000));
    assert_eq!(count_fills(&mut router, 50.0), 400, "fills in time restore admission");
}

/// Guards against denying fills of classes with small objects, nearly all of which are admitted when few
/// fills of the class with the largest objects are.
#[test]
fn a_congested_zone_link_limits_classes_of_small_objects_least() {
    let mut router = RouterHarness::with_test_deployment();
    let is_filled = |router: &mut RouterHarness, class: usize, object: u64, size_kb: f64| {
        let request = Request { size_kb, ..router.new_request(class, object) };
        let attempt = attempts_in(&router.handle(Event::Request(request)))[0].clone();
        router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
        attempt.has_source()
    };
    // The first known size of a class becomes its mean.
    is_filled(&mut router, 0, 1, 400.0);
    is_filled(&mut router, 2, 2, 40.0);
    for n in 0..4 {
        let request = Request { size_kb: 400.0, ..router.new_request(0, 30_000 + n) };
        let attempt = attempts_in(&router.handle(Event::Request(request)))[0].clone();
        router.end_attempt_after(&attempt, 0, Outcome::Ok, CacheStatus::Filled, 2_400_000);
    }
    let large = (0..400).filter(|n| is_filled(&mut router, 0, 50_000 + n, 400.0)).count();
    let small = (0..400).filter(|n| is_filled(&mut router, 2, 60_000 + n, 40.0)).count();
    assert!(
        large < 200 && small > 300,
        "of 400 fills each, {large} of the large class and {small} of the small class were admitted"
    );
}

/// Guards against late admission control: the elapsed times of fills show a full link late, so that a
/// utilization that caches report adjusts admission at once.
#[test]
fn a_load_report_of_the_zone_link_adjusts_its_admission_at_once() {
    let settings =
        Settings { health_checks: true, load_report: vec!["cpu".into(), "x1".into()], ..settings() };
    let count_fills = |reports: &[(u32, [f64; 2])]| {
        let mut router = RouterHarness::with_servers(settings.clone(), &[1, 2, 3, 5, 11, 12, 13, 20]);
        for (server, report) in reports {
            let (server, report) = (ServerId(*server), report.to_vec());
            router.handle(Event::HealthChecked {
                server,
                outcome: Outcome::Ok,
                elapsed: 1_000,
                load_report: report,
            });
        }
        let filled = (0..400).filter(|n| {
            let attempt = router.send_large_and_take_attempt(50_000 + n);
            router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
            attempt.has_source()
        });
        filled.count()
    };
    assert_eq!(count_fills(&[]), 400);
    assert_eq!(
        count_fills(&[(1, [9.0, 1.0])]),
        400,
        "the link has capacity, regardless of the load of the cache's cores"
    );
    let (once, thrice) = (count_fills(&[(1, [0.1, 3.0])]), count_fills(&[(1, [0.1, 3.0]); 3]));
    assert!(
        (100..300).contains(&once) && (1..once).contains(&thrice),
        "{once} fills after one report, {thrice} after three"
    );
    assert!(
        count_fills(&[(1, [0.1, 3.0]), (2, [0.1, 0.5]), (3, [0.1, 0.5])]) > once,
        "reports of spare capacity raise admission"
    );
    // A parent's value of that name has another meaning, and another zone's link does not affect this one.
    assert_eq!(count_fills(&[(11, [0.1, 30.0]), (5, [0.1, 30.0])]), 400);
    for invalid in [f64::NAN, f64::INFINITY, -1.0] {
        assert!(
            count_fills(&[(1, [0.1, invalid])]) > 0,
            "a utilization of {invalid} must not stop all fills"
        );
    }
}

/// Guards against rejecting a request whose fill is not admitted before a second cache has been tried,
/// because parts and hot objects are cached at several caches.
#[test]
fn a_request_whose_fill_is_not_admitted_tries_two_caches_and_is_then_rejected() {
    let settings = Settings { health_checks: true, load_report: vec!["x1".into()], ..settings() };
    let mut router = RouterHarness::with_servers(settings, &[1, 2, 3, 11, 12, 13, 20]);
    let report_full_link = |router: &mut RouterHarness| {
        for _ in 0..20 {
            router.handle(Event::HealthChecked {
                server: ServerId(1),
                outcome: Outcome::Ok,
                elapsed: 1_000,
                load_report: vec![50.0],
            });
        }
    };
    let mut requests_by_caches_tried = [0; 4];
    // 12 requests, as the retry budget initially holds that many attempts.
    for n in 0..12 {
        report_full_link(&mut router);
        let mut attempt = router.send_large_and_take_attempt(50_000 + n);
        let (mut tried, mut fills) = (vec![attempt.server], 0);
        let actions = loop {
            fills += usize::from(attempt.has_source());
            let actions =
                router.end_attempt(&attempt, tried.len() as u32 - 1, Outcome::Miss, CacheStatus::Unknown);
            match attempts_in(&actions).first() {
                Some(next) => attempt = next.clone(),
                None => break actions,
            }
            assert!(!tried.contains(&attempt.server), "expected another cache than {tried:?}: {attempt:?}");
            tried.push(attempt.server);
        };
        assert!(is_rejected(&actions), "expected a rejection, got {actions:?}");
        if fills == 0 {
            requests_by_caches_tried[tried.len()] += 1;
        }
    }
    assert_eq!(
        (requests_by_caches_tried[0], requests_by_caches_tried[3]),
        (0, 0),
        "{requests_by_caches_tried:?}"
    );
    assert!(requests_by_caches_tried[2] >= 8, "{requests_by_caches_tried:?}");
}

/// Guards against rejecting a request that would be late at its first cache while other caches of the zone
/// have capacity.
#[test]
fn a_request_goes_to_the_next_cache_if_the_first_would_be_late() {
    let mut router = RouterHarness::with_test_deployment();
    let first_choice = |router: &mut RouterHarness, object| {
        let sent = router.send_and_take_attempt(object);
        router.end_attempt(&sent, 0, Outcome::Ok, CacheStatus::Hit);
        sent.server
    };
    let objects: Vec<u64> =
        (40_000..).filter(|o| first_choice(&mut router, *o) == ServerId(1)).take(40).collect();
    let mut loads = std::collections::BTreeMap::new();
    for object in objects {
        let request = Request { size_kb: 300.0, ..router.new_request(0, object) };
        let sent = attempts_in(&router.handle(Event::Request(request)));
        *loads.entry(sent.first().expect("capacity at some cache").server).or_insert(0) += 1;
    }
    assert!(loads[&ServerId(1)] >= 20 && loads.len() > 1, "requests by cache: {loads:?}");
    // Requests are rejected once no cache has capacity.
    let rejections = (0..60).filter(|n| {
        let request = Request { size_kb: 300.0, ..router.new_request(0, 50_000 + n) };
        is_rejected(&router.handle(Event::Request(request)))
    });
    assert!(rejections.count() > 0);
}

/// Guards against rejecting requests with short deadlines while nothing is congested.
#[test]
fn a_request_with_a_short_deadline_is_rejected_only_if_the_transfer_takes_longer() {
    let mut router = RouterHarness::with_test_deployment();
    let until = router.now + 55_000;
    let long_enough = router.new_request_until(60_000, until);
    assert_eq!(attempts_in(&router.handle(Event::Request(long_enough))).len(), 1);
    let until = router.now + 45_000;
    let too_short = router.new_request_until(60_001, until);
    assert!(is_rejected(&router.handle(Event::Request(too_short))));
}
