//! A run of drawn faults among directors that gossip: by seed, so that what broke a rule can be run again.
//!
//! What is held against the rules is what directors can know: drains are told where the talk has been whole
//! for [`CALM`] seconds, and directors are killed where nothing drains by their operators' word, for one that
//! starts from nothing knows the discovery service's list only until it has caught up. Purges are told at any
//! time: who was cut off or stopped has until [`CALM`] after it to hear of them.

use crate::scenarios::scenario::{Fault, FaultKind, Scenario};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Seconds after a fault's end until all is taken to be known to all.
pub const QUIET_SECONDS: f64 = 8.0;

/// Draws a run.
pub fn draw(directors: usize, seconds: f64, seed: u64) -> Scenario {
    let mut random = StdRng::seed_from_u64(seed ^ 0x5707);
    let caches = 8;
    let mut plan = Scenario {
        name: format!("a storm among {directors} directors"),
        directors,
        caches,
        parents: 3,
        seconds,
        warm_up_seconds: 4.0,
        rate: 60.0,
        objects: 500,
        peers: true,
        seed,
        ..Scenario::default()
    };
    let none = |at: f64, what| Fault {
        at: (at * 1e3).round() / 1e3,
        lasts: None,
        kind: what,
        who: String::new(),
        to: String::new(),
        link_fault: crate::faults::relay::LinkFault::None,
        share: 0.0,
        object: 0,
        times: 0.0,
        breach: None,
        by: None,
        lost: 0.0,
        late_ms: 0,
    };
    // Until when the talk is faulty, and who is stopped or starts anew until when.
    let (mut hurt_until, mut quiet_until) = (0.0f64, vec![0.0f64; directors]);
    let mut drained: Vec<usize> = Vec::new();
    let mut at = 2.0;
    while at < seconds - QUIET_SECONDS - 4.0 {
        let draw: f64 = random.random();
        if draw < 0.3 {
            // A lull, in which operators tell of a drain, or take one back.
            at = at.max(hurt_until + QUIET_SECONDS + 0.1);
        }
        if at >= seconds - QUIET_SECONDS - 4.0 {
            break;
        }
        let up: Vec<usize> = (1..=directors).filter(|n| quiet_until[n - 1] < at - 2.0).collect();
        let by = up.get(random.random_range(0..up.len().max(1))).map(|n| format!("director-{n}"));
        match draw {
            d if d < 0.3 && by.is_some() => {
                let cache = match drained.first() {
                    Some(cache) if random.random_bool(0.5) => *cache,
                    _ => random.random_range(1..=caches),
                };
                let who = format!("cache-{cache}");
                if let Some(place) = drained.iter().position(|c| *c == cache) {
                    drained.remove(place);
                    plan.faults.push(Fault { who, by, ..none(at, FaultKind::Undrain) });
                } else if drained.len() < 2 {
                    drained.push(cache);
                    plan.faults.push(Fault { who, by, ..none(at, FaultKind::Drain) });
                }
            }
            d if d < 0.5 => {
                let object = random.random_range(1..40);
                plan.faults.push(Fault { object, by, ..none(at, FaultKind::Purge) });
            }
            d if d < 0.55 => {
                plan.faults.push(Fault { share: 0.04, by, ..none(at, FaultKind::Purge) });
            }
            d if d < 0.70 => {
                // Cut in two, or one from all others.
                let middle = if random.random_bool(0.5) { directors / 2 } else { 1 };
                let lasts = random.random_range(1.0..9.0);
                let (who, to) =
                    (format!("directors 1-{middle}"), format!("directors {}-{directors}", middle + 1));
                hurt_until = hurt_until.max(at + lasts);
                plan.faults.push(Fault {
                    who,
                    to,
                    lost: 1.0,
                    lasts: Some(lasts),
                    ..none(at, FaultKind::GossipLink)
                });
            }
            d if d < 0.82 => {
                let lasts = random.random_range(2.0..9.0);
                let (lost, late_ms) = (random.random_range(0.1..0.5), random.random_range(0..2_000));
                let who = "directors".to_owned();
                hurt_until = hurt_until.max(at + lasts);
                let to = who.clone();
                plan.faults.push(Fault {
                    who,
                    to,
                    lost,
                    late_ms,
                    lasts: Some(lasts),
                    ..none(at, FaultKind::GossipLink)
                });
            }
            d if d < 0.90 => {
                let one = random.random_range(1..=directors);
                let lasts = random.random_range(0.5..10.0);
                if quiet_until[one - 1] < at {
                    quiet_until[one - 1] = at + lasts;
                    hurt_until = hurt_until.max(at + lasts);
                    let who = format!("director-{one}");
                    plan.faults.push(Fault { who, lasts: Some(lasts), ..none(at, FaultKind::Stall) });
                }
            }
            _ if drained.is_empty() => {
                let first = random.random_range(1..=directors);
                let last = (first + random.random_range(0..directors / 2)).min(directors);
                if (first..=last).all(|n| quiet_until[n - 1] < at) {
                    (first..=last).for_each(|n| quiet_until[n - 1] = at + 2.0);
                    hurt_until = hurt_until.max(at + 2.0);
                    let who = format!("directors {first}-{last}");
                    plan.faults.push(Fault { who, ..none(at, FaultKind::Kill) });
                }
            }
            _ => {}
        }
        at += random.random_range(0.5..3.0);
    }
    plan
}
