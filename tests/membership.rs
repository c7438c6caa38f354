//! Drain overrides against what sources list.

use foxhold::dispatch::membership::{DrainOverrides, Endpoint};
use foxhold::policy::types::{MemberState, Micros};

fn listing(state: MemberState, started_at: Micros) -> Endpoint {
    Endpoint {
        name: "a".into(),
        address: "x".into(),
        zone: "edge".into(),
        kind: "cache".into(),
        cell: 0,
        state,
        size: 1.0,
        started_at,
    }
}

/// The state that a source's listing has once the overrides are applied.
fn state_after(drains: &mut DrainOverrides, state: MemberState, started_at: Micros) -> MemberState {
    let mut listing = listing(state, started_at);
    drains.apply(&mut listing);
    listing.state
}

#[test]
fn a_drain_override_stands_above_the_sources_until_another_process_runs_there() {
    let mut drains = DrainOverrides::default();
    drains.begin(&listing(MemberState::Running, 5));
    assert_eq!(state_after(&mut drains, MemberState::Running, 5), MemberState::Draining);
    assert_eq!(state_after(&mut drains, MemberState::Running, 5), MemberState::Draining, "each time");
    assert_eq!(state_after(&mut drains, MemberState::Running, 6), MemberState::Running, "a new process");
    assert_eq!(
        state_after(&mut drains, MemberState::Running, 5),
        MemberState::Running,
        "the override has ended"
    );
    drains.begin(&listing(MemberState::Running, 5));
    assert_eq!(state_after(&mut drains, MemberState::Gone, 5), MemberState::Gone);
    assert!(drains.is_empty());
}

#[test]
fn a_drain_override_can_be_ended_and_does_not_outlive_the_list() {
    let mut drains = DrainOverrides::default();
    drains.begin(&listing(MemberState::Running, 5));
    assert!(drains.end("a") && !drains.end("a"));
    drains.begin(&listing(MemberState::Running, 5));
    drains.retain(|_| false);
    assert_eq!(drains.len(), 0);
}
