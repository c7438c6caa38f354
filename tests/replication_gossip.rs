//! The gossip and anti-entropy protocol: two directors that compare digests, and simulated fleets over links
//! that lose, duplicate and delay messages.
#![cfg(feature = "peers")]

#[path = "replication/fixtures.rs"]
mod fixtures;
#[path = "replication/simulation.rs"]
mod simulation;

use fixtures::{at, empty_state, property_config, SECOND, UNIX};
use foxhold::dispatch::Endpoint;
use foxhold::replication::digest::Node;
use foxhold::replication::entry::{encode, DrainCommand, Key, Kind, Value};
use foxhold::replication::gossip::{GossipMessage, GossipProtocol, Stage};
use foxhold::replication::state::{ClockReading, ListScope, ReplicatedState};
use foxhold::MemberState;
use proptest::prelude::*;
use simulation::{Links, Simulation};
use std::collections::BTreeMap;

fn endpoint(name: &str, started_at: u64) -> Endpoint {
    let (address, zone, kind) = ("127.0.0.1:1".into(), "branch".into(), "cache".into());
    let state = MemberState::Running;
    Endpoint { name: name.into(), address, zone, kind, cell: 0, state, size: 8.0, started_at }
}

fn purge_group(group: u32) -> impl Fn(&mut ReplicatedState, ClockReading) -> Option<(Key, Value)> {
    move |state, now| state.purge(Key::Group(group), now.unix, now).ok().flatten()
}

// ---- two directors ----

/// Returns a director that holds these purges of groups.
fn director_with_purges(incarnation: u64, purges: &BTreeMap<u32, u64>) -> GossipProtocol<u8> {
    let mut state = empty_state(incarnation);
    purges.iter().for_each(|(group, n)| drop(state.purge(Key::Group(*group), UNIX + n, at(1))));
    GossipProtocol::new(state, incarnation, at(1))
}

fn root_digest(director: &GossipProtocol<u8>) -> u64 {
    director.state.digest().sum(Node::ROOT)
}

proptest! {
    #![proptest_config(property_config(2_000))]

    #[test]
    fn anti_entropy_makes_two_states_equal(
        purges_of_a in proptest::collection::btree_map(0u32..400, 0u64..3, 0..200),
        purges_of_b in proptest::collection::btree_map(0u32..400, 0u64..3, 0..200),
    ) {
        let (mut a, mut b) = (director_with_purges(1, &purges_of_a), director_with_purges(2, &purges_of_b));
        // Both have left the catch-up stage: from here on only digests find the differences.
        for director in [&mut a, &mut b] {
            director.tick(at(9), &mut Vec::new());
            prop_assert_eq!(director.stage(), Stage::NoPeers);
        }
        let mut walks = 0;
        while root_digest(&a) != root_digest(&b) {
            walks += 1;
            prop_assert!(walks < 40, "expected equal states within 40 walks, now at {}", walks);
            let mut in_flight = vec![(false, GossipMessage::RootDigest(root_digest(&a)))];
            let mut messages = 0;
            while let Some((is_to_a, message)) = in_flight.pop() {
                messages += 1;
                prop_assert!(messages < 5_000, "expected a walk to end within 5,000 messages");
                let mut replies = Vec::new();
                if is_to_a {
                    a.handle_message(&2, message, at(9), &mut replies)
                } else {
                    b.handle_message(&1, message, at(9), &mut replies)
                }
                in_flight.extend(replies.into_iter().map(|(_, reply)| (!is_to_a, reply)));
            }
        }
        let purges = |director: &GossipProtocol<u8>| encode(&director.state.entries_of_kind(Kind::Purges));
        prop_assert_eq!(purges(&a), purges(&b));
    }

    #[test]
    fn arbitrary_messages_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let Ok(message) = postcard::from_bytes::<GossipMessage>(&bytes) else { return Ok(()) };
        let mut director = GossipProtocol::<u8>::new(empty_state(1), 1, at(1));
        director.handle_message(&1, message, at(2), &mut Vec::new());
        director.tick(at(3), &mut Vec::new());
    }
}

// ---- fleets ----

/// Applies one random step to a fleet of six: a purge, a drain or undrain, an event of the discovery source
/// that only some directors receive, a restart from disk, or a different partition. Returns the entry that
/// changed.
fn random_step(fleet: &mut Simulation, step: u64) -> Option<(Key, Value)> {
    let n = (fleet.unit() * 6.0) as usize;
    let server = format!("server-{}", step % 4);
    match fleet.unit() {
        x if x < 0.4 => {
            let group = (fleet.unit() * 20.0) as u32;
            fleet.change(n, purge_group(group))
        }
        x if x < 0.8 => {
            let command = if fleet.unit() < 0.5 { DrainCommand::Drain } else { DrainCommand::Undrain };
            fleet.change(n, |state, now| state.set_drain(&server, command, now).ok().flatten())
        }
        x if x < 0.9 => {
            let list = [endpoint(&server, step)];
            let scope = ListScope::Incremental;
            let mut changed = None;
            for n in 0..6 {
                if fleet.unit() < 0.5 {
                    let update = fleet
                        .change(n, |state, now| state.apply_member_update(step + 2, scope, &list, now).pop());
                    changed = update.or(changed);
                }
            }
            changed
        }
        x if x < 0.95 => {
            let stored = fleet.stored(n);
            fleet.start(n, stored);
            None
        }
        _ => {
            for n in 0..6 {
                fleet.partition[n] = u8::from(fleet.unit() < 0.4);
            }
            None
        }
    }
}

/// Applies 250 random steps to six directors, which in the end must all hold the merge of all updates.
#[test]
fn directors_converge_despite_loss_duplicates_delay_partitions_and_restarts() {
    for seed in 1..=6 {
        let mut fleet = Simulation::new(6, seed);
        let mut expected = empty_state(0);
        fleet.run(5.0);
        fleet.links = Links { loss: 0.2, duplication: 0.2, max_delay: 2 * SECOND };
        for step in 0..250u64 {
            if let Some((key, value)) = random_step(&mut fleet, step) {
                let now = fleet.now();
                expected.merge(&key, &value, now).expect("a valid entry");
            }
            fleet.run(0.1);
        }
        fleet.links = Links::default();
        fleet.partition.fill(0);
        fleet.run(12.0);
        assert!(fleet.is_in_sync(), "seed {seed}");
        let expected = Kind::ALL.into_iter().flat_map(|kind| expected.entries_of_kind(kind));
        let expected: Vec<(Key, Value)> = expected.map(|(key, value)| (key.clone(), value.clone())).collect();
        assert_eq!(fleet.stored(0), expected, "seed {seed}");
    }
}

#[test]
fn catch_up_continues_with_another_source_if_some_stop() {
    let mut fleet = Simulation::new(4, 5);
    for group in 0..3_000u32 {
        fleet.change(0, purge_group(group));
    }
    fleet.run(30.0);
    assert!(fleet.is_in_sync(), "expected equal states by digests, because fewer updates may be pending");
    fleet.start(3, Vec::new());
    fleet.run(0.06);
    let held = |fleet: &Simulation| fleet.directors[3].as_ref().map_or(0, |n| n.state.len());
    assert!(held(&fleet) > 0 && held(&fleet) < 3_000, "expected some of 3,000 entries, got {}", held(&fleet));
    // Two of its three possible sources stop.
    (fleet.directors[0], fleet.directors[1]) = (None, None);
    fleet.run(3.0);
    let director = fleet.directors[3].as_ref().expect("running");
    assert_eq!((director.stage(), director.state.len()), (Stage::CaughtUp, 3_000));
    assert!(
        director.counters().source_changes > 0,
        "expected some transfer lanes to continue with another source"
    );
}

#[test]
fn directors_that_start_together_do_not_wait_for_each_other() {
    let mut fleet = Simulation::new(5, 9);
    fleet.run(4.0);
    assert!(fleet.directors.iter().flatten().all(|n| n.stage() != Stage::CatchingUp));
    fleet.change(1, purge_group(1));
    fleet.run(0.5);
    assert!(fleet.is_in_sync() && fleet.directors.iter().flatten().all(|n| n.state.len() == 1));
}

/// Measures the time from an update until all of 300 directors have it, with 5% of the messages lost.
#[test]
fn update_reaches_three_hundred_directors_within_a_second_and_a_half_despite_loss() {
    let mut fleet = Simulation::new(300, 3);
    fleet.run(4.0);
    fleet.links.loss = 0.05;
    for group in 0..8u32 {
        fleet.change(group as usize * 37, purge_group(group));
        let has_update = |n: &GossipProtocol<usize>| n.state.get(&Key::Group(group)).is_some();
        let mut elapsed = 0.0;
        while !fleet.directors.iter().flatten().all(has_update) {
            fleet.run(0.02);
            elapsed += 0.02;
            assert!(elapsed < 2.0, "update {group} not at all directors within 2 s");
        }
        assert!(elapsed <= 1.5, "update {group} took {elapsed:.2} s");
    }
}
