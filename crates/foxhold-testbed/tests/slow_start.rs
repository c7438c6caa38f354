//! Caches in slow start under the combined load of eight directors: a small form of
//! `plans/cold-joins.yaml`.

use foxhold_testbed::reports::scenario::RunReport;
use foxhold_testbed::scenarios::runner::{run, Programs};
use foxhold_testbed::scenarios::scenario::Scenario;
use std::path::PathBuf;

mod common;

/// Runs a scenario with eight directors and four caches. `keys` adds further keys and faults.
fn run_scenario(name: &str, keys: &str) -> RunReport {
    let text = format!(
        "{{name: {name}, directors: 8, caches: 4, parents: 2, objects: 200, settle: 1.5, cache_keeps: 0.3, \
         often_part: 0.25, often: 5, list_late: 1, {keys}}}"
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

#[test]
fn restarted_and_joining_caches_stay_within_their_slow_start_budget() {
    let report = run_scenario(
        "cold",
        "seconds: 12, rate: 60, cache_link: 1, faults: [\
         {at: 0.5, for: 1.5, do: kill, who: cache-2}, {at: 2, do: join, who: cache-4}, \
         {at: 3, do: join, who: directors 1-2}, {at: 3, for: 3, do: burst, times: 2}]",
    );
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    for name in ["cache-2", "cache-4"] {
        let slow_start = report.slow_starts.get(name).expect("cache got requests in slow start");
        assert!(slow_start.worst.share() <= 1.0, "{name} got more than its budget: {slow_start}");
        assert!(
            slow_start.came > 0.0 && slow_start.worst.allowed > 1.0,
            "{name} got too few requests or too small a budget to check: {slow_start}"
        );
    }
}

/// Uses a long latency objective and deadline. With shorter ones, directors reject the requests that such a
/// cache would answer late, and it does not fail by overload.
#[test]
fn an_unannounced_cold_restart_leads_to_a_reported_overload() {
    let report = run_scenario(
        "secret",
        "seconds: 5, rate: 200, cache_link: 1.5, \
         classes: [{name: page-bits, share: 1, work_ms: 40, aim_ms: 4000, give_up_ms: 6000}], \
         faults: [{at: 1, do: burst, times: 2}, \
         {at: 1.5, do: plant, who: cache-1, breach: secret-restart}]",
    );
    let overloaded = |text: &String| text.contains("cache-1 was pushed over while it was cold");
    assert!(report.breaches.iter().any(overloaded), "{:?}\n{:?}", report.breaches, report.slow_starts);
}
