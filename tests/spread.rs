//! Even load on the caches of one zone, though each of many routers observes little of it.

mod common;

use common::*;
use foxhold::*;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
const CACHES: u32 = 24;

/// Routers that share nothing, with 24 caches of one zone, three parents and the origin.
fn fleet(routers: u32) -> Vec<RouterHarness> {
    let settings = Settings { routers, routers_by_zone: vec![0, 0, routers, 0], ..settings() };
    let cache = |id| Member { server: ServerId(id), ..member(1) };
    let mut members: Vec<Member> = (101..101 + CACHES).map(cache).collect();
    members.extend([11, 12, 13, 20].map(member));
    let harness = |seed| {
        let mut router = RouterHarness::with_seed(settings.clone(), u64::from(seed) + 1);
        router.update_members(MemberUpdate::Full, members.clone());
        router
    };
    (0..routers).map(harness).collect()
}

/// A stream of requests for 5,000 objects whose popularity is a power law: rank n has weight 1 / n^0.9.
struct Stream {
    random: u64,
    sums: Vec<f64>,
}

impl Stream {
    fn new() -> Stream {
        let mut sum = 0.0;
        let rank = |n| {
            sum += f64::from(n).powf(-0.9);
            sum
        };
        Stream { random: 7, sums: (1..=5_000).map(rank).collect() }
    }

    fn unit(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn object(&mut self) -> u64 {
        let at = self.unit() * self.sums[self.sums.len() - 1];
        self.sums.partition_point(|s| *s < at) as u64 + 1
    }
}

/// Sends 800 requests a second through random routers, each ended before the next, and returns how many each
/// cache received from second `from` on. One object has the share `hot` of them.
fn run(routers: u32, hot: f64, seconds: u64, from: u64) -> BTreeMap<ServerId, u32> {
    let (mut fleet, mut stream) = (fleet(routers), Stream::new());
    let mut got: BTreeMap<ServerId, u32> = (101..101 + CACHES).map(|id| (ServerId(id), 0)).collect();
    let start = fleet[0].now;
    for n in 0..seconds * 800 {
        let now = start + n * SECOND / 800;
        let object = if stream.unit() < hot { 9_001 } else { stream.object() };
        let router = (stream.unit() * f64::from(routers)) as usize;
        let router = &mut fleet[router];
        router.now = now;
        let attempt = router.attempt_for(object);
        if n >= from * 800 {
            *got.entry(attempt.server).or_default() += 1;
        }
        router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
    }
    got
}

fn busiest_over_mean(got: &BTreeMap<ServerId, u32>) -> f64 {
    let mean = f64::from(got.values().sum::<u32>()) / f64::from(CACHES);
    f64::from(*got.values().max().expect("some")) / mean
}

/// Regression: 6.9 times the mean at 200 routers when none of them found the object hot, and 2.7 when the
/// demand for its caches was estimated with one prior for hot objects and all others.
#[test]
fn an_object_with_a_quarter_of_all_requests_is_spread_though_each_router_sees_few_of_them() {
    for (routers, most) in [(1, 2.6), (20, 2.6), (200, 2.6), (500, 2.7)] {
        let busiest = busiest_over_mean(&run(routers, 0.25, 30, 15));
        assert!(busiest < most, "{routers} routers: {busiest}");
    }
}

/// Regression: 2.5 times the mean when an object with less than 15% was never hot.
#[test]
fn uneven_popularity_alone_makes_no_cache_twice_as_busy_as_the_mean() {
    for routers in [1, 20, 200] {
        let got = run(routers, 0.0, 30, 15);
        let busiest = busiest_over_mean(&got);
        assert!(busiest < 1.75, "{routers} routers: {busiest}");
        assert!(got.values().all(|n| *n > 0), "no cache is idle: {got:?}");
    }
}

/// Each object goes to the next cache in its own hash order, not all to one neighbour.
#[test]
fn requests_passed_on_by_a_cache_with_too_much_demand_go_to_many_others() {
    let mut router = fleet(1).remove(0);
    // Forty objects of one cache, none of them hot by itself.
    let first = |router: &mut RouterHarness, object| {
        router.now += 900 * SECOND;
        let attempt = router.attempt_for(object);
        router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
        attempt.server
    };
    let objects: Vec<u64> = (1..).filter(|o| first(&mut router, *o) == ServerId(101)).take(40).collect();
    let mut others = BTreeMap::new();
    let mut stream = Stream::new();
    for _ in 0..12_000 {
        router.now += SECOND / 400;
        // A third of all requests are for these forty: eight times a cache's share of the capacity.
        let is_for_first_cache = stream.unit() < 0.33;
        let pick = (stream.unit() * 40.0) as usize;
        let object = if is_for_first_cache { objects[pick] } else { 10_000 + stream.object() };
        let attempt = router.attempt_for(object);
        if is_for_first_cache && attempt.server != ServerId(101) {
            *others.entry(attempt.server).or_insert(0u32) += 1;
        }
        router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
    }
    let passed: u32 = others.values().sum();
    let most = others.values().max().copied().unwrap_or(0);
    assert!(passed > 1_500, "{passed} went on");
    assert!(others.len() >= 10 && most * 4 < passed, "{others:?}");
}
