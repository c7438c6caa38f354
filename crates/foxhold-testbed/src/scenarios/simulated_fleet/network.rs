//! The network between simulated directors: where each of them is, and how long a datagram takes, if it
//! arrives.

use foxhold::policy::types::Micros;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;

/// Bytes of the headers of UDP and IPv4 that each datagram has on the wire.
pub const HEADERS: usize = 28;

const WITHIN_SITE: Micros = 200;
const WITHIN_ZONE: Micros = 1_000;
const WITHIN_REGION: Micros = 5_000;
/// Between two regions a datagram takes a time between these, drawn once for each pair.
const BETWEEN_REGIONS: std::ops::RangeInclusive<Micros> = 15_000..=140_000;
/// Each datagram takes up to this share longer.
const JITTER: f64 = 0.1;

/// How many regions, zones and sites there are. Directors are spread evenly, in the order of their numbers.
#[derive(Clone, Copy, Debug, clap::Args, serde::Serialize)]
pub struct Topology {
    /// Regions
    #[arg(long, default_value_t = 24)]
    pub regions: usize,
    /// Zones in all
    #[arg(long, default_value_t = 92)]
    pub zones: usize,
    /// Sites in all
    #[arg(long, default_value_t = 980)]
    pub sites: usize,
}

/// Where a director is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its site.
    pub site: usize,
    /// Its zone.
    pub zone: usize,
    /// Its region.
    pub region: usize,
}

impl Topology {
    /// The place of one of so many directors.
    pub fn place(&self, director: usize, directors: usize) -> Place {
        let share = |parts: usize| director * parts / directors.max(1);
        let zone = share(self.zones);
        Place { site: share(self.sites), zone, region: zone * self.regions / self.zones.max(1) }
    }
}

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It arrives after so many microseconds.
    Arrives(Micros),
    /// It is lost, or its way is cut.
    Lost,
}

/// The ways between all directors.
pub struct Network {
    places: Vec<Place>,
    /// Delay between each two regions.
    delays: Vec<Vec<Micros>>,
    lost: f64,
    /// Pairs of regions (from, to) between which nothing arrives.
    cut: BTreeSet<(usize, usize)>,
    random: StdRng,
}

impl Network {
    /// Between so many directors, losing this share of all datagrams.
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

    /// Where a director is.
    pub fn place(&self, director: usize) -> Place {
        self.places[director]
    }

    /// Cuts a region off from all others, in both directions.
    pub fn isolate(&mut self, region: usize) {
        for other in (0..self.delays.len()).filter(|other| *other != region) {
            self.cut.insert((region, other));
            self.cut.insert((other, region));
        }
    }

    /// Cuts the way from one region to another, in this direction alone.
    pub fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Mends all that was cut.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Whether a datagram from one to another leaves its region.
    pub fn between_regions(&self, from: usize, to: usize) -> bool {
        self.places[from].region != self.places[to].region
    }

    /// What becomes of a datagram from one director to another.
    pub fn send(&mut self, from: usize, to: usize) -> Fate {
        let (from, to) = (self.places[from], self.places[to]);
        if self.cut.contains(&(from.region, to.region)) || self.random.random_bool(self.lost) {
            return Fate::Lost;
        }
        let usual = if from.site == to.site {
            WITHIN_SITE
        } else if from.zone == to.zone {
            WITHIN_ZONE
        } else {
            self.delays[from.region][to.region]
        };
        let jitter = 1.0 + JITTER * self.random.random::<f64>();
        Fate::Arrives((usual as f64 * jitter) as Micros)
    }
}
