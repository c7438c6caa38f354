//! Tests of `faults::schedule`.

use foxhold_testbed::faults::schedule::*;
use foxhold_testbed::scenarios::scenario::FaultKind;

#[test]
fn a_storm_is_a_good_plan_the_same_for_the_same_seed_and_of_all_kinds() {
    for seed in 1..=5 {
        let plan = draw(20, 600.0, seed);
        assert_eq!(plan.check(), Ok(()), "seed {seed}");
        assert_eq!(plan, draw(20, 600.0, seed));
        assert_ne!(plan.faults, draw(20, 600.0, seed + 100).faults);
        for what in [
            FaultKind::Purge,
            FaultKind::Drain,
            FaultKind::Undrain,
            FaultKind::GossipLink,
            FaultKind::Stall,
            FaultKind::Kill,
        ] {
            assert!(plan.faults.iter().any(|f| f.kind == what), "{what:?}");
        }
    }
}
