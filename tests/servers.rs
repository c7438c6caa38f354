//! The actor of a server against real connections: how each attempt ends, and on which connection it goes.

mod standin;

use foxhold::config::settings::ConnectionSettings;
use foxhold::dispatch::{
    AttemptError, AttemptId, AttemptResult, DispatcherMessage, DispatcherSender, EndpointCommand,
    EndpointConnector, ResponseStatus,
};
use foxhold::policy::types::ServerId;
use foxhold::upstream::servers::UpstreamConnector;
use standin::{listing, local, transport, Manner, Server};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

struct Peer {
    orders: mpsc::Sender<EndpointCommand>,
    news: mpsc::Receiver<DispatcherMessage>,
    /// Attempts told of as written whole.
    written: usize,
}

impl Peer {
    fn open(address: &str, transport: ConnectionSettings, descriptors: usize) -> Peer {
        Peer::open_by(&mut UpstreamConnector::new(transport, descriptors), address)
    }

    fn open_by(servers: &mut UpstreamConnector, address: &str) -> Peer {
        let (reports, news) = mpsc::channel(64);
        let listing = listing("s-1", address, "edge", "cache");
        let orders = servers.connect(ServerId(1), &listing, DispatcherSender::new(reports));
        Peer { orders, news, written: 0 }
    }

    async fn want(&self, attempt: u32, id: &str, body: Vec<u8>) {
        let until = Instant::now() + Duration::from_secs(20);
        let want = standin::want(AttemptId { request: 1, attempt }, id, "videos", body, until);
        self.orders.send(EndpointCommand::Send(want)).await.expect("an actor");
    }

    async fn end(&mut self) -> (u32, AttemptResult) {
        loop {
            match self.news.recv().await {
                Some(DispatcherMessage::AttemptEnded(ticket, end)) => return (ticket.attempt, end),
                Some(DispatcherMessage::AttemptWritten(_)) => self.written += 1,
                Some(DispatcherMessage::AttemptCancelled(..)) => {}
                other => panic!("{other:?}"),
            }
        }
    }

    async fn broken(&mut self) -> AttemptError {
        self.end().await.1.expect_err("an attempt that broke off")
    }
}

/// Waits until the server has been sent so many requests.
async fn sent(server: &Server, count: usize) {
    while server.wants().len() < count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn an_end_says_how_far_the_attempt_had_come() {
    local(async {
        for (manner, broken) in [
            (Manner::Closes, AttemptError::Unanswered),
            (Manner::BreaksOff, AttemptError::ResponseInterrupted),
        ] {
            let server = Server::start(manner).await;
            let mut peer = Peer::open(&server.address, transport(), 9);
            peer.want(0, "a", Vec::new()).await;
            assert_eq!(peer.broken().await, broken);
        }
        let nobody = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = nobody.local_addr().expect("an address").to_string();
        drop(nobody);
        let mut peer = Peer::open(&address, transport(), 9);
        peer.want(0, "a", Vec::new()).await;
        assert_eq!(peer.broken().await, AttemptError::NotConnected);
    });
}

/// Guards the figures: what was written whole is counted once, be it answered, broken off or given up.
#[test]
fn each_attempt_written_whole_is_told_of_once() {
    local(async {
        let server = Server::start(Manner::Silent).await;
        let mut peer = Peer::open(&server.address, transport(), 9);
        peer.want(0, "a", Vec::new()).await;
        peer.want(1, "b", Vec::new()).await;
        sent(&server, 2).await;
        let ticket = AttemptId { request: 1, attempt: 0 };
        peer.orders.send(EndpointCommand::Cancel(ticket)).await.expect("an actor");
        *server.manner.borrow_mut() = Manner::Closes;
        peer.want(2, "c", Vec::new()).await;
        assert_eq!(
            (peer.broken().await, peer.broken().await),
            (AttemptError::Unanswered, AttemptError::Unanswered)
        );
        assert_eq!(peer.written, 3);
        let nobody =
            TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("an address");
        let mut peer = Peer::open(&nobody.to_string(), transport(), 9);
        peer.want(0, "a", Vec::new()).await;
        assert_eq!((peer.broken().await, peer.written), (AttemptError::NotConnected, 0));
    });
}

#[test]
fn a_request_that_the_server_can_t_have_whole_is_partly_written() {
    local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut peer = Peer::open(&listener.local_addr().expect("an address").to_string(), transport(), 9);
        peer.want(0, "a", vec![0; 64 << 20]).await; // more than the buffers between hold
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.read_exact(&mut [0; 100]).await.expect("its beginning");
        drop(stream);
        assert_eq!(peer.broken().await, AttemptError::PartiallyWritten);
    });
}

#[test]
fn without_a_descriptor_for_it_an_attempt_ends_unsent() {
    local(async {
        let server = Server::start(Manner::Silent).await;
        let mut peer = Peer::open(&server.address, transport(), 0);
        peer.want(0, "a", Vec::new()).await;
        assert_eq!(peer.broken().await, AttemptError::NoDescriptor);
        assert!(server.wants().is_empty());
    });
}

/// The end of a connection is told to the actor after the ends of its attempts; an attempt that was put there
/// in between ended unsent, and counted against the server.
#[test]
fn an_attempt_that_meets_a_connection_whose_end_is_not_told_yet_goes_on_another() {
    local(async {
        let address =
            TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("an address");
        // Room for one report: the connection waits with the second, and its end is not told.
        let (reports, news) = mpsc::channel(1);
        let listing = listing("s-1", &address.to_string(), "edge", "cache");
        let orders = UpstreamConnector::new(transport(), 100).connect(
            ServerId(1),
            &listing,
            DispatcherSender::new(reports),
        );
        let mut peer = Peer { orders, news, written: 0 };
        for (attempt, id) in ["a", "b", "c"].into_iter().enumerate() {
            peer.want(attempt as u32, id, Vec::new()).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        peer.want(3, "d", Vec::new()).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        for _ in 0..4 {
            let (attempt, end) = peer.end().await;
            assert_eq!(end.map(|_| ()), Err(AttemptError::NotConnected), "attempt {attempt}");
        }
    });
}

/// Guards a server that comes late against waiting until connections that nobody uses have ended.
#[test]
fn where_all_places_are_taken_an_idle_connection_makes_room_for_another_server() {
    local(async {
        let copy = Manner::Says("ID ACK res=cached 5\r\nbytes\r\n");
        let (first, second) = (Server::start(copy.clone()).await, Server::start(copy).await);
        let mut servers = UpstreamConnector::new(transport(), 1);
        let mut early = Peer::open_by(&mut servers, &first.address);
        let mut late = Peer::open_by(&mut servers, &second.address);
        early.want(0, "a", Vec::new()).await;
        assert!(early.end().await.1.is_ok());
        late.want(0, "b", Vec::new()).await;
        assert_eq!(late.broken().await, AttemptError::NoDescriptor);
        let begun = Instant::now();
        while first.closed.get() == 0 {
            assert!(begun.elapsed() < Duration::from_secs(2), "it keeps its place");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        late.want(1, "c", Vec::new()).await;
        assert!(late.end().await.1.is_ok());
    });
}

#[test]
fn attempts_share_a_connection_but_for_those_of_one_id_and_those_beyond_its_streams() {
    for (streams, ids, connections) in
        [(100, ["a", "b", "c"], 1), (100, ["a", "a", "b"], 2), (2, ["a", "b", "c"], 2)]
    {
        local(async {
            let server = Server::start(Manner::Silent).await;
            let peer =
                Peer::open(&server.address, ConnectionSettings { max_streams: streams, ..transport() }, 9);
            for (attempt, id) in ids.into_iter().enumerate() {
                peer.want(attempt as u32, id, Vec::new()).await;
            }
            sent(&server, 3).await;
            assert_eq!(server.connections.get(), connections, "{streams} {ids:?}");
        });
    }
}

#[test]
fn an_answer_that_crosses_its_giving_up_is_passed_over_and_the_connection_goes_on() {
    local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut peer = Peer::open(&listener.local_addr().expect("an address").to_string(), transport(), 9);
        peer.want(0, "a", Vec::new()).await;
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut lines = BufReader::new(stream);
        let mut text = String::new();
        lines.read_line(&mut text).await.expect("a request");
        peer.orders
            .send(EndpointCommand::Cancel(AttemptId { request: 1, attempt: 0 }))
            .await
            .expect("an actor");
        peer.want(1, "b", Vec::new()).await;
        while !text.contains("want b ") {
            lines.read_line(&mut text).await.expect("a line");
        }
        assert!(text.contains("never_mind a\r\n"), "{text}");
        let answers = b"a ACK - 4\r\nlate\r\nb ACK - 4\r\ngood\r\n";
        lines.write_all(answers).await.expect("a reader");
        let (attempt, end) = peer.end().await;
        assert_eq!(attempt, 1);
        assert!(matches!(end.expect("a reply").status, ResponseStatus::Ok(copy) if copy.body == "good"));
    });
}

/// Guards against ending every attempt on a connection for the sake of an answer that harms none: a second
/// copy, one under an id that was never asked, one to a probe that is not out.
#[test]
fn answers_beyond_what_was_asked_are_dropped_and_the_connection_goes_on() {
    local(async {
        let surplus = "other ACK - 4\r\nevil\r\np9 READY\r\nID ACK - 4\r\ngood\r\nID ACK - 4\r\nevil\r\n";
        let server = Server::start(Manner::Says(surplus)).await;
        let mut peer = Peer::open(&server.address, transport(), 9);
        for (attempt, id) in ["a", "b", "c"].into_iter().enumerate() {
            peer.want(attempt as u32, id, Vec::new()).await;
            let (ended, end) = peer.end().await;
            assert_eq!(ended, attempt as u32);
            assert!(matches!(end.expect("a reply").status, ResponseStatus::Ok(copy) if copy.body == "good"));
        }
        assert_eq!(server.connections.get(), 1);
    });
}

#[test]
fn a_connection_that_stays_silent_past_a_giving_up_gets_nothing_new() {
    local(async {
        let server = Server::start(Manner::Silent).await;
        let peer = Peer::open(&server.address, transport(), 9);
        peer.want(0, "a", Vec::new()).await;
        sent(&server, 1).await;
        tokio::time::sleep(Duration::from_millis(1100)).await;
        peer.orders
            .send(EndpointCommand::Cancel(AttemptId { request: 1, attempt: 0 }))
            .await
            .expect("an actor");
        while server.lines.borrow().len() < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        peer.want(1, "b", Vec::new()).await;
        sent(&server, 2).await;
        assert_eq!(server.connections.get(), 2);
    });
}

#[test]
fn an_idle_connection_is_closed_before_the_server_would_and_a_new_one_opened_when_needed() {
    local(async {
        let server = Server::start(Manner::Says("ID ACK - 0\r\n\r\n")).await;
        let mut peer = Peer::open(
            &server.address,
            ConnectionSettings { idle_timeout: Duration::from_millis(50), ..transport() },
            9,
        );
        for (attempt, id) in ["a", "b"].into_iter().enumerate() {
            peer.want(attempt as u32, id, Vec::new()).await;
            assert!(peer.end().await.1.is_ok());
            while server.closed.get() <= attempt {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        assert_eq!(server.connections.get(), 2);
    });
}

/// Guards against one answer that can't be read costing all that is under way at a server.
#[test]
fn attempts_are_spread_so_that_a_spoilt_answer_costs_few() {
    local(async {
        let server = Server::start(Manner::Silent).await;
        let mut peer = Peer::open(&server.address, transport(), 9);
        for attempt in 0..12 {
            peer.want(attempt, &format!("a{attempt}"), Vec::new()).await;
        }
        sent(&server, 12).await;
        assert_eq!(server.connections.get(), 3);
        *server.manner.borrow_mut() = Manner::Says("ID ACK - 4\r\nmore than four\r\n");
        peer.want(12, "a12", Vec::new()).await;
        let (attempt, end) = peer.end().await;
        assert_eq!((attempt, end.expect_err("a spoilt answer")), (12, AttemptError::ResponseInterrupted));
    });
}

/// Guards against waiting, up to the deadline, behind an answer cut short on a connection that stays.
#[test]
fn an_answer_that_stops_short_ends_all_that_is_open_on_its_connection() {
    local(async {
        let server = Server::start(Manner::Silent).await;
        let mut peer = Peer::open(&server.address, transport(), 9);
        peer.want(0, "a", Vec::new()).await;
        sent(&server, 1).await;
        *server.manner.borrow_mut() = Manner::Stalls;
        let begun = Instant::now();
        peer.want(1, "b", Vec::new()).await;
        let mut ends = [peer.end().await, peer.end().await].map(|(n, end)| (n, end.expect_err("no answer")));
        ends.sort_by_key(|(n, _)| *n);
        assert_eq!(ends, [(0, AttemptError::Unanswered), (1, AttemptError::ResponseInterrupted)]);
        assert!(begun.elapsed() < Duration::from_millis(600), "{:?}", begun.elapsed());
    });
}

/// Guards against a probe for every large object, whose first byte is often a second away.
#[test]
fn an_answer_awaited_for_most_of_a_second_costs_no_sign_of_life() {
    local(async {
        let server = Server::start(Manner::Silent).await;
        let peer = Peer::open(&server.address, transport(), 9);
        peer.want(0, "a", Vec::new()).await;
        sent(&server, 1).await;
        tokio::time::sleep(Duration::from_millis(800)).await;
        assert_eq!(server.lines.borrow().len(), 1);
    });
}

/// Guards against a connection that stays open and silent, and against taking a slow answer for one.
#[test]
fn a_silent_connection_is_ended_unless_it_gives_a_sign_of_life() {
    local(async {
        let server = Server::start(Manner::Silent).await;
        let mut peer = Peer::open(&server.address, transport(), 9);
        peer.want(0, "a", Vec::new()).await;
        assert_eq!(peer.broken().await, AttemptError::Unanswered);
        let slow = Server::start(Manner::Says("")).await;
        let mut peer = Peer::open(&slow.address, transport(), 9);
        peer.want(0, "a", Vec::new()).await;
        let waited = tokio::time::timeout(Duration::from_millis(3500), peer.end()).await;
        assert!(waited.is_err(), "{waited:?}");
        assert_eq!(slow.wants().len(), 1);
    });
}
