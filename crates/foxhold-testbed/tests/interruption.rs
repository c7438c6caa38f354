//! A testbed run ends all its processes however it ends, and reports why a scenario cannot run.

use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

mod common;

fn testbed_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foxhold-testbed"));
    command.arg("fleet").arg("--daemon").arg(common::daemon()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Returns the ids of the child processes of `parent`.
fn child_processes(parent: u32) -> BTreeSet<u32> {
    let mut found = BTreeSet::new();
    for entry in std::fs::read_dir("/proc").expect("/proc is readable").flatten() {
        let Some(id) = entry.file_name().to_str().and_then(|n| n.parse().ok()) else { continue };
        let stat = std::fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        let parent_of_entry =
            stat.rsplit(") ").next().and_then(|rest| rest.split(' ').nth(1)).and_then(|p| p.parse().ok());
        if parent_of_entry == Some(parent) {
            found.insert(id);
        }
    }
    found
}

fn is_running(id: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
}

fn output_after_signal(signal: Signal) -> Output {
    let testbed =
        testbed_command().args(["--directors", "3", "--seconds", "60"]).spawn().expect("testbed starts");
    let started = Instant::now();
    // 24 caches, 3 parents, the origin and 3 directors.
    let mut processes = BTreeSet::new();
    while processes.len() < 31 {
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "{} of 31 processes started within 30 s",
            processes.len()
        );
        std::thread::sleep(Duration::from_millis(20));
        processes = child_processes(testbed.id());
    }
    // A suspended process must end too.
    let suspended = *processes.first().expect("a process was found");
    kill_process(Pid::from_raw(suspended as i32).expect("process id is above 0"), Signal::STOP)
        .expect("process can be stopped");
    kill_process(Pid::from_raw(testbed.id() as i32).expect("process id is above 0"), signal)
        .expect("testbed can be signalled");
    let output = testbed.wait_with_output().expect("testbed ends");
    let deadline = Instant::now() + Duration::from_secs(5);
    while processes.iter().any(|id| is_running(*id)) {
        assert!(Instant::now() < deadline, "processes still run 5 s after the testbed ended");
        std::thread::sleep(Duration::from_millis(20));
    }
    output
}

#[test]
fn a_run_ended_by_a_signal_ends_all_its_processes() {
    for (signal, reason) in [(Signal::INT, "interrupted"), (Signal::TERM, "asked to shut down")] {
        let output = output_after_signal(signal);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.contains(reason), "expected '{reason}': {text}");
    }
}

#[test]
fn a_descriptor_limit_that_is_too_low_is_reported_with_the_number_needed() {
    let testbed = testbed_command();
    let mut shell = Command::new("sh");
    shell
        .args(["-c", "ulimit -n 64 && exec \"$0\" \"$@\""])
        .arg(testbed.get_program())
        .args(testbed.get_args());
    let output = shell.args(["--directors", "200"]).output().expect("testbed runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("descriptors: this run needs") && text.contains("the limit is 64"), "{text}");
}

#[test]
fn an_invalid_scenario_is_reported_with_the_fault_and_its_cause() {
    let file = std::env::temp_dir().join(format!("foxhold-plan-{}.yaml", std::process::id()));
    std::fs::write(&file, "faults:\n  - {at: 1, do: kill, who: cache-99}\n")
        .expect("scenario file is written");
    let output = testbed_command().arg(&file).output().expect("testbed runs");
    std::fs::remove_file(&file).expect("scenario file is removed");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(
        text.contains("faults, number 1: who: 'cache-99' names no participant of this scenario"),
        "{text}"
    );
}
