//! Emulated servers that speak the upstream line protocol, and an HTTP client.
#![allow(dead_code, reason = "each test file uses a part of it")]

use foxhold::config::settings::ConnectionSettings;
use foxhold::dispatch::{self, AttemptId, Clock, Dispatcher, DispatcherMessage, Endpoint, UpstreamRequest};
use foxhold::frontend::serve::{self, ConnectionSlots, Frontend, ListenerContext};
use foxhold::memory::MemoryBudget;
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

/// How an emulated server treats each request.
#[derive(Clone, Debug)]
pub enum ServerBehavior {
    /// Sends this response, with `ID` replaced by the request's id.
    Responds(&'static str),
    /// Reads the request and sends nothing.
    Silent,
    /// Reads the request and closes the connection.
    ClosesConnection,
    /// Sends the beginning of a response and closes the connection.
    BreaksOffResponse,
    /// Sends the beginning of a response and keeps the connection open.
    StallsResponse,
}

/// A server that listens on loopback and records the lines it receives.
pub struct EmulatedServer {
    pub address: String,
    pub behavior: Rc<RefCell<ServerBehavior>>,
    pub lines: Rc<RefCell<Vec<String>>>,
    /// How many connections were accepted so far.
    pub connections: Rc<Cell<usize>>,
    /// How many of them have ended.
    pub closed: Rc<Cell<usize>>,
}

impl EmulatedServer {
    pub async fn start(behavior: ServerBehavior) -> EmulatedServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address").to_string();
        let (connections, closed) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let (behavior, lines) = (Rc::new(RefCell::new(behavior)), Rc::default());
        let server = EmulatedServer { address, behavior, lines, connections, closed };
        let (behavior, lines) = (server.behavior.clone(), server.lines.clone());
        let (connections, closed) = (server.connections.clone(), server.closed.clone());
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                let (behavior, lines, closed) = (behavior.clone(), lines.clone(), closed.clone());
                tokio::task::spawn_local(async move {
                    Self::serve(stream, behavior, lines).await;
                    closed.set(closed.get() + 1);
                });
            }
        });
        server
    }

    async fn serve(
        stream: TcpStream,
        behavior: Rc<RefCell<ServerBehavior>>,
        lines: Rc<RefCell<Vec<String>>>,
    ) {
        let mut stream = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if !matches!(stream.read_line(&mut line).await, Ok(n) if n > 0) {
                return;
            }
            let line = line.trim_end().to_owned();
            let words: Vec<String> = line.split(' ').map(str::to_owned).collect();
            lines.borrow_mut().push(line);
            if words[0] == "busy"
                && !matches!(*behavior.borrow(), ServerBehavior::Silent | ServerBehavior::StallsResponse)
            {
                stream
                    .write_all(format!("{} READY - 0\r\n\r\n", words[1]).as_bytes())
                    .await
                    .expect("a connected peer");
            }
            if words[0] != "want" {
                continue;
            }
            let mut body = vec![0; words[3].parse::<usize>().expect("a length") + 2];
            stream.read_exact(&mut body).await.expect("a body");
            let behavior = behavior.borrow().clone();
            match behavior {
                ServerBehavior::Responds(answer) => {
                    let answer = answer.replace("ID", &words[1]);
                    stream.write_all(answer.as_bytes()).await.expect("a connected peer");
                }
                ServerBehavior::Silent => {}
                ServerBehavior::ClosesConnection => return,
                ServerBehavior::BreaksOffResponse | ServerBehavior::StallsResponse => {
                    let partial_response = format!("{} ACK - 10\r\nhalf", words[1]);
                    stream.write_all(partial_response.as_bytes()).await.expect("a connected peer");
                    if matches!(behavior, ServerBehavior::BreaksOffResponse) {
                        return;
                    }
                }
            }
        }
    }

    /// Returns the `want` lines received so far.
    pub fn requests(&self) -> Vec<String> {
        self.lines.borrow().iter().filter(|l| l.starts_with("want ")).cloned().collect()
    }

    pub fn endpoint_listing(&self, name: &str, zone: &str, kind: &str) -> Endpoint {
        endpoint_listing(name, &self.address, zone, kind)
    }
}

/// Starts a cache, a parent and an origin of the same behavior and returns them with their member list.
pub async fn start_cache_parent_origin(behavior: ServerBehavior) -> ([EmulatedServer; 3], Vec<Endpoint>) {
    let cache = EmulatedServer::start(behavior.clone()).await;
    let parent = EmulatedServer::start(behavior.clone()).await;
    let origin = EmulatedServer::start(behavior).await;
    let members = vec![
        cache.endpoint_listing("s-cache", "edge", "cache"),
        parent.endpoint_listing("s-parent", "hub", "parent"),
        origin.endpoint_listing("s-origin", "hub", "origin"),
    ];
    ([cache, parent, origin], members)
}

pub fn endpoint_listing(name: &str, address: &str, zone: &str, kind: &str) -> Endpoint {
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

/// Returns settings with one edge zone, an idempotent read class `videos`, and a write class `filing` whose
/// requests must run at most once.
pub fn settings() -> Settings {
    let class = |name: &str, idempotency, write| Class {
        name: name.into(),
        latency_objective: 400_000,
        deadline: 3_000_000,
        priority_weight: 1.0,
        idempotency,
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

pub fn connection_settings() -> ConnectionSettings {
    ConnectionSettings::default()
}

/// Returns a request for an object with no option set, whose send deadline and deadline are both `deadline`.
pub fn upstream_request(
    attempt_id: AttemptId,
    id: &str,
    class: &str,
    body: Vec<u8>,
    deadline: tokio::time::Instant,
) -> UpstreamRequest {
    UpstreamRequest {
        attempt_id,
        id: id.into(),
        class: class.into(),
        object: "aa".into(),
        part: None,
        deadline,
        send_deadline: deadline,
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

/// Starts a dispatcher that connects to its servers over real sockets.
pub fn start(settings: Settings, clock: Clock, members: Vec<Endpoint>) -> Dispatcher {
    let known = vec![DispatcherMessage::Members { full: true, members }];
    let servers = UpstreamConnector::new(connection_settings(), 100);
    dispatch::start(settings, 7, clock, servers, known).expect("valid settings").dispatcher
}

/// Serves a frontend on a free port and returns its address.
pub async fn serve<F: Frontend>(dispatcher: &Dispatcher, frontend: F) -> String {
    let (shutdown_sender, shutdown) = watch::channel(serve::ShutdownPhase::Running);
    std::mem::forget(shutdown_sender); // so that the frontend stays open as long as the test runs
    serve_until(dispatcher, frontend, shutdown).await
}

/// The memory for requests in a test's frontend.
pub const TEST_MEMORY_BYTES: usize = 64 << 20;

/// Serves a frontend like `serve`, until `shutdown` asks it to shut down.
pub async fn serve_until<F: Frontend>(
    dispatcher: &Dispatcher,
    frontend: F,
    shutdown: watch::Receiver<serve::ShutdownPhase>,
) -> String {
    serve_within(dispatcher, frontend, shutdown, MemoryBudget::new(TEST_MEMORY_BYTES)).await
}

/// Serves a frontend like `serve_until`, with this memory for requests.
pub async fn serve_within<F: Frontend>(
    dispatcher: &Dispatcher,
    frontend: F,
    shutdown: watch::Receiver<serve::ShutdownPhase>,
    memory: MemoryBudget,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let slots = ConnectionSlots::new(100, 120);
    let shared = ListenerContext {
        dispatcher: dispatcher.clone(),
        slots,
        memory,
        shutdown,
        requests_in_flight: Rc::new(Cell::new(0)),
    };
    tokio::task::spawn_local(serve::accept(listener, shared, frontend));
    address
}

/// A response as a client reads it.
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

/// Sends a request on a new connection and reads the response until the connection closes.
pub async fn send_request_text(address: &str, request: &str) -> Response {
    let mut stream = TcpStream::connect(address).await.expect("a listener");
    stream.write_all(request.as_bytes()).await.expect("a connected peer");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("a response");
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n").expect("a complete response head");
    let head = String::from_utf8(bytes[..end].to_vec()).expect("text");
    let status = head[9..12].parse().expect("a status");
    Response { status, head, body: bytes[end + 4..].to_vec() }
}

/// Runs a test on a runtime of two threads.
pub fn run_on_two_threads<T>(test: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test)
}

/// Runs a test's body in a `LocalSet`, which the director's tasks need.
pub fn run_local<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Runs a test's body like `run_local`, with a paused clock that advances to the next timer when all tasks
/// are idle. Unsuitable for tests with sockets.
pub fn run_with_paused_clock<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// The time limit for an event that a test waits for.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// A server that the test controls step by step: the test accepts its connections and reads its lines.
pub struct SteppedServer(pub TcpListener);

impl SteppedServer {
    pub async fn start() -> (SteppedServer, String) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address").to_string();
        (SteppedServer(listener), address)
    }

    pub async fn connection(&self) -> BufReader<TcpStream> {
        let accepted = timeout(EVENT_TIMEOUT, self.0.accept()).await.expect("a connection in time");
        BufReader::new(accepted.expect("a connection").0)
    }

    /// Accepts a connection, and returns whether one arrived within 300 ms.
    pub async fn has_connection(&self) -> bool {
        timeout(Duration::from_millis(300), self.0.accept()).await.is_ok()
    }
}

/// Reads and returns the next line. After a `want` line it also reads the empty line that ends the request.
pub async fn read_line(stream: &mut BufReader<TcpStream>) -> String {
    let mut text = String::new();
    timeout(EVENT_TIMEOUT, stream.read_line(&mut text)).await.expect("a line in time").expect("a line");
    if text.starts_with("want ") {
        stream.read_line(&mut String::new()).await.expect("the end of the request");
    }
    text
}

/// Returns a platform request for a video.
pub fn get_request_text(id: u64) -> String {
    format!("GET /ops/videos/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 2500\r\n\r\n")
}

/// Starts a listener with the shortest accept queue that the system allows, and returns it with its address.
pub fn listener_with_short_queue() -> (TcpListener, String) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("a bound address")).expect("a free port");
    let listener = socket.listen(0).expect("a listener");
    let address = listener.local_addr().expect("a bound address").to_string();
    (listener, address)
}

/// Fills a listener's accept queue, so that a further connection waits until one is accepted.
pub async fn fill_accept_queue(address: &str) -> Vec<TcpStream> {
    let mut waiting = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(address)).await {
        waiting.push(stream.expect("a connection"));
    }
    waiting
}
