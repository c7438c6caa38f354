//! However a play ends, none of its processes outlives it, and one that can't be played says why.

use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

mod common;

fn lab() -> Command {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_foxhold-testbed"));
    lab.arg("fleet").arg("--daemon").arg(common::daemon()).stdout(Stdio::piped()).stderr(Stdio::piped());
    lab
}

/// Processes whose parent this is.
fn children(parent: u32) -> BTreeSet<u32> {
    let mut found = BTreeSet::new();
    for entry in std::fs::read_dir("/proc").expect("processes").flatten() {
        let Some(id) = entry.file_name().to_str().and_then(|n| n.parse().ok()) else { continue };
        let stat = std::fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        let of =
            stat.rsplit(") ").next().and_then(|rest| rest.split(' ').nth(1)).and_then(|p| p.parse().ok());
        if of == Some(parent) {
            found.insert(id);
        }
    }
    found
}

fn alive(id: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
}

fn ended(signal: Signal) -> Output {
    let lab = lab().args(["--directors", "3", "--seconds", "60"]).spawn().expect("the program");
    let begun = Instant::now();
    // 24 caches, 3 parents, the origin and 3 directors.
    let mut all = BTreeSet::new();
    while all.len() < 31 {
        assert!(begun.elapsed() < Duration::from_secs(30), "{} started", all.len());
        std::thread::sleep(Duration::from_millis(20));
        all = children(lab.id());
    }
    // One of them stands still: it has to end all the same.
    let still = *all.first().expect("one");
    kill_process(Pid::from_raw(still as i32).expect("an id"), Signal::STOP).expect("one of our own");
    kill_process(Pid::from_raw(lab.id() as i32).expect("an id"), signal).expect("our own");
    let output = lab.wait_with_output().expect("an end");
    let deadline = Instant::now() + Duration::from_secs(5);
    while all.iter().any(|id| alive(*id)) {
        assert!(Instant::now() < deadline, "some outlived it");
        std::thread::sleep(Duration::from_millis(20));
    }
    output
}

#[test]
fn a_play_that_is_interrupted_or_told_to_end_takes_its_processes_with_it() {
    for (signal, word) in [(Signal::INT, "interrupted"), (Signal::TERM, "asked to shut down")] {
        let output = ended(signal);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.contains(word), "{text}");
    }
}

#[test]
fn where_descriptors_do_not_suffice_it_says_how_many_it_needs() {
    let lab = lab();
    let mut shell = Command::new("sh");
    shell.args(["-c", "ulimit -n 64 && exec \"$0\" \"$@\""]).arg(lab.get_program()).args(lab.get_args());
    let output = shell.args(["--directors", "200"]).output().expect("the program");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("descriptors: this run needs") && text.contains("the limit is 64"), "{text}");
}

#[test]
fn a_plan_that_can_t_be_played_is_named_with_its_place() {
    let file = std::env::temp_dir().join(format!("foxhold-plan-{}.yaml", std::process::id()));
    std::fs::write(&file, "faults:\n  - {at: 1, do: kill, who: cache-99}\n").expect("a file");
    let output = lab().arg(&file).output().expect("the program");
    std::fs::remove_file(&file).expect("the file");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(
        text.contains("faults, number 1: who: 'cache-99' names no participant of this scenario"),
        "{text}"
    );
}
