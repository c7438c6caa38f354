//! No attempt begins for a client more than 0.1 s after it has disconnected, wherever its request waits.
//! After a stall of the event loop the disconnect is in the socket, but the runtime has notified no task yet,
//! so that the director could begin the attempt that is due next. `docs/design/races.md` lists the places
//! where this can happen and what was found there.

mod emulated;

use emulated::*;
use foxhold::dispatch::{
    AttemptError, AttemptId, AttemptResult, ClientRequest, Clock, Dispatcher, DispatcherMessage,
    DispatcherSender, Endpoint, EndpointCommand, EndpointConnector, Representation, ResponseStatus,
    UpstreamRequest, UpstreamResponse,
};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::frontend::stream::ClientStream;
use foxhold::policy::types::{CacheStatus, RequestId, ServerId};
use foxhold::upstream::host::{BoxFuture, Exchange, HostTransport};
use std::io::{ErrorKind, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

/// No attempt begins later than this after its client has disconnected.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(100);

/// Blocks the event loop for longer than `MAX_NOTICE_DELAY`.
fn stall_event_loop() {
    std::thread::sleep(MAX_NOTICE_DELAY + Duration::from_millis(50));
}

/// A director with a frontend, a cache that the test controls step by step, and a parent and an origin that
/// serve.
struct Site {
    dispatcher: Dispatcher,
    frontend: String,
    cache: BufReader<TcpStream>,
    others: [EmulatedServer; 2],
    /// Attempts that `others` received before the test's own.
    initial_attempts: usize,
    /// The number that the dispatcher gives to the next request.
    next_request_number: u64,
}

impl Site {
    /// Starts the servers and the director and opens the connections to the servers that the test uses, so
    /// that an attempt is written at once.
    async fn start() -> Site {
        let (stepped, address) = SteppedServer::start().await;
        let ([_, parent, origin], mut members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        members[0].address = address.into();
        let dispatcher = start_dispatcher(members);
        let frontend = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
        let mut client = TcpStream::connect(&frontend).await.expect("a frontend");
        client.write_all(get_request_text(0xf).as_bytes()).await.expect("a connected peer");
        let mut cache = stepped.connection().await;
        assert!(read_line(&mut cache).await.contains("000f "));
        cache.write_all(b"000000000000000f EIO - 0\r\n\r\n").await.expect("a connected peer");
        let mut site = Site {
            dispatcher,
            frontend,
            cache,
            others: [parent, origin],
            initial_attempts: 0,
            next_request_number: 2,
        };
        site.wait_until_idle().await;
        site.initial_attempts = site.attempts_at_others();
        assert_eq!(site.initial_attempts, 1, "a request whose client stays connected is retried once");
        site
    }

    fn attempts_at_others(&self) -> usize {
        self.others.iter().map(|s| s.requests().len()).sum()
    }

    /// Sends a request from a new client, waits until the cache has received it, and returns the client's
    /// connection, on which the test may send more bytes.
    async fn send_from_client(&mut self, id: u64) -> std::net::TcpStream {
        let mut client = std::net::TcpStream::connect(&self.frontend).expect("a frontend");
        client.write_all(get_request_text(id).as_bytes()).expect("a connected peer");
        assert!(read_line(&mut self.cache).await.starts_with(&format!("want {id:016x} ")));
        client
    }

    /// Puts an attempt's result into the dispatcher's mailbox without running any task.
    fn end_attempt(&mut self, result: AttemptResult) {
        let attempt_id = AttemptId { request: self.next_request_number, attempt: 0 };
        self.next_request_number += 1;
        assert!(self.dispatcher.sender().try_send(DispatcherMessage::AttemptEnded(attempt_id, result)));
    }

    /// Waits until no request is pending and the servers have received what was written to them.
    async fn wait_until_idle(&self) {
        wait_until_idle(&self.dispatcher).await;
    }

    /// Checks that the cache has received no other request before that of a new client, which stays
    /// connected.
    async fn expect_cache_gets_only(&mut self, id: u64) {
        let client = self.send_from_client(id).await;
        self.cache
            .write_all(format!("{id:016x} ACK - 2\r\nok\r\n").as_bytes())
            .await
            .expect("a connected peer");
        self.wait_until_idle().await;
        drop(client);
    }
}

fn start_dispatcher(members: Vec<Endpoint>) -> Dispatcher {
    start(settings(), Clock::system(), members)
}

async fn wait_until_idle(dispatcher: &Dispatcher) {
    let until = Instant::now() + EVENT_TIMEOUT;
    loop {
        let tables = dispatcher.metrics().await.expect("a dispatcher").tables;
        if tables.pending_requests == 0 {
            break;
        }
        assert!(Instant::now() < until, "requests are still pending: {tables:?}");
        tokio::task::yield_now().await;
    }
    sleep(Duration::from_millis(20)).await;
}

fn hit_result() -> AttemptResult {
    let status = ResponseStatus::Ok(Representation { etag: None, body: "ok".into() });
    Ok(UpstreamResponse { status, cache_status: CacheStatus::Hit, source_wait: 0, load_report: Vec::new() })
}

// ---- during a stall of the event loop ----

/// Covers a failed attempt's result that arrives with the client's disconnect during the stall; the policy
/// would retry.
#[test]
fn no_retry_begins_for_a_client_whose_disconnect_is_unread_in_its_socket() {
    for unread in [0, 1000] {
        run_local(async {
            let mut site = Site::start().await;
            let mut client = site.send_from_client(0xa).await;
            site.end_attempt(Err(AttemptError::NotWritten));
            client.write_all(&vec![b'x'; unread]).expect("a connected peer");
            drop(client);
            stall_event_loop();
            site.wait_until_idle().await;
            assert_eq!(
                site.attempts_at_others(),
                site.initial_attempts,
                "no further attempt expected with {unread} bytes unread"
            );
            let counts = site.dispatcher.metrics().await.expect("a dispatcher").requests["videos"];
            assert_eq!(counts.cancelled_not_run + counts.cancelled_may_have_run, 1, "{counts:?}");
        });
    }
}

/// Covers a request that waits in the dispatcher's mailbox while its client disconnects, with or without
/// unread bytes before the disconnect.
#[test]
fn no_first_attempt_begins_for_a_client_whose_disconnect_is_unread_in_its_socket() {
    for unread in [0, 1000] {
        run_local(async {
            let mut site = Site::start().await;
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("a bound address");
            let mut client = std::net::TcpStream::connect(address).expect("a listener");
            let stream = ClientStream::new(listener.accept().await.expect("a connection").0);
            let request = ClientRequest {
                id: "000000000000000a".into(),
                object: "7f3a9c21e0b4d655".into(),
                size_kb: 50.0,
                timeout: Duration::from_secs(2),
                ..ClientRequest::new(site.dispatcher.class_rules("videos").expect("a class"))
            };
            let _pending = site.dispatcher.submit_for_client(request, stream.client());
            client.write_all(&vec![b'x'; unread]).expect("a connected peer");
            drop(client);
            stall_event_loop();
            site.wait_until_idle().await;
            site.expect_cache_gets_only(0xb).await;
            assert_eq!(
                site.attempts_at_others(),
                site.initial_attempts,
                "no further attempt expected with {unread} bytes unread"
            );
        });
    }
}

/// Covers a client that pipelines two requests and disconnects once the first has its response.
#[test]
fn no_attempt_begins_for_a_pipelined_request_whose_client_has_disconnected() {
    run_local(async {
        let mut site = Site::start().await;
        let mut client = std::net::TcpStream::connect(&site.frontend).expect("a frontend");
        client
            .write_all((get_request_text(0xa) + &get_request_text(0xb)).as_bytes())
            .expect("a connected peer");
        assert!(read_line(&mut site.cache).await.contains("000a "));
        site.end_attempt(hit_result());
        drop(client);
        stall_event_loop();
        site.wait_until_idle().await;
        site.expect_cache_gets_only(0xc).await;
        assert_eq!(site.attempts_at_others(), site.initial_attempts);
    });
}

// ---- while the event loop runs ----

/// Covers a client that disconnects while an attempt is in flight, which fails later.
#[test]
fn no_retry_begins_once_a_client_has_disconnected() {
    run_local(async {
        let mut site = Site::start().await;
        let client = site.send_from_client(0xa).await;
        drop(client);
        sleep(MAX_NOTICE_DELAY).await;
        site.cache.write_all(b"000000000000000a EIO - 0\r\n\r\n").await.expect("a connected peer");
        site.wait_until_idle().await;
        assert_eq!(site.attempts_at_others(), site.initial_attempts);
    });
}

/// Covers a client that has filled the socket's buffers, so that its disconnect can't arrive before they are
/// read.
#[test]
fn no_retry_begins_for_a_client_that_disconnects_with_its_socket_buffers_full() {
    run_local(async {
        let mut site = Site::start().await;
        let mut client = site.send_from_client(0xa).await;
        client.set_nonblocking(true).expect("a socket");
        let mut sent = 0;
        let full = loop {
            match client.write(&[b'x'; 64 * 1024]) {
                Ok(n) => sent += n,
                Err(error) => break error.kind(),
            }
        };
        assert_eq!(full, ErrorKind::WouldBlock);
        assert!(sent > 200_000, "expected buffers of more than 200,000 bytes, {sent} were sent");
        drop(client);
        sleep(MAX_NOTICE_DELAY).await;
        site.cache.write_all(b"000000000000000a EIO - 0\r\n\r\n").await.expect("a connected peer");
        site.wait_until_idle().await;
        assert_eq!(site.attempts_at_others(), site.initial_attempts);
    });
}

/// Covers a server that does not respond, so that a hedged request is due. It is sent for a client that stays
/// connected and not for one that has disconnected.
#[test]
fn no_hedged_request_begins_once_a_client_has_disconnected() {
    run_local(async {
        let (servers, members) = start_cache_parent_origin(ServerBehavior::Silent).await;
        let dispatcher = start_dispatcher(members);
        let frontend = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
        let attempts = || servers.iter().map(|s| s.requests().len()).sum::<usize>();
        let connect = |id| {
            let mut client = std::net::TcpStream::connect(&frontend).expect("a frontend");
            client.write_all(get_request_text(id).as_bytes()).expect("a connected peer");
            client
        };
        let wait_for_attempts = |count| {
            let attempts = &attempts;
            async move {
                let started = Instant::now();
                while attempts() < count {
                    assert!(
                        started.elapsed() < EVENT_TIMEOUT,
                        "{count} attempts expected within {EVENT_TIMEOUT:?}"
                    );
                    sleep(Duration::from_millis(1)).await;
                }
                started.elapsed()
            }
        };
        let staying_client = connect(0xa);
        wait_for_attempts(1).await;
        let hedge_delay = wait_for_attempts(2).await;
        drop(staying_client);
        wait_until_idle(&dispatcher).await;
        for (stalled, id) in [(false, 0xb), (true, 0xc)] {
            let before = attempts();
            let client = connect(id);
            wait_for_attempts(before + 1).await;
            drop(client);
            if stalled {
                // The hedging timer and the client's disconnect become due in the same stall.
                std::thread::sleep(hedge_delay + MAX_NOTICE_DELAY);
            }
            sleep(hedge_delay + 3 * MAX_NOTICE_DELAY).await;
            assert_eq!(
                attempts(),
                before + 1,
                "no hedged request expected, {hedge_delay:?} after the first attempt; stalled: {stalled}"
            );
        }
    });
}

/// Covers a client that disconnects while the connection to the server is still being established.
#[test]
fn nothing_is_sent_on_a_connection_established_after_the_client_has_disconnected() {
    run_local(async {
        let (listener, address) = listener_with_short_queue();
        let waiting = fill_accept_queue(&address).await;
        let dispatcher = start_dispatcher(vec![endpoint_listing("s-cache", &address, "edge", "cache")]);
        let frontend = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
        let mut client = std::net::TcpStream::connect(&frontend).expect("a frontend");
        client.write_all(get_request_text(0xa).as_bytes()).expect("a connected peer");
        while dispatcher.metrics().await.expect("a dispatcher").tables.attempts_in_flight == 0 {
            tokio::task::yield_now().await;
        }
        drop(client);
        sleep(MAX_NOTICE_DELAY).await;
        for _ in &waiting {
            listener.accept().await.expect("a queued connection");
        }
        // The kernel retries the connection after about a second, unless the director has dropped it.
        if let Ok(accepted) = timeout(Duration::from_millis(1500), listener.accept()).await {
            let mut stream = BufReader::new(accepted.expect("the director's connection").0);
            let mut bytes = String::new();
            let read = tokio::io::AsyncBufReadExt::read_line(&mut stream, &mut bytes);
            assert!(
                !matches!(timeout(Duration::from_millis(300), read).await, Ok(Ok(n)) if n > 0),
                "nothing expected on the connection, got {bytes}"
            );
        }
    });
}

// ---- in a host process: middleware and host transport ----

/// Covers a host whose HTTP server does not report the disconnect to the middleware. The request carries a
/// handle with which the director can check the client.
#[cfg(feature = "middleware")]
#[test]
fn the_middleware_begins_no_attempt_for_a_client_that_has_disconnected() {
    use foxhold::dispatch::ClientHandle;
    use foxhold::middleware::DirectorService;
    use tower::ServiceExt;
    run_local(async {
        let mut site = Site::start().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let client = std::net::TcpStream::connect(address).expect("a listener");
        let stream = ClientStream::new(listener.accept().await.expect("a connection").0);
        let request =
            http::Request::get("/videos/7f3a9c21e0b4d655").extension(ClientHandle::new(stream.client()));
        let request = request.body(http_body_util::Empty::<&[u8]>::new()).expect("a request");
        let service = DirectorService::new(site.dispatcher.clone(), Default::default());
        drop(client);
        let response = service.oneshot(request).await.expect("a response, though the client is gone");
        assert!(!response.status().is_success(), "expected a failure, got {}", response.status());
        site.wait_until_idle().await;
        site.expect_cache_gets_only(0xb).await;
        assert_eq!(site.attempts_at_others(), site.initial_attempts);
    });
}

/// A host's transport that counts the attempts that begin.
struct CountingTransport(Arc<AtomicUsize>);

impl Exchange for CountingTransport {
    fn exchange(&self, _: &Endpoint, _: UpstreamRequest) -> BoxFuture<AttemptResult> {
        self.0.fetch_add(1, Ordering::Relaxed);
        Box::pin(std::future::ready(Err(AttemptError::Unanswered)))
    }
}

/// Covers an attempt that is cancelled while it waits for capacity in the dispatcher's mailbox to report its
/// start.
#[test]
fn a_host_transport_does_not_begin_an_attempt_cancelled_while_waiting_for_the_mailbox() {
    run_local(async {
        let started = Arc::new(AtomicUsize::new(0));
        let (reports, mut messages) = mpsc::channel(1);
        let reports = DispatcherSender::new(reports);
        let attempt_id = AttemptId { request: 1, attempt: 0 };
        assert!(reports.try_send(DispatcherMessage::ClientCancelled(RequestId(9))));
        let listing = endpoint_listing("s-1", "", "edge", "cache");
        let commands =
            HostTransport::new(CountingTransport(started.clone())).connect(ServerId(1), &listing, reports);
        let request = upstream_request(attempt_id, "a", "videos", Vec::new(), Instant::now() + EVENT_TIMEOUT);
        let cancellation = request.cancellation.clone();
        commands.try_send(EndpointCommand::Send(request)).expect("capacity");
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        cancellation.cancel();
        let mut ended = None;
        while ended.is_none() {
            match timeout(EVENT_TIMEOUT, messages.recv()).await.expect("a message in time") {
                Some(DispatcherMessage::AttemptEnded(id, result)) => ended = Some((id, result)),
                Some(DispatcherMessage::ClientCancelled(_) | DispatcherMessage::AttemptWritten(_)) => {}
                other => panic!("unexpected message {other:?}"),
            }
        }
        assert_eq!(ended, Some((attempt_id, Err(AttemptError::Cancelled))));
        assert_eq!(started.load(Ordering::Relaxed), 0);
    });
}
