//! `fleet`: many processes of the director, by a scenario or by faults that are drawn.

use foxhold_testbed::faults::schedule;
use foxhold_testbed::reports::scenario::RunReport;
use foxhold_testbed::scenarios::replay::TestbedError;
use foxhold_testbed::scenarios::runner::{self, Programs};
use foxhold_testbed::scenarios::scenario::Scenario;
use std::path::{Path, PathBuf};

/// A storm that is not told otherwise.
const RANDOM_FAULTS_DIRECTORS: usize = 20;
const RANDOM_FAULTS_SECONDS: f64 = 120.0;
const RANDOM_FAULTS_SEED: u64 = 1;

/// Options of `fleet`.
#[derive(clap::Args)]
pub struct Options {
    /// The plan; without one a calm play
    file: Option<PathBuf>,
    /// In place of a scenario: faults drawn by the seed among directors that gossip, 20 for 120 s unless told
    /// otherwise
    #[arg(long, alias = "storm", conflicts_with = "file")]
    random_faults: bool,
    /// The director's program
    #[arg(long, default_value = "target/release/foxhold")]
    daemon: PathBuf,
    /// Directors, in place of the scenario's number
    #[arg(long)]
    directors: Option<usize>,
    /// Seed, in place of the scenario's
    #[arg(long)]
    seed: Option<u64>,
    /// Seconds of load, in place of the scenario's
    #[arg(long)]
    seconds: Option<f64>,
    /// Where to write the figures, as JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// Where to write the page with plots
    #[arg(long)]
    html: Option<PathBuf>,
}

/// Runs the scenario and prints its summary; whether no rule was broken.
pub fn run(options: Options) -> Result<bool, TestbedError> {
    let scenario = scenario(&options)?;
    let report = run_with_progress(&scenario, &Programs::of(options.daemon)?)?;
    print!("{}", report.summary());
    if let Some(file) = options.json {
        std::fs::write(file, serde_json::to_string(&report)?)?;
    }
    if let Some(file) = options.html {
        std::fs::write(file, report.page()?)?;
    }
    Ok(report.breaches.is_empty())
}

/// The plan of the options, with what they set in its place.
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

/// Runs a scenario with a bar that shows how far it is.
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
