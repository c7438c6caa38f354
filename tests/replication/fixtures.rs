//! States, times and entries for the tests of replication.

use foxhold::replication::entry::Incarnation;
use foxhold::replication::state::{Bounds, ClockReading, ReplicatedState};
use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// A second, in microseconds.
pub const SECOND: u64 = 1_000_000;
/// The Unix time at which each test starts, in microseconds.
pub const UNIX: u64 = 1_700_000_000 * SECOND;

/// Returns a configuration for this number of cases, with a fixed seed.
pub fn property_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Returns the clock reading `seconds` after the start of the test.
pub fn at(seconds: u64) -> ClockReading {
    ClockReading { monotonic: seconds * SECOND, unix: UNIX + seconds * SECOND }
}

/// Returns the empty state of a director.
pub fn empty_state(incarnation: u64) -> ReplicatedState {
    ReplicatedState::new(Incarnation(incarnation), Bounds::default())
}
