//! Simulated directors: the real replica, membership and message code of many directors in one process, over
//! a simulated network and in simulated time, without clients and servers: `foxhold-testbed hollow`.
//!
//! | module | holds |
//! | --- | --- |
//! | [`clock`] | simulated time: one queue of events |
//! | [`network`] | where directors are, delays, loss and cuts |
//! | [`director`] | one simulated director |
//! | [`scenario`] | what happens to a fleet, and when |
//! | [`simulation`] | a fleet's run, within its bounds |
//! | [`measurement`] | what each director spent, and when purges were everywhere |
//! | [`regression`] | lines through the figures of several sizes |
//! | [`report`] | the figures as text, JSON and a page with plots |
//!
//! All but processor time and memory is decided by the seed.

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

/// What is simulated. One of directors, purges and held entries may be a list: figures are fitted over it.
#[derive(Clone, Debug, clap::Args, serde::Serialize)]
pub struct Options {
    /// Directors: one size, or several
    #[arg(long, value_delimiter = ',', default_value = "10,30,100")]
    pub directors: Vec<u32>,
    /// Purges a second in the whole fleet: one rate, or several
    #[arg(long, value_delimiter = ',', default_value = "99")]
    pub purges: Vec<u32>,
    /// Purges that each director holds from the start: one number, or several
    #[arg(long, alias = "held", value_delimiter = ',', default_value = "0")]
    #[serde(rename = "held")]
    pub initial_entries: Vec<u32>,
    /// Purge groups in place of objects with names of 16 bytes, as `foxhold-testbed talk` does
    #[arg(long)]
    pub groups: bool,
    /// What happens meanwhile
    #[arg(long, value_enum, default_value_t = Scenario::Ordinary)]
    pub scenario: Scenario,
    /// Simulated seconds that are measured
    #[arg(long, default_value_t = 10)]
    pub seconds: u32,
    /// Simulated seconds before that
    #[arg(long, default_value_t = 5)]
    pub warm_up: u32,
    /// Simulated seconds after the last purge in which it may still arrive
    #[arg(long, alias = "settle", default_value_t = 10)]
    #[serde(rename = "settle")]
    pub arrival_seconds: u32,
    /// Share of datagrams that is lost
    #[arg(long, default_value_t = 0.0)]
    pub lost: f64,
    /// Where directors are
    #[command(flatten)]
    pub topology: Topology,
    /// What delays, losses and draws come from
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The bounds
    #[command(flatten)]
    pub bounds: Bounds,
    /// Where to write the figures, as JSON
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Where to write the page with plots
    #[arg(long)]
    pub html: Option<PathBuf>,
}

/// What a run may take; it ends at the first that is reached.
#[derive(Clone, Copy, Debug, clap::Args, serde::Serialize)]
pub struct Bounds {
    /// MB that may be allocated
    #[arg(long, alias = "most-memory-mb", default_value_t = 6_000)]
    #[serde(rename = "most_memory_mb")]
    pub max_memory_mb: usize,
    /// Events that may wait at a time
    #[arg(long, alias = "most-events", default_value_t = 5_000_000)]
    #[serde(rename = "most_events")]
    pub max_events: usize,
    /// Seconds of real time for each size
    #[arg(long, alias = "most-wall-s", default_value_t = 600)]
    #[serde(rename = "most_wall_s")]
    pub max_wall_s: u64,
}

/// One run's size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Directors.
    pub directors: u32,
    /// Purges a second.
    pub purges: u32,
    /// Purges held from the start.
    pub initial_entries: u32,
}

/// What a run needs from its process.
#[derive(Clone)]
pub struct Host {
    /// Bytes that are allocated in this process; 0 where nobody counts them.
    pub allocated: fn() -> usize,
    /// Set once the run is to end.
    pub interrupted: Arc<AtomicBool>,
}

impl Options {
    /// The sizes, and along what they differ.
    fn sizes(&self) -> Result<(Axis, Vec<Size>), TestbedError> {
        let several = |list: &[u32]| list.len() > 1;
        let lists = [&self.directors, &self.purges, &self.initial_entries];
        if lists.iter().any(|list| list.is_empty()) || lists.iter().filter(|list| several(list)).count() > 1 {
            return Err(
                "one of --directors, --purges and --initial-entries may be a list, and none may be empty"
                    .into(),
            );
        }
        if self.directors.contains(&0) || !(0.0..1.0).contains(&self.lost) {
            return Err("a fleet has one director at least, and loses a share below 1".into());
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

/// Runs all sizes with a progress bar, one after the other, and fits lines through what was measured.
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
