//! The choice of caches and fill sources in normal operation: the two candidate parents, the residency
//! estimate, fills in flight and the placement by hash.

mod common;
use common::*;
use foxhold::*;

/// Returns a router with two parents only, an object, and the object's first and second parent.
fn router_with_two_parents() -> (RouterHarness, u64, ServerId, ServerId) {
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 13, 20]);
    let object = router.object_with_first_parent(11);
    (router, object, ServerId(11), ServerId(13))
}

/// Starts `n` fills at a parent and leaves them in flight. Their objects are used for this parent only.
fn start_fills(router: &mut RouterHarness, parent: ServerId, n: usize) -> Vec<SentAttempt> {
    let mut in_flight = Vec::new();
    let mut object = 50_000 + u64::from(parent.0) * 1000;
    while in_flight.len() < n {
        object += 1;
        if router.next_fill_source(object) == parent {
            in_flight.push(router.send_and_take_attempt(object));
        }
    }
    in_flight
}

/// Makes the second parent an estimated holder of the object, by draining the first during a fill.
fn fill_from_second(router: &mut RouterHarness, object: u64, first: ServerId, second: ServerId) {
    let draining = Member { state: MemberState::Draining, ..running_member(first.0) };
    router.update_members(MemberUpdate::Incremental, vec![draining]);
    assert_eq!(router.complete_fill(object).source(), second);
    router.update_members(MemberUpdate::Incremental, vec![running_member(first.0)]);
}

#[test]
fn an_unpopular_object_is_filled_from_its_first_parent_even_if_that_is_busy() {
    let (mut router, object, first, _) = router_with_two_parents();
    start_fills(&mut router, first, 10);
    assert_eq!(router.send_and_take_attempt(object).source(), first);
}

#[test]
fn an_estimated_holder_is_chosen_only_if_the_first_parent_is_over_half_busier() {
    let (mut router, object, first, second) = router_with_two_parents();
    fill_from_second(&mut router, object, first, second);
    start_fills(&mut router, second, 2);
    start_fills(&mut router, first, 3);
    assert_eq!(router.next_fill_source(object), first, "expected the first parent at exactly half more load");
    start_fills(&mut router, first, 1);
    assert_eq!(router.next_fill_source(object), second, "expected the second parent at over half more load");
}

#[test]
fn the_residency_estimate_ends_after_thirty_seconds_or_a_restart() {
    let (mut router, object, first, second) = router_with_two_parents();
    fill_from_second(&mut router, object, first, second);
    start_fills(&mut router, first, 4);
    assert_eq!(router.next_fill_source(object), second);
    router.now += 31_000_000;
    assert_eq!(router.next_fill_source(object), first);

    let (mut router, object, first, second) = router_with_two_parents();
    fill_from_second(&mut router, object, first, second);
    router.now += 20_000_000;
    router.update_members(
        MemberUpdate::Incremental,
        vec![Member { started_at: router.now - 10_500_000, ..running_member(second.0) }],
    );
    start_fills(&mut router, first, 4);
    assert_eq!(
        router.next_fill_source(object),
        first,
        "expected a restarted parent not to be an estimated holder"
    );
}

#[test]
fn a_popular_object_is_filled_from_the_second_parent_if_the_first_is_busy() {
    let (mut router, object, first, second) = router_with_two_parents();
    start_fills(&mut router, first, 4);
    assert_eq!(router.next_fill_source(object), first);
    for _ in 0..60 {
        router.next_fill_source(object);
    }
    assert_eq!(router.next_fill_source(object), second);
}

#[test]
fn a_failed_fill_counts_against_its_parent_until_a_later_one_succeeds() {
    let (mut router, object, first, second) = router_with_two_parents();
    fill_from_second(&mut router, object, first, second);
    let in_flight = start_fills(&mut router, first, 1);
    let again =
        attempts_in(&router.end_attempt(&in_flight[0], 0, Outcome::Failed, CacheStatus::SourceUnreachable));
    assert_eq!(again[0].source(), second, "expected the retry to be filled from the other parent");
    router.end_attempt(&again[0], 1, Outcome::Ok, CacheStatus::Hit);
    let (mut other_object, mut filled) = (90_000, false);
    assert_eq!(router.next_fill_source(object), second, "expected the parent without a failed fill");
    while !filled {
        other_object += 1;
        let sent = router.send_and_take_attempt(other_object);
        filled = sent.source() == first;
        router.end_attempt(
            &sent,
            0,
            Outcome::Ok,
            if filled { CacheStatus::Filled } else { CacheStatus::Hit },
        );
    }
    assert_eq!(router.next_fill_source(object), first, "expected a later success to clear the failure");
}

#[test]
fn unusable_parents_are_replaced_by_the_remaining_ones_and_finally_by_the_origin() {
    let mut router = RouterHarness::with_test_deployment();
    let object = router.object_with_first_parent(11);
    let mut sources = vec![router.next_fill_source(object)];
    for _ in 0..3 {
        let last = *sources.last().expect("a source");
        router.update_members(
            MemberUpdate::Incremental,
            vec![Member { state: MemberState::Gone, ..running_member(last.0) }],
        );
        sources.push(router.next_fill_source(object));
    }
    assert_eq!(sources.last(), Some(&ORIGIN));
    sources.sort();
    assert_eq!(sources, [ServerId(11), ServerId(12), ServerId(13), ORIGIN]);
}

#[test]
fn all_routers_choose_the_same_parent() {
    let (mut a, mut b) = (
        RouterHarness::with_test_deployment(),
        RouterHarness::with_servers(Settings { zone: 3, ..settings() }, &[5, 6, 11, 12, 13, 20]),
    );
    for object in 1..200 {
        assert_eq!(a.next_fill_source(object), b.next_fill_source(object));
    }
}

/// Guards against placement that depends on the traffic of one router: routers that judge popularity by their
/// own traffic disagree, and each disagreement costs a duplicate copy.
#[test]
fn every_router_spreads_the_parts_of_an_object_over_the_same_three_caches() {
    let ids = [1, 2, 3, 4, 11, 12, 13, 20];
    let (mut a, mut b) =
        (RouterHarness::with_servers(settings(), &ids), RouterHarness::with_servers(settings(), &ids));
    for object in 500..600 {
        b.next_fill_source(object);
    }
    let cache_and_source = |router: &mut RouterHarness, object, part| {
        let request = Request { part, ..router.new_request(0, object) };
        let attempt = attempts_in(&router.handle(Event::Request(request)))[0].clone();
        router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
        (attempt.server, attempt.source())
    };
    for object in 1..60 {
        let placements: Vec<_> = (0..24).map(|part| cache_and_source(&mut a, object, part)).collect();
        assert_eq!(
            placements,
            (0..24).map(|part| cache_and_source(&mut b, object, part)).collect::<Vec<_>>()
        );
        let mut caches: Vec<_> = placements.iter().map(|p| p.0).collect();
        caches.sort();
        caches.dedup();
        assert_eq!(caches.len(), 3, "expected three of four caches to hold the object's parts");
        assert!(placements.iter().all(|p| p.1 == placements[0].1), "expected one parent to fill all parts");
        a.now += 20_000_000;
        b.now += 20_000_000;
    }
}

#[test]
fn the_loss_of_a_cache_moves_only_the_objects_that_it_held() {
    let mut router = RouterHarness::with_test_deployment();
    let serving_cache = |router: &mut RouterHarness, o| {
        let s = router.send_and_take_attempt(o);
        router.end_attempt(&s, 0, Outcome::Ok, CacheStatus::Hit);
        s.server
    };
    let caches_before: Vec<_> = (1..100).map(|o| serving_cache(&mut router, o)).collect();
    router.update_members(
        MemberUpdate::Incremental,
        vec![Member { state: MemberState::Gone, ..running_member(2) }],
    );
    for (object, before) in (1..100).zip(caches_before) {
        let after = serving_cache(&mut router, object);
        assert!(if before == ServerId(2) { after != before } else { after == before });
    }
}

#[test]
fn a_popular_object_uses_two_or_three_caches_and_an_unpopular_one_a_single_cache() {
    let mut router = RouterHarness::with_test_deployment();
    let mut servers: Vec<_> = (0..5).map(|_| router.send_and_take_attempt(7).server).collect();
    servers.dedup();
    assert_eq!(servers.len(), 1);
    let mut servers: Vec<_> = (0..30).map(|_| router.send_and_take_attempt(7).server).collect();
    servers.sort();
    servers.dedup();
    assert!(servers.len() >= 2, "{servers:?}");
}

#[test]
fn objects_requested_once_are_cached_at_the_lowest_rank() {
    let mut router = RouterHarness::with_test_deployment();
    for object in 0..50 {
        router.complete_fill(object);
    }
    assert_eq!(
        router.send_and_take_attempt(3).fill.expect("a fill").cache_rank,
        2,
        "expected rank 2 for an object requested again"
    );
    assert_eq!(
        router.send_and_take_attempt(888).fill.expect("a fill").cache_rank,
        1,
        "expected rank 1 for an object requested once"
    );
}
