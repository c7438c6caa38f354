//! One stand-in server: the line protocol on a socket, before a [model](crate::servers::model) of what it can do.
//!
//! The same server runs as a process of its own (`foxhold-testbed stand-in`, told on standard input, telling on standard
//! output) or as a task among others ([`crate::servers::in_process`]). Fills go over sockets like all else, so that a relay may stand
//! between any two servers. A fill's request carries `by`, the name of who asks, beside the platform's fields.

use crate::checks::slow_start_budget::{Budget, SlowStartWindow};
use crate::scenarios::scenario::RuleBreach;
use crate::servers::model::{size_kb, CacheMemory, CachedCopy, Key, Link, OverloadWindow, Role, ServerSpec};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::JoinSet;

/// Milliseconds since 1970; all processes of a play share the machine's clock.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// What a server is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerCommand {
    /// Where the others are, by name: all that it may be given as a source.
    Peers(HashMap<String, String>),
    /// It drains: what comes over a second later breaks a rule.
    Drain,
    /// It no longer drains.
    Undrain,
    /// Drops copies made before this Unix millisecond: of an object, or of all objects of these groups.
    Purge {
        /// 16 hex digits.
        object: Option<String>,
        /// Groups that are purged whole.
        groups: Vec<u32>,
        /// Unix milliseconds.
        ms: u64,
    },
    /// Everything takes so many times as long.
    Slow(f64),
    /// Everything takes so many seconds more.
    Delay(f64),
    /// Breaks a rule from now on.
    Plant(RuleBreach),
    /// Its process dies (true), or another takes its place, cold and empty. For servers that are tasks.
    Down(bool),
}

/// What a server tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerEvent {
    /// It listens here.
    Listens(String),
    /// A request came whole.
    Asked {
        /// Unix milliseconds.
        ms: u64,
        /// The request as it came.
        ask: ServerRequest,
        /// Turned away unseen.
        full: bool,
    },
    /// A write ran: the id of its request.
    Ran(String),
    /// It fell over (the origin: stopped), and whether it was cold.
    Fell {
        /// Unix milliseconds.
        ms: u64,
        /// Whether it had started lately.
        cold: bool,
    },
    /// It is cold, and so much came within the window that ends now.
    SlowStart(SlowStartWindow),
    /// Something came over a second after it was told that it drains.
    Drained(String),
}

/// A request as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRequest {
    /// The request's id.
    pub id: String,
    /// The class.
    pub kind: String,
    /// The object.
    pub object: String,
    /// The part.
    pub part: String,
    /// From where a miss is to be filled.
    pub via: Option<String>,
    /// The rank at which a copy is kept.
    pub tier: u8,
    /// The oldest copy that will do, in milliseconds; 0: any.
    pub max_age_ms: u64,
    /// The words of `opts`.
    pub opts: String,
    /// The server that asks for a fill; empty: a director.
    pub by: String,
}

impl ServerRequest {
    fn read(id: &str, fields: &str) -> ServerRequest {
        let fields: BTreeMap<&str, &str> = fields.split(',').filter_map(|f| f.split_once('=')).collect();
        let text = |name: &str| fields.get(name).copied().unwrap_or("").to_owned();
        let number = |name: &str| fields.get(name).and_then(|t| t.parse().ok()).unwrap_or(0.0);
        ServerRequest {
            id: id.into(),
            kind: text("kind"),
            object: text("obj"),
            part: text("seg"),
            via: fields.get("via").map(|v| (*v).into()),
            tier: number("tier") as u8,
            max_age_ms: number("fresh") as u64,
            opts: text("opts"),
            by: text("by"),
        }
    }

    fn key(&self) -> Key {
        (self.object.clone(), self.part.clone())
    }

    fn says(&self, word: &str) -> bool {
        self.opts.split('+').any(|w| w == word)
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
enum ServerReply {
    /// With a copy: when it was minted, and how it came about.
    Copy { minted: u64, note: &'static str, lag: Duration },
    /// With a word and a note.
    Other(&'static str, &'static str),
}

/// What this server does with requests of one class: its mean size in KB, and whether it writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ContentClass {
    /// The class.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Mean size of its objects, in KB.
    pub mean_kb: f64,
    /// Runs at the origin and is not kept.
    pub write: bool,
}

/// How a server starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerConfig {
    /// Its name in the list.
    pub name: String,
    /// Where it listens; port 0: any.
    pub listen: String,
    /// What it can do.
    pub spec: ServerSpec,
    /// The classes.
    pub kinds: Vec<ContentClass>,
    /// Starts cold.
    pub cold: bool,
}

type EventSender = mpsc::UnboundedSender<ServerEvent>;

/// A server at work.
struct Server {
    start: ServerConfig,
    begun: Instant,
    cold_since: Cell<Option<Instant>>,
    memory: RefCell<CacheMemory>,
    link: RefCell<Link>,
    link_changed: Notify,
    transfers: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    pressure: RefCell<OverloadWindow>,
    /// What came since it started cold; none: it never did.
    budget: RefCell<Option<Budget>>,
    stopped_until: Cell<Option<Instant>>,
    drained: Cell<Option<Instant>>,
    slow: Cell<f64>,
    planted: Cell<Option<RuleBreach>>,
    delay: Cell<f64>,
    in_work: Cell<usize>,
    filling: Cell<usize>,
    peers: RefCell<HashMap<String, String>>,
    sources: RefCell<HashMap<String, mpsc::UnboundedSender<Call>>>,
    /// Fills of a parent under way, and who waits for each.
    joined: RefCell<HashMap<Key, Vec<oneshot::Sender<ServerReply>>>>,
    events: EventSender,
}

/// Counts something for as long as it lives.
struct InFlightGuard<'a>(&'a Cell<usize>);

impl<'a> InFlightGuard<'a> {
    fn new(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        InFlightGuard(cell)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The budget of a server that starts cold, counted in requests of the mean over all its classes.
fn budget(start: &ServerConfig) -> Budget {
    let shares: f64 = start.kinds.iter().map(|k| k.share).sum();
    let work: f64 = start.kinds.iter().map(|k| k.share * start.spec.work(k.mean_kb)).sum();
    Budget::new(work / shares.max(1e-9))
}

/// Runs a server until it falls over or its teller goes: `told` brings commands, `events` takes what happens. Needs a
/// `LocalSet`.
pub async fn run(
    start: ServerConfig,
    mut told: mpsc::UnboundedReceiver<ServerCommand>,
    events: EventSender,
) -> std::io::Result<()> {
    let mut listener = Some(TcpListener::bind(&start.listen).await?);
    let address = listener.as_ref().map_or_else(|| unreachable!(), TcpListener::local_addr)?;
    let _ = events.send(ServerEvent::Listens(address.to_string()));
    let now = Instant::now();
    let server = Rc::new(Server {
        begun: now,
        cold_since: Cell::new(start.cold.then_some(now)),
        memory: RefCell::default(),
        link: RefCell::default(),
        link_changed: Notify::new(),
        transfers: RefCell::default(),
        pressure: RefCell::default(),
        budget: RefCell::new(start.cold.then(|| budget(&start))),
        stopped_until: Cell::new(None),
        drained: Cell::new(None),
        slow: Cell::new(1.0),
        planted: Cell::new(None),
        delay: Cell::new(0.0),
        in_work: Cell::new(0),
        filling: Cell::new(0),
        peers: RefCell::default(),
        sources: RefCell::default(),
        joined: RefCell::default(),
        events,
        start,
    });
    let drive = Rc::clone(&server);
    let mut drivers = JoinSet::new();
    drivers.spawn_local(async move { drive.drive().await });
    let (fell, mut falls) = mpsc::unbounded_channel();
    let mut connections = JoinSet::new();
    loop {
        let accept = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            Ok((stream, _)) = accept => {
                connections.spawn_local(Rc::clone(&server).serve(stream, fell.clone()));
                while connections.try_join_next().is_some() {}
            }
            word = told.recv() => match word {
                None => return Ok(()),
                Some(ServerCommand::Down(true)) => {
                    // The port refuses, and what was open is reset.
                    listener = None;
                    connections.shutdown().await;
                    server.empty();
                }
                Some(ServerCommand::Down(false)) => listener = Some(rebind(address).await?),
                Some(word) => server.told(word),
            },
            Some(()) = falls.recv() => {
                listener = None;
                connections.shutdown().await;
            }
        }
    }
}

/// The address once more; the one who had it may be ending still.
async fn rebind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(_) if tries < 100 => tries += 1,
            other => return other,
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

impl Server {
    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    fn warmth(&self) -> f64 {
        self.start.spec.warmth(self.cold_since.get().map(|since| since.elapsed().as_secs_f64()))
    }

    fn carries(&self) -> f64 {
        self.start.spec.link * self.warmth() / self.slow.get()
    }

    fn empty(&self) {
        *self.memory.borrow_mut() = CacheMemory::default();
        self.cold_since.set(Some(Instant::now()));
        *self.budget.borrow_mut() = Some(budget(&self.start));
    }

    fn told(&self, word: ServerCommand) {
        match word {
            ServerCommand::Peers(peers) => *self.peers.borrow_mut() = peers,
            ServerCommand::Drain => self.drained.set(Some(Instant::now())),
            ServerCommand::Undrain => self.drained.set(None),
            ServerCommand::Slow(times) => self.slow.set(times.max(1e-3)),
            ServerCommand::Delay(seconds) => self.delay.set(seconds),
            ServerCommand::Plant(RuleBreach::SecretRestart) => self.empty(),
            ServerCommand::Plant(breach) => self.planted.set(Some(breach)),
            ServerCommand::Purge { .. } if self.planted.get() == Some(RuleBreach::OldCopy) => {}
            ServerCommand::Purge { object, groups, ms } => {
                let groups: HashSet<u32> = groups.into_iter().collect();
                let named = |o: &str| match &object {
                    Some(object) => object == o,
                    None => groups.contains(&crate::servers::model::group(o)),
                };
                self.memory.borrow_mut().purge(named, ms);
            }
            ServerCommand::Down(_) => {}
        }
    }

    /// Lets the link's transfers end when their time has come.
    async fn drive(self: Rc<Self>) {
        loop {
            let wait = {
                let mut link = self.link.borrow_mut();
                link.advance(self.now(), self.carries());
                for ended in link.ended() {
                    if let Some(done) = self.transfers.borrow_mut().remove(&ended) {
                        let _ = done.send(());
                    }
                }
                // A cold link grows meanwhile: looked at again after a tenth of a second.
                link.next_end(self.carries()).map_or(60.0, |w| w.clamp(0.0005, 0.1))
            };
            let _ = tokio::time::timeout(Duration::from_secs_f64(wait), self.link_changed.notified()).await;
        }
    }

    /// Sends so much work over the link.
    async fn transfer(&self, work: f64) {
        struct Under<'a>(&'a Server, u64);
        impl Drop for Under<'_> {
            fn drop(&mut self) {
                let mut link = self.0.link.borrow_mut();
                link.advance(self.0.now(), self.0.carries());
                if self.0.transfers.borrow_mut().remove(&self.1).is_some() {
                    link.cancel(self.1);
                }
            }
        }
        if work <= 0.0 {
            return;
        }
        let (done, waits) = oneshot::channel();
        let number = {
            let mut link = self.link.borrow_mut();
            link.advance(self.now(), self.carries());
            link.begin(work)
        };
        self.transfers.borrow_mut().insert(number, done);
        self.link_changed.notify_one();
        let _under = Under(self, number);
        let _ = waits.await;
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, fell: mpsc::UnboundedSender<()>) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let (answers, mut outbox) = mpsc::channel::<Vec<u8>>(1024);
        let mut writer = JoinSet::new();
        writer.spawn_local(async move {
            while let Some(bytes) = outbox.recv().await {
                if write.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        let (mut tasks, mut open) = (JoinSet::new(), HashMap::new());
        let mut read = BufReader::new(read);
        let mut line = String::new();
        loop {
            line.clear();
            if !matches!(read.read_line(&mut line).await, Ok(n) if n > 0) {
                return; // everything open on it is given up
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
                ["want", id, fields, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    if read.read_exact(&mut body).await.is_err() {
                        return;
                    }
                    let ask = ServerRequest::read(id, fields);
                    let (server, answers, fell) = (Rc::clone(&self), answers.clone(), fell.clone());
                    let task = tasks.spawn_local(async move {
                        let reply = server.serve_request(&ask, &fell).await;
                        let mut bytes = worded(&ask, &reply);
                        if server.planted.get() == Some(RuleBreach::OtherBytes) {
                            // The last byte of the copy, before the line's end.
                            if let Some(byte) = bytes.iter_mut().rev().nth(2) {
                                *byte = b'x';
                            }
                        }
                        let _ = answers.send(bytes).await;
                    });
                    open.insert(id.to_owned(), task);
                }
                ["never_mind", id] => {
                    if let Some(task) = open.remove(id) {
                        task.abort();
                    }
                }
                ["busy" | "there", tag] => {
                    let _ = answers.send(format!("{tag} READY - 0\r\n\r\n").into()).await;
                }
                _ => {}
            }
            while tasks.try_join_next().is_some() {}
            open.retain(|_, task| !task.is_finished());
        }
    }

    async fn serve_request(
        self: &Rc<Self>,
        ask: &ServerRequest,
        fell: &mpsc::UnboundedSender<()>,
    ) -> ServerReply {
        let ServerConfig { spec, kinds, .. } = &self.start;
        let kind = kinds.iter().find(|k| k.name == ask.kind);
        let (mean, write) = kind.map_or((0.0, false), |k| (k.mean_kb, k.write));
        let kb = size_kb(&ask.object, mean);
        let full = self.in_work.get() >= spec.slots;
        let _ = self.events.send(ServerEvent::Asked { ms: unix_ms(), ask: ask.clone(), full });
        if self.drained.get().is_some_and(|at| at.elapsed() > Duration::from_millis(1_050)) {
            let _ = self.events.send(ServerEvent::Drained(ask.id.clone()));
        }
        // What caches ask is work of its size; of a cache each attempt counts at the mean, served or not.
        let weighs = if spec.role == Role::Cache { spec.work(mean) } else { spec.work(kb) };
        let overrun = self.pressure.borrow_mut().push(self.now(), weighs, self.warmth(), spec);
        // The plain limit, without what the page puts down to chance, holds for cold servers too.
        let overrun_cold = self.overloads_slow_start(weighs).unwrap_or(false);
        if overrun || overrun_cold {
            self.falls(fell);
        }
        if self.stopped_until.get().is_some_and(|until| Instant::now() < until) {
            return ServerReply::Other("EIO", "root_failed");
        }
        if full {
            return ServerReply::Other("AGAIN", "-");
        }
        let _in_work = InFlightGuard::new(&self.in_work);
        let before = (spec.before + self.delay.get()) * self.slow.get();
        if before > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(before)).await;
        }
        if spec.role == Role::Origin {
            if write {
                let times = if self.planted.get() == Some(RuleBreach::DuplicateWrite) { 2 } else { 1 };
                (0..times).for_each(|_| drop(self.events.send(ServerEvent::Ran(ask.id.clone()))));
            }
            let minted = unix_ms();
            self.transfer(spec.work(kb)).await;
            return ServerReply::Copy { minted, note: "cached", lag: Duration::ZERO };
        }
        if !write {
            if let Some(held) = self.holds(ask) {
                self.transfer(spec.work(kb)).await;
                return ServerReply::Copy { minted: held.minted, note: "cached", lag: Duration::ZERO };
            }
        }
        let reply = match spec.role {
            Role::Cache => self.fill(ask, write, kb).await,
            _ => self.fetch(ask, write, kb).await,
        };
        if matches!(reply, ServerReply::Copy { .. }) {
            self.transfer(spec.work(kb)).await;
        }
        reply
    }

    /// The copy, if it is young enough.
    fn holds(&self, ask: &ServerRequest) -> Option<CachedCopy> {
        let held = self.memory.borrow_mut().get(&ask.key(), ask.tier)?;
        let any = ask.max_age_ms == 0 || self.planted.get() == Some(RuleBreach::OldCopy);
        (any || unix_ms().saturating_sub(held.minted) <= ask.max_age_ms).then_some(held)
    }

    /// Whether work that comes to a cold server pushes it over; none: it is warm.
    fn overloads_slow_start(&self, work: f64) -> Option<bool> {
        let warmth = self.warmth();
        let mut budget = self.budget.borrow_mut();
        let budget = budget.as_mut().filter(|_| warmth < 1.0 && self.start.spec.role != Role::Origin)?;
        let window = budget.push(self.now(), work, warmth, &self.start.spec);
        let _ = self.events.send(ServerEvent::SlowStart(window));
        Some(window.share() > 1.0)
    }

    fn falls(&self, fell: &mpsc::UnboundedSender<()>) {
        let spec = &self.start.spec;
        if self.stopped_until.get().is_some_and(|until| Instant::now() < until) {
            return;
        }
        let _ = self.events.send(ServerEvent::Fell { ms: unix_ms(), cold: self.warmth() < 1.0 });
        if spec.role == Role::Origin {
            self.stopped_until.set(Some(Instant::now() + Duration::from_secs_f64(spec.stop)));
        } else {
            let _ = fell.send(());
        }
    }

    /// A cache's miss, filled from the source that the request names.
    async fn fill(self: &Rc<Self>, ask: &ServerRequest, write: bool, kb: f64) -> ServerReply {
        let Some(source) = ask.via.clone().filter(|via| *via != self.start.name) else {
            return ServerReply::Other("NOENT", "-");
        };
        if self.filling.get() >= self.start.spec.fills {
            return ServerReply::Other("AGAIN", "fills_full");
        }
        let _filling = InFlightGuard::new(&self.filling);
        let begun = Instant::now();
        let (got, lag) = (self.request_from_source(&source, ask).await, begun.elapsed());
        let direct = source.starts_with("origin");
        match got {
            Some(ServerReply::Copy { minted, note, .. }) => {
                if ask.tier > 0 && !write {
                    let memory = self.start.spec.memory;
                    self.memory.borrow_mut().keep(ask.key(), kb, ask.tier, minted, memory);
                }
                let note = if direct || note == "fetched_root" { "fetched_root" } else { "fetched" };
                ServerReply::Copy { minted, note, lag }
            }
            Some(ServerReply::Other("NOENT", _)) => ServerReply::Other("NOENT", "up_empty"),
            Some(ServerReply::Other("AGAIN", _)) => ServerReply::Other("AGAIN", "up_refused"),
            Some(ServerReply::Other(_, "root_failed")) => ServerReply::Other("EIO", "root_failed"),
            // A write may have run there.
            _ => ServerReply::Other("EIO", "up_lost"),
        }
    }

    /// A parent's miss, fetched from the origin once for all who wait.
    async fn fetch(self: &Rc<Self>, ask: &ServerRequest, write: bool, kb: f64) -> ServerReply {
        if ask.says("no-fetch") {
            return ServerReply::Other("NOENT", "-");
        }
        if write {
            return self
                .request_from_source("origin-1", ask)
                .await
                .unwrap_or(ServerReply::Other("EIO", "root_failed"));
        }
        // One that asks for a young copy does not wait for an older one.
        let key = (ask.object.clone(), format!("{}/{}", ask.part, u8::from(ask.max_age_ms > 0)));
        let (done, waits) = oneshot::channel();
        let first = {
            let mut joined = self.joined.borrow_mut();
            let waiting = joined.entry(key.clone()).or_default();
            waiting.push(done);
            waiting.len() == 1 || ask.max_age_ms > 0
        };
        if first {
            let (server, ask) = (Rc::clone(self), ask.clone());
            tokio::task::spawn_local(async move {
                let got = match server.request_from_source("origin-1", &ask).await {
                    Some(ServerReply::Copy { minted, .. }) => {
                        if !ask.says("no-keep") {
                            let memory = server.start.spec.memory;
                            server.memory.borrow_mut().keep(ask.key(), kb, 1, minted, memory);
                        }
                        ServerReply::Copy { minted, note: "fetched_root", lag: Duration::ZERO }
                    }
                    Some(ServerReply::Other("AGAIN", _)) => ServerReply::Other("AGAIN", "up_refused"),
                    _ => ServerReply::Other("EIO", "root_failed"),
                };
                let waiting = server.joined.borrow_mut().remove(&key).unwrap_or_default();
                waiting.into_iter().for_each(|done| drop(done.send(got.clone())));
            });
        }
        waits.await.unwrap_or(ServerReply::Other("EIO", "root_failed"))
    }

    /// Asks another server; none: it could not be reached, broke off or took too long.
    async fn request_from_source(self: &Rc<Self>, name: &str, ask: &ServerRequest) -> Option<ServerReply> {
        let (done, waits) = oneshot::channel();
        let call = Call { ask: ask.clone(), by: self.start.name.clone(), done };
        let sources = &self.sources;
        let open = sources.borrow().get(name).filter(|s| !s.is_closed()).cloned();
        let source = match open {
            Some(source) => source,
            None => {
                let address = self.peers.borrow().get(name).cloned()?;
                let (calls, queue) = mpsc::unbounded_channel();
                tokio::task::spawn_local(upstream(address, queue));
                sources.borrow_mut().insert(name.into(), calls.clone());
                calls
            }
        };
        source.send(call).ok()?;
        tokio::time::timeout(Duration::from_millis(2_000), waits).await.ok()?.ok()
    }
}

/// A request to another server.
struct Call {
    ask: ServerRequest,
    by: String,
    done: oneshot::Sender<ServerReply>,
}

/// One connection to another server; it ends, and with it all calls on it, when that connection does.
async fn upstream(address: String, mut calls: mpsc::UnboundedReceiver<Call>) {
    let connect = tokio::time::timeout(Duration::from_millis(400), TcpStream::connect(&address));
    let Ok(Ok(stream)) = connect.await else { return };
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let (mut read, mut waiting, mut next) = (BufReader::new(read), HashMap::new(), 0u64);
    let (lines, mut replies) = mpsc::channel(64);
    let mut reader = JoinSet::new();
    reader.spawn_local(async move {
        let mut line = String::new();
        loop {
            line.clear();
            if !matches!(read.read_line(&mut line).await, Ok(n) if n > 0) {
                return;
            }
            let length = line.split_whitespace().last().and_then(|w| w.parse().ok()).unwrap_or(0usize);
            if read.read_exact(&mut vec![0; length + 2]).await.is_err()
                || lines.send(line.clone()).await.is_err()
            {
                return;
            }
        }
    });
    loop {
        tokio::select! {
            call = calls.recv() => {
                let Some(Call { ask, by, done }) = call else { return };
                next += 1;
                waiting.insert(next, done);
                let ServerRequest { id, kind, object, part, max_age_ms, opts, .. } = &ask;
                let opts = if opts.is_empty() { String::new() } else { format!(",opts={opts}") };
                let line = format!(
                    "want {next} kind={kind},obj={object},seg={part},fresh={max_age_ms},by={by},for={id}{opts} 0\r\n\r\n"
                );
                if write.write_all(line.as_bytes()).await.is_err() {
                    return;
                }
            }
            line = replies.recv() => {
                let Some(line) = line else { return };
                let words: Vec<&str> = line.split_whitespace().collect();
                let [number, word, fields, _] = words[..] else { continue };
                let done = number.parse().ok().and_then(|n: u64| waiting.remove(&n));
                let field = |name: &str| {
                    fields.split(',').filter_map(|f| f.split_once('=')).find(|f| f.0 == name).map(|f| f.1)
                };
                let note = match field("res") {
                    Some("fetched_root") => "fetched_root",
                    Some("root_failed") => "root_failed",
                    _ => "-",
                };
                let reply = match word {
                    "ACK" => {
                        let minted = field("minted").and_then(|m| m.parse().ok()).unwrap_or(0);
                        ServerReply::Copy { minted, note, lag: Duration::ZERO }
                    }
                    "NOENT" => ServerReply::Other("NOENT", note),
                    "AGAIN" => ServerReply::Other("AGAIN", note),
                    _ => ServerReply::Other("EIO", note),
                };
                done.map(|done| done.send(reply));
            }
        }
    }
}

/// An answer on the wire. A copy's bytes say what it is of and when it was minted.
fn worded(ask: &ServerRequest, reply: &ServerReply) -> Vec<u8> {
    let id = &ask.id;
    match reply {
        ServerReply::Other(word, "-") => format!("{id} {word} - 0\r\n\r\n").into(),
        ServerReply::Other(word, note) => format!("{id} {word} res={note} 0\r\n\r\n").into(),
        ServerReply::Copy { minted, note, lag } => {
            let body = format!("{}/{} {minted}", ask.object, ask.part);
            let (tag, lag, length) = (&ask.object, lag.as_millis(), body.len());
            format!("{id} ACK tag={tag}-{minted},minted={minted},res={note},lag={lag} {length}\r\n{body}\r\n")
                .into()
        }
    }
}

/// Runs a server as a process of its own: told by a line of JSON each on standard input, telling so on standard
/// output; it ends with its standard input.
pub fn process(start: ServerConfig) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let (words, told) = mpsc::unbounded_channel();
        let (events, mut notes) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            let mut out = tokio::io::BufWriter::new(tokio::io::stdout());
            while let Some(note) = notes.recv().await {
                let mut line = serde_json::to_vec(&note).unwrap_or_default();
                line.push(b'\n');
                let written = out.write_all(&line).await;
                if written.is_err() || (notes.is_empty() && out.flush().await.is_err()) {
                    return;
                }
            }
        });
        tokio::task::spawn_local(read_commands(words));
        run(start, told, events).await
    })
}

async fn read_commands(words: mpsc::UnboundedSender<ServerCommand>) {
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Ok(word) = serde_json::from_str(&line) {
            let _ = words.send(word);
        }
    }
}
