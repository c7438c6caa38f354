//! What the platform asks of the deploy file: `run` ends in one process of this package, linked dynamically
//! against the C library, that starts nothing.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const DEPLOY: &str = include_str!("../deploy/balancer.toml");

fn deploy() -> toml::Table {
    DEPLOY.parse().expect("TOML")
}

fn text(key: &str) -> String {
    deploy()[key].as_str().expect("text").to_owned()
}

/// Why a `run` line does not name one release binary that takes the shell's place; none: it does.
fn fault(run: &str) -> Option<&'static str> {
    let words: Vec<&str> = run.split_whitespace().collect();
    match words[..] {
        ["exec", program] => match program.strip_prefix("target/release/") {
            Some("foxhold") => None,
            _ => Some("not the release binary of this package"),
        },
        ["exec", ..] => Some("more than one word after exec"),
        _ => Some("the shell stays"),
    }
}

#[test]
fn run_is_one_release_binary_of_this_package_in_the_shells_place() {
    assert_eq!(fault(&text("run")), None);
    assert_eq!(text("build"), "cargo build --release");
    let name = env!("CARGO_BIN_EXE_foxhold").rsplit('/').next();
    assert_eq!(name, text("run").rsplit('/').next(), "cargo builds it under this name");
    for bad in [
        "target/release/foxhold",
        "exec target/debug/foxhold",
        "exec target/release/foxhold & exec target/release/foxhold-front",
        "exec sh -c target/release/foxhold",
        "exec target/release/foxhold-adapter",
    ] {
        assert!(fault(bad).is_some(), "{bad}");
    }
}

/// The bench loads a library of its own into the process, which a static program would not let in.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
#[test]
fn the_program_is_linked_dynamically_against_the_c_library() {
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_foxhold")).expect("the program");
    let holds = |text: &[u8]| bytes.windows(text.len()).any(|w| w == text);
    assert_eq!(bytes[..4], *b"\x7fELF");
    assert!(holds(b"libc.so.6\0"), "needs the C library");
    // PT_INTERP among the program headers (64 bits, little-endian): the loader that honours LD_PRELOAD.
    let word = |at: usize, n: usize| bytes[at..at + n].iter().rev().fold(0, |v, b| v << 8 | usize::from(*b));
    let (table, size, count) = (word(32, 8), word(54, 2), word(56, 2));
    assert!((0..count).any(|n| word(table + n * size, 4) == 3), "no loader");
}

#[cfg(target_os = "linux")]
#[test]
fn the_program_starts_no_process_and_no_further_thread() {
    let config = include_str!("../examples/config.json")
        .replace("127.0.0.1:7100", "127.0.0.1:0")
        .replace("127.0.0.1:7103", "");
    let path = std::env::temp_dir().join(format!("foxhold-{}-deploy", std::process::id()));
    std::fs::write(&path, config).expect("a file");
    let mut child = Command::new(env!("CARGO_BIN_EXE_foxhold"))
        .env("ROUTER_CONFIG", &path)
        .env_remove("FOXHOLD_FRONT")
        .current_dir(std::env::temp_dir())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program");
    let (tasks, begun) = (format!("/proc/{}/task", child.id()), Instant::now());
    let listening = |id: u32| {
        let links = std::fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
        links.filter(|l| std::fs::read_link(l.path()).is_ok_and(|t| t.to_string_lossy().contains("socket")))
    };
    while listening(child.id()).count() == 0 && begun.elapsed() < Duration::from_secs(10) {
        std::thread::sleep(Duration::from_millis(10));
    }
    std::thread::sleep(Duration::from_millis(200));
    let threads: Vec<_> = std::fs::read_dir(&tasks).expect("a process").flatten().collect();
    let children: String = threads
        .iter()
        .map(|t| std::fs::read_to_string(t.path().join("children")).unwrap_or_default())
        .collect();
    let sockets = listening(child.id()).count();
    let _ = child.kill();
    let _ = child.wait();
    assert!(sockets > 0, "it came up");
    assert_eq!((threads.len(), children.trim()), (1, ""));
}
