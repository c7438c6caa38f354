//! Tests of `load::clients`.

use foxhold_testbed::load::clients::*;
use foxhold_testbed::scenarios::scenario::Scenario;

#[test]
fn drawn_load_is_reproducible_and_matches_the_scenario() {
    let scenario = Scenario::read(
        "{directors: 20, often_part: 0.2, often: 5, rate: 2000, seconds: 10, \
         faults: [{at: 5, do: hot, share: 0.25, object: 9001}]}",
    )
    .expect("scenario is valid");
    let arrivals = draw(&scenario, 2.0);
    assert_eq!(arrivals, draw(&scenario, 2.0));
    assert_ne!(arrivals, draw(&Scenario { seed: 2, ..scenario.clone() }, 2.0));
    let count = arrivals.len() as f64;
    assert!((count / 24_000.0 - 1.0).abs() < 0.03, "{count} requests, expected 24000 within 3 %");
    let hot_share = |from: f64, to: f64| {
        let interval: Vec<_> = arrivals.iter().filter(|a| a.at >= from && a.at < to).collect();
        interval.iter().filter(|a| a.object == 9001).count() as f64 / interval.len() as f64
    };
    assert!(hot_share(-2.0, 5.0) == 0.0 && (hot_share(5.0, 10.0) - 0.25).abs() < 0.02);
    let busy_share = arrivals.iter().filter(|a| a.director < 4).count() as f64 / count;
    assert!(
        (busy_share - 20.0 / 36.0).abs() < 0.02,
        "share of the busy directors is {busy_share}, expected 20/36"
    );
}
