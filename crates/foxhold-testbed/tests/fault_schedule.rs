//! Tests of `faults::schedule`.

use foxhold_testbed::faults::schedule::*;
use foxhold_testbed::scenarios::scenario::FaultKind;

#[test]
fn drawn_schedules_are_valid_reproducible_and_contain_all_fault_kinds() {
    for seed in 1..=5 {
        let scenario = draw(20, 600.0, seed);
        assert_eq!(scenario.check(), Ok(()), "seed {seed}");
        assert_eq!(scenario, draw(20, 600.0, seed));
        assert_ne!(scenario.faults, draw(20, 600.0, seed + 100).faults);
        for kind in [
            FaultKind::Purge,
            FaultKind::Drain,
            FaultKind::Undrain,
            FaultKind::GossipLink,
            FaultKind::Stall,
            FaultKind::Kill,
        ] {
            assert!(
                scenario.faults.iter().any(|fault| fault.kind == kind),
                "seed {seed}: no fault of kind {kind:?}"
            );
        }
    }
}
