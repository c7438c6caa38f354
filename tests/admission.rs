//! What is admitted while the zone's link or the origin is crowded.

mod common;
use common::*;
use foxhold::*;

/// An answer of this time is late for the class's aim, and nearly all of it was waited for the first byte.
const LATE_ANSWER: Micros = 450_000;
const LATE_FIRST_BYTE: Micros = 400_000;
/// The same answer where the bytes themselves took the time.
const EARLY_FIRST_BYTE: Micros = 50_000;
/// How many lone requests are looked at.
const PROBES: u64 = 100;

fn deployment_without_joins() -> Settings {
    Settings { request_collapsing: false, direct_requests: false, ..settings() }
}

/// Ends a fill for which the parent had to ask the origin.
fn fetched_from_origin(gateway: &mut Gateway, one: &Sent, took: Micros, waited: Micros) {
    let end = AttemptEnd {
        request: one.request,
        attempt: 0,
        server: one.server,
        outcome: Outcome::Ok,
        elapsed: took,
        request_finished: true,
        cache_status: CacheStatus::FilledFromOrigin,
        source_wait: waited,
        load_report: Vec::new(),
    };
    gateway.event(Event::AttemptEnded(end));
}

/// How many of a hundred lone requests may only take what their source holds.
fn held_only(gateway: &mut Gateway, first_object: u64) -> usize {
    let mut held_only = 0;
    for object in first_object..first_object + PROBES {
        let one = gateway.send(object);
        held_only += usize::from(one.fill.is_some_and(|fill| fill.only_if_cached));
        gateway.end(&one, 0, Outcome::Ok, CacheStatus::Hit);
    }
    held_only
}

/// A release emptied caches and parents, each director went on fetching, and the origin, asked for more than
/// it can do, answered nobody in time: calls that were called off told no director.
#[test]
fn while_the_origin_answers_late_fetches_are_held_back_and_come_back_with_it() {
    let mut gateway = Gateway::with(deployment_without_joins(), &[1, 2, 3, 11, 12, 13, 20]);
    assert!(held_only(&mut gateway, 100) <= 5, "all is fetched before any sign");
    for object in 1_000..1_120 {
        let one = gateway.send(object);
        gateway.now += 20_000;
        // What parents hold comes in time meanwhile: their windows stay open.
        if object % 3 == 0 {
            fetched_from_origin(&mut gateway, &one, LATE_ANSWER, LATE_FIRST_BYTE);
        } else {
            gateway.end(&one, 0, Outcome::Ok, CacheStatus::Filled);
        }
    }
    let held_back = held_only(&mut gateway, 2_000);
    assert!(held_back >= 70, "{held_back} of {PROBES} held back while the origin is late");
    assert!(held_back < 100, "some are fetched, to see when it is better");
    for object in 3_000..3_600 {
        let one = gateway.send(object);
        gateway.now += 20_000;
        fetched_from_origin(&mut gateway, &one, 60_000, 10_000);
    }
    let held_back = held_only(&mut gateway, 4_000);
    assert!(held_back <= 5, "{held_back} of {PROBES} held back after the origin is well again");
}

/// Short days with few directors: a large object takes most of its aim to send, be the origin ever so quick.
#[test]
fn a_fetch_that_is_late_by_its_own_bytes_holds_no_other_back() {
    let mut gateway = Gateway::with(deployment_without_joins(), &[1, 2, 3, 11, 12, 13, 20]);
    for object in 1_000..1_120 {
        gateway.now += 20_000;
        if object % 3 == 0 {
            let large = Request { size_kb: 400.0, ..gateway.request(0, object) };
            let actions = gateway.event(Event::Request(large));
            let one = sent(&actions).first().cloned().unwrap_or_else(|| panic!("nothing sent: {actions:?}"));
            fetched_from_origin(&mut gateway, &one, LATE_ANSWER, EARLY_FIRST_BYTE);
        } else {
            let one = gateway.send(object);
            gateway.end(&one, 0, Outcome::Ok, CacheStatus::Filled);
        }
    }
    let held_back = held_only(&mut gateway, 2_000);
    assert!(held_back <= 5, "{held_back} of {PROBES} held back, though the origin answers at once");
}

/// A write is kept nowhere: sent without a source it can only miss.
#[test]
fn a_write_names_the_origin_however_crowded_the_link_is() {
    const WRITES: usize = 3;
    let mut gateway = Gateway::with(deployment_without_joins(), &[1, 2, 3, 11, 12, 13, 20]);
    for object in 0..60 {
        gateway.now += 100_000;
        for one in sent(&gateway.ask(0, object)) {
            gateway.end(&one, 0, Outcome::Rejected, CacheStatus::FillLimitReached);
        }
    }
    for object in 100..160 {
        gateway.now += 100_000;
        let actions = gateway.ask(WRITES, object);
        let one = sent(&actions).first().cloned().unwrap_or_else(|| panic!("nothing sent: {actions:?}"));
        assert_eq!(one.fill.map(|fill| (fill.source, fill.only_if_cached)), Some((ORIGIN, false)));
        gateway.end(&one, 0, Outcome::Ok, CacheStatus::Filled);
    }
}
