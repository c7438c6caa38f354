//! The hard cases in a small form: twelve processes, faults between them, and the rules held against what came back.
//! The large form is the same plans by `foxhold-testbed fleet`.

use foxhold_testbed::reports::scenario::RunReport;
use foxhold_testbed::scenarios::runner::{run, Programs};
use foxhold_testbed::scenarios::scenario::Scenario;
use std::path::PathBuf;

mod common;

/// Four directors, five caches, two parents and the origin; further keys and faults come from the test.
fn run_scenario(name: &str, keys: &str) -> RunReport {
    let text = format!(
        "{{name: {name}, directors: 4, caches: 5, parents: 2, rate: 120, objects: 300, settle: 1.5, \
         cache_link: 6, {keys}}}"
    );
    let scenario = Scenario::read(&text).expect("a valid scenario");
    let mut programs = Programs::of(common::daemon()).expect("programs");
    programs.testbed = PathBuf::from(env!("CARGO_BIN_EXE_foxhold-testbed"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let report = tokio::task::LocalSet::new().block_on(&runtime, run(&scenario, &programs, |_| {}));
    let report = report.expect("a run");
    println!("{}", report.summary());
    report
}

fn share(report: &RunReport, end: &str) -> f64 {
    let all: u64 = report.ends.values().sum();
    report.ends.get(end).copied().unwrap_or(0) as f64 / all as f64
}

/// No rule is broken, nothing crashed, every request has ended, and most were served.
fn sound(report: &RunReport, served: f64) {
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    assert!(share(report, "served") >= served, "{:?}", report.ends);
}

/// Requests at one server from a second on.
fn after(report: &RunReport, server: &str, second: usize) -> u32 {
    report.load[server].tenths[second * 10..].iter().sum()
}

#[test]
fn a_hot_object_that_moves_is_spread_each_time() {
    let faults = "faults: [{at: 0.5, for: 2.5, do: hot, share: 0.6, object: 9001}, \
                  {at: 3, do: hot, share: 0.6, object: 9002}]";
    let report = run_scenario("hot", &format!("seconds: 6, {faults}"));
    sound(&report, 0.95);
    // Three fifths of all requests at one of five caches are three times the mean; over three caches one.
    assert!(report.busiest < 2.4, "{}", report.busiest);
}

#[test]
fn a_cache_that_dies_is_left_and_gets_requests_again_when_it_is_back() {
    let report = run_scenario("dies", "seconds: 9, faults: [{at: 1, for: 2, do: kill, who: cache-2}]");
    sound(&report, 0.95);
    let dead: u32 = report.load["cache-2"].tenths[12..30].iter().sum();
    assert_eq!(dead, 0, "nobody is there");
    assert!(after(&report, "cache-2", 6) > 0, "used again within 3 s");
}

#[test]
fn a_link_lost_one_way_for_some_directors_leaves_the_others_to_go_on() {
    let fault = "{at: 1, for: 2.5, do: link, who: directors 1/3, to: cache-1, hurt: one-way}";
    let report = run_scenario("link", &format!("seconds: 6, faults: [{fault}]"));
    sound(&report, 0.93);
    assert!(after(&report, "cache-1", 1) > 20, "the others use it");
}

#[test]
fn a_dropped_link_to_the_board_and_a_slow_one_to_a_parent_break_no_rule() {
    let faults = "{at: 1, for: 2, do: link, who: directors 1-2, to: board, hurt: drop}, \
                  {at: 1.5, do: purge, object: 1}, {at: 2, do: drain, who: cache-3}, \
                  {at: 1, for: 3, do: link, who: caches, to: parent-1, hurt: {delay: 30}}";
    let report = run_scenario("board", &format!("seconds: 7, faults: [{faults}]"));
    // The director whose link to the board is dropped can't know of the drain at once; what is told counts as told
    // some seconds later at the latest, so only what comes after its link is back is held against it.
    let late: Vec<_> = report.breaches.iter().filter(|b| !b.contains("drain")).collect();
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(after(&report, "cache-3", 6), 0, "all have heard of the drain");
}

#[test]
fn a_cache_that_stalls_goes_on() {
    let report = run_scenario("stalls", "seconds: 7, faults: [{at: 1, for: 2, do: stall, who: cache-4}]");
    sound(&report, 0.93);
    assert!(after(&report, "cache-4", 5) > 0);
}

#[test]
fn directors_killed_and_started_again_at_once_serve_again() {
    let report = run_scenario("restart", "seconds: 6, faults: [{at: 2, do: kill, who: directors 1-3}]");
    sound(&report, 0.7);
    let last = report.service.last().copied().expect("a second");
    assert!(last.0 > 60 && last.1 as f64 > 0.9 * last.0 as f64, "{:?}", report.service);
}

#[test]
fn few_directors_that_see_most_and_uneven_caches_one_of_them_slow() {
    let fault = "{at: 1, for: 3, do: slow, who: cache-5, times: 4}";
    let keys = "seconds: 5, often_part: 0.25, often: 5, uneven: 0.5";
    let report = run_scenario("uneven", &format!("{keys}, faults: [{fault}]"));
    sound(&report, 0.95);
}

#[test]
fn a_purge_of_a_third_of_all_groups_leaves_no_older_copy_to_be_served() {
    let report = run_scenario("purge", "seconds: 7, faults: [{at: 1, do: purge, share: 0.33}]");
    sound(&report, 0.95);
}

/// Requests at one server in all tenths of a second within a span.
fn within(report: &RunReport, server: &str, seconds: std::ops::Range<f64>) -> u32 {
    let tenths = (seconds.start * 10.0) as usize..(seconds.end * 10.0) as usize;
    report.load[server].tenths[tenths].iter().sum()
}

const LOSSY: &str = "{at: 0, do: talk, who: directors, to: directors, lost: 0.2, late_ms: 200}";

#[test]
fn a_drain_told_to_one_of_directors_that_talk_is_kept_by_all_and_ends_for_all() {
    let drain = "{at: 1, do: drain, who: cache-2, by: director-3}";
    let undrain = "{at: 4, do: undrain, who: cache-2, by: director-1}";
    let report =
        run_scenario("told", &format!("peers: true, seconds: 7, faults: [{LOSSY}, {drain}, {undrain}]"));
    sound(&report, 0.95);
    assert!(within(&report, "cache-2", 0.0..1.0) > 5, "used before");
    assert_eq!(within(&report, "cache-2", 2.1..4.0), 0, "nothing new a second after the word");
    assert!(within(&report, "cache-2", 5.0..7.0) > 5, "used again");
}

#[test]
fn a_purge_told_to_one_while_half_of_the_talk_is_cut_leaves_no_older_copy_once_it_is_back() {
    let cut = "{at: 1, for: 2, do: talk, who: directors 1-2, to: directors 3-4, lost: 1}";
    let purge = "{at: 1.5, do: purge, object: 1, by: director-1}";
    let report = run_scenario("purged", &format!("peers: true, seconds: 7, faults: [{cut}, {purge}]"));
    sound(&report, 0.95);
}

#[test]
fn directors_that_start_anew_learn_from_the_others_what_only_operators_had_told() {
    let drain = "{at: 1, do: drain, who: cache-2, by: director-4}";
    let restart = "{at: 2.5, do: kill, who: directors 1-3}";
    let report = run_scenario("anew", &format!("peers: true, seconds: 7, faults: [{drain}, {restart}]"));
    // Until it has caught up, some tenths of a second, a new process knows the board's list only.
    let others: Vec<_> = report.breaches.iter().filter(|b| !b.contains("drain")).collect();
    assert!(others.is_empty(), "{others:?}");
    assert_eq!(within(&report, "cache-2", 4.0..7.0), 0, "the new processes heed the word");
}

/// The check of the plays above finds what a fleet without talk does: the word stays with one.
#[test]
fn a_drain_that_the_others_never_hear_of_is_found() {
    let cut = "{at: 0, do: talk, who: directors, to: directors, lost: 1}";
    let drain = "{at: 1, do: drain, who: cache-2, by: director-3}";
    let report = run_scenario("unheard", &format!("peers: true, seconds: 4, faults: [{cut}, {drain}]"));
    assert!(report.breaches.iter().any(|b| b.contains("told to drain")), "{:?}", report.breaches);
}

/// Clients leave at drawn moments while caches refuse, die and are slow, and directors are stopped under them.
#[test]
fn nothing_begins_for_clients_that_have_left_for_a_tenth_of_a_second() {
    let faults = "{at: 0.5, for: 2, do: slow, who: caches 1-3, times: 6}, {at: 1, for: 1.5, do: kill, who: cache-4}, \
                  {at: 1.5, for: 0.4, do: stall, who: directors 1-2}, \
                  {at: 3, for: 0.4, do: stall, who: directors 3-4}, {at: 3, for: 2, do: slow, who: parents, times: 4}";
    let report =
        run_scenario("left", &format!("seconds: 6, leave: 0.4, leave_within_ms: 300, faults: [{faults}]"));
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    assert!(report.after_leave.clients > 50, "{:?}", report.after_leave);
    assert_eq!(report.after_leave.too_late, 0);
}

/// The check of the play above finds what begins too late.
#[test]
fn what_begins_for_a_client_that_is_said_to_have_left_is_found() {
    let planted = "{at: 1, do: plant, who: director-2, breach: asked-after-leave}";
    let report = run_scenario("planted", &format!("seconds: 3, leave: 0.3, faults: [{planted}]"));
    let found = report.breaches.iter().filter(|b| b.contains("after its client had left")).count() as u64;
    assert!(found > 0 && found == report.after_leave.too_late, "{:?}", report.breaches);
    assert_eq!(found as usize, report.breaches.len(), "{:?}", report.breaches);
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
        let report = run_scenario("planted", &format!("seconds: 4, faults: [{fault}]"));
        assert!(report.breaches.iter().any(|b| b.contains(found)), "{found}: {:?}", report.breaches);
    }
}
