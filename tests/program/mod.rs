//! Runs the `foxhold` binary as a child process with its own files and limits, and sends requests to it.
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

/// A file in the system's temporary folder that is removed when the value is dropped.
pub struct TempFile(pub PathBuf);

impl TempFile {
    pub fn new(name: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("foxhold-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("a writable temporary folder");
        TempFile(path)
    }

    /// Replaces the file's text atomically, by a rename.
    pub fn replace(&self, text: &str) {
        let new_path = self.0.with_extension("new");
        std::fs::write(&new_path, text).expect("a writable temporary folder");
        std::fs::rename(&new_path, &self.0).expect("a writable temporary folder");
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A running child process, killed when the value is dropped, also if the test fails.
pub struct Program {
    child: Child,
    /// The address of the platform's frontend.
    pub address: String,
    /// The hard limit on descriptors that it was started with; `None` if it inherited the test's.
    descriptor_limit: Option<u64>,
    log: Arc<Mutex<String>>,
}

/// The files of a process that gossips: its configuration, its key, and its operator's file.
pub struct GossipFiles {
    pub config: TempFile,
    operator: TempFile,
    _key: TempFile,
}

impl GossipFiles {
    /// Creates the files of a process that gossips at this address. `peers` are further keys of the section
    /// `peers`, `sections` further sections of the operator's file.
    pub fn new(address: &str, config: &str, peers: &str, sections: &str) -> GossipFiles {
        // Tests run beside each other, and their files are distinguished by the port.
        let port = address.rsplit(':').next().unwrap_or_default();
        let file = |kind: &str, text: &str| TempFile::new(&format!("gossip-{port}-{kind}"), text);
        let key = file("key", "c2VjcmV0c2VjcmV0c2VjcmV0\n");
        let key_file = key.0.display();
        let section = format!(
            "peers: {{listen: \"{address}\", name: \"d{port}\", fleet: example, key: {key_file}{peers}}}\n"
        );
        let operator = file("operator", &format!("{section}{sections}"));
        GossipFiles { config: file("config", config), operator, _key: key }
    }

    /// Starts a process with these files.
    pub fn start(&self) -> Program {
        let options = StartOptions {
            config: Some(&self.config.0),
            operator: Some(&self.operator.0),
            // The first line of the log has to name the address for clients.
            log_level: Some("info,foxhold::cluster=warn"),
            ..StartOptions::default()
        };
        options.start()
    }
}

/// Returns addresses on loopback for gossip, no two the same. The system could assign one to another test,
/// which is unlikely.
pub fn free_gossip_addresses<const N: usize>() -> [String; N] {
    let bind = || std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let sockets: [std::net::UdpSocket; N] = std::array::from_fn(|_| bind());
    sockets.each_ref().map(|socket| socket.local_addr().expect("a bound address").to_string())
}

/// Waits until a process lists this number of endpoints and excludes this number of them; fails after 10 s.
pub async fn wait_for_endpoints(admin: &str, known: usize, excluded: usize) {
    let expected = format!("\"caches_known\":{known},\"caches_excluded\":{excluded}");
    let mut metrics = String::new();
    for _ in 0..500 {
        metrics = send_command(admin, "vars\n").await.unwrap_or_default();
        if metrics.contains(&expected) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("expected {expected} in {metrics}");
}

/// The options with which a child process is started.
#[derive(Default)]
pub struct StartOptions<'a> {
    pub config: Option<&'a Path>,
    pub operator: Option<&'a Path>,
    /// The process's limit on descriptors; `None` inherits the test's.
    pub descriptors: Option<u64>,
    /// The listening socket for clients, which the process inherits from the test.
    pub inherited: Option<&'a TcpListener>,
    /// The log level; `None` means `info`.
    pub log_level: Option<&'a str>,
}

impl StartOptions<'_> {
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
        command.env("ROUTER_CONFIG", self.config.expect("the path of a configuration"));
        if let Some(operator) = self.operator {
            command.env("FOXHOLD_FRONT", operator);
        }
        if let Some(socket) = self.inherited {
            command.env("ROUTER_FD", "3").stdin(OwnedFd::from(socket.try_clone()?));
        }
        command.spawn()
    }

    /// Starts the process and waits for the first line of its log, which holds the address.
    pub fn start(&self) -> Program {
        let mut child = self.spawn().expect("the foxhold binary");
        let mut log = BufReader::new(child.stderr.take().expect("a piped log"));
        let mut line = String::new();
        log.read_line(&mut line).expect("the first line of the log");
        let address = line.split(" on ").nth(1).unwrap_or_else(|| panic!("no address in '{line}'"));
        let address = address.trim_end().trim_end_matches(", inherited").to_owned();
        let lines = Arc::new(Mutex::new(line));
        let program = Program { child, address, descriptor_limit: self.descriptors, log: lines.clone() };
        std::thread::spawn(move || collect_log(log, &lines));
        program
    }
}

/// Appends the process's log to `lines` until the process closes it.
fn collect_log(mut log: BufReader<ChildStderr>, lines: &Mutex<String>) {
    let mut bytes = [0; 4096];
    while let Ok(n @ 1..) = log.read(&mut bytes) {
        lines.lock().expect("an unpoisoned lock").push_str(&String::from_utf8_lossy(&bytes[..n]));
    }
}

impl Program {
    /// Wraps a child process without reading its log or its address.
    pub fn from_child(child: Child) -> Program {
        Program { child, address: String::new(), descriptor_limit: None, log: Arc::default() }
    }

    fn id(&self) -> Pid {
        Pid::from_child(&self.child)
    }

    /// Returns the process's folder under `/proc`.
    pub fn process_folder(&self) -> PathBuf {
        PathBuf::from(format!("/proc/{}", self.child.id()))
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(self.id(), signal).expect("a process that the test may control");
    }

    /// Returns how many descriptors the process has open.
    pub fn descriptors(&self) -> usize {
        open_descriptors(self.child.id())
    }

    /// Returns the number that the process's next descriptor will get. Opening one succeeds only if this
    /// number is below the process's limit.
    pub fn lowest_free_descriptor(&self) -> u64 {
        let is_free = |n: &u64| !Path::new(&format!("/proc/{}/fd/{n}", self.child.id())).is_symlink();
        (0..).find(is_free).expect("a free descriptor number")
    }

    /// Sets the process's soft limit on descriptors, within the limit it was started with. Open descriptors
    /// stay open.
    pub fn limit_descriptors(&self, soft_limit: u64) {
        let limit = Rlimit { current: Some(soft_limit), maximum: self.descriptor_limit };
        prlimit(Some(self.id()), Resource::Nofile, limit).expect("a process that the test may control");
    }

    /// Returns what the process has logged so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("an unpoisoned lock").clone()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits and checks that it exits with success.
    pub async fn wait_for_success(self) {
        let status = self.wait_for_exit().await;
        assert!(status.success(), "expected a successful exit, got {status}");
    }

    /// Waits until the process exits; panics if that takes longer than about 10 s.
    pub async fn wait_for_exit(mut self) -> std::process::ExitStatus {
        for _ in 0..2_000 {
            if let Some(status) = self.child.try_wait().expect("the state of the child process") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the process does not exit");
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

/// The highest total of descriptors sampled over some processes. A separate thread takes the samples, because
/// a peak lasts only milliseconds and the test's thread is busy with its clients meanwhile.
pub struct DescriptorPeak(Arc<AtomicUsize>);

impl DescriptorPeak {
    const SAMPLING_INTERVAL: Duration = Duration::from_millis(1);

    /// Starts sampling, which goes on until the value is dropped.
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

/// The highest memory of a process that was sampled, without what is mapped from files. A separate thread
/// takes the samples, because a peak can last only milliseconds.
pub struct MemoryPeak(Arc<AtomicUsize>);

impl MemoryPeak {
    const SAMPLING_INTERVAL: Duration = Duration::from_millis(2);

    /// Starts sampling, which goes on until the value is dropped.
    pub fn of(program: &Program) -> MemoryPeak {
        let status_file = program.process_folder().join("status");
        let peak = Arc::new(AtomicUsize::new(0));
        let watched = Arc::downgrade(&peak);
        std::thread::spawn(move || {
            while let Some(peak) = watched.upgrade() {
                peak.fetch_max(anonymous_kib(&status_file), Ordering::Relaxed);
                drop(peak);
                std::thread::sleep(Self::SAMPLING_INTERVAL);
            }
        });
        MemoryPeak(peak)
    }

    /// Returns the peak in KiB.
    pub fn kib(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Returns the process's anonymous memory in KiB, or 0 if it has ended.
fn anonymous_kib(status_file: &Path) -> usize {
    let status = std::fs::read_to_string(status_file).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|rest| rest.trim().strip_suffix(" kB")).and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

/// Sends a command to the admin endpoint and returns the answer, or `None` if it doesn't come within 3 s.
pub async fn send_command(admin: &str, line: &str) -> Option<String> {
    let answer = async {
        let mut stream = TcpStream::connect(admin).await?;
        stream.write_all(line.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<_, std::io::Error>(answer)
    };
    timeout(Duration::from_secs(3), answer).await.ok()?.ok()
}

/// Sends a request on a new connection and returns the status of the response, or `None` if the connection
/// fails or doesn't close within 8 s.
pub async fn request_status(address: &str, request: &str) -> Option<u16> {
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

/// Returns the example configuration with these addresses and limit on sockets, and any free port for
/// clients.
pub fn example_config(
    sockets: usize,
    discovery: &str,
    admin: &str,
    [cache, parent, origin]: [&str; 3],
) -> String {
    include_str!("../../examples/config.json")
        .replace("127.0.0.1:7100", "127.0.0.1:0")
        .replace("127.0.0.1:7200", discovery)
        .replace("127.0.0.1:7103", admin)
        .replace("127.0.0.1:7201", cache)
        .replace("127.0.0.1:7202", parent)
        .replace("127.0.0.1:7203", origin)
        .replace("\"sockets\": 1024", &format!("\"sockets\": {sockets}"))
}

/// Returns the example configuration with this origin, and without a discovery service and an admin endpoint.
pub fn config_with_origin(origin: &str) -> String {
    example_config(1024, "", "", ["127.0.0.1:7201", "127.0.0.1:7202", origin])
}

/// Returns an address on which no socket listens. The system could assign it to another test, which is
/// unlikely.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address").to_string()
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
