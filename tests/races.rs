//! Bad orders of events on real connections, forced each time: two things are done with nothing run between
//! them, or a stand-in waits for a step. `docs/design/races.md` lists the places and their verdicts.

mod standin;

use foxhold::config::settings::ConnectionSettings;
use foxhold::dispatch::{
    AttemptError, AttemptId, AttemptResult, CancellationToken, Clock, Dispatcher, DispatcherMessage,
    DispatcherSender, EndpointCommand, EndpointConnector, UpstreamRequest,
};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::frontend::serve::{self, ConnectionSlots, ListenerContext, ShutdownPhase};
use foxhold::policy::types::ServerId;
use foxhold::upstream::UpstreamConnector;
use standin::*;
use std::cell::Cell;
use std::io::{Read, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Instant};

/// The actor of one server.
struct Peer {
    orders: mpsc::Sender<EndpointCommand>,
    news: mpsc::Receiver<DispatcherMessage>,
}

impl Peer {
    fn open(address: &str, transport: ConnectionSettings, descriptors: usize) -> Peer {
        let (reports, news) = mpsc::channel(64);
        let listing = listing("s-1", address, "edge", "cache");
        let orders = UpstreamConnector::new(transport, descriptors).connect(
            ServerId(1),
            &listing,
            DispatcherSender::new(reports),
        );
        Peer { orders, news }
    }

    /// Puts an attempt into the mailbox, with nothing run meanwhile.
    fn want(&self, attempt: u32, id: &str, body: Vec<u8>) -> CancellationToken {
        let until = Instant::now() + Duration::from_secs(20);
        let want: UpstreamRequest =
            standin::want(AttemptId { request: 1, attempt }, id, "videos", body, until);
        let over = want.cancellation.clone();
        self.orders.try_send(EndpointCommand::Send(want)).expect("room");
        over
    }

    async fn end(&mut self) -> (u32, AttemptResult) {
        loop {
            match timeout(SOON, self.news.recv()).await.expect("an end in time") {
                Some(DispatcherMessage::AttemptEnded(ticket, end)) => return (ticket.attempt, end),
                Some(DispatcherMessage::AttemptWritten(_) | DispatcherMessage::AttemptCancelled(..)) => {}
                other => panic!("{other:?}"),
            }
        }
    }

    async fn broken(&mut self) -> (u32, AttemptError) {
        let (attempt, end) = self.end().await;
        (attempt, end.expect_err("an attempt that broke off"))
    }

    async fn served(&mut self, attempt: u32) {
        let (ended, end) = self.end().await;
        assert_eq!((ended, end.map(|_| ())), (attempt, Ok(())));
    }
}

/// A platform's front whose end the test decides on.
struct Front {
    address: String,
    close: watch::Sender<ShutdownPhase>,
    places: Rc<ConnectionSlots>,
}

async fn front(core: &Dispatcher, usual: usize) -> Front {
    let (close, closing) = watch::channel(ShutdownPhase::Running);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let places = ConnectionSlots::new(usual, usual + 2);
    let shared = ListenerContext {
        dispatcher: core.clone(),
        slots: places.clone(),
        shutdown: closing,
        requests_in_flight: Rc::new(Cell::new(0)),
    };
    tokio::task::spawn_local(serve::accept(listener, shared, PlatformFrontend(core.clone())));
    Front { address, close, places }
}

// ---- connections to servers ----

/// The server's close has come, the runtime has not looked, and an attempt is put to the connection: it was
/// written, had to count as run, and one of a class that must not run twice failed.
#[test]
fn an_attempt_that_meets_an_idle_connection_closed_just_then_goes_on_another() {
    local(async {
        let (server, address) = Stepped::start().await;
        let mut peer = Peer::open(&address, transport(), 9);
        peer.want(0, "a", Vec::new());
        let mut first = server.connection().await;
        assert!(line(&mut first).await.starts_with("want a "));
        first.write_all(b"a ACK - 0\r\n\r\n").await.expect("a reader");
        peer.served(0).await;
        drop(first);
        peer.want(1, "b", Vec::new());
        let mut second = server.connection().await;
        assert!(line(&mut second).await.starts_with("want b "));
        second.write_all(b"b ACK - 0\r\n\r\n").await.expect("a reader");
        peer.served(1).await;
    });
}

/// The order that calls an attempt off can find a mailbox full, or cross the attempt on its way from a
/// connection that has ended to another: the request's own word counts, last thing before the first byte.
#[test]
fn what_waits_behind_another_is_not_sent_once_its_request_is_over_whatever_became_of_the_order() {
    for ended in [false, true] {
        local(async {
            let (server, address) = Stepped::start().await;
            let mut peer = Peer::open(&address, transport(), 1);
            peer.want(0, "a", vec![0; 64 << 20]);
            let over = peer.want(1, "b", Vec::new());
            let mut first = server.connection().await;
            first.read_exact(&mut [0; 100]).await.expect("its beginning");
            over.cancel(); // and no order to forget it
            if ended {
                drop(first); // handed back to the actor, which would place it on another connection
                assert_eq!(peer.broken().await, (0, AttemptError::PartiallyWritten));
            } else {
                let mut all = vec![0; 1 << 20];
                while first.read(&mut all).await.expect("more") > 0 {
                    if let Ok(DispatcherMessage::AttemptWritten(ticket)) = peer.news.try_recv() {
                        assert_eq!(ticket.attempt, 0);
                        break;
                    }
                }
            }
            assert_eq!(peer.broken().await, (1, AttemptError::Cancelled));
            assert!(!ended || !server.is_asked().await);
        });
    }
}

/// What the system has taken and not sent lies out of reach: requests went out after their
/// clients had left, once a server that had not read began to.
#[test]
fn what_waits_behind_another_is_not_given_to_the_system_before_that_is_sent() {
    local(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let server = Stepped(socket.listen(8).expect("a listener"));
        let address = server.0.local_addr().expect("an address").to_string();
        let mut peer = Peer::open(&address, transport(), 1);
        peer.want(0, "a", vec![b'x'; 300_000]);
        let mut stream = server.connection().await;
        sleep(Duration::from_millis(50)).await; // as much as the system takes
        let over = peer.want(1, "b", Vec::new());
        sleep(Duration::from_millis(50)).await;
        over.cancel();
        assert!(line(&mut stream).await.starts_with("want a "));
        stream.write_all(b"a ACK - 0\r\n\r\n").await.expect("a reader");
        let ends = [peer.end().await, peer.end().await];
        assert!(ends.contains(&(1, Err(AttemptError::Cancelled))), "{ends:?}");
    });
}

/// A connection that comes up late held what others that were up had room for.
#[test]
fn an_attempt_goes_on_a_connection_that_is_up_before_one_that_is_coming_up() {
    local(async {
        let (listener, address) = short_listener();
        let slow = ConnectionSettings { connect_timeout: Duration::from_secs(20), ..transport() };
        let mut peer = Peer::open(&address, slow, 9);
        (0..4).for_each(|n| drop(peer.want(n, &format!("a{n}"), Vec::new())));
        let mut up = BufReader::new(listener.accept().await.expect("a connection").0);
        for n in 0..4 {
            assert!(line(&mut up).await.starts_with(&format!("want a{n} ")));
        }
        let _waiting = fill(&address).await;
        peer.want(4, "late", Vec::new()); // four are the most that one carries before another is opened
        tokio::task::yield_now().await;
        for n in 0..3 {
            up.write_all(format!("a{n} ACK - 0\r\n\r\n").as_bytes()).await.expect("a reader");
            peer.served(n).await;
        }
        // As many are open on the one as on the other.
        peer.want(5, "soon", Vec::new());
        assert!(line(&mut up).await.starts_with("want soon "));
    });
}

/// In the queue for a connection that is coming up: called off by an order, or by the request's word alone,
/// as on sites that allow no calling off.
#[test]
fn a_request_that_is_over_when_its_connection_comes_up_is_not_sent() {
    for order in [true, false] {
        local(async {
            let (listener, address) = short_listener();
            let waiting = fill(&address).await;
            let slow = ConnectionSettings { connect_timeout: Duration::from_secs(20), ..transport() };
            let mut peer = Peer::open(&address, slow, 9);
            let over = peer.want(0, "a", Vec::new());
            tokio::task::yield_now().await; // the connection begins
            over.cancel();
            if order {
                let forget = EndpointCommand::Cancel(AttemptId { request: 1, attempt: 0 });
                peer.orders.try_send(forget).expect("room");
            }
            peer.want(1, "b", Vec::new());
            for _ in waiting.iter() {
                listener.accept().await.expect("one of ours");
            }
            // The system tries again after about a second.
            let accepted = timeout(SOON, listener.accept()).await.expect("a connection in time");
            let mut stream = BufReader::new(accepted.expect("the director's").0);
            assert!(line(&mut stream).await.starts_with("want b "), "order {order}");
            stream.write_all(b"b ACK - 0\r\n\r\n").await.expect("a reader");
            if !order {
                assert_eq!(peer.broken().await, (0, AttemptError::Cancelled));
            }
            peer.served(1).await;
        });
    }
}

// ---- between attempts ----

/// The mailbox is full when the client leaves, so the word of it is lost; then the attempt ends, and the
/// module would send another.
#[test]
fn no_further_attempt_is_sent_for_a_client_whose_leaving_found_no_room_in_the_mailbox() {
    local(async {
        let (server, address) = Stepped::start().await;
        let ([cache, parent, origin], mut members) = trio(Manner::Says("ID ACK - 2\r\nok\r\n")).await;
        members[0].address = address.into();
        let core = start(settings(), Clock::system(), members);
        let ask = foxhold::dispatch::ClientRequest {
            id: core.generate_request_id(),
            object: "7f3a9c21e0b4d655".into(),
            size_kb: 50.0,
            timeout: Duration::from_secs(2),
            ..Default::default()
        };
        let pending = core.submit(ask);
        let mut stream = server.connection().await;
        let want = line(&mut stream).await;
        let id = want.split(' ').nth(1).expect("an id").to_owned();
        let nobody = AttemptId { request: u64::MAX, attempt: 0 };
        while core.sender().try_send(DispatcherMessage::AttemptWritten(nobody)) {}
        drop(pending); // finds no room
        stream.write_all(format!("{id} EIO - 0\r\n\r\n").as_bytes()).await.expect("a reader");
        while core.metrics().await.expect("a core").tables.pending_requests > 0 {
            tokio::task::yield_now().await;
        }
        let sent = cache.wants().len() + parent.wants().len() + origin.wants().len();
        assert_eq!(sent, 0);
        assert_eq!(core.metrics().await.expect("a core").requests["videos"].cancelled_may_have_run, 1);
    });
}

// ---- clients ----

/// A client that sends on and on fills what is read ahead; behind it its leaving was never seen.
#[test]
fn a_client_that_sends_much_and_goes_is_seen_to_have_left() {
    local(async {
        let ([cache, ..], members) = trio(Manner::Silent).await;
        let core = start(settings(), Clock::system(), members);
        let front = front(&core, 100).await;
        let mut client = TcpStream::connect(&front.address).await.expect("a front");
        client.write_all(get(1).as_bytes()).await.expect("a reader");
        while cache.wants().is_empty() {
            tokio::task::yield_now().await;
        }
        client.write_all(&[b'x'; 100_000]).await.expect("a reader");
        let left = Instant::now();
        drop(client);
        while !cache.lines.borrow().iter().any(|l| l.starts_with("never_mind ")) {
            assert!(left.elapsed() < Duration::from_millis(100), "not called off");
            tokio::task::yield_now().await;
        }
    });
}

/// Request and end both lie in the socket before the director has looked: nothing is sent for nobody.
#[test]
fn a_request_whose_client_left_before_it_was_read_is_not_sent() {
    local(async {
        let ([cache, ..], members) = trio(Manner::Says("ID ACK - 2\r\nok\r\n")).await;
        let core = start(settings(), Clock::system(), members);
        let front = front(&core, 100).await;
        let mut client = std::net::TcpStream::connect(&front.address).expect("a front");
        client.write_all(get(1).as_bytes()).expect("a reader");
        drop(client);
        assert_eq!(
            send(&front.address, &get(2).replace("X-Allow", "Connection: close\r\nX-Allow")).await.status,
            200
        );
        assert_eq!(cache.wants().len(), 1, "{:?}", cache.wants());
    });
}

/// The end of the program and a request on an idle connection come in one moment, the request first.
#[test]
fn a_request_that_came_before_the_end_of_the_program_is_answered() {
    local(async {
        let (_servers, members) = trio(Manner::Says("ID ACK - 2\r\nok\r\n")).await;
        let core = start(settings(), Clock::system(), members);
        for n in 0..8 {
            let front = front(&core, 100).await;
            let mut client = TcpStream::connect(&front.address).await.expect("a front");
            client.write_all(get(100 + n).as_bytes()).await.expect("a reader");
            let mut head = [0; 12];
            client.read_exact(&mut head).await.expect("an answer");
            while !matches!(client.try_read(&mut [0; 4096]), Ok(n) if n > 0) {
                client.readable().await.expect("the rest");
            }
            let mut client = client.into_std().expect("a socket");
            client.write_all(get(200 + n).as_bytes()).expect("a reader");
            front.close.send(ShutdownPhase::CloseIdle).expect("connections");
            assert_eq!(read_all(client).await, "HTTP/1.1 200");
        }
    });
}

/// A new connection and its request lie in the listener's queue, untold of, when the program is to end.
#[test]
fn a_connection_that_came_before_the_end_of_the_program_is_taken_and_answered() {
    local(async {
        let (_servers, members) = trio(Manner::Says("ID ACK - 2\r\nok\r\n")).await;
        let core = start(settings(), Clock::system(), members);
        for late in [false, true] {
            let front = front(&core, 100).await;
            tokio::task::yield_now().await; // it listens
            let mut client = std::net::TcpStream::connect(&front.address).expect("a front");
            if !late {
                client.write_all(get(1).as_bytes()).expect("a reader");
            }
            front.close.send(ShutdownPhase::CloseIdle).expect("a listener");
            if late {
                // Its request is on the way.
                sleep(Duration::from_millis(20)).await;
                client.write_all(get(2).as_bytes()).expect("a reader");
            }
            assert_eq!(read_all(client).await, "HTTP/1.1 200", "late {late}");
        }
    });
}

/// Reads to the end, and returns the answer's first words.
async fn read_all(client: std::net::TcpStream) -> String {
    client.set_nonblocking(true).expect("a socket");
    let mut client = TcpStream::from_std(client).expect("a socket");
    let mut bytes = Vec::new();
    let _ = timeout(SOON, client.read_to_end(&mut bytes)).await.expect("an end in time");
    String::from_utf8_lossy(&bytes[..bytes.len().min(12)]).into_owned()
}

/// A front whose two places are taken by connections with a request begun, so that none may make room.
async fn full_front(core: &Dispatcher) -> (Front, Vec<std::net::TcpStream>) {
    let front = front(core, 0).await;
    let connect = |_| std::net::TcpStream::connect(&front.address).expect("a front");
    let mut held: Vec<_> = (0..2).map(connect).collect();
    while front.places.waiting_connections() < 2 {
        tokio::task::yield_now().await;
    }
    for held in &mut held {
        held.write_all(b"GET ").expect("a reader");
    }
    while front.places.waiting_connections() > 0 {
        tokio::task::yield_now().await;
    }
    (front, held)
}

/// What lies in the listener's queue at the end and finds no place was dropped, which resets it.
#[test]
fn a_connection_that_came_before_the_end_of_the_program_and_finds_no_place_is_refused() {
    local(async {
        let (_servers, members) = trio(Manner::Says("ID ACK - 2\r\nok\r\n")).await;
        let core = start(settings(), Clock::system(), members);
        let (front, _held) = full_front(&core).await;
        // With nothing run in between: a connection with a whole request, and the end of the program.
        let mut client = std::net::TcpStream::connect(&front.address).expect("a front");
        client.write_all(get(1).as_bytes()).expect("a reader");
        front.close.send(ShutdownPhase::CloseIdle).expect("a front");
        let text = read_all(client).await;
        assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    });
}

/// A connection beyond all places is accepted before its request has come: the refusal was written at once
/// and the connection closed, so that the request met a close, which resets the refusal with the rest.
#[test]
fn a_request_that_comes_after_its_connection_found_no_place_is_refused_whole() {
    local(async {
        let (servers, members) = trio(Manner::Says("ID ACK - 2\r\nok\r\n")).await;
        let core = start(settings(), Clock::system(), members);
        let (front, _held) = full_front(&core).await;
        for n in 0..8 {
            let mut client = TcpStream::connect(&front.address).await.expect("a front");
            // Accepted and seen to find no place before a byte of the request is written.
            for _ in 0..50 {
                tokio::task::yield_now().await;
            }
            client.write_all(get(n).as_bytes()).await.expect("it is still there");
            let mut head = [0; 12];
            timeout(SOON, client.read_exact(&mut head)).await.expect("in time").expect("an answer");
            assert_eq!(&head, b"HTTP/1.1 503");
            // What it still writes does not reset the rest of the answer.
            client.write_all(&[b'x'; 8192]).await.expect("it is read");
            let mut rest = Vec::new();
            timeout(SOON, client.read_to_end(&mut rest)).await.expect("in time").expect("a whole answer");
            assert!(rest.ends_with(b"\r\n\r\n"));
        }
        assert!(servers[0].wants().is_empty());
    });
}

/// A new connection is told to make room when its whole request has come and is not read.
#[test]
fn a_new_connection_whose_request_has_come_whole_does_not_make_room_unanswered() {
    local(async {
        let (_servers, members) = trio(Manner::Says("ID ACK - 2\r\nok\r\n")).await;
        let core = start(settings(), Clock::system(), members);
        for n in 0..8 {
            let front = front(&core, 1).await;
            let mut first = std::net::TcpStream::connect(&front.address).expect("a front");
            while front.places.waiting_connections() == 0 {
                tokio::task::yield_now().await;
            }
            first.write_all(get(n).as_bytes()).expect("a reader");
            front.places.close_one_waiting();
            let mut client = first.try_clone().expect("a socket");
            let answered = tokio::task::spawn_blocking(move || {
                client.set_read_timeout(Some(SOON)).expect("a socket");
                let mut head = [0; 12];
                client.read_exact(&mut head).map(|()| head)
            });
            assert_eq!(&answered.await.expect("a thread").expect("an answer"), b"HTTP/1.1 200");
        }
    });
}
