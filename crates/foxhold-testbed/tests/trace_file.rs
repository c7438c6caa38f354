//! Tests of `load::trace`.

use foxhold_testbed::load::trace::*;

#[test]
fn a_drawn_trace_parses_back_and_is_reproducible() {
    let lines = draw(500, 7);
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    assert_eq!(parse(&text), Ok(lines.clone()));
    assert_eq!(draw(500, 7), lines);
    assert_ne!(draw(500, 8), lines);
    assert_eq!(lines.iter().filter(|line| matches!(line.step, Step::Fault(_))).count(), 7);
}

#[test]
fn parse_errors_give_the_line_number() {
    let valid = "0 page-bits 00000000000000aa 0 1 5 3000\n";
    for (invalid, line) in [
        ("nonsense", 2),
        ("1 page-bits 00000000000000aa 0 1 5", 2),
        ("x ! crash a", 2),
        ("1 ! burn a", 2),
        ("# a remark\n-1 ! crash a", 3),
    ] {
        assert_eq!(parse(&format!("{valid}{invalid}\n")).expect_err(invalid).line, line);
    }
}
