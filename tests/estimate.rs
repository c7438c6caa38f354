//! Tests of the estimators against the properties that their documentation states.

use foxhold::policy::estimators::congestion::CongestionEstimator;
use foxhold::policy::estimators::decaying_counter::DecayingCounter;
use foxhold::policy::estimators::gamma_prior::GammaPrior;
use foxhold::policy::estimators::generational_cache::GenerationalCache;
use foxhold::policy::estimators::load_sharing::{excess_share, stochastic_round};
use quickcheck::{Gen, QuickCheck, TestResult};

fn check_property<A: quickcheck::Testable>(property: A) {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 20)).tests(2_000).quickcheck(property);
}

fn uniform_numbers(seed: u64) -> impl FnMut() -> f64 {
    let mut x = seed | 1;
    move || {
        x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (x >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[test]
fn a_decaying_counter_has_the_documented_mean_and_error() {
    let (mut draw, span) = (uniform_numbers(3), 20e6);
    // At forty events per span the count has a mean of 40 and a relative error of 1 / sqrt(80).
    let (mut now, mut sum, mut squares, mut n) = (0.0, 0.0, 0.0, 0.0);
    let mut count = DecayingCounter::default();
    for event in 0..400_000 {
        now += -draw().max(1e-12).ln() * span / 40.0;
        let before = count.value(now as u64, span);
        count.add(now as u64, 1.0, span);
        if event > 1_000 {
            (sum, squares, n) = (sum + before, squares + before * before, n + 1.0);
        }
    }
    let mean = sum / n;
    let deviation = (squares / n - mean * mean).sqrt();
    assert!((mean / 40.0 - 1.0).abs() < 0.02, "expected a mean of 40, got {mean}");
    assert!(
        (deviation / mean * 80f64.sqrt() - 1.0).abs() < 0.05,
        "expected a relative deviation of 1 / sqrt(80), got deviation {deviation}"
    );
}

#[test]
fn a_decaying_counter_never_grows_without_additions_even_if_the_clock_steps_back() {
    fn property(at: u32, add: u16, later: u32) -> bool {
        let mut count = DecayingCounter::default();
        let value = count.add(u64::from(at), f64::from(add), 1e6);
        count.value(u64::from(at) + u64::from(later), 1e6) <= value
            && count.value(u64::from(at.saturating_sub(later)), 1e6) <= value
            && count.add(u64::from(at.saturating_sub(later)), 0.0, 1e6) <= value
    }
    check_property(property as fn(u32, u16, u32) -> bool);
}

#[test]
fn a_posterior_mean_lies_between_prior_and_observation_and_its_error_shrinks() {
    fn property(events: u16, exposure: u16, shape: u8) -> TestResult {
        if exposure == 0 || shape == 0 {
            return TestResult::discard();
        }
        let prior = GammaPrior { mean: 0.3, shape: f64::from(shape) / 16.0 };
        let (events, exposure) = (f64::from(events), f64::from(exposure));
        let rate = prior.posterior(events, exposure);
        let observed = events / exposure;
        let between = rate.mean >= observed.min(0.3) - 1e-9 && rate.mean <= observed.max(0.3) + 1e-9;
        let more = prior.posterior(events * 10.0, exposure * 10.0);
        let error_shrinks =
            more.standard_deviation / more.mean <= rate.standard_deviation / rate.mean + 1e-12;
        TestResult::from_bool(between && error_shrinks && (prior.posterior(0.0, 0.0).mean - 0.3).abs() < 1e-9)
    }
    check_property(property as fn(u16, u16, u8) -> TestResult);
}

/// Checks that, over rates drawn from the prior, the mean squared error of the estimate equals its variance.
#[test]
fn the_standard_deviation_of_a_rate_equals_its_error() {
    let (mut draw, prior) = (uniform_numbers(11), GammaPrior { mean: 2.0, shape: 1.0 });
    let (mut squares, mut variances) = (0.0, 0.0);
    for _ in 0..40_000 {
        // A gamma prior of shape 1 is exponential. Exponential gaps give the Poisson count.
        let rate = -draw().max(1e-12).ln() * prior.mean;
        let (mut events, mut at) = (0.0, 0.0);
        loop {
            at += -draw().max(1e-12).ln();
            if at > rate * 3.0 {
                break;
            }
            events += 1.0;
        }
        let estimate = prior.posterior(events, 3.0);
        squares += (estimate.mean - rate).powi(2);
        variances += estimate.standard_deviation.powi(2);
    }
    assert!((squares / variances - 1.0).abs() < 0.05, "squared error over variance: {}", squares / variances);
}

#[test]
fn stochastic_rounding_has_the_target_as_its_mean() {
    let mut draw = uniform_numbers(5);
    for target in [0.2, 1.0, 1.3, 2.0, 2.75, 3.0, 9.0] {
        let mean = (0..40_000).map(|_| stochastic_round(target, 3, draw()) as f64).sum::<f64>() / 40_000.0;
        assert!(
            (mean - f64::clamp(target, 1.0, 3.0)).abs() < 0.02,
            "expected a mean of {target} within 1 to 3, got {mean}"
        );
    }
    assert_eq!(stochastic_round(f64::MAX, 3, 0.5), 3);
}

#[test]
fn a_load_without_its_excess_share_is_within_the_bound() {
    fn property(load: u16) -> bool {
        let load = f64::from(load) / 100.0;
        let remaining = load * (1.0 - excess_share(load, 1.2));
        (0.0..1.0).contains(&excess_share(load, 1.2)) && (remaining - load.min(1.2)).abs() < 1e-9
    }
    check_property(property as fn(u16) -> bool);
}

#[test]
fn a_generational_cache_is_bounded_and_keeps_entries_in_use() {
    let mut cache: GenerationalCache<u32, 100, 1_000> = GenerationalCache::default();
    assert!(cache.is_empty());
    *cache.entry(1, 0) = 7;
    for key in 2..10_000 {
        cache.entry(key, 0);
        assert!(cache.len() <= 200);
        assert_eq!(*cache.entry(1, 0), 7, "expected an entry that is used at every step to stay");
    }
    for key in 10_000..10_300 {
        cache.entry(key, 0);
    }
    assert_eq!(*cache.entry(1, 0), 0, "expected eviction after 300 other entries");
    *cache.entry(5, 10) = 9;
    assert_eq!(*cache.entry(5, 1_500), 9, "expected the entry to stay for one generation");
    cache.entry(6, 3_000);
    cache.entry(6, 5_000);
    assert_eq!(*cache.entry(5, 5_000), 0, "expected the entry to expire after two generations");
}

/// Checks that the sorted slowdowns give the same minimum as a search over all servers.
#[test]
fn congestion_relative_to_the_quickest_server_equals_a_linear_search() {
    let (mut draw, mut congestion, mut totals) =
        (uniform_numbers(9), CongestionEstimator::default(), std::collections::HashMap::new());
    for step in 0..20_000 {
        let server = (draw() * 40.0) as u32;
        if step % 97 == 0 {
            congestion.forget(server);
            totals.remove(&server);
        } else {
            let (elapsed, usual) = (1.0 + draw() * 100.0, 10.0 + draw());
            congestion.record(server, elapsed, usual, 0.1);
            let (t, u): &mut (f64, f64) = totals.entry(server).or_insert((0.0, 0.0));
            let retained = if *u > 0.0 { 0.9 } else { 0.0 };
            (*t, *u) = (*t * retained + elapsed, *u * retained + usual);
        }
        let least = totals.values().map(|(t, u)| t / u).min_by(f64::total_cmp);
        let expected = |s: u32| Some(totals.get(&s)?.0 / totals[&s].1 / least?);
        assert_eq!(congestion.relative_to_quickest(server), expected(server));
    }
    congestion.retain(|server| server < 3);
    assert!(congestion.relative_to_quickest(5).is_none());
}
