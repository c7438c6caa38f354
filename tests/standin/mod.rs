//! Stand-ins of the project's own: servers that speak the line protocol, and a client's side of HTTP.
#![allow(dead_code, reason = "each test file uses a part of it")]

use foxhold::config::settings::ConnectionSettings;
use foxhold::dispatch::{self, AttemptId, Clock, Dispatcher, DispatcherMessage, Endpoint, UpstreamRequest};
use foxhold::frontend::serve::{self, ConnectionSlots, Frontend, ListenerContext};
use foxhold::policy::types::*;
use foxhold::upstream::UpstreamConnector;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// What a stand-in server does with each request.
#[derive(Clone, Debug)]
pub enum Manner {
    /// Answers so, with ID in place of the id.
    Says(&'static str),
    /// Takes the request and says nothing.
    Silent,
    /// Takes the request and closes the connection.
    Closes,
    /// Begins an answer and closes the connection.
    BreaksOff,
    /// Begins an answer and stays.
    Stalls,
}

/// A server that listens on loopback and notes what it was sent.
pub struct Server {
    pub address: String,
    pub manner: Rc<RefCell<Manner>>,
    pub lines: Rc<RefCell<Vec<String>>>,
    /// Connections that came, and that have ended.
    pub connections: Rc<Cell<usize>>,
    pub closed: Rc<Cell<usize>>,
}

impl Server {
    pub async fn start(manner: Manner) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let (connections, closed) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let (manner, lines) = (Rc::new(RefCell::new(manner)), Rc::default());
        let server = Server { address, manner, lines, connections, closed };
        let (manner, lines) = (server.manner.clone(), server.lines.clone());
        let (connections, closed) = (server.connections.clone(), server.closed.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                let (manner, lines, closed) = (manner.clone(), lines.clone(), closed.clone());
                tokio::task::spawn_local(async move {
                    Self::serve(stream, manner, lines).await;
                    closed.set(closed.get() + 1);
                });
            }
        });
        server
    }

    async fn serve(stream: TcpStream, manner: Rc<RefCell<Manner>>, lines: Rc<RefCell<Vec<String>>>) {
        let mut stream = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if !matches!(stream.read_line(&mut line).await, Ok(n) if n > 0) {
                return;
            }
            let line = line.trim_end().to_owned();
            let words: Vec<String> = line.split(' ').map(str::to_owned).collect();
            lines.borrow_mut().push(line);
            if words[0] == "busy" && !matches!(*manner.borrow(), Manner::Silent | Manner::Stalls) {
                stream
                    .write_all(format!("{} READY - 0\r\n\r\n", words[1]).as_bytes())
                    .await
                    .expect("a reader");
            }
            if words[0] != "want" {
                continue;
            }
            let mut body = vec![0; words[3].parse::<usize>().expect("a length") + 2];
            stream.read_exact(&mut body).await.expect("a body");
            let manner = manner.borrow().clone();
            match manner {
                Manner::Says(answer) => {
                    let answer = answer.replace("ID", &words[1]);
                    stream.write_all(answer.as_bytes()).await.expect("a reader");
                }
                Manner::Silent => {}
                Manner::Closes => return,
                Manner::BreaksOff | Manner::Stalls => {
                    let begun = format!("{} ACK - 10\r\nhalf", words[1]);
                    stream.write_all(begun.as_bytes()).await.expect("a reader");
                    if matches!(manner, Manner::BreaksOff) {
                        return;
                    }
                }
            }
        }
    }

    /// The requests that it was sent.
    pub fn wants(&self) -> Vec<String> {
        self.lines.borrow().iter().filter(|l| l.starts_with("want ")).cloned().collect()
    }

    pub fn listing(&self, name: &str, zone: &str, kind: &str) -> Endpoint {
        listing(name, &self.address, zone, kind)
    }
}

/// A cache, a parent and an origin that all behave alike, and their entries in the list.
pub async fn trio(manner: Manner) -> ([Server; 3], Vec<Endpoint>) {
    let cache = Server::start(manner.clone()).await;
    let parent = Server::start(manner.clone()).await;
    let origin = Server::start(manner).await;
    let members = vec![
        cache.listing("s-cache", "edge", "cache"),
        parent.listing("s-parent", "hub", "parent"),
        origin.listing("s-origin", "hub", "origin"),
    ];
    ([cache, parent, origin], members)
}

pub fn listing(name: &str, address: &str, zone: &str, kind: &str) -> Endpoint {
    Endpoint {
        name: name.into(),
        address: address.into(),
        zone: zone.into(),
        kind: kind.into(),
        cell: 0,
        state: MemberState::Running,
        size: 20.0,
        started_at: 0,
    }
}

/// A deployment with one edge zone: `videos` may be repeated, `filing` is written and must not run twice.
pub fn settings() -> Settings {
    let class = |name: &str, effect, write| Class {
        name: name.into(),
        latency_objective: 400_000,
        deadline: 3_000_000,
        priority_weight: 1.0,
        idempotency: effect,
        write,
        ..Class::default()
    };
    Settings {
        classes: vec![
            class("videos", Idempotency::Idempotent, false),
            class("filing", Idempotency::AtMostOnce, true),
        ],
        kinds: vec!["cache".into(), "parent".into(), "origin".into()],
        parent_kind: Some(1),
        origin_kind: 2,
        zones: vec!["hub".into(), "edge".into()],
        zone: 1,
        routers_by_zone: vec![0, 1],
        routers: 1,
        transfer_kb_per_s: 1000.0,
        sizes_known: true,
        can_cancel: true,
        hedging: true,
        retry_after: true,
        max_retry_after: 1_000_000,
        max_attempts: 6,
        direct_requests: true,
        cache_status_level: CacheStatusLevel::All,
        purge_complete_within: 6_000_000,
        ..Settings::default()
    }
}

pub fn transport() -> ConnectionSettings {
    ConnectionSettings::default()
}

/// An attempt that asks for nothing but the object, to be sent and answered by then.
pub fn want(
    ticket: AttemptId,
    id: &str,
    class: &str,
    body: Vec<u8>,
    until: tokio::time::Instant,
) -> UpstreamRequest {
    UpstreamRequest {
        attempt_id: ticket,
        id: id.into(),
        class: class.into(),
        object: "aa".into(),
        part: None,
        deadline: until,
        send_deadline: until,
        cancellation: Default::default(),
        fill_source: None,
        cache_rank: 0,
        max_age_ms: 0,
        collapse: false,
        only_if_cached: false,
        revalidate: false,
        if_none_match: None,
        idempotency_key: None,
        body: body.into(),
    }
}

/// A director's core, whose servers are real sockets.
pub fn start(settings: Settings, clock: Clock, members: Vec<Endpoint>) -> Dispatcher {
    let known = vec![DispatcherMessage::Members { full: true, members }];
    let servers = UpstreamConnector::new(transport(), 100);
    dispatch::start(settings, 7, clock, servers, known).expect("good settings").dispatcher
}

/// Serves a front on a port of its own and returns its address.
pub async fn serve<F: Frontend>(core: &Dispatcher, front: F) -> String {
    let (close, closing) = watch::channel(serve::ShutdownPhase::Running);
    std::mem::forget(close); // the front stays open for as long as the test runs
    serve_until(core, front, closing).await
}

/// The same until it is told to close.
pub async fn serve_until<F: Frontend>(
    core: &Dispatcher,
    front: F,
    closing: watch::Receiver<serve::ShutdownPhase>,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let places = ConnectionSlots::new(100, 120);
    let shared = ListenerContext {
        dispatcher: core.clone(),
        slots: places,
        shutdown: closing,
        requests_in_flight: Rc::new(Cell::new(0)),
    };
    tokio::task::spawn_local(serve::accept(listener, shared, front));
    address
}

/// An answer as a client reads it.
#[derive(Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut pairs = self.head.lines().filter_map(|l| l.split_once(": "));
        pairs.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }
}

/// Sends one request on a connection of its own and reads to the connection's end.
pub async fn send(address: &str, request: &str) -> Response {
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    stream.write_all(request.as_bytes()).await.expect("a reader");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("an answer");
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n").expect("a whole head");
    let head = String::from_utf8(bytes[..end].to_vec()).expect("text");
    let status = head[9..12].parse().expect("a status");
    Response { status, head, body: bytes[end + 4..].to_vec() }
}

/// Runs a test's body where the director's tasks can run.
pub fn local<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// The same with a clock that stands still and jumps ahead when nothing else can happen; no sockets.
pub fn paused<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// In which whatever is waited for has come.
pub const SOON: Duration = Duration::from_secs(5);

/// A server that does nothing by itself: the test takes its connections and lines one by one.
pub struct Stepped(pub TcpListener);

impl Stepped {
    pub async fn start() -> (Stepped, String) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        (Stepped(listener), address)
    }

    pub async fn connection(&self) -> BufReader<TcpStream> {
        let accepted = timeout(SOON, self.0.accept()).await.expect("a connection in time");
        BufReader::new(accepted.expect("a connection").0)
    }

    /// Whether a connection has come that was not taken yet.
    pub async fn is_asked(&self) -> bool {
        timeout(Duration::from_millis(300), self.0.accept()).await.is_ok()
    }
}

/// The next line, and the empty one that ends a request's bytes.
pub async fn line(stream: &mut BufReader<TcpStream>) -> String {
    let mut text = String::new();
    timeout(SOON, stream.read_line(&mut text)).await.expect("a line in time").expect("a line");
    if text.starts_with("want ") {
        stream.read_line(&mut String::new()).await.expect("its end");
    }
    text
}

/// A request of the platform.
pub fn get(id: u64) -> String {
    format!("GET /ops/videos/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 2500\r\n\r\n")
}

/// A listener with the shortest queue there is.
pub fn short_listener() -> (TcpListener, String) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(0).expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Fills a listener's queue, so that a further connection hangs until one is taken from it.
pub async fn fill(address: &str) -> Vec<TcpStream> {
    let mut waiting = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(address)).await {
        waiting.push(stream.expect("a connection"));
    }
    waiting
}
