//! Emulated servers on loopback, within this process. They keep the copies that requests ask them to keep,
//! fill from each other, and fail on command.
//!
//! They speak the documented line protocol. Nothing is evicted, and the only time modelled is a delay that
//! the caller sets. What a director sees therefore depends only on what it requests.

use crate::servers::emulated::unix_ms;
pub use crate::servers::model::Role;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Zones of the emulated deployment: parents and the origin are in the first, caches and clients in the
/// second.
const ZONES: [&str; 2] = ["hub", "branch"];

/// A request as a server received it. Times and ages are left out because they differ between runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The request's id.
    pub id: String,
    /// The name of the server that received it.
    pub server: String,
    /// The fill source for a miss.
    pub via: Option<String>,
    /// The cache rank at which to keep a copy; 0: do not keep it.
    pub tier: u8,
    /// The field `opts`, unparsed.
    pub opts: String,
    /// Whether the request limited the age of the copy.
    pub aged: bool,
}

struct Server {
    role: Role,
    address: SocketAddr,
    cached: HashSet<(String, String)>,
    /// While true, the server refuses connections, and the open ones have been closed.
    down: watch::Sender<bool>,
    delay: Duration,
}

#[derive(Default)]
struct State {
    servers: BTreeMap<String, Server>,
    received_requests: Vec<ReceivedRequest>,
    events: Vec<String>,
}

/// A running fleet of emulated servers. Its tasks run on the current runtime and end when this is dropped.
pub struct EmulatedFleet {
    state: Arc<Mutex<State>>,
    discovery_address: SocketAddr,
    event_count: watch::Sender<usize>,
    _tasks: JoinSet<()>,
}

fn lock(state: &Arc<Mutex<State>>) -> MutexGuard<'_, State> {
    // A panic in an emulated server has already failed the test.
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl EmulatedFleet {
    /// Starts the given numbers of caches and parents and one origin, each on a free port.
    pub async fn start(caches: usize, parents: usize) -> std::io::Result<EmulatedFleet> {
        let (state, mut tasks): (Arc<Mutex<State>>, _) = (Arc::default(), JoinSet::new());
        let roles = [(Role::Cache, caches), (Role::Parent, parents), (Role::Origin, 1)];
        for (role, count) in roles {
            for n in 1..=count {
                let name = format!("{}-{n}", role.kind());
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                let (down, down_changed) = watch::channel(false);
                let address = listener.local_addr()?;
                let server = Server { role, address, cached: HashSet::new(), down, delay: Duration::ZERO };
                lock(&state).servers.insert(name.clone(), server);
                tasks.spawn(listen(listener, name, state.clone(), down_changed));
            }
        }
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let discovery_address = listener.local_addr()?;
        let (event_count, events_changed) = watch::channel(0);
        tasks.spawn(serve_watches(listener, state.clone(), events_changed));
        let fleet = EmulatedFleet { state, discovery_address, event_count, _tasks: tasks };
        let names: Vec<String> = lock(&fleet.state).servers.keys().cloned().collect();
        fleet.publish(|rev, state| {
            let members: Vec<String> =
                names.iter().map(|n| member(n, &state.servers[n], "in_service")).collect();
            let list = members.join(",");
            format!(r#"{{"rev":{rev},"pool":{{"revision":{rev},"complete":true,"members":[{list}]}}}}"#)
        });
        Ok(fleet)
    }

    fn publish(&self, event: impl FnOnce(usize, &State) -> String) {
        let mut state = lock(&self.state);
        let rev = state.events.len() + 1;
        let line = event(rev, &state);
        state.events.push(line);
        drop(state);
        self.event_count.send_replace(rev);
    }

    /// Returns the platform configuration for a director that routes to this fleet.
    pub fn config(&self, listen: &str, seed: u64) -> String {
        let state = lock(&self.state);
        let (board, rev, notices) = (self.discovery_address, state.events.len(), state.events.join(","));
        let [hub, branch] = ZONES;
        format!(
            r#"{{"name":"lab","listen":"{listen}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},
"board":"{board}","known":{{"rev":{rev},"notices":[{notices}]}},
"settings":{{"balancers":1,"zone":"{branch}","zones":["{hub}","{branch}"],"kinds":["cache","parent","origin"],
"weights":"nominal","services":[
{{"name":"guide-videos","aimMs":400,"aimStretch":1.6,"deadlineMs":5000,"effect":"idempotent","worth":2}},
{{"name":"page-bits","aimMs":250,"aimStretch":2.0,"deadlineMs":3000,"effect":"idempotent","worth":1}},
{{"name":"filing-submit","aimMs":700,"deadlineMs":3000,"effect":"at_most_once","worth":3}}],
"familyInfo":{{"midKind":1,"storeKind":2,"flowKbPerS":9500,"noteLevel":"all","passThroughOk":true,
"passOn":[false,false,true],"instancesByZone":[0,1],"purgeGraceMs":1000,"purgeDoneMs":6000}},
"bounds":{{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":1000,"maxAttempts":6,
"probes":true,"connectTimeoutMs":400,"connIdleMs":30000,"streamsPerConn":100}},
"rules":{{"stopSendingWithinMs":1000,"coldFrom":0.17,"warmWithinMs":16000,"fallMultiple":2.5,"overloadForMs":3000}}}}}}"#
        )
    }

    /// Announces a drain through the discovery service.
    pub fn drain(&self, name: &str) {
        self.publish(|rev, state| member_event(rev, &member(name, &state.servers[name], "terminating")));
    }

    /// Crashes a server: its copies are lost, its connections closed and new ones refused. The discovery
    /// service does not announce it.
    pub fn crash(&self, name: &str) {
        let mut state = lock(&self.state);
        let Some(server) = state.servers.get_mut(name) else { return };
        server.cached.clear();
        server.down.send_replace(true);
    }

    /// Restarts a crashed server with an empty cache.
    pub fn restart(&self, name: &str) {
        if let Some(server) = lock(&self.state).servers.get(name) {
            server.down.send_replace(false);
        }
    }

    /// Sets the delay added to every response of a server.
    pub fn slow(&self, name: &str, delay: Duration) {
        if let Some(server) = lock(&self.state).servers.get_mut(name) {
            server.delay = delay;
        }
    }

    /// Purges an object from all servers and announces the purge through the discovery service.
    pub fn purge(&self, object: &str) {
        lock(&self.state).servers.values_mut().for_each(|s| s.cached.retain(|(o, _)| o != object));
        let ms = unix_ms();
        self.publish(|rev, _| format!(r#"{{"rev":{rev},"flush":{{"asset":"{object}","ms":{ms}}}}}"#));
    }

    /// Returns all requests that servers received, in order of arrival.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        lock(&self.state).received_requests.clone()
    }
}

fn member(name: &str, server: &Server, phase: &str) -> String {
    let (kind, address) = (server.role.kind(), server.address);
    let (zone, size) = if server.role == Role::Cache { (ZONES[1], 40) } else { (ZONES[0], 80) };
    format!(
        r#"{{"id":"{name}","host_port":"{address}","locality":"{zone}","flavor":"{kind}","phase":"{phase}","size":{size}}}"#
    )
}

fn member_event(rev: usize, member: &str) -> String {
    format!(r#"{{"rev":{rev},"pool":{{"revision":{rev},"complete":false,"members":[{member}]}}}}"#)
}

/// Serves watches of the discovery service: sends the events after the requested revision, and the last
/// revision every second as a heartbeat.
async fn serve_watches(
    listener: TcpListener,
    state: Arc<Mutex<State>>,
    events_changed: watch::Receiver<usize>,
) {
    let mut watches = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let (state, mut events_changed) = (state.clone(), events_changed.clone());
        watches.spawn(async move {
            let (read, mut write) = stream.into_split();
            let mut line = String::new();
            if BufReader::new(read).read_line(&mut line).await.is_err() {
                return;
            }
            let mut last: usize = line.trim().rsplit(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            loop {
                let lines: Vec<String> = lock(&state).events.iter().skip(last).cloned().collect();
                last += lines.len();
                let text = if lines.is_empty() { format!("{last}\n") } else { lines.join("\n") + "\n" };
                if write.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                let _ = tokio::time::timeout(Duration::from_secs(1), events_changed.changed()).await;
            }
        });
    }
}

async fn listen(
    listener: TcpListener,
    name: String,
    state: Arc<Mutex<State>>,
    mut down: watch::Receiver<bool>,
) {
    let (address, mut listener) = (listener.local_addr(), Some(listener));
    let mut connections = JoinSet::new();
    loop {
        if *down.borrow_and_update() {
            // Closes the listener so that the port refuses connections, and closes the open ones.
            listener = None;
            connections.shutdown().await;
            if down.changed().await.is_err() {
                return;
            }
            continue;
        }
        if listener.is_none() {
            let Ok(address) = address else { return };
            listener = TcpListener::bind(address).await.ok();
        }
        let Some(open) = &listener else { return };
        tokio::select! {
            Ok((stream, _)) = open.accept() => {
                connections.spawn(serve(stream, name.clone(), state.clone()));
            }
            changed = down.changed() => if changed.is_err() { return },
        }
    }
}

async fn serve(stream: TcpStream, name: String, state: Arc<Mutex<State>>) {
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let (answers, mut outbox) = mpsc::channel::<Vec<u8>>(256);
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        while let Some(bytes) = outbox.recv().await {
            if write.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let mut read = BufReader::new(read);
    loop {
        let mut line = String::new();
        if !matches!(read.read_line(&mut line).await, Ok(n) if n > 0) {
            return;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let (answer, delay) = match words[..] {
            ["want", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                if read.read_exact(&mut body).await.is_err() {
                    return;
                }
                lock(&state).answer(&name, id, fields)
            }
            ["busy" | "there", tag] => (format!("{tag} READY - 0\r\n\r\n").into(), Duration::ZERO),
            _ => continue,
        };
        let answers = answers.clone();
        tasks.spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = answers.send(answer).await;
        });
    }
}

impl State {
    fn answer(&mut self, name: &str, id: &str, fields: &str) -> (Vec<u8>, Duration) {
        let fields: BTreeMap<&str, &str> = fields.split(',').filter_map(|f| f.split_once('=')).collect();
        let field = |name: &str| fields.get(name).copied();
        let via = field("via");
        self.record(name, id, &fields);
        let object = field("obj").unwrap_or("").to_owned();
        let key = (object.clone(), field("seg").unwrap_or("").to_owned());
        let kept = field("tier").is_some_and(|t| t != "0");
        let (role, held, mut delay) = {
            let own = &self.servers[name];
            (own.role, own.cached.contains(&key), own.delay)
        };
        let note = match role {
            Role::Origin => "cached",
            _ if held => "cached",
            Role::Parent => {
                self.insert_copy(name, &key);
                "fetched_root"
            }
            Role::Cache => {
                let Some(source) = via.and_then(|v| self.servers.get(v).map(|s| (v, s))) else {
                    return (format!("{id} NOENT - 0\r\n\r\n").into(), delay);
                };
                let (source, down, far) = (source.0, *source.1.down.borrow(), source.1.delay);
                delay += far;
                if down {
                    return (format!("{id} EIO res=up_lost 0\r\n\r\n").into(), delay);
                }
                let there = self.servers[source].cached.contains(&key);
                let note = if there { "fetched" } else { "fetched_root" };
                if self.servers[source].role == Role::Parent {
                    self.insert_copy(source, &key);
                }
                if kept {
                    self.insert_copy(name, &key);
                }
                note
            }
        };
        let body = format!("{object}/{}", key.1);
        let minted = unix_ms();
        let lag = delay.as_millis();
        let head = format!("{id} ACK tag={object},minted={minted},res={note},lag={lag} {}\r\n", body.len());
        ((head + &body + "\r\n").into_bytes(), delay)
    }

    fn record(&mut self, name: &str, id: &str, fields: &BTreeMap<&str, &str>) {
        let field = |name: &str| fields.get(name).copied();
        self.received_requests.push(ReceivedRequest {
            id: id.into(),
            server: name.into(),
            via: field("via").map(Into::into),
            tier: field("tier").and_then(|t| t.parse().ok()).unwrap_or(0),
            opts: field("opts").unwrap_or("").into(),
            aged: field("fresh").is_some_and(|f| f != "0"),
        });
    }

    fn insert_copy(&mut self, name: &str, key: &(String, String)) {
        if let Some(server) = self.servers.get_mut(name) {
            server.cached.insert(key.clone());
        }
    }
}
