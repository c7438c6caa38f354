//! Replays one trace through the daemon's process or through the library in an axum host, and compares the
//! results.
//!
//! Differences that come from timing alone are excluded: requests go one after the other on one connection,
//! each at its time in the trace ([`STEP_MS`](crate::load::trace::STEP_MS) says how these are chosen) and
//! none before the previous response; faults are separated from requests by idle time; the random numbers of
//! the policy have the same seed; and emulated servers add no delay that the trace does not contain. Requests
//! that start more than a millisecond late are counted and reported.

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

/// Seed of the policy's random numbers in every run.
const SEED: u64 = 0x8c1f_30d2_7a5b_e964;

/// The form of the director through which a trace is replayed.
#[derive(Clone, Debug)]
pub enum Through {
    /// A daemon process, started from this program.
    Daemon(PathBuf),
    /// The library, in an axum application within this process.
    Library {
        /// Number of the fill from a parent, counted from 0, that gets another fill source than the policy
        /// chose. Shows that the comparison detects a difference.
        altered: Option<usize>,
    },
}

/// The final response as a client received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestOutcome {
    /// HTTP status code.
    pub status: u16,
    /// `ETag` header, if any.
    pub tag: Option<String>,
    /// `X-Wait-Ms` header, if any: milliseconds until the client may retry.
    pub wait_ms: Option<String>,
    /// Response body.
    pub body: Vec<u8>,
}

/// Results of replaying a trace once.
#[derive(Clone, Debug, Default)]
pub struct ReplayResult {
    /// By request id: the attempts that servers received, in their order, and the final response.
    pub requests: BTreeMap<String, (Vec<ReceivedRequest>, RequestOutcome)>,
    /// Longest delay of a request or fault after its time in the trace.
    pub latest: Duration,
    /// Number of requests and faults that started more than a millisecond late.
    pub late: usize,
}

/// A request whose attempts or response differ between two runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Request id: its number in the trace, in hexadecimal.
    pub id: String,
    /// Attempts and response in the first run.
    pub one: (Vec<ReceivedRequest>, RequestOutcome),
    /// Attempts and response in the second run.
    pub other: (Vec<ReceivedRequest>, RequestOutcome),
}

/// Returns the requests that differ between two runs of one trace.
pub fn compare(one: &ReplayResult, other: &ReplayResult) -> Vec<Difference> {
    let ids: std::collections::BTreeSet<&String> = one.requests.keys().chain(other.requests.keys()).collect();
    let of = |result: &ReplayResult, id: &String| result.requests.get(id).cloned().unwrap_or_default();
    let both = ids.into_iter().map(|id| (id, of(one, id), of(other, id)));
    both.filter(|(_, a, b)| a != b)
        .map(|(id, one, other)| Difference { id: id.clone(), one, other })
        .collect()
}

/// An error of the testbed, displayed as one line.
pub type TestbedError = Box<dyn std::error::Error + Send + Sync>;

/// Replays a trace against a new fleet of 3 caches, 3 parents and an origin.
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
        for seen in fleet.received_requests() {
            let entry = result.requests.entry(seen.id.clone()).or_default();
            entry.0.push(seen);
        }
    }
    drop(running);
    result
}

/// A file with the platform configuration of a director for an emulated fleet; removed when this is dropped.
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

/// A running director, which is stopped when this is dropped.
pub(crate) enum RunningDirector {
    Process(Child),
    Host(tokio::task::JoinHandle<()>),
}

impl RunningDirector {
    /// Returns the process id of the daemon, or `None` for the library.
    pub(crate) fn id(&self) -> Option<u32> {
        match self {
            RunningDirector::Process(child) => Some(child.id()),
            RunningDirector::Host(_) => None,
        }
    }
}

impl Drop for RunningDirector {
    fn drop(&mut self) {
        match self {
            RunningDirector::Process(child) => {
                let _ = child.kill();
                let _ = child.wait();
            }
            RunningDirector::Host(task) => task.abort(),
        }
    }
}

pub(crate) fn daemon(program: &Path, config: &Path) -> Result<(String, RunningDirector), TestbedError> {
    let program = program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?;
    let mut child = Command::new(&program)
        .env("ROUTER_CONFIG", config)
        .env_remove("FOXHOLD_FRONT")
        .env_remove("FOXHOLD_LOG")
        .current_dir(std::env::temp_dir())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|e| format!("can't start {}: {e}", program.display()))?;
    let log = child.stderr.take().ok_or("standard error of the child process is not piped")?;
    let running = RunningDirector::Process(child);
    let (mut log, mut line) = (BufReader::new(log), String::new());
    log.read_line(&mut line)?;
    // Reads to the end, so that the daemon never blocks on a full pipe or fails to write its last log lines.
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    let address = line
        .trim_end()
        .rsplit(' ')
        .next()
        .filter(|a| a.contains(':'))
        .ok_or_else(|| format!("no address in log line: {line}"))?;
    Ok((address.to_owned(), running))
}

async fn library(config: &Path, altered: Option<usize>) -> Result<(String, RunningDirector), TestbedError> {
    let mut builder = Director::from_file(config)?;
    if let Some(nth) = altered {
        let servers = PlatformConfig::read(config)?.upstream_connector();
        builder =
            builder.connector(AlteringConnector { servers, remaining: Arc::new(AtomicUsize::new(nth)) });
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
    Ok((address, RunningDirector::Host(task)))
}

/// Serves the platform's clients as a host application does: parses their requests, passes them to the
/// director by function call, and encodes the responses as the platform specifies.
async fn host(
    State(director): State<Director>,
    Target((class, object)): Target<(String, String)>,
    RawQuery(query): RawQuery,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let header = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let number = |name: &str| header(name).and_then(|v| v.parse::<f64>().ok());
    let mut cache_request = CacheRequest::new(class, object).body(body);
    if let Some(id) = header("x-job-id") {
        cache_request = cache_request.id(id);
    }
    if let Some(part) = query.as_deref().and_then(|q| q.strip_prefix("block=")).and_then(|p| p.parse().ok()) {
        cache_request = cache_request.part(part);
    }
    if let Some(group) = number("x-family") {
        cache_request = cache_request.group(group as u32);
    }
    if let Some(size) = number("x-ram-kb") {
        cache_request = cache_request.size_kb(size);
    }
    if let Some(allow) = number("x-allow-ms") {
        cache_request = cache_request.timeout(Duration::from_secs_f64(allow / 1e3));
    }
    let status = |code: u16| StatusCode::from_u16(code).unwrap_or_default();
    let tagged = |tag: Option<Arc<str>>| tag.map(|t| [("etag", format!("\"{t}\""))]);
    match director.send(cache_request).await {
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

/// The connector for upstream servers, which replaces the fill source of one request.
struct AlteringConnector {
    servers: UpstreamConnector,
    remaining: Arc<AtomicUsize>,
}

impl EndpointConnector for AlteringConnector {
    fn connect(
        &mut self,
        server: ServerId,
        listing: &Endpoint,
        reports: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        let inner = self.servers.connect(server, listing, reports);
        let (sender, mut commands) = mpsc::channel(512);
        let remaining = self.remaining.clone();
        tokio::task::spawn_local(async move {
            while let Some(mut command) = commands.recv().await {
                if let EndpointCommand::Send(attempt) = &mut command {
                    let parent = attempt.fill_source.as_ref().is_some_and(|v| v.starts_with("parent"));
                    if parent && remaining.fetch_sub(1, Ordering::Relaxed) == 0 {
                        let other = if attempt.fill_source.as_deref() == Some("parent-1") {
                            "parent-3"
                        } else {
                            "parent-1"
                        };
                        attempt.fill_source = Some(other.into());
                    }
                }
                if inner.send(command).await.is_err() {
                    return;
                }
            }
        });
        sender
    }
}

fn drive(lines: &[Line], address: &str, fleet: &EmulatedFleet) -> Result<ReplayResult, TestbedError> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut result = ReplayResult::default();
    exchange(&mut stream, "GET /alive HTTP/1.1\r\nHost: lab\r\n\r\n")?;
    // By then, the watch of the discovery service is open and the first probe requests are done.
    std::thread::sleep(Duration::from_millis(200));
    let started_at = Instant::now();
    let mut number = 0;
    for line in lines {
        let due = started_at + Duration::from_secs_f64(line.at_ms / 1e3);
        match due.checked_duration_since(Instant::now()) {
            Some(wait) => std::thread::sleep(wait),
            None => {
                let late = due.elapsed();
                result.latest = result.latest.max(late);
                result.late += usize::from(late > Duration::from_millis(1));
            }
        }
        match &line.step {
            Step::Fault(fault) => apply(fleet, fault),
            Step::Request(trace_request) => {
                number += 1;
                let id = format!("{number:016x}");
                let answer = exchange(&mut stream, &request(trace_request, &id))?;
                result.requests.insert(id, (Vec::new(), answer));
            }
        }
    }
    Ok(result)
}

fn apply(fleet: &EmulatedFleet, fault: &TraceFault) {
    match fault {
        TraceFault::Drain(name) => fleet.drain(name),
        TraceFault::Crash(name) => fleet.crash(name),
        TraceFault::Restart(name) => fleet.restart(name),
        TraceFault::Slow(name, ms) => fleet.slow(name, Duration::from_millis(*ms)),
        TraceFault::Purge(object) => fleet.purge(object),
    }
}

fn request(trace_request: &TraceRequest, id: &str) -> String {
    let TraceRequest { class, object, part, group, size_kb, allow_ms } = trace_request;
    let (method, body) = if class == "filing-submit" { ("PUT", "a filing") } else { ("GET", "") };
    let length = body.len();
    format!(
        "{method} /ops/{class}/{object}?block={part} HTTP/1.1\r\nHost: lab\r\nX-Job-Id: {id}\r\n\
         X-Allow-Ms: {allow_ms}\r\nX-Family: {group}\r\nX-Ram-Kb: {size_kb}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

pub(crate) fn exchange(stream: &mut TcpStream, request: &str) -> Result<RequestOutcome, TestbedError> {
    stream.write_all(request.as_bytes())?;
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    let mut more = |bytes: &mut Vec<u8>| -> Result<(), TestbedError> {
        match stream.read(&mut buffer)? {
            0 => return Err("the director closed the connection before the response was complete".into()),
            n => bytes.extend_from_slice(&buffer[..n]),
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
    let status = head
        .get(9..12)
        .and_then(|s| s.parse().ok())
        .ok_or_else(|| format!("no status code in response head: {head}"))?;
    let body = bytes[end + 4..end + 4 + length].to_vec();
    Ok(RequestOutcome { status, tag: header("etag"), wait_ms: header("x-wait-ms"), body })
}
