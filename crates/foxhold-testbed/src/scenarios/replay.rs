//! One trace through the daemon's process or through the library in an axum host, and what differs.
//!
//! What timing alone could make differ is fixed: requests go one after the other on one connection, each at
//! its own time of the trace ([`STEP_MS`](crate::load::trace::STEP_MS) says how these are chosen) and none
//! before the one before is answered; troubles stand alone, with room round them; the seed of the decisions'
//! random numbers is the same; and servers take no time that the trace does not tell. A request that had to
//! start later than its time is counted, and a run with any that started over a millisecond late says so.

use crate::load::trace::{Line, Step, TraceFault, TraceRequest};
use crate::servers::in_process::{EmulatedFleet, ReceivedRequest};
use axum::body::Bytes;
use axum::extract::{Path as Target, RawQuery, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::any;
use foxhold::config::platform::PlatformConfig;
use foxhold::director::{CacheRequest, Director};
use foxhold::dispatch::{
    ClientResponse, DispatcherSender, Endpoint, EndpointCommand, EndpointConnector, FailureReason,
};
use foxhold::upstream::UpstreamConnector;
use foxhold::ServerId;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Seed of the decisions' random numbers in every play.
const SEED: u64 = 0x8c1f_30d2_7a5b_e964;

/// What a trace is run through.
#[derive(Clone, Debug)]
pub enum Through {
    /// The daemon's process, from this program.
    Daemon(PathBuf),
    /// The library, in an axum application of this process.
    Library {
        /// The fill of this number is sent to another parent than was decided: shows that a difference is
        /// seen.
        altered: Option<usize>,
    },
}

/// The final answer as a client got it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestOutcome {
    /// The status.
    pub status: u16,
    /// The copy's tag.
    pub tag: Option<String>,
    /// Milliseconds to stay away.
    pub wait_ms: Option<String>,
    /// The bytes.
    pub body: Vec<u8>,
}

/// What came of one play.
#[derive(Clone, Debug, Default)]
pub struct ReplayResult {
    /// By the request's id: what servers were asked, in its order, and the final answer.
    pub requests: BTreeMap<String, (Vec<ReceivedRequest>, RequestOutcome)>,
    /// How late the latest request started, and how many started over a millisecond late.
    pub latest: Duration,
    /// See `latest`.
    pub late: usize,
}

/// A request that went otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Its id, which is its number in the trace.
    pub id: String,
    /// As it went in the one play.
    pub one: (Vec<ReceivedRequest>, RequestOutcome),
    /// And in the other.
    pub other: (Vec<ReceivedRequest>, RequestOutcome),
}

/// All that differs between two plays of one trace.
pub fn compare(one: &ReplayResult, other: &ReplayResult) -> Vec<Difference> {
    let ids: std::collections::BTreeSet<&String> = one.requests.keys().chain(other.requests.keys()).collect();
    let of = |result: &ReplayResult, id: &String| result.requests.get(id).cloned().unwrap_or_default();
    let both = ids.into_iter().map(|id| (id, of(one, id), of(other, id)));
    both.filter(|(_, a, b)| a != b)
        .map(|(id, one, other)| Difference { id: id.clone(), one, other })
        .collect()
}

/// An error as one line.
pub type TestbedError = Box<dyn std::error::Error + Send + Sync>;

/// Runs a trace against a fleet of its own: 3 caches, 3 parents and an origin.
pub async fn replay(lines: &[Line], through: &Through) -> Result<ReplayResult, TestbedError> {
    let fleet = EmulatedFleet::start(3, 3).await?;
    let file = ConfigFile::write(&fleet, SEED)?;
    let (address, running) = match through {
        Through::Daemon(program) => daemon(program, &file.0)?,
        Through::Library { altered } => library(&file.0, *altered).await?,
    };
    let (lines, handle) = (lines.to_vec(), tokio::runtime::Handle::current());
    let (fleet, mut result) = tokio::task::spawn_blocking(move || {
        let _inside = handle.enter();
        let result = drive(&lines, &address, &fleet);
        (fleet, result)
    })
    .await?;
    if let Ok(result) = &mut result {
        for seen in fleet.seen() {
            let entry = result.requests.entry(seen.id.clone()).or_default();
            entry.0.push(seen);
        }
    }
    drop(running);
    result
}

/// The platform's configuration for a director before a fleet, in a file that goes when this is dropped.
pub(crate) struct ConfigFile(pub(crate) PathBuf);

impl ConfigFile {
    pub(crate) fn write(fleet: &EmulatedFleet, seed: u64) -> Result<ConfigFile, TestbedError> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("foxhold-testbed-{}-{number}.json", std::process::id());
        let file = ConfigFile(std::env::temp_dir().join(name));
        std::fs::write(&file.0, fleet.config("127.0.0.1:0", seed))?;
        Ok(file)
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// What ends with a run.
pub(crate) enum Running {
    Process(Child),
    Host(tokio::task::JoinHandle<()>),
}

impl Running {
    /// The daemon's process.
    pub(crate) fn id(&self) -> Option<u32> {
        match self {
            Running::Process(child) => Some(child.id()),
            Running::Host(_) => None,
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        match self {
            Running::Process(child) => {
                let _ = child.kill();
                let _ = child.wait();
            }
            Running::Host(task) => task.abort(),
        }
    }
}

pub(crate) fn daemon(program: &Path, config: &Path) -> Result<(String, Running), TestbedError> {
    let program = program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?;
    let mut child = Command::new(&program)
        .env("ROUTER_CONFIG", config)
        .env_remove("FOXHOLD_FRONT")
        .env_remove("FOXHOLD_LOG")
        .current_dir(std::env::temp_dir())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|e| format!("{}: {e}", program.display()))?;
    let log = child.stderr.take().ok_or("no log")?;
    let running = Running::Process(child);
    let (mut log, mut line) = (BufReader::new(log), String::new());
    log.read_line(&mut line)?;
    // Read on, so that nothing is lost of what it says on its end.
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    let address = line.trim_end().rsplit(' ').next().filter(|a| a.contains(':')).ok_or(line.clone())?;
    Ok((address.to_owned(), running))
}

async fn library(config: &Path, altered: Option<usize>) -> Result<(String, Running), TestbedError> {
    let mut builder = Director::from_file(config)?;
    if let Some(nth) = altered {
        let servers = PlatformConfig::read(config)?.upstream_connector();
        builder = builder.connector(AlteredTrace { servers, left: Arc::new(AtomicUsize::new(nth)) });
    }
    let app = axum::Router::new()
        .route("/alive", any(|| async {}))
        .route("/ops/{class}/{object}", any(host))
        .with_state(builder.start()?);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let task = tokio::spawn(async move {
        let _ = axum::serve(listener, app).await;
    });
    Ok((address, Running::Host(task)))
}

/// The host application: reads what the platform's clients send, asks the director by function call, and
/// words its answers by the platform's page.
async fn host(
    State(director): State<Director>,
    Target((class, object)): Target<(String, String)>,
    RawQuery(query): RawQuery,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let header = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let number = |name: &str| header(name).and_then(|v| v.parse::<f64>().ok());
    let mut question = CacheRequest::new(class, object).body(body);
    if let Some(id) = header("x-job-id") {
        question = question.id(id);
    }
    if let Some(part) = query.as_deref().and_then(|q| q.strip_prefix("block=")).and_then(|p| p.parse().ok()) {
        question = question.part(part);
    }
    if let Some(group) = number("x-family") {
        question = question.group(group as u32);
    }
    if let Some(size) = number("x-ram-kb") {
        question = question.size_kb(size);
    }
    if let Some(allow) = number("x-allow-ms") {
        question = question.timeout(Duration::from_secs_f64(allow / 1e3));
    }
    let status = |code: u16| StatusCode::from_u16(code).unwrap_or_default();
    let tagged = |tag: Option<Arc<str>>| tag.map(|t| [("etag", format!("\"{t}\""))]);
    match director.send(question).await {
        Ok(ClientResponse::Served(copy)) => match tagged(copy.etag) {
            Some(tag) => (tag, copy.body).into_response(),
            None => copy.body.into_response(),
        },
        Ok(ClientResponse::NotModified(_)) => status(304).into_response(),
        Ok(ClientResponse::Rejected { retry_after: Some(wait), .. }) => {
            (status(503), [("x-wait-ms", wait.as_millis().max(1).to_string())]).into_response()
        }
        Ok(ClientResponse::Rejected { .. }) => status(503).into_response(),
        Ok(ClientResponse::Failed(FailureReason::DeadlineExceeded)) => status(504).into_response(),
        Ok(ClientResponse::Failed(FailureReason::DuplicateRequest)) => status(409).into_response(),
        Ok(ClientResponse::Failed(_)) | Err(_) => status(502).into_response(),
    }
}

/// The line protocol, with one decision changed on its way.
struct AlteredTrace {
    servers: UpstreamConnector,
    left: Arc<AtomicUsize>,
}

impl EndpointConnector for AlteredTrace {
    fn connect(
        &mut self,
        server: ServerId,
        listing: &Endpoint,
        reports: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        let inner = self.servers.connect(server, listing, reports);
        let (mailbox, mut orders) = mpsc::channel(512);
        let left = self.left.clone();
        tokio::task::spawn_local(async move {
            while let Some(mut order) = orders.recv().await {
                if let EndpointCommand::Send(want) = &mut order {
                    let parent = want.fill_source.as_ref().is_some_and(|v| v.starts_with("parent"));
                    if parent && left.fetch_sub(1, Ordering::Relaxed) == 0 {
                        let other = if want.fill_source.as_deref() == Some("parent-1") {
                            "parent-3"
                        } else {
                            "parent-1"
                        };
                        want.fill_source = Some(other.into());
                    }
                }
                if inner.send(order).await.is_err() {
                    return;
                }
            }
        });
        mailbox
    }
}

fn drive(lines: &[Line], address: &str, fleet: &EmulatedFleet) -> Result<ReplayResult, TestbedError> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut result = ReplayResult::default();
    exchange(&mut stream, "GET /alive HTTP/1.1\r\nHost: lab\r\n\r\n")?;
    // The board's follower and first probes have settled by then.
    std::thread::sleep(Duration::from_millis(200));
    let begun = Instant::now();
    let mut number = 0;
    for line in lines {
        let due = begun + Duration::from_secs_f64(line.at_ms / 1e3);
        match due.checked_duration_since(Instant::now()) {
            Some(wait) => std::thread::sleep(wait),
            None => {
                let late = due.elapsed();
                result.latest = result.latest.max(late);
                result.late += usize::from(late > Duration::from_millis(1));
            }
        }
        match &line.step {
            Step::Trouble(trouble) => apply(fleet, trouble),
            Step::Request(asked) => {
                number += 1;
                let id = format!("{number:016x}");
                let answer = exchange(&mut stream, &request(asked, &id))?;
                result.requests.insert(id, (Vec::new(), answer));
            }
        }
    }
    Ok(result)
}

fn apply(fleet: &EmulatedFleet, trouble: &TraceFault) {
    match trouble {
        TraceFault::Drain(name) => fleet.drain(name),
        TraceFault::Crash(name) => fleet.crash(name),
        TraceFault::Back(name) => fleet.back(name),
        TraceFault::Slow(name, ms) => fleet.slow(name, Duration::from_millis(*ms)),
        TraceFault::Purge(object) => fleet.purge(object),
    }
}

fn request(asked: &TraceRequest, id: &str) -> String {
    let TraceRequest { class, object, part, group, size_kb, allow_ms } = asked;
    let (method, body) = if class == "filing-submit" { ("PUT", "a filing") } else { ("GET", "") };
    let length = body.len();
    format!(
        "{method} /ops/{class}/{object}?block={part} HTTP/1.1\r\nHost: lab\r\nX-Job-Id: {id}\r\n\
         X-Allow-Ms: {allow_ms}\r\nX-Family: {group}\r\nX-Ram-Kb: {size_kb}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

pub(crate) fn exchange(stream: &mut TcpStream, request: &str) -> Result<RequestOutcome, TestbedError> {
    stream.write_all(request.as_bytes())?;
    let (mut bytes, mut scrap) = (Vec::new(), [0; 4096]);
    let mut more = |bytes: &mut Vec<u8>| -> Result<(), TestbedError> {
        match stream.read(&mut scrap)? {
            0 => return Err("the connection was closed under a request".into()),
            n => bytes.extend_from_slice(&scrap[..n]),
        }
        Ok(())
    };
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        more(&mut bytes)?;
    };
    let head = String::from_utf8(bytes[..end].to_vec())?;
    let header = |name: &str| {
        let mut pairs = head.lines().filter_map(|l| l.split_once(':'));
        pairs.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_owned())
    };
    let length: usize = header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    while bytes.len() < end + 4 + length {
        more(&mut bytes)?;
    }
    let status = head.get(9..12).and_then(|s| s.parse().ok()).ok_or("no status")?;
    let body = bytes[end + 4..end + 4 + length].to_vec();
    Ok(RequestOutcome { status, tag: header("etag"), wait_ms: header("x-wait-ms"), body })
}
