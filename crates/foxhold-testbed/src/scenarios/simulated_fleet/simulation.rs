//! A fleet's run: one queue of events, handled one after the other, within bounds.

use super::clock::{Clock, UNIX_START};
use super::director::{member, Director, Output};
use super::measurement::{times_histogram, Ended, KeyForm, Means, Measurement, Purge, ResourceUse, Times};
use super::network::{Fate, Network, HEADERS};
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
/// The bounds on time and memory are looked at once in so many events.
const LOOK: u64 = 1_024;
/// The fleet's key; it protects nothing, and costs what a real one does.
const KEY: [u8; 32] = [7; 32];

enum Event {
    Datagram { to: usize, bytes: Vec<u8> },
    Tick { director: usize, start: u32 },
    Timer { director: usize, start: u32, timer: Timer },
    Purge,
    Fault(Fault),
}

/// A director's place: empty while it is killed.
struct Slot {
    director: Option<Box<Director>>,
    /// Starts so far: ticks and timers of an earlier one are void.
    start: u32,
    started: Micros,
}

/// What is noted while it runs.
struct Notes {
    form: KeyForm,
    spent: Vec<ResourceUse>,
    longest_handler_ns: u64,
    crossed: u64,
    purges: Vec<Purge>,
    to_each: Histogram<u64>,
    healed: Option<Micros>,
    events: u64,
    catching_up: usize,
}

/// The run.
pub struct Simulation<'a> {
    options: &'a Options,
    size: Size,
    host: &'a Host,
    clock: Clock<Event>,
    network: Network,
    slots: Vec<Slot>,
    seal: Rc<FrameCodec>,
    random: StdRng,
    notes: Notes,
    begun: Instant,
    allocated_before: usize,
    ended: Option<Ended>,
}

fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

impl<'a> Simulation<'a> {
    /// A fleet in which all know each other and hold what they are to hold from the start.
    pub fn new(options: &'a Options, size: Size, host: &'a Host) -> Simulation<'a> {
        let directors = size.directors as usize;
        let notes = Notes {
            form: if options.groups { KeyForm::Groups } else { KeyForm::Objects },
            spent: vec![ResourceUse::default(); directors],
            longest_handler_ns: 0,
            crossed: 0,
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
            seal: Rc::new(FrameCodec::new("hollow", &[KEY.to_vec()]).expect("a key that is long enough")),
            random: StdRng::seed_from_u64(options.seed ^ 0x686f_6c6c_6f77),
            notes,
            begun: Instant::now(),
            allocated_before: (host.allocated)(),
            ended: None,
        }
    }

    /// Runs it.
    pub fn run(mut self, bar: &ProgressBar) -> Measurement {
        let (warm_up, length) = (self.seconds(self.options.warm_up), self.seconds(self.options.seconds));
        self.start_all();
        self.schedule(0, Event::Purge);
        self.until(warm_up, bar);
        self.notes.catching_up = self.running().filter(|director| director.catches_up()).count();
        self.notes.spent.fill(ResourceUse::default());
        (self.notes.crossed, self.notes.longest_handler_ns) = (0, 0);
        let measured_from = self.notes.purges.len();
        let faults = self.options.scenario.faults(&self.network, self.slots.len(), length, &mut self.random);
        faults.into_iter().for_each(|(after, fault)| self.schedule(after, Event::Fault(fault)));
        self.until(warm_up + length, bar);
        let means = Means::of(&self.notes.spent, self.clock.now().saturating_sub(warm_up));
        let crossed = self.notes.crossed;
        self.until(warm_up + length + self.seconds(self.options.arrival_seconds), bar);
        self.finish(&means, crossed, measured_from)
    }

    fn seconds(&self, seconds: u32) -> Micros {
        Micros::from(seconds) * SECOND
    }

    fn telling_ends(&self) -> Micros {
        self.seconds(self.options.warm_up) + self.seconds(self.options.seconds)
    }

    // ---- directors ----

    fn start_all(&mut self) {
        let many = self.slots.len();
        for n in 0..many {
            self.start(n);
            if self.out_of_bounds() {
                return;
            }
            let others = (0..many).filter(|other| *other != n).map(|other| member(other, UNIX_START));
            let output = self.slots[n].director.as_mut().map(|director| director.know(others));
            self.carry(n, output.unwrap_or_default());
            self.hold(n);
        }
    }

    fn start(&mut self, n: usize) {
        let now = self.clock.host_time();
        let seed = self.options.seed.wrapping_add(now.monotonic);
        let director = Director::new(n, self.slots.len(), self.seal.clone(), seed, now);
        let slot = &mut self.slots[n];
        *slot = Slot { director: Some(Box::new(director)), start: slot.start + 1, started: self.clock.now() };
        let start = slot.start;
        // Directors do not tick in step.
        let first = self.random.random_range(0..TICK.as_micros() as Micros);
        self.schedule(first, Event::Tick { director: n, start });
    }

    /// Purges of the time before the run, told evenly over as long as they are kept.
    fn hold(&mut self, n: usize) {
        let now = self.clock.host_time();
        let Some(director) = self.slots[n].director.as_mut() else { return };
        let kept = director.state().bounds().purge_retention;
        for held in 0..self.size.initial_entries {
            let age = kept * Micros::from(held) / Micros::from(self.size.initial_entries);
            director.hold(Key::Object(format!("held-{held:011}")), now.unix - age, now);
        }
    }

    /// Has a director handle something, and carries out what it wants done.
    fn handle(&mut self, n: usize, work: impl FnOnce(&mut Director) -> Output) {
        let Some(director) = self.slots[n].director.as_mut() else { return };
        let before = processor_time();
        let output = work(director);
        let took = processor_time().saturating_sub(before).as_nanos() as u64;
        self.notes.spent[n].processor_ns += took;
        self.notes.longest_handler_ns = self.notes.longest_handler_ns.max(took);
        self.carry(n, output);
    }

    fn carry(&mut self, n: usize, output: Output) {
        for key in &output.learned {
            self.learned(n, key);
        }
        let start = self.slots[n].start;
        for (after, timer) in output.timers {
            self.schedule(after, Event::Timer { director: n, start, timer });
        }
        for (to, bytes) in output.datagrams {
            self.notes.spent[n].sent(bytes.len());
            if to >= self.slots.len() {
                continue;
            }
            if self.network.between_regions(n, to) {
                self.notes.crossed += (bytes.len() + HEADERS) as u64;
            }
            if let Fate::Arrives(after) = self.network.send(n, to) {
                self.schedule(after, Event::Datagram { to, bytes });
            }
        }
    }

    fn learned(&mut self, n: usize, key: &Key) {
        let Some(purge) = self.notes.form.purge(key).and_then(|purge| self.notes.purges.get_mut(purge))
        else {
            return;
        };
        // Who started later catches up: that is no part of the purge's own time.
        if self.slots[n].started <= purge.published_at {
            let now = self.clock.now();
            purge.latest = now;
            self.notes.to_each.saturating_record(now - purge.published_at);
        }
    }

    // ---- events ----

    fn schedule(&mut self, after: Micros, event: Event) {
        if !self.clock.schedule(after, event) {
            self.ended = Some(Ended::EventsBound);
        }
    }

    fn until(&mut self, end: Micros, bar: &ProgressBar) {
        let mut second = self.clock.now() / SECOND;
        while !self.out_of_bounds() {
            let Some(event) = self.clock.next_until(end) else { break };
            self.notes.events += 1;
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
                    self.notes.spent[to].arrived(bytes.len());
                }
                self.handle(to, |director| director.datagram(&bytes, now));
            }
            Event::Tick { director, start } => {
                if self.slots[director].start == start && self.slots[director].director.is_some() {
                    self.handle(director, |director| director.tick(now));
                    self.schedule(TICK.as_micros() as Micros, Event::Tick { director, start });
                }
            }
            Event::Timer { director, start, timer } => {
                if self.slots[director].start == start {
                    self.handle(director, |director| director.rang(timer));
                }
            }
            Event::Purge => self.purge(),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn purge(&mut self) {
        let now = self.clock.host_time();
        let rate = self.options.scenario.purges(self.size.purges);
        if rate == 0 || self.clock.now() >= self.telling_ends() {
            return;
        }
        self.schedule(SECOND / Micros::from(rate), Event::Purge);
        let Some(n) = self.purge_target() else { return };
        let key = self.notes.form.key(self.notes.purges.len());
        let told = self.clock.now();
        self.notes.purges.push(Purge { published_at: told, latest: told });
        self.handle(n, |director| director.purge(key, now));
    }

    /// A running director, drawn; none: of those that may be told none runs.
    fn purge_target(&mut self) -> Option<usize> {
        let region = self.options.scenario.purged_region();
        let may = |n: &usize| {
            let there = region.is_none_or(|region| self.network.place(*n).region == region);
            there && self.slots[*n].director.is_some()
        };
        let those: Vec<usize> = (0..self.slots.len()).filter(may).collect();
        (!those.is_empty()).then(|| those[self.random.random_range(0..those.len())])
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n) => self.slots[n].director = None,
            Fault::Restart(n) => self.start(n),
            Fault::Isolate(region) => self.network.isolate(region),
            Fault::Heal => {
                self.network.heal();
                self.notes.healed = Some(self.clock.now());
            }
        }
    }

    fn out_of_bounds(&mut self) -> bool {
        if self.ended.is_none() && self.notes.events.is_multiple_of(LOOK) {
            let bounds = &self.options.bounds;
            if self.host.interrupted.load(Ordering::Relaxed) {
                self.ended = Some(Ended::Interrupted);
            } else if (self.host.allocated)() >> 20 > bounds.max_memory_mb {
                self.ended = Some(Ended::MemoryBound);
            } else if self.begun.elapsed().as_secs() >= bounds.max_wall_s {
                self.ended = Some(Ended::WallBound);
            }
        }
        self.ended.is_some()
    }

    // ---- the end ----

    fn running(&self) -> impl Iterator<Item = &Director> {
        self.slots.iter().filter_map(|slot| slot.director.as_deref())
    }

    /// Measured purges that some running director lacks, but for those that are no longer kept.
    fn missed(&self, measured_from: usize) -> usize {
        let Some(kept) = self.running().next().map(|director| director.state().bounds().purge_retention)
        else {
            return 0;
        };
        let lacks = |purge: &usize| {
            let key = self.notes.form.key(*purge);
            self.running().any(|director| director.state().get(&key).is_none())
        };
        let over = |purge: &usize| self.notes.purges[*purge].published_at + kept <= self.clock.now();
        (measured_from..self.notes.purges.len()).filter(|purge| !over(purge)).filter(lacks).count()
    }

    fn finish(mut self, means: &Means, crossed: u64, measured_from: usize) -> Measurement {
        self.clock.clear();
        let allocated = (self.host.allocated)().saturating_sub(self.allocated_before) as f64;
        let running: Vec<&Director> = self.running().collect();
        let per = running.len().max(1) as f64;
        let purges = self.notes.purges.get(measured_from..).unwrap_or_default();
        let heal = self.notes.healed;
        let late = heal.and_then(|at| {
            purges.iter().filter(|p| p.published_at <= at).map(|p| p.latest.saturating_sub(at)).max()
        });
        let mut measurement = Measurement {
            directors: self.size.directors,
            purges: self.options.scenario.purges(self.size.purges),
            initial_entries: self.size.initial_entries,
            ended: self.ended.unwrap_or(Ended::Complete),
            catching_up: self.notes.catching_up,
            seconds: 0.0,
            bytes_in: 0.0,
            bytes_out: 0.0,
            payload_in: 0.0,
            datagrams_in: 0.0,
            datagrams_out: 0.0,
            busiest_bytes: 0.0,
            between_regions: 0.0,
            processor: 0.0,
            longest_handler_ms: self.notes.longest_handler_ns as f64 / 1e6,
            memory_mb: allocated / per / f64::from(1 << 20),
            entries: running.iter().map(|d| d.state().len() as f64).sum::<f64>() / per,
            entry_bytes: running.iter().map(|d| d.state().bytes() as f64).sum::<f64>() / per,
            to_all: Times::of(purges.iter().map(|purge| purge.latest - purge.published_at)),
            to_each: Times::read(&self.notes.to_each),
            missed: self.missed(measured_from),
            healed_ms: late.map(|late| late as f64 / 1e3),
            events: self.notes.events,
            wall_s: self.begun.elapsed().as_secs_f64(),
        };
        means.fill(&mut measurement, crossed);
        measurement
    }
}
