//! The admin endpoint, and settings that change at run time.

mod emulated;

use emulated::*;
use foxhold::config::platform::PlatformConfig;
use foxhold::dispatch::{Clock, Dispatcher, DispatcherMessage};
use foxhold::frontend::admin::{self, AdminEndpoint, ReloadCounters};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::frontend::serve::ShutdownPhase;
use foxhold::policy::types::Settings;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const COPY: ServerBehavior = ServerBehavior::Responds("ID ACK res=cached 5\r\nbytes\r\n");
/// More connections than the admin endpoint serves at a time.
const IDLE_CONNECTIONS: usize = 40;

fn get(class: &str, id: u64) -> String {
    format!(
        "GET /ops/{class}/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 1000\r\n\
         Connection: close\r\n\r\n"
    )
}

/// Sends a command and reads the answer to its end.
async fn send_command(address: &str, line: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("an admin endpoint");
    stream.write_all(line.as_bytes()).await.expect("a connected peer");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("text");
    answer
}

/// Opens connections that send no command, or part of one.
async fn open_idle_connections(address: &str, count: usize) -> Vec<TcpStream> {
    let mut idle = Vec::new();
    for n in 0..count {
        let mut stream = TcpStream::connect(address).await.expect("an admin endpoint");
        stream.write_all(&b"var"[..n % 4]).await.expect("a connected peer");
        idle.push(stream);
    }
    idle
}

/// An admin endpoint, with the state that the rest of the process would change.
struct TestEndpoint {
    address: String,
    shutdown: watch::Sender<ShutdownPhase>,
    requests_in_flight: Rc<Cell<usize>>,
    reloads: Rc<ReloadCounters>,
}

impl TestEndpoint {
    async fn start(dispatcher: &Dispatcher) -> TestEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address").to_string();
        let (shutdown, phase) = watch::channel(ShutdownPhase::Running);
        let (requests_in_flight, reloads) = (Rc::new(Cell::new(0)), Rc::new(ReloadCounters::default()));
        let endpoint = AdminEndpoint {
            dispatcher: dispatcher.clone(),
            requests_in_flight: requests_in_flight.clone(),
            shutdown: phase,
            reloads: reloads.clone(),
            cluster: None,
        };
        tokio::task::spawn_local(admin::accept(listener, endpoint));
        TestEndpoint { address, shutdown, requests_in_flight, reloads }
    }
}

/// Guards against wrong metrics, and against connections without a command that keep others from being
/// served.
#[test]
fn the_admin_endpoint_answers_at_once_and_correctly_despite_idle_connections() {
    run_local(async {
        let ([cache, ..], members) = start_cache_parent_origin(COPY).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let clients = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
        let admin = TestEndpoint::start(&dispatcher).await;
        for id in 0..3 {
            assert_eq!(send_request_text(&clients, &get("videos", id)).await.status, 200);
        }
        *cache.behavior.borrow_mut() = ServerBehavior::Silent;
        dispatcher.sender().send(DispatcherMessage::Members { full: true, members: Vec::new() }).await;
        assert_eq!(send_request_text(&clients, &get("videos", 3)).await.status, 503);
        admin.requests_in_flight.set(2);
        admin.reloads.failed.set(1);
        let _idle = open_idle_connections(&admin.address, IDLE_CONNECTIONS).await;
        let started_at = Instant::now();
        assert_eq!(send_command(&admin.address, "check\n").await, "YES\n");
        let metrics = send_command(&admin.address, "vars\r\n").await;
        assert!(
            started_at.elapsed() < Duration::from_millis(500),
            "the answers took {:?}",
            started_at.elapsed()
        );
        for part in [
            r#""videos":{"served":3,"refused":1,"failed":0}"#,
            r#""filing":{"served":0,"refused":0,"failed":0}"#,
            r#""attempts":3,"in_flight":2,"caches_known":0,"caches_excluded":0"#,
            r#""reloads_ok":0,"reloads_failed":1}"#,
        ] {
            assert!(metrics.contains(part), "expected {part} in {metrics}");
        }
        assert!(metrics.ends_with("}\nEND\n"), "expected the end marker in {metrics}");
    });
}

#[test]
fn unknown_and_overlong_commands_and_checks_during_shutdown_are_answered_with_no() {
    run_local(async {
        let (_servers, members) = start_cache_parent_origin(COPY).await;
        let admin = TestEndpoint::start(&start(settings(), Clock::system(), members)).await;
        let _idle = open_idle_connections(&admin.address, IDLE_CONNECTIONS).await;
        assert!(send_command(&admin.address, "reboot\n").await.starts_with("NO "));
        assert!(
            send_command(&admin.address, &"x".repeat(300)).await.starts_with("NO "),
            "an overlong command is answered with NO"
        );
        admin.shutdown.send(ShutdownPhase::CloseAfterResponse).expect("an admin endpoint");
        assert!(
            send_command(&admin.address, "check\n").await.starts_with("NO "),
            "a check during shutdown is answered with NO"
        );
    });
}

fn example_config() -> PlatformConfig {
    PlatformConfig::parse(include_str!("../examples/config.json")).expect("a valid configuration")
}

/// Guards against applying part of an invalid file.
#[test]
fn a_configuration_with_a_key_missing_or_a_value_out_of_range_is_rejected() {
    let text = include_str!("../examples/config.json");
    let is_rejected = |text: &str| match PlatformConfig::parse(text) {
        Ok(config) => config.can_replace(&example_config()).is_err(),
        Err(_) => true,
    };
    assert!(!is_rejected(text), "the example is accepted");
    assert!(!is_rejected(&text.replace("\"maxAttempts\": 6", "\"maxAttempts\": 2")));
    for (from, to) in [
        ("\"deadlineMs\": 5000", "\"deadlineMs\": -5"),
        ("\"deadlineMs\": 5000", "\"deadlineMs\": 0"),
        ("\"deadlineMs\": 5000", "\"deadlineMs\": \"soon\""),
        ("\"deadlineMs\": 5000, ", ""),
        ("\"maxAttempts\": 6", "\"maxAttempts\": 0"),
        ("\"maxAttempts\": 6", "\"maxAttempts\": null"),
        ("\"maxAttempts\": 6, ", ""),
        ("\"board\": \"127.0.0.1:7200\",", ""),
        ("\"limits\": {\"cores\": 1.0, \"memory_mb\": 192, \"sockets\": 1024},", ""),
        ("\"stopSendingWithinMs\": 1000, ", ""),
        ("\"services\"", "\"servants\""),
        ("\"settings\"", "\"setting\""),
    ] {
        let changed = text.replacen(from, to, 1);
        assert_ne!(changed, text, "{from}");
        assert!(is_rejected(&changed), "accepted with {to} instead of {from}");
    }
    for cut in (0..text.trim_end().len()).step_by(7) {
        assert!(is_rejected(&text[..cut]), "accepted when truncated to {cut} bytes");
    }
}

/// Guards against a new class that stays unknown, and a removed class that is still served.
#[test]
fn new_classes_are_served_and_removed_classes_are_not() {
    run_local(async {
        let (servers, members) = start_cache_parent_origin(COPY).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let clients = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
        assert_eq!(send_request_text(&clients, &get("films", 1)).await.status, 404);
        let mut new_settings = settings();
        new_settings.classes[0].name = "films".into();
        dispatcher.reload(new_settings).await.expect("a dispatcher");
        assert_eq!(send_request_text(&clients, &get("films", 2)).await.status, 200);
        assert_eq!(send_request_text(&clients, &get("videos", 3)).await.status, 404);
        assert!(servers[0].requests()[0].contains("kind=films,"), "{:?}", servers[0].requests());
    });
}

/// Guards against a rejection without X-Wait-Ms because settings that came after the request turn it off, and
/// against one that clients of those settings do not follow.
#[test]
fn a_rejection_follows_the_settings_that_its_request_began_under() {
    run_local(async {
        let (_servers, members) = start_cache_parent_origin(ServerBehavior::Silent).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let clients = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
        let short = |id| get("videos", id).replace("X-Allow-Ms: 1000", "X-Allow-Ms: 300");
        let pending = tokio::task::spawn_local({
            let (clients, request) = (clients.clone(), short(1));
            async move { send_request_text(&clients, &request).await }
        });
        while dispatcher.metrics().await.expect("a dispatcher").tables.pending_requests == 0 {
            tokio::task::yield_now().await;
        }
        let off = Settings { retry_after: false, ..settings() };
        dispatcher.reload(off).await.expect("a dispatcher");
        let before = pending.await.expect("a response");
        assert_eq!((before.status, before.header("x-wait-ms").is_some()), (503, true));
        let after = send_request_text(&clients, &short(2)).await;
        assert_eq!((after.status, after.header("x-wait-ms")), (503, None));
    });
}
