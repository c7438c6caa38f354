//! A play of many processes: the director's, the stand-ins', the links between them, and what goes wrong.
//!
//! All are this play's own children; they are ended by their ids when it ends, is interrupted or panics. Directors get
//! the platform's configuration, each with addresses of its own where a link of its is to be hurt.

use crate::faults::peer_network::{call, LinkConditions, Relays};
use crate::faults::relay::{Link, LinkFault};
use crate::load::clients::{draw, object, Clients, PurgeRecord};
use crate::reports::scenario::{Observations, RunReport};
use crate::scenarios::replay::Failure;
use crate::scenarios::scenario::{Fault, FaultKind, RuleBreach, Scenario};
use crate::servers::emulated::{unix_ms, ContentClass, ServerCommand, ServerConfig, ServerEvent};
use crate::servers::model::{Role, ServerSpec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::{kill_process, Pid, Signal};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::process::{Child, ChildStdin, Command};
use tokio::sync::watch;

/// The list tells of a process that ended or started so many seconds late.
const DISCOVERY_DELAY_S: f64 = 1.5;
/// Seconds until a cache or parent that started cold is warm, and the share that it starts with.
const WARM_UP_S: f64 = 8.0;
const INITIAL_CAPACITY_SHARE: f64 = 0.17;
/// Sent more than so many times what it can do for `FALL_WINDOW` seconds, a cold server falls over.
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_WINDOW_S: f64 = 3.0;

/// The programs of a play.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The director's.
    pub director: PathBuf,
    /// The laboratory's own, for stand-ins.
    pub testbed: PathBuf,
    /// Where configurations are written; removed with all in it at the end.
    pub folder: PathBuf,
}

impl Programs {
    /// The director's program, with this one for stand-ins and a new folder under the temporary one.
    pub fn of(director: PathBuf) -> std::io::Result<Programs> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("foxhold-fleet-{}-{number}", std::process::id()));
        Ok(Programs { director, testbed: std::env::current_exe()?, folder })
    }
}

/// A child that ends with this.
pub(crate) struct Process {
    child: Child,
    pid: Option<Pid>,
    stdin: Option<ChildStdin>,
}

impl Process {
    pub(crate) fn new(mut child: Child) -> Process {
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let stdin = child.stdin.take();
        Process { child, pid, stdin }
    }

    pub(crate) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    pub(crate) fn signal(&mut self, signal: Signal) {
        // A child that has not been waited for keeps its id: nobody else can have it.
        if let (Some(pid), Ok(None)) = (self.pid, self.child.try_wait()) {
            let _ = kill_process(pid, signal);
        }
    }

    pub(crate) async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }
}

/// A stand-in or director: its process, and what is needed to start it once more.
#[derive(Default)]
struct Participant {
    process: RefCell<Option<Process>>,
    address: RefCell<String>,
    /// Unix milliseconds of a start after the play's beginning.
    since: Cell<u64>,
    /// Ends that nobody asked for.
    crashed: Cell<bool>,
}

/// News of the board.
#[derive(Clone, Debug)]
enum DiscoveryChange {
    Member { name: String, phase: &'static str, since: u64 },
    Purge(PurgeRecord),
}

struct ScenarioRun {
    plan: Scenario,
    programs: Programs,
    parts: BTreeMap<String, Rc<Participant>>,
    /// By who connects and to whom.
    links: RefCell<HashMap<(String, String), Link>>,
    discovery_log: RefCell<Vec<DiscoveryChange>>,
    discovery_length: watch::Sender<usize>,
    clients: Rc<Clients>,
    seen: Rc<RefCell<Observations>>,
    zero_ms: Cell<u64>,
    specs: BTreeMap<String, ServerSpec>,
    ending: Cell<bool>,
    /// Relays between directors, where they talk.
    gossip_relays: RefCell<Option<Relays>>,
}

/// Plays a plan. Needs a `LocalSet`; `progress` is told the seconds played.
pub async fn run(
    plan: &Scenario,
    programs: &Programs,
    progress: impl Fn(f64) + 'static,
) -> Result<RunReport, Failure> {
    // From the first process on: what is dropped here takes all of them with it.
    tokio::select! {
        biased;
        signal = interrupted() => Err(format!("{}; all processes of the run are ended", signal?).into()),
        played = run_to_end(plan, programs, progress) => played,
    }
}

async fn run_to_end(
    plan: &Scenario,
    programs: &Programs,
    progress: impl Fn(f64) + 'static,
) -> Result<RunReport, Failure> {
    plan.check()?;
    enough_descriptors(plan)?;
    std::fs::create_dir_all(&programs.folder)?;
    let _folder = TemporaryFolder(programs.folder.clone());
    let run = Rc::new(ScenarioRun::prepare(plan, programs).await?);
    if plan.peers {
        *run.gossip_relays.borrow_mut() =
            Some(Relays::open(plan.directors, plan.seed, &programs.folder).await?);
    }
    run.start_servers().await?;
    run.link_servers().await?;
    run.start_directors().await?;
    let arrivals = draw(plan, plan.warm_up_seconds);
    let zero = Instant::now() + Duration::from_secs_f64(plan.warm_up_seconds + 0.2);
    run.zero_ms.set(unix_ms() + ((plan.warm_up_seconds + 0.2) * 1e3) as u64);
    let faults = tokio::task::spawn_local(Rc::clone(&run).faults(zero));
    let ticker = tokio::task::spawn_local(async move {
        loop {
            progress(zero.elapsed().as_secs_f64());
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    });
    Rc::clone(&run.clients).run(arrivals, zero, plan.warm_up_seconds).await;
    ticker.abort();
    faults.abort();
    // What is still under way at servers is told before they end.
    tokio::time::sleep(Duration::from_millis(300)).await;
    run.ending.set(true);
    run.finish().await
}

/// Which signal came that ends a play.
pub async fn interrupted() -> std::io::Result<&'static str> {
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        ctrl_c = tokio::signal::ctrl_c() => ctrl_c.map(|()| "interrupted"),
        _ = term.recv() => Ok("told to end"),
    }
}

/// A folder that goes with this.
pub(crate) struct TemporaryFolder(pub(crate) PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Descriptors that this process needs: pipes, boards and clients of each director, pipes of servers, relays.
fn enough_descriptors(plan: &Scenario) -> Result<(), Failure> {
    let relays = plan.faults.iter().filter(|f| f.kind == FaultKind::Link).count() * plan.directors * 6;
    let needs = plan.directors * 10 + (plan.caches + plan.parents + 1) * 4 + relays + plan.rate as usize + 64;
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    if limit.is_some_and(|limit| limit < needs as u64) {
        return Err(format!(
            "descriptors: this run needs {needs}, the limit is {}: raise it (ulimit -n) or run with fewer directors",
            limit.unwrap_or(0)
        )
        .into());
    }
    Ok(())
}

fn role(name: &str) -> Role {
    match name.split('-').next() {
        Some("cache") => Role::Cache,
        Some("parent") => Role::Parent,
        _ => Role::Origin,
    }
}

impl ScenarioRun {
    async fn prepare(plan: &Scenario, programs: &Programs) -> Result<ScenarioRun, Failure> {
        let clients = Rc::new(Clients::new(plan));
        let mean = |c: &crate::scenarios::scenario::RequestClass| {
            c.share * c.work_ms / 1e3 * crate::load::clients::TRANSFER_KB_PER_S
        };
        let reads = plan.classes.iter().filter(|c| !c.write);
        let kb = reads.clone().map(mean).sum::<f64>() / reads.map(|c| c.share).sum::<f64>().max(1e-9);
        let all = kb * plan.objects as f64;
        let mut random = StdRng::seed_from_u64(plan.seed ^ 0x5eed);
        let mut specs = BTreeMap::new();
        for (name, count) in [("cache", plan.caches), ("parent", plan.parents), ("origin", 1)] {
            for n in 1..=count {
                let uneven = 1.0 + plan.uneven * (random.random::<f64>() * 2.0 - 1.0);
                let cold = ServerSpec {
                    flow: crate::load::clients::TRANSFER_KB_PER_S,
                    floor: INITIAL_CAPACITY_SHARE,
                    warm: WARM_UP_S,
                    multiple: OVERLOAD_MULTIPLE,
                    window: OVERLOAD_WINDOW_S,
                    ..ServerSpec::instant(role(name))
                };
                let spec = match role(name) {
                    Role::Cache => ServerSpec {
                        link: plan.cache_link * uneven,
                        slots: (plan.cache_link * uneven * 12.0) as usize,
                        fills: (plan.cache_link * 4.0) as usize,
                        memory: all * plan.cache_keeps,
                        ..cold
                    },
                    Role::Parent => ServerSpec {
                        link: plan.parent_link,
                        slots: (plan.parent_link * 12.0) as usize,
                        memory: all * 0.6,
                        flow: crate::load::clients::TRANSFER_KB_PER_S * 3.0,
                        ..cold
                    },
                    Role::Origin => ServerSpec {
                        link: plan.origin_rate * kb / crate::load::clients::TRANSFER_KB_PER_S / 3.0,
                        flow: crate::load::clients::TRANSFER_KB_PER_S * 3.0,
                        before: 0.03,
                        stop: 3.0,
                        floor: 1.0,
                        ..cold
                    },
                };
                specs.insert(format!("{name}-{n}"), spec);
            }
        }
        let names = specs.keys().cloned().chain((1..=plan.directors).map(|n| format!("director-{n}")));
        let parts = names.map(|name| (name, Rc::default())).collect();
        let seen = Rc::new(RefCell::new(Observations::default()));
        let (told, _) = watch::channel(0);
        let (plan, mut programs) = (plan.clone(), programs.clone());
        for program in [&mut programs.director, &mut programs.testbed] {
            *program = program.canonicalize().map_err(|e| format!("{}: {e}", program.display()))?;
        }
        Ok(ScenarioRun {
            plan,
            programs,
            parts,
            links: RefCell::default(),
            discovery_log: RefCell::default(),
            discovery_length: told,
            clients,
            seen,
            zero_ms: Cell::new(unix_ms()),
            specs,
            ending: Cell::new(false),
            gossip_relays: RefCell::default(),
        })
    }

    /// The links that some fault hurts: who connects to whom.
    fn faulty_links(&self) -> Vec<(String, String)> {
        let faults = self.plan.faults.iter().filter(|f| f.kind == FaultKind::Link);
        let mut pairs: Vec<(String, String)> = faults.flat_map(|f| pairs(&self.plan, f)).collect();
        pairs.sort();
        pairs.dedup();
        pairs
    }

    // ---- the servers ----

    async fn start_servers(&self) -> Result<(), Failure> {
        for name in self.specs.keys().filter(|name| !self.joins(name)) {
            self.start_server(name, false).await?;
        }
        Ok(())
    }

    /// Whether somebody is not there at the play's beginning.
    fn joins(&self, name: &str) -> bool {
        let joins = self.plan.faults.iter().filter(|f| f.kind == FaultKind::Join);
        joins.filter_map(|f| self.plan.resolve(&f.who)).any(|whom| whom.contains(name))
    }

    async fn start_server(&self, name: &str, cold: bool) -> Result<(), Failure> {
        let part = &self.parts[name];
        let kept = part.address.borrow().clone();
        let kinds = self.plan.classes.iter().map(|c| ContentClass {
            name: c.name.clone(),
            share: c.share,
            mean_kb: c.work_ms / 1e3 * crate::load::clients::TRANSFER_KB_PER_S,
            write: c.write,
        });
        let start = ServerConfig {
            name: name.into(),
            listen: if kept.is_empty() { "127.0.0.1:0".into() } else { kept },
            spec: self.specs[name].clone(),
            kinds: kinds.collect(),
            cold,
        };
        let mut command = Command::new(&self.programs.testbed);
        command.arg("emulate").arg(serde_json::to_string(&start)?);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null()).kill_on_drop(true);
        let mut child = command.spawn().map_err(|e| format!("{name}: {e}"))?;
        let mut lines = BufReader::new(child.stdout.take().ok_or("no output")?).lines();
        let process = Process::new(child);
        let first = tokio::time::timeout(Duration::from_secs(10), lines.next_line()).await;
        let first =
            first.map_err(|_| format!("{name} does not start"))??.ok_or(format!("{name} ended at once"))?;
        let ServerEvent::Listens(address) = serde_json::from_str(&first)? else {
            return Err(format!("{name}: {first}").into());
        };
        *part.address.borrow_mut() = address;
        *part.process.borrow_mut() = Some(process);
        if cold {
            part.since.set(unix_ms());
        }
        let (seen, name) = (Rc::clone(&self.seen), name.to_owned());
        tokio::task::spawn_local(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                if let Ok(note) = serde_json::from_str(&line) {
                    seen.borrow_mut().notes.push((name.clone(), note));
                }
            }
        });
        Ok(())
    }

    async fn tell(&self, name: &str, word: &ServerCommand) {
        let Ok(mut line) = serde_json::to_vec(word) else { return };
        line.push(b'\n');
        let pipe = self.parts[name].process.borrow_mut().as_mut().and_then(|p| p.stdin.take());
        let Some(mut pipe) = pipe else { return };
        // A server that is stopped reads later; what fits the pipe is enough for all that it is ever told.
        let _ = tokio::time::timeout(Duration::from_millis(200), pipe.write_all(&line)).await;
        if let Some(process) = self.parts[name].process.borrow_mut().as_mut() {
            process.stdin = Some(pipe);
        }
    }

    /// Where this one reaches that one: by a relay, where some fault hurts the link between them.
    fn reaches(&self, who: &str, whom: &str) -> String {
        let links = self.links.borrow();
        let link = links.get(&(who.to_owned(), whom.to_owned()));
        link.map_or_else(|| self.parts[whom].address.borrow().clone(), |link| link.address.clone())
    }

    async fn tell_peers(&self, name: &str) {
        let others = self.specs.keys().filter(|n| *n != name);
        let peers = others.map(|n| (n.clone(), self.reaches(name, n))).collect();
        self.tell(name, &ServerCommand::Peers(peers)).await;
    }

    /// Opens a relay for each link to a server that is to be hurt, and tells the servers of each other.
    async fn link_servers(&self) -> Result<(), Failure> {
        for (who, whom) in self.faulty_links().into_iter().filter(|pair| pair.1 != "board") {
            let address = self.parts[&whom].address.borrow().clone();
            let link = Link::open(address).await?;
            self.links.borrow_mut().insert((who, whom), link);
        }
        for name in self.specs.keys().filter(|name| !self.joins(name)) {
            self.tell_peers(name).await;
        }
        Ok(())
    }

    // ---- the board ----

    fn member(&self, director: &str, name: &str, phase: &str, since: u64) -> String {
        let spec = &self.specs[name];
        let (kind, address, size) = (spec.role.kind(), self.reaches(director, name), spec.link);
        let zone = if spec.role == Role::Cache { "branch" } else { "hub" };
        format!(
            r#"{{"id":"{name}","host_port":"{address}","locality":"{zone}","flavor":"{kind}","phase":"{phase}","size":{size:.3},"up_since_ms":{since}}}"#
        )
    }

    /// An event as a director is told of it.
    fn event(&self, director: &str, rev: usize, news: &DiscoveryChange) -> String {
        match news {
            DiscoveryChange::Member { name, phase, since } => {
                let member = self.member(director, name, phase, *since);
                format!(
                    r#"{{"rev":{rev},"pool":{{"revision":{rev},"complete":false,"members":[{member}]}}}}"#
                )
            }
            DiscoveryChange::Purge(PurgeRecord { object: Some(object), ms, .. }) => {
                format!(r#"{{"rev":{rev},"flush":{{"asset":"{object}","ms":{ms}}}}}"#)
            }
            // The news of a purge of many groups is one event for each.
            DiscoveryChange::Purge(PurgeRecord { groups, ms, .. }) => {
                let group = groups.first().copied().unwrap_or(0);
                format!(r#"{{"rev":{rev},"flush":{{"collection":{group},"ms":{ms}}}}}"#)
            }
        }
    }

    /// All events from the one after `last` on; the first is the whole list.
    fn events(&self, director: &str, last: usize) -> (Vec<String>, usize) {
        let news = self.discovery_log.borrow();
        let mut lines = Vec::new();
        if last < 1 {
            let listed = self.specs.keys().filter(|name| !self.joins(name));
            let members: Vec<String> = listed.map(|n| self.member(director, n, "in_service", 0)).collect();
            let members = members.join(",");
            lines.push(format!(
                r#"{{"rev":1,"pool":{{"revision":1,"complete":true,"members":[{members}]}}}}"#
            ));
        }
        let skip = last.max(1) - 1;
        lines.extend(news.iter().enumerate().skip(skip).map(|(n, e)| self.event(director, n + 2, e)));
        (lines, news.len() + 1)
    }

    fn publish(&self, news: DiscoveryChange) {
        self.discovery_log.borrow_mut().push(news);
        self.discovery_length.send_replace(self.discovery_log.borrow().len());
    }

    /// How late a director hears of the list.
    fn hears_after(&self, director: &str) -> Duration {
        let number = number_of(director).unwrap_or(0) as u64;
        let mut random = StdRng::seed_from_u64(self.plan.seed.wrapping_mul(1_000_003) ^ number);
        Duration::from_secs_f64(self.plan.list_late * random.random::<f64>())
    }

    /// The board as one director reaches it.
    async fn board(self: Rc<Self>, director: String, listener: TcpListener) {
        let mut followers = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let (run, director) = (Rc::clone(&self), director.clone());
            let mut told = self.discovery_length.subscribe();
            followers.spawn_local(async move {
                let (read, mut write) = stream.into_split();
                let (mut read, mut line) = (BufReader::new(read), String::new());
                if read.read_line(&mut line).await.is_err() {
                    return;
                }
                let mut last: usize =
                    line.trim().rsplit(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                loop {
                    let (lines, now) = run.events(&director, last);
                    last = now.max(last);
                    if !lines.is_empty() {
                        tokio::time::sleep(run.hears_after(&director)).await;
                    }
                    let text = if lines.is_empty() { format!("{last}\n") } else { lines.join("\n") + "\n" };
                    if write.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                    let _ = tokio::time::timeout(Duration::from_secs(1), told.changed()).await;
                }
            });
            while followers.try_join_next().is_some() {}
        }
    }

    // ---- the directors ----

    async fn start_directors(self: &Rc<Self>) -> Result<(), Failure> {
        for n in 1..=self.plan.directors {
            let name = format!("director-{n}");
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let mut board = listener.local_addr()?.to_string();
            tokio::task::spawn_local(Rc::clone(self).board(name.clone(), listener));
            let pair = (name.clone(), "board".to_owned());
            if self.faulty_links().contains(&pair) {
                let link = Link::open(board).await?;
                board = link.address.clone();
                self.links.borrow_mut().insert(pair, link);
            }
            self.seen.borrow_mut().boards.insert(name.clone(), board);
        }
        let names = (1..=self.plan.directors).map(|n| format!("director-{n}"));
        let there: Vec<String> = names.filter(|name| !self.joins(name)).collect();
        self.start_all(&there).await
    }

    /// Starts these directors side by side and waits until they listen.
    async fn start_all(self: &Rc<Self>, names: &[String]) -> Result<(), Failure> {
        let starts = names.iter().map(|name| {
            let (run, name) = (Rc::clone(self), name.clone());
            tokio::task::spawn_local(async move { run.start_director(&name).await })
        });
        for start in starts.collect::<Vec<_>>() {
            start.await??;
        }
        Ok(())
    }

    async fn start_director(self: &Rc<Self>, name: &str) -> Result<(), Failure> {
        let part = &self.parts[name];
        let kept = part.address.borrow().clone();
        let listen = if kept.is_empty() { "127.0.0.1:0".into() } else { kept };
        let number: u64 = name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let seed = self.plan.seed.wrapping_mul(1_000_003).wrapping_add(number) ^ part.since.get();
        let file = self.programs.folder.join(format!("{name}.json"));
        std::fs::write(&file, self.config(name, &listen, seed))?;
        let mut command = Command::new(&self.programs.director);
        command
            .env("ROUTER_CONFIG", &file)
            .env_remove("FOXHOLD_FRONT")
            .env_remove("FOXHOLD_LOG")
            .env_remove("ROUTER_FD")
            .current_dir(&self.programs.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        if let Some(relays) = self.gossip_relays.borrow().as_ref() {
            let operator = self.programs.folder.join(format!("{name}.yaml"));
            std::fs::write(&operator, relays.operator(number as usize - 1, ""))?;
            command.env("FOXHOLD_FRONT", operator);
        }
        let mut child = command.spawn().map_err(|e| format!("{name}: {e}"))?;
        let mut lines = BufReader::new(child.stderr.take().ok_or("no log")?).lines();
        *part.process.borrow_mut() = Some(Process::new(child));
        let mut first = String::new();
        while !first.contains("clients on ") {
            let line = tokio::time::timeout(Duration::from_secs(20), lines.next_line()).await;
            let line = line.map_err(|_| format!("{name} does not start"))??;
            first = line.ok_or(format!("{name} ended at once: {first}"))?;
        }
        let address = first.trim_end().rsplit(' ').next().filter(|a| a.contains(':'));
        let address = address.ok_or(format!("{name}: {first}"))?.to_owned();
        *part.address.borrow_mut() = address.clone();
        *self.clients.doors[number as usize - 1].address.borrow_mut() = address;
        let (seen, name, run) = (Rc::clone(&self.seen), name.to_owned(), Rc::downgrade(self));
        tokio::task::spawn_local(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                let mut seen = seen.borrow_mut();
                if line.contains("suspected") {
                    seen.suspicions.push((unix_ms(), name.clone()));
                } else if line.contains("panicked") {
                    seen.panics.push(format!("{name}: {line}"));
                }
            }
            // The log's end is the process's: one that nobody asked for is a crash.
            let Some(run) = run.upgrade().filter(|p| !p.ending.get()) else { return };
            let part = Rc::clone(&run.parts[&name]);
            let asked = part.process.borrow().is_none();
            drop(run);
            if !asked {
                part.crashed.set(true);
            }
        });
        Ok(())
    }

    /// The platform's configuration.
    fn config(&self, name: &str, listen: &str, seed: u64) -> String {
        let plan = &self.plan;
        let (notices, rev) = self.events(name, 0);
        let notices = notices.join(",");
        let board = self.seen.borrow().boards[name].clone();
        let ops = self.admin_address_of(name).map(|door| format!(r#","ops":"{door}""#)).unwrap_or_default();
        let list = |f: &dyn Fn(&crate::scenarios::scenario::RequestClass) -> String| {
            plan.classes.iter().map(f).collect::<Vec<_>>().join(",")
        };
        let services = list(&|c| {
            let effect = if c.write { "at_most_once" } else { "idempotent" };
            let (name, aim, stretch, give_up) = (&c.name, c.objective_ms, c.stretch, c.deadline_ms);
            format!(
                r#"{{"name":"{name}","aimMs":{aim},"aimStretch":{stretch},"deadlineMs":{give_up},"effect":"{effect}","worth":1}}"#
            )
        });
        let writes = list(&|c| c.write.to_string());
        let (directors, flow) = (plan.directors, crate::load::clients::TRANSFER_KB_PER_S);
        let (warm, window) = (WARM_UP_S * 1e3, OVERLOAD_WINDOW_S * 1e3);
        format!(
            r#"{{"name":"{name}","listen":"{listen}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},
"board":"{board}"{ops},"known":{{"rev":{rev},"notices":[{notices}]}},
"settings":{{"balancers":{directors},"zone":"branch","zones":["hub","branch"],"kinds":["cache","parent","origin"],
"weights":"nominal","services":[{services}],
"familyInfo":{{"midKind":1,"storeKind":2,"flowKbPerS":{flow},"noteLevel":"all","passThroughOk":true,"collapses":false,
"passOn":[{writes}],"instancesByZone":[0,{directors}],"purgeGraceMs":1000,"purgeDoneMs":6000,
"parentFloor":{INITIAL_CAPACITY_SHARE},"parentWarmsInMs":{warm},"parentLimitFactor":{OVERLOAD_MULTIPLE}}},
"bounds":{{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":1000,"maxAttempts":6,
"probes":true,"connectTimeoutMs":400,"connIdleMs":30000,"streamsPerConn":100}},
"rules":{{"stopSendingWithinMs":1000,"coldFrom":{INITIAL_CAPACITY_SHARE},"warmWithinMs":{warm},"fallMultiple":{OVERLOAD_MULTIPLE},"overloadForMs":{window}}}}}}}"#
        )
    }

    // ---- what goes wrong ----

    async fn faults(self: Rc<Self>, zero: Instant) {
        let mut due: Vec<(f64, Fault, bool)> = Vec::new();
        for fault in &self.plan.faults {
            due.push((fault.at, fault.clone(), true));
            due.extend(fault.lasts.map(|lasts| (fault.at + lasts, fault.clone(), false)));
        }
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut steps = tokio::task::JoinSet::new();
        for (at, fault, begins) in due {
            tokio::time::sleep_until((zero + Duration::from_secs_f64(at)).into()).await;
            let run = Rc::clone(&self);
            // Side by side: a restart of a hundred does not hold up what is due next.
            steps.spawn_local(async move {
                if let Err(error) = run.fault(&fault, begins).await {
                    run.seen.borrow_mut().panics.push(format!("fault at {at} s: {error}"));
                }
            });
            while steps.try_join_next().is_some() {}
        }
        while steps.join_next().await.is_some() {}
    }

    async fn fault(self: &Rc<Self>, fault: &Fault, begins: bool) -> Result<(), Failure> {
        let whom: Vec<String> = self.plan.resolve(&fault.who).unwrap_or_default().into_iter().collect();
        match fault.kind {
            FaultKind::Kill if begins => {
                for name in &whom {
                    self.disturb(name);
                    let process = self.parts[name].process.borrow_mut().take();
                    if let Some(mut process) = process {
                        process.kill().await;
                    }
                }
                if fault.lasts.is_none() {
                    self.back(&whom).await?;
                } else {
                    self.listed(&whom, "terminated", 0).await;
                }
            }
            FaultKind::Kill => self.back(&whom).await?,
            FaultKind::Join if begins => self.back(&whom).await?,
            FaultKind::Stall => {
                let signal = if begins { Signal::STOP } else { Signal::CONT };
                for name in &whom {
                    self.disturb(name);
                    self.with_target(name, |door| door.stopped.set(begins));
                    if let Some(process) = self.parts[name].process.borrow_mut().as_mut() {
                        process.signal(signal);
                    }
                }
            }
            FaultKind::Link => {
                for pair in pairs(&self.plan, fault) {
                    if let Some(link) = self.links.borrow().get(&pair) {
                        link.set(if begins { fault.link_fault } else { LinkFault::None });
                    }
                    if pair.1 == "board" {
                        self.with_target(&pair.0, |door| door.hears_late.set(true));
                    }
                }
            }
            FaultKind::Purge if begins => self.purge(fault).await?,
            FaultKind::Drain if begins => {
                for name in whom {
                    match &fault.by {
                        Some(by) => self.admin_command(by, &format!("drain {name}")).await?,
                        None => {
                            self.publish(DiscoveryChange::Member {
                                name: name.clone(),
                                phase: "terminating",
                                since: 0,
                            });
                        }
                    }
                    self.tell(&name, &ServerCommand::Drain).await;
                }
            }
            FaultKind::Undrain if begins => {
                for name in whom {
                    self.tell(&name, &ServerCommand::Undrain).await;
                    if let Some(by) = &fault.by {
                        self.admin_command(by, &format!("undrain {name}")).await?;
                    }
                }
            }
            FaultKind::GossipLink => {
                let hurt = LinkConditions { loss: fault.lost, duplication: 0.0, delay_ms: fault.late_ms };
                for (a, b) in pairs(&self.plan, fault).into_iter().filter(|(a, b)| a != b) {
                    let (Some(from), Some(to)) = (number_of(&a), number_of(&b)) else { continue };
                    if let Some(relays) = self.gossip_relays.borrow().as_ref() {
                        let way = if begins { hurt } else { LinkConditions::default() };
                        relays.net.set(from, to, way);
                        relays.net.set(to, from, way);
                    }
                    if hurt.loss >= 1.0 {
                        self.with_target(&a, |door| door.hears_late.set(true));
                        self.with_target(&b, |door| door.hears_late.set(true));
                    }
                }
            }
            FaultKind::Plant if begins => {
                for name in whom {
                    match fault.breach {
                        Some(RuleBreach::SecretDrain) => self.tell(&name, &ServerCommand::Drain).await,
                        Some(breach) => self.tell(&name, &ServerCommand::Plant(breach)).await,
                        None => {}
                    }
                }
            }
            FaultKind::Slow => {
                let times = if begins { fault.times } else { 1.0 };
                for name in whom {
                    self.tell(&name, &ServerCommand::Slow(times)).await;
                }
            }
            // Drawn with the load; or over at once.
            FaultKind::Hot
            | FaultKind::Burst
            | FaultKind::Join
            | FaultKind::Purge
            | FaultKind::Drain
            | FaultKind::Undrain
            | FaultKind::Plant => {}
        }
        Ok(())
    }

    /// Where a director's operators ask, where directors talk.
    fn admin_address_of(&self, name: &str) -> Option<SocketAddr> {
        Some(self.gossip_relays.borrow().as_ref()?.admin_address(number_of(name)?))
    }

    /// A director's operators say something, which is to be news.
    async fn admin_command(&self, director: &str, line: &str) -> Result<(), Failure> {
        let door = self.admin_address_of(director).ok_or("directors do not talk")?;
        let answer = call(door, line).await?;
        if answer.starts_with("YES") {
            Ok(())
        } else {
            Err(format!("{director}: {line}: {answer}").into())
        }
    }

    fn with_target(&self, name: &str, f: impl FnOnce(&crate::load::clients::DirectorTarget)) {
        if let Some(door) = number_of(name).and_then(|n| self.clients.doors.get(n)) {
            f(door);
        }
    }

    fn disturb(&self, name: &str) {
        self.with_target(name, |door| {
            door.disturbed.borrow_mut().push(Instant::now());
            door.hears_late.set(true);
        });
    }

    /// Starts these again: directors from nothing, servers cold and empty, of which the list tells later.
    async fn back(self: &Rc<Self>, whom: &[String]) -> Result<(), Failure> {
        let (directors, servers): (Vec<String>, Vec<String>) =
            whom.iter().cloned().partition(|n| n.starts_with("director"));
        for name in &directors {
            self.parts[name].since.set(unix_ms());
        }
        self.start_all(&directors).await?;
        for name in &servers {
            self.start_server(name, true).await?;
        }
        // One that joins has an address that nobody knew.
        for name in self.specs.keys().filter(|_| !servers.is_empty()) {
            self.tell_peers(name).await;
        }
        let since = unix_ms();
        self.listed(&servers, "in_service", since).await;
        Ok(())
    }

    /// The list tells of servers, late.
    async fn listed(&self, whom: &[String], phase: &'static str, since: u64) {
        let servers: Vec<&String> = whom.iter().filter(|n| self.specs.contains_key(*n)).collect();
        if !servers.is_empty() {
            tokio::time::sleep(Duration::from_secs_f64(DISCOVERY_DELAY_S)).await;
        }
        for name in servers {
            self.publish(DiscoveryChange::Member { name: name.clone(), phase, since });
        }
    }

    async fn purge(self: &Rc<Self>, fault: &Fault) -> Result<(), Failure> {
        let ms = unix_ms();
        let purged = if fault.object > 0 {
            vec![PurgeRecord { object: Some(object(fault.object)), groups: Vec::new(), ms }]
        } else {
            let groups = 0..(fault.share * 32.0).round() as u32;
            groups.map(|g| PurgeRecord { object: None, groups: vec![g], ms }).collect()
        };
        self.clients.book.borrow_mut().purges.extend(purged.iter().cloned());
        for purge in &purged {
            let word = match (&purge.object, purge.groups.first()) {
                (Some(object), _) => format!("purge object {object}"),
                (None, group) => format!("purge group {}", group.copied().unwrap_or(0)),
            };
            match &fault.by {
                Some(by) => self.admin_command(by, &word).await?,
                None => self.publish(DiscoveryChange::Purge(purge.clone())),
            }
        }
        // Servers drop their older copies by themselves, each in its own time.
        let mut random = StdRng::seed_from_u64(self.plan.seed ^ ms);
        for name in self.specs.keys().filter(|n| !n.starts_with("origin")) {
            let (run, name) = (Rc::clone(self), name.clone());
            let (purged, after) = (purged.clone(), random.random_range(0.1..4.0));
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(after)).await;
                for PurgeRecord { object, groups, ms } in purged {
                    run.tell(&name, &ServerCommand::Purge { object, groups, ms }).await;
                }
            });
        }
        Ok(())
    }

    /// Ends all and hands over what was seen.
    async fn finish(self: Rc<Self>) -> Result<RunReport, Failure> {
        for (name, part) in &self.parts {
            let process = part.process.borrow_mut().take();
            if let Some(mut process) = process {
                process.kill().await; // one that is stopped too
            }
            if part.crashed.get() {
                self.seen.borrow_mut().panics.push(format!("{name} ended by itself"));
            }
        }
        let seen = std::mem::take(&mut *self.seen.borrow_mut());
        let book = std::mem::take(&mut *self.clients.book.borrow_mut());
        Ok(RunReport::new(&self.plan, &self.specs, self.zero_ms.get(), seen, book))
    }
}

/// A director's place.
fn number_of(name: &str) -> Option<usize> {
    name.strip_prefix("director-")?.parse::<usize>().ok()?.checked_sub(1)
}

/// Who connects to whom on the links that a fault hurts.
fn pairs(plan: &Scenario, fault: &Fault) -> Vec<(String, String)> {
    let to = match fault.to.as_str() {
        "board" => vec!["board".to_owned()],
        other => plan.resolve(other).unwrap_or_default().into_iter().collect(),
    };
    let who = plan.resolve(&fault.who).unwrap_or_default();
    who.into_iter().flat_map(|w| to.iter().map(move |t| (w.clone(), t.clone())).collect::<Vec<_>>()).collect()
}
