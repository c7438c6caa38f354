//! The replay window, which accepts each message of a sender once.
#![cfg(feature = "peers")]

use foxhold::replication::replay_window::{ReplayWindow, WINDOW_MESSAGES};

#[test]
fn accepts_each_message_once_and_none_of_an_ended_incarnation() {
    let mut window = ReplayWindow::new(2);
    assert!(window.accept(&"a", 1, 1) && window.accept(&"a", 1, 5) && window.accept(&"a", 1, 3));
    assert!(!window.accept(&"a", 1, 3) && !window.accept(&"a", 1, 5) && !window.accept(&"a", 1, 0));
    assert!(
        window.accept(&"a", 1, 5_000) && !window.accept(&"a", 1, 5),
        "expected a rejection below the window"
    );
    assert!(window.accept(&"a", 1, 4_999) && !window.accept(&"a", 1, 4_999));
    assert!(window.accept(&"a", 2, 1), "expected a new incarnation to be accepted");
    assert!(!window.accept(&"a", 1, 5_001), "expected the former incarnation to be rejected");
    assert!(
        window.accept(&"b", 1, 1) && window.accept(&"c", 1, 1),
        "expected new senders to be accepted although two at most are remembered"
    );
    assert!(window.remembered() == (2, 2));
}

#[test]
fn messages_within_the_window_are_accepted_once_in_any_order() {
    let mut window = ReplayWindow::new(1);
    let order = (0..WINDOW_MESSAGES / 2).map(|n| 1 + (n * 37) % (WINDOW_MESSAGES / 2));
    assert!(order.clone().all(|n| window.accept(&(), 1, n)));
    assert!(!order.into_iter().any(|n| window.accept(&(), 1, n)));
}
