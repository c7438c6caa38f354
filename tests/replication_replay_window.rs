//! The replay window: each message of a sender is accepted once.
#![cfg(feature = "peers")]

use foxhold::replication::replay_window::{ReplayWindow, WINDOW_MESSAGES};

#[test]
fn each_message_is_accepted_once_and_none_of_an_ended_incarnation() {
    let mut window = ReplayWindow::new(2);
    assert!(window.accept(&"a", 1, 1) && window.accept(&"a", 1, 5) && window.accept(&"a", 1, 3));
    assert!(!window.accept(&"a", 1, 3) && !window.accept(&"a", 1, 5) && !window.accept(&"a", 1, 0));
    assert!(window.accept(&"a", 1, 5_000) && !window.accept(&"a", 1, 5), "below the window");
    assert!(window.accept(&"a", 1, 4_999) && !window.accept(&"a", 1, 4_999));
    assert!(window.accept(&"a", 2, 1), "another incarnation");
    assert!(!window.accept(&"a", 1, 5_001), "the former incarnation has ended");
    assert!(window.accept(&"b", 1, 1) && window.accept(&"c", 1, 1), "two senders are remembered at most");
    assert!(window.remembered() == (2, 2));
}

#[test]
fn messages_within_the_window_are_accepted_once_in_any_order() {
    let mut window = ReplayWindow::new(1);
    let order = (0..WINDOW_MESSAGES / 2).map(|n| 1 + (n * 37) % (WINDOW_MESSAGES / 2));
    assert!(order.clone().all(|n| window.accept(&(), 1, n)));
    assert!(!order.into_iter().any(|n| window.accept(&(), 1, n)));
}
