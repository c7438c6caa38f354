//! The hash order of an object, which the router finds without a logarithm for each server and remembers,
//! against the order by full scores, in random fleets.

mod common;

use common::*;
use foxhold::*;
use quickcheck::{Arbitrary, Gen};

/// The finalizer of splitmix64.
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for k in [0xbf58_476d_1ce4_e5b9_u64, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 29)).wrapping_mul(k);
    }
    x ^ (x >> 32)
}

/// All servers of a role by size over the negative logarithm of the hash, the largest first; by id on a tie.
fn by_score(object: u64, role: &[Member]) -> Vec<ServerId> {
    let score = |m: &Member| {
        let unit = (mix(object, u64::from(m.server.0)) >> 11) as f64 / (1u64 << 53) as f64;
        m.size / -unit.max(1e-18).ln()
    };
    let mut all: Vec<&Member> = role.iter().collect();
    all.sort_by(|a, b| score(b).total_cmp(&score(a)).then(a.server.cmp(&b.server)));
    all.into_iter().map(|m| m.server).collect()
}

/// The cache of an object that is not hot: the part picks among the object's first three.
fn cache(object: u64, part: u32, caches: &[Member]) -> ServerId {
    let mut order = by_score(object, caches);
    let few = order.len().min(3);
    order[..few].sort_by_key(|id| mix(object ^ u64::from(id.0), u64::from(part) + 1));
    order[0]
}

#[test]
fn the_first_cache_and_parent_are_those_of_the_full_hash_order() {
    let mut gen = Gen::from_size_and_seed(64, 20);
    for round in 0..60 {
        // Sizes alike, somewhat uneven, and by a factor of thirty.
        let count = [1, 2, 3, 5, 6, 7, 24, 200, 700][round % 9];
        let size = |gen: &mut Gen| match round % 3 {
            0 => 8.0,
            1 => 4.0 + f64::from(u8::arbitrary(gen)) / 32.0,
            _ => 1.0 + f64::from(u16::arbitrary(gen)) / 2_000.0,
        };
        let server = |gen: &mut Gen, kind, zone, size| {
            let id = ServerId(u32::arbitrary(gen).max(100));
            Member { server: id, zone, kind, size, ..member(1) }
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
        for churn in 0..3 {
            // A new list invalidates the remembered orders.
            router.update_members(MemberUpdate::Full, members.clone());
            let of = |kind| members.iter().filter(|m| m.kind == kind).cloned().collect::<Vec<_>>();
            let (caches, parents) = (of(0), of(1));
            for n in 0..40u64 {
                let object = u64::arbitrary(&mut gen) | 1;
                for again in 0..2 {
                    router.now += 900_000_000; // nothing is hot or was requested lately
                    let request = router.new_request(0, object);
                    let attempt = attempts_in(&router.handle(Event::Request(request))).remove(0);
                    assert_eq!(attempt.server, cache(object, 0, &caches), "{round} {churn} {n} {again}");
                    let source = attempt.fill.map(|f| f.source);
                    assert_eq!(source, Some(by_score(object, &parents)[0]), "{round} {churn} {n} {again}");
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
