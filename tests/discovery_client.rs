//! The discovery client against an emulated discovery service on loopback.

mod emulated;

use emulated::run_local;
use foxhold::discovery::client::DiscoveryClient;
use foxhold::discovery::{DiscoveryService, WatchScope};
use foxhold::dispatch::{DispatcherMessage, DispatcherSender};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(5);

/// An emulated discovery service, and the messages that its client sends to the dispatcher.
struct Service {
    listener: TcpListener,
    messages: mpsc::Receiver<DispatcherMessage>,
    address: watch::Sender<String>,
}

async fn bind_listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Starts a client that has received the events up to revision 3.
fn spawn_client(
    address: watch::Receiver<String>,
    scope: WatchScope,
    reports: mpsc::Sender<DispatcherMessage>,
) {
    let service =
        DiscoveryService { address, revision: 3, initial_events: Vec::new(), scope, subscriber: None };
    let client = DiscoveryClient::new(service, DispatcherSender::new(reports));
    tokio::task::spawn_local(client.run());
}

impl Service {
    /// Starts a service and a client that has received the events up to revision 3.
    async fn start(scope: WatchScope) -> Service {
        let (listener, address) = bind_listener().await;
        let (reports, messages) = mpsc::channel(16);
        let (address, address_updates) = watch::channel(address);
        spawn_client(address_updates, scope, reports);
        Service { listener, messages, address }
    }

    /// Accepts the client's next connection and reads its request line.
    async fn accept_watch(&self) -> (TcpStream, String) {
        let accepted = timeout(TIMEOUT, self.listener.accept()).await.expect("a connection in time");
        let (stream, _) = accepted.expect("a connection");
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        stream.read_line(&mut line).await.expect("a line");
        (stream.into_inner(), line)
    }

    /// Returns the object of the next purge that the client reports.
    async fn next_purged_object(&mut self) -> String {
        match timeout(TIMEOUT, self.messages.recv()).await.expect("a message in time") {
            Some(DispatcherMessage::Purged { object: Some(object), .. }) => object.to_string(),
            other => panic!("{other:?}"),
        }
    }
}

fn purge_event(revision: u64) -> String {
    format!("{{\"rev\":{revision},\"flush\":{{\"asset\":\"{revision}\",\"ms\":1764576000123}}}}\n")
}

const MEMBERS: &str = "{\"rev\":5,\"pool\":{\"complete\":true,\"members\":[]}}\n";

#[test]
fn a_reconnect_requests_only_missing_events_and_reports_none_twice() {
    run_local(async {
        let mut service = Service::start(WatchScope::MembersAndPurges).await;
        let (mut stream, request) = service.accept_watch().await;
        assert_eq!(request, "watch 3\n");
        stream.write_all(purge_event(4).as_bytes()).await.expect("a reader");
        assert_eq!(service.next_purged_object().await, "4");
        drop(stream);
        let (mut stream, request) = service.accept_watch().await;
        assert_eq!(request, "watch 4\n");
        stream.write_all((purge_event(4) + "4\n" + &purge_event(5)).as_bytes()).await.expect("a reader");
        assert_eq!(service.next_purged_object().await, "5");
    });
}

#[test]
fn a_client_reconnects_after_an_unreadable_line_a_newer_heartbeat_or_silence() {
    // Events before the fault are kept; the next connection requests those after them.
    for fault in ["{\"rev\":\n", "{\"rev\":5,\"flush\":{\"ms\":1}}\n", "9\n", ""] {
        run_local(async {
            let mut service = Service::start(WatchScope::MembersAndPurges).await;
            let (mut stream, _) = service.accept_watch().await;
            stream.write_all((purge_event(4) + fault).as_bytes()).await.expect("a reader");
            assert_eq!(service.next_purged_object().await, "4");
            let (_, request) = service.accept_watch().await;
            assert_eq!(request, "watch 4\n", "{fault}");
            drop(stream);
        });
    }
}

/// Guards against requesting an unreadable event for ever, and so never receiving the events after it.
#[test]
fn an_event_that_is_unreadable_twice_is_skipped_and_later_events_are_reported() {
    let unknown =
        "{\"rev\":5,\"pool\":{\"members\":[{\"id\":\"s\",\"host_port\":\"127.0.0.1:1\",\"locality\":\"a\",\
                   \"flavor\":\"b\",\"phase\":\"resting\"}]}}\n";
    for bad in [unknown, "{\"rev\":5\n"] {
        run_local(async {
            let mut service = Service::start(WatchScope::MembersAndPurges).await;
            let (mut stream, _) = service.accept_watch().await;
            stream.write_all((purge_event(4) + bad + &purge_event(6)).as_bytes()).await.expect("a reader");
            assert_eq!(service.next_purged_object().await, "4");
            let (mut stream, request) = service.accept_watch().await;
            assert_eq!(
                request, "watch 4\n",
                "an event is requested again after one unreadable copy: it may have been damaged in transit"
            );
            stream.write_all((bad.to_owned() + &purge_event(6)).as_bytes()).await.expect("a reader");
            assert_eq!(service.next_purged_object().await, "6");
            // Heartbeats carry the revision of the newest event. A skipped event must not count as missed for
            // ever.
            stream.write_all(bad.replace('5', "7").as_bytes()).await.expect("a reader");
            let (mut stream, request) = service.accept_watch().await;
            assert_eq!(request, "watch 6\n");
            stream
                .write_all((bad.replace('5', "7") + "7\n7\n" + &purge_event(8)).as_bytes())
                .await
                .expect("a reader");
            assert_eq!(service.next_purged_object().await, "8");
            drop(stream);
            assert_eq!(service.accept_watch().await.1, "watch 8\n");
        });
    }
}

#[test]
fn a_client_with_scope_purges_only_reports_no_members() {
    for scope in [WatchScope::MembersAndPurges, WatchScope::PurgesOnly] {
        run_local(async {
            let mut service = Service::start(scope).await;
            let (mut stream, _) = service.accept_watch().await;
            let events = purge_event(4) + MEMBERS + &purge_event(6);
            stream.write_all(events.as_bytes()).await.expect("a reader");
            assert_eq!(service.next_purged_object().await, "4");
            if scope == WatchScope::MembersAndPurges {
                assert!(matches!(
                    service.messages.recv().await,
                    Some(DispatcherMessage::Members { full: true, .. })
                ));
            }
            assert_eq!(service.next_purged_object().await, "6");
        });
    }
}

/// Guards against waiting for the old service to close the connection. It sends no more events, so drains
/// would take effect late.
#[test]
fn a_new_address_is_watched_at_once_from_the_latest_revision() {
    run_local(async {
        let mut service = Service::start(WatchScope::MembersAndPurges).await;
        let (mut old, _) = service.accept_watch().await;
        // The last event is incomplete, so it has to be sent again.
        old.write_all((purge_event(4) + &purge_event(5)[..20]).as_bytes()).await.expect("a reader");
        assert_eq!(service.next_purged_object().await, "4");
        let (listener, address) = bind_listener().await;
        service.listener = listener;
        service.address.send(address).expect("a client");
        let (mut stream, request) = service.accept_watch().await;
        assert_eq!(request, "watch 4\n");
        stream
            .write_all((purge_event(5) + &purge_event(5) + &purge_event(6)).as_bytes())
            .await
            .expect("a reader");
        assert_eq!(service.next_purged_object().await, "5");
        assert_eq!(service.next_purged_object().await, "6");
    });
}

/// Guards against reconnecting without jitter: all clients then came back within 2 ms.
#[test]
fn clients_that_lose_their_service_together_reconnect_with_jitter_within_200_ms() {
    run_local(async {
        let (listener, service_address) = bind_listener().await;
        let mut clients = Vec::new();
        for _ in 0..60 {
            let (reports, messages) = mpsc::channel(16);
            let (address, address_updates) = watch::channel(service_address.clone());
            spawn_client(address_updates, WatchScope::MembersAndPurges, reports);
            clients.push((address, messages));
        }
        let mut connections = Vec::new();
        for _ in 0..60 {
            connections.push(listener.accept().await.expect("a connection"));
        }
        let disconnected_at = std::time::Instant::now();
        drop(connections);
        let mut reconnects_ms = Vec::new();
        for _ in 0..60 {
            let connection = listener.accept().await.expect("a connection");
            reconnects_ms.push(disconnected_at.elapsed().as_secs_f64() * 1e3);
            std::mem::forget(connection);
        }
        // The first delay is at most 100 ms: the backoff doubles before its first use.
        let (soonest, latest) = (reconnects_ms[0], reconnects_ms[59]);
        assert!(latest - soonest > 25.0, "all reconnected within 25 ms: from {soonest} to {latest} ms");
        let most_in_5_ms = reconnects_ms
            .iter()
            .map(|at| reconnects_ms.iter().filter(|b| (*at..at + 5.0).contains(*b)).count())
            .max();
        assert!(most_in_5_ms < Some(30), "{most_in_5_ms:?} of 60 reconnected within 5 ms");
        assert!(latest < 200.0, "the last reconnected after {latest} ms");
    });
}

/// Guards against a backoff that grows each time a working connection without events ends.
#[test]
fn a_heartbeat_resets_the_reconnect_backoff() {
    run_local(async {
        let service = Service::start(WatchScope::MembersAndPurges).await;
        let begun = std::time::Instant::now();
        for _ in 0..8 {
            let (mut stream, request) = service.accept_watch().await;
            assert_eq!(request, "watch 3\n");
            stream.write_all(b"3\n").await.expect("a reader");
        }
        // A backoff that doubled each time would add up to more than 3 s.
        assert!(begun.elapsed() < std::time::Duration::from_millis(1500), "{:?}", begun.elapsed());
    });
}

/// A service that accepts no connections: its accept queue is full, so the kernel drops further ones.
struct UnreachableService {
    listener: TcpListener,
    address: String,
    _queue: Vec<TcpStream>,
}

impl UnreachableService {
    async fn start() -> UnreachableService {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address").to_string();
        let mut queue = Vec::new();
        while let Ok(stream) = timeout(Duration::from_millis(200), TcpStream::connect(&address)).await {
            queue.push(stream.expect("a connection"));
        }
        UnreachableService { listener, address, _queue: queue }
    }

    /// Accepts connections again until a client requests events. Returns how long that took.
    async fn recover(self) -> Duration {
        let begun = std::time::Instant::now();
        let (sender, mut requests) = mpsc::channel(16);
        let listener = self.listener;
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let sender = sender.clone();
                tokio::task::spawn_local(async move {
                    let (mut stream, mut line) = (BufReader::new(stream), String::new());
                    if matches!(stream.read_line(&mut line).await, Ok(1..)) {
                        let _ = sender.send(line).await; // fails once the first request was received
                    }
                });
            }
        });
        assert_eq!(timeout(TIMEOUT, requests.recv()).await.expect("in time").as_deref(), Some("watch 3\n"));
        begun.elapsed()
    }
}

/// Guards against a connect timeout and a backoff that take over a second together.
#[test]
fn a_service_that_was_unreachable_is_watched_within_a_second_of_its_recovery() {
    run_local(async {
        let mut recoveries = Vec::new();
        for n in 0..10 {
            let service = UnreachableService::start().await;
            let (reports, messages) = mpsc::channel(16);
            let (address, address_updates) = watch::channel(service.address.clone());
            spawn_client(address_updates, WatchScope::MembersAndPurges, reports);
            recoveries.push(tokio::task::spawn_local(async move {
                // By then the backoff has reached its maximum. Each service recovers at another point of it.
                tokio::time::sleep(Duration::from_millis(4_000 + 170 * n)).await;
                let took = service.recover().await;
                drop((address, messages));
                took
            }));
        }
        let mut times = Vec::new();
        for time in recoveries {
            times.push(time.await.expect("a service that is watched"));
        }
        times.sort();
        println!("watched after {:.0?} to {:.0?}", times[0], times[times.len() - 1]);
        assert!(times[times.len() - 1] <= Duration::from_secs(1), "{times:?}");
    });
}

/// Guards against detecting silence only on a connection without any data. Here the silence begins after 4 s
/// of heartbeats, between two lines or within one.
#[test]
fn a_watch_that_falls_silent_after_heartbeats_is_replaced_within_3500_ms() {
    for final_bytes in ["4\n", "{\"rev\":5,\"flush\":{\"asset\":"] {
        run_local(async {
            let mut service = Service::start(WatchScope::MembersAndPurges).await;
            let (mut stream, _) = service.accept_watch().await;
            stream.write_all(purge_event(4).as_bytes()).await.expect("a reader");
            assert_eq!(service.next_purged_object().await, "4");
            for _ in 0..4 {
                stream.write_all(b"4\n").await.expect("a reader");
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
            stream.write_all(final_bytes.as_bytes()).await.expect("a reader");
            let silent_since = std::time::Instant::now();
            let (mut stream, request) = service.accept_watch().await;
            let took = silent_since.elapsed();
            assert_eq!(request, "watch 4\n", "{final_bytes}");
            assert!(took >= Duration::from_secs(2) && took < Duration::from_millis(3_500), "{took:?}");
            stream.write_all((purge_event(5) + "5\n").as_bytes()).await.expect("a reader");
            assert_eq!(service.next_purged_object().await, "5");
        });
    }
}

/// Guards against ignoring a complete list that is sent instead of changes, or ignoring its revision.
#[test]
fn a_complete_list_is_reported_once_with_its_revision_and_an_older_one_is_ignored() {
    let complete_list = |revision: u64| MEMBERS.replace("\"rev\":5", &format!("\"rev\":{revision}"));
    run_local(async {
        let mut service = Service::start(WatchScope::MembersAndPurges).await;
        let (mut stream, _) = service.accept_watch().await;
        // The list includes events 4 to 8. It is sent twice, then an older one.
        let lines = complete_list(9) + "9\n" + &complete_list(9) + &complete_list(2) + &purge_event(10);
        stream.write_all(lines.as_bytes()).await.expect("a reader");
        let first = timeout(TIMEOUT, service.messages.recv()).await.expect("a message in time");
        assert!(matches!(first, Some(DispatcherMessage::Members { full: true, .. })), "{first:?}");
        assert_eq!(service.next_purged_object().await, "10", "no further list is reported");
        drop(stream);
        assert_eq!(service.accept_watch().await.1, "watch 10\n");
    });
}
