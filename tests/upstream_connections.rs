//! The upstream connections of an endpoint over real sockets: how each attempt ends, and which connection
//! carries it.

mod emulated;

use emulated::{connection_settings, endpoint_listing, run_local, EmulatedServer, ServerBehavior};
use foxhold::config::settings::ConnectionSettings;
use foxhold::dispatch::{
    AttemptError, AttemptId, AttemptResult, DispatcherMessage, DispatcherSender, EndpointCommand,
    EndpointConnector, ResponseStatus,
};
use foxhold::policy::types::ServerId;
use foxhold::upstream::UpstreamConnector;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// An endpoint's actor, and the messages that it sends to the dispatcher.
struct EndpointActor {
    commands: mpsc::Sender<EndpointCommand>,
    messages: mpsc::Receiver<DispatcherMessage>,
    /// How many attempts were reported as written completely.
    written: usize,
}

impl EndpointActor {
    fn open(address: &str, settings: ConnectionSettings, descriptors: usize) -> EndpointActor {
        EndpointActor::open_with(&mut UpstreamConnector::new(settings, descriptors), address)
    }

    fn open_with(connector: &mut UpstreamConnector, address: &str) -> EndpointActor {
        let (dispatcher, messages) = mpsc::channel(64);
        let endpoint = endpoint_listing("s-1", address, "edge", "cache");
        let commands = connector.connect(ServerId(1), &endpoint, DispatcherSender::new(dispatcher));
        EndpointActor { commands, messages, written: 0 }
    }

    async fn send(&self, attempt: u32, id: &str, body: Vec<u8>) {
        let deadline = Instant::now() + Duration::from_secs(20);
        let request =
            emulated::upstream_request(AttemptId { request: 1, attempt }, id, "videos", body, deadline);
        self.commands.send(EndpointCommand::Send(request)).await.expect("a running actor");
    }

    /// Returns the next attempt's number and result.
    async fn next_result(&mut self) -> (u32, AttemptResult) {
        loop {
            match self.messages.recv().await {
                Some(DispatcherMessage::AttemptEnded(id, result)) => return (id.attempt, result),
                Some(DispatcherMessage::AttemptWritten(_)) => self.written += 1,
                Some(DispatcherMessage::AttemptCancelled(..)) => {}
                other => panic!("unexpected message {other:?}"),
            }
        }
    }

    /// Returns the error of the next attempt that ends, which must fail.
    async fn next_error(&mut self) -> AttemptError {
        self.next_result().await.1.expect_err("a failed attempt")
    }
}

/// Waits until the server has received this many requests.
async fn wait_for_requests(server: &EmulatedServer, count: usize) {
    while server.requests().len() < count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn the_error_of_an_attempt_states_how_far_it_had_progressed() {
    run_local(async {
        for (behavior, error) in [
            (ServerBehavior::ClosesConnection, AttemptError::Unanswered),
            (ServerBehavior::BreaksOffResponse, AttemptError::ResponseInterrupted),
        ] {
            let server = EmulatedServer::start(behavior).await;
            let mut actor = EndpointActor::open(&server.address, connection_settings(), 9);
            actor.send(0, "a", Vec::new()).await;
            assert_eq!(actor.next_error().await, error);
        }
        let unused = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = unused.local_addr().expect("a bound address").to_string();
        drop(unused);
        let mut actor = EndpointActor::open(&address, connection_settings(), 9);
        actor.send(0, "a", Vec::new()).await;
        assert_eq!(actor.next_error().await, AttemptError::NotConnected);
    });
}

/// Guards against wrong metrics: a completely written request counts once, whether it is answered,
/// interrupted or cancelled.
#[test]
fn each_completely_written_attempt_is_reported_once() {
    run_local(async {
        let server = EmulatedServer::start(ServerBehavior::Silent).await;
        let mut actor = EndpointActor::open(&server.address, connection_settings(), 9);
        actor.send(0, "a", Vec::new()).await;
        actor.send(1, "b", Vec::new()).await;
        wait_for_requests(&server, 2).await;
        let id = AttemptId { request: 1, attempt: 0 };
        actor.commands.send(EndpointCommand::Cancel(id)).await.expect("a running actor");
        *server.behavior.borrow_mut() = ServerBehavior::ClosesConnection;
        actor.send(2, "c", Vec::new()).await;
        assert_eq!(
            (actor.next_error().await, actor.next_error().await),
            (AttemptError::Unanswered, AttemptError::Unanswered)
        );
        assert_eq!(actor.written, 3);
        let unused = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a free port")
            .local_addr()
            .expect("a bound address");
        let mut actor = EndpointActor::open(&unused.to_string(), connection_settings(), 9);
        actor.send(0, "a", Vec::new()).await;
        assert_eq!((actor.next_error().await, actor.written), (AttemptError::NotConnected, 0));
    });
}

#[test]
fn a_request_whose_connection_closes_during_the_write_ends_as_partially_written() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let mut actor = EndpointActor::open(
            &listener.local_addr().expect("a bound address").to_string(),
            connection_settings(),
            9,
        );
        actor.send(0, "a", vec![0; 64 << 20]).await; // more than the socket buffers hold
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.read_exact(&mut [0; 100]).await.expect("the beginning of the request");
        drop(stream);
        assert_eq!(actor.next_error().await, AttemptError::PartiallyWritten);
    });
}

#[test]
fn an_attempt_without_a_free_descriptor_ends_unsent() {
    run_local(async {
        let server = EmulatedServer::start(ServerBehavior::Silent).await;
        let mut actor = EndpointActor::open(&server.address, connection_settings(), 0);
        actor.send(0, "a", Vec::new()).await;
        assert_eq!(actor.next_error().await, AttemptError::NoDescriptor);
        assert!(server.requests().is_empty());
    });
}

/// Guards against placing an attempt on a connection that has ended but whose end is not reported yet, as it
/// comes after the results of its attempts: such an attempt ended unsent, and counted against the server.
#[test]
fn no_attempt_is_placed_on_a_connection_that_has_ended_but_is_not_reported_yet() {
    run_local(async {
        let address = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a free port")
            .local_addr()
            .expect("a bound address");
        // Capacity for one message: the connection waits to send the second, and its end is not reported.
        let (dispatcher, messages) = mpsc::channel(1);
        let endpoint = endpoint_listing("s-1", &address.to_string(), "edge", "cache");
        let commands = UpstreamConnector::new(connection_settings(), 100).connect(
            ServerId(1),
            &endpoint,
            DispatcherSender::new(dispatcher),
        );
        let mut actor = EndpointActor { commands, messages, written: 0 };
        for (attempt, id) in ["a", "b", "c"].into_iter().enumerate() {
            actor.send(attempt as u32, id, Vec::new()).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        actor.send(3, "d", Vec::new()).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        for _ in 0..4 {
            let (attempt, end) = actor.next_result().await;
            assert_eq!(end.map(|_| ()), Err(AttemptError::NotConnected), "attempt {attempt}");
        }
    });
}

/// Guards against a server added later having to wait for the idle timeout of connections to others.
#[test]
fn an_idle_connection_closes_if_another_endpoint_needs_its_descriptor() {
    run_local(async {
        let copy = ServerBehavior::Responds("ID ACK res=cached 5\r\nbytes\r\n");
        let (first, second) = (EmulatedServer::start(copy.clone()).await, EmulatedServer::start(copy).await);
        let mut connector = UpstreamConnector::new(connection_settings(), 1);
        let mut early = EndpointActor::open_with(&mut connector, &first.address);
        let mut late = EndpointActor::open_with(&mut connector, &second.address);
        early.send(0, "a", Vec::new()).await;
        assert!(early.next_result().await.1.is_ok());
        late.send(0, "b", Vec::new()).await;
        assert_eq!(late.next_error().await, AttemptError::NoDescriptor);
        let started_at = Instant::now();
        while first.closed.get() == 0 {
            assert!(
                started_at.elapsed() < Duration::from_secs(2),
                "the idle connection keeps its descriptor"
            );
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        late.send(1, "c", Vec::new()).await;
        assert!(late.next_result().await.1.is_ok());
    });
}

#[test]
fn attempts_share_a_connection_up_to_max_streams_unless_they_have_the_same_request_id() {
    for (streams, ids, connections) in
        [(100, ["a", "b", "c"], 1), (100, ["a", "a", "b"], 2), (2, ["a", "b", "c"], 2)]
    {
        run_local(async {
            let server = EmulatedServer::start(ServerBehavior::Silent).await;
            let actor = EndpointActor::open(
                &server.address,
                ConnectionSettings { max_streams: streams, ..connection_settings() },
                9,
            );
            for (attempt, id) in ids.into_iter().enumerate() {
                actor.send(attempt as u32, id, Vec::new()).await;
            }
            wait_for_requests(&server, 3).await;
            assert_eq!(
                server.connections.get(),
                connections,
                "connections for {ids:?} with max_streams {streams}"
            );
        });
    }
}

#[test]
fn a_response_that_crosses_its_cancellation_is_ignored_and_the_connection_stays_open() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let mut actor = EndpointActor::open(
            &listener.local_addr().expect("a bound address").to_string(),
            connection_settings(),
            9,
        );
        actor.send(0, "a", Vec::new()).await;
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut lines = BufReader::new(stream);
        let mut text = String::new();
        lines.read_line(&mut text).await.expect("a request");
        actor
            .commands
            .send(EndpointCommand::Cancel(AttemptId { request: 1, attempt: 0 }))
            .await
            .expect("a running actor");
        actor.send(1, "b", Vec::new()).await;
        while !text.contains("want b ") {
            lines.read_line(&mut text).await.expect("a line");
        }
        assert!(text.contains("never_mind a\r\n"), "{text}");
        let responses = b"a ACK - 4\r\nlate\r\nb ACK - 4\r\ngood\r\n";
        lines.write_all(responses).await.expect("a connected peer");
        let (attempt, end) = actor.next_result().await;
        assert_eq!(attempt, 1);
        assert!(matches!(end.expect("a response").status, ResponseStatus::Ok(copy) if copy.body == "good"));
    });
}

/// Guards against ending every attempt on a connection because of a harmless response: a duplicate, a
/// response with an id that was never sent, or one to a health check that is not in flight.
#[test]
fn unrequested_responses_are_ignored_and_the_connection_stays_open() {
    run_local(async {
        let responses = "other ACK - 4\r\nevil\r\np9 READY\r\nID ACK - 4\r\ngood\r\nID ACK - 4\r\nevil\r\n";
        let server = EmulatedServer::start(ServerBehavior::Responds(responses)).await;
        let mut actor = EndpointActor::open(&server.address, connection_settings(), 9);
        for (attempt, id) in ["a", "b", "c"].into_iter().enumerate() {
            actor.send(attempt as u32, id, Vec::new()).await;
            let (ended, end) = actor.next_result().await;
            assert_eq!(ended, attempt as u32);
            assert!(
                matches!(end.expect("a response").status, ResponseStatus::Ok(copy) if copy.body == "good")
            );
        }
        assert_eq!(server.connections.get(), 1);
    });
}

#[test]
fn a_connection_that_stays_silent_until_a_cancellation_gets_no_new_attempts() {
    run_local(async {
        let server = EmulatedServer::start(ServerBehavior::Silent).await;
        let actor = EndpointActor::open(&server.address, connection_settings(), 9);
        actor.send(0, "a", Vec::new()).await;
        wait_for_requests(&server, 1).await;
        tokio::time::sleep(Duration::from_millis(1100)).await;
        actor
            .commands
            .send(EndpointCommand::Cancel(AttemptId { request: 1, attempt: 0 }))
            .await
            .expect("a running actor");
        while server.lines.borrow().len() < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        actor.send(1, "b", Vec::new()).await;
        wait_for_requests(&server, 2).await;
        assert_eq!(server.connections.get(), 2);
    });
}

#[test]
fn an_idle_connection_closes_before_the_server_closes_it_and_a_new_one_opens_on_demand() {
    run_local(async {
        let server = EmulatedServer::start(ServerBehavior::Responds("ID ACK - 0\r\n\r\n")).await;
        let mut actor = EndpointActor::open(
            &server.address,
            ConnectionSettings { idle_timeout: Duration::from_millis(50), ..connection_settings() },
            9,
        );
        for (attempt, id) in ["a", "b"].into_iter().enumerate() {
            actor.send(attempt as u32, id, Vec::new()).await;
            assert!(actor.next_result().await.1.is_ok());
            while server.closed.get() <= attempt {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        assert_eq!(server.connections.get(), 2);
    });
}

/// Guards against one invalid response ending all attempts in flight at a server.
#[test]
fn attempts_are_spread_over_connections_so_that_an_invalid_response_ends_few() {
    run_local(async {
        let server = EmulatedServer::start(ServerBehavior::Silent).await;
        let mut actor = EndpointActor::open(&server.address, connection_settings(), 9);
        for attempt in 0..12 {
            actor.send(attempt, &format!("a{attempt}"), Vec::new()).await;
        }
        wait_for_requests(&server, 12).await;
        assert_eq!(server.connections.get(), 3);
        *server.behavior.borrow_mut() = ServerBehavior::Responds("ID ACK - 4\r\nmore than four\r\n");
        actor.send(12, "a12", Vec::new()).await;
        let (attempt, end) = actor.next_result().await;
        assert_eq!((attempt, end.expect_err("an invalid response")), (12, AttemptError::ResponseInterrupted));
    });
}

/// Guards against attempts that wait until their deadline behind a truncated response on a connection that
/// stays open.
#[test]
fn a_truncated_response_ends_all_attempts_on_its_connection() {
    run_local(async {
        let server = EmulatedServer::start(ServerBehavior::Silent).await;
        let mut actor = EndpointActor::open(&server.address, connection_settings(), 9);
        actor.send(0, "a", Vec::new()).await;
        wait_for_requests(&server, 1).await;
        *server.behavior.borrow_mut() = ServerBehavior::StallsResponse;
        let started_at = Instant::now();
        actor.send(1, "b", Vec::new()).await;
        let mut ends = [actor.next_result().await, actor.next_result().await]
            .map(|(n, end)| (n, end.expect_err("a failed attempt")));
        ends.sort_by_key(|(n, _)| *n);
        assert_eq!(ends, [(0, AttemptError::Unanswered), (1, AttemptError::ResponseInterrupted)]);
        assert!(started_at.elapsed() < Duration::from_millis(600), "took {:?}", started_at.elapsed());
    });
}

/// Guards against a liveness check for every large object, as its first byte often takes a second.
#[test]
fn no_liveness_check_is_sent_within_800_ms_of_a_request() {
    run_local(async {
        let server = EmulatedServer::start(ServerBehavior::Silent).await;
        let actor = EndpointActor::open(&server.address, connection_settings(), 9);
        actor.send(0, "a", Vec::new()).await;
        wait_for_requests(&server, 1).await;
        tokio::time::sleep(Duration::from_millis(800)).await;
        assert_eq!(server.lines.borrow().len(), 1);
    });
}

/// Guards against keeping a connection that is open but no longer answers, and against closing one because a
/// response is slow.
#[test]
fn a_silent_connection_is_closed_unless_it_answers_a_liveness_check() {
    run_local(async {
        let server = EmulatedServer::start(ServerBehavior::Silent).await;
        let mut actor = EndpointActor::open(&server.address, connection_settings(), 9);
        actor.send(0, "a", Vec::new()).await;
        assert_eq!(actor.next_error().await, AttemptError::Unanswered);
        let slow = EmulatedServer::start(ServerBehavior::Responds("")).await;
        let mut actor = EndpointActor::open(&slow.address, connection_settings(), 9);
        actor.send(0, "a", Vec::new()).await;
        let waited = tokio::time::timeout(Duration::from_millis(3500), actor.next_result()).await;
        assert!(waited.is_err(), "the attempt must not end, got {waited:?}");
        assert_eq!(slow.requests().len(), 1);
    });
}
