//! Tests of `servers::model`.

use foxhold_testbed::servers::model::*;
use std::collections::BTreeMap;

fn spec() -> ServerSpec {
    ServerSpec { link: 2.0, flow: 1000.0, memory: 100.0, ..ServerSpec::instant(Role::Cache) }
}

/// Advances a link from time 0 until all its transfers have ended. Returns their end times by number.
fn end_times(link: &mut Link, capacity: f64) -> BTreeMap<u64, f64> {
    let (mut ends, mut now) = (BTreeMap::new(), 0.0);
    while let Some(wait) = link.next_end(capacity) {
        now += wait;
        link.advance(now, capacity);
        ends.extend(link.ended().into_iter().map(|n| (n, now)));
    }
    ends
}

#[test]
fn transfers_share_a_link_equally_and_none_exceeds_full_speed() {
    let mut link = Link::default();
    let single = link.begin(1.0);
    assert!((end_times(&mut link, 2.0)[&single] - 1.0).abs() < 1e-6);
    // On a link that carries 2 transfers at full speed, 4 transfers of 1 s take 2 s and 500 take 250 s.
    for (count, expected) in [(4, 2.0), (500, 250.0)] {
        let mut link = Link::default();
        for _ in 0..count {
            link.begin(1.0);
        }
        let ends = end_times(&mut link, 2.0);
        assert!(ends.len() == count && ends.values().all(|end| (end - expected).abs() < 1e-6 * expected));
    }
    // A transfer that ends early leaves its share to the others.
    let mut link = Link::default();
    let (short, long) = (link.begin(1.0), link.begin(2.0));
    let ends = end_times(&mut link, 1.0);
    assert!((ends[&short] - 2.0).abs() < 1e-6 && (ends[&long] - 3.0).abs() < 1e-6);
}

#[test]
fn a_cancelled_transfer_leaves_its_share_to_the_others() {
    let mut link = Link::default();
    let (cancelled, remaining) = (link.begin(5.0), link.begin(1.0));
    link.cancel(cancelled);
    assert_eq!(link.under_way(), 1);
    assert!((end_times(&mut link, 1.0)[&remaining] - 1.0).abs() < 1e-6);
}

#[test]
fn memory_evicts_the_lowest_rank_first_and_then_the_least_recently_used() {
    let key = |n: u32| (n.to_string(), String::new());
    let mut memory = CacheMemory::default();
    assert!(memory.keep(key(1), 40.0, 1, 1, 100.0));
    assert!(memory.keep(key(2), 40.0, 2, 1, 100.0));
    assert!(memory.get(&key(1), 0).is_some());
    assert!(memory.keep(key(3), 40.0, 1, 1, 100.0), "copy 1 is evicted for copy 3");
    assert!(memory.get(&key(1), 0).is_none() && memory.get(&key(2), 0).is_some());
    assert!(!memory.keep(key(4), 90.0, 1, 1, 100.0), "a copy of a higher rank is not evicted");
    assert!(memory.get(&key(2), 3).is_some(), "the copy of the higher rank is still cached");
    memory.purge(|o| o == "2", 2);
    assert!(memory.get(&key(2), 0).is_none());
    assert_eq!(memory.len(), 0);
}

#[test]
fn a_cold_server_fails_under_load_that_a_warm_server_handles() {
    let spec = ServerSpec { floor: 0.2, warm: 10.0, multiple: 2.0, window: 1.0, ..spec() };
    let overloads = |age: Option<f64>| {
        let mut window = OverloadWindow::default();
        (0..30).any(|n| window.push(f64::from(n) * 0.03, 0.1, spec.warmth(age), &spec))
    };
    assert!(overloads(Some(0.0)) && !overloads(None) && !overloads(Some(10.0)));
}

#[test]
fn object_sizes_have_the_requested_mean() {
    let sizes: Vec<f64> = (1..20_000u64).map(|n| size_kb(&format!("{n:016x}"), 380.0)).collect();
    let mean = sizes.iter().sum::<f64>() / sizes.len() as f64;
    assert!((mean / 380.0 - 1.0).abs() < 0.03, "mean size is {mean} KB, expected 380 KB within 3 %");
}
