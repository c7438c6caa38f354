//! A fleet of directors in simulated time, and the messages in flight between them.

use crate::fixtures::{empty_state, SECOND, UNIX};
use foxhold::replication::entry::{encode, Key, Kind, Value};
use foxhold::replication::gossip::{GossipMessage, GossipProtocol};
use foxhold::replication::state::{ClockReading, ReplicatedState};
use std::collections::BTreeMap;

/// A step of simulated time, in microseconds.
const TICK: u64 = 20_000;
/// The bound on a message's delay if [`Links::max_delay`] is 0, in microseconds.
const MIN_MAX_DELAY: u64 = 1_000;

/// Properties of the links between directors.
#[derive(Default)]
pub struct Links {
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of messages that arrive twice.
    pub duplication: f64,
    /// The longest delay in addition to [`MIN_MAX_DELAY`], in microseconds.
    pub max_delay: u64,
}

/// A message that has been sent but not received.
struct InFlight {
    from: usize,
    to: usize,
    message: GossipMessage,
}

/// A fleet of directors.
pub struct Simulation {
    /// The directors; `None` for a stopped one.
    pub directors: Vec<Option<GossipProtocol<usize>>>,
    /// The current properties of all links.
    pub links: Links,
    /// The partition of each director: only those in the same one can reach each other.
    pub partition: Vec<u8>,
    random: u64,
    monotonic: u64,
    /// Messages by their time of arrival and their number.
    in_flight: BTreeMap<(u64, u64), InFlight>,
    sent: u64,
}

impl Simulation {
    /// Returns a fleet of `directors` directors that all start now.
    pub fn new(directors: usize, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            directors: (0..directors).map(|_| None).collect(),
            links: Links::default(),
            partition: vec![0; directors],
            random: seed,
            monotonic: SECOND,
            in_flight: BTreeMap::new(),
            sent: 0,
        };
        (0..directors).for_each(|n| simulation.start(n, Vec::new()));
        simulation
    }

    /// Draws the next random number, from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the current simulated time.
    pub fn now(&self) -> ClockReading {
        ClockReading { monotonic: self.monotonic, unix: UNIX + self.monotonic }
    }

    /// Starts a director with the entries that it had stored on disk.
    pub fn start(&mut self, n: usize, stored: Vec<(Key, Value)>) {
        self.random = self.random.wrapping_add(1);
        let (incarnation, now) = (self.random ^ (n as u64) << 48, self.now());
        let mut state = empty_state(incarnation);
        stored.into_iter().for_each(|(key, value)| {
            let _ = state.merge(&key, &value, now);
        });
        self.directors[n] = Some(GossipProtocol::new(state, incarnation, now));
        let running: Vec<usize> = self.running().collect();
        for (n, director) in self.directors.iter_mut().enumerate() {
            if let Some(director) = director {
                director.set_members(running.iter().copied().filter(|other| *other != n).collect());
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.directors.len()).filter(|n| self.directors[*n].is_some())
    }

    /// Returns the entries of a director, as they are stored on disk.
    pub fn stored(&self, n: usize) -> Vec<(Key, Value)> {
        let Some(director) = &self.directors[n] else { return Vec::new() };
        let entries = Kind::ALL.into_iter().flat_map(|kind| director.state.entries_of_kind(kind));
        entries.map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    fn send(&mut self, from: usize, messages: Vec<(usize, GossipMessage)>) {
        for (to, message) in messages {
            if self.partition[from] != self.partition[to] || self.unit() < self.links.loss {
                continue;
            }
            let copies = if self.unit() < self.links.duplication { 2 } else { 1 };
            for _ in 0..copies {
                let delay = (self.unit() * (self.links.max_delay + MIN_MAX_DELAY) as f64) as u64;
                self.sent += 1;
                let message = message.clone();
                self.in_flight.insert((self.monotonic + delay, self.sent), InFlight { from, to, message });
            }
        }
    }

    /// Advances the simulated time by `seconds`, in steps of [`TICK`].
    pub fn run(&mut self, seconds: f64) {
        let end = self.monotonic + (seconds * SECOND as f64) as u64;
        while self.monotonic < end {
            self.monotonic += TICK;
            self.deliver_messages();
            self.tick_directors();
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now();
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now.monotonic) {
            let InFlight { from, to, message } = entry.remove();
            let mut replies = Vec::new();
            if let Some(director) = &mut self.directors[to] {
                director.handle_message(&from, message, now, &mut replies);
            }
            self.send(to, replies);
        }
    }

    fn tick_directors(&mut self) {
        let now = self.now();
        for n in 0..self.directors.len() {
            let mut messages = Vec::new();
            if let Some(director) = &mut self.directors[n] {
                director.tick(now, &mut messages);
            }
            self.send(n, messages);
        }
    }

    /// Changes the state of a director and publishes what changed.
    pub fn change(
        &mut self,
        n: usize,
        change: impl FnOnce(&mut ReplicatedState, ClockReading) -> Option<(Key, Value)>,
    ) -> Option<(Key, Value)> {
        let now = self.now();
        let director = self.directors[n].as_mut()?;
        let changed = change(&mut director.state, now);
        director.publish(changed.clone());
        changed
    }

    /// Returns whether all running directors hold the same entries.
    pub fn is_in_sync(&self) -> bool {
        let states: Vec<Vec<u8>> = self.running().map(|n| encode(&self.stored(n))).collect();
        states.iter().all(|state| *state == states[0])
    }
}
