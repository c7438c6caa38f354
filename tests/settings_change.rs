//! What the router keeps when the settings change: the estimates of each class, by its name.

mod common;

use common::*;
use foxhold::*;
use std::sync::Arc;

/// Mean transfer time of a class without observations, in microseconds.
const DEFAULT_TRANSFER_TIME: Micros = 200_000;
/// Size of the films, and the time that it takes at the full rate of 1000 KB/s.
const FILM_KB: f64 = 1_000.0;
const FILM_TRANSFER_TIME: Micros = 1_000_000;
const DEADLINE: Micros = 60_000_000;

/// Returns settings with these classes, whose latency objective is the class's mean transfer time.
fn settings_with(names: &[&str]) -> Settings {
    let class = |name: &&str| Class {
        name: (*name).to_owned(),
        latency_objective: 0,
        objective_stretch: 1.0,
        deadline: DEADLINE,
        ..class(Idempotency::Idempotent)
    };
    Settings { classes: names.iter().map(class).collect(), ..settings() }
}

/// Returns a router with the classes `pages` and `films`, of which `films` has observations.
fn router_that_knows_films() -> RouterHarness {
    let mut router = RouterHarness::with_servers(settings_with(&["pages", "films"]), &[1, 2, 3, 11, 12, 20]);
    let film = Request { size_kb: FILM_KB, ..router.new_request(1, 5) };
    router.handle(Event::Request(film));
    router
}

fn reload(router: &mut RouterHarness, settings: Settings) {
    assert!(router.handle(Event::Settings(Box::new(settings))).is_empty());
}

/// Returns the transfer time that the router assumes for a request of unknown size: its response is late
/// after three quarters of it.
fn assumed_transfer_time(
    router: &mut RouterHarness,
    class: usize,
    settings: Option<Arc<Settings>>,
) -> Micros {
    let deadline = router.now + DEADLINE;
    let request = Request { size_kb: 0.0, deadline, settings, ..router.new_request(class, 7) };
    let now = router.now;
    let timers = router.handle(Event::Request(request)).into_iter().filter_map(|action| match action {
        Action::SetTimer { at, .. } if at < deadline => Some((at - now) / 3 * 4),
        _ => None,
    });
    timers.min().expect("a timer for a late response")
}

#[test]
fn a_class_keeps_its_estimates_when_classes_are_changed_reordered_or_removed() {
    let mut router = router_that_knows_films();
    let mut reordered = settings_with(&["films", "news", "pages"]);
    reordered.classes[0].priority_weight = 3.0;
    reload(&mut router, reordered);
    assert_eq!(assumed_transfer_time(&mut router, 0, None), FILM_TRANSFER_TIME);
    for other in [1, 2] {
        assert_eq!(assumed_transfer_time(&mut router, other, None), DEFAULT_TRANSFER_TIME);
    }
}

/// Guards against estimates of a removed class that pass to the class that takes its place in the settings.
#[test]
fn an_added_class_has_no_estimates_of_a_removed_one() {
    let mut router = router_that_knows_films();
    for names in [["pages", "news"], ["pages", "notes"], ["videos", "notes"]] {
        reload(&mut router, settings_with(&names));
        for class in [0, 1] {
            assert_eq!(assumed_transfer_time(&mut router, class, None), DEFAULT_TRANSFER_TIME, "{names:?}");
        }
    }
}

/// Guards against reading the class of a request in settings that came after its choice.
#[test]
fn a_request_that_arrives_after_a_change_of_settings_keeps_those_of_its_class() {
    let before = Arc::new(settings_with(&["pages", "films"]));
    let mut router = router_that_knows_films();
    reload(&mut router, settings_with(&["news", "pages", "films"]));
    assert_eq!(assumed_transfer_time(&mut router, 1, Some(before.clone())), FILM_TRANSFER_TIME);
    assert_eq!(assumed_transfer_time(&mut router, 2, None), FILM_TRANSFER_TIME);
    reload(&mut router, Settings { max_attempts: 1, ..settings_with(&["news"]) });
    let request = Request { settings: Some(before), ..router.new_request(1, 5) };
    let mut attempts = attempts_in(&router.handle(Event::Request(request)));
    for number in 0..3 {
        let attempt = attempts.pop().unwrap_or_else(|| panic!("no attempt {number}"));
        attempts =
            attempts_in(&router.end_attempt(&attempt, number, Outcome::Rejected, CacheStatus::Unknown));
    }
    let unknown = Request { settings: None, ..router.new_request(1, 6) };
    assert!(is_failed(&router.handle(Event::Request(unknown))), "the settings in force have one class");
}
