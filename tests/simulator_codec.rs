//! The simulator's text protocol: a recorded exchange, and errors that name what is malformed.

use foxhold::config::settings::parse_settings;
use foxhold::simulator::SimulatorHost;

const PARAMS: &str = r#"{"balancers":1,"bounds":{"cancel":true,"maxAttempts":4,"retryAfter":true,
"maxRetryAfterMs":1000.0},
"familyInfo":{"midKind":1,"storeKind":2,"flowKbPerS":1000.0,"noteLevel":"all","lifetimeByClassMs":[0.0],
"purgeDoneMs":6000.0,"peersFill":"location","passThroughOk":false},"kinds":["box","parent","origin"],
"report":{"names":[]},"rules":{"stopSendingWithinMs":500.0},"services":[{"name":"pages","aimMs":500.0,
"deadlineMs":2000.0,"effect":"idempotent","worth":1.0}],"weights":"nominal",
"zone":"edge","zones":["hub","edge"],
"aKeyNobodyKnows":{"x":1}}"#;

fn start_line() -> String {
    format!("start 3 77 {}", PARAMS.replace('\n', ""))
}

fn member_list_lines() -> &'static str {
    "view 3 stale_copy 1 3\nitem 51 edge box 0 in_service 8 -\nitem 61 hub parent 1 in_service 20 -\n\
     item 71 hub origin 2 in_service 1 -"
}

fn run_exchange(input: &str) -> Result<String, String> {
    let mut output = Vec::new();
    SimulatorHost::default().run(input.as_bytes(), &mut output).map_err(|e| e.to_string())?;
    Ok(String::from_utf8(output).expect("text"))
}

#[test]
fn a_recorded_exchange_is_answered_byte_for_byte() {
    let input = format!(
        "sync 1000.25\neof_batch\nsync 1002.0\n{}\n{}\nask 3 9001 pages - 00f3 3002.0 80 11 0 0\neof_batch\n\
         sync 1090.5\nreport_back 3 9001 0 51 Ok 88.5 1 2 9.4 -\ninvalidated 3 00f3 11 85.5\neof_batch\n\
         sync 1100.0\nask 3 9002 pages - 00f3 3100.0 80 11 0 0\neof_batch\nsync 1101.0\ndown 3\neof_batch\n",
        start_line(),
        member_list_lines()
    );
    let expected = "eor\n\
        wake_at 3 1377.000 36893488147419112233\n\
        read_through 3 9001 51 0.000 61 1 0.000 0\n\
        wake_at 3 3002.000 18446744073709560617\n\
        eor\neor\n\
        wake_at 3 1475.000 36893488147419112234\n\
        read_through 3 9002 51 0.000 61 2 95.000 0\n\
        wake_at 3 3100.000 18446744073709560618\n\
        eor\neor\n";
    assert_eq!(run_exchange(&input).expect("a valid exchange"), expected);
}

#[test]
fn an_error_names_the_line_and_the_field() {
    let started = format!("sync 1\n{}\n{}\n", start_line(), member_list_lines());
    let cases = [
        ("hello 1\n".to_owned(), "line 1", "sync"),
        ("sync x\n".to_owned(), "line 1", "clockMs"),
        ("sync 1\nfrobnicate 3\n".to_owned(), "line 2", "frobnicate"),
        ("sync 1\nleft 3 7\n".to_owned(), "line 2", "who"),
        ("sync 1\nstart 3 77 {\"zones\"\n".to_owned(), "line 2", "params"),
        ("sync 1\nstart 3 -4 {}\n".to_owned(), "line 2", "entropy"),
        ("sync 1\nstart 3 77 {\"zones\":[\"a\"],\"zone\":\"b\"}\n".to_owned(), "line 2", "zone"),
        ("sync 1\nstart 3 77 {\"zones\":[\"a\"],\"zone\":\"a\"}\n".to_owned(), "line 2", "classes"),
        (
            "sync 1\nstart 3 77 {\"balancers\":\"x\",\"zones\":[\"a\"],\"zone\":\"a\"}\n".to_owned(),
            "line 2",
            "balancers",
        ),
        (format!("{started}ask 3 1 films - 00f3 3002.0 80 11 0 0\n"), "line 7", "type"),
        (format!("{started}ask 3 1 pages - xyz 3002.0 80 11 0 0\n"), "line 7", "file"),
        (format!("{started}ask 3 1 pages - 00f3\n"), "line 7", "clientDeadlineMs"),
        (format!("{started}report_back 3 1 0 51 Maybe 1 1 0 0 -\n"), "line 7", "code"),
        (format!("{started}report_back 3 1 0 51 Ok 1 7 0 0 -\n"), "line 7", "settled"),
        (format!("{started}from_peer 3 1 ***\n"), "line 7", "msg"),
        (
            format!("{started}view 3 whole 2 1\nitem 51 moon box 0 in_service 8 -\n"),
            "line 8",
            "failureDomain",
        ),
        (format!("{started}view 3 whole 2 1\nitem 51 edge box 0 asleep 8 -\n"), "line 8", "state"),
        (format!("{started}view 3 whole 2 2\nitem 51 edge box 0 in_service 8 -\n"), "line 8", "hosts"),
        (started.clone(), "line 6", "eof_batch"),
    ];
    for (input, line, field) in cases {
        let error = run_exchange(&input).expect_err(&input);
        assert!(error.starts_with(&format!("{line}:")) && error.contains(field), "{input}: {error}");
    }
    let mut output = Vec::new();
    let error = SimulatorHost::default()
        .run(&b"sync 1\n\xff\xfe\n"[..], &mut output)
        .expect_err("not text")
        .to_string();
    assert!(error.starts_with("line 2:"), "{error}");
}

#[test]
fn the_adapter_exits_with_a_failure_status_only_on_invalid_input() {
    use std::io::Write;
    use std::process::{Command, Stdio};
    for (input, is_valid) in [("sync 1\neof_batch\n", true), ("sync 1\n", false)] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_foxhold-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("starts");
        child.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("written");
        let done = child.wait_with_output().expect("ends");
        assert_eq!(done.status.success(), is_valid);
        assert_eq!(done.stderr.is_empty(), is_valid);
    }
}

#[test]
fn settings_are_decoded_and_unknown_keys_ignored() {
    let settings = parse_settings(PARAMS).expect("valid settings");
    assert_eq!((settings.parent_kind, settings.origin_kind, settings.zone), (Some(1), 2, 1));
    assert_eq!((settings.purge_complete_within, settings.max_attempts), (6_000_000, 4));
    assert!(parse_settings("[]").is_err());
}
