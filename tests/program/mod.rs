//! The program as a child process, with limits and files of its own, and what a test asks of it.
#![allow(dead_code, reason = "each test file uses a part of it")]

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::io::{BufRead, BufReader, Read};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A file in the tests' folder that is removed with the value.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new(name: &str, text: &str) -> Scratch {
        let path = std::env::temp_dir().join(format!("foxhold-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("a file");
        Scratch(path)
    }

    /// Puts another text in its place in one step.
    pub fn replace(&self, text: &str) {
        let beside = self.0.with_extension("new");
        std::fs::write(&beside, text).expect("a file");
        std::fs::rename(&beside, &self.0).expect("a file");
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A running program; it does not outlive a test that fails.
pub struct Program {
    child: Child,
    /// Where clients connect.
    pub address: String,
    /// The limit on descriptors that it was started with.
    limit: Option<u64>,
    log: Arc<Mutex<String>>,
}

/// How a program is started.
#[derive(Default)]
pub struct Start<'a> {
    pub config: Option<&'a Path>,
    pub operator: Option<&'a Path>,
    /// The process's own limit on descriptors.
    pub descriptors: Option<u64>,
    /// The clients' listening socket, held by the test.
    pub inherited: Option<&'a TcpListener>,
    /// The log's level; none: `info`.
    pub log_level: Option<&'a str>,
}

impl Start<'_> {
    pub fn spawn(&self) -> std::io::Result<Child> {
        let limit = self.descriptors.map(|n| format!("ulimit -n {n}; ")).unwrap_or_default();
        let socket = self.inherited.map_or("", |_| "exec 3<&0 0</dev/null; ");
        let mut command = Command::new("sh");
        command.args(["-c", &format!("{limit}{socket}exec \"$0\""), env!("CARGO_BIN_EXE_foxhold")]);
        command
            .env_remove("FOXHOLD_FRONT")
            .env_remove("ROUTER_FD")
            .env("FOXHOLD_LOG", self.log_level.unwrap_or("info"));
        command.current_dir(std::env::temp_dir()).stdout(Stdio::null()).stderr(Stdio::piped());
        command.env("ROUTER_CONFIG", self.config.expect("a configuration"));
        if let Some(operator) = self.operator {
            command.env("FOXHOLD_FRONT", operator);
        }
        if let Some(socket) = self.inherited {
            command.env("ROUTER_FD", "3").stdin(OwnedFd::from(socket.try_clone()?));
        }
        command.spawn()
    }

    /// Starts it and waits for its first line.
    pub fn run(&self) -> Program {
        let mut child = self.spawn().expect("the program");
        let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        let address = line.split(" on ").nth(1).unwrap_or_else(|| panic!("no address in '{line}'"));
        let address = address.trim_end().trim_end_matches(", inherited").to_owned();
        let lines = Arc::new(Mutex::new(line));
        let program = Program { child, address, limit: self.descriptors, log: lines.clone() };
        std::thread::spawn(move || keep(log, &lines));
        program
    }
}

fn keep(mut log: BufReader<ChildStderr>, lines: &Mutex<String>) {
    let mut bytes = [0; 4096];
    while let Ok(n @ 1..) = log.read(&mut bytes) {
        lines.lock().expect("a log").push_str(&String::from_utf8_lossy(&bytes[..n]));
    }
}

impl Program {
    /// One that was started and of which nothing is awaited.
    pub fn of(child: Child) -> Program {
        Program { child, address: String::new(), limit: None, log: Arc::default() }
    }

    fn id(&self) -> Pid {
        Pid::from_child(&self.child)
    }

    /// Its folder under `/proc`.
    pub fn process_folder(&self) -> PathBuf {
        PathBuf::from(format!("/proc/{}", self.child.id()))
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(self.id(), signal).expect("a process of our own");
    }

    /// The descriptors that it holds at this moment.
    pub fn descriptors(&self) -> usize {
        open_descriptors(self.child.id())
    }

    /// The number that its next descriptor will have, which has to be below its limit.
    pub fn lowest_free_descriptor(&self) -> u64 {
        let is_free = |n: &u64| !Path::new(&format!("/proc/{}/fd/{n}", self.child.id())).is_symlink();
        (0..).find(is_free).expect("a number")
    }

    /// Sets how many descriptors this process may hold from now on, within the limit of its start; those that
    /// are open stay.
    pub fn limit_descriptors(&self, most: u64) {
        let limit = Rlimit { current: Some(most), maximum: self.limit };
        prlimit(Some(self.id()), Resource::Nofile, limit).expect("a process of our own");
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("a log").clone()
    }

    /// Waits for its end, which must be a success.
    pub async fn end_well(self) {
        let status = self.end().await;
        assert!(status.success(), "{status}");
    }

    /// Waits for its end.
    pub async fn end(mut self) -> std::process::ExitStatus {
        for _ in 0..2_000 {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("it does not end");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn open_descriptors(process_id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, Iterator::count)
}

/// The highest number of descriptors that some programs were seen to hold together. A thread of its own takes
/// the samples, for a peak is over within milliseconds and the test's thread is busy with its clients then.
pub struct DescriptorPeak(Arc<AtomicUsize>);

impl DescriptorPeak {
    const SAMPLING_INTERVAL: Duration = Duration::from_millis(1);

    /// Takes samples until the value is dropped.
    pub fn of(programs: &[&Program]) -> DescriptorPeak {
        let process_ids: Vec<u32> = programs.iter().map(|program| program.child.id()).collect();
        let peak = Arc::new(AtomicUsize::new(0));
        let watched = Arc::downgrade(&peak);
        std::thread::spawn(move || {
            while let Some(peak) = watched.upgrade() {
                let held = process_ids.iter().map(|id| open_descriptors(*id)).sum();
                peak.fetch_max(held, Ordering::Relaxed);
                drop(peak);
                std::thread::sleep(Self::SAMPLING_INTERVAL);
            }
        });
        DescriptorPeak(peak)
    }

    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// One call at the operators' door; none: it was not answered in time.
pub async fn call(door: &str, line: &str) -> Option<String> {
    let answer = async {
        let mut stream = TcpStream::connect(door).await?;
        stream.write_all(line.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<_, std::io::Error>(answer)
    };
    timeout(Duration::from_secs(3), answer).await.ok()?.ok()
}

/// One request on a connection of its own; the status, or none where no whole head came in time.
pub async fn status(address: &str, request: &str) -> Option<u16> {
    let answer = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await?;
        Ok::<_, std::io::Error>(bytes)
    };
    let bytes = timeout(Duration::from_secs(8), answer).await.ok()?.ok()?;
    std::str::from_utf8(bytes.get(9..12)?).ok()?.parse().ok()
}

/// The example configuration with ports of its own.
pub fn config(sockets: usize, board: &str, ops: &str, [cache, parent, origin]: [&str; 3]) -> String {
    include_str!("../../examples/config.json")
        .replace("127.0.0.1:7100", "127.0.0.1:0")
        .replace("127.0.0.1:7200", board)
        .replace("127.0.0.1:7103", ops)
        .replace("127.0.0.1:7201", cache)
        .replace("127.0.0.1:7202", parent)
        .replace("127.0.0.1:7203", origin)
        .replace("\"sockets\": 1024", &format!("\"sockets\": {sockets}"))
}

/// The same without a discovery service and an admin endpoint, for tests of an origin only.
pub fn config_with_origin(origin: &str) -> String {
    config(1024, "", "", ["127.0.0.1:7201", "127.0.0.1:7202", origin])
}

/// An address where nobody listens; another test may be given it, which is not likely.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address").to_string()
}

pub fn read_request(id: u64, allow_ms: u64) -> String {
    format!(
        "GET /ops/guide-videos/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: {allow_ms}\r\n\
         Connection: close\r\n\r\n"
    )
}

pub fn write_request(id: u64, allow_ms: u64) -> String {
    format!(
        "PUT /ops/filing-submit/00000000000000aa HTTP/1.1\r\nX-Job-Id: {id:016x}\r\n\
         X-Allow-Ms: {allow_ms}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
}
