//! The program as it is started: its first lines, its bad starts and its end.

mod standin;

use standin::{local, send, Manner, Server};
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("foxhold-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

/// Starts the program in an empty folder of its own, where no file under `deploy/` is found.
fn start(config: &PathBuf) -> Child {
    Command::new(env!("CARGO_BIN_EXE_foxhold"))
        .env("ROUTER_CONFIG", config)
        .env_remove("FOXHOLD_FRONT")
        .current_dir(std::env::temp_dir())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program")
}

fn config(origin: &str) -> String {
    include_str!("../examples/config.json")
        .replace("127.0.0.1:7100", "127.0.0.1:0")
        .replace("127.0.0.1:7200", "")
        .replace("127.0.0.1:7203", origin)
}

fn terminate(child: &Child) {
    let status = Command::new("sh").args(["-c", &format!("kill {}", child.id())]).status().expect("a shell");
    assert!(status.success());
}

/// The address in the program's first line.
fn address(child: &mut Child) -> String {
    let mut line = String::new();
    BufReader::new(child.stderr.take().expect("a pipe")).read_line(&mut line).expect("a line");
    line.trim_end().rsplit(' ').next().expect("an address").to_owned()
}

#[test]
fn a_bad_configuration_ends_the_start_with_one_clear_line() {
    let good = config("127.0.0.1:1");
    for (name, text, says) in [
        ("a", "{", "not JSON"),
        ("b", &good.replace("\"zone\": \"branch\"", "\"zone\": \"elsewhere\""), "key 'zone'"),
        ("c", &good.replace("\"in_service\"", "\"resting\""), "'resting'"),
        ("d", &good.replace("127.0.0.1:0", "nowhere"), "listen on nowhere"),
    ] {
        let path = file(name, text);
        let output = start(&path).wait_with_output().expect("an end");
        std::fs::remove_file(&path).expect("the file");
        let text = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && text.contains(says), "{name}: {text}");
        assert_eq!(text.lines().count(), 1, "{name}: {text}");
    }
}

#[test]
fn sigterm_lets_what_was_taken_end_and_then_ends_the_program() {
    local(async {
        let origin = Server::start(Manner::Silent).await;
        let path = file("term", &config(&origin.address));
        let mut child = start(&path);
        let address = address(&mut child);
        let request = "PUT /ops/filing-submit/aa HTTP/1.1\r\nX-Job-Id: 01\r\nX-Allow-Ms: 1500\r\n\
                       Content-Length: 0\r\n\r\n";
        let mut early = TcpStream::connect(&address).await.expect("a listener");
        early.write_all(request.as_bytes()).await.expect("a reader");
        while origin.wants().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        terminate(&child);
        let begun = Instant::now();
        // Connections still come for a while, and are served.
        let alive = "GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n";
        assert_eq!(send(&address, alive).await.status, 200);
        let mut answer = Vec::new();
        early.read_to_end(&mut answer).await.expect("an answer");
        assert!(answer.starts_with(b"HTTP/1.1 504 "), "{}", String::from_utf8_lossy(&answer));
        let status =
            tokio::task::spawn_blocking(move || child.wait()).await.expect("a thread").expect("an end");
        assert!(status.success(), "{status}");
        assert!(begun.elapsed() >= Duration::from_millis(700), "{:?}", begun.elapsed());
        std::fs::remove_file(&path).expect("the file");
    });
}
