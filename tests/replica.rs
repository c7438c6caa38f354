//! The replicated state without a socket: merges, bounds, digests, and many directors that talk over ways
//! that lose, double and delay. The exhaustive check of the merges, with mutants that it must find, is in
//! `replica_model.rs`.
#![cfg(feature = "peers")]

use foxhold::dispatch::Endpoint;
use foxhold::replication::digest::{DigestTree, Node};
use foxhold::replication::entry::{
    encode, DrainCommand, DrainRecord, EndpointRecord, EndpointState, Incarnation, Key, Kind, MergeOutcome,
    Value,
};
use foxhold::replication::gossip::{GossipMessage, GossipProtocol, Stage};
use foxhold::replication::state::{Bounds, ClockReading, ListScope, MergeError, ReplicatedState};
use foxhold::MemberState;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000;
const UNIX: u64 = 1_700_000_000 * SECOND;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn at(seconds: u64) -> ClockReading {
    ClockReading { monotonic: seconds * SECOND, unix: UNIX + seconds * SECOND }
}

fn state(run: u64) -> ReplicatedState {
    ReplicatedState::new(Incarnation(run), Bounds::default())
}

fn object(name: &str) -> Key {
    Key::Object(name.into())
}

fn listing(name: &str, state: MemberState, since: u64) -> Endpoint {
    let (address, zone, kind) = ("127.0.0.1:1".into(), "branch".into(), "cache".into());
    Endpoint { name: name.into(), address, zone, kind, cell: 0, state, size: 8.0, started_at: since }
}

// ---- merges ----

fn runs() -> impl Strategy<Value = BTreeMap<Incarnation, u32>> {
    proptest::collection::btree_map((0u64..3).prop_map(Incarnation), 1u32..4, 0..3)
}

/// Words of one kind, few enough that they meet.
fn words(kind: u8) -> BoxedStrategy<Value> {
    match kind {
        0 => (0u64..5).prop_map(Value::Purged).boxed(),
        1 => (0u64..3, runs(), runs())
            .prop_map(|(since, told, undone)| {
                Value::Drain(DrainRecord {
                    started_at: since,
                    drains_by_incarnation: told,
                    undrains_by_incarnation: undone,
                })
            })
            .boxed(),
        _ => (1u64..4, 0u8..3)
            .prop_map(|(rev, state)| {
                Value::Endpoint(
                    rev,
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
    #![proptest_config(config(2_000))]

    #[test]
    fn a_merge_is_commutative_associative_and_idempotent(
        (a, b, c) in (0u8..3).prop_flat_map(|kind| (words(kind), words(kind), words(kind)))
    ) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        prop_assert_eq!(merged(&merged(&a, &b), &b), merged(&a, &b), "a copy that comes twice");
    }

    #[test]
    fn a_digest_is_the_same_in_whatever_order_entries_came(
        order in Just((0u64..200).collect::<Vec<_>>()).prop_shuffle()
    ) {
        let fill = |order: &[u64]| {
            let mut state = state(1);
            order.iter().for_each(|n| drop(state.purge(object(&n.to_string()), UNIX + n, at(1))));
            state.digest().sum(Node::ROOT)
        };
        let sorted: Vec<u64> = (0..200).collect();
        prop_assert_eq!(fill(&order), fill(&sorted));
    }

    #[test]
    fn two_states_that_differ_are_alike_after_a_few_walks(
        mine in proptest::collection::btree_map(0u32..400, 0u64..3, 0..200),
        theirs in proptest::collection::btree_map(0u32..400, 0u64..3, 0..200),
    ) {
        let of = |run, entries: &BTreeMap<u32, u64>| {
            let mut state = state(run);
            entries.iter().for_each(|(group, n)| drop(state.purge(Key::Group(*group), UNIX + n, at(1))));
            GossipProtocol::<u8>::new(state, run, at(1))
        };
        let (mut a, mut b) = (of(1, &mine), of(2, &theirs));
        // Both have caught up; from here on by digests alone.
        for talk in [&mut a, &mut b] {
            talk.tick(at(9), &mut Vec::new());
            prop_assert_eq!(talk.stage(), Stage::Alone);
        }
        let mut walks = 0;
        while a.state.digest().sum(Node::ROOT) != b.state.digest().sum(Node::ROOT) {
            walks += 1;
            prop_assert!(walks < 40, "after {} walks", walks);
            let mut mail = vec![(false, GossipMessage::RootDigest(a.state.digest().sum(Node::ROOT)))];
            let mut steps = 0;
            while let Some((to_a, say)) = mail.pop() {
                steps += 1;
                prop_assert!(steps < 5_000, "a walk without end");
                let mut out = Vec::new();
                if to_a {
                    a.handle_message(&2, say, at(9), &mut out)
                } else {
                    b.handle_message(&1, say, at(9), &mut out)
                }
                mail.extend(out.into_iter().map(|(_, say)| (!to_a, say)));
            }
        }
        let all = |t: &GossipProtocol<u8>| encode(&t.state.entries_of_kind(Kind::Purges));
        prop_assert_eq!(all(&a), all(&b));
    }

    #[test]
    fn words_and_messages_from_anywhere_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let Ok(say) = postcard::from_bytes::<GossipMessage>(&bytes) else { return Ok(()) };
        let mut talk = GossipProtocol::<u8>::new(state(1), 1, at(1));
        talk.handle_message(&1, say, at(2), &mut Vec::new());
        talk.tick(at(3), &mut Vec::new());
    }
}

#[test]
fn in_doubt_the_drain_wins_and_an_undrain_takes_back_what_it_had_heard_of() {
    let (mut a, mut b) = (state(1), state(2));
    a.apply_member_update(1, ListScope::Full, &[listing("x", MemberState::Running, 0)], at(1));
    b.apply_member_update(1, ListScope::Full, &[listing("x", MemberState::Running, 0)], at(1));
    let (key, word) = a.set_drain("x", DrainCommand::Drain, at(2)).expect("room").expect("news");
    b.merge(&key, &word, at(2)).expect("taken");
    let drains = |s: &ReplicatedState| {
        let value = s.get(&Key::Drain("x".into()));
        matches!(value, Some(Value::Drain(record)) if record.is_draining())
    };
    // At once: an undrain on one side, a drain on the other.
    let (_, undone) = a.set_drain("x", DrainCommand::Undrain, at(3)).expect("room").expect("news");
    let (_, again) = b.set_drain("x", DrainCommand::Drain, at(3)).expect("room").expect("news");
    assert!(!drains(&a) && drains(&b));
    a.merge(&key, &again, at(4)).expect("taken");
    b.merge(&key, &undone, at(4)).expect("taken");
    assert!(drains(&a) && drains(&b), "in doubt it drains");
    let (_, undone) = b.set_drain("x", DrainCommand::Undrain, at(5)).expect("room").expect("news");
    a.merge(&key, &undone, at(5)).expect("taken");
    a.merge(&key, &word, at(5)).expect("taken");
    assert!(!drains(&a) && !drains(&b), "the old word does not come back");
    // Another process runs there: words about the one before are void.
    let (_, word) = a.set_drain("x", DrainCommand::Drain, at(6)).expect("room").expect("news");
    b.merge(&key, &word, at(6)).expect("taken");
    b.apply_member_update(2, ListScope::Incremental, &[listing("x", MemberState::Running, UNIX)], at(7));
    let (_, later) = b.set_drain("x", DrainCommand::Undrain, at(8)).expect("room").expect("news");
    a.merge(&key, &later, at(8)).expect("taken");
    assert!(!drains(&a) && !drains(&b));
    assert_eq!(a.merge(&key, &word, at(9)), Ok(MergeOutcome::Unchanged), "it names the process before");
}

#[test]
fn a_list_that_is_whole_ends_what_it_lacks_and_an_older_word_puts_nothing_back() {
    let (mut a, mut b) = (state(1), state(2));
    let two = [listing("x", MemberState::Running, 0), listing("y", MemberState::Running, 0)];
    for state in [&mut a, &mut b] {
        state.apply_member_update(1, ListScope::Full, &two, at(1));
    }
    let old = b.get(&Key::Endpoint("y".into())).cloned().expect("listed");
    let news = a.apply_member_update(2, ListScope::Full, &two[..1], at(2));
    assert_eq!(a.endpoint_state("y"), Some(MemberState::Gone));
    assert_eq!(a.merge(&Key::Endpoint("y".into()), &old, at(3)), Ok(MergeOutcome::Unchanged));
    assert_eq!(a.endpoint_state("y"), Some(MemberState::Gone), "the board's own word stands");
    for (key, word) in news {
        b.merge(&key, &word, at(3)).expect("taken");
    }
    assert_eq!(a.digest().sum(Node::ROOT), b.digest().sum(Node::ROOT), "all write a gone server alike");
}

#[test]
fn two_copies_of_one_version_that_differ_are_found_and_all_keep_the_same() {
    let place = |size| Value::Endpoint(3, EndpointRecord { size, ..EndpointRecord::default() });
    let (mut a, mut b) = (state(1), state(2));
    let key = Key::Endpoint("x".into());
    a.merge(&key, &place(1.0), at(1)).expect("taken");
    b.merge(&key, &place(2.0), at(1)).expect("taken");
    let one = a.merge(&key, &place(2.0), at(2));
    let two = b.merge(&key, &place(1.0), at(2));
    assert!(matches!((one, two),
            (Ok(MergeOutcome::Conflict { changed: x }), Ok(MergeOutcome::Conflict { changed: y }))
            if x != y));
    assert_eq!(a.get(&key), b.get(&key));
}

// ---- bounds and ends ----

#[test]
fn what_does_not_fit_or_is_too_old_or_too_far_ahead_is_turned_down() {
    let mut state = state(1);
    let long = object(&"x".repeat(600));
    assert_eq!(state.merge(&long, &Value::Purged(UNIX), at(1)), Err(MergeError::Malformed));
    assert_eq!(state.merge(&object(""), &Value::Purged(UNIX), at(1)), Err(MergeError::Malformed));
    assert_eq!(
        state.merge(&object("x"), &Value::Drain(DrainRecord::default()), at(1)),
        Err(MergeError::Malformed)
    );
    assert_eq!(state.merge(&object("x"), &Value::Purged(UNIX), at(700)), Err(MergeError::Expired));
    // Clocks ten seconds apart are no reason; an hour is.
    assert_eq!(
        state.merge(&object("x"), &Value::Purged(UNIX + 11 * SECOND), at(1)),
        Ok(MergeOutcome::Changed)
    );
    assert_eq!(
        state.merge(&object("x"), &Value::Purged(UNIX + 3_600 * SECOND), at(1)),
        Err(MergeError::FromFuture)
    );
}

#[test]
fn a_purge_ends_by_its_own_time_and_does_not_come_back() {
    let (mut a, mut b) = (state(1), state(2));
    let (key, word) = a.purge(object("x"), UNIX, at(0)).expect("room").expect("news");
    b.merge(&key, &word, at(0)).expect("taken");
    assert!(a.expire(at(600)).is_empty(), "still kept");
    assert_eq!(a.expire(at(601)), vec![key.clone()]);
    // The other's clock is behind: it still has it, and offers it.
    assert!(b.expire(at(595)).is_empty());
    assert_eq!(a.merge(&key, &word, at(601)), Err(MergeError::Expired));
    assert!(a.is_empty());
}

#[test]
fn a_gone_server_is_let_go_past_the_horizon_and_who_was_away_so_long_forgets_its_list() {
    let (mut here, mut away) = (state(1), state(2));
    for state in [&mut here, &mut away] {
        state.apply_member_update(1, ListScope::Full, &[listing("x", MemberState::Running, 0)], at(1));
        state.purge(object("o"), UNIX + 1_000 * SECOND, at(1_000)).expect("room");
    }
    here.set_drain("x", DrainCommand::Drain, at(1)).expect("room");
    here.apply_member_update(2, ListScope::Incremental, &[listing("x", MemberState::Gone, 0)], at(2));
    assert!(here.expire(at(602)).is_empty());
    let ended = here.expire(at(1_210));
    assert_eq!(ended.len(), 2, "the listing, and the word on the process: {ended:?}");
    // It still has the server that all others have let go of.
    assert_eq!(away.endpoint_state("x"), Some(MemberState::Running));
    assert_eq!(away.forget_members(), 1);
    assert_eq!(
        (away.endpoint_state("x"), away.count(Kind::Purges)),
        (None, 1),
        "purges carry their time and stay"
    );
}

#[test]
fn where_room_is_short_gone_servers_go_first_and_purges_never() {
    let bounds = Bounds { entries: 10, ..Bounds::default() };
    let mut state = ReplicatedState::new(Incarnation(1), bounds);
    let gone = |n: u64| (Key::Endpoint(format!("gone-{n}")), Value::Endpoint(n, EndpointRecord::tombstone()));
    for n in 1..=5 {
        state.merge(&gone(n).0, &gone(n).1, at(1)).expect("room");
    }
    for n in 0..10 {
        state.merge(&Key::Group(n), &Value::Purged(UNIX), at(1)).expect("room is made");
    }
    assert_eq!((state.count(Kind::Purges), state.count(Kind::Members)), (10, 0));
    assert_eq!(state.merge(&Key::Group(99), &Value::Purged(UNIX), at(1)), Err(MergeError::NoCapacity));
    assert_eq!(state.merge(&gone(3).0, &gone(3).1, at(1)), Err(MergeError::Expired), "it was let go of");
    // What is held can always be brought up to date.
    assert_eq!(state.merge(&Key::Group(3), &Value::Purged(UNIX + 1), at(1)), Ok(MergeOutcome::Changed));
    assert!(state.bytes() <= Bounds::default().bytes && state.len() == 10);
}

#[test]
fn words_of_ever_more_runs_find_an_end_and_what_finds_no_room_is_not_called_news() {
    let mut state = ReplicatedState::new(Incarnation(1), Bounds { entries: 1, ..Bounds::default() });
    let words = |run: u64| {
        Value::Drain(DrainRecord {
            drains_by_incarnation: BTreeMap::from([(Incarnation(run), 1)]),
            ..DrainRecord::default()
        })
    };
    let key = Key::Drain("x".into());
    let refused = (0..1_000).filter(|run| state.merge(&key, &words(*run), at(1)).is_err()).count();
    assert_eq!(refused, 1_000 - 256);
    assert!(encode(&(&key, state.get(&key))).len() < 8_000, "it fits a message");
    assert_eq!(state.purge(object("y"), UNIX, at(1)), Err(MergeError::NoCapacity));
    assert_eq!(state.set_drain("y", DrainCommand::Drain, at(1)), Err(MergeError::NoCapacity));
}

#[test]
fn a_digest_has_no_trace_of_what_was_let_go() {
    let mut state = state(1);
    for n in 0..500u32 {
        state.purge(Key::Group(n), UNIX + u64::from(n), at(1)).expect("room");
        state.purge(Key::Group(n), UNIX + u64::from(n) + 1, at(1)).expect("room");
    }
    assert_ne!(state.digest().sum(Node::ROOT), 0);
    state.expire(at(5_000));
    assert_eq!(state.digest().sum(Node::ROOT), DigestTree::default().sum(Node::ROOT));
    assert_eq!((state.len(), state.bytes()), (0, 0));
}

// ---- many of them, over bad ways ----

/// Directors in simulated time, and messages under way between them.
struct Sim {
    nodes: Vec<Option<GossipProtocol<usize>>>,
    random: u64,
    steady: u64,
    /// Arrival, a number, to whom, from whom, what.
    mail: BTreeMap<(u64, u64), (usize, usize, GossipMessage)>,
    sent: u64,
    lost: f64,
    twice: f64,
    late: u64,
    /// Parts of the fleet that hear each other.
    part: Vec<u8>,
}

impl Sim {
    fn new(directors: usize, seed: u64) -> Sim {
        let mut sim = Sim {
            nodes: (0..directors).map(|_| None).collect(),
            random: seed,
            steady: SECOND,
            mail: BTreeMap::new(),
            sent: 0,
            lost: 0.0,
            twice: 0.0,
            late: 0,
            part: vec![0; directors],
        };
        (0..directors).for_each(|n| sim.start(n, None));
        sim
    }

    fn unit(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn now(&self) -> ClockReading {
        ClockReading { monotonic: self.steady, unix: UNIX + self.steady }
    }

    /// Starts a director from nothing, or from what a disk held.
    fn start(&mut self, n: usize, disk: Option<Vec<(Key, Value)>>) {
        self.random = self.random.wrapping_add(1);
        let (run, now) = (self.random ^ (n as u64) << 48, self.now());
        let mut state = state(run);
        disk.into_iter().flatten().for_each(|(key, word)| {
            let _ = state.merge(&key, &word, now);
        });
        self.nodes[n] = Some(GossipProtocol::new(state, run, now));
        let all: Vec<usize> = (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).collect();
        for (n, node) in self.nodes.iter_mut().enumerate() {
            if let Some(node) = node {
                node.set_members(all.iter().copied().filter(|other| *other != n).collect());
            }
        }
    }

    fn disk(&self, n: usize) -> Vec<(Key, Value)> {
        let Some(node) = &self.nodes[n] else { return Vec::new() };
        let all = Kind::ALL.into_iter().flat_map(|kind| node.state.entries_of_kind(kind));
        all.map(|(key, word)| (key.clone(), word.clone())).collect()
    }

    fn post(&mut self, from: usize, out: Vec<(usize, GossipMessage)>) {
        for (to, say) in out {
            if self.part[from] != self.part[to] || self.unit() < self.lost {
                continue;
            }
            let copies = if self.unit() < self.twice { 2 } else { 1 };
            for _ in 0..copies {
                let late = (self.unit() * (self.late + 1_000) as f64) as u64;
                self.sent += 1;
                self.mail.insert((self.steady + late, self.sent), (to, from, say.clone()));
            }
        }
    }

    /// So many seconds, in steps of 20 ms.
    fn run(&mut self, seconds: f64) {
        let end = self.steady + (seconds * SECOND as f64) as u64;
        while self.steady < end {
            self.steady += 20_000;
            let now = self.now();
            while let Some(entry) = self.mail.first_entry().filter(|e| e.key().0 <= now.monotonic) {
                let (to, from, say) = entry.remove();
                let mut out = Vec::new();
                if let Some(node) = &mut self.nodes[to] {
                    node.handle_message(&from, say, now, &mut out);
                }
                self.post(to, out);
            }
            for n in 0..self.nodes.len() {
                let mut out = Vec::new();
                if let Some(node) = &mut self.nodes[n] {
                    node.tick(now, &mut out);
                }
                self.post(n, out);
            }
        }
    }

    fn tell(
        &mut self,
        n: usize,
        tell: impl FnOnce(&mut ReplicatedState, ClockReading) -> Option<(Key, Value)>,
    ) -> Option<(Key, Value)> {
        let now = self.now();
        let node = self.nodes[n].as_mut()?;
        let change = tell(&mut node.state, now);
        node.publish(change.clone());
        change
    }

    fn all(&self) -> Vec<Vec<u8>> {
        let up = (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some());
        up.map(|n| encode(&self.disk(n))).collect()
    }

    fn alike(&self) -> bool {
        let all = self.all();
        all.iter().all(|one| *one == all[0])
    }
}

/// A few hundred words at six directors, over ways that lose a fifth, double some and are late by up to 2 s,
/// with cuts and restarts from disk: in the end all hold the join of all words.
#[test]
fn whatever_the_ways_do_all_come_to_hold_the_join_of_all_words() {
    for seed in 1..=6 {
        let mut sim = Sim::new(6, seed);
        let mut join = state(0);
        let server = |n: u64| format!("server-{}", n % 4);
        sim.run(5.0);
        (sim.lost, sim.twice, sim.late) = (0.2, 0.2, 2 * SECOND);
        for step in 0..250u64 {
            let n = (sim.unit() * 6.0) as usize;
            let what = sim.unit();
            let change = match what {
                x if x < 0.4 => {
                    let (group, unix) = ((sim.unit() * 20.0) as u32, sim.now().unix);
                    sim.tell(n, |s, now| s.purge(Key::Group(group), unix, now).ok().flatten())
                }
                x if x < 0.8 => {
                    let (on, name) = (sim.unit() < 0.5, server(step));
                    let command = if on { DrainCommand::Drain } else { DrainCommand::Undrain };
                    sim.tell(n, |s, now| s.set_drain(&name, command, now).ok().flatten())
                }
                x if x < 0.9 => {
                    // The board's event is heard by some directors only.
                    let list = [listing(&server(step), MemberState::Running, step)];
                    let mut change = None;
                    for n in 0..6 {
                        if sim.unit() < 0.5 {
                            change = sim
                                .tell(n, |s, now| {
                                    s.apply_member_update(step + 2, ListScope::Incremental, &list, now).pop()
                                })
                                .or(change);
                        }
                    }
                    change
                }
                x if x < 0.95 => {
                    let disk = sim.disk(n);
                    sim.start(n, Some(disk));
                    None
                }
                _ => {
                    for n in 0..6 {
                        sim.part[n] = u8::from(sim.unit() < 0.4);
                    }
                    None
                }
            };
            if let Some((key, word)) = change {
                let now = sim.now();
                join.merge(&key, &word, now).expect("a good word");
            }
            sim.run(0.1);
        }
        (sim.lost, sim.twice, sim.late) = (0.0, 0.0, 0);
        sim.part.fill(0);
        sim.run(12.0);
        assert!(sim.alike(), "seed {seed}");
        let all = Kind::ALL.into_iter().flat_map(|kind| join.entries_of_kind(kind));
        let all: Vec<(Key, Value)> = all.map(|(k, w)| (k.clone(), w.clone())).collect();
        assert_eq!(sim.disk(0), all, "seed {seed}");
    }
}

#[test]
fn one_that_starts_from_nothing_catches_up_and_goes_on_with_another_when_its_source_dies() {
    let mut sim = Sim::new(4, 5);
    for n in 0..3_000u32 {
        sim.tell(0, |s, now| s.purge(Key::Group(n), now.unix, now).ok().flatten());
    }
    sim.run(30.0);
    assert!(sim.alike(), "by digests, for so many rumours find no room");
    sim.start(3, None);
    sim.run(0.06);
    let held = |sim: &Sim| sim.nodes[3].as_ref().map_or(0, |n| n.state.len());
    assert!(held(&sim) > 0 && held(&sim) < 3_000, "midway: {}", held(&sim));
    // Two of the three that it may be asking die, without a word.
    (sim.nodes[0], sim.nodes[1]) = (None, None);
    sim.run(3.0);
    let node = sim.nodes[3].as_ref().expect("running");
    assert_eq!((node.stage(), node.state.len()), (Stage::CaughtUp, 3_000));
    assert!(node.counters().source_changes > 0, "some lanes went on with another");
}

#[test]
fn where_all_start_at_once_nobody_waits_for_the_others_for_ever() {
    let mut sim = Sim::new(5, 9);
    sim.run(4.0);
    assert!(sim.nodes.iter().flatten().all(|n| n.stage() != Stage::CatchingUp));
    sim.tell(1, |s, now| s.purge(Key::Group(1), now.unix, now).ok().flatten());
    sim.run(0.5);
    assert!(sim.alike() && sim.nodes.iter().flatten().all(|n| n.state.len() == 1));
}

/// The time from a word until the last of 300 holds it, with a twentieth of all messages lost.
#[test]
fn a_word_is_with_all_of_three_hundred_within_a_second_though_messages_are_lost() {
    let mut sim = Sim::new(300, 3);
    sim.run(4.0);
    sim.lost = 0.05;
    for n in 0..8u32 {
        sim.tell(n as usize * 37, |s, now| s.purge(Key::Group(n), now.unix, now).ok().flatten());
        let holds = |t: &GossipProtocol<usize>| t.state.get(&Key::Group(n)).is_some();
        let mut took = 0.0;
        while !sim.nodes.iter().flatten().all(holds) {
            sim.run(0.02);
            took += 0.02;
            assert!(took < 2.0, "word {n}");
        }
        assert!(took <= 1.5, "word {n} took {took:.2} s");
    }
}
