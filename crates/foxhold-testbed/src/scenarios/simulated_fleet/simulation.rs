//! The run of a simulated fleet: handles the events of one queue in order, within resource bounds.

use super::clock::{Clock, UNIX_START};
use super::director::{member, Director, Output};
use super::measurement::{times_histogram, Ended, KeyForm, Means, Measurement, Purge, ResourceUse, Times};
use super::network::{Delivery, Network, HEADERS};
use super::scenario::Fault;
use super::{Host, Options, Size};
use foxhold::cluster::frame::FrameCodec;
use foxhold::cluster::members::Timer;
use foxhold::cluster::TICK;
use foxhold::policy::types::Micros;
use foxhold::replication::entry::Key;
use hdrhistogram::Histogram;
use indicatif::ProgressBar;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::time::{clock_gettime, ClockId};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const SECOND: Micros = 1_000_000;
/// Number of events after which the bounds on time and memory are checked.
const BOUNDS_CHECK_INTERVAL: u64 = 1_024;
/// The fleet's key. Its value needs no secrecy; authentication takes the same processor time as with a real
/// key.
const KEY: [u8; 32] = [7; 32];

enum Event {
    Datagram { to: usize, bytes: Vec<u8> },
    Tick { director: usize, start: u32 },
    Timer { director: usize, start: u32, timer: Timer },
    Purge,
    Fault(Fault),
}

/// The state of one director of the fleet; `director` is `None` while it is killed.
struct Slot {
    director: Option<Box<Director>>,
    /// Number of starts so far. Ticks and timers of an earlier start are ignored.
    start: u32,
    started: Micros,
}

/// Measurements that are recorded during a run.
struct RunStatistics {
    form: KeyForm,
    resource_use: Vec<ResourceUse>,
    longest_handler_ns: u64,
    bytes_between_regions: u64,
    purges: Vec<Purge>,
    to_each: Histogram<u64>,
    healed: Option<Micros>,
    events: u64,
    catching_up: usize,
}

/// One run of a simulated fleet.
pub struct Simulation<'a> {
    options: &'a Options,
    size: Size,
    host: &'a Host,
    clock: Clock<Event>,
    network: Network,
    slots: Vec<Slot>,
    codec: Rc<FrameCodec>,
    random: StdRng,
    statistics: RunStatistics,
    started_at: Instant,
    allocated_before: usize,
    ended: Option<Ended>,
}

fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

impl<'a> Simulation<'a> {
    /// Creates a fleet of the given size; [`Simulation::run`] starts its directors.
    pub fn new(options: &'a Options, size: Size, host: &'a Host) -> Simulation<'a> {
        let directors = size.directors as usize;
        let statistics = RunStatistics {
            form: if options.groups { KeyForm::Groups } else { KeyForm::Objects },
            resource_use: vec![ResourceUse::default(); directors],
            longest_handler_ns: 0,
            bytes_between_regions: 0,
            purges: Vec::new(),
            to_each: times_histogram(),
            healed: None,
            events: 0,
            catching_up: 0,
        };
        Simulation {
            options,
            size,
            host,
            clock: Clock::new(options.bounds.max_events),
            network: Network::new(&options.topology, directors, options.lost, options.seed),
            slots: (0..directors).map(|_| Slot { director: None, start: 0, started: 0 }).collect(),
            codec: Rc::new(FrameCodec::new("hollow", &[KEY.to_vec()]).expect("the key has a valid length")),
            random: StdRng::seed_from_u64(options.seed ^ 0x686f_6c6c_6f77),
            statistics,
            started_at: Instant::now(),
            allocated_before: (host.allocated)(),
            ended: None,
        }
    }

    /// Runs the simulation to its end or to the first bound, and returns the results.
    pub fn run(mut self, bar: &ProgressBar) -> Measurement {
        let (warm_up, length) = (self.seconds(self.options.warm_up), self.seconds(self.options.seconds));
        self.start_all();
        self.schedule(0, Event::Purge);
        self.run_until(warm_up, bar);
        self.statistics.catching_up = self.running().filter(|director| director.catches_up()).count();
        self.statistics.resource_use.fill(ResourceUse::default());
        (self.statistics.bytes_between_regions, self.statistics.longest_handler_ns) = (0, 0);
        let measured_from = self.statistics.purges.len();
        let faults = self.options.scenario.faults(&self.network, self.slots.len(), length, &mut self.random);
        faults.into_iter().for_each(|(after, fault)| self.schedule(after, Event::Fault(fault)));
        self.run_until(warm_up + length, bar);
        let means = Means::of(&self.statistics.resource_use, self.clock.now().saturating_sub(warm_up));
        let bytes_between_regions = self.statistics.bytes_between_regions;
        self.run_until(warm_up + length + self.seconds(self.options.arrival_seconds), bar);
        self.finish(&means, bytes_between_regions, measured_from)
    }

    fn seconds(&self, seconds: u32) -> Micros {
        Micros::from(seconds) * SECOND
    }

    fn last_purge_time(&self) -> Micros {
        self.seconds(self.options.warm_up) + self.seconds(self.options.seconds)
    }

    fn start_all(&mut self) {
        let directors = self.slots.len();
        for n in 0..directors {
            self.start(n);
            if self.out_of_bounds() {
                return;
            }
            let others = (0..directors).filter(|other| *other != n).map(|other| member(other, UNIX_START));
            let output = self.slots[n].director.as_mut().map(|director| director.add_members(others));
            self.apply_output(n, output.unwrap_or_default());
            self.add_initial_entries(n);
        }
    }

    fn start(&mut self, n: usize) {
        let now = self.clock.host_time();
        let seed = self.options.seed.wrapping_add(now.monotonic);
        let director = Director::new(n, self.slots.len(), self.codec.clone(), seed, now);
        let slot = &mut self.slots[n];
        *slot = Slot { director: Some(Box::new(director)), start: slot.start + 1, started: self.clock.now() };
        let start = slot.start;
        // The first tick is random, so that directors do not tick simultaneously.
        let first = self.random.random_range(0..TICK.as_micros() as Micros);
        self.schedule(first, Event::Tick { director: n, start });
    }

    /// Adds the initial entries: purges from before the run, spread evenly over the time for which they are
    /// kept.
    fn add_initial_entries(&mut self, n: usize) {
        let now = self.clock.host_time();
        let Some(director) = self.slots[n].director.as_mut() else { return };
        let retention = director.state().bounds().purge_retention;
        for held in 0..self.size.initial_entries {
            let age = retention * Micros::from(held) / Micros::from(self.size.initial_entries);
            director.add_purge(Key::Object(format!("held-{held:011}")), now.unix - age, now);
        }
    }

    /// Lets a director handle an event, measures its processor time, and carries out the effects.
    fn handle(&mut self, n: usize, work: impl FnOnce(&mut Director) -> Output) {
        let Some(director) = self.slots[n].director.as_mut() else { return };
        let before = processor_time();
        let output = work(director);
        let took = processor_time().saturating_sub(before).as_nanos() as u64;
        self.statistics.resource_use[n].processor_ns += took;
        self.statistics.longest_handler_ns = self.statistics.longest_handler_ns.max(took);
        self.apply_output(n, output);
    }

    fn apply_output(&mut self, n: usize, output: Output) {
        for key in &output.learned {
            self.learned(n, key);
        }
        let start = self.slots[n].start;
        for (after, timer) in output.timers {
            self.schedule(after, Event::Timer { director: n, start, timer });
        }
        for (to, bytes) in output.datagrams {
            self.statistics.resource_use[n].sent(bytes.len());
            if to >= self.slots.len() {
                continue;
            }
            if self.network.between_regions(n, to) {
                self.statistics.bytes_between_regions += (bytes.len() + HEADERS) as u64;
            }
            if let Delivery::Arrives(after) = self.network.send(n, to) {
                self.schedule(after, Event::Datagram { to, bytes });
            }
        }
    }

    fn learned(&mut self, n: usize, key: &Key) {
        let Some(purge) =
            self.statistics.form.purge(key).and_then(|purge| self.statistics.purges.get_mut(purge))
        else {
            return;
        };
        // Directors that started after the purge receive it by catching up, which is not part of the time of
        // a purge.
        if self.slots[n].started <= purge.published_at {
            let now = self.clock.now();
            purge.latest = now;
            self.statistics.to_each.saturating_record(now - purge.published_at);
        }
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        if !self.clock.schedule(after, event) {
            self.ended = Some(Ended::EventsBound);
        }
    }

    fn run_until(&mut self, end: Micros, bar: &ProgressBar) {
        let mut second = self.clock.now() / SECOND;
        while !self.out_of_bounds() {
            let Some(event) = self.clock.next_until(end) else { break };
            self.statistics.events += 1;
            self.event(event);
            let now = self.clock.now() / SECOND;
            bar.inc(now - std::mem::replace(&mut second, now));
        }
        bar.inc(self.clock.now() / SECOND - second);
    }

    fn event(&mut self, event: Event) {
        let now = self.clock.host_time();
        match event {
            Event::Datagram { to, bytes } => {
                if self.slots[to].director.is_some() {
                    self.statistics.resource_use[to].arrived(bytes.len());
                }
                self.handle(to, |director| director.handle_datagram(&bytes, now));
            }
            Event::Tick { director, start } => {
                if self.slots[director].start == start && self.slots[director].director.is_some() {
                    self.handle(director, |director| director.tick(now));
                    self.schedule(TICK.as_micros() as Micros, Event::Tick { director, start });
                }
            }
            Event::Timer { director, start, timer } => {
                if self.slots[director].start == start {
                    self.handle(director, |director| director.handle_timer(timer));
                }
            }
            Event::Purge => self.purge(),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn purge(&mut self) {
        let now = self.clock.host_time();
        let rate = self.options.scenario.purges(self.size.purges);
        if rate == 0 || self.clock.now() >= self.last_purge_time() {
            return;
        }
        self.schedule(SECOND / Micros::from(rate), Event::Purge);
        let Some(n) = self.purge_target() else { return };
        let key = self.statistics.form.key(self.statistics.purges.len());
        let published_at = self.clock.now();
        self.statistics.purges.push(Purge { published_at, latest: published_at });
        self.handle(n, |director| director.purge(key, now));
    }

    /// Draws a running director that may receive purges, or returns `None` if there is none.
    fn purge_target(&mut self) -> Option<usize> {
        let region = self.options.scenario.purged_region();
        let eligible = |n: &usize| {
            let in_region = region.is_none_or(|region| self.network.place(*n).region == region);
            in_region && self.slots[*n].director.is_some()
        };
        let candidates: Vec<usize> = (0..self.slots.len()).filter(eligible).collect();
        (!candidates.is_empty()).then(|| candidates[self.random.random_range(0..candidates.len())])
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n) => self.slots[n].director = None,
            Fault::Restart(n) => self.start(n),
            Fault::Isolate(region) => self.network.isolate(region),
            Fault::Heal => {
                self.network.heal();
                self.statistics.healed = Some(self.clock.now());
            }
        }
    }

    fn out_of_bounds(&mut self) -> bool {
        if self.ended.is_none() && self.statistics.events.is_multiple_of(BOUNDS_CHECK_INTERVAL) {
            let bounds = &self.options.bounds;
            if self.host.interrupted.load(Ordering::Relaxed) {
                self.ended = Some(Ended::Interrupted);
            } else if (self.host.allocated)() >> 20 > bounds.max_memory_mb {
                self.ended = Some(Ended::MemoryBound);
            } else if self.started_at.elapsed().as_secs() >= bounds.max_wall_s {
                self.ended = Some(Ended::WallBound);
            }
        }
        self.ended.is_some()
    }

    fn running(&self) -> impl Iterator<Item = &Director> {
        self.slots.iter().filter_map(|slot| slot.director.as_deref())
    }

    /// Counts the measured purges that at least one running director lacks, without those whose retention
    /// time is over.
    fn missed(&self, measured_from: usize) -> usize {
        let Some(retention) = self.running().next().map(|director| director.state().bounds().purge_retention)
        else {
            return 0;
        };
        let lacks = |purge: &usize| {
            let key = self.statistics.form.key(*purge);
            self.running().any(|director| director.state().get(&key).is_none())
        };
        let over =
            |purge: &usize| self.statistics.purges[*purge].published_at + retention <= self.clock.now();
        (measured_from..self.statistics.purges.len()).filter(|purge| !over(purge)).filter(lacks).count()
    }

    fn finish(mut self, means: &Means, bytes_between_regions: u64, measured_from: usize) -> Measurement {
        self.clock.clear();
        let allocated = (self.host.allocated)().saturating_sub(self.allocated_before) as f64;
        let running: Vec<&Director> = self.running().collect();
        let per = running.len().max(1) as f64;
        let purges = self.statistics.purges.get(measured_from..).unwrap_or_default();
        let heal = self.statistics.healed;
        let late = heal.and_then(|at| {
            purges.iter().filter(|p| p.published_at <= at).map(|p| p.latest.saturating_sub(at)).max()
        });
        let mut measurement = Measurement {
            directors: self.size.directors,
            purges: self.options.scenario.purges(self.size.purges),
            initial_entries: self.size.initial_entries,
            ended: self.ended.unwrap_or(Ended::Complete),
            catching_up: self.statistics.catching_up,
            seconds: 0.0,
            bytes_in: 0.0,
            bytes_out: 0.0,
            payload_in: 0.0,
            datagrams_in: 0.0,
            datagrams_out: 0.0,
            busiest_bytes: 0.0,
            between_regions: 0.0,
            processor: 0.0,
            longest_handler_ms: self.statistics.longest_handler_ns as f64 / 1e6,
            memory_mb: allocated / per / f64::from(1 << 20),
            entries: running.iter().map(|d| d.state().len() as f64).sum::<f64>() / per,
            entry_bytes: running.iter().map(|d| d.state().bytes() as f64).sum::<f64>() / per,
            to_all: Times::of(purges.iter().map(|purge| purge.latest - purge.published_at)),
            to_each: Times::read(&self.statistics.to_each),
            missed: self.missed(measured_from),
            healed_ms: late.map(|late| late as f64 / 1e3),
            events: self.statistics.events,
            wall_s: self.started_at.elapsed().as_secs_f64(),
        };
        means.fill(&mut measurement, bytes_between_regions);
        measurement
    }
}
