//! Tests of `scenarios::simulated_fleet` with small fleets in simulated time, whose results are the same in
//! every run. `foxhold-testbed hollow` runs large fleets.

use clap::Parser;
use foxhold_testbed::scenarios::simulated_fleet::measurement::Ended;
use foxhold_testbed::scenarios::simulated_fleet::measurement::Measurement;
use foxhold_testbed::scenarios::simulated_fleet::network::{Delivery, Network, Topology};
use foxhold_testbed::scenarios::simulated_fleet::regression::{Form, Regression, RegressionError};
use foxhold_testbed::scenarios::simulated_fleet::{run, Host, Options};
use rustix::process::{kill_process, Pid, Signal};
use std::process::{Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Parser)]
#[command(args_override_self = true)]
struct Arguments {
    #[command(flatten)]
    options: Options,
}

/// Returns the options of a short run, with further arguments.
fn short_run_options(arguments: &str) -> Options {
    let defaults = "hollow --warm-up 4 --seconds 4 --settle 8";
    Arguments::parse_from(defaults.split(' ').chain(arguments.split(' '))).options
}

fn host(allocated: fn() -> usize, interrupted: bool) -> Host {
    Host { allocated, interrupted: Arc::new(AtomicBool::new(interrupted)) }
}

fn measure(arguments: &str) -> Vec<Measurement> {
    run(&short_run_options(arguments), &host(|| 0, false)).expect("run completes").measured
}

/// Returns the measurement of the last size.
fn measure_last(arguments: &str) -> Measurement {
    measure(arguments).pop().expect("a size was measured")
}

/// Returns the figures that depend only on the options and the seed.
fn seeded_figures(run: &Measurement) -> String {
    format!(
        "{:?} {:?} {} {} {} {} {}",
        run.to_all,
        run.to_each,
        run.bytes_in,
        run.bytes_out,
        run.datagrams_in,
        run.events,
        run.between_regions
    )
}

#[test]
fn runs_are_equal_for_equal_seeds_and_differ_for_others() {
    let arguments = "--directors 12 --purges 20 --lost 0.05 --scenario restarts";
    let (first, second) = (measure_last(arguments), measure_last(arguments));
    assert_eq!(seeded_figures(&first), seeded_figures(&second));
    assert_ne!(seeded_figures(&first), seeded_figures(&measure_last(&format!("{arguments} --seed 2"))));
    // The order of hash maps differs between processes and must not affect the results.
    let traffic_of_process = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_foxhold-testbed"));
        command.args("hollow --directors 12 --purges 20 --warm-up 4 --seconds 4 --lost 0.05".split(' '));
        let out = command.output().expect("testbed runs");
        assert!(out.status.success());
        let text = String::from_utf8(out.stdout).expect("output is UTF-8");
        text.lines().nth(1).expect("second line reports the traffic").to_owned()
    };
    assert_eq!(traffic_of_process(), traffic_of_process());
}

#[test]
fn purges_reach_all_directors_though_a_fifth_of_the_datagrams_is_lost() {
    let lossless = measure_last("--directors 12 --purges 20");
    let lossy = measure_last("--directors 12 --purges 20 --lost 0.2");
    for run in [&lossless, &lossy] {
        assert_eq!((run.ended, run.missed, run.to_all.count), (Ended::Complete, 0, 80), "{run:?}");
    }
    assert!(lossless.to_all.max < 1_500.0, "{lossless:?}");
    assert!(lossy.to_all.max > lossless.to_all.p50, "{lossy:?}");
}

#[test]
fn an_isolated_region_receives_all_purges_soon_after_healing() {
    let run = measure_last("--directors 24 --purges 20 --scenario region-apart");
    assert_eq!((run.ended, run.missed), (Ended::Complete, 0), "{run:?}");
    assert!(run.to_all.max > 1_500.0, "expected no purge to cross the cut: {run:?}");
    let healed = run.healed_ms.expect("the region was isolated");
    assert!(healed > 0.0 && healed < 6_500.0, "{run:?}");
}

#[test]
fn killed_and_restarted_directors_miss_no_purge() {
    for scenario in ["site-lost", "zone-lost", "restarts", "storm"] {
        let run = measure_last(&format!("--directors 24 --purges 20 --scenario {scenario}"));
        assert_eq!((run.ended, run.missed), (Ended::Complete, 0), "{scenario}: {run:?}");
    }
}

#[test]
fn expired_purges_are_not_counted_as_missed() {
    let run = measure_last("--directors 2 --purges 1 --seconds 620");
    assert_eq!((run.ended, run.missed, run.to_all.count), (Ended::Complete, 0, 620), "{run:?}");
    assert!(run.entries < 620.0, "purges expire after 600 s: {run:?}");
}

#[test]
fn a_run_reports_the_directors_still_catching_up_when_measuring_begins() {
    assert_eq!(measure_last("--directors 6 --purges 20").catching_up, 0);
    assert_eq!(
        measure_last("--directors 6 --purges 20 --warm-up 1").catching_up,
        6,
        "directors report that they have caught up after three seconds at the earliest"
    );
    assert_eq!(
        measure_last("--directors 6 --purges 20 --held 20000").catching_up,
        6,
        "a pass over 20000 entries takes longer than the warm-up"
    );
}

#[test]
fn a_cut_applies_in_its_direction_only_until_it_is_healed() {
    let topology = Topology { regions: 2, zones: 4, sites: 8 };
    let mut network = Network::new(&topology, 8, 0.0, 1);
    assert!(network.between_regions(0, 7) && !network.between_regions(0, 3));
    network.cut_one_way(0, 1);
    assert_eq!(network.send(0, 7), Delivery::Lost);
    assert!(matches!(network.send(7, 0), Delivery::Arrives(_)));
    network.isolate(1);
    assert_eq!(network.send(7, 0), Delivery::Lost);
    assert!(matches!(network.send(7, 6), Delivery::Arrives(_)), "datagrams within the region arrive");
    network.heal();
    assert!(matches!(network.send(0, 7), Delivery::Arrives(_)));
}

#[test]
fn each_bound_ends_a_run_and_is_reported() {
    let small = "--directors 6 --purges 20";
    assert_eq!(measure_last(&format!("{small} --most-events 20")).ended, Ended::EventsBound);
    assert_eq!(measure_last(&format!("{small} --most-wall-s 0")).ended, Ended::WallBound);
    let large = run(&short_run_options(small), &host(|| 7_000 << 20, false)).expect("run completes");
    assert_eq!(large.measured[0].ended, Ended::MemoryBound);
    assert!(!large.good(), "an incomplete run is not a pass");
    for invalid in ["--directors 3,6 --purges 1,2", "--directors 0", "--lost 1.0"] {
        assert!(
            run(&short_run_options(invalid), &host(|| 0, false)).is_err(),
            "expected an error for {invalid}"
        );
    }
}

#[test]
fn an_interrupt_ends_a_run_and_keeps_its_measurements() {
    let report = run(&short_run_options("--directors 6,60,600"), &host(|| 0, true)).expect("run completes");
    assert_eq!(report.measured.len(), 1, "no further size is run");
    assert_eq!(report.measured[0].ended, Ended::Interrupted);
    assert!(report.lines.iter().all(|line| line.regression.is_none()));
    // The same for the program and SIGINT.
    let mut command = Command::new(env!("CARGO_BIN_EXE_foxhold-testbed"));
    command.args("hollow --directors 30 --seconds 100000".split(' ')).stdout(Stdio::piped());
    let child = command.spawn().expect("testbed starts");
    std::thread::sleep(Duration::from_secs(1));
    let signalled = Instant::now();
    kill_process(Pid::from_raw(child.id() as i32).expect("process id is above 0"), Signal::INT)
        .expect("testbed can be signalled");
    let out = child.wait_with_output().expect("testbed ends");
    assert!(signalled.elapsed() < Duration::from_secs(10));
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stdout).contains("30 directors, 99 purges/s, 0 held: Interrupted"));
}

#[test]
fn a_regression_recovers_known_lines_and_refuses_unsuitable_points() {
    let sizes = [10.0, 30.0, 100.0, 300.0];
    let linear: Vec<(f64, f64)> = sizes.iter().map(|n| (*n, 5.0 + 0.25 * n)).collect();
    let regression = Regression::calculate(&linear).expect("points have a regression");
    assert_eq!((regression.form, regression.range), (Form::Linear, (10.0, 300.0)));
    assert!(
        (regression.intercept - 5.0).abs() < 1e-6
            && (regression.slope - 0.25).abs() < 1e-9
            && regression.holds()
    );
    assert!((regression.reaches(30.0).expect("the line rises") - 100.0).abs() < 1e-6);
    let logarithmic: Vec<(f64, f64)> = sizes.iter().map(|n| (*n, 2.0 + 3.0 * f64::ln(*n))).collect();
    let regression = Regression::calculate(&logarithmic).expect("points have a regression");
    assert_eq!(regression.form, Form::Logarithmic);
    assert!((regression.slope - 3.0).abs() < 1e-9 && (regression.at(1_000.0) - 22.723_265).abs() < 1e-4);
    let mut nonlinear = linear.clone();
    nonlinear[2].1 *= 2.0;
    assert!(!Regression::calculate(&nonlinear).expect("points have a regression").holds());
    assert_eq!(Regression::calculate(&linear[..2]).err(), Some(RegressionError::Sizes));
    assert_eq!(Regression::calculate(&linear[1..]).map(|regression| regression.range), Ok((30.0, 300.0)));
    assert_eq!(
        Regression::calculate(&[(1.0, 1.0), (2.0, 1.0), (9.0, 1.0)]).err(),
        Some(RegressionError::Span)
    );
    assert_eq!(
        Regression::calculate(&[(0.0, 1.0), (2.0, 1.0), (9.0, 1.0)]).err(),
        Some(RegressionError::Span)
    );
}

#[test]
fn a_report_has_regressions_and_plots_with_the_budget() {
    let host = host(|| 0, false);
    let report = run(&short_run_options("--directors 3,10,30 --purges 10"), &host).expect("run completes");
    assert!(report.good(), "{}", report.text());
    assert!(report.lines.iter().any(|line| line.regression.is_some()));
    let page = report.page().expect("page renders");
    assert!(page.matches("<svg").count() >= 4 && page.contains("red: the budget"));
}
