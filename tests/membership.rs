//! Operators' drains against what sources list.

use foxhold::dispatch::membership::{DrainOverrides, Endpoint};
use foxhold::policy::types::{MemberState, Micros};

fn listing(state: MemberState, since: Micros) -> Endpoint {
    let (zone, kind) = ("edge".into(), "cache".into());
    Endpoint {
        name: "a".into(),
        address: "x".into(),
        zone,
        kind,
        cell: 0,
        state,
        size: 1.0,
        started_at: since,
    }
}

fn after(drains: &mut DrainOverrides, state: MemberState, since: Micros) -> MemberState {
    let mut listing = listing(state, since);
    drains.apply(&mut listing);
    listing.state
}

#[test]
fn a_drain_stands_above_the_sources_until_another_process_runs_there() {
    let mut drains = DrainOverrides::default();
    drains.begin(&listing(MemberState::Running, 5));
    assert_eq!(after(&mut drains, MemberState::Running, 5), MemberState::Draining);
    assert_eq!(after(&mut drains, MemberState::Running, 5), MemberState::Draining, "each time");
    assert_eq!(after(&mut drains, MemberState::Running, 6), MemberState::Running, "a new process");
    assert_eq!(after(&mut drains, MemberState::Running, 5), MemberState::Running, "the word is spent");
    drains.begin(&listing(MemberState::Running, 5));
    assert_eq!(after(&mut drains, MemberState::Gone, 5), MemberState::Gone);
    assert!(drains.is_empty());
}

#[test]
fn it_can_be_taken_back_and_does_not_outlive_the_list() {
    let mut drains = DrainOverrides::default();
    drains.begin(&listing(MemberState::Running, 5));
    assert!(drains.end("a") && !drains.end("a"));
    drains.begin(&listing(MemberState::Running, 5));
    drains.retain(|_| false);
    assert_eq!(drains.len(), 0);
}
