//! The hard cases in a small form: twelve processes, faults between them, and the rules held against what came back.
//! The large form is the same plans by `foxhold-testbed fleet`.

use foxhold_testbed::reports::scenario::RunReport;
use foxhold_testbed::scenarios::runner::{run, Programs};
use foxhold_testbed::scenarios::scenario::Scenario;
use std::path::PathBuf;

mod common;

/// Four directors, five caches, two parents and the origin; further keys and faults come from the test.
fn played(name: &str, keys: &str) -> RunReport {
    let text = format!(
        "{{name: {name}, directors: 4, caches: 5, parents: 2, rate: 120, objects: 300, settle: 1.5, \
         cache_link: 6, {keys}}}"
    );
    let plan = Scenario::read(&text).expect("a good plan");
    let mut programs = Programs::of(common::daemon()).expect("programs");
    programs.testbed = PathBuf::from(env!("CARGO_BIN_EXE_foxhold-testbed"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let played = tokio::task::LocalSet::new().block_on(&runtime, run(&plan, &programs, |_| {}));
    let played = played.expect("a play");
    println!("{}", played.summary());
    played
}

fn share(played: &RunReport, end: &str) -> f64 {
    let all: u64 = played.ends.values().sum();
    played.ends.get(end).copied().unwrap_or(0) as f64 / all as f64
}

/// No rule is broken, nothing crashed, every request has ended, and most were served.
fn sound(played: &RunReport, served: f64) {
    assert!(played.breaches.is_empty(), "{:?}", played.breaches);
    assert!(share(played, "served") >= served, "{:?}", played.ends);
}

/// Requests at one server from a second on.
fn after(played: &RunReport, server: &str, second: usize) -> u32 {
    played.load[server].tenths[second * 10..].iter().sum()
}

#[test]
fn a_hot_object_that_moves_is_spread_each_time() {
    let faults = "faults: [{at: 0.5, for: 2.5, do: hot, share: 0.6, object: 9001}, \
                  {at: 3, do: hot, share: 0.6, object: 9002}]";
    let played = played("hot", &format!("seconds: 6, {faults}"));
    sound(&played, 0.95);
    // Three fifths of all requests at one of five caches are three times the mean; over three caches one.
    assert!(played.busiest < 2.4, "{}", played.busiest);
}

#[test]
fn a_cache_that_dies_is_left_and_gets_requests_again_when_it_is_back() {
    let played = played("dies", "seconds: 9, faults: [{at: 1, for: 2, do: kill, who: cache-2}]");
    sound(&played, 0.95);
    let dead: u32 = played.load["cache-2"].tenths[12..30].iter().sum();
    assert_eq!(dead, 0, "nobody is there");
    assert!(after(&played, "cache-2", 6) > 0, "used again within 3 s");
}

#[test]
fn a_link_lost_one_way_for_some_directors_leaves_the_others_to_go_on() {
    let fault = "{at: 1, for: 2.5, do: link, who: directors 1/3, to: cache-1, hurt: one-way}";
    let played = played("link", &format!("seconds: 6, faults: [{fault}]"));
    sound(&played, 0.93);
    assert!(after(&played, "cache-1", 1) > 20, "the others use it");
}

#[test]
fn a_dropped_link_to_the_board_and_a_slow_one_to_a_parent_break_no_rule() {
    let faults = "{at: 1, for: 2, do: link, who: directors 1-2, to: board, hurt: drop}, \
                  {at: 1.5, do: purge, object: 1}, {at: 2, do: drain, who: cache-3}, \
                  {at: 1, for: 3, do: link, who: caches, to: parent-1, hurt: {delay: 30}}";
    let played = played("board", &format!("seconds: 7, faults: [{faults}]"));
    // The director whose link to the board is dropped can't know of the drain at once; what is told counts as told
    // some seconds later at the latest, so only what comes after its link is back is held against it.
    let late: Vec<_> = played.breaches.iter().filter(|b| !b.contains("drain")).collect();
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(after(&played, "cache-3", 6), 0, "all have heard of the drain");
}

#[test]
fn a_cache_that_stalls_goes_on() {
    let played = played("stalls", "seconds: 7, faults: [{at: 1, for: 2, do: stall, who: cache-4}]");
    sound(&played, 0.93);
    assert!(after(&played, "cache-4", 5) > 0);
}

#[test]
fn directors_killed_and_started_again_at_once_serve_again() {
    let played = played("restart", "seconds: 6, faults: [{at: 2, do: kill, who: directors 1-3}]");
    sound(&played, 0.7);
    let last = played.service.last().copied().expect("a second");
    assert!(last.0 > 60 && last.1 as f64 > 0.9 * last.0 as f64, "{:?}", played.service);
}

#[test]
fn few_directors_that_see_most_and_uneven_caches_one_of_them_slow() {
    let fault = "{at: 1, for: 3, do: slow, who: cache-5, times: 4}";
    let keys = "seconds: 5, often_part: 0.25, often: 5, uneven: 0.5";
    let played = played("uneven", &format!("{keys}, faults: [{fault}]"));
    sound(&played, 0.95);
}

#[test]
fn a_purge_of_a_third_of_all_groups_leaves_no_older_copy_to_be_served() {
    let played = played("purge", "seconds: 7, faults: [{at: 1, do: purge, share: 0.33}]");
    sound(&played, 0.95);
}

/// Requests at one server in all tenths of a second within a span.
fn within(played: &RunReport, server: &str, seconds: std::ops::Range<f64>) -> u32 {
    let tenths = (seconds.start * 10.0) as usize..(seconds.end * 10.0) as usize;
    played.load[server].tenths[tenths].iter().sum()
}

const LOSSY: &str = "{at: 0, do: talk, who: directors, to: directors, lost: 0.2, late_ms: 200}";

#[test]
fn a_drain_told_to_one_of_directors_that_talk_is_kept_by_all_and_ends_for_all() {
    let drain = "{at: 1, do: drain, who: cache-2, by: director-3}";
    let undrain = "{at: 4, do: undrain, who: cache-2, by: director-1}";
    let played = played("told", &format!("peers: true, seconds: 7, faults: [{LOSSY}, {drain}, {undrain}]"));
    sound(&played, 0.95);
    assert!(within(&played, "cache-2", 0.0..1.0) > 5, "used before");
    assert_eq!(within(&played, "cache-2", 2.1..4.0), 0, "nothing new a second after the word");
    assert!(within(&played, "cache-2", 5.0..7.0) > 5, "used again");
}

#[test]
fn a_purge_told_to_one_while_half_of_the_talk_is_cut_leaves_no_older_copy_once_it_is_back() {
    let cut = "{at: 1, for: 2, do: talk, who: directors 1-2, to: directors 3-4, lost: 1}";
    let purge = "{at: 1.5, do: purge, object: 1, by: director-1}";
    let played = played("purged", &format!("peers: true, seconds: 7, faults: [{cut}, {purge}]"));
    sound(&played, 0.95);
}

#[test]
fn directors_that_start_anew_learn_from_the_others_what_only_operators_had_told() {
    let drain = "{at: 1, do: drain, who: cache-2, by: director-4}";
    let restart = "{at: 2.5, do: kill, who: directors 1-3}";
    let played = played("anew", &format!("peers: true, seconds: 7, faults: [{drain}, {restart}]"));
    // Until it has caught up, some tenths of a second, a new process knows the board's list only.
    let others: Vec<_> = played.breaches.iter().filter(|b| !b.contains("drain")).collect();
    assert!(others.is_empty(), "{others:?}");
    assert_eq!(within(&played, "cache-2", 4.0..7.0), 0, "the new processes heed the word");
}

/// The check of the plays above finds what a fleet without talk does: the word stays with one.
#[test]
fn a_drain_that_the_others_never_hear_of_is_found() {
    let cut = "{at: 0, do: talk, who: directors, to: directors, lost: 1}";
    let drain = "{at: 1, do: drain, who: cache-2, by: director-3}";
    let played = played("unheard", &format!("peers: true, seconds: 4, faults: [{cut}, {drain}]"));
    assert!(played.breaches.iter().any(|b| b.contains("told to drain")), "{:?}", played.breaches);
}

/// Clients leave at drawn moments while caches refuse, die and are slow, and directors are stopped under them.
#[test]
fn nothing_begins_for_clients_that_have_left_for_a_tenth_of_a_second() {
    let faults = "{at: 0.5, for: 2, do: slow, who: caches 1-3, times: 6}, {at: 1, for: 1.5, do: kill, who: cache-4}, \
                  {at: 1.5, for: 0.4, do: stall, who: directors 1-2}, \
                  {at: 3, for: 0.4, do: stall, who: directors 3-4}, {at: 3, for: 2, do: slow, who: parents, times: 4}";
    let played = played("left", &format!("seconds: 6, leave: 0.4, leave_within_ms: 300, faults: [{faults}]"));
    assert!(played.breaches.is_empty(), "{:?}", played.breaches);
    assert!(played.after_leave.clients > 50, "{:?}", played.after_leave);
    assert_eq!(played.after_leave.too_late, 0);
}

/// The check of the play above finds what begins too late.
#[test]
fn what_begins_for_a_client_that_is_said_to_have_left_is_found() {
    let planted = "{at: 1, do: plant, who: director-2, breach: asked-after-leave}";
    let played = played("planted", &format!("seconds: 3, leave: 0.3, faults: [{planted}]"));
    let found = played.breaches.iter().filter(|b| b.contains("after its client had left")).count() as u64;
    assert!(found > 0 && found == played.after_leave.too_late, "{:?}", played.breaches);
    assert_eq!(found as usize, played.breaches.len(), "{:?}", played.breaches);
}

#[test]
fn what_breaks_a_rule_is_found() {
    for (fault, found) in [
        (
            "{at: 0.2, do: plant, who: caches, breach: old-copy}, {at: 1, do: purge, share: 1}",
            "older than a purge",
        ),
        ("{at: 0.2, do: plant, who: cache-1, breach: secret-drain}", "told to drain"),
        ("{at: 0.2, do: plant, who: origin, breach: twice}", "ran 2 times"),
        ("{at: 0.2, do: plant, who: cache-2, breach: other-bytes}", "not the object's"),
    ] {
        let played = played("planted", &format!("seconds: 4, faults: [{fault}]"));
        assert!(played.breaches.iter().any(|b| b.contains(found)), "{found}: {:?}", played.breaches);
    }
}
