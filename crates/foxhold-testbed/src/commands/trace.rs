//! `draw` and `trace`: draws random traces, and replays one trace through the daemon and through the library.

use foxhold_testbed::load::trace::{self, Line};
use foxhold_testbed::scenarios::replay::{compare, replay, Difference, ReplayResult, TestbedError, Through};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Maximum number of differences that are printed in full.
const DIFFERENCES_PRINTED: usize = 5;

/// Options of `draw`, which prints a random trace.
#[derive(clap::Args)]
pub struct DrawOptions {
    /// Number of requests in the trace
    #[arg(long, default_value_t = 5_000)]
    requests: usize,
    /// Seed of the trace
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

/// Options of `trace`.
#[derive(clap::Args)]
pub struct CompareOptions {
    /// Trace file; without one, a trace is drawn as by `draw`
    file: Option<PathBuf>,
    /// Path of the director's program
    #[arg(long, default_value = "target/release/foxhold")]
    daemon: PathBuf,
    /// Seed of a drawn trace
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Number of requests in a drawn trace
    #[arg(long, default_value_t = 5_000)]
    requests: usize,
    /// In the library, send the fill with this number to another parent than decided, to check that the
    /// difference is found
    #[arg(long)]
    alter: Option<usize>,
}

/// Draws a trace and prints it.
pub fn draw(options: &DrawOptions) -> Result<bool, TestbedError> {
    trace::draw(options.requests, options.seed).iter().for_each(|line| println!("{line}"));
    Ok(true)
}

/// Replays a trace through the daemon and the library, and prints the differences. Returns whether there are
/// none.
pub fn compare_daemon_and_library(options: CompareOptions) -> Result<bool, TestbedError> {
    let lines = read_or_draw(&options)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let daemon = runtime.block_on(replay(&lines, &Through::Daemon(options.daemon)))?;
    print_summary("daemon", &daemon);
    let library = runtime.block_on(replay(&lines, &Through::Library { altered: options.alter }))?;
    print_summary("library", &library);
    let differences = compare(&daemon, &library);
    print_differences(&differences);
    Ok(differences.is_empty())
}

fn read_or_draw(options: &CompareOptions) -> Result<Vec<Line>, TestbedError> {
    match &options.file {
        Some(file) => Ok(trace::parse(&std::fs::read_to_string(file)?)?),
        None => Ok(trace::draw(options.requests, options.seed)),
    }
}

fn print_summary(name: &str, result: &ReplayResult) {
    let attempts: usize = result.requests.values().map(|(seen, _)| seen.len()).sum();
    let mut statuses = BTreeMap::new();
    result.requests.values().for_each(|(_, answer)| *statuses.entry(answer.status).or_insert(0) += 1);
    println!(
        "{name}: {} requests, {attempts} attempts, answers {statuses:?}, {} started late, {:?} at the most",
        result.requests.len(),
        result.late,
        result.latest
    );
}

fn print_differences(differences: &[Difference]) {
    for difference in differences.iter().take(DIFFERENCES_PRINTED) {
        println!("request {}:", difference.id);
        println!("  daemon  {:?}", difference.one);
        println!("  library {:?}", difference.other);
    }
    println!("{} differences", differences.len());
}
