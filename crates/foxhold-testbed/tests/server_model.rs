//! Tests of `servers::model`.

use foxhold_testbed::servers::model::*;
use std::collections::BTreeMap;

fn spec() -> ServerSpec {
    ServerSpec { link: 2.0, flow: 1000.0, memory: 100.0, ..ServerSpec::instant(Role::Cache) }
}

/// Runs a link from the time 0 until everything on it has ended; by number when each did.
fn run(link: &mut Link, carries: f64) -> BTreeMap<u64, f64> {
    let (mut ends, mut now) = (BTreeMap::new(), 0.0);
    while let Some(wait) = link.next_end(carries) {
        now += wait;
        link.advance(now, carries);
        ends.extend(link.ended().into_iter().map(|n| (n, now)));
    }
    ends
}

#[test]
fn a_link_is_shared_alike_and_none_goes_above_full_pace() {
    let mut link = Link::default();
    let alone = link.begin(1.0);
    assert!((run(&mut link, 2.0)[&alone] - 1.0).abs() < 1e-6);
    // Four transfers of a second on a link of two take two seconds, 500 of them 250.
    for (count, takes) in [(4, 2.0), (500, 250.0)] {
        let mut link = Link::default();
        for _ in 0..count {
            link.begin(1.0);
        }
        let ends = run(&mut link, 2.0);
        assert!(ends.len() == count && ends.values().all(|e| (e - takes).abs() < 1e-6 * takes));
    }
    // One that ends early leaves its share to the others.
    let mut link = Link::default();
    let (short, long) = (link.begin(1.0), link.begin(2.0));
    let ends = run(&mut link, 1.0);
    assert!((ends[&short] - 2.0).abs() < 1e-6 && (ends[&long] - 3.0).abs() < 1e-6);
}

#[test]
fn what_is_given_up_leaves_its_share_of_the_link() {
    let mut link = Link::default();
    let (gone, stays) = (link.begin(5.0), link.begin(1.0));
    link.cancel(gone);
    assert_eq!(link.under_way(), 1);
    assert!((run(&mut link, 1.0)[&stays] - 1.0).abs() < 1e-6);
}

#[test]
fn memory_drops_the_lowest_rank_first_then_what_was_used_longest_ago() {
    let key = |n: u32| (n.to_string(), String::new());
    let mut memory = CacheMemory::default();
    assert!(memory.keep(key(1), 40.0, 1, 1, 100.0));
    assert!(memory.keep(key(2), 40.0, 2, 1, 100.0));
    assert!(memory.get(&key(1), 0).is_some());
    assert!(memory.keep(key(3), 40.0, 1, 1, 100.0), "pushes out the first");
    assert!(memory.get(&key(1), 0).is_none() && memory.get(&key(2), 0).is_some());
    assert!(!memory.keep(key(4), 90.0, 1, 1, 100.0), "a higher rank is not pushed out");
    assert!(memory.get(&key(2), 3).is_some(), "and stays");
    memory.purge(|o| o == "2", 2);
    assert!(memory.get(&key(2), 0).is_none());
    assert_eq!(memory.len(), 0);
}

#[test]
fn a_cold_server_falls_over_by_what_a_warm_one_bears() {
    let spec = ServerSpec { floor: 0.2, warm: 10.0, multiple: 2.0, window: 1.0, ..spec() };
    let push = |age: Option<f64>| {
        let mut pressure = OverloadWindow::default();
        (0..30).any(|n| pressure.push(f64::from(n) * 0.03, 0.1, spec.warmth(age), &spec))
    };
    assert!(push(Some(0.0)) && !push(None) && !push(Some(10.0)));
}

#[test]
fn sizes_have_the_mean_that_was_asked_for() {
    let sizes: Vec<f64> = (1..20_000u64).map(|n| size_kb(&format!("{n:016x}"), 380.0)).collect();
    let mean = sizes.iter().sum::<f64>() / sizes.len() as f64;
    assert!((mean / 380.0 - 1.0).abs() < 0.03, "{mean}");
}
