//! Races on connections to servers.

use crate::emulated::{self, *};
use foxhold::config::settings::ConnectionSettings;
use foxhold::dispatch::{
    AttemptError, AttemptId, AttemptResult, CancellationToken, DispatcherMessage, DispatcherSender,
    EndpointCommand, EndpointConnector,
};
use foxhold::policy::types::ServerId;
use foxhold::upstream::UpstreamConnector;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpSocket;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

/// The connection actor of one server.
struct ConnectionActor {
    commands: mpsc::Sender<EndpointCommand>,
    reports: mpsc::Receiver<DispatcherMessage>,
}

impl ConnectionActor {
    fn start(address: &str, connections: ConnectionSettings, max_descriptors: usize) -> ConnectionActor {
        let (sender, reports) = mpsc::channel(64);
        let listing = endpoint_listing("s-1", address, "edge", "cache");
        let mut connector = UpstreamConnector::new(connections, max_descriptors);
        let commands = connector.connect(ServerId(1), &listing, DispatcherSender::new(sender));
        ConnectionActor { commands, reports }
    }

    /// Puts an attempt into the mailbox without running other tasks.
    fn send(&self, attempt: u32, id: &str, body: Vec<u8>) -> CancellationToken {
        let deadline = Instant::now() + Duration::from_secs(20);
        let request =
            emulated::upstream_request(AttemptId { request: 1, attempt }, id, "videos", body, deadline);
        let cancellation = request.cancellation.clone();
        self.commands.try_send(EndpointCommand::Send(request)).expect("capacity");
        cancellation
    }

    async fn attempt_end(&mut self) -> (u32, AttemptResult) {
        loop {
            match timeout(EVENT_TIMEOUT, self.reports.recv()).await.expect("an end in time") {
                Some(DispatcherMessage::AttemptEnded(id, result)) => return (id.attempt, result),
                Some(DispatcherMessage::AttemptWritten(_) | DispatcherMessage::AttemptCancelled(..)) => {}
                other => panic!("{other:?}"),
            }
        }
    }

    async fn attempt_error(&mut self) -> (u32, AttemptError) {
        let (attempt, result) = self.attempt_end().await;
        (attempt, result.expect_err("an attempt without a response"))
    }

    async fn expect_served(&mut self, attempt: u32) {
        let (ended, result) = self.attempt_end().await;
        assert_eq!((ended, result.map(|_| ())), (attempt, Ok(())));
    }
}

/// Guards against a regression: the server's close has arrived but the runtime has not noticed, and an
/// attempt is sent on the connection. The attempt was written and had to count as run, so that one of a class
/// that must not run twice failed.
#[test]
fn an_attempt_is_sent_on_another_connection_if_the_idle_one_has_just_closed() {
    run_local(async {
        let (server, address) = SteppedServer::start().await;
        let mut actor = ConnectionActor::start(&address, connection_settings(), 9);
        actor.send(0, "a", Vec::new());
        let mut first = server.connection().await;
        assert!(read_line(&mut first).await.starts_with("want a "));
        first.write_all(b"a ACK - 0\r\n\r\n").await.expect("a reader");
        actor.expect_served(0).await;
        drop(first);
        actor.send(1, "b", Vec::new());
        let mut second = server.connection().await;
        assert!(read_line(&mut second).await.starts_with("want b "));
        second.write_all(b"b ACK - 0\r\n\r\n").await.expect("a reader");
        actor.expect_served(1).await;
    });
}

/// Guards against sending a cancelled attempt whose cancel command is lost: the command can find the mailbox
/// full, or miss an attempt that moves from an ended connection to another. The request's token is checked
/// right before the first byte.
#[test]
fn a_cancelled_attempt_in_a_queue_is_not_sent_even_if_the_cancel_command_is_lost() {
    for ended in [false, true] {
        run_local(async {
            let (server, address) = SteppedServer::start().await;
            let mut actor = ConnectionActor::start(&address, connection_settings(), 1);
            actor.send(0, "a", vec![0; 64 << 20]);
            let cancellation = actor.send(1, "b", Vec::new());
            let mut first = server.connection().await;
            first.read_exact(&mut [0; 100]).await.expect("its beginning");
            cancellation.cancel(); // without a cancel command
            if ended {
                drop(first); // the queued attempt returns to the actor, which would send it elsewhere
                assert_eq!(actor.attempt_error().await, (0, AttemptError::PartiallyWritten));
            } else {
                let mut all = vec![0; 1 << 20];
                while first.read(&mut all).await.expect("more") > 0 {
                    if let Ok(DispatcherMessage::AttemptWritten(attempt_id)) = actor.reports.try_recv() {
                        assert_eq!(attempt_id.attempt, 0);
                        break;
                    }
                }
            }
            assert_eq!(actor.attempt_error().await, (1, AttemptError::Cancelled));
            assert!(!ended || !server.has_connection().await);
        });
    }
}

/// Guards against a regression: bytes in the kernel's send buffer can't be withdrawn, so requests were sent
/// after their clients had disconnected, once a server that had not been reading began to read.
#[test]
fn a_queued_attempt_is_not_written_to_the_socket_before_the_previous_one_is_sent() {
    run_local(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let server = SteppedServer(socket.listen(8).expect("a listener"));
        let address = server.0.local_addr().expect("an address").to_string();
        let mut actor = ConnectionActor::start(&address, connection_settings(), 1);
        actor.send(0, "a", vec![b'x'; 300_000]);
        let mut stream = server.connection().await;
        sleep(Duration::from_millis(50)).await; // fills the kernel's buffers
        let cancellation = actor.send(1, "b", Vec::new());
        sleep(Duration::from_millis(50)).await;
        cancellation.cancel();
        assert!(read_line(&mut stream).await.starts_with("want a "));
        stream.write_all(b"a ACK - 0\r\n\r\n").await.expect("a reader");
        let ends = [actor.attempt_end().await, actor.attempt_end().await];
        assert!(ends.contains(&(1, Err(AttemptError::Cancelled))), "{ends:?}");
    });
}

/// Guards against a regression: attempts for which established connections had capacity were delayed by
/// waiting for a connection that was established late.
#[test]
fn an_attempt_prefers_an_established_connection_to_one_being_established() {
    run_local(async {
        let (listener, address) = listener_with_short_queue();
        let slow = ConnectionSettings { connect_timeout: Duration::from_secs(20), ..connection_settings() };
        let mut actor = ConnectionActor::start(&address, slow, 9);
        (0..4).for_each(|n| drop(actor.send(n, &format!("a{n}"), Vec::new())));
        let mut established = BufReader::new(listener.accept().await.expect("a connection").0);
        for n in 0..4 {
            assert!(read_line(&mut established).await.starts_with(&format!("want a{n} ")));
        }
        let _waiting = fill_accept_queue(&address).await;
        actor.send(4, "late", Vec::new()); // one carries four at most before another is opened
        tokio::task::yield_now().await;
        for n in 0..3 {
            established.write_all(format!("a{n} ACK - 0\r\n\r\n").as_bytes()).await.expect("a reader");
            actor.expect_served(n).await;
        }
        // Both connections now have equally many attempts in flight.
        actor.send(5, "soon", Vec::new());
        assert!(read_line(&mut established).await.starts_with("want soon "));
    });
}

/// Guards against sending a request that was cancelled while it waited for a connection to be established: by
/// a command, or by the request's token alone, as on sites whose servers can't cancel.
#[test]
fn a_request_cancelled_before_its_connection_is_established_is_not_sent() {
    for by_command in [true, false] {
        run_local(async {
            let (listener, address) = listener_with_short_queue();
            let waiting = fill_accept_queue(&address).await;
            let slow =
                ConnectionSettings { connect_timeout: Duration::from_secs(20), ..connection_settings() };
            let mut actor = ConnectionActor::start(&address, slow, 9);
            let cancellation = actor.send(0, "a", Vec::new());
            tokio::task::yield_now().await; // the actor begins to connect
            cancellation.cancel();
            if by_command {
                let cancel = EndpointCommand::Cancel(AttemptId { request: 1, attempt: 0 });
                actor.commands.try_send(cancel).expect("capacity");
            }
            actor.send(1, "b", Vec::new());
            for _ in waiting.iter() {
                listener.accept().await.expect("a connection of the test");
            }
            // The kernel retries the director's connection after about a second.
            let accepted = timeout(EVENT_TIMEOUT, listener.accept()).await.expect("a connection in time");
            let mut stream = BufReader::new(accepted.expect("the director's").0);
            assert!(
                read_line(&mut stream).await.starts_with("want b "),
                "expected only b, cancelled by command: {by_command}"
            );
            stream.write_all(b"b ACK - 0\r\n\r\n").await.expect("a reader");
            if !by_command {
                assert_eq!(actor.attempt_error().await, (0, AttemptError::Cancelled));
            }
            actor.expect_served(1).await;
        });
    }
}
