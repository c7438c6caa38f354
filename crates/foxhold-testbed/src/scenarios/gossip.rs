//! Scenarios of directors that share state, at any number of them: what that costs, how fast an update is
//! with all, and how fast one that starts catches up. The command is `foxhold-testbed talk`.

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

/// An update that not all hold within this is missed, and catching up takes no longer.
const DEADLINE: Duration = Duration::from_secs(10);
/// All directors know each other within this.
const JOIN_TIMEOUT: Duration = Duration::from_secs(120);
/// Between joining and the first measurement.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Between two updates, and between two looks at the directors' logs.
const UPDATE_PAUSE: Duration = Duration::from_millis(100);
const LOG_POLL: Duration = Duration::from_millis(5);
/// Between two looks at how far a director has come.
const CATCH_UP_POLL: Duration = Duration::from_millis(5);
/// A director that catches up is probed for so long, before and meanwhile.
const QUIET_PROBES: Duration = Duration::from_secs(2);
const CATCH_UP_PROBES: Duration = Duration::from_secs(1);
/// No director is given room for less than twice so many entries.
const MIN_ENTRY_BOUND: u32 = 1_000;

/// A scenario: so many updates, each sent to another director, and what reaches the others.
#[derive(Clone, Debug, clap::Args)]
pub struct Scenario {
    /// Directors
    #[arg(long, default_value_t = 30)]
    pub directors: usize,
    /// Share of messages that is lost
    #[arg(long, default_value_t = 0.0)]
    pub lost: f64,
    /// Updates, each sent to another director, one after the other
    #[arg(long, alias = "words", default_value_t = 20)]
    pub updates: usize,
    /// Seconds without an update, in which idle traffic is measured, and as many with purges
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Purges a second meanwhile
    #[arg(long, default_value_t = 10)]
    pub rate: u32,
    /// Seed of losses
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Latencies of many operations, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Latencies {
    /// Operations.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

/// What one director used, on the mean over some seconds.
#[derive(Clone, Debug, Serialize)]
pub struct ResourceUse {
    /// Bytes that arrived, a second.
    pub bytes: f64,
    /// Datagrams that arrived, a second.
    pub datagrams: f64,
    /// Share of a core.
    pub processor: f64,
}

/// What a scenario measured.
#[derive(Clone, Debug, Serialize)]
pub struct SpreadReport {
    /// Directors.
    pub directors: usize,
    /// Share of messages lost.
    pub lost: f64,
    /// Seconds until each director knew all others.
    pub joined_s: f64,
    /// From an update sent to one director until each other held it.
    pub each: Latencies,
    /// From an update sent until the last director held it.
    pub last: Latencies,
    /// Updates that some director did not hold within 10 s.
    pub missed: usize,
    /// Without updates.
    pub idle: ResourceUse,
    /// With purges, at the rate that was asked for.
    pub busy: ResourceUse,
    /// MB of a director at the end.
    pub memory_mb: f64,
}

/// What catching up with many entries took: a replica's state transfer.
#[derive(Clone, Debug, Serialize)]
pub struct CatchUpReport {
    /// Entries.
    pub entries: u64,
    /// Milliseconds from the start of the process until it had all.
    pub ms: f64,
    /// MB of the one that had them.
    pub memory_mb: f64,
    /// `GET /alive` at the director that catches up, one each millisecond: without entries to catch up with.
    pub quiet: Latencies,
    /// The same while it caught up.
    pub meanwhile: Latencies,
    /// The same at the director that it caught up from, meanwhile.
    pub source: Latencies,
}

/// One director holds so many purges; another starts, catches up, and is probed meanwhile. Needs a
/// `LocalSet`.
pub async fn catch_up(director: &Path, entries: u32) -> Result<CatchUpReport, TestbedError> {
    let keys = format!("entries: {}", entries.max(MIN_ENTRY_BOUND) * 2);
    let mut fleet =
        Fleet::prepare(director, FleetConfig { directors: 2, keys, ..FleetConfig::default() }).await?;
    fleet.start_some(&[0]).await?;
    fleet.start_some(&[1]).await?;
    let quiet = probe_alive(fleet.clients(1)?, QUIET_PROBES).await?;
    fleet.kill(1).await;
    TestClient::open(&fleet).await?.fill(&fleet, 0, entries).await?;
    // No director can catch up from one that is not sure itself that it has all.
    while fleet.admin_call(0, "check").await? == "YES catching up\n" {
        sleep(CATCH_UP_POLL * 10).await;
    }
    let begun = Instant::now();
    fleet.start_some(&[1]).await?;
    let meanwhile = tokio::task::spawn_local(probe_alive(fleet.clients(1)?, CATCH_UP_PROBES));
    let source = tokio::task::spawn_local(probe_alive(fleet.clients(0)?, CATCH_UP_PROBES));
    wait_until_caught_up(&fleet, 1, begun).await?;
    let took = begun.elapsed();
    Ok(CatchUpReport {
        entries: fleet.purge_count(1).await?,
        ms: took.as_secs_f64() * 1e3,
        memory_mb: fleet.memory(0).unwrap_or(0.0),
        quiet,
        meanwhile: meanwhile.await??,
        source: source.await??,
    })
}

async fn wait_until_caught_up(fleet: &Fleet, n: usize, begun: Instant) -> Result<(), TestbedError> {
    while fleet.admin_call(n, "check").await? != "YES caught up\n" {
        if begun.elapsed() > DEADLINE {
            return Err(format!("not within 10 s: {}\n{}", fleet.shown(n).await?, fleet.log(n)).into());
        }
        sleep(CATCH_UP_POLL).await;
    }
    Ok(())
}

/// `GET /alive` at a director's front, one each millisecond, for so long.
async fn probe_alive(address: String, long: Duration) -> Result<Latencies, TestbedError> {
    let mut stream = TcpStream::connect(&address).await?;
    stream.set_nodelay(true)?;
    let (mut all, begun) = (Histogram::<u64>::new(3)?, Instant::now());
    let mut bytes = vec![0; 4096];
    while begun.elapsed() < long {
        let asked = Instant::now();
        stream.write_all(b"GET /alive HTTP/1.1\r\nHost: lab\r\n\r\n").await?;
        if stream.read(&mut bytes).await? == 0 {
            return Err("the director closed the connection".into());
        }
        all.record(asked.elapsed().as_micros() as u64)?;
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

/// The cost of one director over a time.
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

/// Runs a scenario. Needs a `LocalSet`; all directors are ended when it is dropped.
pub async fn run(director: &Path, scenario: &Scenario) -> Result<SpreadReport, TestbedError> {
    let config = FleetConfig { directors: scenario.directors, seed: scenario.seed, ..FleetConfig::default() };
    let begun = Instant::now();
    let fleet = Fleet::start(director, config).await?;
    let everyone: Vec<usize> = (0..fleet.len()).collect();
    fleet.joined(&everyone, fleet.len() - 1, JOIN_TIMEOUT).await?;
    let joined_s = begun.elapsed().as_secs_f64();
    // Membership updates about who joined die down.
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

/// What directors use without updates.
async fn measure_idle(fleet: &Fleet, seconds: u64) -> ResourceUse {
    let meter = ResourceMeter::read(fleet);
    sleep(Duration::from_secs(seconds)).await;
    meter.since(fleet)
}

/// How fast updates were with the other directors, in microseconds.
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
    let mut without: Vec<usize> = (0..fleet.len()).collect();
    let mut latest = Duration::ZERO;
    while !without.is_empty() && sent.elapsed() < DEADLINE {
        sleep(LOG_POLL).await;
        without.retain(|n| {
            let Some(at) = fleet.logged(*n, &end) else { return true };
            let latency = at.saturating_duration_since(sent);
            latest = latest.max(latency);
            spread.each.record(latency.as_micros() as u64).unwrap_or_default();
            false
        });
    }
    spread.missed += usize::from(!without.is_empty());
    spread.last.record(latest.as_micros() as u64)?;
    Ok(())
}

/// What directors use with so many purges a second.
async fn measure_busy(fleet: &Fleet, seconds: u64, rate: u32) -> Result<ResourceUse, TestbedError> {
    let meter = ResourceMeter::read(fleet);
    for n in 0..seconds * u64::from(rate) {
        let due = meter.at + Duration::from_secs(n + 1) / rate;
        fleet.admin_call((n as usize * 11) % fleet.len(), &format!("purge group {n}")).await?;
        tokio::time::sleep_until(due.into()).await;
    }
    Ok(meter.since(fleet))
}
