//! Random fault schedules for directors that gossip. A schedule is drawn from a seed, so that a run that
//! broke a rule can be repeated.
//!
//! The schedules respect what directors can know, because the rules are checked against that:
//!
//! - Drain overrides start and end only after gossip has been without faults for [`QUIET_SECONDS`].
//! - Directors are killed only while there is no drain override, because a director that starts without state
//!   knows only the discovery service's member list until it has caught up.
//! - Purges are issued at any time. A director that was partitioned or stopped must know them
//!   [`QUIET_SECONDS`] after the end of that fault.

use crate::faults::relay::LinkFault;
use crate::scenarios::scenario::{Fault, FaultKind, Scenario};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Seconds after the end of a fault until every director is expected to know every update.
pub const QUIET_SECONDS: f64 = 8.0;

/// Combined with the seed, so that schedules use other random numbers than the rest of the run.
const SCHEDULE_SEED: u64 = 0x5707;
/// Number of caches in a drawn scenario.
const CACHES: usize = 8;
/// Maximum number of caches that drain at the same time.
const MAX_DRAINED: usize = 2;
/// Seconds at the end of a run in which no fault begins, in addition to [`QUIET_SECONDS`].
const END_SECONDS: f64 = 4.0;
/// Seconds until a killed director serves again.
const RESTART_SECONDS: f64 = 2.0;

/// Draws a scenario that lasts `seconds`, with random faults.
pub fn draw(directors: usize, seconds: f64, seed: u64) -> Scenario {
    let mut schedule = Schedule {
        random: StdRng::seed_from_u64(seed ^ SCHEDULE_SEED),
        directors,
        faulty_until: 0.0,
        down_until: vec![0.0; directors],
        drained: Vec::new(),
        faults: Vec::new(),
    };
    schedule.draw(seconds - QUIET_SECONDS - END_SECONDS);
    Scenario {
        name: format!("a storm among {directors} directors"),
        directors,
        caches: CACHES,
        parents: 3,
        seconds,
        warm_up_seconds: 4.0,
        rate: 60.0,
        objects: 500,
        peers: true,
        seed,
        faults: schedule.faults,
        ..Scenario::default()
    }
}

/// A schedule while it is drawn. Times are in seconds.
struct Schedule {
    random: StdRng,
    directors: usize,
    /// The end of the latest gossip fault.
    faulty_until: f64,
    /// When each director runs again after its last stop or kill.
    down_until: Vec<f64>,
    /// The numbers of the caches with a drain override.
    drained: Vec<usize>,
    faults: Vec<Fault>,
}

/// Returns a fault of a kind at a time, with all other fields empty.
fn fault(at: f64, kind: FaultKind) -> Fault {
    Fault {
        at: (at * 1e3).round() / 1e3,
        lasts: None,
        kind,
        who: String::new(),
        to: String::new(),
        link_fault: LinkFault::None,
        share: 0.0,
        object: 0,
        times: 0.0,
        breach: None,
        by: None,
        lost: 0.0,
        late_ms: 0,
    }
}

impl Schedule {
    fn draw(&mut self, end: f64) {
        let mut at = 2.0;
        while at < end {
            let draw: f64 = self.random.random();
            if draw < 0.3 {
                // A quiet period, after which an operator starts or ends a drain override.
                at = at.max(self.faulty_until + QUIET_SECONDS + 0.1);
            }
            if at >= end {
                break;
            }
            self.draw_fault(at, draw);
            at += self.random.random_range(0.5..3.0);
        }
    }

    fn draw_fault(&mut self, at: f64, draw: f64) {
        let up: Vec<usize> = (1..=self.directors).filter(|n| self.down_until[n - 1] < at - 2.0).collect();
        let by = up.get(self.random.random_range(0..up.len().max(1))).map(|n| format!("director-{n}"));
        match draw {
            d if d < 0.3 && by.is_some() => self.drain_or_undrain(at, by),
            d if d < 0.5 => {
                let object = self.random.random_range(1..40);
                self.faults.push(Fault { object, by, ..fault(at, FaultKind::Purge) });
            }
            d if d < 0.55 => self.faults.push(Fault { share: 0.04, by, ..fault(at, FaultKind::Purge) }),
            d if d < 0.70 => self.partition(at),
            d if d < 0.82 => self.disturb_gossip(at),
            d if d < 0.90 => self.stall(at),
            _ if self.drained.is_empty() => self.kill(at),
            _ => {}
        }
    }

    fn drain_or_undrain(&mut self, at: f64, by: Option<String>) {
        let cache = match self.drained.first() {
            Some(cache) if self.random.random_bool(0.5) => *cache,
            _ => self.random.random_range(1..=CACHES),
        };
        let who = format!("cache-{cache}");
        if let Some(place) = self.drained.iter().position(|c| *c == cache) {
            self.drained.remove(place);
            self.faults.push(Fault { who, by, ..fault(at, FaultKind::Undrain) });
        } else if self.drained.len() < MAX_DRAINED {
            self.drained.push(cache);
            self.faults.push(Fault { who, by, ..fault(at, FaultKind::Drain) });
        }
    }

    /// Partitions the fleet into two halves, or the first director from all others.
    fn partition(&mut self, at: f64) {
        let directors = self.directors;
        let middle = if self.random.random_bool(0.5) { directors / 2 } else { 1 };
        let lasts = self.random.random_range(1.0..9.0);
        let who = format!("directors 1-{middle}");
        let to = format!("directors {}-{directors}", middle + 1);
        self.faulty_until = self.faulty_until.max(at + lasts);
        let lasts = Some(lasts);
        self.faults.push(Fault { who, to, lost: 1.0, lasts, ..fault(at, FaultKind::GossipLink) });
    }

    /// Makes messages between all directors lossy and delayed.
    fn disturb_gossip(&mut self, at: f64) {
        let lasts = self.random.random_range(2.0..9.0);
        let (lost, late_ms) = (self.random.random_range(0.1..0.5), self.random.random_range(0..2_000));
        let who = "directors".to_owned();
        self.faulty_until = self.faulty_until.max(at + lasts);
        let (to, lasts) = (who.clone(), Some(lasts));
        self.faults.push(Fault { who, to, lost, late_ms, lasts, ..fault(at, FaultKind::GossipLink) });
    }

    fn stall(&mut self, at: f64) {
        let one = self.random.random_range(1..=self.directors);
        let lasts = self.random.random_range(0.5..10.0);
        if self.down_until[one - 1] < at {
            self.down_until[one - 1] = at + lasts;
            self.faulty_until = self.faulty_until.max(at + lasts);
            let who = format!("director-{one}");
            self.faults.push(Fault { who, lasts: Some(lasts), ..fault(at, FaultKind::Stall) });
        }
    }

    fn kill(&mut self, at: f64) {
        let first = self.random.random_range(1..=self.directors);
        let last = (first + self.random.random_range(0..self.directors / 2)).min(self.directors);
        if (first..=last).all(|n| self.down_until[n - 1] < at) {
            (first..=last).for_each(|n| self.down_until[n - 1] = at + RESTART_SECONDS);
            self.faulty_until = self.faulty_until.max(at + RESTART_SECONDS);
            let who = format!("directors {first}-{last}");
            self.faults.push(Fault { who, ..fault(at, FaultKind::Kill) });
        }
    }
}
