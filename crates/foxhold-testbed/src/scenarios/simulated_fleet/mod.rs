//! Simulated fleets: the production code for replication, membership and messages of many directors in one
//! process, with a simulated network and simulated time, without clients and servers. The command is
//! `foxhold-testbed hollow`.
//!
//! | module | holds |
//! | --- | --- |
//! | [`clock`] | simulated time and the event queue |
//! | [`network`] | locations of directors, delays, loss and partitions |
//! | [`director`] | one simulated director |
//! | [`scenario`] | purges and the fault schedule |
//! | [`simulation`] | the run of a fleet, within its resource bounds |
//! | [`measurement`] | resource use of directors, and the time until all hold a purge |
//! | [`regression`] | regressions of the results over several fleet sizes |
//! | [`report`] | results as text, JSON and an HTML page with plots |
//!
//! The seed determines all results but processor time, memory and real time.

pub mod clock;
pub mod director;
pub mod measurement;
pub mod network;
pub mod regression;
pub mod report;
pub mod scenario;
pub mod simulation;

use crate::scenarios::replay::TestbedError;
use measurement::Ended;
use measurement::Measurement;
use network::Topology;
use regression::Axis;
use report::Report;
use scenario::Scenario;
use simulation::Simulation;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Options of a simulation. One of directors, purges and initial entries may be a list: a regression of the
/// results is calculated over it.
#[derive(Clone, Debug, clap::Args, serde::Serialize)]
pub struct Options {
    /// Number of directors: one value, or several
    #[arg(long, value_delimiter = ',', default_value = "10,30,100")]
    pub directors: Vec<u32>,
    /// Purges a second in the whole fleet: one value, or several
    #[arg(long, value_delimiter = ',', default_value = "99")]
    pub purges: Vec<u32>,
    /// Purges that each director holds from the start: one value, or several
    #[arg(long, alias = "held", value_delimiter = ',', default_value = "0")]
    #[serde(rename = "held")]
    pub initial_entries: Vec<u32>,
    /// Purge groups, as `foxhold-testbed talk` does, instead of objects with names of 16 bytes
    #[arg(long)]
    pub groups: bool,
    /// Purges and faults during the run
    #[arg(long, value_enum, default_value_t = Scenario::Ordinary)]
    pub scenario: Scenario,
    /// Simulated seconds that are measured
    #[arg(long, default_value_t = 10)]
    pub seconds: u32,
    /// Simulated seconds before the measurement
    #[arg(long, default_value_t = 5)]
    pub warm_up: u32,
    /// Simulated seconds after the last purge in which purges may still arrive
    #[arg(long, alias = "settle", default_value_t = 10)]
    #[serde(rename = "settle")]
    pub arrival_seconds: u32,
    /// Share of datagrams that are lost
    #[arg(long, default_value_t = 0.0)]
    pub lost: f64,
    /// Locations of the directors
    #[command(flatten)]
    pub topology: Topology,
    /// Seed of delays, losses and all other random draws
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Limits on memory, events and real time of a run
    #[command(flatten)]
    pub bounds: Bounds,
    /// File for the results as JSON
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// File for the HTML page with plots
    #[arg(long)]
    pub html: Option<PathBuf>,
}

/// Resource bounds of a run, which ends at the first bound that is reached.
#[derive(Clone, Copy, Debug, clap::Args, serde::Serialize)]
pub struct Bounds {
    /// Largest allocated memory, in MB
    #[arg(long, alias = "most-memory-mb", default_value_t = 6_000)]
    #[serde(rename = "most_memory_mb")]
    pub max_memory_mb: usize,
    /// Largest number of queued events
    #[arg(long, alias = "most-events", default_value_t = 5_000_000)]
    #[serde(rename = "most_events")]
    pub max_events: usize,
    /// Longest real time per fleet size, in seconds
    #[arg(long, alias = "most-wall-s", default_value_t = 600)]
    #[serde(rename = "most_wall_s")]
    pub max_wall_s: u64,
}

/// Size of the simulated fleet and its load in one run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of directors.
    pub directors: u32,
    /// Purges a second in the whole fleet.
    pub purges: u32,
    /// Purges that each director holds from the start.
    pub initial_entries: u32,
}

/// Functions of the process that hosts a run.
#[derive(Clone)]
pub struct Host {
    /// Returns the bytes allocated in this process, or 0 if the allocator does not count them.
    pub allocated: fn() -> usize,
    /// Set to stop the run early.
    pub interrupted: Arc<AtomicBool>,
}

impl Options {
    /// Returns the sizes to run, and the axis along which they differ.
    fn sizes(&self) -> Result<(Axis, Vec<Size>), TestbedError> {
        let several = |list: &[u32]| list.len() > 1;
        let lists = [&self.directors, &self.purges, &self.initial_entries];
        if lists.iter().any(|list| list.is_empty()) || lists.iter().filter(|list| several(list)).count() > 1 {
            return Err(
                "at most one of --directors, --purges and --initial-entries may have several values, \
                 and each needs at least one"
                    .into(),
            );
        }
        if self.directors.contains(&0) || !(0.0..1.0).contains(&self.lost) {
            return Err("--directors must be at least 1, and --lost at least 0 and below 1".into());
        }
        let size = Size {
            directors: self.directors[0],
            purges: self.purges[0],
            initial_entries: self.initial_entries[0],
        };
        Ok(if several(&self.purges) {
            (Axis::Purges, self.purges.iter().map(|purges| Size { purges: *purges, ..size }).collect())
        } else if several(&self.initial_entries) {
            (
                Axis::InitialEntries,
                self.initial_entries.iter().map(|held| Size { initial_entries: *held, ..size }).collect(),
            )
        } else {
            (
                Axis::Directors,
                self.directors.iter().map(|directors| Size { directors: *directors, ..size }).collect(),
            )
        })
    }
}

/// Runs all sizes one after the other, with a progress bar, and calculates regressions of the results. Stops
/// after the first run that is not complete.
pub fn run(options: &Options, host: &Host) -> Result<Report, TestbedError> {
    let (axis, sizes) = options.sizes()?;
    let seconds = u64::from(options.warm_up + options.seconds + options.arrival_seconds);
    let bar = indicatif::ProgressBar::new(seconds * sizes.len() as u64);
    bar.set_style(indicatif::ProgressStyle::with_template(
        "{wide_bar} {pos}/{len} simulated s, {msg}, {elapsed}",
    )?);
    let mut measured: Vec<Measurement> = Vec::new();
    for size in sizes {
        bar.set_message(format!("{} directors", size.directors));
        let measurement = Simulation::new(options, size, host).run(&bar);
        let ended = measurement.ended;
        measured.push(measurement);
        if ended != Ended::Complete {
            break;
        }
    }
    bar.finish_and_clear();
    Ok(Report::new(options.clone(), axis, measured))
}
