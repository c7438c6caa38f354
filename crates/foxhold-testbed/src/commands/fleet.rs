//! `fleet`: many processes of the director, by a scenario or by faults that are drawn.

use foxhold_testbed::faults::schedule;
use foxhold_testbed::reports::scenario::RunReport;
use foxhold_testbed::scenarios::replay::Failure;
use foxhold_testbed::scenarios::runner::{self, Programs};
use foxhold_testbed::scenarios::scenario::Scenario;
use std::path::{Path, PathBuf};

/// A storm that is not told otherwise.
const STORM_DIRECTORS: usize = 20;
const STORM_SECONDS: f64 = 120.0;
const STORM_SEED: u64 = 1;

/// Options of `fleet`.
#[derive(clap::Args)]
pub struct Options {
    /// The plan; without one a calm play
    file: Option<PathBuf>,
    /// In place of a scenario: faults drawn by the seed among directors that gossip, 20 for 120 s unless told
    /// otherwise
    #[arg(long, conflicts_with = "file")]
    storm: bool,
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
pub fn run(options: Options) -> Result<bool, Failure> {
    let plan = plan(&options)?;
    let played = run_with_progress(&plan, &Programs::of(options.daemon)?)?;
    print!("{}", played.summary());
    if let Some(file) = options.json {
        std::fs::write(file, serde_json::to_string(&played)?)?;
    }
    if let Some(file) = options.html {
        std::fs::write(file, played.page()?)?;
    }
    Ok(played.breaches.is_empty())
}

/// The plan of the options, with what they set in its place.
fn plan(options: &Options) -> Result<Scenario, Failure> {
    let mut plan = match &options.file {
        _ if options.storm => schedule::draw(
            options.directors.unwrap_or(STORM_DIRECTORS),
            options.seconds.unwrap_or(STORM_SECONDS),
            options.seed.unwrap_or(STORM_SEED),
        ),
        Some(file) => read_plan(file)?,
        None => Scenario::default(),
    };
    plan.directors = options.directors.unwrap_or(plan.directors);
    plan.seed = options.seed.unwrap_or(plan.seed);
    plan.seconds = options.seconds.unwrap_or(plan.seconds);
    Ok(plan)
}

fn read_plan(file: &Path) -> Result<Scenario, Failure> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(Scenario::read(&text).map_err(|e| format!("{}: {e}", file.display()))?)
}

/// Runs a scenario with a bar that shows how far it is.
fn run_with_progress(plan: &Scenario, programs: &Programs) -> Result<RunReport, Failure> {
    let bar = indicatif::ProgressBar::new((plan.seconds + plan.warm_up_seconds).ceil() as u64);
    bar.set_message("seconds of load");
    let moved = bar.clone();
    let settle = plan.warm_up_seconds;
    let progress = move |at: f64| moved.set_position((at + settle).max(0.0) as u64);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let played = tokio::task::LocalSet::new().block_on(&runtime, runner::run(plan, programs, progress));
    bar.finish_and_clear();
    played
}
