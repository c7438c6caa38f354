//! What happens to a fleet, and when: drawn from the seed before the run.

use super::network::{Network, Place};
use foxhold::policy::types::Micros;
use rand::rngs::StdRng;
use rand::Rng;

/// The share of directors that is restarted in [`Scenario::Restarts`]: 1,100 of 13,000.
const RESTARTED: f64 = 1_100.0 / 13_000.0;
/// [`Scenario::Storm`] has so many times the purges.
const BURST_FACTOR: u32 = 10;

/// The situations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum, serde::Serialize)]
pub enum Scenario {
    /// Purges told to directors anywhere
    Ordinary,
    /// Ten times the purges, all told to directors of one region
    #[value(alias = "storm")]
    #[serde(rename = "Storm")]
    PurgeBurst,
    /// All directors of a site are killed after a third of the time
    SiteLost,
    /// All directors of a zone are killed after a third of the time
    ZoneLost,
    /// A region is apart from the others in the second and third quarter of the time
    RegionApart,
    /// One director in twelve is killed and started from nothing, one after the other
    Restarts,
}

/// Something that goes wrong, or right again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A director is killed.
    Kill(usize),
    /// A director starts from nothing, where it ran or not.
    Restart(usize),
    /// A region is cut off.
    Isolate(usize),
    /// All ways are whole again.
    Heal,
}

impl Scenario {
    /// Purges a second, where so many are asked for.
    pub fn purges(self, asked: u32) -> u32 {
        match self {
            Scenario::PurgeBurst => asked.saturating_mul(BURST_FACTOR),
            _ => asked,
        }
    }

    /// The region that all purges are told in; none: anywhere.
    pub fn purged_region(self) -> Option<usize> {
        (self == Scenario::PurgeBurst).then_some(0)
    }

    /// What goes wrong, with how long after the start of what is measured.
    pub fn faults(
        self,
        network: &Network,
        directors: usize,
        length: Micros,
        random: &mut StdRng,
    ) -> Vec<(Micros, Fault)> {
        let killed = |dead: &dyn Fn(Place) -> bool| -> Vec<(Micros, Fault)> {
            let some = (0..directors).filter(|n| dead(network.place(*n)));
            some.map(|n| (length / 3, Fault::Kill(n))).collect()
        };
        let last = network.place(directors.saturating_sub(1));
        match self {
            Scenario::Ordinary | Scenario::PurgeBurst => Vec::new(),
            Scenario::SiteLost => killed(&|place| place.site == last.site),
            Scenario::ZoneLost => killed(&|place| place.zone == last.zone),
            Scenario::RegionApart => vec![(length / 4, Fault::Isolate(0)), (length / 4 * 3, Fault::Heal)],
            Scenario::Restarts => {
                let many = (directors as f64 * RESTARTED).ceil() as u64;
                let at = |n: u64| length * n / many;
                (0..many).map(|n| (at(n), Fault::Restart(random.random_range(0..directors)))).collect()
            }
        }
    }
}
