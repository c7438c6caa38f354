//! Stand-ins for the cases of the review: caches, parents, the origin, the notice board, clients, and the
//! platform that starts a director. They speak the published protocol, use the standard library alone, and
//! listen on loopback addresses only.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// The record of a run: what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<Box<dyn Write + Send>>)>);

impl Record {
    /// Begins the file `record.txt` in the case's folder.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record(Arc::new((Instant::now(), Mutex::new(Box::new(file)))))
    }

    /// The record of a server in a process of its own: the case reads it from the process's output.
    fn to_output() -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(Box::new(std::io::stdout())))))
    }

    pub fn ms(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.0 .1.lock().unwrap();
        let _ = file.write_all(format!("{:>10.1} {}\n", self.ms(), text.as_ref()).as_bytes());
        let _ = file.flush();
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A small generator of pseudo-random numbers (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
}

// ---- caches, parents, origin ----

/// A request that has come whole to a server.
#[derive(Clone, Debug)]
pub struct Want {
    pub server: String,
    pub id: String,
    pub fields: HashMap<String, String>,
    pub body_bytes: usize,
    /// Milliseconds of the record's clock at which it had come whole.
    pub whole_at: f64,
}

impl Want {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |value| value)
    }
}

/// What a server does with a request.
pub enum Reply {
    /// Answers after this many milliseconds: the word, the fields and the bytes.
    Answer(u64, &'static str, String, Vec<u8>),
    /// The answer gets lost.
    Lost,
}

/// The bytes that the stand-ins hold for an object's part.
pub fn object_bytes(object: &str, part: &str) -> Vec<u8> {
    format!("object {object} part {part}\n").into_bytes()
}

/// A usual answer: the object's bytes, made lately.
pub fn served(after_ms: u64, want: &Want) -> Reply {
    let fields = format!("tag=aaaa0000bbbb1111,minted={},res=cached", unix_ms());
    Reply::Answer(after_ms, "ACK", fields, object_bytes(want.field("obj"), want.field("seg")))
}

/// A cache, a parent or the origin.
pub struct Server {
    pub id: String,
    pub address: String,
    wants: Arc<Mutex<Vec<Want>>>,
}

impl Server {
    pub fn start(id: &str, record: &Record, behave: impl Fn(&Want) -> Reply + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap().to_string();
        let wants = Arc::new(Mutex::new(Vec::new()));
        let (server, record, wants_of_server) = (id.to_owned(), record.clone(), wants.clone());
        let behave = Arc::new(behave);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (server.clone(), record.clone());
                let (wants, behave) = (wants_of_server.clone(), behave.clone());
                thread::spawn(move || serve_director(&server, stream, &record, &wants, &*behave));
            }
        });
        Server { id: id.to_owned(), address, wants }
    }

    /// Returns the requests that have come whole so far.
    pub fn wants(&self) -> Vec<Want> {
        self.wants.lock().unwrap().clone()
    }
}

fn serve_director(
    server: &str,
    stream: TcpStream,
    record: &Record,
    wants: &Mutex<Vec<Want>>,
    behave: &(dyn Fn(&Want) -> Reply + Send + Sync),
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let given_up: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["want", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                reader.read_exact(&mut body).ok()?;
                let pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
                let want = Want {
                    server: server.to_owned(),
                    id: id.to_owned(),
                    fields: pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
                    body_bytes: body.len() - 2,
                    whole_at: record.ms(),
                };
                record.line(format!("{server} got: {}", line.trim_end()));
                wants.lock().unwrap().push(want.clone());
                match behave(&want) {
                    Reply::Lost => record.line(format!("{server}: the answer to {id} gets lost")),
                    Reply::Answer(after_ms, word, fields, bytes) => {
                        let (writer, given_up, record) = (writer.clone(), given_up.clone(), record.clone());
                        let server = server.to_owned();
                        thread::spawn(move || {
                            thread::sleep(Duration::from_millis(after_ms));
                            if given_up.lock().unwrap().remove(&want.id) {
                                return;
                            }
                            record.line(format!("{server} ran {} and answers {word}", want.id));
                            let mut answer = format!("{} {word} {fields} {}\r\n", want.id, bytes.len()).into_bytes();
                            answer.extend_from_slice(&bytes);
                            answer.extend_from_slice(b"\r\n");
                            let _ = writer.lock().unwrap().write_all(&answer);
                        });
                    }
                }
            }
            ["never_mind", id] => {
                record.line(format!("{server}: {id} is given up"));
                given_up.lock().unwrap().insert(id.to_owned());
            }
            ["there" | "busy", tag] => {
                let answer = format!("{tag} READY gauges=util:0.3;x1:0.3 0\r\n\r\n");
                writer.lock().unwrap().write_all(answer.as_bytes()).ok()?;
            }
            _ => return None, // not to be read: close
        }
    }
}

/// A server in a process of its own, so that it can die as a process does.
pub struct ServerProcess {
    pub id: String,
    pub address: String,
    child: Child,
    wants: Arc<Mutex<Vec<Want>>>,
}

const SERVER_ROLE: &str = "server";

/// Runs as a server if the process was started as one. It answers each request after a time in milliseconds.
pub fn run_as_server() {
    let words: Vec<String> = std::env::args().collect();
    if words.get(1).map(String::as_str) != Some(SERVER_ROLE) {
        return;
    }
    let (id, after_ms) = (words[2].clone(), words[3].parse().unwrap());
    let record = Record::to_output();
    let server = Server::start(&id, &record, move |want| served(after_ms, want));
    record.line(format!("address {}", server.address));
    // Ends with the case: the case holds the other end of the standard input.
    let _ = std::io::stdin().read(&mut [0]);
    std::process::exit(0);
}

impl ServerProcess {
    pub fn start(id: &str, after_ms: u64, record: &Record) -> Option<ServerProcess> {
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args([SERVER_ROLE, id, &after_ms.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let mut lines = BufReader::new(child.stdout.take()?).lines();
        let first = lines.next()?.ok()?;
        let address = first.split_once("address ")?.1.to_owned();
        let wants: Arc<Mutex<Vec<Want>>> = Arc::default();
        let (record, server, kept) = (record.clone(), id.to_owned(), wants.clone());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let text = line.trim_start().split_once(' ').map_or("", |(_, text)| text);
                if let Some((_, command)) = text.split_once(" got: want ") {
                    let words: Vec<&str> = command.split(' ').collect();
                    let pairs = words[1].split(',').filter_map(|pair| pair.split_once('='));
                    kept.lock().unwrap().push(Want {
                        server: server.clone(),
                        id: words[0].to_owned(),
                        fields: pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
                        body_bytes: words[2].parse().unwrap_or(0),
                        whole_at: record.ms(),
                    });
                }
                record.line(text);
            }
        });
        Some(ServerProcess { id: id.to_owned(), address, child, wants })
    }

    pub fn wants(&self) -> Vec<Want> {
        self.wants.lock().unwrap().clone()
    }

    /// Kills the process; the system closes its connections.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- the notice board ----

/// A notice board: on `watch N` it tells all events after N, and the last number once a second.
pub struct Board {
    pub address: String,
    events: Arc<Mutex<Vec<String>>>,
}

impl Board {
    /// Starts a board whose event 1 is in the director's configuration.
    pub fn start(record: &Record) -> Board {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap().to_string();
        let events: Arc<Mutex<Vec<String>>> = Arc::default();
        let (told, record) = (events.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (told, record) = (told.clone(), record.clone());
                thread::spawn(move || tell(stream, &told, &record));
            }
        });
        Board { address, events }
    }

    /// Adds the next event: the text after its number, such as `"pool":{...}`.
    pub fn add(&self, text: &str) {
        let mut events = self.events.lock().unwrap();
        let number = events.len() + 2;
        events.push(format!("{{\"rev\":{number},{text}}}"));
    }
}

fn tell(stream: TcpStream, events: &Mutex<Vec<String>>, record: &Record) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    record.line(format!("board got: {}", line.trim_end()));
    let mut number: usize = line.trim_end().strip_prefix("watch ")?.parse().ok()?;
    let mut last_number_at: Option<Instant> = None;
    loop {
        let all = events.lock().unwrap().clone();
        for event in all.iter().skip(number - 1) {
            record.line(format!("board tells: {event}"));
            writer.write_all(format!("{event}\n").as_bytes()).ok()?;
            number += 1;
        }
        if last_number_at.is_none_or(|at| at.elapsed() >= Duration::from_secs(1)) {
            writer.write_all(format!("{}\n", all.len() + 1).as_bytes()).ok()?;
            last_number_at = Some(Instant::now());
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// A proxy that passes on what a server sends after a delay, and loses nothing.
pub struct Proxy {
    pub address: String,
    delay_ms: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(server: &str) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap().to_string();
        let delay_ms = Arc::new(AtomicU64::new(0));
        let (server, delay) = (server.to_owned(), delay_ms.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if let Ok(server) = TcpStream::connect(&server) {
                    pass_on(client, server, delay.clone());
                }
            }
        });
        Proxy { address, delay_ms }
    }

    /// Sets the delay of what the server sends from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }
}

fn pass_on(client: TcpStream, server: TcpStream, delay_ms: Arc<AtomicU64>) -> Option<()> {
    let (mut from_client, mut to_server) = (client.try_clone().ok()?, server.try_clone().ok()?);
    thread::spawn(move || {
        let _ = std::io::copy(&mut from_client, &mut to_server);
        let _ = to_server.shutdown(Shutdown::Both);
    });
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    let (mut from_server, mut to_client) = (server, client);
    thread::spawn(move || {
        let mut bytes = [0; 4096];
        while let Ok(read @ 1..) = from_server.read(&mut bytes) {
            let due = Instant::now() + Duration::from_millis(delay_ms.load(Ordering::Relaxed));
            let _ = sender.send((due, bytes[..read].to_vec()));
        }
    });
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to_client.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to_client.shutdown(Shutdown::Both);
    });
    Some(())
}

// ---- the platform ----

/// One entry of the list.
pub fn member(id: &str, address: &str, zone: &str, kind: &str, cell: u32, size: f64) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"{zone}","flavor":"{kind}","cell":{cell},"phase":"in_service","size":{size},"up_since_ms":0}}"#
    )
}

/// The zone of the director.
pub const ZONE: &str = "edge-1";
/// The transfer rate in the settings, in KB a second.
pub const FLOW_KB_PER_S: f64 = 9500.0;

/// The usual classes of the site ledger-branches.
pub const GUIDE_VIDEOS: &str = r#"{"aimMs":400.0,"aimStretch":1.6,"deadlineMs":5000.0,"effect":"idempotent","keyScope":"all","lateShare":0.15,"name":"guide-videos","streaming":false,"windowMs":5000.0,"worth":2.0}"#;
pub const PAGE_BITS: &str = r#"{"aimMs":250.0,"aimStretch":2.0,"deadlineMs":3000.0,"effect":"idempotent","keyScope":"all","lateShare":0.2,"name":"page-bits","streaming":false,"windowMs":5000.0,"worth":1.0}"#;
pub const FILING_SUBMIT: &str = r#"{"aimMs":700.0,"deadlineMs":3000.0,"effect":"at_most_once","keyScope":"all","lateShare":0.0,"name":"filing-submit","streaming":false,"windowMs":5000.0,"worth":3.0}"#;

/// The configuration of a director of the site ledger-branches, in the form of the deployment page, with the
/// settings of the wire page's example.
pub fn config(listen: &str, ops: &str, board: &str, members: &[String], classes: [&str; 3]) -> String {
    config_with_memory(listen, ops, board, members, classes, 192)
}

/// The same with this limit on memory, in MB.
pub fn config_with_memory(
    listen: &str,
    ops: &str,
    board: &str,
    members: &[String],
    classes: [&str; 3],
    memory_mb: u64,
) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","ops":"{ops}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},
"board":"{board}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"revision":1,"complete":true,"members":[{members}]}}}}]}},
"settings":{{"balancers":3,
"bounds":{{"cancel":true,"connIdleMs":30000.0,"connectTimeoutMs":400.0,"cpuUsPerRequest":0.0,"cpuUsPerS":608023,"maxAttempts":6,"maxOpen":24320,"maxRetryAfterMs":1000.0,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":100}},
"clients":{{"marksRetry":true}},"discovery":"push",
"familyInfo":{{"byteFee":0.02,"classGraceMs":[0.0,0.0,0.0],"classParts":[false,false,false],"collapses":false,"flowKbPerS":{FLOW_KB_PER_S:.1},"inletKbPerS":[0.0,0.0,0.0,0.0,0.0],"instancesByZone":[0,0,1,1,1],"lifetimeByClassMs":[0.0,0.0,0.0],"midKind":1,"noteLevel":"all","originBearsMs":3000.0,"originFallMultiple":2.5,"parentFloor":0.064,"parentLimitFactor":2.0,"parentWarmsInMs":21000.0,"passOn":[false,false,true],"passThroughOk":true,"peersFill":"any","purgeDoneMs":6000.0,"purgeGraceMs":1000.0,"reportX0":"share of hits, lately","reportX1":"a cache: transfers on its location's link over those that fit at full pace; a parent: fetches out","storeKind":2,"worthWhenOld":[0.7,0.7,0.7],"zoneHub":[0,1,1,0,1]}},
"goal":{{"whole":0.5,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.3}},
"kindOfService":"edge","kinds":["standard-box","parent","origin"],"overShareWorth":0.1,
"penalties":{{"connection":0.0,"crossZone":0.01,"discovery":0.0,"handshake":0.0,"lateFail":0.043,"moves":0.0,"origin":0.05,"peer":0.0,"probe":0.01,"waste":0.11}},
"quantumMs":2.0,"report":{{"names":["cpu","x1"],"source":"on_probe"}},
"rules":{{"answerSlackMs":8.0,"coldFrom":0.17,"fallMultiple":2.5,"mustAskInMs":10000.0,"overloadForMs":3000.0,"stopSendingWithinMs":1000.0,"warmWithinMs":16000.0}},
"services":[{a},{b},{c}],
"slotNo":0,"tenants":[],"tier":0,"tiers":["branch-cache"],"weights":"rough","worthBy":"request","zone":"{ZONE}",
"zones":["north-hub","south-hub","edge-1","edge-2","edge-3"]}}}}"#,
        members = members.join(","),
        a = classes[0],
        b = classes[1],
        c = classes[2]
    )
}

pub fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

/// A director, started by the command of the deploy file. It is killed when this value is dropped.
pub struct Director {
    pub listen: String,
    pub ops: String,
    child: Child,
    folder: PathBuf,
}

impl Director {
    /// Starts a director in `root` and waits until it answers `GET /alive`.
    pub fn start(root: &Path, run: &str, listen: &str, ops: &str, config: &str, record: &Record) -> Option<Director> {
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder).ok()?;
        std::fs::write(folder.join("config.json"), config).ok()?;
        let log = File::create(folder.join("log.txt")).ok()?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env_remove("FOXHOLD_FRONT")
            .env_remove("FOXHOLD_LOG")
            .env_remove("ROUTER_FD")
            .env("ROUTER_NAME", "n1")
            .env("ROUTER_LISTEN", listen)
            .env("ROUTER_OPS", ops)
            .env("ROUTER_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        STARTED.lock().unwrap().push(child.id());
        let director = Director { listen: listen.to_owned(), ops: ops.to_owned(), child, folder };
        record.line(format!("platform: started a director ({run}), clients at {listen}"));
        for _ in 0..1000 {
            if alive(listen) {
                record.line("platform: the director answers GET /alive with 200");
                return Some(director);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Replaces the configuration file in one step.
    pub fn replace_config(&self, config: &str) {
        let new = self.folder.join("config.new");
        std::fs::write(&new, config).unwrap();
        std::fs::rename(&new, self.folder.join("config.json")).unwrap();
    }

    /// Sends a signal to the program that `run` started.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("/bin/sh").args(["-c", "kill -\"$0\" \"$1\"", name, &pid]).status();
    }

    /// Returns the number of the director's process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the memory of the director's process in KiB, or `None` once it has ended.
    pub fn memory_kib(&self) -> Option<u64> {
        memory_kib(self.pid())
    }

    /// Returns whether the director has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the answer of the operators' door.
    pub fn ask(&self, call: &str) -> String {
        let mut answer = String::new();
        if let Ok(mut stream) = TcpStream::connect(&self.ops) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let _ = stream.write_all(format!("{call}\n").as_bytes());
            let _ = stream.read_to_string(&mut answer);
        }
        answer.replace('\n', " ")
    }

    /// Copies the director's log to the record.
    pub fn copy_log(&self, record: &Record) {
        let log = std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default();
        for line in log.lines().take(200) {
            record.line(format!("director's log: {line}"));
        }
    }
}

impl Drop for Director {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the memory of a process's own in KiB (resident, without what is mapped from files, such as the
/// program), or `None` once it has ended.
pub fn memory_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().split(' ').next()?.parse().ok()
}

fn alive(listen: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(listen) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(b"GET /alive HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.starts_with("HTTP/1.1 200")
}

// ---- clients ----

/// An answer as a client read it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub closes: bool,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(listen: &str) -> Option<Client> {
        let stream = TcpStream::connect(listen).ok()?;
        let _ = stream.set_nodelay(true);
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads one answer until `until`. `Err` says why there is none.
    pub fn answer(&mut self, until: Instant) -> Result<Answer, String> {
        let (mut status, mut length, mut closes) = (0, 0, false);
        for number in 0.. {
            let mut line = String::new();
            self.limit(until)?;
            match self.reader.read_line(&mut line) {
                Ok(0) => return Err("connection closed without an answer".into()),
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Err("no answer in time".into()),
                Err(error) => return Err(format!("connection broke without an answer: {error}")),
            }
            let line = line.trim_end();
            if number == 0 {
                status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).ok_or("not an answer")?;
            }
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().map_err(|_| "a bad length")?,
                    "connection" => closes = value.trim().eq_ignore_ascii_case("close"),
                    _ => {}
                }
            }
        }
        let mut body = vec![0; length];
        self.limit(until)?;
        self.reader.read_exact(&mut body).map_err(|error| format!("the answer is cut off: {error}"))?;
        Ok(Answer { status, body, closes })
    }

    fn limit(&self, until: Instant) -> Result<(), String> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time".into());
        }
        let _ = self.stream.set_read_timeout(Some(left));
        Ok(())
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// A read, as the protocol page words it.
pub fn get(class: &str, object: &str, id: &str, allow_ms: u64, kb: f64) -> Vec<u8> {
    format!(
        "GET /ops/{class}/{object} HTTP/1.1\r\nHost: app.svc\r\nX-Job-Id: {id}\r\nX-Allow-Ms: {allow_ms}\r\n\
         X-Family: 17\r\nX-Ram-Kb: {kb}\r\n\r\n"
    )
    .into_bytes()
}

/// A write with a body of this many bytes.
pub fn put(class: &str, object: &str, id: &str, allow_ms: u64, bytes: usize) -> Vec<u8> {
    let mut request = format!(
        "PUT /ops/{class}/{object} HTTP/1.1\r\nHost: app.svc\r\nX-Job-Id: {id}\r\nX-Allow-Ms: {allow_ms}\r\n\
         X-Family: 17\r\nX-Ram-Kb: 150\r\nContent-Length: {bytes}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + bytes, b'x');
    request
}

// ---- the run ----

/// The directors that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the process, with all that it started, once the time of a case is over.
pub fn limit_time(seconds: u64) -> Arc<AtomicBool> {
    let done = Arc::new(AtomicBool::new(false));
    let is_done = done.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        if !is_done.load(Ordering::Relaxed) {
            eprintln!("the case took too long");
            for pid in STARTED.lock().unwrap().iter() {
                let _ = Command::new("/bin/sh").args(["-c", "kill -KILL \"$0\"", &pid.to_string()]).status();
            }
            std::process::exit(COULD_NOT_RUN);
        }
    });
    done
}

/// What a script passes to a case: the repository's root, the path of its `record.txt`, the command `run` of the deploy
/// file, and whether there is a disruption.
pub struct Arguments {
    pub root: PathBuf,
    pub record: PathBuf,
    pub run: String,
    pub trouble: bool,
}

impl Arguments {
    pub fn read() -> Arguments {
        let words: Vec<String> = std::env::args().collect();
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        Arguments {
            root: PathBuf::from(&words[1]),
            record: PathBuf::from(&words[2]),
            run: words[3].clone(),
            trouble,
        }
    }
}
