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

const SOON: Duration = Duration::from_secs(5);

/// An emulated service and what the client reports of it.
struct Service {
    listener: TcpListener,
    messages: mpsc::Receiver<DispatcherMessage>,
    address: watch::Sender<String>,
}

async fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Starts a client that has the events up to revision 3.
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
    /// A service whose client has the events up to revision 3.
    async fn start(scope: WatchScope) -> Service {
        let (listener, address) = listener().await;
        let (reports, messages) = mpsc::channel(16);
        let (address, present) = watch::channel(address);
        spawn_client(present, scope, reports);
        Service { listener, messages, address }
    }

    /// The client's next connection, and what it requests.
    async fn connection(&self) -> (TcpStream, String) {
        let accepted = timeout(SOON, self.listener.accept()).await.expect("a connection in time");
        let (stream, _) = accepted.expect("a connection");
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        stream.read_line(&mut line).await.expect("a line");
        (stream.into_inner(), line)
    }

    /// The object of the next purge that the client reports.
    async fn purge(&mut self) -> String {
        match timeout(SOON, self.messages.recv()).await.expect("a message in time") {
            Some(DispatcherMessage::Purged { object: Some(object), .. }) => object.to_string(),
            other => panic!("{other:?}"),
        }
    }
}

fn purge(rev: u64) -> String {
    format!("{{\"rev\":{rev},\"flush\":{{\"asset\":\"{rev}\",\"ms\":1764576000123}}}}\n")
}

const MEMBERS: &str = "{\"rev\":5,\"pool\":{\"complete\":true,\"members\":[]}}\n";

#[test]
fn a_reconnect_requests_only_missing_events_and_reports_none_twice() {
    run_local(async {
        let mut service = Service::start(WatchScope::MembersAndPurges).await;
        let (mut stream, request) = service.connection().await;
        assert_eq!(request, "watch 3\n");
        stream.write_all(purge(4).as_bytes()).await.expect("a reader");
        assert_eq!(service.purge().await, "4");
        drop(stream);
        let (mut stream, request) = service.connection().await;
        assert_eq!(request, "watch 4\n");
        stream.write_all((purge(4) + "4\n" + &purge(5)).as_bytes()).await.expect("a reader");
        assert_eq!(service.purge().await, "5");
    });
}

#[test]
fn an_unreadable_line_a_revision_ahead_or_silence_ends_the_connection() {
    // Events before the fault count, and the missing one is requested on the next connection.
    for fault in ["{\"rev\":\n", "{\"rev\":5,\"flush\":{\"ms\":1}}\n", "9\n", ""] {
        run_local(async {
            let mut service = Service::start(WatchScope::MembersAndPurges).await;
            let (mut stream, _) = service.connection().await;
            stream.write_all((purge(4) + fault).as_bytes()).await.expect("a reader");
            assert_eq!(service.purge().await, "4");
            let (_, request) = service.connection().await;
            assert_eq!(request, "watch 4\n", "{fault}");
            drop(stream);
        });
    }
}

/// Guards against requesting an unreadable event for ever, and never receiving what follows it.
#[test]
fn an_event_that_is_unreadable_twice_is_skipped_and_later_events_are_reported() {
    let unknown =
        "{\"rev\":5,\"pool\":{\"members\":[{\"id\":\"s\",\"host_port\":\"127.0.0.1:1\",\"locality\":\"a\",\
                   \"flavor\":\"b\",\"phase\":\"resting\"}]}}\n";
    for bad in [unknown, "{\"rev\":5\n"] {
        run_local(async {
            let mut service = Service::start(WatchScope::MembersAndPurges).await;
            let (mut stream, _) = service.connection().await;
            stream.write_all((purge(4) + bad + &purge(6)).as_bytes()).await.expect("a reader");
            assert_eq!(service.purge().await, "4");
            let (mut stream, request) = service.connection().await;
            assert_eq!(request, "watch 4\n", "it may have been damaged on the way");
            stream.write_all((bad.to_owned() + &purge(6)).as_bytes()).await.expect("a reader");
            assert_eq!(service.purge().await, "6");
            // Heartbeats carry the revision of the newest event: it must not count as missed for ever.
            stream.write_all(bad.replace('5', "7").as_bytes()).await.expect("a reader");
            let (mut stream, request) = service.connection().await;
            assert_eq!(request, "watch 6\n");
            stream
                .write_all((bad.replace('5', "7") + "7\n7\n" + &purge(8)).as_bytes())
                .await
                .expect("a reader");
            assert_eq!(service.purge().await, "8");
            drop(stream);
            assert_eq!(service.connection().await.1, "watch 8\n");
        });
    }
}

#[test]
fn a_client_with_scope_purges_only_reports_no_members() {
    for scope in [WatchScope::MembersAndPurges, WatchScope::PurgesOnly] {
        run_local(async {
            let mut service = Service::start(scope).await;
            let (mut stream, _) = service.connection().await;
            let events = purge(4) + MEMBERS + &purge(6);
            stream.write_all(events.as_bytes()).await.expect("a reader");
            assert_eq!(service.purge().await, "4");
            if scope == WatchScope::MembersAndPurges {
                assert!(matches!(
                    service.messages.recv().await,
                    Some(DispatcherMessage::Members { full: true, .. })
                ));
            }
            assert_eq!(service.purge().await, "6");
        });
    }
}

/// Guards against waiting for the old service to close: it reports nothing more, and drains have to take
/// effect in time.
#[test]
fn a_new_address_is_watched_at_once_from_the_latest_revision() {
    run_local(async {
        let mut service = Service::start(WatchScope::MembersAndPurges).await;
        let (mut old, _) = service.connection().await;
        // The last event is incomplete, so it has to be sent again.
        old.write_all((purge(4) + &purge(5)[..20]).as_bytes()).await.expect("a reader");
        assert_eq!(service.purge().await, "4");
        let (listener, address) = listener().await;
        service.listener = listener;
        service.address.send(address).expect("a client");
        let (mut stream, request) = service.connection().await;
        assert_eq!(request, "watch 4\n");
        stream.write_all((purge(5) + &purge(5) + &purge(6)).as_bytes()).await.expect("a reader");
        assert_eq!(service.purge().await, "5");
        assert_eq!(service.purge().await, "6");
    });
}

/// Guards against the herd that a reconnect without jitter makes: all came back within 2 ms.
#[test]
fn clients_that_lose_their_service_at_once_reconnect_with_jitter_and_without_extra_delay() {
    run_local(async {
        let (listener, at) = listener().await;
        let mut clients = Vec::new();
        for _ in 0..60 {
            let (reports, messages) = mpsc::channel(16);
            let (address, follows) = watch::channel(at.clone());
            spawn_client(follows, WatchScope::MembersAndPurges, reports);
            clients.push((address, messages));
        }
        let mut first = Vec::new();
        for _ in 0..60 {
            first.push(listener.accept().await.expect("a connection"));
        }
        let let_go = std::time::Instant::now();
        drop(first);
        let mut back = Vec::new();
        for _ in 0..60 {
            let _held = listener.accept().await.expect("a connection");
            back.push(let_go.elapsed().as_secs_f64() * 1e3);
            std::mem::forget(_held);
        }
        // The first delay is 100 ms at most: it doubles before it is used.
        let (soonest, latest) = (back[0], back[59]);
        assert!(latest - soonest > 25.0, "{soonest} to {latest}");
        let fullest =
            back.iter().map(|at| back.iter().filter(|b| (*at..at + 5.0).contains(*b)).count()).max();
        assert!(fullest < Some(30), "{fullest:?} of 60 within 5 ms");
        assert!(latest < 200.0, "{latest}");
    });
}

/// Guards against a backoff that grows with each end of a good connection that brought no events.
#[test]
fn a_heartbeat_resets_the_reconnect_backoff() {
    run_local(async {
        let service = Service::start(WatchScope::MembersAndPurges).await;
        let begun = std::time::Instant::now();
        for _ in 0..8 {
            let (mut stream, request) = service.connection().await;
            assert_eq!(request, "watch 3\n");
            stream.write_all(b"3\n").await.expect("a reader");
        }
        // Doubled each time it would be over 3 s.
        assert!(begun.elapsed() < std::time::Duration::from_millis(1500), "{:?}", begun.elapsed());
    });
}

/// A service on a machine that takes no connections: its accept queue is full, and what comes is dropped.
struct Unreachable {
    listener: TcpListener,
    address: String,
    _queue: Vec<TcpStream>,
}

impl Unreachable {
    async fn start() -> Unreachable {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let address = listener.local_addr().expect("an address").to_string();
        let mut queue = Vec::new();
        while let Ok(stream) = timeout(Duration::from_millis(200), TcpStream::connect(&address)).await {
            queue.push(stream.expect("a connection"));
        }
        Unreachable { listener, address, _queue: queue }
    }

    /// Takes connections again until a client requests events; returns how long that took.
    async fn returns(self) -> Duration {
        let begun = std::time::Instant::now();
        let (sender, mut requests) = mpsc::channel(16);
        let listener = self.listener;
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let sender = sender.clone();
                tokio::task::spawn_local(async move {
                    let (mut stream, mut line) = (BufReader::new(stream), String::new());
                    if matches!(stream.read_line(&mut line).await, Ok(1..)) {
                        let _ = sender.send(line).await; // one that came earlier was enough
                    }
                });
            }
        });
        assert_eq!(timeout(SOON, requests.recv()).await.expect("in time").as_deref(), Some("watch 3\n"));
        begun.elapsed()
    }
}

/// Guards against a connect timeout and a backoff that take over a second together.
#[test]
fn a_service_that_was_unreachable_is_watched_within_a_second_of_its_return() {
    run_local(async {
        let mut returns = Vec::new();
        for n in 0..10 {
            let service = Unreachable::start().await;
            let (reports, messages) = mpsc::channel(16);
            let (address, present) = watch::channel(service.address.clone());
            spawn_client(present, WatchScope::MembersAndPurges, reports);
            returns.push(tokio::task::spawn_local(async move {
                // By then the backoff has its full length; each service returns at another moment of it.
                tokio::time::sleep(Duration::from_millis(4_000 + 170 * n)).await;
                let took = service.returns().await;
                drop((address, messages));
                took
            }));
        }
        let mut times = Vec::new();
        for time in returns {
            times.push(time.await.expect("a service that is watched"));
        }
        times.sort();
        println!("followed after {:.0?} to {:.0?}", times[0], times[times.len() - 1]);
        assert!(times[times.len() - 1] <= Duration::from_secs(1), "{times:?}");
    });
}

/// Guards against detecting silence only on a connection that never brought anything: here it comes after
/// seconds of heartbeats, between two lines or within one.
#[test]
fn a_watch_that_falls_silent_late_is_replaced_in_time_and_resumed() {
    for last_words in ["4\n", "{\"rev\":5,\"flush\":{\"asset\":"] {
        run_local(async {
            let mut service = Service::start(WatchScope::MembersAndPurges).await;
            let (mut stream, _) = service.connection().await;
            stream.write_all(purge(4).as_bytes()).await.expect("a reader");
            assert_eq!(service.purge().await, "4");
            for _ in 0..4 {
                stream.write_all(b"4\n").await.expect("a reader");
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
            stream.write_all(last_words.as_bytes()).await.expect("a reader");
            let silent = std::time::Instant::now();
            let (mut stream, request) = service.connection().await;
            let took = silent.elapsed();
            assert_eq!(request, "watch 4\n", "{last_words}");
            assert!(took >= Duration::from_secs(2) && took < Duration::from_millis(3_500), "{took:?}");
            stream.write_all((purge(5) + "5\n").as_bytes()).await.expect("a reader");
            assert_eq!(service.purge().await, "5");
        });
    }
}

/// Guards against ignoring a complete list that comes in place of changes, or its revision.
#[test]
fn a_complete_list_is_reported_once_with_its_revision_and_an_older_one_is_ignored() {
    let whole = |rev: u64| MEMBERS.replace("\"rev\":5", &format!("\"rev\":{rev}"));
    run_local(async {
        let mut service = Service::start(WatchScope::MembersAndPurges).await;
        let (mut stream, _) = service.connection().await;
        // The list includes events 4 to 8; it comes again, and then an older one.
        let lines = whole(9) + "9\n" + &whole(9) + &whole(2) + &purge(10);
        stream.write_all(lines.as_bytes()).await.expect("a reader");
        let first = timeout(SOON, service.messages.recv()).await.expect("a message in time");
        assert!(matches!(first, Some(DispatcherMessage::Members { full: true, .. })), "{first:?}");
        assert_eq!(service.purge().await, "10", "neither list is reported again");
        drop(stream);
        assert_eq!(service.connection().await.1, "watch 10\n");
    });
}
