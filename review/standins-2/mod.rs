//! Stand-ins of the second review, with the standard library only: caches, parents and an origin that speak
//! the line protocol, a notice board, clients, and a runner that starts directors with the command of the
//! deploy file. A case is a program that uses them; see `review/build-2.sh`.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const COULD_NOT_RUN: i32 = 2;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- the record ----

/// The record of a run: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> Record {
        Record(Arc::new((Mutex::new(File::create(path).expect("record.txt")), Instant::now())))
    }

    pub fn ms(&self) -> u64 {
        self.0 .1.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let _ = writeln!(self.0 .0.lock().unwrap(), "{ms:>7} {text}");
    }
}

// ---- the servers ----

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    Cache,
    Parent,
    Origin,
}

/// A request that came whole to a server.
#[derive(Clone, Debug)]
pub struct Want {
    pub ms: u64,
    pub server: String,
    pub id: String,
    pub class: String,
    pub object: String,
    pub via: Option<String>,
    pub fresh: u64,
}

#[derive(Clone, Copy)]
pub struct Copy {
    pub minted: u64,
}

#[derive(Default)]
pub struct WorldState {
    kinds: HashMap<String, u8>,
    copies: HashMap<(String, String, String), Copy>,
    pub wants: Vec<Want>,
}

/// All servers with what they hold. A fill takes the copy of the source, or a new one from the origin.
#[derive(Clone)]
pub struct World {
    pub state: Arc<Mutex<WorldState>>,
    record: Record,
}

impl World {
    pub fn new(record: &Record) -> World {
        World { state: Arc::default(), record: record.clone() }
    }

    /// Starts a server on a free loopback port and returns its address.
    pub fn start(&self, id: &str, kind: Kind) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap().to_string();
        self.state.lock().unwrap().kinds.insert(id.into(), kind as u8);
        let (world, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, id) = (world.clone(), id.clone());
                thread::spawn(move || world.serve(&id, stream));
            }
        });
        address
    }

    pub fn wants_at(&self, server: &str) -> Vec<Want> {
        self.state.lock().unwrap().wants.iter().filter(|want| want.server == server).cloned().collect()
    }

    pub fn wants(&self) -> Vec<Want> {
        self.state.lock().unwrap().wants.clone()
    }

    fn serve(&self, id: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = match stream.try_clone() {
            Ok(out) => out,
            Err(_) => return,
        };
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if !matches!(input.read_line(&mut line), Ok(n) if n > 0) {
                return;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let answer = match words[..] {
                ["want", request, fields, length] => {
                    let length: usize = length.parse().unwrap_or(0);
                    let mut body = vec![0; length + 2];
                    if input.read_exact(&mut body).is_err() {
                        return;
                    }
                    self.answer(id, request, fields)
                }
                ["never_mind", _] => continue,
                ["there", tag] | ["busy", tag] => format!("{tag} READY - 0\r\n\r\n").into_bytes(),
                _ => return,
            };
            if out.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, server: &str, request: &str, fields: &str) -> Vec<u8> {
        let fields: HashMap<&str, &str> = fields.split(',').filter_map(|f| f.split_once('=')).collect();
        let text = |name: &str| fields.get(name).map(|v| (*v).to_owned());
        let number = |name: &str| fields.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let want = Want {
            ms: self.record.ms(),
            server: server.into(),
            id: request.into(),
            class: text("kind").unwrap_or_default(),
            object: text("obj").unwrap_or_default(),
            via: text("via"),
            fresh: number("fresh"),
        };
        let seg = text("seg").unwrap_or_default();
        let no_fetch = fields.get("opts").is_some_and(|o| o.split('+').any(|w| w == "no-fetch"));
        let (copy, note) = self.find_copy(&want, &seg, number("tier"), no_fetch);
        let outcome = copy.map_or("NOENT".to_owned(), |c| format!("ACK minted={}", c.minted));
        let via = want.via.clone().unwrap_or_else(|| "-".into());
        self.record.line(&format!(
            "server {server} want id={request} kind={} obj={} via={via} fresh={} -> {outcome} {note}",
            want.class, want.object, want.fresh
        ));
        let object = want.object.clone();
        self.state.lock().unwrap().wants.push(want);
        match copy {
            None => format!("{request} NOENT res={note} 0\r\n\r\n").into_bytes(),
            Some(copy) => {
                let body = format!("{object} minted={} \n{}", copy.minted, "x".repeat(1500));
                let mut answer = format!(
                    "{request} ACK tag=t{},minted={},res={note},lag=1 {}\r\n",
                    copy.minted,
                    copy.minted,
                    body.len()
                )
                .into_bytes();
                answer.extend_from_slice(body.as_bytes());
                answer.extend_from_slice(b"\r\n");
                answer
            }
        }
    }

    fn find_copy(&self, want: &Want, seg: &str, tier: u64, no_fetch: bool) -> (Option<Copy>, &'static str) {
        let now = unix_ms();
        let mut state = self.state.lock().unwrap();
        let key = |server: &str| (server.to_owned(), want.object.clone(), seg.to_owned());
        let will_do = |copy: &Copy| want.fresh == 0 || now.saturating_sub(copy.minted) <= want.fresh;
        let kind = |state: &WorldState, server: &str| state.kinds.get(server).copied().unwrap_or(0);
        if kind(&state, &want.server) == Kind::Origin as u8 {
            return (Some(Copy { minted: now }), "fetched_root");
        }
        if let Some(copy) = state.copies.get(&key(&want.server)).copied().filter(will_do) {
            return (Some(copy), "cached");
        }
        let source = match &want.via {
            Some(via) if *via != want.server => via.clone(),
            _ if kind(&state, &want.server) == Kind::Parent as u8 => {
                let copy = Copy { minted: now };
                state.copies.insert(key(&want.server), copy);
                return (Some(copy), "fetched_root");
            }
            _ => return (None, "up_empty"),
        };
        let held = state.copies.get(&key(&source)).copied().filter(will_do);
        let (copy, note) = match held {
            Some(copy) => (copy, "fetched"),
            None if no_fetch => return (None, "up_empty"),
            None => {
                let copy = Copy { minted: now };
                if kind(&state, &source) == Kind::Parent as u8 {
                    state.copies.insert(key(&source), copy);
                }
                (copy, "fetched_root")
            }
        };
        if tier > 0 {
            state.copies.insert(key(&want.server), copy);
        }
        (Some(copy), note)
    }
}

/// A member of the list, as the notice board writes it.
pub fn member(id: &str, address: &str, zone: &str, kind: &str, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"{zone}","flavor":"{kind}","cell":0,"phase":"{phase}","size":8,"up_since_ms":0}}"#
    )
}

// ---- the notice board ----

#[derive(Default)]
struct BoardState {
    events: Vec<BoardEvent>,
    /// How far what is told lies behind.
    lag: Duration,
}

struct BoardEvent {
    rev: u64,
    text: String,
    since: Instant,
}

/// The notice board of one director. Its events are numbered from 1 at each start of that director.
#[derive(Clone)]
pub struct Board {
    pub address: String,
    state: Arc<Mutex<BoardState>>,
    down: Arc<AtomicBool>,
    record: Record,
    name: String,
}

impl Board {
    pub fn start(name: &str, record: &Record) -> Board {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let board = Board {
            address: listener.local_addr().unwrap().to_string(),
            state: Arc::default(),
            down: Arc::default(),
            record: record.clone(),
            name: name.into(),
        };
        let served = board.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let board = served.clone();
                thread::spawn(move || board.serve(stream));
            }
        });
        board
    }

    /// Begins a new numbering with the whole list, and returns the value of `known`.
    pub fn begin(&self, members: &[String]) -> String {
        let event = pool_event(1, true, members);
        self.record.line(&format!("board {} begins: {event}", self.name));
        let first = BoardEvent { rev: 1, text: event.clone(), since: Instant::now() };
        self.state.lock().unwrap().events = vec![first];
        format!(r#"{{"rev":1,"notices":[{event}]}}"#)
    }

    /// Adds an event with changed members.
    pub fn change(&self, members: &[String]) {
        let mut state = self.state.lock().unwrap();
        let rev = state.events.last().map_or(1, |event| event.rev + 1);
        let text = pool_event(rev, false, members);
        self.record.line(&format!("board {} has: {text}", self.name));
        state.events.push(BoardEvent { rev, text, since: Instant::now() });
    }

    /// Tells all further events, and the number of the last one, this much later.
    pub fn set_lag(&self, ms: u64) {
        self.record.line(&format!("board {} runs {ms} ms behind", self.name));
        self.state.lock().unwrap().lag = Duration::from_millis(ms);
    }

    /// Breaks off all watches, and closes new ones without a word, or ends that.
    pub fn set_down(&self, down: bool) {
        self.record.line(&format!("board {} {}", self.name, if down { "breaks off" } else { "is back" }));
        self.down.store(down, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream) {
        let mut input = BufReader::new(match stream.try_clone() {
            Ok(stream) => stream,
            Err(_) => return,
        });
        let mut line = String::new();
        if self.down.load(Ordering::SeqCst) || !matches!(input.read_line(&mut line), Ok(n) if n > 0) {
            return;
        }
        let mut last: u64 = line.trim().strip_prefix("watch ").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut out = stream;
        let mut beat = Instant::now();
        while !self.down.load(Ordering::SeqCst) {
            let told: Vec<(u64, String)> = {
                let state = self.state.lock().unwrap();
                let told =
                    state.events.iter().filter(|event| event.rev == 1 || event.since.elapsed() >= state.lag);
                told.map(|event| (event.rev, event.text.clone())).collect()
            };
            for (rev, event) in told.iter().filter(|(rev, _)| *rev > last).cloned().collect::<Vec<_>>() {
                self.record.line(&format!("board {} tells event {rev}", self.name));
                if writeln!(out, "{event}").is_err() {
                    return;
                }
                last = rev;
            }
            if beat.elapsed() >= Duration::from_secs(1) {
                beat = Instant::now();
                let newest = told.last().map_or(0, |(rev, _)| *rev);
                if writeln!(out, "{newest}").is_err() {
                    return;
                }
            }
            sleep_ms(10);
        }
    }
}

fn pool_event(rev: u64, complete: bool, members: &[String]) -> String {
    format!(
        r#"{{"rev":{rev},"pool":{{"revision":{rev},"complete":{complete},"members":[{}]}}}}"#,
        members.join(",")
    )
}

// ---- directors ----

/// The settings of a small deployment, with the figures of the rules from our pages.
pub fn settings(directors: usize) -> String {
    format!(
        r#"{{"balancers":{directors},"zone":"edge","zones":["hub","edge"],"kinds":["standard-box","parent","origin"],
"weights":"rough","services":[
{{"name":"guide-videos","aimMs":400,"aimStretch":1.6,"deadlineMs":5000,"effect":"idempotent","worth":2}},
{{"name":"filing-submit","aimMs":700,"deadlineMs":3000,"effect":"at_most_once","worth":3}}],
"familyInfo":{{"midKind":1,"storeKind":2,"flowKbPerS":9500,"noteLevel":"all","passThroughOk":true,"peersFill":"any",
"passOn":[false,true],"instancesByZone":[0,{directors}],"purgeGraceMs":1000,"purgeDoneMs":6000}},
"bounds":{{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":1000,"maxAttempts":6,"probes":true,
"connectTimeoutMs":400,"connIdleMs":30000,"streamsPerConn":100}},
"rules":{{"stopSendingWithinMs":1000,"coldFrom":0.17,"warmWithinMs":16000,"fallMultiple":2.5,"overloadForMs":3000}}}}"#
    )
}

/// A free TCP and UDP port on the loopback address.
pub fn free_port() -> String {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = tcp.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address.to_string();
        }
    }
}

/// All processes that were started and not ended yet, by id.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// A run of a case: its folder for temporary files, its record and its time limit.
pub struct Run {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
}

impl Run {
    /// Begins a run. The first argument is the path of `record.txt`. Ends the run after 110 s.
    pub fn begin() -> Run {
        let path = PathBuf::from(std::env::args().nth(1).expect("the path of record.txt"));
        let root = std::env::current_dir().expect("the root of the repository");
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let record = Record::create(&path);
        // A fault of the case itself ends it as one that could not run.
        std::panic::set_hook(Box::new(|panic| {
            eprintln!("{panic}");
            end_children();
            std::process::exit(COULD_NOT_RUN);
        }));
        thread::spawn(|| {
            sleep_ms(110_000);
            end_children();
            eprintln!("the run took too long");
            std::process::exit(COULD_NOT_RUN);
        });
        Run { root, folder, record }
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        let temporary = self.folder.join(format!("{name}.new"));
        fs::write(&temporary, text).expect("a file");
        fs::rename(&temporary, &path).expect("a file");
        path
    }

    /// Ends all processes and the run.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        self.record.line(verdict);
        println!("{verdict}");
        end_children();
        let _ = fs::remove_dir_all(&self.folder);
        std::process::exit(code);
    }
}

pub fn end_children() {
    let mut children = CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A director, by the addresses that it keeps over restarts.
pub struct Director {
    pub name: String,
    pub listen: String,
    pub ops: String,
    config: PathBuf,
    front: PathBuf,
    log: PathBuf,
    pub pid: Option<u32>,
}

impl Director {
    pub fn new(run: &Run, name: &str) -> Director {
        Director {
            name: name.into(),
            listen: free_port(),
            ops: free_port(),
            config: run.folder.join(format!("{name}.json")),
            front: run.folder.join(format!("{name}.yaml")),
            log: run.folder.join(format!("{name}.log")),
            pid: None,
        }
    }

    /// Writes the platform's file.
    pub fn configure(&self, run: &Run, board: &str, known: &str, settings: &str) {
        let (name, listen, ops) = (&self.name, &self.listen, &self.ops);
        let seed = format!("{:016x}", unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15));
        run.write(
            &format!("{name}.json"),
            &format!(
                r#"{{"name":"{name}","listen":"{listen}","ops":"{ops}","seed":"{seed}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"board":"{board}","known":{known},
"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"settings":{settings}}}"#
            ),
        );
    }

    /// Writes the operators' own file.
    pub fn operate(&self, run: &Run, yaml: &str) {
        run.write(&format!("{}.yaml", self.name), yaml);
    }

    /// Starts the director with the command of the deploy file, and waits until it is ready.
    pub fn start(&mut self, run: &Run) {
        let deploy = fs::read_to_string(run.root.join("deploy/balancer.toml")).expect("the deploy file");
        let command = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("the line `run`");
        self.start_command(run, command.trim().trim_matches('"'));
    }

    /// Starts a command instead, such as a host application with the director as a library.
    pub fn start_command(&mut self, run: &Run, command: &str) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .current_dir(&run.root)
            .env("ROUTER_NAME", &self.name)
            .env("ROUTER_LISTEN", &self.listen)
            .env("ROUTER_CONFIG", &self.config)
            .env("FOXHOLD_FRONT", &self.front)
            .env("TMPDIR", &run.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let Ok(child) = child else { run.end(COULD_NOT_RUN, "the director can't be started") };
        self.pid = Some(child.id());
        CHILDREN.lock().unwrap().push(child);
        for _ in 0..500 {
            if matches!(
                exchange(&self.listen, "GET /alive HTTP/1.1\r\nHost: app.svc\r\n\r\n"),
                Some((200, _))
            ) {
                run.record.line(&format!("director {} is ready", self.name));
                return;
            }
            sleep_ms(20);
        }
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        run.end(COULD_NOT_RUN, &format!("the director {} is not ready: {log}", self.name));
    }

    /// Kills the director (SIGKILL) and waits for its end.
    pub fn kill(&mut self, run: &Run) {
        run.record.line(&format!("director {} is killed", self.name));
        let mut children = CHILDREN.lock().unwrap();
        if let Some(at) = children.iter().position(|child| Some(child.id()) == self.pid) {
            let mut child = children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
        self.pid = None;
    }

    /// Runs an operators' command at this director, and returns what it printed.
    pub fn command(&self, run: &Run, arguments: &[&str]) -> String {
        let output = Command::new(run.root.join("target/release/foxhold"))
            .args(arguments)
            .args(["--admin", &self.ops])
            .current_dir(&run.root)
            .output();
        let Ok(output) = output else { run.end(COULD_NOT_RUN, "an operators' command can't be started") };
        let text = String::from_utf8_lossy(&output.stdout).trim().to_owned();
        run.record.line(&format!("director {} command {arguments:?}: {text}", self.name));
        text
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

// ---- clients ----

/// An answer of a director: the status and the body.
pub type Answer = (u16, String);

/// Sends a request on a connection of its own and reads the answer.
pub fn exchange(address: &str, request: &str) -> Option<Answer> {
    let stream = TcpStream::connect(address).ok()?;
    exchange_on(&mut BufReader::new(stream), request)
}

/// Sends a request on an open connection and reads the answer.
pub fn exchange_on(stream: &mut BufReader<TcpStream>, request: &str) -> Option<Answer> {
    stream.get_ref().set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    stream.get_ref().set_nodelay(true).ok()?;
    stream.get_mut().write_all(request.as_bytes()).ok()?;
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let status: u16 = line.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).ok().filter(|n| *n > 0)?;
        let header = header.trim_end().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst) + (unix_ms() << 20);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

pub fn get_request(id: &str, object: &str) -> String {
    format!(
        "GET /ops/guide-videos/{object}?block=0 HTTP/1.1\r\nHost: app.svc\r\nX-Job-Id: {id}\r\nX-Allow-Ms: 3000\r\n\
         X-Family: 17\r\nX-Ram-Kb: 100\r\n\r\n"
    )
}

/// What a load has counted.
#[derive(Default, Debug, Clone)]
pub struct Counts {
    pub sent: u64,
    pub served: u64,
    pub other: u64,
}

/// Clients that ask one director for guide-videos, each on a connection of its own, until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    counts: Arc<Mutex<Counts>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    /// Starts `clients` clients, which wait `pause_ms` after each answer and ask for `objects` objects in turn.
    pub fn start(run: &Run, listen: &str, clients: u64, pause_ms: u64, objects: u64) -> Load {
        let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Counts::default())));
        let client_thread = |client: u64| {
            let (stop, counts, record) = (stop.clone(), counts.clone(), run.record.clone());
            let listen = listen.to_owned();
            thread::spawn(move || {
                let mut connection = None;
                let mut number = client;
                while !stop.load(Ordering::SeqCst) {
                    number += clients;
                    let object = object_name(number % objects);
                    let id = new_id();
                    if connection.is_none() {
                        connection = TcpStream::connect(&listen).ok().map(BufReader::new);
                    }
                    let answer = connection.as_mut().and_then(|c| exchange_on(c, &get_request(&id, &object)));
                    let mut counts = counts.lock().unwrap();
                    counts.sent += 1;
                    match &answer {
                        Some((200, _)) => counts.served += 1,
                        _ => counts.other += 1,
                    }
                    drop(counts);
                    let status = answer.as_ref().map_or("none".into(), |a| a.0.to_string());
                    record.line(&format!("client id={id} obj={object} status={status}"));
                    if answer.is_none() {
                        connection = None;
                    }
                    sleep_ms(pause_ms);
                }
            })
        };
        let threads = (0..clients).map(client_thread).collect();
        Load { stop, counts, threads }
    }

    pub fn counts(&self) -> Counts {
        self.counts.lock().unwrap().clone()
    }

    pub fn stop(self) -> Counts {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        let counts = self.counts.lock().unwrap().clone();
        counts
    }
}

/// The names of the objects spread evenly over all 64 bits.
pub fn object_name(number: u64) -> String {
    format!("{:016x}", (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// The Unix millisecond at which the origin gave out the copy in a body.
pub fn minted(body: &str) -> Option<u64> {
    body.split("minted=").nth(1)?.split(' ').next()?.parse().ok()
}

pub fn distinct(wants: &[Want]) -> HashSet<String> {
    wants.iter().map(|want| want.id.clone()).collect()
}

// ---- a small deployment ----

/// The servers of a small deployment: four caches in one zone, two parents and the origin at a hub.
pub struct Fleet {
    pub world: World,
    servers: Vec<(&'static str, String, &'static str, &'static str)>,
}

pub const CACHES: [&str; 4] = ["s-00000001", "s-00000002", "s-00000003", "s-00000004"];

impl Fleet {
    pub fn start(record: &Record) -> Fleet {
        let world = World::new(record);
        let caches = CACHES.iter().map(|id| (*id, Kind::Cache, "edge", "standard-box"));
        let others = [
            ("s-00000011", Kind::Parent, "hub", "parent"),
            ("s-00000012", Kind::Parent, "hub", "parent"),
            ("s-00000021", Kind::Origin, "hub", "origin"),
        ];
        let all = caches.chain(others);
        let servers = all.map(|(id, kind, zone, flavor)| (id, world.start(id, kind), zone, flavor)).collect();
        Fleet { world, servers }
    }

    /// The lines of the list: every server in service but those in `phases`. A phase of "" leaves one out.
    pub fn members(&self, phases: &[(&str, &str)]) -> Vec<String> {
        let all = self.servers.iter().map(|(id, address, zone, flavor)| {
            let phase = phases.iter().find(|p| p.0 == *id).map_or("in_service", |p| p.1);
            if phase.is_empty() {
                String::new()
            } else {
                member(id, address, zone, flavor, phase)
            }
        });
        all.filter(|line| !line.is_empty()).collect()
    }

    /// The line of one server.
    pub fn member(&self, id: &str, phase: &str) -> String {
        let (id, address, zone, flavor) = self.servers.iter().find(|s| s.0 == id).expect("a server");
        member(id, address, zone, flavor, phase)
    }

    /// The list in xDS form: every server HEALTHY but those in `health`. A status of "" leaves one out.
    pub fn xds(&self, version: u32, health: &[(&str, &str)]) -> String {
        let cluster = |flavor: &str| {
            let of_kind = self.servers.iter().filter(|s| s.3 == flavor);
            let zone = of_kind.clone().next().map_or("", |s| s.2);
            let entries: Vec<String> = of_kind
                .filter_map(|(id, address, _, _)| {
                    let status = health.iter().find(|h| h.0 == *id).map_or("HEALTHY", |h| h.1);
                    let (host, port) = address.split_once(':')?;
                    (!status.is_empty()).then(|| {
                        format!(
                            r#"{{"endpoint":{{"hostname":"{id}","address":{{"socket_address":{{"address":"{host}","port_value":{port}}}}}}},"health_status":"{status}","load_balancing_weight":8}}"#
                        )
                    })
                })
                .collect();
            format!(
                r#"{{"@type":"type.googleapis.com/envoy.config.cluster.v3.Cluster","name":"{flavor}","type":"STATIC","load_assignment":{{"cluster_name":"{flavor}","endpoints":[{{"locality":{{"zone":"{zone}"}},"lb_endpoints":[{}]}}]}}}}"#,
                entries.join(",")
            )
        };
        let clusters = ["standard-box", "parent", "origin"].map(cluster).join(",");
        format!(r#"{{"version_info":"{version}","resources":[{clusters}]}}"#)
    }
}

/// The key file of the gossip, in base64url.
pub const PEERS_KEY: &str = "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY\n";

/// The section `peers` of an operators' file.
pub fn peers_section(name: &str, listen: &str, seeds: &[&str], more: &str) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "peers:\n  listen: \"{listen}\"\n  name: {name}\n  fleet: ledger\n  key: peers.key\n  seeds: [{}]\n  about: {}\n{more}",
        seeds.join(", "),
        seeds.len() + 1
    )
}

/// The rule on drains: nothing new to a server later than 1 s after the director was told that it drains or
/// is gone. On sockets every time limit is 50 ms longer.
pub const DRAIN_LIMIT_MS: u64 = 1_050;

/// Counts the requests that reached a server later than the rule allows, and records the count.
pub fn late_wants(run: &Run, world: &World, server: &str, told_ms: u64) -> usize {
    let from = told_ms + DRAIN_LIMIT_MS;
    let late: Vec<Want> = world.wants_at(server).into_iter().filter(|want| want.ms > from).collect();
    let span = match (late.first(), late.last()) {
        (Some(first), Some(last)) => format!(", from {} to {} ms", first.ms, last.ms),
        _ => String::new(),
    };
    run.record.line(&format!("judge: {} requests to {server} after {from} ms{span}", late.len()));
    late.len()
}

// ---- signed links ----

fn sha256(bytes: &[u8]) -> [u8; 32] {
    // FIPS 180-4. The constants are the fractional parts of the roots of the first primes.
    let primes: Vec<u64> = (2..).filter(|n| (2..*n).all(|d| n % d != 0)).take(64).collect();
    let root = |n: u64, degree: u32| -> u32 {
        // floor(frac(n^(1/degree)) * 2^32), by search: the largest x with x^degree <= n * 2^(32 * degree).
        let (mut low, mut high) = (0u128, 1u128 << 36);
        while high - low > 1 {
            let middle = (low + high) / 2;
            let fits = if degree == 2 {
                middle * middle <= u128::from(n) << 64
            } else {
                // middle^3 <= n * 2^96; both sides fit in 128 bits for middle < 2^36 and n < 2^9.
                middle * middle * middle <= u128::from(n) << 96
            };
            if fits {
                low = middle;
            } else {
                high = middle;
            }
        }
        low as u32
    };
    let k: Vec<u32> = primes.iter().map(|p| root(*p, 3)).collect();
    let mut h: Vec<u32> = primes.iter().take(8).map(|p| root(*p, 2)).collect();
    let mut message = bytes.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend_from_slice(&((bytes.len() as u64) * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut w: Vec<u32> =
            block.chunks(4).map(|word| u32::from_be_bytes([word[0], word[1], word[2], word[3]])).collect();
        for t in 16..64 {
            let s0 = w[t - 15].rotate_right(7) ^ w[t - 15].rotate_right(18) ^ (w[t - 15] >> 3);
            let s1 = w[t - 2].rotate_right(17) ^ w[t - 2].rotate_right(19) ^ (w[t - 2] >> 10);
            w.push(w[t - 16].wrapping_add(s0).wrapping_add(w[t - 7]).wrapping_add(s1));
        }
        let mut v = h.clone();
        for t in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let one = v[7].wrapping_add(s1).wrapping_add(choice).wrapping_add(k[t]).wrapping_add(w[t]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let two = s0.wrapping_add(majority);
            v.rotate_right(1);
            v[4] = v[4].wrapping_add(one);
            v[0] = one.wrapping_add(two);
        }
        h.iter_mut().zip(v).for_each(|(h, v)| *h = h.wrapping_add(v));
    }
    let mut digest = [0; 32];
    for (bytes, word) in digest.chunks_mut(4).zip(h) {
        bytes.copy_from_slice(&word.to_be_bytes());
    }
    digest
}

fn hmac_sha256(key: &[u8], message: &[u8]) -> [u8; 32] {
    let padded = |pad: u8| -> Vec<u8> { (0..64).map(|n| key.get(n).copied().unwrap_or(0) ^ pad).collect() };
    let inner = sha256(&[padded(0x36), message.to_vec()].concat());
    sha256(&[padded(0x5c), inner.to_vec()].concat())
}

fn base64url(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for digit in 0..=chunk.len() {
            text.push(DIGITS[(number >> (18 - 6 * digit)) as usize & 63] as char);
        }
    }
    text
}

const LINK_KEY: &[u8] = b"0123456789abcdef0123456789abcdef";

/// The key file of the frontend for signed links.
pub fn link_keys() -> String {
    format!(
        r#"{{"scheme":"http","keys":[{{"name":"k1","alg":"HMAC-SHA256","key":"{}"}}]}}"#,
        base64url(LINK_KEY)
    )
}

/// A request of a link that is signed for an hour.
pub fn signed_request(host: &str, path: &str) -> String {
    let expires = unix_ms() / 1000 + 3600;
    let signed = format!("{path}?Expires={expires}&KeyName=k1");
    let signature = base64url(&hmac_sha256(LINK_KEY, format!("http://{host}{signed}").as_bytes()));
    format!("GET {signed}&Signature={signature} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

/// Sends a signal to a process that the case started.
pub fn signal(name: &str, pid: u32) {
    let _ = Command::new("kill").args([name, &pid.to_string()]).status();
}

/// Asks an admin endpoint for one line.
pub fn admin_line(ops: &str, command: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(ops) else { return String::new() };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let _ = writeln!(stream, "{command}");
    let mut line = String::new();
    let _ = BufReader::new(stream).read_line(&mut line);
    line.trim_end().to_owned()
}
