//! Servers in slow start under the load of 20 to 30 routers, in simulated runs of random sites.

#[path = "slow_start/budget.rs"]
mod budget;
mod common;
#[path = "slow_start/simulation.rs"]
mod simulation;
#[path = "slow_start/site.rs"]
mod site;
#[path = "slow_start/timeline.rs"]
mod timeline;

use budget::{WarmingServer, WorstWindow};
use foxhold::SlowStartRule;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use simulation::Simulation;
use site::{ClassMix, Role, Site, SECOND};
use std::sync::OnceLock;

const RUNS: u64 = 50;
/// Every fifth run with large budgets measures how much of the budget is used.
const LARGE_BUDGET_SAMPLING: u64 = 5;

/// Returns a site with a random slow-start rule, classes, load and number of routers.
fn random_site(role: Role, small_budget: bool, seed: u64) -> Site {
    let mut random = StdRng::seed_from_u64(seed);
    let rule = SlowStartRule {
        initial_capacity_share: random.random_range(0.1..0.25),
        warm_up_time: random.random_range(10..=18) * SECOND,
        overload_multiple: random.random_range(1.8..3.0),
        overload_window: random.random_range(1..=3) * SECOND,
    };
    let transfer_time = random.random_range(0.02e6..0.2e6);
    let class_mix = |share, transfer_time, write| ClassMix { share, transfer_time, write };
    // Every second site has transfer times that differ by a factor of twenty.
    let classes = if seed.is_multiple_of(2) {
        vec![class_mix(0.7, transfer_time, false), class_mix(0.3, 2.0 * transfer_time, false)]
    } else {
        vec![class_mix(0.35, 0.02e6, true), class_mix(0.35, 0.1e6, false), class_mix(0.3, 0.4e6, false)]
    };
    let allowed_requests = if small_budget { random.random_range(3.0..10.0) } else { 100.0 };
    // A large budget in a short window over a long warm-up time would take millions of requests.
    let large_budget_rule = SlowStartRule { warm_up_time: 10 * SECOND, overload_window: 3 * SECOND, ..rule };
    let rule = if small_budget { rule } else { large_budget_rule };
    let site = Site {
        role,
        routers: random.random_range(20..=30),
        classes,
        rule,
        size: 1.0,
        load: random.random_range(0.8..1.6),
        hit_ratio: random.random_range(0.3..if small_budget { 0.8 } else { 0.5 }),
        starts_known: true,
        direct_requests: seed % 4 < 2,
        seed,
    };
    site.sized(allowed_requests)
}

/// Requests that servers received, and requests that they could have served, both in mean requests.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    sent: f64,
    serviceable: f64,
}

impl Usage {
    /// Compares what a server received with what it could serve: the demand for a warm server, up to
    /// `multiple` times its capacity.
    fn of(server: &WarmingServer, demand: &WarmingServer, multiple: f64) -> Usage {
        let serviceable = server.serviceable_requests(&demand.requests_by_window(), multiple);
        let sent =
            server.requests_by_window().iter().zip(&serviceable).map(|(sent, limit)| sent.min(*limit)).sum();
        Usage { sent, serviceable: serviceable.iter().sum() }
    }

    fn plus(self, other: Usage) -> Usage {
        Usage { sent: self.sent + other.sent, serviceable: self.serviceable + other.serviceable }
    }

    fn share(self) -> f64 {
        self.sent / self.serviceable
    }
}

/// The results of all runs of one kind of site.
#[derive(Debug, Default)]
struct Summary {
    /// The window with the highest share of its budget.
    worst: WorstWindow,
    overloads: usize,
    /// Use of the budget, which is a multiple of the capacity.
    budget: Usage,
    /// Use of the capacity.
    capacity: Usage,
    /// The smallest share of the capacity that a single run used.
    min_share: f64,
}

fn summarize_runs(role: Role, small_budget: bool) -> Summary {
    let mut summary = Summary { min_share: f64::INFINITY, ..Summary::default() };
    for seed in 0..RUNS {
        let site = random_site(role, small_budget, seed);
        let simulation = Simulation::run(&site);
        let unlimited = (small_budget || seed.is_multiple_of(LARGE_BUDGET_SAMPLING))
            .then(|| Simulation::run(&Site { starts_known: false, ..site.clone() }));
        let mut run = Usage::default();
        for (id, server) in &simulation.warming {
            let worst = server.worst_window();
            summary.overloads += usize::from(worst.margin < 0.0);
            if worst.ratio > summary.worst.ratio {
                summary.worst = worst;
            }
            if let Some(demand) = unlimited.as_ref().map(|run| &run.warming[id]) {
                summary.budget = summary.budget.plus(Usage::of(server, demand, site.rule.overload_multiple));
                run = run.plus(Usage::of(server, demand, 1.0));
            }
        }
        if unlimited.is_some() {
            summary.capacity = summary.capacity.plus(run);
            summary.min_share = summary.min_share.min(run.share());
        }
    }
    println!(
        "{role:?}, small_budget {small_budget}: {} overloads, worst window {:.2} of an overload ({:?}); used \
         {:.2} of the budget, {:.2} of the capacity, {:.2} in the run that used least",
        summary.overloads,
        summary.worst.ratio,
        summary.worst,
        summary.budget.share(),
        summary.capacity.share(),
        summary.min_share
    );
    summary
}

/// Returns the summary of a kind of site, which is computed once for all tests.
fn cached_summary(role: Role, small_budget: bool) -> &'static Summary {
    static SUMMARIES: [OnceLock<Summary>; 4] = [const { OnceLock::new() }; 4];
    SUMMARIES[usize::from(role == Role::Parent) * 2 + usize::from(small_budget)]
        .get_or_init(|| summarize_runs(role, small_budget))
}

/// Asserts that no server is overloaded, and that servers in slow start receive at least half of what they
/// can serve.
fn assert_not_overloaded_and_half_used(role: Role, small_budget: bool) {
    let summary = cached_summary(role, small_budget);
    assert_eq!(summary.overloads, 0, "{summary:?}");
    assert!(summary.capacity.share() >= 0.5, "{summary:?}");
}

#[test]
fn caches_with_small_budgets_are_not_overloaded_and_are_used() {
    assert_not_overloaded_and_half_used(Role::Cache, true);
}

#[test]
fn caches_with_large_budgets_are_not_overloaded_and_are_used() {
    assert_not_overloaded_and_half_used(Role::Cache, false);
}

#[test]
fn parents_with_small_budgets_are_not_overloaded_and_are_used() {
    assert_not_overloaded_and_half_used(Role::Parent, true);
}

#[test]
fn parents_with_large_budgets_are_not_overloaded_and_are_used() {
    assert_not_overloaded_and_half_used(Role::Parent, false);
}

/// Checks the used share of the whole budget, which is a multiple of the capacity.
#[test]
fn a_cold_server_gets_half_of_its_budget_where_so_much_is_asked() {
    for (role, small_budget) in
        [(Role::Cache, true), (Role::Cache, false), (Role::Parent, true), (Role::Parent, false)]
    {
        let share = cached_summary(role, small_budget).budget.share();
        assert!(
            share >= 0.5,
            "{role:?}, small_budget {small_budget}: {share:.2} of the budget, expected at least half"
        );
    }
}

/// Checks that the simulation detects overloads: routers that do not know when servers started apply no slow
/// start.
#[test]
fn a_fleet_without_slow_start_overloads_servers() {
    let overloads = (0..RUNS / 5).filter(|seed| {
        let simulation =
            Simulation::run(&Site { starts_known: false, ..random_site(Role::Cache, true, *seed) });
        simulation.warming.values().any(|server| server.worst_window().margin < 0.0)
    });
    assert!(overloads.count() >= 5);
}
