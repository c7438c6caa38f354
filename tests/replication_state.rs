//! The replicated state of one director: merges, bounds, expiry and its digest. Every order of updates, with
//! mutants of the merge that the check must find, is in `replication_model.rs`.
#![cfg(feature = "peers")]

#[path = "replication/fixtures.rs"]
mod fixtures;

use fixtures::{at, empty_state, property_config, SECOND, UNIX};
use foxhold::dispatch::Endpoint;
use foxhold::replication::digest::{DigestTree, Node};
use foxhold::replication::entry::{
    encode, DrainCommand, DrainRecord, EndpointRecord, EndpointState, Incarnation, Key, Kind, MergeOutcome,
    Value,
};
use foxhold::replication::state::{Bounds, ListScope, MergeError, ReplicatedState};
use foxhold::MemberState;
use proptest::prelude::*;
use std::collections::BTreeMap;

fn object_key(name: &str) -> Key {
    Key::Object(name.into())
}

fn endpoint(name: &str, state: MemberState, started_at: u64) -> Endpoint {
    let (address, zone, kind) = ("127.0.0.1:1".into(), "branch".into(), "cache".into());
    Endpoint { name: name.into(), address, zone, kind, cell: 0, state, size: 8.0, started_at }
}

// ---- merging ----

fn drain_numbers() -> impl Strategy<Value = BTreeMap<Incarnation, u32>> {
    proptest::collection::btree_map((0u64..3).prop_map(Incarnation), 1u32..4, 0..3)
}

/// Generates values of one kind, from a range small enough that they collide.
fn values_of(kind: u8) -> BoxedStrategy<Value> {
    match kind {
        0 => (0u64..5).prop_map(Value::Purged).boxed(),
        1 => (0u64..3, drain_numbers(), drain_numbers())
            .prop_map(|(started_at, drains, undrains)| {
                Value::Drain(DrainRecord {
                    started_at,
                    drains_by_incarnation: drains,
                    undrains_by_incarnation: undrains,
                })
            })
            .boxed(),
        _ => (1u64..4, 0u8..3)
            .prop_map(|(revision, state)| {
                Value::Endpoint(
                    revision,
                    EndpointRecord { state: EndpointState::from(state), ..EndpointRecord::default() },
                )
            })
            .boxed(),
    }
}

fn merged(a: &Value, b: &Value) -> Value {
    let mut a = a.clone();
    a.merge(b);
    a
}

proptest! {
    #![proptest_config(property_config(2_000))]

    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        (a, b, c) in (0u8..3).prop_flat_map(|kind| (values_of(kind), values_of(kind), values_of(kind)))
    ) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        prop_assert_eq!(merged(&merged(&a, &b), &b), merged(&a, &b), "expected no change by a duplicate");
    }

    #[test]
    fn digest_does_not_depend_on_the_order_of_entries(
        order in Just((0u64..200).collect::<Vec<_>>()).prop_shuffle()
    ) {
        let root_digest_of = |order: &[u64]| {
            let mut state = empty_state(1);
            order.iter().for_each(|n| drop(state.purge(object_key(&n.to_string()), UNIX + n, at(1))));
            state.digest().sum(Node::ROOT)
        };
        let sorted: Vec<u64> = (0..200).collect();
        prop_assert_eq!(root_digest_of(&order), root_digest_of(&sorted));
    }
}

#[test]
fn undrain_removes_only_the_drains_that_it_has_observed() {
    let (mut a, mut b) = (empty_state(1), empty_state(2));
    a.apply_member_update(1, ListScope::Full, &[endpoint("x", MemberState::Running, 0)], at(1));
    b.apply_member_update(1, ListScope::Full, &[endpoint("x", MemberState::Running, 0)], at(1));
    let (key, value) = a.set_drain("x", DrainCommand::Drain, at(2)).expect("capacity").expect("a change");
    b.merge(&key, &value, at(2)).expect("a valid entry");
    let is_draining = |state: &ReplicatedState| match state.get(&Key::Drain("x".into())) {
        Some(Value::Drain(record)) => record.is_draining(),
        _ => false,
    };
    // An undrain at one director and a drain at the other, concurrently.
    let (_, undrain) = a.set_drain("x", DrainCommand::Undrain, at(3)).expect("capacity").expect("a change");
    let (_, concurrent_drain) =
        b.set_drain("x", DrainCommand::Drain, at(3)).expect("capacity").expect("a change");
    assert!(!is_draining(&a) && is_draining(&b));
    a.merge(&key, &concurrent_drain, at(4)).expect("a valid entry");
    b.merge(&key, &undrain, at(4)).expect("a valid entry");
    assert!(is_draining(&a) && is_draining(&b), "expected the unobserved drain to stay");
    let (_, undrain) = b.set_drain("x", DrainCommand::Undrain, at(5)).expect("capacity").expect("a change");
    a.merge(&key, &undrain, at(5)).expect("a valid entry");
    a.merge(&key, &value, at(5)).expect("a valid entry");
    assert!(!is_draining(&a) && !is_draining(&b), "expected the old drain not to return");
    // A new process runs at the endpoint: drains of the former process no longer count.
    let (_, value) = a.set_drain("x", DrainCommand::Drain, at(6)).expect("capacity").expect("a change");
    b.merge(&key, &value, at(6)).expect("a valid entry");
    b.apply_member_update(2, ListScope::Incremental, &[endpoint("x", MemberState::Running, UNIX)], at(7));
    let (_, later_undrain) =
        b.set_drain("x", DrainCommand::Undrain, at(8)).expect("capacity").expect("a change");
    a.merge(&key, &later_undrain, at(8)).expect("a valid entry");
    assert!(!is_draining(&a) && !is_draining(&b));
    assert_eq!(
        a.merge(&key, &value, at(9)),
        Ok(MergeOutcome::Unchanged),
        "expected a drain of the former process to change nothing"
    );
}

#[test]
fn full_list_sets_tombstones_that_older_copies_do_not_undo() {
    let (mut a, mut b) = (empty_state(1), empty_state(2));
    let two = [endpoint("x", MemberState::Running, 0), endpoint("y", MemberState::Running, 0)];
    for state in [&mut a, &mut b] {
        state.apply_member_update(1, ListScope::Full, &two, at(1));
    }
    let older = b.get(&Key::Endpoint("y".into())).cloned().expect("listed");
    let updates = a.apply_member_update(2, ListScope::Full, &two[..1], at(2));
    assert_eq!(a.endpoint_state("y"), Some(MemberState::Gone));
    assert_eq!(a.merge(&Key::Endpoint("y".into()), &older, at(3)), Ok(MergeOutcome::Unchanged));
    assert_eq!(a.endpoint_state("y"), Some(MemberState::Gone), "expected the later event to stay in force");
    for (key, value) in updates {
        b.merge(&key, &value, at(3)).expect("a valid entry");
    }
    assert_eq!(
        a.digest().sum(Node::ROOT),
        b.digest().sum(Node::ROOT),
        "expected the same tombstone at all directors"
    );
}

#[test]
fn conflicting_copies_of_one_version_are_reported_and_resolved_identically() {
    let endpoint_of_size = |size| Value::Endpoint(3, EndpointRecord { size, ..EndpointRecord::default() });
    let (mut a, mut b) = (empty_state(1), empty_state(2));
    let key = Key::Endpoint("x".into());
    a.merge(&key, &endpoint_of_size(1.0), at(1)).expect("a valid entry");
    b.merge(&key, &endpoint_of_size(2.0), at(1)).expect("a valid entry");
    let merged_by_a = a.merge(&key, &endpoint_of_size(2.0), at(2));
    let merged_by_b = b.merge(&key, &endpoint_of_size(1.0), at(2));
    assert!(matches!((merged_by_a, merged_by_b),
            (Ok(MergeOutcome::Conflict { changed: x }), Ok(MergeOutcome::Conflict { changed: y }))
            if x != y));
    assert_eq!(a.get(&key), b.get(&key));
}

#[test]
fn every_byte_of_an_endpoint_state_is_decoded_and_encoded_unchanged() {
    for byte in 0..=u8::MAX {
        let state: EndpointState = postcard::from_bytes(&[byte]).expect("one byte");
        assert_eq!(encode(&state), [byte]);
        assert_eq!(MemberState::from(state) == MemberState::Gone, byte >= 2);
    }
}

// ---- bounds and expiry ----

#[test]
fn malformed_expired_and_future_entries_are_rejected() {
    let mut state = empty_state(1);
    let long_name = object_key(&"x".repeat(600));
    assert_eq!(state.merge(&long_name, &Value::Purged(UNIX), at(1)), Err(MergeError::Malformed));
    assert_eq!(state.merge(&object_key(""), &Value::Purged(UNIX), at(1)), Err(MergeError::Malformed));
    assert_eq!(
        state.merge(&object_key("x"), &Value::Drain(DrainRecord::default()), at(1)),
        Err(MergeError::Malformed)
    );
    assert_eq!(state.merge(&object_key("x"), &Value::Purged(UNIX), at(700)), Err(MergeError::Expired));
    // Clocks may differ by ten seconds, but not by an hour.
    assert_eq!(
        state.merge(&object_key("x"), &Value::Purged(UNIX + 11 * SECOND), at(1)),
        Ok(MergeOutcome::Changed)
    );
    assert_eq!(
        state.merge(&object_key("x"), &Value::Purged(UNIX + 3_600 * SECOND), at(1)),
        Err(MergeError::FromFuture)
    );
}

#[test]
fn purge_expires_by_its_own_time_and_does_not_return() {
    let (mut a, mut b) = (empty_state(1), empty_state(2));
    let (key, value) = a.purge(object_key("x"), UNIX, at(0)).expect("capacity").expect("a change");
    b.merge(&key, &value, at(0)).expect("a valid entry");
    assert!(a.expire(at(600)).is_empty(), "expected the purge to be kept for 600 s");
    assert_eq!(a.expire(at(601)), vec![key.clone()]);
    // The clock of the other director is behind: it still has the purge, and sends it.
    assert!(b.expire(at(595)).is_empty());
    assert_eq!(a.merge(&key, &value, at(601)), Err(MergeError::Expired));
    assert!(a.is_empty());
}

#[test]
fn tombstones_expire_and_a_director_away_for_longer_drops_its_member_list() {
    let (mut here, mut away) = (empty_state(1), empty_state(2));
    for state in [&mut here, &mut away] {
        state.apply_member_update(1, ListScope::Full, &[endpoint("x", MemberState::Running, 0)], at(1));
        state.purge(object_key("o"), UNIX + 1_000 * SECOND, at(1_000)).expect("capacity");
    }
    here.set_drain("x", DrainCommand::Drain, at(1)).expect("capacity");
    here.apply_member_update(2, ListScope::Incremental, &[endpoint("x", MemberState::Gone, 0)], at(2));
    assert!(here.expire(at(602)).is_empty());
    let expired = here.expire(at(1_210));
    assert_eq!(expired.len(), 2, "expected the tombstone and the drain to expire: {expired:?}");
    // The director that was away still lists the server whose tombstone has expired elsewhere.
    assert_eq!(away.endpoint_state("x"), Some(MemberState::Running));
    assert_eq!(away.forget_members(), 1);
    assert_eq!(
        (away.endpoint_state("x"), away.count(Kind::Purges)),
        (None, 1),
        "expected the purge to stay, because purges carry their time"
    );
}

#[test]
fn tombstones_are_evicted_first_and_purges_never() {
    let bounds = Bounds { entries: 10, ..Bounds::default() };
    let mut state = ReplicatedState::new(Incarnation(1), bounds);
    let tombstone =
        |n: u64| (Key::Endpoint(format!("gone-{n}")), Value::Endpoint(n, EndpointRecord::tombstone()));
    for n in 1..=5 {
        state.merge(&tombstone(n).0, &tombstone(n).1, at(1)).expect("capacity");
    }
    for n in 0..10 {
        state.merge(&Key::Group(n), &Value::Purged(UNIX), at(1)).expect("tombstones are evicted");
    }
    assert_eq!((state.count(Kind::Purges), state.count(Kind::Members)), (10, 0));
    assert_eq!(state.merge(&Key::Group(99), &Value::Purged(UNIX), at(1)), Err(MergeError::NoCapacity));
    assert_eq!(
        state.merge(&tombstone(3).0, &tombstone(3).1, at(1)),
        Err(MergeError::Expired),
        "expected a rejection, because this tombstone was evicted"
    );
    // An entry that is stored can always be updated.
    assert_eq!(state.merge(&Key::Group(3), &Value::Purged(UNIX + 1), at(1)), Ok(MergeOutcome::Changed));
    assert!(state.bytes() <= Bounds::default().bytes && state.len() == 10);
}

#[test]
fn drain_incarnations_are_bounded_and_a_full_state_rejects_new_entries() {
    let mut state = ReplicatedState::new(Incarnation(1), Bounds { entries: 1, ..Bounds::default() });
    let drain = |incarnation: u64| {
        Value::Drain(DrainRecord {
            drains_by_incarnation: BTreeMap::from([(Incarnation(incarnation), 1)]),
            ..DrainRecord::default()
        })
    };
    let key = Key::Drain("x".into());
    let rejected = (0..1_000).filter(|n| state.merge(&key, &drain(*n), at(1)).is_err()).count();
    assert_eq!(rejected, 1_000 - 256);
    assert!(encode(&(&key, state.get(&key))).len() < 8_000, "expected the entry to fit a message");
    assert_eq!(state.purge(object_key("y"), UNIX, at(1)), Err(MergeError::NoCapacity));
    assert_eq!(state.set_drain("y", DrainCommand::Drain, at(1)), Err(MergeError::NoCapacity));
}

#[test]
fn digest_of_an_emptied_state_equals_that_of_a_new_one() {
    let mut state = empty_state(1);
    for n in 0..500u32 {
        state.purge(Key::Group(n), UNIX + u64::from(n), at(1)).expect("capacity");
        state.purge(Key::Group(n), UNIX + u64::from(n) + 1, at(1)).expect("capacity");
    }
    assert_ne!(state.digest().sum(Node::ROOT), 0);
    state.expire(at(5_000));
    assert_eq!(state.digest().sum(Node::ROOT), DigestTree::default().sum(Node::ROOT));
    assert_eq!((state.len(), state.bytes()), (0, 0));
}
