//! One emulated server: the line protocol on a socket, with a [model](crate::servers::model) of its capacity
//! and cache behind it.
//!
//! The same server runs as a separate process (`foxhold-testbed emulate`, with commands on standard input and
//! events on standard output) or as a task among others ([`crate::servers::in_process`]). Fills go over
//! sockets too, so that a relay can be placed between any two servers. The request of a fill carries the
//! field `by`, the name of the requesting server, besides the platform's fields.

mod config;
mod connection;
mod fills;
mod process;
mod protocol;
mod transfers;
mod upstream;

pub use config::{ContentClass, ServerConfig};
pub use process::process;
pub use protocol::{ServerCommand, ServerEvent, ServerRequest};

use crate::checks::slow_start_budget::Budget;
use crate::scenarios::scenario::RuleBreach;
use crate::servers::model::{size_kb, CacheMemory, CachedCopy, Key, Link, OverloadWindow, Role};
use protocol::ServerReply;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::JoinSet;
use upstream::UpstreamCall;

/// How long requests may still arrive after the start of a drain: the 1 s that the platform allows, and a
/// margin for the network.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// Attempts of a restarted server to listen on its former address.
const MAX_BIND_ATTEMPTS: u32 = 100;
/// Interval between two of these attempts.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the Unix time in milliseconds. All processes of a run share the machine's clock.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

type EventSender = mpsc::UnboundedSender<ServerEvent>;

/// A running server.
struct Server {
    config: ServerConfig,
    started: Instant,
    /// The moment of its cold start; `None` if it did not start cold.
    warming_since: Cell<Option<Instant>>,
    memory: RefCell<CacheMemory>,
    link: RefCell<Link>,
    link_changed: Notify,
    transfers: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    overload: RefCell<OverloadWindow>,
    /// The work received since the cold start; `None` if it did not start cold.
    budget: RefCell<Option<Budget>>,
    stopped_until: Cell<Option<Instant>>,
    draining_since: Cell<Option<Instant>>,
    slowdown: Cell<f64>,
    injected_breach: Cell<Option<RuleBreach>>,
    /// Seconds added to each request.
    delay: Cell<f64>,
    requests_in_flight: Cell<usize>,
    fills_in_flight: Cell<usize>,
    /// The addresses of other servers, by name.
    peers: RefCell<HashMap<String, String>>,
    sources: RefCell<HashMap<String, mpsc::UnboundedSender<UpstreamCall>>>,
    /// Fetches of a parent in flight, with the requests that wait for each.
    collapsed: RefCell<HashMap<Key, Vec<oneshot::Sender<ServerReply>>>>,
    events: EventSender,
}

/// Increments a counter, and decrements it when dropped.
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

/// Returns the slow start budget of a server. Its unit is the mean work of a request over all classes.
fn budget(config: &ServerConfig) -> Budget {
    let shares: f64 = config.kinds.iter().map(|k| k.share).sum();
    let work: f64 = config.kinds.iter().map(|k| k.share * config.spec.work(k.mean_kb)).sum();
    Budget::new(work / shares.max(1e-9))
}

/// Runs a server until the sender of `commands` is dropped, and reports to `events`. A cache or parent that
/// failed by overload refuses connections from then on. Needs a `LocalSet`.
pub async fn run(
    config: ServerConfig,
    mut commands: mpsc::UnboundedReceiver<ServerCommand>,
    events: EventSender,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(&config.listen).await?;
    let address = listener.local_addr()?;
    let mut listener = Some(listener);
    let _ = events.send(ServerEvent::Listens(address.to_string()));
    let server = Rc::new(Server::new(config, events));
    let mut link_driver = JoinSet::new();
    link_driver.spawn_local(Rc::clone(&server).drive_link());
    let (overloaded, mut falls) = mpsc::unbounded_channel();
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
                connections.spawn_local(connection::serve(Rc::clone(&server), stream, overloaded.clone()));
                while connections.try_join_next().is_some() {}
            }
            command = commands.recv() => match command {
                None => return Ok(()),
                Some(ServerCommand::Down(true)) => {
                    // Closes the listener so that the port refuses connections, and closes the open ones.
                    listener = None;
                    connections.shutdown().await;
                    server.restart_empty();
                }
                Some(ServerCommand::Down(false)) => listener = Some(rebind(address).await?),
                Some(command) => server.apply(command),
            },
            Some(()) = falls.recv() => {
                listener = None;
                connections.shutdown().await;
            }
        }
    }
}

/// Listens on the address again. Retries because the former listener may not be closed yet.
async fn rebind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let mut attempts = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(_) if attempts < MAX_BIND_ATTEMPTS => attempts += 1,
            other => return other,
        }
        tokio::time::sleep(BIND_RETRY_INTERVAL).await;
    }
}

impl Server {
    fn new(config: ServerConfig, events: EventSender) -> Server {
        let now = Instant::now();
        Server {
            started: now,
            warming_since: Cell::new(config.slow_start.then_some(now)),
            memory: RefCell::default(),
            link: RefCell::default(),
            link_changed: Notify::new(),
            transfers: RefCell::default(),
            overload: RefCell::default(),
            budget: RefCell::new(config.slow_start.then(|| budget(&config))),
            stopped_until: Cell::new(None),
            draining_since: Cell::new(None),
            slowdown: Cell::new(1.0),
            injected_breach: Cell::new(None),
            delay: Cell::new(0.0),
            requests_in_flight: Cell::new(0),
            fills_in_flight: Cell::new(0),
            peers: RefCell::default(),
            sources: RefCell::default(),
            collapsed: RefCell::default(),
            events,
            config,
        }
    }

    /// Returns the seconds since the start.
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Returns the share of the link's capacity that is available now.
    fn warmth(&self) -> f64 {
        let age = self.warming_since.get().map(|since| since.elapsed().as_secs_f64());
        self.config.spec.warmth(age)
    }

    /// Returns the present capacity of the link, in concurrent transfers at full speed.
    fn link_size(&self) -> f64 {
        self.config.spec.link * self.warmth() / self.slowdown.get()
    }

    fn restart_empty(&self) {
        *self.memory.borrow_mut() = CacheMemory::default();
        self.warming_since.set(Some(Instant::now()));
        *self.budget.borrow_mut() = Some(budget(&self.config));
    }

    fn apply(&self, command: ServerCommand) {
        match command {
            ServerCommand::Peers(peers) => *self.peers.borrow_mut() = peers,
            ServerCommand::Drain => self.draining_since.set(Some(Instant::now())),
            ServerCommand::Undrain => self.draining_since.set(None),
            ServerCommand::Slow(times) => self.slowdown.set(times.max(1e-3)),
            ServerCommand::Delay(seconds) => self.delay.set(seconds),
            ServerCommand::Plant(RuleBreach::SecretRestart) => self.restart_empty(),
            ServerCommand::Plant(breach) => self.injected_breach.set(Some(breach)),
            ServerCommand::Purge { .. } if self.injected_breach.get() == Some(RuleBreach::OldCopy) => {}
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

    async fn handle_request(
        self: &Rc<Self>,
        request: &ServerRequest,
        overloaded: &mpsc::UnboundedSender<()>,
    ) -> ServerReply {
        let spec = &self.config.spec;
        let class = self.config.kinds.iter().find(|k| k.name == request.kind);
        let (mean, write) = class.map_or((0.0, false), |k| (k.mean_kb, k.write));
        let kb = size_kb(&request.object, mean);
        let full = self.requests_in_flight.get() >= spec.slots;
        self.record(request, full);
        self.count_work(kb, mean, overloaded);
        if self.is_stopped() {
            return ServerReply::Other("EIO", "root_failed");
        }
        if full {
            return ServerReply::Other("AGAIN", "-");
        }
        let _in_flight = InFlightGuard::new(&self.requests_in_flight);
        let before = (spec.before + self.delay.get()) * self.slowdown.get();
        if before > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(before)).await;
        }
        if spec.role == Role::Origin {
            return self.serve_from_origin(request, write, kb).await;
        }
        if !write {
            if let Some(copy) = self.cached(request) {
                self.transfer(spec.work(kb)).await;
                return ServerReply::Copy { minted: copy.minted, note: "cached", lag: Duration::ZERO };
            }
        }
        let reply = match spec.role {
            Role::Cache => self.fill(request, write, kb).await,
            _ => self.fetch(request, write, kb).await,
        };
        if matches!(reply, ServerReply::Copy { .. }) {
            self.transfer(spec.work(kb)).await;
        }
        reply
    }

    /// Reports a request, and a second event if it arrived too late after the start of a drain.
    fn record(&self, request: &ServerRequest, full: bool) {
        let _ = self.events.send(ServerEvent::Asked { ms: unix_ms(), request: request.clone(), full });
        if self.draining_since.get().is_some_and(|at| at.elapsed() > DRAIN_GRACE) {
            let _ = self.events.send(ServerEvent::Drained(request.id.clone()));
        }
    }

    /// Counts the work of a request, and makes the server fail if it is overloaded.
    fn count_work(&self, kb: f64, mean_kb: f64, overloaded: &mpsc::UnboundedSender<()>) {
        let spec = &self.config.spec;
        // At a cache each attempt counts as the class's mean work, served or not. At parents and the origin a
        // request counts as the work of its own size.
        let work = if spec.role == Role::Cache { spec.work(mean_kb) } else { spec.work(kb) };
        let overrun = self.overload.borrow_mut().push(self.now(), work, self.warmth(), spec);
        // The plain limit, without the allowance for chance of the slow start budget, applies to cold servers
        // too.
        let overrun_cold = self.overloads_slow_start(work).unwrap_or(false);
        if overrun || overrun_cold {
            self.fail_by_overload(overloaded);
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped_until.get().is_some_and(|until| Instant::now() < until)
    }

    async fn serve_from_origin(&self, request: &ServerRequest, write: bool, kb: f64) -> ServerReply {
        if write {
            let times = if self.injected_breach.get() == Some(RuleBreach::DuplicateWrite) { 2 } else { 1 };
            (0..times).for_each(|_| drop(self.events.send(ServerEvent::Ran(request.id.clone()))));
        }
        let minted = unix_ms();
        self.transfer(self.config.spec.work(kb)).await;
        ServerReply::Copy { minted, note: "cached", lag: Duration::ZERO }
    }

    /// Returns the cached copy if it is within the request's age limit.
    fn cached(&self, request: &ServerRequest) -> Option<CachedCopy> {
        let copy = self.memory.borrow_mut().get(&request.key(), request.tier)?;
        let any = request.max_age_ms == 0 || self.injected_breach.get() == Some(RuleBreach::OldCopy);
        (any || unix_ms().saturating_sub(copy.minted) <= request.max_age_ms).then_some(copy)
    }

    /// Counts work in the slow start budget and returns whether it overloads the server. Returns `None` for a
    /// warm server and for the origin.
    fn overloads_slow_start(&self, work: f64) -> Option<bool> {
        let warmth = self.warmth();
        let mut budget = self.budget.borrow_mut();
        let budget = budget.as_mut().filter(|_| warmth < 1.0 && self.config.spec.role != Role::Origin)?;
        let window = budget.push(self.now(), work, warmth, &self.config.spec);
        let _ = self.events.send(ServerEvent::SlowStart(window));
        Some(window.share() > 1.0)
    }

    fn fail_by_overload(&self, overloaded: &mpsc::UnboundedSender<()>) {
        if self.is_stopped() {
            return;
        }
        let spec = &self.config.spec;
        let _ = self.events.send(ServerEvent::Fell { ms: unix_ms(), warming_up: self.warmth() < 1.0 });
        if spec.role == Role::Origin {
            self.stopped_until.set(Some(Instant::now() + Duration::from_secs_f64(spec.stop)));
        } else {
            let _ = overloaded.send(());
        }
    }
}
