//! Scenarios for gossip among directors: its cost, the time until all directors hold an update, and the time
//! that a starting director takes to catch up. The command is `foxhold-testbed talk`.

use crate::faults::peer_network::LinkConditions;
use crate::load::gossip_client::TestClient;
use crate::scenarios::cluster::{Fleet, FleetConfig};
use crate::scenarios::replay::TestbedError;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time limit of an update, after which it counts as missed, and of catching up.
const DEADLINE: Duration = Duration::from_secs(10);
/// Time limit until all directors know each other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause between joining and the first measurement.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Pause between two updates.
const UPDATE_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which the directors' logs are searched for an update.
const LOG_POLL: Duration = Duration::from_millis(5);
/// Interval at which the catch-up state of a director is read.
const CATCH_UP_POLL: Duration = Duration::from_millis(5);
/// Duration of the probes before catching up.
const QUIET_PROBES: Duration = Duration::from_secs(2);
/// Duration of the probes during catching up.
const CATCH_UP_PROBES: Duration = Duration::from_secs(1);
/// Smallest number of entries from which the bound on entries, twice that number, is calculated.
const MIN_ENTRY_BOUND: u32 = 1_000;

/// A scenario in which updates are sent to one director after the other.
#[derive(Clone, Debug, clap::Args)]
pub struct Scenario {
    /// Number of directors
    #[arg(long, default_value_t = 30)]
    pub directors: usize,
    /// Share of gossip messages that are lost
    #[arg(long, default_value_t = 0.0)]
    pub lost: f64,
    /// Number of updates, sent one after the other, each to another director
    #[arg(long, alias = "words", default_value_t = 20)]
    pub updates: usize,
    /// Seconds without updates in which idle traffic is measured, and again as many seconds with purges
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Purges a second in the seconds with purges
    #[arg(long, default_value_t = 10)]
    pub rate: u32,
    /// Seed of message loss
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Latencies of many operations, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Latencies {
    /// Number of operations.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

/// Resource use of one director, as a mean over all directors and the time measured.
#[derive(Clone, Debug, Serialize)]
pub struct ResourceUse {
    /// Gossip bytes received a second.
    pub bytes: f64,
    /// Gossip datagrams received a second.
    pub datagrams: f64,
    /// Processor time, as a share of a core.
    pub processor: f64,
}

/// Results of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct SpreadReport {
    /// Number of directors in the fleet.
    pub directors: usize,
    /// Share of gossip messages that the relays dropped.
    pub lost: f64,
    /// Seconds until each director knew all others.
    pub joined_s: f64,
    /// Time from sending an update until a director held it, over all directors.
    pub each: Latencies,
    /// Time from sending an update until the last director held it.
    pub last: Latencies,
    /// Number of updates that at least one director did not hold within 10 s.
    pub missed: usize,
    /// Resource use without updates.
    pub idle: ResourceUse,
    /// Resource use with purges, at the rate of the scenario.
    pub busy: ResourceUse,
    /// Mean resident memory of a director at the end, in MB.
    pub memory_mb: f64,
}

/// Results of a catch-up with many entries by state transfer.
#[derive(Clone, Debug, Serialize)]
pub struct CatchUpReport {
    /// Number of entries that the starting director held at the end.
    pub entries: u64,
    /// Milliseconds from the start of the process until it had caught up.
    pub ms: f64,
    /// Resident memory of the director that held the entries from the beginning, in MB.
    pub memory_mb: f64,
    /// Latency of `GET /alive` at the starting director, one each millisecond, in a start without entries.
    pub quiet: Latencies,
    /// The same latency while it catches up.
    pub meanwhile: Latencies,
    /// The same latency at the director that it catches up from.
    pub source: Latencies,
}

/// Measures the catch-up of a starting director with one that holds `entries` purges, with probes of both in
/// the meantime. Needs a `LocalSet`.
pub async fn catch_up(director: &Path, entries: u32) -> Result<CatchUpReport, TestbedError> {
    let keys = format!("entries: {}", entries.max(MIN_ENTRY_BOUND) * 2);
    let mut fleet =
        Fleet::prepare(director, FleetConfig { directors: 2, keys, ..FleetConfig::default() }).await?;
    fleet.start_directors(&[0]).await?;
    fleet.start_directors(&[1]).await?;
    let quiet = probe_alive(fleet.clients(1)?, QUIET_PROBES).await?;
    fleet.kill(1).await;
    TestClient::open(&fleet).await?.fill(&fleet, 0, entries).await?;
    // A director can't catch up from one that is still catching up itself.
    while fleet.admin_call(0, "check").await? == "YES catching up\n" {
        sleep(CATCH_UP_POLL * 10).await;
    }
    let started_at = Instant::now();
    fleet.start_directors(&[1]).await?;
    let meanwhile = tokio::task::spawn_local(probe_alive(fleet.clients(1)?, CATCH_UP_PROBES));
    let source = tokio::task::spawn_local(probe_alive(fleet.clients(0)?, CATCH_UP_PROBES));
    wait_until_caught_up(&fleet, 1, started_at).await?;
    let took = started_at.elapsed();
    Ok(CatchUpReport {
        entries: fleet.purge_count(1).await?,
        ms: took.as_secs_f64() * 1e3,
        memory_mb: fleet.memory(0).unwrap_or(0.0),
        quiet,
        meanwhile: meanwhile.await??,
        source: source.await??,
    })
}

async fn wait_until_caught_up(fleet: &Fleet, n: usize, started_at: Instant) -> Result<(), TestbedError> {
    while fleet.admin_call(n, "check").await? != "YES caught up\n" {
        if started_at.elapsed() > DEADLINE {
            return Err(format!(
                "director {n} did not catch up within {DEADLINE:?}: {}; its log:\n{}",
                fleet.peers_json(n).await?,
                fleet.log(n)
            )
            .into());
        }
        sleep(CATCH_UP_POLL).await;
    }
    Ok(())
}

/// Sends `GET /alive` to a director's address for clients each millisecond, for `duration`.
async fn probe_alive(address: String, duration: Duration) -> Result<Latencies, TestbedError> {
    let mut stream = TcpStream::connect(&address).await?;
    stream.set_nodelay(true)?;
    let (mut all, started_at) = (Histogram::<u64>::new(3)?, Instant::now());
    let mut bytes = vec![0; 4096];
    while started_at.elapsed() < duration {
        let sent = Instant::now();
        stream.write_all(b"GET /alive HTTP/1.1\r\nHost: lab\r\n\r\n").await?;
        if stream.read(&mut bytes).await? == 0 {
            return Err("the director closed the connection before it answered GET /alive".into());
        }
        all.record(sent.elapsed().as_micros() as u64)?;
        sleep(Duration::from_millis(1)).await;
    }
    Ok(latencies(&all))
}

fn latencies(all: &Histogram<u64>) -> Latencies {
    let ms = |us: u64| us as f64 / 1e3;
    Latencies {
        count: all.len(),
        p50: ms(all.value_at_quantile(0.5)),
        p99: ms(all.value_at_quantile(0.99)),
        max: ms(all.max()),
    }
}

/// Counters of the whole fleet at a moment; [`ResourceUse`] is the difference of two readings.
struct ResourceMeter {
    at: Instant,
    arrived: (u64, u64),
    processor: f64,
}

impl ResourceMeter {
    fn read(fleet: &Fleet) -> ResourceMeter {
        let all = (0..fleet.len()).map(|n| fleet.net.arrived(n));
        let arrived = all.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let processor = (0..fleet.len()).filter_map(|n| fleet.processor_time(n)).sum();
        ResourceMeter { at: Instant::now(), arrived, processor }
    }

    fn since(self, fleet: &Fleet) -> ResourceUse {
        let now = ResourceMeter::read(fleet);
        let per = (now.at - self.at).as_secs_f64() * fleet.len() as f64;
        ResourceUse {
            bytes: (now.arrived.1 - self.arrived.1) as f64 / per,
            datagrams: (now.arrived.0 - self.arrived.0) as f64 / per,
            processor: (now.processor - self.processor) / per,
        }
    }
}

/// Runs a scenario. Needs a `LocalSet`; all directors are killed when the future is dropped.
pub async fn run(director: &Path, scenario: &Scenario) -> Result<SpreadReport, TestbedError> {
    let config = FleetConfig { directors: scenario.directors, seed: scenario.seed, ..FleetConfig::default() };
    let started_at = Instant::now();
    let fleet = Fleet::start(director, config).await?;
    let everyone: Vec<usize> = (0..fleet.len()).collect();
    fleet.wait_until_joined(&everyone, fleet.len() - 1, JOIN_TIMEOUT).await?;
    let joined_s = started_at.elapsed().as_secs_f64();
    // Until then, membership updates about the joins are still spreading.
    sleep(SETTLING_TIME).await;
    fleet.net.set_all(LinkConditions { loss: scenario.lost, ..LinkConditions::default() });
    let idle = measure_idle(&fleet, scenario.seconds).await;
    let spread = measure_spread(&fleet, scenario.updates).await?;
    let busy = measure_busy(&fleet, scenario.seconds, scenario.rate).await?;
    let memory = everyone.iter().filter_map(|n| fleet.memory(*n)).sum::<f64>();
    Ok(SpreadReport {
        directors: scenario.directors,
        lost: scenario.lost,
        joined_s,
        each: latencies(&spread.each),
        last: latencies(&spread.last),
        missed: spread.missed,
        idle,
        busy,
        memory_mb: memory / fleet.len() as f64,
    })
}

/// Measures the resource use of directors without updates.
async fn measure_idle(fleet: &Fleet, seconds: u64) -> ResourceUse {
    let meter = ResourceMeter::read(fleet);
    sleep(Duration::from_secs(seconds)).await;
    meter.since(fleet)
}

/// Latencies of updates, in microseconds; the fields are those of [`SpreadReport`].
struct Spread {
    each: Histogram<u64>,
    last: Histogram<u64>,
    missed: usize,
}

/// Sends updates one after the other, each to another director, and waits for each until all hold it.
async fn measure_spread(fleet: &Fleet, updates: usize) -> Result<Spread, TestbedError> {
    let (each, last) = (Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?);
    let mut spread = Spread { each, last, missed: 0 };
    for update in 0..updates {
        measure_update(fleet, update, &mut spread).await?;
        sleep(UPDATE_PAUSE).await;
    }
    Ok(spread)
}

/// Sends one update, and waits until all directors have logged it or the deadline has passed.
async fn measure_update(fleet: &Fleet, update: usize, spread: &mut Spread) -> Result<(), TestbedError> {
    let end = format!("drain override set server=update-{update}");
    let sent = Instant::now();
    fleet.admin_call((update * 7) % fleet.len(), &format!("drain update-{update}")).await?;
    let mut waiting: Vec<usize> = (0..fleet.len()).collect();
    let mut latest = Duration::ZERO;
    while !waiting.is_empty() && sent.elapsed() < DEADLINE {
        sleep(LOG_POLL).await;
        waiting.retain(|n| {
            let Some(at) = fleet.logged(*n, &end) else { return true };
            let latency = at.saturating_duration_since(sent);
            latest = latest.max(latency);
            spread.each.record(latency.as_micros() as u64).unwrap_or_default();
            false
        });
    }
    spread.missed += usize::from(!waiting.is_empty());
    spread.last.record(latest.as_micros() as u64)?;
    Ok(())
}

/// Measures the resource use of directors with `rate` purges a second.
async fn measure_busy(fleet: &Fleet, seconds: u64, rate: u32) -> Result<ResourceUse, TestbedError> {
    let meter = ResourceMeter::read(fleet);
    for n in 0..seconds * u64::from(rate) {
        let due = meter.at + Duration::from_secs(n + 1) / rate;
        fleet.admin_call((n as usize * 11) % fleet.len(), &format!("purge group {n}")).await?;
        tokio::time::sleep_until(due.into()).await;
    }
    Ok(meter.since(fleet))
}
