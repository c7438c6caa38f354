//! The platform's requirements on the deploy file: `run` results in a single process, which is this package's
//! binary, is linked dynamically against the C library, and starts no processes or threads.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const DEPLOY: &str = include_str!("../deploy/balancer.toml");

fn deploy() -> toml::Table {
    DEPLOY.parse().expect("TOML")
}

fn deploy_text(key: &str) -> String {
    deploy()[key].as_str().expect("text").to_owned()
}

/// Returns what is wrong with a `run` line, or `None` if it replaces the shell with this package's release
/// binary.
fn run_line_fault(run: &str) -> Option<&'static str> {
    let words: Vec<&str> = run.split_whitespace().collect();
    match words[..] {
        ["exec", program] => match program.strip_prefix("target/release/") {
            Some("foxhold") => None,
            _ => Some("not the release binary of this package"),
        },
        ["exec", ..] => Some("more than one word after exec"),
        _ => Some("the shell is not replaced by exec"),
    }
}

#[test]
fn run_replaces_the_shell_with_the_release_binary_of_this_package() {
    assert_eq!(run_line_fault(&deploy_text("run")), None);
    assert_eq!(deploy_text("build"), "cargo build --release");
    let name = env!("CARGO_BIN_EXE_foxhold").rsplit('/').next();
    assert_eq!(name, deploy_text("run").rsplit('/').next(), "`run` names the binary that cargo builds");
    for invalid in [
        "target/release/foxhold",
        "exec target/debug/foxhold",
        "exec target/release/foxhold & exec target/release/foxhold-front",
        "exec sh -c target/release/foxhold",
        "exec target/release/foxhold-adapter",
    ] {
        assert!(run_line_fault(invalid).is_some(), "{invalid}");
    }
}

/// Guards against a static program: the bench preloads its own library into the process, which needs the
/// dynamic loader.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
#[test]
fn the_program_is_linked_dynamically_against_the_c_library() {
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_foxhold")).expect("the program");
    let contains = |text: &[u8]| bytes.windows(text.len()).any(|w| w == text);
    assert_eq!(bytes[..4], *b"\x7fELF");
    assert!(contains(b"libc.so.6\0"), "expected a dynamic dependency on libc.so.6");
    // PT_INTERP among the program headers (64 bits, little-endian): the loader that honours LD_PRELOAD.
    let number =
        |at: usize, n: usize| bytes[at..at + n].iter().rev().fold(0, |v, b| v << 8 | usize::from(*b));
    let (table, size, count) = (number(32, 8), number(54, 2), number(56, 2));
    assert!((0..count).any(|n| number(table + n * size, 4) == 3), "expected a PT_INTERP program header");
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
    let (tasks, started) = (format!("/proc/{}/task", child.id()), Instant::now());
    let sockets_of = |id: u32| {
        let links = std::fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
        links.filter(|l| std::fs::read_link(l.path()).is_ok_and(|t| t.to_string_lossy().contains("socket")))
    };
    while sockets_of(child.id()).count() == 0 && started.elapsed() < Duration::from_secs(10) {
        std::thread::sleep(Duration::from_millis(10));
    }
    std::thread::sleep(Duration::from_millis(200));
    let threads: Vec<_> = std::fs::read_dir(&tasks).expect("a process").flatten().collect();
    let children: String = threads
        .iter()
        .map(|t| std::fs::read_to_string(t.path().join("children")).unwrap_or_default())
        .collect();
    let sockets = sockets_of(child.id()).count();
    let _ = child.kill();
    let _ = child.wait();
    assert!(sockets > 0, "expected the program to open a socket within 10 s");
    assert_eq!((threads.len(), children.trim()), (1, ""));
}
