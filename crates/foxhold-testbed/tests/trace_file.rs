//! Tests of `load::trace`.

use foxhold_testbed::load::trace::*;

#[test]
fn what_is_drawn_is_read_back_and_a_seed_draws_it_again() {
    let lines = draw(500, 7);
    let text: String = lines.iter().map(|l| format!("{l}\n")).collect();
    assert_eq!(parse(&text), Ok(lines.clone()));
    assert_eq!(draw(500, 7), lines);
    assert_ne!(draw(500, 8), lines);
    assert_eq!(lines.iter().filter(|l| matches!(l.step, Step::Trouble(_))).count(), 7);
}

#[test]
fn bad_lines_are_named() {
    let good = "0 page-bits 00000000000000aa 0 1 5 3000\n";
    for (bad, line) in [
        ("nonsense", 2),
        ("1 page-bits 00000000000000aa 0 1 5", 2),
        ("x ! crash a", 2),
        ("1 ! burn a", 2),
        ("# a remark\n-1 ! crash a", 3),
    ] {
        assert_eq!(parse(&format!("{good}{bad}\n")).expect_err(bad).line, line);
    }
}
