//! Compares the router's hash order of servers with the order by full scores, in random fleets. The router
//! stores the orders that it has found, and finds them without a logarithm for each server.

mod common;

use common::*;
use foxhold::*;
use quickcheck::{Arbitrary, Gen};

/// Hashes two numbers with the finalizer of splitmix64.
fn splitmix64_hash(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for k in [0xbf58_476d_1ce4_e5b9_u64, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 29)).wrapping_mul(k);
    }
    x ^ (x >> 32)
}

/// Returns all servers of a role, sorted by their size over the negative logarithm of the hash: the largest
/// first, ties by id.
fn order_by_score(object: u64, role: &[Member]) -> Vec<ServerId> {
    let score = |m: &Member| {
        let unit = (splitmix64_hash(object, u64::from(m.server.0)) >> 11) as f64 / (1u64 << 53) as f64;
        m.size / -unit.max(1e-18).ln()
    };
    let mut all: Vec<&Member> = role.iter().collect();
    all.sort_by(|a, b| score(b).total_cmp(&score(a)).then(a.server.cmp(&b.server)));
    all.into_iter().map(|m| m.server).collect()
}

/// Returns the cache of an object that is not hot: the part chooses among the first three in the object's
/// order.
fn cache_of(object: u64, part: u32, caches: &[Member]) -> ServerId {
    let mut order = order_by_score(object, caches);
    let candidates = order.len().min(3);
    order[..candidates].sort_by_key(|id| splitmix64_hash(object ^ u64::from(id.0), u64::from(part) + 1));
    order[0]
}

#[test]
fn the_first_cache_and_parent_are_those_of_the_full_hash_order() {
    let mut gen = Gen::from_size_and_seed(64, 20);
    for round in 0..60 {
        // Equal sizes, slightly uneven sizes, and sizes that differ by a factor of thirty.
        let count = [1, 2, 3, 5, 6, 7, 24, 200, 700][round % 9];
        let size = |gen: &mut Gen| match round % 3 {
            0 => 8.0,
            1 => 4.0 + f64::from(u8::arbitrary(gen)) / 32.0,
            _ => 1.0 + f64::from(u16::arbitrary(gen)) / 2_000.0,
        };
        let server = |gen: &mut Gen, kind, zone, size| {
            let id = ServerId(u32::arbitrary(gen).max(100));
            Member { server: id, zone, kind, size, ..running_member(1) }
        };
        let mut members = Vec::new();
        for _ in 0..count {
            let size = size(&mut gen);
            members.push(server(&mut gen, 0, 2, size));
            let size = if count % 2 == 0 { size } else { 8.0 };
            members.push(server(&mut gen, 1, 0, size));
        }
        members.sort_by_key(|m| m.server);
        members.dedup_by_key(|m| m.server);
        let mut router = RouterHarness::with_seed(settings(), round as u64);
        for list in 0..3 {
            // A new list invalidates the stored orders.
            router.update_members(MemberUpdate::Full, members.clone());
            let of_kind = |kind| members.iter().filter(|m| m.kind == kind).cloned().collect::<Vec<_>>();
            let (caches, parents) = (of_kind(0), of_kind(1));
            for n in 0..40u64 {
                let object = u64::arbitrary(&mut gen) | 1;
                for repeat in 0..2 {
                    router.now += 900_000_000; // no object is hot or was requested recently
                    let request = router.new_request(0, object);
                    let attempt = attempts_in(&router.handle(Event::Request(request))).remove(0);
                    assert_eq!(attempt.server, cache_of(object, 0, &caches), "{round} {list} {n} {repeat}");
                    let source = attempt.fill.map(|f| f.source);
                    assert_eq!(
                        source,
                        Some(order_by_score(object, &parents)[0]),
                        "{round} {list} {n} {repeat}"
                    );
                    router.end_attempt(&attempt, 0, Outcome::Ok, CacheStatus::Hit);
                }
            }
            let gone = members.len() / 4;
            members.drain(..gone);
            if members.iter().all(|m| m.kind != 0) || members.iter().all(|m| m.kind != 1) {
                break;
            }
        }
    }
}
