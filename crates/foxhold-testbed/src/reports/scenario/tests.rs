//! Tests of the report's figures.

use super::*;

fn load(tenths: &[u32]) -> Load {
    Load { tenths: tenths.to_vec(), ..Load::default() }
}

#[test]
fn the_busiest_cache_is_compared_relative_to_its_size() {
    let (a, b) = (load(&[30; 10]), load(&[10; 10]));
    assert_eq!(busiest_to_mean_ratio(&[(&a, 1.0), (&b, 1.0)]), [1.5]);
    assert_eq!(busiest_to_mean_ratio(&[(&a, 3.0), (&b, 1.0)]), [1.0]);
}

#[test]
fn an_idle_cache_counts_only_while_the_others_are_busy() {
    let (a, b) = (load(&[9; 20]), load(&[0; 20]));
    assert_eq!(idle_cache_seconds(&[(&a, 1.0), (&b, 1.0)]), 2.0);
    let few = load(&[1; 20]);
    assert_eq!(idle_cache_seconds(&[(&few, 1.0), (&b, 1.0)]), 0.0);
}

#[test]
fn regular_or_bursty_counts_are_not_poisson() {
    assert!(variance_to_mean_ratio(&[5; 50]) < 0.01);
    let bursts: Vec<u32> = (0..50).map(|n| if n % 10 == 0 { 50 } else { 0 }).collect();
    assert!(variance_to_mean_ratio(&bursts) > 10.0);
}
