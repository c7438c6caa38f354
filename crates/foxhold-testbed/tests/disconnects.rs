//! Tests of `load::disconnects`.

use foxhold_testbed::load::disconnects::*;
use foxhold_testbed::scenarios::scenario::Scenario;
use foxhold_testbed::servers::emulated::ServerEvent;
use foxhold_testbed::servers::emulated::ServerRequest;
use std::collections::HashMap;

fn asked(server: &str, id: &str, ms: u64) -> (String, ServerEvent) {
    let ask = ServerRequest { id: id.into(), ..ServerRequest::default() };
    (server.into(), ServerEvent::Asked { ms, request: ask, full: false })
}

#[test]
fn who_leaves_is_drawn_by_the_plan_s_share_and_seed() {
    let scenario = Scenario { leave: 0.25, leave_within_ms: 400.0, ..Scenario::default() };
    let draw = |scenario: &Scenario| {
        let mut leaves = Disconnects::new(scenario);
        (0..10_000).map(|_| leaves.draw()).collect::<Vec<_>>()
    };
    let drawn = draw(&scenario);
    assert_eq!(drawn, draw(&scenario));
    assert_ne!(drawn, draw(&Scenario { seed: 2, ..scenario }));
    let left: Vec<Disconnect> = drawn.into_iter().flatten().collect();
    assert!((2_300..2_700).contains(&left.len()), "{}", left.len());
    assert!(left.iter().all(|leave| (0.0..0.4).contains(&leave.after)));
    let resets = left.iter().filter(|leave| leave.how == DisconnectKind::Reset).count();
    assert!((1_100..1_400).contains(&resets), "{resets}");
}

#[test]
fn an_attempt_is_held_against_its_own_client_and_the_term() {
    let left = HashMap::from([("a".to_owned(), 1_000), ("b".to_owned(), 1_000)]);
    let notes = [
        asked("cache-1", "a", 900),
        asked("cache-1", "a", 1_100),
        asked("cache-1", "b", 1_101),
        asked("cache-1", "c", 9_000),
    ];
    let (after, breaches) = SentAfterDisconnect::reckon(&Scenario::default(), 0, &left, &notes);
    assert_eq!(after, SentAfterDisconnect { clients: 2, attempts: 2, latest_ms: 101, too_late: 1 });
    assert_eq!(breaches, ["cache-1 saw b begin 101 ms after its client had left"]);
}

#[test]
fn a_server_that_could_not_read_is_left_out_for_that_time() {
    let text = "faults: [{at: 2, for: 1, do: stall, who: cache-1}, \
                {at: 2, for: 1, do: link, who: directors, to: cache-2, hurt: stall}]";
    let scenario = Scenario::read(text).expect("a scenario");
    let left = HashMap::from([("a".to_owned(), 1_000)]);
    let late = |server: &str, ms| {
        SentAfterDisconnect::reckon(&scenario, 0, &left, &[asked(server, "a", ms)]).1.len()
    };
    assert_eq!([late("cache-1", 3_900), late("cache-2", 3_900), late("cache-3", 3_900)], [0, 0, 1]);
    assert_eq!([late("cache-1", 1_900), late("cache-1", 4_100)], [1, 1]);
}
