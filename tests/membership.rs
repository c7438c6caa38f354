//! Drain overrides that apply to the endpoints listed by discovery sources.

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

/// Returns the state of a listed endpoint after the overrides have been applied.
fn state_with_overrides(drains: &mut DrainOverrides, state: MemberState, started_at: Micros) -> MemberState {
    let mut listing = listing(state, started_at);
    drains.apply(&mut listing);
    listing.state
}

#[test]
fn a_drain_override_takes_precedence_over_the_sources_until_a_new_process_starts() {
    let mut drains = DrainOverrides::default();
    drains.begin(&listing(MemberState::Running, 5));
    assert_eq!(state_with_overrides(&mut drains, MemberState::Running, 5), MemberState::Draining);
    assert_eq!(
        state_with_overrides(&mut drains, MemberState::Running, 5),
        MemberState::Draining,
        "expected the override to apply to every listing"
    );
    assert_eq!(
        state_with_overrides(&mut drains, MemberState::Running, 6),
        MemberState::Running,
        "expected no override for a new process"
    );
    assert_eq!(
        state_with_overrides(&mut drains, MemberState::Running, 5),
        MemberState::Running,
        "expected the override to stay ended"
    );
    drains.begin(&listing(MemberState::Running, 5));
    assert_eq!(state_with_overrides(&mut drains, MemberState::Gone, 5), MemberState::Gone);
    assert!(drains.is_empty());
}

#[test]
fn a_drain_override_ends_on_request_or_when_its_server_is_no_longer_listed() {
    let mut drains = DrainOverrides::default();
    drains.begin(&listing(MemberState::Running, 5));
    assert!(drains.end("a") && !drains.end("a"));
    drains.begin(&listing(MemberState::Running, 5));
    drains.retain(|_| false);
    assert_eq!(drains.len(), 0);
}
