//! The middleware's routes and its budget of body bytes.
#![cfg(feature = "middleware")]

use foxhold::middleware::{BodyBudget, BudgetExhausted, Route, Routes, RoutesError};

fn route(prefix: &str, class: &str) -> Route {
    Route { prefix: prefix.into(), class: class.into() }
}

#[test]
fn the_longest_prefix_of_whole_path_segments_is_matched() {
    let routes = vec![route("/media", "pages"), route("/media/videos", "videos")];
    let routes = Routes::new(routes).expect("valid routes");
    assert_eq!(routes.find("/media/videos/a/b.mp4"), Some(("videos", "a/b.mp4")));
    assert_eq!(routes.find("/media/a"), Some(("pages", "a")));
    assert_eq!(routes.find("/media/videosx"), Some(("pages", "videosx")));
    for other in ["/mediax/a", "/media", "/media/", "/", "", "/other"] {
        assert_eq!(routes.find(other), None, "{other}");
    }
}

#[test]
fn invalid_and_duplicate_prefixes_are_rejected() {
    for invalid in ["", "/", "media", "/media/", "/a//b", "/a?b"] {
        let error = RoutesError::InvalidPrefix(invalid.into());
        assert_eq!(Routes::new(vec![route(invalid, "x")]), Err(error));
    }
    let duplicates = vec![route("/a", "x"), route("/a", "y")];
    assert_eq!(Routes::new(duplicates), Err(RoutesError::DuplicatePrefix("/a".into())));
}

#[test]
fn a_reservation_is_all_or_nothing_and_is_released_on_drop() {
    let budget = BodyBudget::new(100);
    let mut first = budget.reserve(70).expect("capacity");
    let exhausted = BudgetExhausted { requested: 40, available: 30 };
    assert_eq!(budget.reserve(40).expect_err("no capacity"), exhausted);
    first.shrink(20);
    let second = budget.clone().reserve(80).expect("capacity after the first shrank");
    assert_eq!(budget.reserved(), 100);
    drop((first, second));
    assert_eq!(budget.reserved(), 0);
    assert!(budget.reserve(usize::MAX).is_err() && budget.reserve(101).is_err());
}

#[test]
fn many_threads_never_reserve_more_than_the_capacity() {
    let budget = BodyBudget::new(1_000);
    std::thread::scope(|scope| {
        for n in 0..4 {
            let budget = budget.clone();
            scope.spawn(move || {
                for k in 0..2_000 {
                    let reservation = budget.reserve(300 + (n * 7 + k) % 50);
                    assert!(budget.reserved() <= 1_000);
                    drop(reservation);
                }
            });
        }
    });
    assert_eq!(budget.reserved(), 0);
}
