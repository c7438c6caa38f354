//! Tests which purges are in force, and that finished ones are removed.

use super::*;

fn object(number: u64) -> PurgeTarget {
    PurgeTarget::Object(ObjectId(number))
}

fn purge(purged_at: Micros, in_force_until: Micros) -> PurgeRecord {
    PurgeRecord { purged_at, in_force_until }
}

#[test]
fn the_latest_purge_in_force_counts_and_finished_ones_are_removed() {
    let mut records = PurgeRecords::default();
    records.record(object(1), purge(10, 100), 0);
    records.record(object(1), purge(5, 50), 0);
    records.record(PurgeTarget::Group(7), purge(20, 60), 0);
    let latest = |group, now| records.latest(ObjectId(1), group, now);
    assert_eq!(latest(Some(8), 1), Some(10), "an older one that comes later changes nothing");
    assert_eq!((latest(Some(7), 1), latest(None, 1)), (Some(20), Some(20)));
    assert_eq!((latest(Some(7), 60), latest(Some(7), 100)), (Some(10), None));
    assert_eq!(records.latest(ObjectId(2), Some(8), 1), None);
    (0..10_000).for_each(|n| records.record(object(n), purge(n, n + 5), n));
    assert!(records.objects.len() < 200, "{}", records.objects.len());
}
