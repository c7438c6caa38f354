//! The network between simulated directors: their locations, and delay, loss and partitions of datagrams.

use foxhold::policy::types::Micros;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;

/// Bytes of the UDP and IPv4 headers of a datagram.
pub const HEADERS: usize = 28;

/// Delays without jitter, in microseconds, by the smallest area that contains both directors.
const WITHIN_SITE: Micros = 200;
const WITHIN_ZONE: Micros = 1_000;
const WITHIN_REGION: Micros = 5_000;
/// Range of the delay between two regions in microseconds, drawn once for each pair of regions.
const BETWEEN_REGIONS: std::ops::RangeInclusive<Micros> = 15_000..=140_000;
/// Largest extra delay of a datagram, as a share of its delay.
const JITTER: f64 = 0.1;

/// Numbers of regions, zones and sites. Directors are spread evenly over them, in the order of their numbers.
#[derive(Clone, Copy, Debug, clap::Args, serde::Serialize)]
pub struct Topology {
    /// Number of regions
    #[arg(long, default_value_t = 24)]
    pub regions: usize,
    /// Number of zones in all regions
    #[arg(long, default_value_t = 92)]
    pub zones: usize,
    /// Number of sites in all regions
    #[arg(long, default_value_t = 980)]
    pub sites: usize,
}

/// Location of a director.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Index of the site, over all regions.
    pub site: usize,
    /// Index of the zone, over all regions.
    pub zone: usize,
    /// Index of the region.
    pub region: usize,
}

impl Topology {
    /// Returns the location of one of `directors` directors.
    pub fn place(&self, director: usize, directors: usize) -> Place {
        let share = |parts: usize| director * parts / directors.max(1);
        let zone = share(self.zones);
        Place { site: share(self.sites), zone, region: zone * self.regions / self.zones.max(1) }
    }
}

/// Outcome of sending a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The datagram arrives after this time, in microseconds.
    Arrives(Micros),
    /// The datagram is lost, or its path is cut by a partition.
    Lost,
}

/// The simulated network between all directors.
pub struct Network {
    places: Vec<Place>,
    /// Delay between each two regions, in microseconds.
    delays: Vec<Vec<Micros>>,
    lost: f64,
    /// Pairs of regions (from, to) whose datagrams are dropped.
    cut: BTreeSet<(usize, usize)>,
    random: StdRng,
}

impl Network {
    /// Creates a network that drops the share `lost` of all datagrams.
    pub fn new(topology: &Topology, directors: usize, lost: f64, seed: u64) -> Network {
        let mut random = StdRng::seed_from_u64(seed);
        let regions = topology.regions.max(1);
        let mut delays = vec![vec![WITHIN_REGION; regions]; regions];
        let pairs = (0..regions).flat_map(|one| (0..one).map(move |other| (one, other)));
        for (one, other) in pairs {
            let delay = random.random_range(BETWEEN_REGIONS);
            delays[one][other] = delay;
            delays[other][one] = delay;
        }
        let places = (0..directors).map(|n| topology.place(n, directors)).collect();
        Network { places, delays, lost, cut: BTreeSet::new(), random }
    }

    /// Returns the location of a director.
    pub fn place(&self, director: usize) -> Place {
        self.places[director]
    }

    /// Partitions a region from all others, in both directions.
    pub fn isolate(&mut self, region: usize) {
        for other in (0..self.delays.len()).filter(|other| *other != region) {
            self.cut.insert((region, other));
            self.cut.insert((other, region));
        }
    }

    /// Cuts the path from one region to another, in this direction only.
    pub fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Returns whether a datagram from one director to another leaves its region.
    pub fn between_regions(&self, from: usize, to: usize) -> bool {
        self.places[from].region != self.places[to].region
    }

    /// Draws the outcome of a datagram from one director to another.
    pub fn send(&mut self, from: usize, to: usize) -> Delivery {
        let (from, to) = (self.places[from], self.places[to]);
        if self.cut.contains(&(from.region, to.region)) || self.random.random_bool(self.lost) {
            return Delivery::Lost;
        }
        let usual = if from.site == to.site {
            WITHIN_SITE
        } else if from.zone == to.zone {
            WITHIN_ZONE
        } else {
            self.delays[from.region][to.region]
        };
        let jitter = 1.0 + JITTER * self.random.random::<f64>();
        Delivery::Arrives((usual as f64 * jitter) as Micros)
    }
}
