//! Hollow directors: small fleets in simulated time, with the same verdict every time. The large form is
//! `foxhold-testbed hollow`.

use clap::Parser;
use foxhold_testbed::scenarios::simulated_fleet::measurement::Ended;
use foxhold_testbed::scenarios::simulated_fleet::measurement::Measurement;
use foxhold_testbed::scenarios::simulated_fleet::network::{Fate, Network, Topology};
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

/// Short runs, with whatever else a test asks for.
fn options(more: &str) -> Options {
    let usual = "hollow --warm-up 4 --seconds 4 --settle 8";
    Arguments::parse_from(usual.split(' ').chain(more.split(' '))).options
}

fn host(allocated: fn() -> usize, interrupted: bool) -> Host {
    Host { allocated, interrupted: Arc::new(AtomicBool::new(interrupted)) }
}

fn measure(more: &str) -> Vec<Measurement> {
    run(&options(more), &host(|| 0, false)).expect("a run").measured
}

fn one(more: &str) -> Measurement {
    measure(more).pop().expect("a size")
}

/// What the seed decides.
fn decided(run: &Measurement) -> String {
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
fn a_seed_decides_a_run_and_another_seed_another() {
    let asked = "--directors 12 --purges 20 --lost 0.05 --scenario restarts";
    let (first, second) = (one(asked), one(asked));
    assert_eq!(decided(&first), decided(&second));
    assert_ne!(decided(&first), decided(&one(&format!("{asked} --seed 2"))));
    // Hash maps have another order in each process: the verdict is not to go by it.
    let by_process = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_foxhold-testbed"));
        command.args("hollow --directors 12 --purges 20 --warm-up 4 --seconds 4 --lost 0.05".split(' '));
        let out = command.output().expect("a run");
        assert!(out.status.success());
        let text = String::from_utf8(out.stdout).expect("text");
        text.lines().nth(1).expect("a line of traffic").to_owned()
    };
    assert_eq!(by_process(), by_process());
}

#[test]
fn a_purge_is_with_all_though_a_fifth_of_the_datagrams_is_lost() {
    let calm = one("--directors 12 --purges 20");
    let lossy = one("--directors 12 --purges 20 --lost 0.2");
    for run in [&calm, &lossy] {
        assert_eq!((run.ended, run.missed, run.to_all.count), (Ended::Complete, 0, 80), "{run:?}");
    }
    assert!(calm.to_all.max < 1_500.0, "{calm:?}");
    assert!(lossy.to_all.max > calm.to_all.p50, "{lossy:?}");
}

#[test]
fn a_region_that_was_apart_hears_all_soon_after_it_is_back() {
    let run = one("--directors 24 --purges 20 --scenario region-apart");
    assert_eq!((run.ended, run.missed), (Ended::Complete, 0), "{run:?}");
    assert!(run.to_all.max > 1_500.0, "nothing crossed the cut: {run:?}");
    let healed = run.healed_ms.expect("it was cut");
    assert!(healed > 0.0 && healed < 6_500.0, "{run:?}");
}

#[test]
fn directors_that_are_killed_or_start_from_nothing_leave_no_purge_behind() {
    for scenario in ["site-lost", "zone-lost", "restarts", "storm"] {
        let run = one(&format!("--directors 24 --purges 20 --scenario {scenario}"));
        assert_eq!((run.ended, run.missed), (Ended::Complete, 0), "{scenario}: {run:?}");
    }
}

#[test]
fn a_purge_that_is_no_longer_kept_is_not_missed() {
    let run = one("--directors 2 --purges 1 --seconds 620");
    assert_eq!((run.ended, run.missed, run.to_all.count), (Ended::Complete, 0, 620), "{run:?}");
    assert!(run.entries < 620.0, "purges are kept for 600 s: {run:?}");
}

#[test]
fn a_run_tells_how_many_still_caught_up_when_measuring_began() {
    assert_eq!(one("--directors 6 --purges 20").catching_up, 0);
    assert_eq!(
        one("--directors 6 --purges 20 --warm-up 1").catching_up,
        6,
        "nobody is sure before three seconds"
    );
    assert_eq!(one("--directors 6 --purges 20 --held 20000").catching_up, 6, "a pass over all takes longer");
}

#[test]
fn a_cut_holds_in_its_direction_alone_until_it_is_healed() {
    let topology = Topology { regions: 2, zones: 4, sites: 8 };
    let mut network = Network::new(&topology, 8, 0.0, 1);
    assert!(network.between_regions(0, 7) && !network.between_regions(0, 3));
    network.cut_one_way(0, 1);
    assert_eq!(network.send(0, 7), Fate::Lost);
    assert!(matches!(network.send(7, 0), Fate::Arrives(_)));
    network.isolate(1);
    assert_eq!(network.send(7, 0), Fate::Lost);
    assert!(matches!(network.send(7, 6), Fate::Arrives(_)), "within the region");
    network.heal();
    assert!(matches!(network.send(0, 7), Fate::Arrives(_)));
}

#[test]
fn each_bound_ends_a_run_and_is_named() {
    let small = "--directors 6 --purges 20";
    assert_eq!(one(&format!("{small} --most-events 20")).ended, Ended::EventsBound);
    assert_eq!(one(&format!("{small} --most-wall-s 0")).ended, Ended::WallBound);
    let large = run(&options(small), &host(|| 7_000 << 20, false)).expect("a run");
    assert_eq!(large.measured[0].ended, Ended::MemoryBound);
    assert!(!large.good(), "a run that was cut short shows nothing");
    for wrong in ["--directors 3,6 --purges 1,2", "--directors 0", "--lost 1.0"] {
        assert!(run(&options(wrong), &host(|| 0, false)).is_err(), "{wrong}");
    }
}

#[test]
fn an_interrupt_ends_a_run_with_what_was_measured() {
    let report = run(&options("--directors 6,60,600"), &host(|| 0, true)).expect("a run");
    assert_eq!(report.measured.len(), 1, "no further size is begun");
    assert_eq!(report.measured[0].ended, Ended::Interrupted);
    assert!(report.lines.iter().all(|line| line.regression.is_none()));
    // The process, by a signal.
    let mut command = Command::new(env!("CARGO_BIN_EXE_foxhold-testbed"));
    command.args("hollow --directors 30 --seconds 100000".split(' ')).stdout(Stdio::piped());
    let child = command.spawn().expect("a process");
    std::thread::sleep(Duration::from_secs(1));
    let begun = Instant::now();
    kill_process(Pid::from_raw(child.id() as i32).expect("an id"), Signal::INT).expect("it runs");
    let out = child.wait_with_output().expect("it ends");
    assert!(begun.elapsed() < Duration::from_secs(10));
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stdout).contains("30 directors, 99 purges/s, 0 held: Interrupted"));
}

#[test]
fn a_fit_recovers_a_known_line_in_either_form_and_says_where_there_is_none() {
    let sizes = [10.0, 30.0, 100.0, 300.0];
    let linear: Vec<(f64, f64)> = sizes.iter().map(|n| (*n, 5.0 + 0.25 * n)).collect();
    let regression = Regression::through(&linear).expect("a line");
    assert_eq!((regression.form, regression.range), (Form::Linear, (10.0, 300.0)));
    assert!(
        (regression.intercept - 5.0).abs() < 1e-6
            && (regression.slope - 0.25).abs() < 1e-9
            && regression.holds()
    );
    assert!((regression.reaches(30.0).expect("it grows") - 100.0).abs() < 1e-6);
    let slow: Vec<(f64, f64)> = sizes.iter().map(|n| (*n, 2.0 + 3.0 * f64::ln(*n))).collect();
    let regression = Regression::through(&slow).expect("a line");
    assert_eq!(regression.form, Form::Logarithmic);
    assert!((regression.slope - 3.0).abs() < 1e-9 && (regression.at(1_000.0) - 22.723_265).abs() < 1e-4);
    let mut bent = linear.clone();
    bent[2].1 *= 2.0;
    assert!(!Regression::through(&bent).expect("a line").holds());
    assert_eq!(Regression::through(&linear[..2]).err(), Some(RegressionError::Sizes));
    assert_eq!(Regression::through(&linear[1..]).map(|regression| regression.range), Ok((30.0, 300.0)));
    assert_eq!(Regression::through(&[(1.0, 1.0), (2.0, 1.0), (9.0, 1.0)]).err(), Some(RegressionError::Span));
    assert_eq!(Regression::through(&[(0.0, 1.0), (2.0, 1.0), (9.0, 1.0)]).err(), Some(RegressionError::Span));
}

#[test]
fn a_report_has_a_line_for_each_figure_and_draws_the_budget() {
    let host = host(|| 0, false);
    let report = run(&options("--directors 3,10,30 --purges 10"), &host).expect("a run");
    assert!(report.good(), "{}", report.text());
    assert!(report.lines.iter().any(|line| line.regression.is_some()));
    let page = report.page().expect("a page");
    assert!(page.matches("<svg").count() >= 4 && page.contains("red: the budget"));
}
