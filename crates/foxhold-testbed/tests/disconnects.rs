//! Tests of `load::disconnects`.

use foxhold_testbed::load::disconnects::*;
use foxhold_testbed::scenarios::scenario::Scenario;
use foxhold_testbed::servers::emulated::ServerEvent;
use foxhold_testbed::servers::emulated::ServerRequest;
use std::collections::HashMap;

fn received_request(server: &str, id: &str, ms: u64) -> (String, ServerEvent) {
    let request = ServerRequest { id: id.into(), ..ServerRequest::default() };
    (server.into(), ServerEvent::Asked { ms, request, full: false })
}

#[test]
fn disconnects_follow_the_scenario_share_and_seed() {
    let scenario = Scenario { leave: 0.25, leave_within_ms: 400.0, ..Scenario::default() };
    let draw = |scenario: &Scenario| {
        let mut disconnects = Disconnects::new(scenario);
        (0..10_000).map(|_| disconnects.draw()).collect::<Vec<_>>()
    };
    let drawn = draw(&scenario);
    assert_eq!(drawn, draw(&scenario));
    assert_ne!(drawn, draw(&Scenario { seed: 2, ..scenario }));
    let disconnects: Vec<Disconnect> = drawn.into_iter().flatten().collect();
    assert!((2_300..2_700).contains(&disconnects.len()), "{} of 10000 clients disconnect", disconnects.len());
    assert!(disconnects.iter().all(|disconnect| (0.0..0.4).contains(&disconnect.after)));
    let resets = disconnects.iter().filter(|disconnect| disconnect.kind == DisconnectKind::Reset).count();
    assert!((1_100..1_400).contains(&resets), "{resets} disconnects are resets");
}

#[test]
fn attempts_are_checked_against_their_own_client_and_the_100_ms_limit() {
    let disconnected = HashMap::from([("a".to_owned(), 1_000), ("b".to_owned(), 1_000)]);
    let events = [
        received_request("cache-1", "a", 900),
        received_request("cache-1", "a", 1_100),
        received_request("cache-1", "b", 1_101),
        received_request("cache-1", "c", 9_000),
    ];
    let (sent, breaches) = SentAfterDisconnect::compute(&Scenario::default(), 0, &disconnected, &events);
    assert_eq!(sent, SentAfterDisconnect { clients: 2, attempts: 2, latest_ms: 101, too_late: 1 });
    assert_eq!(breaches, ["cache-1 saw b begin 101 ms after its client had left"]);
}

#[test]
fn requests_that_a_stalled_server_may_read_late_are_left_out() {
    let text = "faults: [{at: 2, for: 1, do: stall, who: cache-1}, \
                {at: 2, for: 1, do: link, who: directors, to: cache-2, hurt: stall}]";
    let scenario = Scenario::read(text).expect("scenario is valid");
    let disconnected = HashMap::from([("a".to_owned(), 1_000)]);
    let late_attempts = |server: &str, ms| {
        SentAfterDisconnect::compute(&scenario, 0, &disconnected, &[received_request(server, "a", ms)])
            .1
            .len()
    };
    assert_eq!(
        [late_attempts("cache-1", 3_900), late_attempts("cache-2", 3_900), late_attempts("cache-3", 3_900)],
        [0, 0, 1]
    );
    assert_eq!([late_attempts("cache-1", 1_900), late_attempts("cache-1", 4_100)], [1, 1]);
}
