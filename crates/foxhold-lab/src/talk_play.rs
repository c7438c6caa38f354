//! What directors that talk cost and how fast a word is with all of them, at any number: `foxhold-lab talk`.

use crate::replay::Failure;
use crate::talk::{Fleet, Setup, Way};
use foxhold::peers::frame::{Body, Message, Seal};
use foxhold::peers::members::Member;
use foxhold::replica::talk::Say;
use foxhold::replica::word::{Key, Word};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// What is played.
#[derive(Clone, Debug, clap::Args)]
pub struct Play {
    /// Directors
    #[arg(long, default_value_t = 30)]
    pub directors: usize,
    /// Share of messages that is lost
    #[arg(long, default_value_t = 0.0)]
    pub lost: f64,
    /// Words told, each to another director, one after the other
    #[arg(long, default_value_t = 20)]
    pub words: usize,
    /// Seconds without a word, in which idle traffic is measured, and as many with purges
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Purges a second meanwhile
    #[arg(long, default_value_t = 10)]
    pub rate: u32,
    /// Seed of losses
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Times {
    /// Of how many.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99 of 100.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

/// What one director took on the mean over some seconds.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// Bytes that arrived, a second.
    pub bytes: f64,
    /// Datagrams that arrived, a second.
    pub datagrams: f64,
    /// Share of a core.
    pub processor: f64,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    /// Directors.
    pub directors: usize,
    /// Share of messages lost.
    pub lost: f64,
    /// Seconds until each saw all others.
    pub joined_s: f64,
    /// From a word told to one director until each other held it.
    pub each: Times,
    /// From a word told until the last held it.
    pub last: Times,
    /// Words that some director did not hold within 10 s.
    pub missed: usize,
    /// Without a word.
    pub idle: Cost,
    /// With purges, at the rate that was asked for.
    pub busy: Cost,
    /// MB of a director at the end.
    pub memory_mb: f64,
}

/// What catching up with many entries took.
#[derive(Clone, Debug, Serialize)]
pub struct CaughtUp {
    /// Entries.
    pub entries: u64,
    /// Milliseconds from the start of the process until it had all.
    pub ms: f64,
    /// MB of the one that had them.
    pub memory_mb: f64,
    /// `GET /alive` at the director that catches up, one each millisecond: without entries to catch up with.
    pub quiet: Times,
    /// The same while it caught up.
    pub meanwhile: Times,
    /// The same at the director that it caught up from, meanwhile.
    pub source: Times,
}

/// One director holds so many purges; another starts, catches up, and is asked meanwhile.
pub async fn catch_up(director: &Path, entries: u32) -> Result<CaughtUp, Failure> {
    let keys = format!("entries: {}", entries.max(1_000) * 2);
    let mut fleet = Fleet::prepare(director, Setup { directors: 2, keys, ..Setup::default() }).await?;
    fleet.start_some(&[0]).await?;
    fleet.start_some(&[1]).await?;
    let quiet = alive(fleet.clients(1)?, Duration::from_secs(2)).await?;
    fleet.kill(1).await;
    Friend::new(&fleet)?.fill(&fleet, 0, entries).await?;
    // Nobody can catch up from one that is not sure itself that it has all.
    while fleet.ask(0, "check").await? == "YES catching up\n" {
        sleep(Duration::from_millis(50)).await;
    }
    let begun = Instant::now();
    fleet.start_some(&[1]).await?;
    let (meanwhile, source) =
        (alive(fleet.clients(1)?, Duration::from_secs(1)), alive(fleet.clients(0)?, Duration::from_secs(1)));
    let meanwhile = tokio::task::spawn_local(meanwhile);
    let source = tokio::task::spawn_local(source);
    let mut took = Duration::ZERO;
    while took.is_zero() {
        if fleet.ask(1, "check").await? == "YES caught up\n" {
            took = begun.elapsed();
        }
        if begun.elapsed() > Duration::from_secs(10) {
            return Err(format!("not within 10 s: {}\n{}", fleet.shown(1).await?, fleet.log(1)).into());
        }
        sleep(Duration::from_millis(5)).await;
    }
    Ok(CaughtUp {
        entries: purges_held(&fleet, 1).await?,
        ms: took.as_secs_f64() * 1e3,
        memory_mb: fleet.memory(0).unwrap_or(0.0),
        quiet,
        meanwhile: meanwhile.await??,
        source: source.await??,
    })
}

/// `GET /alive` at a director's front, one each millisecond, for so long.
async fn alive(address: String, long: Duration) -> Result<Times, Failure> {
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
    Ok(times(&all))
}

async fn purges_held(fleet: &Fleet, n: usize) -> Result<u64, Failure> {
    Ok(fleet.shown(n).await?["entries"]["purges"].as_u64().unwrap_or(0))
}

/// Someone with a fleet's key who tells directors of many purges.
pub struct Friend {
    socket: std::net::UdpSocket,
    seal: Seal,
    from: Member,
    number: u64,
}

impl Friend {
    /// Of this fleet.
    pub fn new(fleet: &Fleet) -> Result<Friend, Failure> {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
        let from = Member::new("friend", socket.local_addr()?, 1);
        let seal = Seal::new("lab", &fleet.keys()?).ok_or("no key")?;
        Ok(Friend { socket, seal, from, number: 0 })
    }

    /// Seals a message as the next of this sender.
    pub fn sealed(&mut self, say: Say) -> Result<Vec<u8>, Failure> {
        self.number += 1;
        let message = Message { from: self.from.clone(), run: 1, number: self.number, body: Body::Say(say) };
        self.seal.seal(&message).ok_or_else(|| "a message is too large".into())
    }

    /// Sends bytes as they are.
    pub fn send(&self, to: SocketAddr, datagram: &[u8]) -> Result<(), Failure> {
        self.socket.send_to(datagram, to)?;
        Ok(())
    }

    /// Tells a director of so many purges, again and again until it holds them all.
    pub async fn fill(&mut self, fleet: &Fleet, n: usize, entries: u32) -> Result<(), Failure> {
        for _ in 0..20 {
            self.purges(fleet.reached_at(n), 0..entries).await?;
            sleep(Duration::from_millis(200)).await;
            if purges_held(fleet, n).await? >= u64::from(entries) {
                return Ok(());
            }
        }
        Err(format!("director {n} holds {} of {entries}", purges_held(fleet, n).await?).into())
    }

    /// Tells of purges of groups, at a pace that a socket's buffer bears; some may be lost all the same.
    pub async fn purges(&mut self, to: SocketAddr, groups: std::ops::Range<u32>) -> Result<(), Failure> {
        // Of a minute ago, as most are that one who returns hears of.
        let at = (crate::standin::unix_ms() - 60_000) * 1_000;
        let groups: Vec<u32> = groups.collect();
        for (n, some) in groups.chunks(80).enumerate() {
            let words = some.iter().map(|g| (Key::Group(*g), Word::Purged(at))).collect();
            let datagram = self.sealed(Say::Words(words))?;
            self.send(to, &datagram)?;
            if n % 2 == 0 {
                sleep(Duration::from_millis(4)).await;
            }
        }
        Ok(())
    }
}

fn times(all: &Histogram<u64>) -> Times {
    let ms = |us: u64| us as f64 / 1e3;
    Times {
        count: all.len(),
        p50: ms(all.value_at_quantile(0.5)),
        p99: ms(all.value_at_quantile(0.99)),
        max: ms(all.max()),
    }
}

/// The cost of one director over a time.
struct Meter {
    at: Instant,
    arrived: (u64, u64),
    processor: f64,
}

impl Meter {
    fn read(fleet: &Fleet) -> Meter {
        let all = (0..fleet.len()).map(|n| fleet.net.arrived(n));
        let arrived = all.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let processor = (0..fleet.len()).filter_map(|n| fleet.processor_time(n)).sum();
        Meter { at: Instant::now(), arrived, processor }
    }

    fn since(self, fleet: &Fleet) -> Cost {
        let now = Meter::read(fleet);
        let per = (now.at - self.at).as_secs_f64() * fleet.len() as f64;
        Cost {
            bytes: (now.arrived.1 - self.arrived.1) as f64 / per,
            datagrams: (now.arrived.0 - self.arrived.0) as f64 / per,
            processor: (now.processor - self.processor) / per,
        }
    }
}

/// Plays it. Needs a `LocalSet`; all directors are ended when it is dropped.
pub async fn play(director: &Path, play: &Play) -> Result<Measured, Failure> {
    let setup = Setup { directors: play.directors, seed: play.seed, ..Setup::default() };
    let begun = Instant::now();
    let fleet = Fleet::start(director, setup).await?;
    let everyone: Vec<usize> = (0..fleet.len()).collect();
    fleet.joined(&everyone, fleet.len() - 1, Duration::from_secs(120)).await?;
    let joined_s = begun.elapsed().as_secs_f64();
    // News of who joined dies down.
    sleep(Duration::from_secs(5)).await;
    fleet.net.set_all(Way { lost: play.lost, ..Way::default() });
    let meter = Meter::read(&fleet);
    sleep(Duration::from_secs(play.seconds)).await;
    let idle = meter.since(&fleet);
    let mut each = Histogram::<u64>::new(3)?;
    let mut last = Histogram::<u64>::new(3)?;
    let mut missed = 0;
    for word in 0..play.words {
        let end = format!("word-{word} drains by its operators' word");
        let told = Instant::now();
        fleet.ask((word * 7) % fleet.len(), &format!("drain word-{word}")).await?;
        let mut left = everyone.clone();
        let mut latest = Duration::ZERO;
        while !left.is_empty() && told.elapsed() < Duration::from_secs(10) {
            sleep(Duration::from_millis(5)).await;
            left.retain(|n| match fleet.logged(*n, &end) {
                Some(at) => {
                    let took = at.saturating_duration_since(told);
                    latest = latest.max(took);
                    each.record(took.as_micros() as u64).unwrap_or_default();
                    false
                }
                None => true,
            });
        }
        missed += usize::from(!left.is_empty());
        last.record(latest.as_micros() as u64)?;
        sleep(Duration::from_millis(100)).await;
    }
    let meter = Meter::read(&fleet);
    for n in 0..play.seconds * u64::from(play.rate) {
        let due = meter.at + Duration::from_secs(1) * (n as u32 + 1) / play.rate;
        fleet.ask((n as usize * 11) % fleet.len(), &format!("purge group {n}")).await?;
        tokio::time::sleep_until(due.into()).await;
    }
    let busy = meter.since(&fleet);
    let memory = everyone.iter().filter_map(|n| fleet.memory(*n)).sum::<f64>() / fleet.len() as f64;
    Ok(Measured {
        directors: play.directors,
        lost: play.lost,
        joined_s,
        each: times(&each),
        last: times(&last),
        missed,
        idle,
        busy,
        memory_mb: memory,
    })
}
