//! Reloads at SIGHUP: requests in flight continue, and no drain is lost.
#![cfg(feature = "cli")]

mod emulated;
mod program;

use emulated::{run_local, send_request_text, start_cache_parent_origin, EmulatedServer, ServerBehavior};
use program::{config_with_origin, example_config, read_request, write_request, StartOptions, TempFile};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How long after the director's first line a discovery service announces a drain.
const DRAIN_DELAY: Duration = Duration::from_millis(100);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// How long after the reload the director must have applied the drain.
const MAX_DRAIN_DELAY: Duration = Duration::from_millis(1_200);

async fn bind_discovery_service() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    (listener, address)
}

/// Accepts a director's connection and returns its first line and the connection.
async fn accept_watch(listener: &TcpListener) -> (String, BufReader<TcpStream>) {
    let (stream, _) = listener.accept().await.expect("a director");
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    lines.read_line(&mut line).await.expect("the first line");
    (line, lines)
}

/// Guards against the signal's default action, which ends the process, and against dropping requests in
/// flight.
#[test]
fn sighup_applies_the_new_discovery_address_and_keeps_requests_in_flight() {
    run_local(async {
        let origin = EmulatedServer::start(ServerBehavior::Responds("")).await;
        let ((old, old_address), (new, new_address)) =
            (bind_discovery_service().await, bind_discovery_service().await);
        let with_discovery = |address: &str| {
            config_with_origin(&origin.address)
                .replace("\"board\": \"\"", &format!("\"board\": \"{address}\""))
        };
        let file = TempFile::new("hup", &with_discovery(&old_address));
        let program = StartOptions { config: Some(&file.0), ..StartOptions::default() }.start();
        let (line, _old_watch) = accept_watch(&old).await;
        drop(old);
        let mut in_flight = TcpStream::connect(&program.address).await.expect("a listener");
        in_flight.write_all(write_request(1, 1_500).as_bytes()).await.expect("a connected peer");
        let started_at = Instant::now();
        while origin.requests().is_empty() {
            assert!(started_at.elapsed() < Duration::from_secs(10), "the origin has received no request");
            sleep(Duration::from_millis(1)).await;
        }
        // An invalid configuration changes nothing; the next one applies.
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

/// Returns a watch event that sets the example cache's phase.
fn cache_event(revision: u64, phase: &str, cache: &str) -> String {
    format!(
        "{{\"rev\":{revision},\"pool\":{{\"members\":[{{\"id\":\"example-cache\",\"host_port\":\"{cache}\",\
         \"locality\":\"branch\",\"flavor\":\"cache\",\"phase\":\"{phase}\",\"size\":8}}]}}}}\n"
    )
}

/// Runs a discovery service that announces the cache's drain to each director whose revision precedes it.
async fn announce_drain(listener: TcpListener, cache: String) {
    loop {
        let (line, mut stream) = accept_watch(&listener).await;
        let cache = cache.clone();
        tokio::task::spawn_local(async move {
            sleep(DRAIN_DELAY).await;
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
/// member list in the new configuration.
#[test]
fn a_drain_that_coincides_with_a_reload_is_applied_whichever_comes_first() {
    for gap_ms in [-20, -5, -1, 0, 1, 5, 20_i64] {
        run_local(reload_during_drain(gap_ms));
    }
}

/// Reloads this long after a drain is announced, or before it if negative, and checks that the cache is
/// drained.
async fn reload_during_drain(gap_ms: i64) {
    let ([cache, parent, origin], _) =
        start_cache_parent_origin(ServerBehavior::Responds("ID ACK res=cached 5\r\nbytes\r\n")).await;
    let ((old, old_address), (new, new_address)) =
        (bind_discovery_service().await, bind_discovery_service().await);
    let servers = [&cache, &parent, &origin].map(|server| server.address.as_str());
    let file = TempFile::new(&format!("drain-{gap_ms}"), &example_config(1024, &old_address, "", servers));
    let program = StartOptions { config: Some(&file.0), ..StartOptions::default() }.start();
    let request = |id: u64| read_request(id, 1_500);
    assert_eq!(send_request_text(&program.address, &request(1)).await.status, 200);
    assert!(!cache.requests().is_empty(), "before the drain the request goes to the cache");
    // The settings change as well, so that the dispatcher receives both changes.
    let changed = example_config(1024, &new_address, "", servers);
    file.replace(&changed.replace("\"maxAttempts\": 6", "\"maxAttempts\": 5"));
    for listener in [old, new] {
        tokio::task::spawn_local(announce_drain(listener, cache.address.clone()));
    }
    let reload_after = DRAIN_DELAY.as_millis() as i64 + gap_ms;
    sleep(Duration::from_millis(reload_after as u64)).await;
    program.signal(Signal::HUP);
    sleep(MAX_DRAIN_DELAY).await;
    let sent_before = cache.requests().len();
    for id in 2..22 {
        assert_eq!(send_request_text(&program.address, &request(id)).await.status, 200);
        sleep(Duration::from_millis(10)).await;
    }
    let late = cache.requests().split_off(sent_before);
    assert!(
        late.is_empty(),
        "requests to the drained cache, with the reload {gap_ms} ms after the drain: {late:?}"
    );
}

/// Guards against forwarding an upload as another class because settings are replaced while its body arrives.
#[test]
fn an_upload_in_pieces_is_forwarded_as_its_class_after_any_number_of_reloads() {
    for reloads in 0..=4 {
        run_local(async {
            let origin = EmulatedServer::start(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
            let text = config_with_origin(&origin.address);
            let file = TempFile::new(&format!("upload-{reloads}"), &text);
            let program = StartOptions { config: Some(&file.0), ..StartOptions::default() }.start();
            let mut client = TcpStream::connect(&program.address).await.expect("a listener");
            let head = write_request(1, 1_500).replace("Content-Length: 0", "Content-Length: 8");
            client.write_all(format!("{head}a fi").as_bytes()).await.expect("a connected peer");
            for number in 0..reloads {
                // Changes the class of the upload and another one in turn.
                let (deadline_ms, objective_ms) = (2_999 - number, 401 + number / 2);
                let changed = text.replace("\"deadlineMs\": 3000", &format!("\"deadlineMs\": {deadline_ms}"));
                file.replace(&changed.replace("\"aimMs\": 400", &format!("\"aimMs\": {objective_ms}")));
                program.signal(Signal::HUP);
                sleep(Duration::from_millis(100)).await;
            }
            client.write_all(b"ling").await.expect("a connected peer");
            let mut answer = Vec::new();
            client.read_to_end(&mut answer).await.expect("an answer");
            assert!(answer.starts_with(b"HTTP/1.1 200 "), "{}", String::from_utf8_lossy(&answer));
            let requests = origin.requests();
            assert_eq!(requests.len(), 1, "{requests:?}");
            assert!(requests[0].contains("kind=filing-submit,"), "{requests:?}");
            assert_eq!(program.log().matches("configuration reloaded").count(), reloads);
        });
    }
}
