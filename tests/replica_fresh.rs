//! Which messages of a sender are new: no duplicates, no replays.
#![cfg(feature = "peers")]

use foxhold::replication::replay_window::{ReplayWindow, WINDOW_MESSAGES};

#[test]
fn each_number_of_a_run_counts_once_and_an_ended_run_no_more() {
    let mut fresh = ReplayWindow::new(2);
    assert!(fresh.accept(&"a", 1, 1) && fresh.accept(&"a", 1, 5) && fresh.accept(&"a", 1, 3));
    assert!(!fresh.accept(&"a", 1, 3) && !fresh.accept(&"a", 1, 5) && !fresh.accept(&"a", 1, 0));
    assert!(fresh.accept(&"a", 1, 5_000) && !fresh.accept(&"a", 1, 5), "too old to tell");
    assert!(fresh.accept(&"a", 1, 4_999) && !fresh.accept(&"a", 1, 4_999));
    assert!(fresh.accept(&"a", 2, 1), "another run");
    assert!(!fresh.accept(&"a", 1, 5_001), "the one before has ended");
    assert!(fresh.accept(&"b", 1, 1) && fresh.accept(&"c", 1, 1), "no more than two are held");
    assert!(fresh.remembered() == (2, 2));
}

#[test]
fn numbers_in_any_order_within_the_span_count_once_each() {
    let mut fresh = ReplayWindow::new(1);
    let order = (0..WINDOW_MESSAGES / 2).map(|n| 1 + (n * 37) % (WINDOW_MESSAGES / 2));
    assert!(order.clone().all(|n| fresh.accept(&(), 1, n)));
    assert!(!order.into_iter().any(|n| fresh.accept(&(), 1, n)));
}
