//! `gossip`, alias `talk`: runs directors that gossip, without clients and servers.

use foxhold_testbed::scenarios::gossip::{self, Scenario};
use foxhold_testbed::scenarios::replay::TestbedError;
use std::future::Future;
use std::path::PathBuf;

/// Options of `gossip`.
#[derive(clap::Args)]
pub struct Options {
    /// Path of the director's program
    #[arg(long, default_value = "target/release/foxhold")]
    daemon: PathBuf,
    #[command(flatten)]
    scenario: Scenario,
    /// Measure a catch-up instead: one director holds this many entries, another starts and catches up
    #[arg(long)]
    catch_up: Option<u32>,
    /// File to write the figures to, as JSON
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Runs the scenario and prints its figures. Returns whether every update reached all directors.
pub fn run(options: &Options) -> Result<bool, TestbedError> {
    match options.catch_up {
        Some(entries) => catch_up(options, entries),
        None => spread(options),
    }
}

fn catch_up(options: &Options, entries: u32) -> Result<bool, TestbedError> {
    let report = block_on(gossip::catch_up(&options.daemon, entries))?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(report.entries >= u64::from(entries))
}

fn spread(options: &Options) -> Result<bool, TestbedError> {
    let report = block_on(gossip::run(&options.daemon, &options.scenario))?;
    let text = serde_json::to_string_pretty(&report)?;
    println!("{text}");
    if let Some(file) = &options.json {
        std::fs::write(file, text)?;
    }
    Ok(report.missed == 0)
}

fn block_on<T>(scenario: impl Future<Output = Result<T, TestbedError>>) -> Result<T, TestbedError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, scenario)
}
