//! Clients that disconnect: no attempt begins for one more than 0.1 s later, wherever its request waits. In a
//! stall of the event loop the client's disconnect is in the socket and the runtime has notified nobody; the
//! director then goes on with what it had to do next, which it must not begin. `docs/design/races.md` lists
//! the places and their verdicts.

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

/// Nothing of the director runs for longer than the delay.
fn stall() {
    std::thread::sleep(MAX_NOTICE_DELAY + Duration::from_millis(50));
}

/// A director's frontend, a cache that is controlled step by step, and a parent and an origin that serve.
struct Site {
    dispatcher: Dispatcher,
    frontend: String,
    cache: BufReader<TcpStream>,
    others: [EmulatedServer; 2],
    /// Attempts that the others got before the test's own.
    before: usize,
    /// The dispatcher's number of the next request.
    next_number: u64,
}

impl Site {
    /// With connections to all servers that the test may use: an attempt is written at once.
    async fn start() -> Site {
        let (stepped, address) = SteppedServer::start().await;
        let ([_, parent, origin], mut members) =
            start_cache_parent_origin(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        members[0].address = address.into();
        let dispatcher = start_dispatcher(members);
        let frontend = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
        let mut client = TcpStream::connect(&frontend).await.expect("a frontend");
        client.write_all(get(0xf).as_bytes()).await.expect("a reader");
        let mut cache = stepped.connection().await;
        assert!(line(&mut cache).await.contains("000f "));
        cache.write_all(b"000000000000000f EIO - 0\r\n\r\n").await.expect("a reader");
        let mut site =
            Site { dispatcher, frontend, cache, others: [parent, origin], before: 0, next_number: 2 };
        site.wait_until_idle().await;
        site.before = site.attempts_at_others();
        assert_eq!(site.before, 1, "the retry of a request whose client stays");
        site
    }

    fn attempts_at_others(&self) -> usize {
        self.others.iter().map(|s| s.requests().len()).sum()
    }

    /// A client whose request the cache has got; other bytes may follow it.
    async fn client(&mut self, id: u64) -> std::net::TcpStream {
        let mut client = std::net::TcpStream::connect(&self.frontend).expect("a frontend");
        client.write_all(get(id).as_bytes()).expect("a reader");
        assert!(line(&mut self.cache).await.starts_with(&format!("want {id:016x} ")));
        client
    }

    /// Puts an attempt's end into the dispatcher's mailbox, with nothing run.
    fn end_attempt(&mut self, end: AttemptResult) {
        let attempt_id = AttemptId { request: self.next_number, attempt: 0 };
        self.next_number += 1;
        assert!(self.dispatcher.sender().try_send(DispatcherMessage::AttemptEnded(attempt_id, end)));
    }

    /// Waits until no request is pending, and what was written to servers has arrived there.
    async fn wait_until_idle(&self) {
        wait_until_idle(&self.dispatcher).await;
    }

    /// Checks that the cache gets nothing but the request of a client that stays.
    async fn expect_cache_gets_only(&mut self, id: u64) {
        let stays = self.client(id).await;
        self.cache.write_all(format!("{id:016x} ACK - 2\r\nok\r\n").as_bytes()).await.expect("a reader");
        self.wait_until_idle().await;
        drop(stays);
    }
}

fn start_dispatcher(members: Vec<Endpoint>) -> Dispatcher {
    start(settings(), Clock::system(), members)
}

async fn wait_until_idle(dispatcher: &Dispatcher) {
    let until = Instant::now() + SOON;
    loop {
        let tables = dispatcher.metrics().await.expect("a dispatcher").tables;
        if tables.pending_requests == 0 {
            break;
        }
        assert!(Instant::now() < until, "{tables:?}");
        tokio::task::yield_now().await;
    }
    sleep(Duration::from_millis(20)).await;
}

fn served() -> AttemptResult {
    let status = ResponseStatus::Ok(Representation { etag: None, body: "ok".into() });
    Ok(UpstreamResponse { status, cache_status: CacheStatus::Hit, source_wait: 0, load_report: Vec::new() })
}

// ---- during a stall of the event loop ----

/// An attempt's end and the client's disconnect have arrived; the policy would retry.
#[test]
fn no_retry_begins_for_a_client_whose_disconnect_is_unread_in_its_socket() {
    for unread in [0, 1000] {
        run_local(async {
            let mut site = Site::start().await;
            let mut client = site.client(0xa).await;
            site.end_attempt(Err(AttemptError::NotWritten));
            client.write_all(&vec![b'x'; unread]).expect("a reader");
            drop(client);
            stall();
            site.wait_until_idle().await;
            assert_eq!(site.attempts_at_others(), site.before, "{unread} bytes unread");
            let counts = site.dispatcher.metrics().await.expect("a dispatcher").requests["videos"];
            assert_eq!(counts.cancelled_not_run + counts.cancelled_may_have_run, 1, "{counts:?}");
        });
    }
}

/// A request waits in the dispatcher's mailbox; its client has disconnected behind bytes that nobody has
/// read.
#[test]
fn no_first_attempt_begins_for_a_client_whose_disconnect_is_unread_in_its_socket() {
    for unread in [0, 1000] {
        run_local(async {
            let mut site = Site::start().await;
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let mut client = std::net::TcpStream::connect(address).expect("a listener");
            let stream = ClientStream::new(listener.accept().await.expect("a connection").0);
            let request = ClientRequest {
                id: "000000000000000a".into(),
                object: "7f3a9c21e0b4d655".into(),
                size_kb: 50.0,
                timeout: Duration::from_secs(2),
                ..Default::default()
            };
            let _pending = site.dispatcher.submit_for_client(request, stream.client());
            client.write_all(&vec![b'x'; unread]).expect("a reader");
            drop(client);
            stall();
            site.wait_until_idle().await;
            site.expect_cache_gets_only(0xb).await;
            assert_eq!(site.attempts_at_others(), site.before, "{unread} bytes unread");
        });
    }
}

/// Two requests are on one connection. The first has its response, and the client has disconnected.
#[test]
fn no_attempt_begins_for_a_pipelined_request_whose_client_has_disconnected() {
    run_local(async {
        let mut site = Site::start().await;
        let mut client = std::net::TcpStream::connect(&site.frontend).expect("a frontend");
        client.write_all((get(0xa) + &get(0xb)).as_bytes()).expect("a reader");
        assert!(line(&mut site.cache).await.contains("000a "));
        site.end_attempt(served());
        drop(client);
        stall();
        site.wait_until_idle().await;
        site.expect_cache_gets_only(0xc).await;
        assert_eq!(site.attempts_at_others(), site.before);
    });
}

// ---- while the event loop runs ----

/// The client disconnects while an attempt is in flight; that attempt's end comes later.
#[test]
fn no_retry_begins_once_a_client_has_disconnected() {
    run_local(async {
        let mut site = Site::start().await;
        let client = site.client(0xa).await;
        drop(client);
        sleep(MAX_NOTICE_DELAY).await;
        site.cache.write_all(b"000000000000000a EIO - 0\r\n\r\n").await.expect("a reader");
        site.wait_until_idle().await;
        assert_eq!(site.attempts_at_others(), site.before);
    });
}

/// The client has sent more than any buffer takes, so that its disconnect can't arrive before that is read.
#[test]
fn no_retry_begins_for_a_client_that_disconnects_behind_more_than_its_socket_takes() {
    run_local(async {
        let mut site = Site::start().await;
        let mut client = site.client(0xa).await;
        client.set_nonblocking(true).expect("a socket");
        let mut sent = 0;
        let full = loop {
            match client.write(&[b'x'; 64 * 1024]) {
                Ok(n) => sent += n,
                Err(error) => break error.kind(),
            }
        };
        assert_eq!(full, ErrorKind::WouldBlock);
        assert!(sent > 200_000, "{sent}");
        drop(client);
        sleep(MAX_NOTICE_DELAY).await;
        site.cache.write_all(b"000000000000000a EIO - 0\r\n\r\n").await.expect("a reader");
        site.wait_until_idle().await;
        assert_eq!(site.attempts_at_others(), site.before);
    });
}

/// A server does not respond; the hedged request, which is sent for a client that stays, is not sent for one
/// that disconnected.
#[test]
fn no_hedged_request_begins_once_a_client_has_disconnected() {
    run_local(async {
        let (servers, members) = start_cache_parent_origin(ServerBehavior::Silent).await;
        let dispatcher = start_dispatcher(members);
        let frontend = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
        let had = || servers.iter().map(|s| s.requests().len()).sum::<usize>();
        let connect = |id| {
            let mut client = std::net::TcpStream::connect(&frontend).expect("a frontend");
            client.write_all(get(id).as_bytes()).expect("a reader");
            client
        };
        let reach = |count| {
            let had = &had;
            async move {
                let started = Instant::now();
                while had() < count {
                    assert!(started.elapsed() < SOON, "no attempt");
                    sleep(Duration::from_millis(1)).await;
                }
                started.elapsed()
            }
        };
        let stays = connect(0xa);
        reach(1).await;
        let hedge_delay = reach(2).await;
        drop(stays);
        wait_until_idle(&dispatcher).await;
        for (stalled, id) in [(false, 0xb), (true, 0xc)] {
            let before = had();
            let leaves = connect(id);
            reach(before + 1).await;
            drop(leaves);
            if stalled {
                // The timer and the client's disconnect come together.
                std::thread::sleep(hedge_delay + MAX_NOTICE_DELAY);
            }
            sleep(hedge_delay + 3 * MAX_NOTICE_DELAY).await;
            assert_eq!(
                had(),
                before + 1,
                "a hedged request, due {hedge_delay:?} after the first; stalled {stalled}"
            );
        }
    });
}

/// The connection to the server is still being established when the client disconnects.
#[test]
fn nothing_is_sent_on_a_connection_established_once_the_client_has_disconnected() {
    run_local(async {
        let (listener, address) = listener_with_short_queue();
        let waiting = fill_accept_queue(&address).await;
        let dispatcher = start_dispatcher(vec![listing("s-cache", &address, "edge", "cache")]);
        let frontend = serve(&dispatcher, PlatformFrontend(dispatcher.clone())).await;
        let mut client = std::net::TcpStream::connect(&frontend).expect("a frontend");
        client.write_all(get(0xa).as_bytes()).expect("a reader");
        while dispatcher.metrics().await.expect("a dispatcher").tables.attempts_in_flight == 0 {
            tokio::task::yield_now().await;
        }
        drop(client);
        sleep(MAX_NOTICE_DELAY).await;
        for _ in &waiting {
            listener.accept().await.expect("one of ours");
        }
        // The kernel retries after about a second, if the director has not dropped the connection.
        if let Ok(accepted) = timeout(Duration::from_millis(1500), listener.accept()).await {
            let mut stream = BufReader::new(accepted.expect("the director's").0);
            let mut bytes = String::new();
            let read = tokio::io::AsyncBufReadExt::read_line(&mut stream, &mut bytes);
            assert!(
                !matches!(timeout(Duration::from_millis(300), read).await, Ok(Ok(n)) if n > 0),
                "{bytes}"
            );
        }
    });
}

// ---- hosts ----

/// The host's server has not notified the middleware; it has left a handle by which the client can be looked
/// at.
#[cfg(feature = "middleware")]
#[test]
fn no_attempt_begins_by_the_middleware_for_a_client_that_has_visibly_disconnected() {
    use foxhold::dispatch::ClientHandle;
    use foxhold::middleware::DirectorService;
    use tower::ServiceExt;
    run_local(async {
        let mut site = Site::start().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let client = std::net::TcpStream::connect(address).expect("a listener");
        let stream = ClientStream::new(listener.accept().await.expect("a connection").0);
        let request =
            http::Request::get("/videos/7f3a9c21e0b4d655").extension(ClientHandle::new(stream.client()));
        let request = request.body(http_body_util::Empty::<&[u8]>::new()).expect("a request");
        let service = DirectorService::new(site.dispatcher.clone(), Default::default());
        drop(client);
        let response = service.oneshot(request).await.expect("an answer to nobody");
        assert!(!response.status().is_success());
        site.wait_until_idle().await;
        site.expect_cache_gets_only(0xb).await;
        assert_eq!(site.attempts_at_others(), site.before);
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

/// An attempt waits for capacity in the dispatcher's mailbox, to report that it begins.
#[test]
fn a_host_transport_begins_no_attempt_cancelled_while_it_waited_for_the_mailbox() {
    run_local(async {
        let started = Arc::new(AtomicUsize::new(0));
        let (reports, mut messages) = mpsc::channel(1);
        let reports = DispatcherSender::new(reports);
        let attempt_id = AttemptId { request: 1, attempt: 0 };
        assert!(reports.try_send(DispatcherMessage::ClientCancelled(RequestId(9))));
        let listing = listing("s-1", "", "edge", "cache");
        let commands =
            HostTransport::new(CountingTransport(started.clone())).connect(ServerId(1), &listing, reports);
        let request = want(attempt_id, "a", "videos", Vec::new(), Instant::now() + SOON);
        let cancellation = request.cancellation.clone();
        commands.try_send(EndpointCommand::Send(request)).expect("capacity");
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        cancellation.cancel();
        let mut ended = None;
        while ended.is_none() {
            match timeout(SOON, messages.recv()).await.expect("in time") {
                Some(DispatcherMessage::AttemptEnded(of, end)) => ended = Some((of, end)),
                Some(DispatcherMessage::ClientCancelled(_) | DispatcherMessage::AttemptWritten(_)) => {}
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(ended, Some((attempt_id, Err(AttemptError::Cancelled))));
        assert_eq!(started.load(Ordering::Relaxed), 0);
    });
}
