//! `fleet`: runs a scenario, or random faults, with many director processes.

use foxhold_testbed::faults::schedule;
use foxhold_testbed::reports::scenario::RunReport;
use foxhold_testbed::scenarios::replay::TestbedError;
use foxhold_testbed::scenarios::runner::{self, Programs};
use foxhold_testbed::scenarios::scenario::Scenario;
use std::path::{Path, PathBuf};

/// Number of directors for random faults without `--directors`.
const RANDOM_FAULTS_DIRECTORS: usize = 20;
/// Seconds of load for random faults without `--seconds`.
const RANDOM_FAULTS_SECONDS: f64 = 120.0;
/// Seed for random faults without `--seed`.
const RANDOM_FAULTS_SEED: u64 = 1;

/// Options of `fleet`.
#[derive(clap::Args)]
pub struct Options {
    /// Scenario file in YAML; without one, a scenario without faults is run
    file: Option<PathBuf>,
    /// Run random faults, drawn from the seed, instead of a scenario file; by default 20 directors that
    /// gossip, for 120 s
    #[arg(long, alias = "storm", conflicts_with = "file")]
    random_faults: bool,
    /// Path of the director's program
    #[arg(long, default_value = "target/release/foxhold")]
    daemon: PathBuf,
    /// Number of directors, instead of the scenario's
    #[arg(long)]
    directors: Option<usize>,
    /// Seed, instead of the scenario's
    #[arg(long)]
    seed: Option<u64>,
    /// Seconds of load, instead of the scenario's
    #[arg(long)]
    seconds: Option<f64>,
    /// File to write the figures to, as JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// File to write an HTML page with plots to
    #[arg(long)]
    html: Option<PathBuf>,
}

/// Runs the scenario and prints its summary. Returns whether no rule was broken.
pub fn run(options: Options) -> Result<bool, TestbedError> {
    let scenario = scenario(&options)?;
    let report = run_with_progress(&scenario, &Programs::find(options.daemon)?)?;
    print!("{}", report.summary());
    if let Some(file) = options.json {
        std::fs::write(file, serde_json::to_string(&report)?)?;
    }
    if let Some(file) = options.html {
        std::fs::write(file, report.page()?)?;
    }
    Ok(report.breaches.is_empty())
}

/// Returns the scenario to run, with the settings that the options override.
fn scenario(options: &Options) -> Result<Scenario, TestbedError> {
    let mut scenario = match &options.file {
        _ if options.random_faults => schedule::draw(
            options.directors.unwrap_or(RANDOM_FAULTS_DIRECTORS),
            options.seconds.unwrap_or(RANDOM_FAULTS_SECONDS),
            options.seed.unwrap_or(RANDOM_FAULTS_SEED),
        ),
        Some(file) => read_scenario(file)?,
        None => Scenario::default(),
    };
    scenario.directors = options.directors.unwrap_or(scenario.directors);
    scenario.seed = options.seed.unwrap_or(scenario.seed);
    scenario.seconds = options.seconds.unwrap_or(scenario.seconds);
    Ok(scenario)
}

fn read_scenario(file: &Path) -> Result<Scenario, TestbedError> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(Scenario::read(&text).map_err(|e| format!("{}: {e}", file.display()))?)
}

/// Runs a scenario and shows a progress bar.
fn run_with_progress(scenario: &Scenario, programs: &Programs) -> Result<RunReport, TestbedError> {
    let bar = indicatif::ProgressBar::new((scenario.seconds + scenario.warm_up_seconds).ceil() as u64);
    bar.set_message("seconds of load");
    let moved = bar.clone();
    let settle = scenario.warm_up_seconds;
    let progress = move |at: f64| moved.set_position((at + settle).max(0.0) as u64);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let report = tokio::task::LocalSet::new().block_on(&runtime, runner::run(scenario, programs, progress));
    bar.finish_and_clear();
    report
}
