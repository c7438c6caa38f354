//! Capacities of a run's servers, drawn from its scenario.

use super::{INITIAL_CAPACITY_SHARE, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_S, WARM_UP_S};
use crate::load::clients::TRANSFER_KB_PER_S;
use crate::scenarios::scenario::{RequestClass, Scenario};
use crate::servers::model::{Role, ServerSpec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// XORed with the scenario's seed, so that the draws of server sizes are independent of other draws.
const SIZE_SEED: u64 = 0x5eed;
/// Requests that a server holds at once, per transfer that its link carries.
const SLOTS_PER_TRANSFER: f64 = 12.0;
/// Fills that a cache has in flight at most, per transfer that its link carries on average.
const FILLS_PER_TRANSFER: f64 = 4.0;
/// Memory of a parent, as a share of the bytes of all objects.
const PARENT_CACHED_SHARE: f64 = 0.6;
/// Transfer rate of parents and of the origin, as a multiple of the rate to clients.
const FILL_PACE: f64 = 3.0;
/// Seconds that the origin takes before it starts to send.
const ORIGIN_LATENCY_S: f64 = 0.03;
/// Seconds for which an overloaded origin stops serving.
const ORIGIN_STOP_S: f64 = 3.0;

/// Draws the capacities of all servers, by server name.
pub(super) fn draw_specs(scenario: &Scenario) -> BTreeMap<String, ServerSpec> {
    let mean_kb = mean_read_kb(scenario);
    let all_kb = mean_kb * scenario.objects as f64;
    let mut random = StdRng::seed_from_u64(scenario.seed ^ SIZE_SEED);
    let mut specs = BTreeMap::new();
    for (name, count) in [("cache", scenario.caches), ("parent", scenario.parents), ("origin", 1)] {
        for n in 1..=count {
            let uneven = 1.0 + scenario.uneven * (random.random::<f64>() * 2.0 - 1.0);
            let spec = match role(name) {
                Role::Cache => cache(scenario, scenario.cache_link * uneven, all_kb),
                Role::Parent => parent(scenario, all_kb),
                Role::Origin => origin(scenario, mean_kb),
            };
            specs.insert(format!("{name}-{n}"), spec);
        }
    }
    specs
}

/// Returns the mean size of objects that are read, in KB.
fn mean_read_kb(scenario: &Scenario) -> f64 {
    let mean = |c: &RequestClass| c.share * c.work_ms / 1e3 * TRANSFER_KB_PER_S;
    let reads = scenario.classes.iter().filter(|c| !c.write);
    reads.clone().map(mean).sum::<f64>() / reads.map(|c| c.share).sum::<f64>().max(1e-9)
}

fn role(name: &str) -> Role {
    match name.split('-').next() {
        Some("cache") => Role::Cache,
        Some("parent") => Role::Parent,
        _ => Role::Origin,
    }
}

/// Returns the values that all servers of a role have in common.
fn common(role: Role) -> ServerSpec {
    ServerSpec {
        flow: TRANSFER_KB_PER_S,
        floor: INITIAL_CAPACITY_SHARE,
        warm: WARM_UP_S,
        multiple: OVERLOAD_MULTIPLE,
        window: OVERLOAD_WINDOW_S,
        ..ServerSpec::instant(role)
    }
}

fn cache(scenario: &Scenario, link: f64, all_kb: f64) -> ServerSpec {
    ServerSpec {
        link,
        slots: (link * SLOTS_PER_TRANSFER) as usize,
        fills: (scenario.cache_link * FILLS_PER_TRANSFER) as usize,
        memory: all_kb * scenario.cache_keeps,
        ..common(Role::Cache)
    }
}

fn parent(scenario: &Scenario, all_kb: f64) -> ServerSpec {
    ServerSpec {
        link: scenario.parent_link,
        slots: (scenario.parent_link * SLOTS_PER_TRANSFER) as usize,
        memory: all_kb * PARENT_CACHED_SHARE,
        flow: TRANSFER_KB_PER_S * FILL_PACE,
        ..common(Role::Parent)
    }
}

fn origin(scenario: &Scenario, mean_kb: f64) -> ServerSpec {
    ServerSpec {
        link: scenario.origin_rate * mean_kb / TRANSFER_KB_PER_S / FILL_PACE,
        flow: TRANSFER_KB_PER_S * FILL_PACE,
        before: ORIGIN_LATENCY_S,
        stop: ORIGIN_STOP_S,
        floor: 1.0,
        ..common(Role::Origin)
    }
}
