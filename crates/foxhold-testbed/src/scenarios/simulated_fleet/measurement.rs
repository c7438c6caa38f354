//! What each director spent, and when purges were everywhere.

use super::network::HEADERS;
use foxhold::policy::types::Micros;
use foxhold::replication::entry::Key;
use hdrhistogram::Histogram;
use serde::Serialize;

const SECOND: f64 = 1e6;
/// The longest time that is told apart: an hour.
const LONGEST: Micros = 3_600_000_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Ended {
    /// Its time was over.
    Complete,
    /// It was interrupted.
    Interrupted,
    /// As many events waited as may.
    EventsBound,
    /// As much memory was allocated as may be.
    MemoryBound,
    /// It took as long as it may.
    WallBound,
}

/// What went through one director while it was measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUse {
    /// Datagrams that arrived.
    pub datagrams_in: u64,
    /// Their bytes, with headers.
    pub bytes_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Their bytes, with headers.
    pub bytes_out: u64,
    /// Processor time in its handlers, in nanoseconds.
    pub processor_ns: u64,
}

impl ResourceUse {
    /// A datagram of so many bytes arrived.
    pub fn arrived(&mut self, bytes: usize) {
        self.datagrams_in += 1;
        self.bytes_in += (bytes + HEADERS) as u64;
    }

    /// A datagram of so many bytes was sent.
    pub fn sent(&mut self, bytes: usize) {
        self.datagrams_out += 1;
        self.bytes_out += (bytes + HEADERS) as u64;
    }
}

/// The form of the keys that are purged.
#[derive(Clone, Copy, Debug)]
pub enum KeyForm {
    /// Objects with names of 16 bytes.
    Objects,
    /// Groups.
    Groups,
}

const NAME: &str = "purge-";

impl KeyForm {
    /// The key of a purge.
    pub fn key(self, purge: usize) -> Key {
        match self {
            KeyForm::Objects => Key::Object(format!("{NAME}{purge:010}")),
            KeyForm::Groups => Key::Group(purge as u32),
        }
    }

    /// The purge of a key; none: of one that was held from the start.
    pub fn purge(self, key: &Key) -> Option<usize> {
        match key {
            Key::Object(name) => name.strip_prefix(NAME)?.parse().ok(),
            Key::Group(group) => Some(*group as usize),
            _ => None,
        }
    }
}

/// One purge on its way.
#[derive(Clone, Copy, Debug)]
pub struct Purge {
    /// When it was told.
    pub told: Micros,
    /// When the last director so far that ran already then came to hold it.
    pub latest: Micros,
}

/// An empty histogram of microseconds.
pub fn times_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, 3).expect("bounds that the crate takes")
}

/// Milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// Of how many.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99 of 100.
    pub p99: f64,
    /// 999 of 1,000.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

impl Times {
    /// Of microseconds.
    pub fn of(all: impl Iterator<Item = Micros>) -> Times {
        let mut times = times_histogram();
        all.for_each(|time| times.saturating_record(time));
        Times::read(&times)
    }

    /// Of a histogram of microseconds.
    pub fn read(times: &Histogram<u64>) -> Times {
        let ms = |time: u64| time as f64 / 1e3;
        Times {
            count: times.len(),
            p50: ms(times.value_at_quantile(0.5)),
            p99: ms(times.value_at_quantile(0.99)),
            p999: ms(times.value_at_quantile(0.999)),
            max: ms(times.max()),
        }
    }
}

/// What one run showed. Rates are a second and director, on the mean.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// Directors.
    pub directors: u32,
    /// Purges told a second in the whole fleet.
    pub purges: u32,
    /// Purges held from the start.
    pub held: u32,
    /// How the run ended.
    pub ended: Ended,
    /// Directors that still caught up when measuring began: with any, the figures are not those of a steady
    /// fleet.
    pub catching_up: usize,
    /// Simulated seconds that were measured.
    pub seconds: f64,
    /// Bytes that arrived, with headers.
    pub bytes_in: f64,
    /// Bytes sent, with headers.
    pub bytes_out: f64,
    /// Bytes that arrived, without headers.
    pub payload_in: f64,
    /// Datagrams that arrived.
    pub datagrams_in: f64,
    /// Datagrams sent.
    pub datagrams_out: f64,
    /// Bytes both ways at the director with most.
    pub busiest_bytes: f64,
    /// Share of the datagrams' bytes that left their region.
    pub between_regions: f64,
    /// Processor time in handlers, as a share of a core; sockets are not in it.
    pub processor: f64,
    /// The longest that one event kept a director's handler, in milliseconds of processor time.
    pub longest_handler_ms: f64,
    /// MB allocated for a director at the end; 0 where nobody counts.
    pub memory_mb: f64,
    /// Entries that a director held at the end.
    pub entries: f64,
    /// Bytes of these, as their bound counts them.
    pub entry_bytes: f64,
    /// From a purge told until the last director that ran then held it.
    pub to_all: Times,
    /// From a purge told until each of the others held it.
    pub to_each: Times,
    /// Purges that some running director did not hold at the end, but for those that are no longer kept by
    /// then.
    pub missed: usize,
    /// From the end of a cut until the last purge told before was everywhere, in milliseconds; none: no cut.
    pub healed_ms: Option<f64>,
    /// Events handled in all.
    pub events: u64,
    /// Real seconds that the run took.
    pub wall_s: f64,
}

/// The sums and means of a fleet's meters.
pub struct Means {
    total: ResourceUse,
    busiest: u64,
    per: f64,
    seconds: f64,
}

impl Means {
    /// Over so many microseconds.
    pub fn of(spent: &[ResourceUse], length: Micros) -> Means {
        let mut total = ResourceUse::default();
        for one in spent {
            total.datagrams_in += one.datagrams_in;
            total.bytes_in += one.bytes_in;
            total.datagrams_out += one.datagrams_out;
            total.bytes_out += one.bytes_out;
            total.processor_ns += one.processor_ns;
        }
        let busiest = spent.iter().map(|one| one.bytes_in + one.bytes_out).max().unwrap_or(0);
        let seconds = (length as f64 / SECOND).max(1e-6);
        Means { total, busiest, per: seconds * spent.len().max(1) as f64, seconds }
    }

    /// Puts the means into a measurement. `crossed`: bytes that left their region.
    pub fn fill(&self, measurement: &mut Measurement, crossed: u64) {
        let mean = |sum: u64| sum as f64 / self.per;
        measurement.seconds = self.seconds;
        measurement.bytes_in = mean(self.total.bytes_in);
        measurement.bytes_out = mean(self.total.bytes_out);
        measurement.payload_in = mean(self.total.bytes_in - self.total.datagrams_in * HEADERS as u64);
        measurement.datagrams_in = mean(self.total.datagrams_in);
        measurement.datagrams_out = mean(self.total.datagrams_out);
        measurement.busiest_bytes = self.busiest as f64 / self.seconds;
        measurement.between_regions = crossed as f64 / self.total.bytes_out.max(1) as f64;
        measurement.processor = mean(self.total.processor_ns) / 1e9;
    }
}
