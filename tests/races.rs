//! Unfavourable orders of events on real connections, forced each time: two things are done with nothing run
//! between them, or an emulated server waits for a step. `docs/design/races.md` lists the places and their
//! verdicts.

mod emulated;

#[path = "races/upstream.rs"]
mod upstream;

use emulated::*;
use foxhold::dispatch::{AttemptId, Clock, Dispatcher, DispatcherMessage};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::frontend::serve::{self, ConnectionSlots, ListenerContext, ShutdownPhase};
use std::cell::Cell;
use std::io::{Read, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// A platform's frontend whose shutdown the test decides on.
struct TestFrontend {
    address: String,
    close: watch::Sender<ShutdownPhase>,
    slots: Rc<ConnectionSlots>,
}

async fn frontend(dispatcher: &Dispatcher, usual_slots: usize) -> TestFrontend {
    let (close, shutdown) = watch::channel(ShutdownPhase::Running);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let slots = ConnectionSlots::new(usual_slots, usual_slots + 2);
    let context = ListenerContext {
        dispatcher: dispatcher.clone(),
        slots: slots.clone(),
        shutdown,
        requests_in_flight: Rc::new(Cell::new(0)),
    };
    tokio::task::spawn_local(serve::accept(listener, context, PlatformFrontend(dispatcher.clone())));
    TestFrontend { address, close, slots }
}

/// The mailbox is full when the client disconnects, so the message of it is lost; then the attempt ends, and
/// the policy would retry.
#[test]
fn no_retry_is_sent_for_a_client_whose_disconnect_found_the_mailbox_full() {
    run_local(async {
        let (server, address) = SteppedServer::start().await;
        let ([cache, parent, origin], mut members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        members[0].address = address.into();
        let dispatcher = start(settings(), Clock::system(), members);
        let request = foxhold::dispatch::ClientRequest {
            id: dispatcher.generate_request_id(),
            object: "7f3a9c21e0b4d655".into(),
            size_kb: 50.0,
            timeout: Duration::from_secs(2),
            ..Default::default()
        };
        let pending = dispatcher.submit(request);
        let mut stream = server.connection().await;
        let line_of_attempt = line(&mut stream).await;
        let id = line_of_attempt.split(' ').nth(1).expect("an id").to_owned();
        let nobody = AttemptId { request: u64::MAX, attempt: 0 };
        while dispatcher.sender().try_send(DispatcherMessage::AttemptWritten(nobody)) {}
        drop(pending); // finds the mailbox full
        stream.write_all(format!("{id} EIO - 0\r\n\r\n").as_bytes()).await.expect("a reader");
        while dispatcher.metrics().await.expect("a dispatcher").tables.pending_requests > 0 {
            tokio::task::yield_now().await;
        }
        let sent = cache.requests().len() + parent.requests().len() + origin.requests().len();
        assert_eq!(sent, 0);
        assert_eq!(
            dispatcher.metrics().await.expect("a dispatcher").requests["videos"].cancelled_may_have_run,
            1
        );
    });
}

/// A client that keeps sending fills what is read ahead; its disconnect behind that was never noticed.
#[test]
fn the_disconnect_of_a_client_that_sends_much_is_noticed() {
    run_local(async {
        let ([cache, ..], members) = start_cache_parent_origin(ServerBehavior::Silent).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let frontend = frontend(&dispatcher, 100).await;
        let mut client = TcpStream::connect(&frontend.address).await.expect("a frontend");
        client.write_all(get(1).as_bytes()).await.expect("a reader");
        while cache.requests().is_empty() {
            tokio::task::yield_now().await;
        }
        client.write_all(&[b'x'; 100_000]).await.expect("a reader");
        let disconnected_at = Instant::now();
        drop(client);
        while !cache.lines.borrow().iter().any(|l| l.starts_with("never_mind ")) {
            assert!(disconnected_at.elapsed() < Duration::from_millis(100), "not cancelled");
            tokio::task::yield_now().await;
        }
    });
}

/// Request and disconnect are both in the socket before the director reads: nothing is sent for nobody.
#[test]
fn a_request_whose_client_disconnected_before_it_was_read_is_not_sent() {
    run_local(async {
        let ([cache, ..], members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let frontend = frontend(&dispatcher, 100).await;
        let mut client = std::net::TcpStream::connect(&frontend.address).expect("a frontend");
        client.write_all(get(1).as_bytes()).expect("a reader");
        drop(client);
        assert_eq!(
            send(&frontend.address, &get(2).replace("X-Allow", "Connection: close\r\nX-Allow")).await.status,
            200
        );
        assert_eq!(cache.requests().len(), 1, "{:?}", cache.requests());
    });
}

/// The shutdown and a request on an idle connection arrive together, the request first.
#[test]
fn a_request_that_arrived_before_the_shutdown_is_answered() {
    run_local(async {
        let (_servers, members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        for n in 0..8 {
            let frontend = frontend(&dispatcher, 100).await;
            let mut client = TcpStream::connect(&frontend.address).await.expect("a frontend");
            client.write_all(get(100 + n).as_bytes()).await.expect("a reader");
            let mut head = [0; 12];
            client.read_exact(&mut head).await.expect("an answer");
            while !matches!(client.try_read(&mut [0; 4096]), Ok(n) if n > 0) {
                client.readable().await.expect("the rest");
            }
            let mut client = client.into_std().expect("a socket");
            client.write_all(get(200 + n).as_bytes()).expect("a reader");
            frontend.close.send(ShutdownPhase::CloseIdle).expect("connections");
            assert_eq!(read_all(client).await, "HTTP/1.1 200");
        }
    });
}

/// A new connection and its request are in the listener's queue, unnoticed, when the shutdown begins.
#[test]
fn a_connection_that_arrived_before_the_shutdown_is_accepted_and_answered() {
    run_local(async {
        let (_servers, members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        for late in [false, true] {
            let frontend = frontend(&dispatcher, 100).await;
            tokio::task::yield_now().await; // it listens
            let mut client = std::net::TcpStream::connect(&frontend.address).expect("a frontend");
            if !late {
                client.write_all(get(1).as_bytes()).expect("a reader");
            }
            frontend.close.send(ShutdownPhase::CloseIdle).expect("a listener");
            if late {
                // Its request is on its way.
                sleep(Duration::from_millis(20)).await;
                client.write_all(get(2).as_bytes()).expect("a reader");
            }
            assert_eq!(read_all(client).await, "HTTP/1.1 200", "late {late}");
        }
    });
}

/// Reads to the end, and returns the beginning of the response.
async fn read_all(client: std::net::TcpStream) -> String {
    client.set_nonblocking(true).expect("a socket");
    let mut client = TcpStream::from_std(client).expect("a socket");
    let mut bytes = Vec::new();
    let _ = timeout(SOON, client.read_to_end(&mut bytes)).await.expect("an end in time");
    String::from_utf8_lossy(&bytes[..bytes.len().min(12)]).into_owned()
}

/// A frontend whose two slots are taken by connections with a request begun, so that none can be evicted.
async fn full_frontend(dispatcher: &Dispatcher) -> (TestFrontend, Vec<std::net::TcpStream>) {
    let frontend = frontend(dispatcher, 0).await;
    let connect = |_| std::net::TcpStream::connect(&frontend.address).expect("a frontend");
    let mut occupied: Vec<_> = (0..2).map(connect).collect();
    while frontend.slots.waiting_connections() < 2 {
        tokio::task::yield_now().await;
    }
    for connection in &mut occupied {
        connection.write_all(b"GET ").expect("a reader");
    }
    while frontend.slots.waiting_connections() > 0 {
        tokio::task::yield_now().await;
    }
    (frontend, occupied)
}

/// A connection in the listener's queue at the shutdown that finds no slot was dropped, which resets it.
#[test]
fn a_connection_that_arrived_before_the_shutdown_and_finds_no_slot_is_rejected() {
    run_local(async {
        let (_servers, members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let (frontend, _occupied) = full_frontend(&dispatcher).await;
        // With nothing run in between: a connection with a complete request, and the shutdown.
        let mut client = std::net::TcpStream::connect(&frontend.address).expect("a frontend");
        client.write_all(get(1).as_bytes()).expect("a reader");
        frontend.close.send(ShutdownPhase::CloseIdle).expect("a frontend");
        let text = read_all(client).await;
        assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    });
}

/// A connection beyond all slots is accepted before its request has arrived: the rejection was written at
/// once and the connection closed, so that the request met a close, which resets the rejection with the rest.
#[test]
fn a_request_that_arrives_after_its_connection_found_no_slot_is_rejected_completely() {
    run_local(async {
        let (servers, members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let (frontend, _occupied) = full_frontend(&dispatcher).await;
        for n in 0..8 {
            let mut client = TcpStream::connect(&frontend.address).await.expect("a frontend");
            // Accepted and found to have no slot before a byte of the request is written.
            for _ in 0..50 {
                tokio::task::yield_now().await;
            }
            client.write_all(get(n).as_bytes()).await.expect("it is still there");
            let mut head = [0; 12];
            timeout(SOON, client.read_exact(&mut head)).await.expect("in time").expect("an answer");
            assert_eq!(&head, b"HTTP/1.1 503");
            // What it still writes does not reset the rest of the response.
            client.write_all(&[b'x'; 8192]).await.expect("it is read");
            let mut rest = Vec::new();
            timeout(SOON, client.read_to_end(&mut rest))
                .await
                .expect("in time")
                .expect("a complete response");
            assert!(rest.ends_with(b"\r\n\r\n"));
        }
        assert!(servers[0].requests().is_empty());
    });
}

/// A new connection is to be evicted when its complete request has arrived and is not read.
#[test]
fn a_new_connection_whose_complete_request_has_arrived_is_not_evicted_unanswered() {
    run_local(async {
        let (_servers, members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        for n in 0..8 {
            let frontend = frontend(&dispatcher, 1).await;
            let mut first = std::net::TcpStream::connect(&frontend.address).expect("a frontend");
            while frontend.slots.waiting_connections() == 0 {
                tokio::task::yield_now().await;
            }
            first.write_all(get(n).as_bytes()).expect("a reader");
            frontend.slots.close_one_waiting();
            let mut client = first.try_clone().expect("a socket");
            let response = tokio::task::spawn_blocking(move || {
                client.set_read_timeout(Some(SOON)).expect("a socket");
                let mut head = [0; 12];
                client.read_exact(&mut head).map(|()| head)
            });
            assert_eq!(&response.await.expect("a thread").expect("an answer"), b"HTTP/1.1 200");
        }
    });
}
