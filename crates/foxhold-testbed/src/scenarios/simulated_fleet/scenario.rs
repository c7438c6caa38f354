//! Scenarios of a simulated fleet: rates of purges, and fault schedules drawn from the seed before the run.

use super::network::{Network, Place};
use foxhold::policy::types::Micros;
use rand::rngs::StdRng;
use rand::Rng;

/// The share of directors that is restarted in [`Scenario::Restarts`]: 1,100 of 13,000.
const RESTARTED: f64 = 1_100.0 / 13_000.0;
/// Factor of the purge rate in [`Scenario::PurgeBurst`].
const BURST_FACTOR: u32 = 10;

/// Scenarios of a simulated fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, serde::Serialize)]
pub enum Scenario {
    /// Purges at directors of all regions
    Ordinary,
    /// Ten times the purges, all at directors of one region
    #[value(alias = "storm")]
    #[serde(rename = "Storm")]
    PurgeBurst,
    /// All directors of a site are killed after a third of the time
    SiteLost,
    /// All directors of a zone are killed after a third of the time
    ZoneLost,
    /// A region is partitioned from the others in the second and third quarter of the time
    RegionApart,
    /// One director in twelve is killed and restarted without state, one after the other
    Restarts,
}

/// A step of the fault schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a director.
    Kill(usize),
    /// Starts a director without state, whether it is running or not.
    Restart(usize),
    /// Partitions a region from all others.
    Isolate(usize),
    /// Ends all partitions.
    Heal,
}

impl Scenario {
    /// Returns the purges a second for a requested rate.
    pub fn purges(self, requested: u32) -> u32 {
        match self {
            Scenario::PurgeBurst => requested.saturating_mul(BURST_FACTOR),
            _ => requested,
        }
    }

    /// Returns the region of the directors that receive purges, or `None` for all regions.
    pub fn purged_region(self) -> Option<usize> {
        (self == Scenario::PurgeBurst).then_some(0)
    }

    /// Draws the fault schedule, with times in microseconds after the start of the measurement.
    pub fn faults(
        self,
        network: &Network,
        directors: usize,
        length: Micros,
        random: &mut StdRng,
    ) -> Vec<(Micros, Fault)> {
        let killed = |is_killed: &dyn Fn(Place) -> bool| -> Vec<(Micros, Fault)> {
            let killed_directors = (0..directors).filter(|n| is_killed(network.place(*n)));
            killed_directors.map(|n| (length / 3, Fault::Kill(n))).collect()
        };
        let last = network.place(directors.saturating_sub(1));
        match self {
            Scenario::Ordinary | Scenario::PurgeBurst => Vec::new(),
            Scenario::SiteLost => killed(&|place| place.site == last.site),
            Scenario::ZoneLost => killed(&|place| place.zone == last.zone),
            Scenario::RegionApart => vec![(length / 4, Fault::Isolate(0)), (length / 4 * 3, Fault::Heal)],
            Scenario::Restarts => {
                let restarts = (directors as f64 * RESTARTED).ceil() as u64;
                let at = |n: u64| length * n / restarts;
                (0..restarts).map(|n| (at(n), Fault::Restart(random.random_range(0..directors)))).collect()
            }
        }
    }
}
