//! Cold caches under the sum of what a fleet of processes sends: a small form of `plans/cold-joins.yaml`.

use foxhold_testbed::reports::scenario::RunReport;
use foxhold_testbed::scenarios::runner::{run, Programs};
use foxhold_testbed::scenarios::scenario::Scenario;
use std::path::PathBuf;

mod common;

/// Eight directors, four caches; further keys and faults come from the test.
fn run_scenario(name: &str, keys: &str) -> RunReport {
    let text = format!(
        "{{name: {name}, directors: 8, caches: 4, parents: 2, objects: 200, settle: 1.5, cache_keeps: 0.3, \
         often_part: 0.25, often: 5, list_late: 1, {keys}}}"
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

#[test]
fn a_cache_that_returns_and_one_that_joins_bear_what_all_directors_send() {
    let report = run_scenario(
        "cold",
        "seconds: 12, rate: 60, cache_link: 1, faults: [\
         {at: 0.5, for: 1.5, do: kill, who: cache-2}, {at: 2, do: join, who: cache-4}, \
         {at: 3, do: join, who: directors 1-2}, {at: 3, for: 3, do: burst, times: 2}]",
    );
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    for name in ["cache-2", "cache-4"] {
        let cold = report.slow_starts.get(name).expect("it was cold and got requests");
        assert!(cold.worst.share() <= 1.0, "{name}: {cold}");
        assert!(cold.came > 0.0 && cold.worst.allowed > 1.0, "{name}: {cold}");
    }
}

/// Clients are patient here: else directors turn away what such a cache would be late with, and it does not fall.
#[test]
fn a_cache_that_starts_anew_in_secret_is_pushed_over_and_found() {
    let report = run_scenario(
        "secret",
        "seconds: 5, rate: 200, cache_link: 1.5, \
         classes: [{name: page-bits, share: 1, work_ms: 40, aim_ms: 4000, give_up_ms: 6000}], \
         faults: [{at: 1, do: burst, times: 2}, \
         {at: 1.5, do: plant, who: cache-1, breach: secret-restart}]",
    );
    let pushed = |b: &String| b.contains("cache-1 was pushed over while it was cold");
    assert!(report.breaches.iter().any(pushed), "{:?}\n{:?}", report.breaches, report.slow_starts);
}
