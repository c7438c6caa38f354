//! A client that has left: no attempt begins for it more than 0.1 s later, wherever its request waits. In a
//! stall of the loop the client's end lies in the socket and the runtime has told nobody; the director is
//! then run from what it had to do next, which it must not begin. `docs/design/races.md` lists the places and
//! their verdicts.

mod standin;

use foxhold::dispatch::{
    AttemptError, AttemptId, AttemptResult, ClientRequest, Clock, Dispatcher, DispatcherMessage,
    DispatcherSender, Endpoint, EndpointCommand, EndpointConnector, Representation, ResponseStatus,
    UpstreamRequest, UpstreamResponse,
};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::frontend::stream::ClientStream;
use foxhold::policy::types::{CacheStatus, RequestId, ServerId};
use foxhold::upstream::host::{BoxFuture, Exchange, HostTransport};
use standin::*;
use std::io::{ErrorKind, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

/// No attempt begins later than this after its client has left.
const TERM: Duration = Duration::from_millis(100);

/// Nothing of the director runs for longer than the term.
fn stall() {
    std::thread::sleep(TERM + Duration::from_millis(50));
}

/// A director's front before a cache that is taken step by step, and a parent and an origin that serve.
struct Site {
    core: Dispatcher,
    front: String,
    cache: BufReader<TcpStream>,
    others: [Server; 2],
    /// Requests that the others had before the test's own.
    before: usize,
    /// The core's number of the next request.
    next: u64,
}

impl Site {
    /// With connections to all that the test's requests may go to: an attempt is written at once.
    async fn start() -> Site {
        let (stepped, address) = Stepped::start().await;
        let ([_, parent, origin], mut members) = trio(Manner::Says("ID ACK - 2\r\nok\r\n")).await;
        members[0].address = address.into();
        let core = foxhold_core(members);
        let front = serve(&core, PlatformFrontend(core.clone())).await;
        let mut client = TcpStream::connect(&front).await.expect("a front");
        client.write_all(get(0xf).as_bytes()).await.expect("a reader");
        let mut cache = stepped.connection().await;
        assert!(line(&mut cache).await.contains("000f "));
        cache.write_all(b"000000000000000f EIO - 0\r\n\r\n").await.expect("a reader");
        let mut site = Site { core, front, cache, others: [parent, origin], before: 0, next: 2 };
        site.settle().await;
        site.before = site.others_had();
        assert_eq!(site.before, 1, "the further attempt of a request whose client stays");
        site
    }

    fn others_had(&self) -> usize {
        self.others.iter().map(|s| s.wants().len()).sum()
    }

    /// A client whose request the cache has got; other bytes may lie behind it.
    async fn client(&mut self, id: u64) -> std::net::TcpStream {
        let mut client = std::net::TcpStream::connect(&self.front).expect("a front");
        client.write_all(get(id).as_bytes()).expect("a reader");
        assert!(line(&mut self.cache).await.starts_with(&format!("want {id:016x} ")));
        client
    }

    /// Puts an attempt's end into the core's mailbox, with nothing run.
    fn ends(&mut self, end: AttemptResult) {
        let ticket = AttemptId { request: self.next, attempt: 0 };
        self.next += 1;
        assert!(self.core.sender().try_send(DispatcherMessage::AttemptEnded(ticket, end)));
    }

    /// Waits until the core holds no request, and what was written to servers has come there.
    async fn settle(&self) {
        settle(&self.core).await;
    }

    /// The cache gets nothing but the request of a client that stays.
    async fn cache_gets_only(&mut self, id: u64) {
        let stays = self.client(id).await;
        self.cache.write_all(format!("{id:016x} ACK - 2\r\nok\r\n").as_bytes()).await.expect("a reader");
        self.settle().await;
        drop(stays);
    }
}

fn foxhold_core(members: Vec<Endpoint>) -> Dispatcher {
    start(settings(), Clock::system(), members)
}

async fn settle(core: &Dispatcher) {
    let until = Instant::now() + SOON;
    loop {
        let tables = core.metrics().await.expect("a core").tables;
        if tables.pending_requests == 0 {
            break;
        }
        assert!(Instant::now() < until, "{tables:?}");
        tokio::task::yield_now().await;
    }
    sleep(Duration::from_millis(20)).await;
}

fn served() -> AttemptResult {
    let verdict = ResponseStatus::Ok(Representation { etag: None, body: "ok".into() });
    Ok(UpstreamResponse {
        status: verdict,
        cache_status: CacheStatus::Hit,
        source_wait: 0,
        load_report: Vec::new(),
    })
}

// ---- under a stall of the loop ----

/// The end of one attempt and the client's end have come; the module would send another.
#[test]
fn no_further_attempt_begins_for_a_client_whose_end_lies_in_its_socket() {
    for unread in [0, 1000] {
        local(async {
            let mut site = Site::start().await;
            let mut client = site.client(0xa).await;
            site.ends(Err(AttemptError::NotWritten));
            client.write_all(&vec![b'x'; unread]).expect("a reader");
            drop(client);
            stall();
            site.settle().await;
            assert_eq!(site.others_had(), site.before, "{unread} bytes unread");
            let counts = site.core.metrics().await.expect("a core").requests["videos"];
            assert_eq!(counts.cancelled_not_run + counts.cancelled_may_have_run, 1, "{counts:?}");
        });
    }
}

/// A request that waits in the core's mailbox, whose client has left behind bytes that nobody has read.
#[test]
fn no_first_attempt_begins_for_a_client_whose_end_lies_in_its_socket() {
    for unread in [0, 1000] {
        local(async {
            let mut site = Site::start().await;
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let mut client = std::net::TcpStream::connect(address).expect("a listener");
            let stream = ClientStream::new(listener.accept().await.expect("a connection").0);
            let ask = ClientRequest {
                id: "000000000000000a".into(),
                object: "7f3a9c21e0b4d655".into(),
                size_kb: 50.0,
                timeout: Duration::from_secs(2),
                ..Default::default()
            };
            let _pending = site.core.submit_for_client(ask, stream.client());
            client.write_all(&vec![b'x'; unread]).expect("a reader");
            drop(client);
            stall();
            site.settle().await;
            site.cache_gets_only(0xb).await;
            assert_eq!(site.others_had(), site.before, "{unread} bytes unread");
        });
    }
}

/// Two requests lie on one connection. The first has its answer, and the client has left.
#[test]
fn no_attempt_begins_for_a_request_unread_behind_another_whose_client_has_left() {
    local(async {
        let mut site = Site::start().await;
        let mut client = std::net::TcpStream::connect(&site.front).expect("a front");
        client.write_all((get(0xa) + &get(0xb)).as_bytes()).expect("a reader");
        assert!(line(&mut site.cache).await.contains("000a "));
        site.ends(served());
        drop(client);
        stall();
        site.settle().await;
        site.cache_gets_only(0xc).await;
        assert_eq!(site.others_had(), site.before);
    });
}

// ---- while the loop runs ----

/// The client leaves while an attempt is out; that attempt's end comes later.
#[test]
fn no_further_attempt_begins_once_a_client_has_left() {
    local(async {
        let mut site = Site::start().await;
        let client = site.client(0xa).await;
        drop(client);
        sleep(TERM).await;
        site.cache.write_all(b"000000000000000a EIO - 0\r\n\r\n").await.expect("a reader");
        site.settle().await;
        assert_eq!(site.others_had(), site.before);
    });
}

/// The client has sent more than any buffer takes, so that its end can't come before that is read.
#[test]
fn no_further_attempt_begins_for_a_client_whose_end_lies_behind_more_than_its_socket_takes() {
    local(async {
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
        sleep(TERM).await;
        site.cache.write_all(b"000000000000000a EIO - 0\r\n\r\n").await.expect("a reader");
        site.settle().await;
        assert_eq!(site.others_had(), site.before);
    });
}

/// A server says nothing; the second copy, which goes out for a client that stays, does not for one that
/// left.
#[test]
fn no_second_copy_begins_once_a_client_has_left() {
    local(async {
        let (servers, members) = trio(Manner::Silent).await;
        let core = foxhold_core(members);
        let front = serve(&core, PlatformFrontend(core.clone())).await;
        let had = || servers.iter().map(|s| s.wants().len()).sum::<usize>();
        let ask = |id| {
            let mut client = std::net::TcpStream::connect(&front).expect("a front");
            client.write_all(get(id).as_bytes()).expect("a reader");
            client
        };
        let reach = |count| {
            let had = &had;
            async move {
                let begun = Instant::now();
                while had() < count {
                    assert!(begun.elapsed() < SOON, "no attempt");
                    sleep(Duration::from_millis(1)).await;
                }
                begun.elapsed()
            }
        };
        let stays = ask(0xa);
        reach(1).await;
        let second = reach(2).await;
        drop(stays);
        settle(&core).await;
        for (held_up, id) in [(false, 0xb), (true, 0xc)] {
            let before = had();
            let leaves = ask(id);
            reach(before + 1).await;
            drop(leaves);
            if held_up {
                std::thread::sleep(second + TERM); // the alarm and the client's end come in one moment
            }
            sleep(second + 3 * TERM).await;
            assert_eq!(had(), before + 1, "a second copy, due {second:?} after the first; held up {held_up}");
        }
    });
}

/// The connection to the server is still coming up when the client leaves.
#[test]
fn nothing_is_sent_on_a_connection_that_comes_up_once_the_client_has_left() {
    local(async {
        let (listener, address) = short_listener();
        let waiting = fill(&address).await;
        let core = foxhold_core(vec![listing("s-cache", &address, "edge", "cache")]);
        let front = serve(&core, PlatformFrontend(core.clone())).await;
        let mut client = std::net::TcpStream::connect(&front).expect("a front");
        client.write_all(get(0xa).as_bytes()).expect("a reader");
        while core.metrics().await.expect("a core").tables.attempts_in_flight == 0 {
            tokio::task::yield_now().await;
        }
        drop(client);
        sleep(TERM).await;
        for _ in &waiting {
            listener.accept().await.expect("one of ours");
        }
        // The system tries again after about a second, if the director has not let go of the connection.
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

/// The host's server has not told the middleware; it has left word of where the client can be looked at.
#[cfg(feature = "middleware")]
#[test]
fn no_attempt_begins_by_the_middleware_for_a_client_that_can_be_seen_to_have_left() {
    use foxhold::dispatch::ClientHandle;
    use foxhold::middleware::DirectorService;
    use tower::ServiceExt;
    local(async {
        let mut site = Site::start().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let client = std::net::TcpStream::connect(address).expect("a listener");
        let stream = ClientStream::new(listener.accept().await.expect("a connection").0);
        let request =
            http::Request::get("/videos/7f3a9c21e0b4d655").extension(ClientHandle::new(stream.client()));
        let request = request.body(http_body_util::Empty::<&[u8]>::new()).expect("a request");
        let service = DirectorService::new(site.core.clone(), Default::default());
        drop(client);
        let response = service.oneshot(request).await.expect("an answer to nobody");
        assert!(!response.status().is_success());
        site.settle().await;
        site.cache_gets_only(0xb).await;
        assert_eq!(site.others_had(), site.before);
    });
}

/// Counts the attempts that begin.
struct Counting(Arc<AtomicUsize>);

impl Exchange for Counting {
    fn exchange(&self, _: &Endpoint, _: UpstreamRequest) -> BoxFuture<AttemptResult> {
        self.0.fetch_add(1, Ordering::Relaxed);
        Box::pin(std::future::ready(Err(AttemptError::Unanswered)))
    }
}

/// An attempt waits for the core's mailbox to have room for the word that it begins.
#[test]
fn a_transport_of_the_host_s_begins_nothing_that_was_over_while_it_waited_for_the_core() {
    local(async {
        let begun = Arc::new(AtomicUsize::new(0));
        let (reports, mut news) = mpsc::channel(1);
        let reports = DispatcherSender::new(reports);
        let ticket = AttemptId { request: 1, attempt: 0 };
        assert!(reports.try_send(DispatcherMessage::ClientCancelled(RequestId(9))));
        let listing = listing("s-1", "", "edge", "cache");
        let orders = HostTransport::new(Counting(begun.clone())).connect(ServerId(1), &listing, reports);
        let want = want(ticket, "a", "videos", Vec::new(), Instant::now() + SOON);
        let over = want.cancellation.clone();
        orders.try_send(EndpointCommand::Send(want)).expect("room");
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
        over.cancel();
        let mut ended = None;
        while ended.is_none() {
            match timeout(SOON, news.recv()).await.expect("in time") {
                Some(DispatcherMessage::AttemptEnded(of, end)) => ended = Some((of, end)),
                Some(DispatcherMessage::ClientCancelled(_) | DispatcherMessage::AttemptWritten(_)) => {}
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(ended, Some((ticket, Err(AttemptError::Cancelled))));
        assert_eq!(begun.load(Ordering::Relaxed), 0);
    });
}
