//! Measurements of a run: resource use of the directors, and the time until all of them hold a purge.

use super::network::HEADERS;
use foxhold::policy::types::Micros;
use foxhold::replication::entry::Key;
use hdrhistogram::Histogram;
use serde::Serialize;

const SECOND: f64 = 1e6;
/// Longest time that histograms distinguish: one hour, in microseconds.
const LONGEST: Micros = 3_600_000_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Ended {
    /// The simulated time is over.
    Complete,
    /// The process received SIGINT or SIGTERM.
    Interrupted,
    /// The bound on queued events was reached.
    EventsBound,
    /// The bound on allocated memory was reached.
    MemoryBound,
    /// The bound on real time was reached.
    WallBound,
}

/// Resource use of one director during the measurement.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUse {
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Bytes received, with headers.
    pub bytes_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Bytes sent, with headers.
    pub bytes_out: u64,
    /// Processor time in event handlers, in nanoseconds.
    pub processor_ns: u64,
}

impl ResourceUse {
    /// Counts a received datagram with this number of payload bytes.
    pub fn arrived(&mut self, bytes: usize) {
        self.datagrams_in += 1;
        self.bytes_in += (bytes + HEADERS) as u64;
    }

    /// Counts a sent datagram with this number of payload bytes.
    pub fn sent(&mut self, bytes: usize) {
        self.datagrams_out += 1;
        self.bytes_out += (bytes + HEADERS) as u64;
    }
}

/// Kind of the keys that are purged.
#[derive(Clone, Copy, Debug)]
pub enum KeyForm {
    /// Objects with names of 16 bytes.
    Objects,
    /// Groups of objects, by number.
    Groups,
}

const NAME: &str = "purge-";

impl KeyForm {
    /// Returns the key of the purge with this number.
    pub fn key(self, purge: usize) -> Key {
        match self {
            KeyForm::Objects => Key::Object(format!("{NAME}{purge:010}")),
            KeyForm::Groups => Key::Group(purge as u32),
        }
    }

    /// Returns the number of the purge of a key, or `None` if the key is an initial entry's.
    pub fn purge(self, key: &Key) -> Option<usize> {
        match key {
            Key::Object(name) => name.strip_prefix(NAME)?.parse().ok(),
            Key::Group(group) => Some(*group as usize),
            _ => None,
        }
    }
}

/// Progress of one purge.
#[derive(Clone, Copy, Debug)]
pub struct Purge {
    /// Simulated time at which it was published.
    pub published_at: Micros,
    /// Latest time so far at which a director that was running at `published_at` received it.
    pub latest: Micros,
}

/// Returns an empty histogram for microseconds.
pub fn times_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, 3).expect("valid histogram bounds")
}

/// Distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// Number of times.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

impl Times {
    /// Calculates the distribution of times in microseconds.
    pub fn of(all: impl Iterator<Item = Micros>) -> Times {
        let mut times = times_histogram();
        all.for_each(|time| times.saturating_record(time));
        Times::read(&times)
    }

    /// Reads the distribution from a histogram of microseconds.
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

/// Results of one run. Traffic and processor time are means per director and second.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    /// Number of directors in the fleet.
    pub directors: u32,
    /// Purges published a second in the whole fleet.
    pub purges: u32,
    /// Purges that each director held from the start.
    #[serde(rename = "held")]
    pub initial_entries: u32,
    /// How the run ended.
    pub ended: Ended,
    /// Directors that were still catching up when the measurement started. If there are any, the results are
    /// not those of a fleet in a steady state.
    pub catching_up: usize,
    /// Simulated seconds that were measured.
    pub seconds: f64,
    /// Bytes received, with headers.
    pub bytes_in: f64,
    /// Bytes sent, with headers.
    pub bytes_out: f64,
    /// Bytes received, without headers.
    pub payload_in: f64,
    /// Datagrams received.
    pub datagrams_in: f64,
    /// Datagrams sent.
    pub datagrams_out: f64,
    /// Bytes received and sent a second by the director with the most.
    pub busiest_bytes: f64,
    /// Share of the sent bytes that left their region.
    pub between_regions: f64,
    /// Processor time in event handlers, as a share of a core. Socket operations are not included.
    pub processor: f64,
    /// Longest processor time of one event, in milliseconds.
    pub longest_handler_ms: f64,
    /// Memory allocated per director at the end, in MB; 0 if the allocator does not count it.
    pub memory_mb: f64,
    /// Mean number of entries of a director at the end.
    pub entries: f64,
    /// Mean bytes of the entries of a director, as the bound on entries counts them.
    pub entry_bytes: f64,
    /// Time from publishing a purge until the last director that was running then held it.
    pub to_all: Times,
    /// Time from publishing a purge until a director held it, over all directors.
    pub to_each: Times,
    /// Purges that at least one running director did not hold at the end, without those whose retention time
    /// was over.
    pub missed: usize,
    /// Milliseconds from the end of a partition until all directors held every purge published before. `None`
    /// without a partition.
    pub healed_ms: Option<f64>,
    /// Number of events handled in the whole run.
    pub events: u64,
    /// Real time of the run, in seconds.
    pub wall_s: f64,
}

/// Sums and means of the resource use of all directors.
pub struct Means {
    total: ResourceUse,
    busiest: u64,
    director_seconds: f64,
    seconds: f64,
}

impl Means {
    /// Calculates sums and means over a measurement of `length` microseconds.
    pub fn of(resource_use: &[ResourceUse], length: Micros) -> Means {
        let mut total = ResourceUse::default();
        for usage in resource_use {
            total.datagrams_in += usage.datagrams_in;
            total.bytes_in += usage.bytes_in;
            total.datagrams_out += usage.datagrams_out;
            total.bytes_out += usage.bytes_out;
            total.processor_ns += usage.processor_ns;
        }
        let busiest = resource_use.iter().map(|usage| usage.bytes_in + usage.bytes_out).max().unwrap_or(0);
        let seconds = (length as f64 / SECOND).max(1e-6);
        Means { total, busiest, director_seconds: seconds * resource_use.len().max(1) as f64, seconds }
    }

    /// Writes the means into a measurement. `bytes_between_regions` is the number of bytes that left their
    /// region.
    pub fn fill(&self, measurement: &mut Measurement, bytes_between_regions: u64) {
        let mean = |sum: u64| sum as f64 / self.director_seconds;
        measurement.seconds = self.seconds;
        measurement.bytes_in = mean(self.total.bytes_in);
        measurement.bytes_out = mean(self.total.bytes_out);
        measurement.payload_in = mean(self.total.bytes_in - self.total.datagrams_in * HEADERS as u64);
        measurement.datagrams_in = mean(self.total.datagrams_in);
        measurement.datagrams_out = mean(self.total.datagrams_out);
        measurement.busiest_bytes = self.busiest as f64 / self.seconds;
        measurement.between_regions = bytes_between_regions as f64 / self.total.bytes_out.max(1) as f64;
        measurement.processor = mean(self.total.processor_ns) / 1e9;
    }
}
