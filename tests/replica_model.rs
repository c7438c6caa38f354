//! Every order in which words, copies, compactions and restarts can come, for a few directors and words:
//! nothing that was taken back comes back, and in doubt the drain wins. Mutants of the rules have to be found
//! by the same check.
#![cfg(feature = "peers")]

use foxhold::replication::entry::{DrainRecord, EndpointRecord, Incarnation, Value};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

/// The rules under check; a mutant changes one of them.
struct Rules {
    name: &'static str,
    merge: fn(&mut Value, &Value),
    /// What a director keeps after a merge or a word: a mutant lets go too early.
    keep: fn(&mut Value),
    /// The run of a director after so many restarts from nothing.
    run: fn(usize, u32) -> Incarnation,
    /// What a snapshot says of a word.
    snapshot: fn(&Value) -> Value,
}

const AS_BUILT: Rules = Rules {
    name: "as built",
    merge: |word, other| {
        let _ = word.merge(other);
    },
    keep: |_| {},
    run: |n, restarts| Incarnation(n as u64 * 10 + u64::from(restarts)),
    snapshot: Value::clone,
};

/// Directors, all messages ever sent (each may arrive at any time, any number of times, or never), and what
/// was done.
#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    /// As bytes, for `Word` has no order of its own.
    held: Vec<Vec<u8>>,
    mail: BTreeSet<Vec<u8>>,
    restarts: Vec<u32>,
    told: u32,
    /// Whether the last word told to anyone was a drain.
    last_drains: bool,
    /// The last event told to anyone.
    latest: u32,
    /// Drains that each director has seen taken back, and the highest event that it has seen.
    undone: Vec<BTreeSet<(Incarnation, u32)>>,
    seen: Vec<u64>,
}

fn pack(word: &Value) -> Vec<u8> {
    foxhold::replication::entry::encode(word)
}

fn unpack(bytes: &[u8]) -> Value {
    postcard::from_bytes(bytes).expect("a word")
}

const DIRECTORS: usize = 3;

fn words_of(word: &Value) -> DrainRecord {
    match word {
        Value::Drain(words) => words.clone(),
        _ => DrainRecord::default(),
    }
}

/// Explores all that can happen within the bounds; the number of worlds, or what went wrong.
fn explore(
    rules: &Rules,
    start: Value,
    most_told: u32,
    most_mail: usize,
    most_restarts: u32,
) -> Result<usize, String> {
    let first = World {
        held: vec![pack(&start); DIRECTORS],
        mail: BTreeSet::new(),
        restarts: vec![0; DIRECTORS],
        told: 0,
        last_drains: false,
        latest: 0,
        undone: vec![BTreeSet::new(); DIRECTORS],
        seen: vec![0; DIRECTORS],
    };
    let mut known: HashSet<World> = HashSet::from([first.clone()]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        check(rules, &world)?;
        for next in steps(rules, &world, &start, most_told, most_mail, most_restarts) {
            if known.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    Ok(known.len())
}

fn check(rules: &Rules, world: &World) -> Result<(), String> {
    let wrong = |what: &str| Err(format!("{}: {what}", rules.name));
    // All that is about meets at one place, in two orders.
    let everything: Vec<Value> = world.held.iter().chain(&world.mail).map(|b| unpack(b)).collect();
    let join = |words: &mut dyn Iterator<Item = &Value>| {
        let mut sum: Option<Value> = None;
        for word in words {
            match &mut sum {
                None => sum = Some(word.clone()),
                Some(sum) => (rules.merge)(sum, word),
            }
        }
        sum.expect("directors")
    };
    let (one, other) = (join(&mut everything.iter()), join(&mut everything.iter().rev()));
    if one != other {
        return wrong("the order of copies decides");
    }
    if matches!(one, Value::Drain(_)) && world.last_drains && !words_of(&one).is_draining() {
        return wrong("the last word was a drain, nobody has taken it back, and it is lost");
    }
    if matches!(&one, Value::Endpoint(_, place) if world.latest > 0 && place.cell != world.latest) {
        return wrong("an older event stands above the last one told");
    }
    for (n, held) in world.held.iter().enumerate() {
        match unpack(held) {
            Value::Drain(words) => {
                let in_force = |d: &&(Incarnation, u32)| {
                    words.drains_by_incarnation.get(&d.0) == Some(&d.1)
                        && words.undrains_by_incarnation.get(&d.0) < Some(&d.1)
                };
                if let Some(dot) = world.undone[n].iter().find(in_force) {
                    return wrong(&format!("a drain that was taken back is in force again: {dot:?}"));
                }
            }
            Value::Endpoint(rev, _) if rev < world.seen[n] => return wrong("an older event is back"),
            _ => {}
        }
    }
    Ok(())
}

fn settle(rules: &Rules, world: &mut World, n: usize, mut word: Value) {
    (rules.keep)(&mut word);
    match &word {
        Value::Drain(words) => {
            world.undone[n].extend(words.undrains_by_incarnation.iter().map(|(run, n)| (*run, *n)))
        }
        Value::Endpoint(rev, _) => world.seen[n] = world.seen[n].max(*rev),
        Value::Purged(_) => {}
    }
    world.held[n] = pack(&word);
}

fn steps(
    rules: &Rules,
    world: &World,
    start: &Value,
    most_told: u32,
    most_mail: usize,
    most_restarts: u32,
) -> Vec<World> {
    let mut next = Vec::new();
    for n in 0..DIRECTORS {
        let held = unpack(&world.held[n]);
        // A word is told here.
        if world.told < most_told {
            let told: Vec<(Value, bool)> = match &held {
                Value::Drain(words) => {
                    let run = (rules.run)(n, world.restarts[n]);
                    vec![
                        (Value::Drain(words.with_drain(run, 0)), true),
                        (Value::Drain(words.with_undrain(0)), false),
                    ]
                }
                Value::Endpoint(..) => {
                    let rev = u64::from(world.told) + 1;
                    let place = EndpointRecord { cell: rev as u32, ..EndpointRecord::default() };
                    vec![(Value::Endpoint(rev, place), false)]
                }
                Value::Purged(_) => Vec::new(),
            };
            for (word, drains) in told {
                let mut world = World {
                    told: world.told + 1,
                    last_drains: drains,
                    latest: world.told + 1,
                    ..world.clone()
                };
                // A director's own source is merged like any other word.
                let mut merged = held.clone();
                (rules.merge)(&mut merged, &word);
                // Seen before the rules let anything go.
                if let Value::Drain(words) = &word {
                    world.undone[n].extend(words.undrains_by_incarnation.iter().map(|(run, n)| (*run, *n)));
                }
                settle(rules, &mut world, n, merged);
                next.push(world);
            }
        }
        // It sends what it holds.
        let snapshot = pack(&(rules.snapshot)(&held));
        if world.mail.len() < most_mail && !world.mail.contains(&snapshot) {
            let mut world = world.clone();
            world.mail.insert(snapshot);
            next.push(world);
        }
        // Any message arrives, whenever, and stays: it may come again.
        for message in &world.mail {
            let mut merged = held.clone();
            (rules.merge)(&mut merged, &unpack(message));
            let mut world = world.clone();
            settle(rules, &mut world, n, merged);
            next.push(world);
        }
        // It loses its memory and starts anew.
        if world.restarts[n] < most_restarts && world.restarts.iter().sum::<u32>() < 1 {
            let mut world = world.clone();
            world.held[n] = pack(start);
            world.restarts[n] += 1;
            // What only it had heard is lost with it, and may be.
            (world.last_drains, world.latest) = (false, 0);
            world.undone[n].clear();
            world.seen[n] = 0;
            next.push(world);
        }
    }
    next
}

fn drains() -> Value {
    Value::Drain(DrainRecord::default())
}

fn listed() -> Value {
    Value::Endpoint(0, EndpointRecord::default())
}

#[test]
fn in_every_order_of_words_copies_and_restarts_the_rules_hold() {
    let worlds = explore(&AS_BUILT, drains(), 3, 3, 1).expect("drains");
    println!("drains: {worlds} worlds");
    assert!(worlds > 10_000, "{worlds}");
    let worlds = explore(&AS_BUILT, listed(), 4, 3, 1).expect("events");
    println!("events: {worlds} worlds");
    assert!(worlds > 1_000, "{worlds}");
}

/// Four words: 918,970 worlds, some minutes without optimisation.
#[test]
#[ignore = "the large form, by command: cargo test --release --test replica_model -- --ignored --nocapture"]
fn the_same_with_a_word_more() {
    let worlds = explore(&AS_BUILT, drains(), 4, 3, 1).expect("drains");
    println!("drains: {worlds} worlds");
    assert!(worlds > 500_000, "{worlds}");
}

#[test]
fn each_mutant_of_the_rules_is_found() {
    let mutants = [
        (
            Rules { name: "the last to arrive wins", merge: |word, other| *word = other.clone(), ..AS_BUILT },
            drains(),
        ),
        (
            Rules {
                name: "a tombstone dropped early",
                keep: |word| {
                    if let Value::Drain(words) = word {
                        if !words.is_draining() {
                            (words.drains_by_incarnation, words.undrains_by_incarnation) =
                                (BTreeMap::new(), BTreeMap::new());
                        }
                    }
                },
                ..AS_BUILT
            },
            drains(),
        ),
        (
            Rules {
                name: "a run's name used again after a restart",
                run: |n, _| Incarnation(n as u64),
                ..AS_BUILT
            },
            drains(),
        ),
        (
            Rules {
                name: "a snapshot that forgets the version",
                snapshot: |word| match word {
                    Value::Endpoint(_, place) => Value::Endpoint(9, place.clone()),
                    other => other.clone(),
                },
                ..AS_BUILT
            },
            listed(),
        ),
        (
            Rules {
                name: "the last event to arrive wins",
                merge: |word, other| *word = other.clone(),
                ..AS_BUILT
            },
            listed(),
        ),
    ];
    for (rules, start) in mutants {
        let found = explore(&rules, start, 4, 3, 1);
        println!("{found:?}");
        assert!(found.is_err(), "{} was not found", rules.name);
    }
}
