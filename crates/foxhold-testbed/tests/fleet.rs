//! Fault scenarios in a small form: twelve processes, faults between them, and the rules checked on the
//! result. The scenarios in `plans/` are the large form; `foxhold-testbed fleet` runs them.

use foxhold_testbed::reports::scenario::RunReport;
use foxhold_testbed::scenarios::runner::{run, Programs};
use foxhold_testbed::scenarios::scenario::Scenario;
use std::path::PathBuf;

mod common;

/// Runs a scenario with four directors, five caches, two parents and the origin. `keys` adds further keys and
/// faults.
fn run_scenario(name: &str, keys: &str) -> RunReport {
    let text = format!(
        "{{name: {name}, directors: 4, caches: 5, parents: 2, rate: 120, objects: 300, settle: 1.5, \
         cache_link: 6, {keys}}}"
    );
    let scenario = Scenario::read(&text).expect("scenario is valid");
    let mut programs = Programs::find(common::daemon()).expect("programs are found");
    programs.testbed = PathBuf::from(env!("CARGO_BIN_EXE_foxhold-testbed"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime starts");
    let report = tokio::task::LocalSet::new().block_on(&runtime, run(&scenario, &programs, |_| {}));
    let report = report.expect("run completes");
    println!("{}", report.summary());
    report
}

/// Returns the share of the requests that ended with this outcome.
fn outcome_share(report: &RunReport, outcome: &str) -> f64 {
    let total: u64 = report.ends.values().sum();
    report.ends.get(outcome).copied().unwrap_or(0) as f64 / total as f64
}

/// Checks that no rule is broken, nothing crashed and every request has ended, and that at least the share
/// `min_served` of the requests was served.
fn assert_no_breaches_and_served(report: &RunReport, min_served: f64) {
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    assert!(
        outcome_share(report, "served") >= min_served,
        "expected a served share of {min_served}: {:?}",
        report.ends
    );
}

/// Returns the number of requests that a server received from this second on.
fn requests_from(report: &RunReport, server: &str, second: usize) -> u32 {
    report.load[server].tenths[second * 10..].iter().sum()
}

#[test]
fn a_hot_object_is_spread_over_caches_each_time_it_changes() {
    let faults = "faults: [{at: 0.5, for: 2.5, do: hot, share: 0.6, object: 9001}, \
                  {at: 3, do: hot, share: 0.6, object: 9002}]";
    let report = run_scenario("hot", &format!("seconds: 6, {faults}"));
    assert_no_breaches_and_served(&report, 0.95);
    // Three fifths of all requests at one of five caches are three times the mean. Spread over three caches
    // they equal the mean.
    assert!(report.busiest < 2.4, "busiest cache has {} times the mean, expected below 2.4", report.busiest);
}

#[test]
fn a_killed_cache_gets_no_requests_and_is_used_again_after_its_restart() {
    let report = run_scenario("dies", "seconds: 9, faults: [{at: 1, for: 2, do: kill, who: cache-2}]");
    assert_no_breaches_and_served(&report, 0.95);
    let while_down: u32 = report.load["cache-2"].tenths[12..30].iter().sum();
    assert_eq!(while_down, 0, "the cache does not run");
    assert!(requests_from(&report, "cache-2", 6) > 0, "used again 3 s after its restart");
}

#[test]
fn a_one_way_link_from_some_directors_leaves_the_cache_to_the_others() {
    let fault = "{at: 1, for: 2.5, do: link, who: directors 1/3, to: cache-1, hurt: one-way}";
    let report = run_scenario("link", &format!("seconds: 6, faults: [{fault}]"));
    assert_no_breaches_and_served(&report, 0.93);
    assert!(requests_from(&report, "cache-1", 1) > 20, "the other directors use the cache");
}

#[test]
fn a_dropped_discovery_link_and_a_slow_parent_link_break_no_rule() {
    let faults = "{at: 1, for: 2, do: link, who: directors 1-2, to: board, hurt: drop}, \
                  {at: 1.5, do: purge, object: 1}, {at: 2, do: drain, who: cache-3}, \
                  {at: 1, for: 3, do: link, who: caches, to: parent-1, hurt: {delay: 30}}";
    let report = run_scenario("board", &format!("seconds: 7, faults: [{faults}]"));
    // A director cannot learn of the drain or the purge while its link to the discovery service is dropped.
    // For purges the check allows it some seconds more. Drain breaches are left out here; the last assertion
    // checks the drain after the link is back.
    let other_breaches: Vec<_> = report.breaches.iter().filter(|text| !text.contains("drain")).collect();
    assert!(other_breaches.is_empty(), "{other_breaches:?}");
    assert_eq!(requests_from(&report, "cache-3", 6), 0, "every director knows of the drain");
}

#[test]
fn a_stalled_cache_is_used_again_after_the_stall() {
    let report = run_scenario("stalls", "seconds: 7, faults: [{at: 1, for: 2, do: stall, who: cache-4}]");
    assert_no_breaches_and_served(&report, 0.93);
    assert!(requests_from(&report, "cache-4", 5) > 0, "used again 2 s after the stall");
}

#[test]
fn killed_directors_serve_again_after_an_immediate_restart() {
    let report = run_scenario("restart", "seconds: 6, faults: [{at: 2, do: kill, who: directors 1-3}]");
    assert_no_breaches_and_served(&report, 0.7);
    let last = report.service.last().copied().expect("report has seconds");
    assert!(last.0 > 60 && last.1 as f64 > 0.9 * last.0 as f64, "{:?}", report.service);
}

#[test]
fn uneven_director_load_and_cache_sizes_with_a_slow_cache_break_no_rule() {
    let fault = "{at: 1, for: 3, do: slow, who: cache-5, times: 4}";
    let keys = "seconds: 5, often_part: 0.25, often: 5, uneven: 0.5";
    let report = run_scenario("uneven", &format!("{keys}, faults: [{fault}]"));
    assert_no_breaches_and_served(&report, 0.95);
}

#[test]
fn a_purge_of_a_third_of_all_groups_leaves_no_stale_copy() {
    let report = run_scenario("purge", "seconds: 7, faults: [{at: 1, do: purge, share: 0.33}]");
    assert_no_breaches_and_served(&report, 0.95);
}

/// Returns the number of requests that a server received in this time, to a tenth of a second.
fn requests_within(report: &RunReport, server: &str, seconds: std::ops::Range<f64>) -> u32 {
    let tenths = (seconds.start * 10.0) as usize..(seconds.end * 10.0) as usize;
    report.load[server].tenths[tenths].iter().sum()
}

const LOSSY_GOSSIP: &str = "{at: 0, do: talk, who: directors, to: directors, lost: 0.2, late_ms: 200}";

#[test]
fn a_drain_override_at_one_director_starts_and_ends_on_all() {
    let drain = "{at: 1, do: drain, who: cache-2, by: director-3}";
    let undrain = "{at: 4, do: undrain, who: cache-2, by: director-1}";
    let report = run_scenario(
        "told",
        &format!("peers: true, seconds: 7, faults: [{LOSSY_GOSSIP}, {drain}, {undrain}]"),
    );
    assert_no_breaches_and_served(&report, 0.95);
    assert!(requests_within(&report, "cache-2", 0.0..1.0) > 5, "used before the drain");
    assert_eq!(
        requests_within(&report, "cache-2", 2.1..4.0),
        0,
        "no new requests from 1.1 s after the drain on"
    );
    assert!(requests_within(&report, "cache-2", 5.0..7.0) > 5, "used again a second after the drain ended");
}

#[test]
fn a_purge_during_a_gossip_partition_leaves_no_stale_copy_after_healing() {
    let partition = "{at: 1, for: 2, do: talk, who: directors 1-2, to: directors 3-4, lost: 1}";
    let purge = "{at: 1.5, do: purge, object: 1, by: director-1}";
    let report = run_scenario("purged", &format!("peers: true, seconds: 7, faults: [{partition}, {purge}]"));
    assert_no_breaches_and_served(&report, 0.95);
}

#[test]
fn restarted_directors_learn_drain_overrides_from_their_peers() {
    let drain = "{at: 1, do: drain, who: cache-2, by: director-4}";
    let restart = "{at: 2.5, do: kill, who: directors 1-3}";
    let report = run_scenario("anew", &format!("peers: true, seconds: 7, faults: [{drain}, {restart}]"));
    // Until it has caught up, for some tenths of a second, a restarted director knows only the member list of
    // the discovery service.
    let other_breaches: Vec<_> = report.breaches.iter().filter(|text| !text.contains("drain")).collect();
    assert!(other_breaches.is_empty(), "{other_breaches:?}");
    assert_eq!(
        requests_within(&report, "cache-2", 4.0..7.0),
        0,
        "the restarted directors follow the drain override"
    );
}

/// Checks that the tests above detect a drain override that stays with one director, as it does without
/// gossip.
#[test]
fn a_drain_override_that_does_not_reach_the_other_directors_is_reported() {
    let partition = "{at: 0, do: talk, who: directors, to: directors, lost: 1}";
    let drain = "{at: 1, do: drain, who: cache-2, by: director-3}";
    let report = run_scenario("unheard", &format!("peers: true, seconds: 4, faults: [{partition}, {drain}]"));
    assert!(report.breaches.iter().any(|text| text.contains("told to drain")), "{:?}", report.breaches);
}

/// Disconnects clients at random times while caches refuse requests, crash and are slow, and while directors
/// are suspended.
#[test]
fn no_attempt_begins_over_100_ms_after_its_client_disconnects() {
    let faults = "{at: 0.5, for: 2, do: slow, who: caches 1-3, times: 6}, {at: 1, for: 1.5, do: kill, who: cache-4}, \
                  {at: 1.5, for: 0.4, do: stall, who: directors 1-2}, \
                  {at: 3, for: 0.4, do: stall, who: directors 3-4}, {at: 3, for: 2, do: slow, who: parents, times: 4}";
    let report =
        run_scenario("left", &format!("seconds: 6, leave: 0.4, leave_within_ms: 300, faults: [{faults}]"));
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    assert!(report.after_leave.clients > 50, "expected over 50 disconnects: {:?}", report.after_leave);
    assert_eq!(report.after_leave.too_late, 0);
}

/// Checks that the test above detects attempts that begin too late.
#[test]
fn attempts_that_begin_after_a_client_disconnects_are_reported() {
    let fault = "{at: 1, do: plant, who: director-2, breach: asked-after-leave}";
    let report = run_scenario("planted", &format!("seconds: 3, leave: 0.3, faults: [{fault}]"));
    let reported =
        report.breaches.iter().filter(|text| text.contains("after its client had left")).count() as u64;
    assert!(reported > 0 && reported == report.after_leave.too_late, "{:?}", report.breaches);
    assert_eq!(reported as usize, report.breaches.len(), "{:?}", report.breaches);
}

#[test]
fn planted_breaches_are_reported() {
    for (fault, breach) in [
        (
            "{at: 0.2, do: plant, who: caches, breach: old-copy}, {at: 1, do: purge, share: 1}",
            "older than a purge",
        ),
        ("{at: 0.2, do: plant, who: cache-1, breach: secret-drain}", "told to drain"),
        ("{at: 0.2, do: plant, who: origin, breach: twice}", "ran 2 times"),
        ("{at: 0.2, do: plant, who: cache-2, breach: other-bytes}", "not the object's"),
    ] {
        let report = run_scenario("planted", &format!("seconds: 4, faults: [{fault}]"));
        assert!(
            report.breaches.iter().any(|text| text.contains(breach)),
            "expected a breach with '{breach}': {:?}",
            report.breaches
        );
    }
}
