//! Tests of `faults::schedule`.

use foxhold_testbed::faults::schedule::*;
use foxhold_testbed::scenarios::scenario::FaultKind;

#[test]
fn a_storm_is_a_good_plan_the_same_for_the_same_seed_and_of_all_kinds() {
    for seed in 1..=5 {
        let scenario = draw(20, 600.0, seed);
        assert_eq!(scenario.check(), Ok(()), "seed {seed}");
        assert_eq!(scenario, draw(20, 600.0, seed));
        assert_ne!(scenario.faults, draw(20, 600.0, seed + 100).faults);
        for what in [
            FaultKind::Purge,
            FaultKind::Drain,
            FaultKind::Undrain,
            FaultKind::GossipLink,
            FaultKind::Stall,
            FaultKind::Kill,
        ] {
            assert!(scenario.faults.iter().any(|f| f.kind == what), "{what:?}");
        }
    }
}
