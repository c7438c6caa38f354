//! Reloads at SIGHUP: what is in flight is left alone, and no drain is lost.
#![cfg(feature = "cli")]

mod emulated;
mod program;

use emulated::{run_local, send, start_cache_parent_origin, EmulatedServer, ServerBehavior};
use program::{config, config_with_origin, read_request, write_request, Scratch, Start};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How long after its first line a discovery service tells of a drain.
const DRAIN_AFTER: Duration = Duration::from_millis(100);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Within this a drain must be heeded.
const DRAIN_HEEDED: Duration = Duration::from_millis(1_200);

async fn discovery_service() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Accepts a director's connection; the line with which it begins, and the connection.
async fn accept_watch(listener: &TcpListener) -> (String, BufReader<TcpStream>) {
    let (stream, _) = listener.accept().await.expect("a director");
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    lines.read_line(&mut line).await.expect("a line");
    (line, lines)
}

/// Guards against the signal's default, which ends a process, and against dropping what is in flight.
#[test]
fn sighup_applies_the_discovery_address_and_leaves_requests_in_flight_alone() {
    run_local(async {
        let origin = EmulatedServer::start(ServerBehavior::Responds("")).await;
        let ((old, old_address), (new, new_address)) = (discovery_service().await, discovery_service().await);
        let with_discovery = |address: &str| {
            config_with_origin(&origin.address)
                .replace("\"board\": \"\"", &format!("\"board\": \"{address}\""))
        };
        let file = Scratch::new("hup", &with_discovery(&old_address));
        let program = Start { config: Some(&file.0), ..Start::default() }.run();
        let (line, _kept) = accept_watch(&old).await;
        drop(old);
        let mut in_flight = TcpStream::connect(&program.address).await.expect("a listener");
        in_flight.write_all(write_request(1, 1_500).as_bytes()).await.expect("a reader");
        let begun = Instant::now();
        while origin.requests().is_empty() {
            assert!(begun.elapsed() < Duration::from_secs(10), "nothing was sent");
            sleep(Duration::from_millis(1)).await;
        }
        // One that can't be used changes nothing; the next one does.
        file.replace("{");
        program.signal(Signal::HUP);
        sleep(Duration::from_millis(200)).await;
        file.replace(&with_discovery(&new_address));
        program.signal(Signal::HUP);
        assert_eq!(accept_watch(&new).await.0, line);
        let mut answer = Vec::new();
        in_flight.read_to_end(&mut answer).await.expect("an answer");
        assert!(answer.starts_with(b"HTTP/1.1 504 "), "{}", String::from_utf8_lossy(&answer));
    });
}

/// A watch event about the example cache.
fn cache_event(revision: u64, phase: &str, cache: &str) -> String {
    format!(
        "{{\"rev\":{revision},\"pool\":{{\"members\":[{{\"id\":\"example-cache\",\"host_port\":\"{cache}\",\
         \"locality\":\"branch\",\"flavor\":\"cache\",\"phase\":\"{phase}\",\"size\":8}}]}}}}\n"
    )
}

/// A discovery service that tells of the cache's drain to every director that has not heard of it.
async fn announce_drain(listener: TcpListener, cache: String) {
    loop {
        let (line, mut stream) = accept_watch(&listener).await;
        let cache = cache.clone();
        tokio::task::spawn_local(async move {
            sleep(DRAIN_AFTER).await;
            if line == "watch 1\n" {
                let _ = stream.write_all(cache_event(2, "terminating", &cache).as_bytes()).await;
            }
            while stream.write_all(b"2\n").await.is_ok() {
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }
}

/// Guards against a drain that is lost between the old discovery service and the new one, or undone by the
/// list that the new configuration holds.
#[test]
fn a_reload_at_the_moment_of_a_drain_loses_it_in_no_order() {
    for gap_ms in [-20, -5, -1, 0, 1, 5, 20_i64] {
        run_local(reload_beside_drain(gap_ms));
    }
}

async fn reload_beside_drain(gap_ms: i64) {
    let ([cache, parent, origin], _) =
        start_cache_parent_origin(ServerBehavior::Responds("ID ACK res=cached 5\r\nbytes\r\n")).await;
    let ((old, old_address), (new, new_address)) = (discovery_service().await, discovery_service().await);
    let servers = [&cache, &parent, &origin].map(|server| server.address.as_str());
    let file = Scratch::new(&format!("drain-{gap_ms}"), &config(1024, &old_address, "", servers));
    let program = Start { config: Some(&file.0), ..Start::default() }.run();
    let request = |id: u64| read_request(id, 1_500);
    assert_eq!(send(&program.address, &request(1)).await.status, 200);
    assert!(!cache.requests().is_empty(), "it goes to the cache");
    // Settings change too, so that the dispatcher hears of both.
    let changed = config(1024, &new_address, "", servers);
    file.replace(&changed.replace("\"maxAttempts\": 6", "\"maxAttempts\": 5"));
    for listener in [old, new] {
        tokio::task::spawn_local(announce_drain(listener, cache.address.clone()));
    }
    let reload_after = DRAIN_AFTER.as_millis() as i64 + gap_ms;
    sleep(Duration::from_millis(reload_after as u64)).await;
    program.signal(Signal::HUP);
    sleep(DRAIN_HEEDED).await;
    let sent = cache.requests().len();
    for id in 2..22 {
        assert_eq!(send(&program.address, &request(id)).await.status, 200);
        sleep(Duration::from_millis(10)).await;
    }
    let late = cache.requests().split_off(sent);
    assert!(late.is_empty(), "reload {gap_ms} ms after the drain: {late:?}");
}
