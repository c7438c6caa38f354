//! Directors that talk among themselves: real processes, and a relay for each by which every way from one to another
//! can be hurt on its own: cut, lossy, doubling, late.
//!
//! Each director has a loopback address of its own and is advertised at its relay's, so all that the others say to it
//! passes there; who says it is known by the address that it comes from. Directors are ended by their ids when the
//! fleet is dropped.

use crate::harness::{Folder, Process};
use crate::replay::Failure;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpStream, UdpSocket};
use tokio::process::Command;
use tokio::task::JoinSet;

/// Where a director hears the others, its relay hears them for it, and its operators' door is.
const HEARS: u16 = 7301;
const RELAY: u16 = 7302;
const DOOR: u16 = 7303;
/// Directors of one fleet at most.
pub const MOST: usize = 1_000;

/// What happens to messages on one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// This share is lost; 1: the way is cut.
    pub lost: f64,
    /// This share comes twice.
    pub twice: f64,
    /// Each copy is late by anything up to so many milliseconds, so that they come out of order.
    pub late_ms: u64,
}

impl Way {
    /// Nothing arrives.
    pub const CUT: Way = Way { lost: 1.0, twice: 0.0, late_ms: 0 };
}

/// The ways between all directors of a fleet.
pub struct Net {
    ways: RefCell<HashMap<(usize, usize), Way>>,
    usual: Cell<Way>,
    random: RefCell<StdRng>,
    /// Datagrams and bytes that arrived at each.
    arrived: RefCell<Vec<(u64, u64)>>,
}

impl Net {
    /// Sets the way from one director to another.
    pub fn set(&self, from: usize, to: usize, way: Way) {
        self.ways.borrow_mut().insert((from, to), way);
    }

    /// Sets all ways, those set one by one too.
    pub fn set_all(&self, way: Way) {
        self.ways.borrow_mut().clear();
        self.usual.set(way);
    }

    /// Cuts all ways between some and the others, in both directions.
    pub fn cut(&self, some: &[usize], others: &[usize]) {
        for (a, b) in some.iter().flat_map(|a| others.iter().map(move |b| (*a, *b))) {
            self.set(a, b, Way::CUT);
            self.set(b, a, Way::CUT);
        }
    }

    /// Datagrams and bytes that arrived at a director so far.
    pub fn arrived(&self, at: usize) -> (u64, u64) {
        self.arrived.borrow()[at]
    }

    fn way(&self, from: usize, to: usize) -> Way {
        self.ways.borrow().get(&(from, to)).copied().unwrap_or(self.usual.get())
    }
}

/// How the directors of a fleet are set.
#[derive(Clone, Debug)]
pub struct Setup {
    /// How many there are.
    pub directors: usize,
    /// Further keys of the section `peers`, in YAML flow form: `horizon_s: 10`.
    pub keys: String,
    /// Each keeps its state in a folder of its own.
    pub lasting: bool,
    /// No file of the directors may grow over so many KB, as if their disk were full.
    pub disk_kb: Option<u32>,
    /// Seed of losses and delays.
    pub seed: u64,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup { directors: 5, keys: String::new(), lasting: false, disk_kb: None, seed: 1 }
    }
}

/// Lines of a director's log, with when they came.
type Log = Rc<RefCell<Vec<(Instant, String)>>>;

/// The relays of a fleet, and what of its directors' settings goes by them.
pub struct Relays {
    number: u8,
    directors: usize,
    /// The ways between them.
    pub net: Rc<Net>,
    _tasks: JoinSet<()>,
}

impl Relays {
    /// Opens a relay for each director, and writes the fleet's key into a folder. Needs a `LocalSet`.
    pub async fn open(directors: usize, seed: u64, folder: &Path) -> Result<Relays, Failure> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        if directors > MOST {
            return Err(format!("{directors} directors: {MOST} at most").into());
        }
        let number = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
        std::fs::write(folder.join("peers.key"), format!("{}\n", "c2VjcmV0".repeat(5)))?;
        let net = Rc::new(Net {
            ways: RefCell::default(),
            usual: Cell::default(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            arrived: RefCell::new(vec![(0, 0); directors]),
        });
        let mut tasks = JoinSet::new();
        for n in 0..directors {
            let socket = UdpSocket::bind((ip(number, n), RELAY)).await?;
            tasks.spawn_local(relay(Rc::new(socket), net.clone(), number, n));
        }
        Ok(Relays { number, directors, net, _tasks: tasks })
    }

    /// Where others reach a director.
    pub fn reached_at(&self, n: usize) -> SocketAddr {
        (ip(self.number, n), RELAY).into()
    }

    /// A director's door.
    pub fn door(&self, n: usize) -> SocketAddr {
        (ip(self.number, n), DOOR).into()
    }

    /// A director's operator's file, with further keys of the section `peers`.
    pub fn operator(&self, n: usize, keys: &str) -> String {
        let seeds: Vec<String> =
            (0..self.directors.min(3)).map(|s| format!("\"{}\"", self.reached_at(s))).collect();
        format!(
            "peers: {{listen: \"{}:{HEARS}\", advertise: \"{}\", name: director-{n}, fleet: lab, \
             key: peers.key, about: {}, seeds: [{}]{}{keys}}}\n",
            ip(self.number, n),
            self.reached_at(n),
            self.directors,
            seeds.join(", "),
            if keys.is_empty() { "" } else { ", " },
        )
    }
}

/// A fleet of directors that talk.
pub struct Fleet {
    setup: Setup,
    director: PathBuf,
    folder: Folder,
    relays: Relays,
    /// By director; none: not running.
    processes: Vec<Option<Process>>,
    logs: Vec<Log>,
    /// The ways between them.
    pub net: Rc<Net>,
}

/// The loopback address of a director: fleets of one process, and of two processes side by side, do not meet.
fn ip(net: u8, n: usize) -> Ipv4Addr {
    let process = 16 + (std::process::id() % 200) as u8;
    Ipv4Addr::new(127, process, net.wrapping_mul(4).wrapping_add((n / 250) as u8), (n % 250 + 1) as u8)
}

/// One call at a door.
pub async fn call(door: SocketAddr, line: &str) -> Result<String, Failure> {
    let whole = async {
        let mut stream = TcpStream::connect(door).await?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<String, Failure>(answer)
    };
    tokio::time::timeout(Duration::from_secs(3), whole).await?
}

impl Fleet {
    /// Opens the relays; no director runs yet. Needs a `LocalSet`.
    pub async fn prepare(director: &Path, setup: Setup) -> Result<Fleet, Failure> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("foxhold-talk-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let folder = Folder(folder);
        let relays = Relays::open(setup.directors, setup.seed, &folder.0).await?;
        let processes = (0..setup.directors).map(|_| None).collect();
        let logs = (0..setup.directors).map(|_| Log::default()).collect();
        let (director, net) = (director.canonicalize()?, relays.net.clone());
        Ok(Fleet { setup, director, folder, relays, processes, logs, net })
    }

    /// Opens the relays and starts all directors.
    pub async fn start(director: &Path, setup: Setup) -> Result<Fleet, Failure> {
        let mut fleet = Fleet::prepare(director, setup).await?;
        for some in (0..fleet.len()).collect::<Vec<_>>().chunks(50) {
            fleet.start_some(some).await?;
        }
        Ok(fleet)
    }

    /// Directors, running or not.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// The folder of a director's state.
    pub fn state_folder(&self, n: usize) -> PathBuf {
        self.folder.0.join(format!("state-{n}"))
    }

    /// Where others reach a director: its relay.
    pub fn reached_at(&self, n: usize) -> SocketAddr {
        self.relays.reached_at(n)
    }

    /// A director's door.
    pub fn door(&self, n: usize) -> SocketAddr {
        self.relays.door(n)
    }

    /// Starts some directors at once, and waits until each serves.
    pub async fn start_some(&mut self, some: &[usize]) -> Result<(), Failure> {
        let mut started = Vec::new();
        for n in some {
            started.push((*n, self.spawn(*n)?));
        }
        for (n, (process, mut lines)) in started {
            loop {
                let line = tokio::time::timeout(Duration::from_secs(30), lines.next_line()).await??;
                let line = line.ok_or_else(|| format!("director {n} ended at once\n{}", self.log(n)))?;
                let serves = line.contains("clients on ");
                self.logs[n].borrow_mut().push((Instant::now(), line));
                if serves {
                    break;
                }
            }
            // Its door opens just after.
            let begun = Instant::now();
            while TcpStream::connect(self.door(n)).await.is_err() && begun.elapsed() < Duration::from_secs(2)
            {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            self.processes[n] = Some(process);
            let log = self.logs[n].clone();
            tokio::task::spawn_local(async move {
                while let Ok(Some(line)) = lines.next_line().await {
                    log.borrow_mut().push((Instant::now(), line));
                }
            });
        }
        Ok(())
    }

    fn spawn(
        &self,
        n: usize,
    ) -> Result<(Process, tokio::io::Lines<BufReader<tokio::process::ChildStderr>>), Failure> {
        let folder = &self.folder.0;
        let config = folder.join(format!("config-{n}.json"));
        std::fs::write(&config, platform(self.door(n), n))?;
        let mut keys: Vec<String> = Vec::new();
        if self.setup.lasting {
            let state = self.state_folder(n);
            std::fs::create_dir_all(&state)?;
            keys.push(format!("folder: \"{}\"", state.display()));
        }
        keys.extend((!self.setup.keys.is_empty()).then(|| self.setup.keys.clone()));
        let operator = self.relays.operator(n, &keys.join(", "));
        let file = folder.join(format!("operator-{n}.yaml"));
        std::fs::write(&file, operator)?;
        let mut command = match self.setup.disk_kb {
            None => Command::new(&self.director),
            Some(kb) => {
                // The shell's blocks are of 512 bytes; the signal that comes with a file's limit is let be.
                let mut shell = Command::new("sh");
                let words = format!("trap '' XFSZ; ulimit -f {}; exec \"$0\"", 2 * kb);
                shell.arg("-c").arg(words).arg(&self.director);
                shell
            }
        };
        command.env("ROUTER_CONFIG", &config).env("FOXHOLD_FRONT", &file).env_remove("FOXHOLD_LOG");
        command.current_dir(folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.kill_on_drop(true).spawn()?;
        let lines = BufReader::new(child.stderr.take().ok_or("no log")?).lines();
        Ok((Process::new(child), lines))
    }

    /// From the next start on files may grow.
    pub fn disk_has_room(&mut self) {
        self.setup.disk_kb = None;
    }

    /// Kills a director (SIGKILL).
    pub async fn kill(&mut self, n: usize) {
        if let Some(mut process) = self.processes[n].take() {
            process.kill().await;
        }
    }

    /// Sends a signal to a director's process.
    pub fn signal(&mut self, n: usize, signal: Signal) {
        if let Some(process) = &mut self.processes[n] {
            process.signal(signal);
        }
    }

    /// The processor time that a director has used, in seconds.
    pub fn processor_time(&self, n: usize) -> Option<f64> {
        let id = self.processes[n].as_ref()?.id()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(") ").next()?.split(' ').collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        Some(ticks / 100.0)
    }

    /// A director's memory, in MB.
    pub fn memory(&self, n: usize) -> Option<f64> {
        let id = self.processes[n].as_ref()?.id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        Some(line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0)
    }

    /// Where a director's clients come to, in its present run.
    pub fn clients(&self, n: usize) -> Result<String, Failure> {
        let logs = self.logs[n].borrow();
        let line = logs.iter().rev().find_map(|(_, line)| line.split_once("clients on "));
        Ok(line.ok_or("it has not started")?.1.to_owned())
    }

    /// The fleet's keys.
    pub fn keys(&self) -> Result<Vec<Vec<u8>>, Failure> {
        let text = std::fs::read_to_string(self.folder.0.join("peers.key"))?;
        Ok(foxhold::peers::frame::parse_keys(&text)?)
    }

    /// What a director has logged, in all its runs.
    pub fn log(&self, n: usize) -> String {
        self.logs[n].borrow().iter().map(|(_, line)| format!("{line}\n")).collect()
    }

    /// When a director first logged a line that ends like this.
    pub fn logged(&self, n: usize, end: &str) -> Option<Instant> {
        self.logs[n].borrow().iter().find(|(_, line)| line.ends_with(end)).map(|(at, _)| *at)
    }

    /// A call at a director's door.
    pub async fn ask(&self, n: usize, line: &str) -> Result<String, Failure> {
        call(self.door(n), line).await
    }

    /// A director's entries of a kind, a line each; none: it does not answer.
    pub async fn state(&self, n: usize, kind: &str) -> Option<Vec<String>> {
        let answer = self.ask(n, &format!("state {kind}")).await.ok()?;
        let lines = answer.strip_suffix("END\n")?;
        Some(lines.lines().map(str::to_owned).collect())
    }

    /// What a director shows of its peers, as JSON.
    pub async fn shown(&self, n: usize) -> Result<serde_json::Value, Failure> {
        let answer = self.ask(n, "peers").await?;
        Ok(serde_json::from_str(answer.lines().next().unwrap_or_default())?)
    }

    /// Purges that a director says it holds.
    pub async fn purges_held(&self, n: usize) -> Result<u64, Failure> {
        Ok(self.shown(n).await?["entries"]["purges"].as_u64().unwrap_or(0))
    }

    /// Waits until some directors hold a kind of state that pleases, all of them; how long that took.
    pub async fn until(
        &self,
        some: &[usize],
        kind: &str,
        within: Duration,
        pleases: impl Fn(&[String]) -> bool,
    ) -> Result<Duration, Failure> {
        let begun = Instant::now();
        let mut left: Vec<usize> = some.to_vec();
        loop {
            let mut still = Vec::new();
            for n in left {
                match self.state(n, kind).await {
                    Some(state) if pleases(&state) => {}
                    _ => still.push(n),
                }
            }
            if still.is_empty() {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > within {
                let n = still[0];
                let state = self.state(n, kind).await;
                let log = self.log(n);
                return Err(
                    format!("{} not within {within:?}; director {n}: {state:?}\n{log}", still.len()).into()
                );
            }
            left = still;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until each of these sees so many others.
    pub async fn joined(&self, some: &[usize], others: usize, within: Duration) -> Result<Duration, Failure> {
        let begun = Instant::now();
        for n in some {
            loop {
                let seen = self.shown(*n).await.ok().and_then(|s| s["peers"].as_array().map(Vec::len));
                if seen.is_some_and(|seen| seen >= others) {
                    break;
                }
                if begun.elapsed() > within {
                    return Err(format!("director {n} sees {seen:?} others\n{}", self.log(*n)).into());
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(begun.elapsed())
    }
}

/// Takes what is said to one director and passes it on, by the way from who says it.
async fn relay(socket: Rc<UdpSocket>, net: Rc<Net>, number: u8, to: usize) {
    let target = SocketAddr::from((ip(number, to), HEARS));
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let Ok((size, from)) = socket.recv_from(&mut bytes).await else { continue };
        let SocketAddr::V4(v4) = from else { continue };
        let [_, _, third, last] = v4.ip().octets();
        let from = usize::from(third.wrapping_sub(number.wrapping_mul(4))) * 250 + usize::from(last) - 1;
        let way = net.way(from, to);
        let draw = |share: f64| share > 0.0 && net.random.borrow_mut().random::<f64>() < share;
        if draw(way.lost) {
            continue;
        }
        let copies = if draw(way.twice) { 2 } else { 1 };
        for _ in 0..copies {
            if let Some(seen) = net.arrived.borrow_mut().get_mut(to) {
                *seen = (seen.0 + 1, seen.1 + size as u64);
            }
            if way.late_ms == 0 {
                let _ = socket.try_send_to(&bytes[..size], target);
                continue;
            }
            let late = net.random.borrow_mut().random_range(0..=way.late_ms);
            let (socket, copy) = (socket.clone(), bytes[..size].to_vec());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(late)).await;
                let _ = socket.try_send_to(&copy, target);
            });
        }
    }
}

/// The platform's configuration of a director: a list of its own, no board, a door.
fn platform(door: SocketAddr, n: usize) -> String {
    let member = |name: &str, kind: &str, zone: &str, since: u64| {
        format!(
            r#"{{"id":"{name}","host_port":"127.0.0.1:1","locality":"{zone}","flavor":"{kind}","phase":"in_service","size":8,"up_since_ms":{since}}}"#
        )
    };
    let members = [
        member("cache-1", "cache", "branch", 0),
        member("cache-2", "cache", "branch", 0),
        member("parent-1", "parent", "hub", 0),
        member("origin", "origin", "hub", 0),
    ];
    format!(
        r#"{{"name":"director-{n}","listen":"{}:0","seed":"{n:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},
"board":"","ops":"{door}","known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
"settings":{{"balancers":1,"zone":"branch","zones":["hub","branch"],"kinds":["cache","parent","origin"],"weights":"nominal",
"services":[{{"name":"guide-videos","aimMs":400,"aimStretch":1.6,"deadlineMs":5000,"effect":"idempotent","worth":2}}],
"familyInfo":{{"midKind":1,"storeKind":2,"flowKbPerS":9500,"noteLevel":"all","passThroughOk":true,"passOn":[false,true],"instancesByZone":[0,1],"purgeGraceMs":1000,"purgeDoneMs":6000}},
"bounds":{{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":1000,"maxAttempts":6,"probes":true,"connectTimeoutMs":400,"connIdleMs":30000,"streamsPerConn":100}},
"rules":{{"stopSendingWithinMs":1000,"coldFrom":0.17,"warmWithinMs":16000,"fallMultiple":2.5,"overloadForMs":3000}}}}}}"#,
        door.ip(),
        members.join(",")
    )
}
