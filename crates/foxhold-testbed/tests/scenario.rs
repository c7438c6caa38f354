//! Tests of `scenarios::scenario`.

use foxhold_testbed::faults::relay::LinkFault;
use foxhold_testbed::scenarios::scenario::*;

#[test]
fn a_scenario_is_parsed_and_its_participants_are_resolved() {
    let scenario = Scenario::read(
        "name: x\ndirectors: 9\nfaults:\n  - {at: 4, for: 4, do: kill, who: cache-3}\n  \
         - {at: 3, for: 5, do: link, who: directors 1/3, to: cache-2, hurt: one-way}\n  \
         - {at: 3, do: link, who: directors 2-3, to: board, hurt: {delay: 20}}\n",
    )
    .expect("scenario is valid");
    assert_eq!(scenario.faults[1].link_fault, LinkFault::OneWay);
    assert_eq!(scenario.faults[2].link_fault, LinkFault::Delay(20));
    assert_eq!(scenario.resolve("directors 1/3").map(|names| names.len()), Some(3));
    let names: Vec<_> = scenario.resolve("directors 2-3").into_iter().flatten().collect();
    assert_eq!(names, ["director-2", "director-3"]);
    assert_eq!(scenario.resolve("cache-25"), None);
    assert_eq!(Scenario::read(&serde_json::to_string(&scenario).expect("scenario serializes")), Ok(scenario));
}

#[test]
fn an_invalid_scenario_is_refused_with_the_place_of_the_error() {
    for (text, place) in [
        ("directors: 900", "directors"),
        ("rate: 1e9", "rate"),
        ("seconds: 0", "seconds"),
        ("parents: 1", "parents"),
        ("leave: 1.1", "leave"),
        ("leave_within_ms: 0", "leave_within_ms"),
        ("faults: [{at: 99, do: burst}]", "faults, number 1"),
        ("faults: [{at: 1, do: kill, who: cache-99}]", "faults, number 1"),
        ("faults: [{at: 1, do: link, who: directors, to: nobody}]", "faults, number 1"),
        ("faults: [{at: 1, do: drain, who: cache-1, by: director-1}]", "faults, number 1"),
        ("peers: true\nfaults: [{at: 1, do: undrain, who: cache-1}]", "faults, number 1"),
        ("peers: true\nfaults: [{at: 1, do: talk, who: directors}]", "faults, number 1"),
        ("faults: [{at: 1, do: burn}]", "plan"),
        ("colour: red", "plan"),
    ] {
        assert_eq!(Scenario::read(text).expect_err(text).place, place, "{text}");
    }
}
