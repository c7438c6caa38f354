//! Races on real connections, each forced into its unfavourable order: a test does two things without running
//! other tasks in between, or an emulated server waits for a step of the test. `docs/design/races.md` lists
//! the places and their verdicts.

mod emulated;

#[path = "races/upstream.rs"]
mod upstream;

use emulated::*;
use foxhold::dispatch::{AttemptId, ClientRequest, Clock, Dispatcher, DispatcherMessage};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::frontend::serve::{self, ConnectionSlots, ListenerContext, ShutdownPhase};
use foxhold::memory::MemoryBudget;
use std::cell::Cell;
use std::io::{Read, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// A platform frontend whose shutdown the test controls.
struct TestFrontend {
    address: String,
    close: watch::Sender<ShutdownPhase>,
    slots: Rc<ConnectionSlots>,
}

async fn start_frontend(dispatcher: &Dispatcher, usual_slots: usize) -> TestFrontend {
    let (close, shutdown) = watch::channel(ShutdownPhase::Running);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let slots = ConnectionSlots::new(usual_slots, usual_slots + 2);
    let context = ListenerContext {
        dispatcher: dispatcher.clone(),
        slots: slots.clone(),
        memory: MemoryBudget::new(TEST_MEMORY_BYTES),
        shutdown,
        requests_in_flight: Rc::new(Cell::new(0)),
    };
    tokio::task::spawn_local(serve::accept(listener, context, PlatformFrontend(dispatcher.clone())));
    TestFrontend { address, close, slots }
}

/// Guards against a retry for a client that has disconnected: the mailbox is full at the disconnect, so the
/// message about it is lost. Then the attempt ends, and the policy would retry.
#[test]
fn no_retry_is_sent_if_the_mailbox_was_full_when_the_client_disconnected() {
    run_local(async {
        let (server, address) = SteppedServer::start().await;
        let ([cache, parent, origin], mut members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        members[0].address = address.into();
        let dispatcher = start(settings(), Clock::system(), members);
        let request = ClientRequest {
            id: dispatcher.generate_request_id(),
            object: "7f3a9c21e0b4d655".into(),
            size_kb: 50.0,
            timeout: Duration::from_secs(2),
            ..ClientRequest::new(dispatcher.class_rules("videos").expect("a class"))
        };
        let pending = dispatcher.submit(request);
        let mut stream = server.connection().await;
        let attempt_line = read_line(&mut stream).await;
        let id = attempt_line.split(' ').nth(1).expect("an id").to_owned();
        let unknown_attempt = AttemptId { request: u64::MAX, attempt: 0 };
        while dispatcher.sender().try_send(DispatcherMessage::AttemptWritten(unknown_attempt)) {}
        drop(pending); // the client disconnects; the mailbox is full
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

/// Guards against a regression: a client that keeps sending fills the read-ahead buffer, and its disconnect
/// behind those bytes was never noticed.
#[test]
fn the_disconnect_of_a_client_that_keeps_sending_is_noticed() {
    run_local(async {
        let ([cache, ..], members) = start_cache_parent_origin(ServerBehavior::Silent).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let frontend = start_frontend(&dispatcher, 100).await;
        let mut client = TcpStream::connect(&frontend.address).await.expect("a frontend");
        client.write_all(get_request_text(1).as_bytes()).await.expect("a reader");
        while cache.requests().is_empty() {
            tokio::task::yield_now().await;
        }
        client.write_all(&[b'x'; 100_000]).await.expect("a reader");
        let disconnected_at = Instant::now();
        drop(client);
        while !cache.lines.borrow().iter().any(|l| l.starts_with("never_mind ")) {
            assert!(
                disconnected_at.elapsed() < Duration::from_millis(100),
                "expected a cancellation within 100 ms"
            );
            tokio::task::yield_now().await;
        }
    });
}

/// Guards against sending a request for a disconnected client: request and disconnect are both in the socket
/// before the director reads.
#[test]
fn a_request_whose_client_disconnected_before_it_was_read_is_not_sent() {
    run_local(async {
        let ([cache, ..], members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let frontend = start_frontend(&dispatcher, 100).await;
        let mut client = std::net::TcpStream::connect(&frontend.address).expect("a frontend");
        client.write_all(get_request_text(1).as_bytes()).expect("a reader");
        drop(client);
        assert_eq!(
            send_request_text(
                &frontend.address,
                &get_request_text(2).replace("X-Allow", "Connection: close\r\nX-Allow")
            )
            .await
            .status,
            200
        );
        assert_eq!(cache.requests().len(), 1, "{:?}", cache.requests());
    });
}

/// Guards against dropping a request on an idle connection that arrives together with the shutdown, right
/// before it.
#[test]
fn a_request_that_arrived_before_the_shutdown_is_answered() {
    run_local(async {
        let (_servers, members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        for n in 0..8 {
            let frontend = start_frontend(&dispatcher, 100).await;
            let mut client = TcpStream::connect(&frontend.address).await.expect("a frontend");
            client.write_all(get_request_text(100 + n).as_bytes()).await.expect("a reader");
            let mut head = [0; 12];
            client.read_exact(&mut head).await.expect("an answer");
            while !matches!(client.try_read(&mut [0; 4096]), Ok(n) if n > 0) {
                client.readable().await.expect("the rest");
            }
            let mut client = client.into_std().expect("a socket");
            client.write_all(get_request_text(200 + n).as_bytes()).expect("a reader");
            frontend.close.send(ShutdownPhase::CloseIdle).expect("connections");
            assert_eq!(read_response_start(client).await, "HTTP/1.1 200");
        }
    });
}

/// Guards against dropping a new connection that waits with its request in the listener's queue, not yet
/// noticed, when the shutdown begins.
#[test]
fn a_connection_that_arrived_before_the_shutdown_is_accepted_and_answered() {
    run_local(async {
        let (_servers, members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        for is_request_late in [false, true] {
            let frontend = start_frontend(&dispatcher, 100).await;
            tokio::task::yield_now().await; // the frontend starts to listen
            let mut client = std::net::TcpStream::connect(&frontend.address).expect("a frontend");
            if !is_request_late {
                client.write_all(get_request_text(1).as_bytes()).expect("a reader");
            }
            frontend.close.send(ShutdownPhase::CloseIdle).expect("a listener");
            if is_request_late {
                // The request arrives after the shutdown has begun.
                sleep(Duration::from_millis(20)).await;
                client.write_all(get_request_text(2).as_bytes()).expect("a reader");
            }
            assert_eq!(
                read_response_start(client).await,
                "HTTP/1.1 200",
                "request after the shutdown: {is_request_late}"
            );
        }
    });
}

/// Reads the response to its end, and returns its first 12 bytes.
async fn read_response_start(client: std::net::TcpStream) -> String {
    client.set_nonblocking(true).expect("a socket");
    let mut client = TcpStream::from_std(client).expect("a socket");
    let mut bytes = Vec::new();
    let _ = timeout(EVENT_TIMEOUT, client.read_to_end(&mut bytes)).await.expect("an end in time");
    String::from_utf8_lossy(&bytes[..bytes.len().min(12)]).into_owned()
}

/// Starts a frontend whose two slots are taken by connections that have begun a request, so that none can be
/// evicted.
async fn start_full_frontend(dispatcher: &Dispatcher) -> (TestFrontend, Vec<std::net::TcpStream>) {
    let frontend = start_frontend(dispatcher, 0).await;
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

/// Guards against a regression: a connection in the listener's queue at the shutdown was dropped if it found
/// no slot, which resets it.
#[test]
fn a_connection_that_arrived_before_the_shutdown_and_finds_no_slot_is_rejected() {
    run_local(async {
        let (_servers, members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let (frontend, _occupied) = start_full_frontend(&dispatcher).await;
        // A connection with a complete request and the shutdown, without running other tasks in between.
        let mut client = std::net::TcpStream::connect(&frontend.address).expect("a frontend");
        client.write_all(get_request_text(1).as_bytes()).expect("a reader");
        frontend.close.send(ShutdownPhase::CloseIdle).expect("a frontend");
        let text = read_response_start(client).await;
        assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    });
}

/// Guards against a regression: a connection beyond all slots is accepted before its request has arrived. The
/// rejection was written at once and the connection closed, so that the request arrived at a closed
/// connection, and the reset discarded the rejection.
#[test]
fn a_request_that_arrives_after_its_connection_found_no_slot_is_rejected_completely() {
    run_local(async {
        let (servers, members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        let (frontend, _occupied) = start_full_frontend(&dispatcher).await;
        for n in 0..8 {
            let mut client = TcpStream::connect(&frontend.address).await.expect("a frontend");
            // Accepted and found to have no slot before a byte of the request is written.
            for _ in 0..50 {
                tokio::task::yield_now().await;
            }
            client.write_all(get_request_text(n).as_bytes()).await.expect("an open connection");
            let mut head = [0; 12];
            timeout(EVENT_TIMEOUT, client.read_exact(&mut head)).await.expect("in time").expect("an answer");
            assert_eq!(&head, b"HTTP/1.1 503");
            // Bytes that the client still writes do not reset the rest of the response.
            client.write_all(&[b'x'; 8192]).await.expect("a reader");
            let mut rest = Vec::new();
            timeout(EVENT_TIMEOUT, client.read_to_end(&mut rest))
                .await
                .expect("in time")
                .expect("a complete response");
            assert!(rest.ends_with(b"\r\n\r\n"));
        }
        assert!(servers[0].requests().is_empty());
    });
}

/// Guards against a lost request: a new connection is to be evicted when its complete request has arrived but
/// has not been read.
#[test]
fn a_new_connection_whose_complete_request_has_arrived_is_not_evicted_unanswered() {
    run_local(async {
        let (_servers, members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let dispatcher = start(settings(), Clock::system(), members);
        for n in 0..8 {
            let frontend = start_frontend(&dispatcher, 1).await;
            let mut first = std::net::TcpStream::connect(&frontend.address).expect("a frontend");
            while frontend.slots.waiting_connections() == 0 {
                tokio::task::yield_now().await;
            }
            first.write_all(get_request_text(n).as_bytes()).expect("a reader");
            frontend.slots.close_one_waiting();
            let mut client = first.try_clone().expect("a socket");
            let response = tokio::task::spawn_blocking(move || {
                client.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a socket");
                let mut head = [0; 12];
                client.read_exact(&mut head).map(|()| head)
            });
            assert_eq!(&response.await.expect("a thread").expect("an answer"), b"HTTP/1.1 200");
        }
    });
}
