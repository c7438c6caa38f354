//! Where objects are cached and filled from in ordinary operation: the choice of two parents, the residency
//! estimate, fills in flight and the placement by hash.

mod common;
use common::*;
use foxhold::*;

/// A router with two parents only, an object whose first is `.1` and whose second is `.2`.
fn two_parents() -> (RouterHarness, u64, ServerId, ServerId) {
    let mut router = RouterHarness::with_servers(settings(), &[1, 2, 3, 11, 13, 20]);
    let object = router.object_with_first_parent(11);
    (router, object, ServerId(11), ServerId(13))
}

/// Keeps `n` fills in flight at a parent, for objects of its own.
fn occupy(router: &mut RouterHarness, parent: ServerId, n: usize) -> Vec<SentAttempt> {
    let mut held = Vec::new();
    let mut object = 50_000 + u64::from(parent.0) * 1000;
    while held.len() < n {
        object += 1;
        if router.peek_source(object) == parent {
            held.push(router.attempt_for(object));
        }
    }
    held
}

/// Makes the second parent an estimated holder of the object: the first is away during a fill.
fn fill_from_second(router: &mut RouterHarness, object: u64, first: ServerId, second: ServerId) {
    let gone = Member { state: MemberState::Draining, ..member(first.0) };
    router.update_members(MemberUpdate::Incremental, vec![gone]);
    assert_eq!(router.complete_fill(object).source(), second);
    router.update_members(MemberUpdate::Incremental, vec![member(first.0)]);
}

#[test]
fn an_unpopular_object_stays_with_its_first_parent_however_busy() {
    let (mut router, object, first, _) = two_parents();
    occupy(&mut router, first, 10);
    assert_eq!(router.attempt_for(object).source(), first);
}

#[test]
fn an_estimated_holder_wins_only_if_the_first_parent_is_over_half_busier() {
    let (mut router, object, first, second) = two_parents();
    fill_from_second(&mut router, object, first, second);
    occupy(&mut router, second, 2);
    occupy(&mut router, first, 3);
    assert_eq!(router.peek_source(object), first, "exactly half higher: the first wins");
    occupy(&mut router, first, 1);
    assert_eq!(router.peek_source(object), second, "over half higher: the second wins");
}

#[test]
fn the_residency_estimate_ends_after_thirty_seconds_and_with_a_restart() {
    let (mut router, object, first, second) = two_parents();
    fill_from_second(&mut router, object, first, second);
    occupy(&mut router, first, 4);
    assert_eq!(router.peek_source(object), second);
    router.now += 31_000_000;
    assert_eq!(router.peek_source(object), first);

    let (mut router, object, first, second) = two_parents();
    fill_from_second(&mut router, object, first, second);
    router.now += 20_000_000;
    router.update_members(
        MemberUpdate::Incremental,
        vec![Member { started_at: router.now - 10_500_000, ..member(second.0) }],
    );
    occupy(&mut router, first, 4);
    assert_eq!(router.peek_source(object), first, "a restarted parent is no estimated holder");
}

#[test]
fn a_popular_object_may_be_filled_from_the_second_parent() {
    let (mut router, object, first, second) = two_parents();
    occupy(&mut router, first, 4);
    assert_eq!(router.peek_source(object), first);
    for _ in 0..60 {
        router.peek_source(object);
    }
    assert_eq!(router.peek_source(object), second);
}

#[test]
fn a_failed_fill_counts_until_a_later_one_succeeds() {
    let (mut router, object, first, second) = two_parents();
    fill_from_second(&mut router, object, first, second);
    let held = occupy(&mut router, first, 1);
    let again =
        attempts_in(&router.end_attempt(&held[0], 0, Outcome::Failed, CacheStatus::SourceUnreachable));
    assert_eq!(again[0].source(), second, "the retry is filled from the other parent");
    router.end_attempt(&again[0], 1, Outcome::Ok, CacheStatus::Hit);
    let (mut object_there, mut filled) = (90_000, false);
    assert_eq!(router.peek_source(object), second, "one failed fill against none");
    while !filled {
        object_there += 1;
        let sent = router.attempt_for(object_there);
        filled = sent.source() == first;
        router.end_attempt(
            &sent,
            0,
            Outcome::Ok,
            if filled { CacheStatus::Filled } else { CacheStatus::Hit },
        );
    }
    assert_eq!(router.peek_source(object), first, "a later success clears it");
}

#[test]
fn an_unusable_parent_is_replaced_by_the_other_then_the_next_then_the_origin() {
    let mut router = RouterHarness::with_default_site();
    let object = router.object_with_first_parent(11);
    let mut seen = vec![router.peek_source(object)];
    for _ in 0..3 {
        let last = *seen.last().expect("one seen");
        router.update_members(
            MemberUpdate::Incremental,
            vec![Member { state: MemberState::Gone, ..member(last.0) }],
        );
        seen.push(router.peek_source(object));
    }
    assert_eq!(seen.last(), Some(&ORIGIN));
    seen.sort();
    assert_eq!(seen, [ServerId(11), ServerId(12), ServerId(13), ORIGIN]);
}

#[test]
fn all_routers_choose_the_same_parent() {
    let (mut a, mut b) = (
        RouterHarness::with_default_site(),
        RouterHarness::with_servers(Settings { zone: 3, ..settings() }, &[5, 6, 11, 12, 13, 20]),
    );
    for object in 1..200 {
        assert_eq!(a.peek_source(object), b.peek_source(object));
    }
}

/// Routers that judge by their own traffic which objects are popular disagree, and each disagreement costs a
/// duplicate copy: the placement of parts must not depend on what one router has seen.
#[test]
fn parts_are_spread_over_three_caches_alike_at_every_router() {
    let ids = [1, 2, 3, 4, 11, 12, 13, 20];
    let (mut a, mut b) =
        (RouterHarness::with_servers(settings(), &ids), RouterHarness::with_servers(settings(), &ids));
    for object in 500..600 {
        b.peek_source(object);
    }
    let place = |router: &mut RouterHarness, object, part| {
        let request = Request { part, ..router.new_request(0, object) };
        let attempt = attempts_in(&router.handle(Event::Request(request)))[0].clone();
        router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
        (attempt.server, attempt.source())
    };
    for object in 1..60 {
        let places: Vec<_> = (0..24).map(|part| place(&mut a, object, part)).collect();
        assert_eq!(places, (0..24).map(|part| place(&mut b, object, part)).collect::<Vec<_>>());
        let mut caches: Vec<_> = places.iter().map(|p| p.0).collect();
        caches.sort();
        caches.dedup();
        assert_eq!(caches.len(), 3, "of four caches three hold the object's parts");
        assert!(places.iter().all(|p| p.1 == places[0].1), "all parts are filled by one parent");
        a.now += 20_000_000;
        b.now += 20_000_000;
    }
}

#[test]
fn the_loss_of_a_cache_moves_its_own_objects_only() {
    let mut router = RouterHarness::with_default_site();
    let place = |router: &mut RouterHarness, o| {
        let s = router.attempt_for(o);
        router.end_attempt(&s, 0, Outcome::Ok, CacheStatus::Hit);
        s.server
    };
    let before: Vec<_> = (1..100).map(|o| place(&mut router, o)).collect();
    router.update_members(MemberUpdate::Incremental, vec![Member { state: MemberState::Gone, ..member(2) }]);
    for (object, was) in (1..100).zip(before) {
        let is = place(&mut router, object);
        assert!(if was == ServerId(2) { is != was } else { is == was });
    }
}

#[test]
fn a_popular_object_uses_two_or_three_caches_and_an_unpopular_one_a_single_cache() {
    let mut router = RouterHarness::with_default_site();
    let mut servers: Vec<_> = (0..5).map(|_| router.attempt_for(7).server).collect();
    servers.dedup();
    assert_eq!(servers.len(), 1);
    let mut servers: Vec<_> = (0..30).map(|_| router.attempt_for(7).server).collect();
    servers.sort();
    servers.dedup();
    assert!(servers.len() >= 2, "{servers:?}");
}

#[test]
fn objects_requested_once_are_cached_at_the_lowest_rank() {
    let mut router = RouterHarness::with_default_site();
    for object in 0..50 {
        router.complete_fill(object);
    }
    assert_eq!(router.attempt_for(3).fill.expect("a fill").cache_rank, 2, "requested again");
    assert_eq!(router.attempt_for(888).fill.expect("a fill").cache_rank, 1, "requested once");
}
