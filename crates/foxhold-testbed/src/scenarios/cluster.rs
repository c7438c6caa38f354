//! A fleet of director processes that gossip with each other, each through its own relay of a [`Network`].
//!
//! The processes are killed by their process ids when the fleet is dropped.

use crate::faults::peer_network::{call, Network, Relays};
use crate::scenarios::replay::TestbedError;
use crate::scenarios::runner::{Process, TemporaryFolder};
use rustix::process::{prlimit, Pid, Resource, Rlimit, Signal};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::Command;

/// How a fleet of directors is configured.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of directors.
    pub directors: usize,
    /// Further keys of the section `peers` in the operator's file, in YAML flow form: `horizon_s: 10`.
    pub keys: String,
    /// Each director persists its state, in its own folder.
    pub persistent: bool,
    /// Largest size of a file that directors write, in KB, to emulate a full disk. `None`: unlimited.
    pub file_limit_kb: Option<u32>,
    /// Seed of message loss and delays.
    pub seed: u64,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig { directors: 5, keys: String::new(), persistent: false, file_limit_kb: None, seed: 1 }
    }
}

/// Lines of a director's log, with the times at which they were read.
type Log = Rc<RefCell<Vec<(Instant, String)>>>;

/// A fleet of running or stopped directors that gossip with each other.
pub struct Fleet {
    config: FleetConfig,
    director: PathBuf,
    folder: TemporaryFolder,
    relays: Relays,
    /// By director; `None` if it is not running.
    processes: Vec<Option<Process>>,
    logs: Vec<Log>,
    /// Conditions of the paths between the directors.
    pub net: Rc<Network>,
}

impl Fleet {
    /// Opens the relays without starting a director. Needs a `LocalSet`.
    pub async fn prepare(director: &Path, config: FleetConfig) -> Result<Fleet, TestbedError> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("foxhold-talk-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let folder = TemporaryFolder(folder);
        let relays = Relays::open(config.directors, config.seed, &folder.0).await?;
        let processes = (0..config.directors).map(|_| None).collect();
        let logs = (0..config.directors).map(|_| Log::default()).collect();
        let (director, net) = (director.canonicalize()?, relays.net.clone());
        Ok(Fleet { config, director, folder, relays, processes, logs, net })
    }

    /// Opens the relays and starts all directors.
    pub async fn start(director: &Path, config: FleetConfig) -> Result<Fleet, TestbedError> {
        let mut fleet = Fleet::prepare(director, config).await?;
        for chosen in (0..fleet.len()).collect::<Vec<_>>().chunks(50) {
            fleet.start_directors(chosen).await?;
        }
        Ok(fleet)
    }

    /// Returns the number of directors, running or not.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Returns whether the fleet has no directors.
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Returns the folder of a director's persisted state.
    pub fn state_folder(&self, n: usize) -> PathBuf {
        self.folder.0.join(format!("state-{n}"))
    }

    /// Returns the address of a director's relay, at which its peers reach it.
    pub fn relay_address(&self, n: usize) -> SocketAddr {
        self.relays.relay_address(n)
    }

    /// Returns the address of a director's admin endpoint.
    pub fn admin_address(&self, n: usize) -> SocketAddr {
        self.relays.admin_address(n)
    }

    /// Starts directors concurrently, and waits until each serves clients.
    pub async fn start_directors(&mut self, chosen: &[usize]) -> Result<(), TestbedError> {
        let mut started = Vec::new();
        for n in chosen {
            started.push((*n, self.spawn(*n)?));
        }
        for (n, (process, mut lines)) in started {
            loop {
                let line = tokio::time::timeout(Duration::from_secs(30), lines.next_line()).await??;
                let line = line.ok_or_else(|| {
                    format!("director {n} exited before it served clients; its log:\n{}", self.log(n))
                })?;
                let serves = line.contains("clients on ");
                self.logs[n].borrow_mut().push((Instant::now(), line));
                if serves {
                    break;
                }
            }
            // The admin endpoint opens shortly after the one for clients.
            let started_at = Instant::now();
            while TcpStream::connect(self.admin_address(n)).await.is_err()
                && started_at.elapsed() < Duration::from_secs(2)
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
    ) -> Result<(Process, tokio::io::Lines<BufReader<tokio::process::ChildStderr>>), TestbedError> {
        let folder = &self.folder.0;
        let config = folder.join(format!("config-{n}.json"));
        std::fs::write(&config, platform(self.admin_address(n), n))?;
        let mut keys: Vec<String> = Vec::new();
        if self.config.persistent {
            let state = self.state_folder(n);
            std::fs::create_dir_all(&state)?;
            keys.push(format!("folder: \"{}\"", state.display()));
        }
        keys.extend((!self.config.keys.is_empty()).then(|| self.config.keys.clone()));
        let operator = self.relays.operator(n, &keys.join(", "));
        let file = folder.join(format!("operator-{n}.yaml"));
        std::fs::write(&file, operator)?;
        let mut command = match self.config.file_limit_kb {
            None => Command::new(&self.director),
            Some(kb) => {
                // `ulimit -f` counts blocks of 512 bytes. SIGXFSZ is ignored, so that writes fail instead.
                let mut shell = Command::new("sh");
                let words = format!("trap '' XFSZ; ulimit -S -f {}; exec \"$0\"", 2 * kb);
                shell.arg("-c").arg(words).arg(&self.director);
                shell
            }
        };
        command.env("ROUTER_CONFIG", &config).env("FOXHOLD_FRONT", &file).env_remove("FOXHOLD_LOG");
        command.current_dir(folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.kill_on_drop(true).spawn()?;
        let lines =
            BufReader::new(child.stderr.take().ok_or("standard error of the child process is not piped")?)
                .lines();
        Ok((Process::new(child), lines))
    }

    /// Removes the limit of file sizes for directors that start from now on.
    pub fn lift_file_limit(&mut self) {
        self.config.file_limit_kb = None;
    }

    /// Removes the limit of file sizes of a running director.
    pub fn lift_file_limit_of(&self, n: usize) -> Result<(), TestbedError> {
        let id = self.processes[n]
            .as_ref()
            .and_then(Process::id)
            .ok_or_else(|| format!("director {n} is not running"))?;
        let unlimited = Rlimit { current: None, maximum: None };
        prlimit(Pid::from_raw(id as i32), Resource::Fsize, unlimited)?;
        Ok(())
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

    /// Returns the processor time that a director's process has used, in seconds.
    pub fn processor_time(&self, n: usize) -> Option<f64> {
        let id = self.processes[n].as_ref()?.id()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(") ").next()?.split(' ').collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        Some(ticks / 100.0)
    }

    /// Returns the resident memory of a director's process, in MB.
    pub fn memory(&self, n: usize) -> Option<f64> {
        let id = self.processes[n].as_ref()?.id()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        Some(line.split_whitespace().nth(1)?.parse::<f64>().ok()? / 1024.0)
    }

    /// Returns the address for clients that a director logged at its last start.
    pub fn clients(&self, n: usize) -> Result<String, TestbedError> {
        let logs = self.logs[n].borrow();
        let line = logs.iter().rev().find_map(|(_, line)| line.split_once("clients on "));
        Ok(line.ok_or_else(|| format!("director {n} has not logged its address for clients"))?.1.to_owned())
    }

    /// Returns the keys that authenticate the fleet's gossip.
    pub fn keys(&self) -> Result<Vec<Vec<u8>>, TestbedError> {
        let text = std::fs::read_to_string(self.folder.0.join("peers.key"))?;
        Ok(foxhold::cluster::parse_keys(&text)?)
    }

    /// Returns a director's log since the fleet was prepared, over all restarts.
    pub fn log(&self, n: usize) -> String {
        self.logs[n].borrow().iter().map(|(_, line)| format!("{line}\n")).collect()
    }

    /// Returns the time at which a director first logged a line with this end.
    pub fn logged(&self, n: usize, end: &str) -> Option<Instant> {
        self.logs[n].borrow().iter().find(|(_, line)| line.ends_with(end)).map(|(at, _)| *at)
    }

    /// Sends a command to a director's admin endpoint and returns the answer.
    pub async fn admin_call(&self, n: usize, line: &str) -> Result<String, TestbedError> {
        call(self.admin_address(n), line).await
    }

    /// Returns a director's replicated entries of a kind, one per line, or `None` if it does not answer.
    pub async fn state(&self, n: usize, kind: &str) -> Option<Vec<String>> {
        let answer = self.admin_call(n, &format!("state {kind}")).await.ok()?;
        let lines = answer.strip_suffix("END\n")?;
        Some(lines.lines().map(str::to_owned).collect())
    }

    /// Returns a director's answer to the admin command `peers`, as JSON.
    pub async fn peers_json(&self, n: usize) -> Result<serde_json::Value, TestbedError> {
        let answer = self.admin_call(n, "peers").await?;
        Ok(serde_json::from_str(answer.lines().next().unwrap_or_default())?)
    }

    /// Returns the number of purges that a director holds.
    pub async fn purge_count(&self, n: usize) -> Result<u64, TestbedError> {
        Ok(self.peers_json(n).await?["entries"]["purges"].as_u64().unwrap_or(0))
    }

    /// Waits until the entries of a kind satisfy `satisfied` at all of these directors. Returns the time that
    /// took.
    pub async fn wait_until(
        &self,
        chosen: &[usize],
        kind: &str,
        within: Duration,
        satisfied: impl Fn(&[String]) -> bool,
    ) -> Result<Duration, TestbedError> {
        let started_at = Instant::now();
        let mut waiting: Vec<usize> = chosen.to_vec();
        loop {
            let mut unsatisfied = Vec::new();
            for n in waiting {
                match self.state(n, kind).await {
                    Some(state) if satisfied(&state) => {}
                    _ => unsatisfied.push(n),
                }
            }
            if unsatisfied.is_empty() {
                return Ok(started_at.elapsed());
            }
            if started_at.elapsed() > within {
                let n = unsatisfied[0];
                let state = self.state(n, kind).await;
                let log = self.log(n);
                return Err(format!(
                    "{} directors did not reach the expected {kind} within {within:?}; director {n} holds \
                     {state:?}; its log:\n{log}",
                    unsatisfied.len()
                )
                .into());
            }
            waiting = unsatisfied;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until each of these directors has at least `others` peers. Returns the time that took.
    pub async fn wait_until_joined(
        &self,
        chosen: &[usize],
        others: usize,
        within: Duration,
    ) -> Result<Duration, TestbedError> {
        let started_at = Instant::now();
        for n in chosen {
            loop {
                let seen = self.peers_json(*n).await.ok().and_then(|s| s["peers"].as_array().map(Vec::len));
                if seen.is_some_and(|seen| seen >= others) {
                    break;
                }
                if started_at.elapsed() > within {
                    return Err(format!(
                        "director {n} has {seen:?} peers after {within:?}, expected {others}; its log:\n{}",
                        self.log(*n)
                    )
                    .into());
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(started_at.elapsed())
    }
}

/// Returns a director's platform configuration: a fixed list of servers, no discovery service, an admin
/// endpoint.
fn platform(admin: SocketAddr, n: usize) -> String {
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
"board":"","ops":"{admin}","known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
"settings":{{"balancers":1,"zone":"branch","zones":["hub","branch"],"kinds":["cache","parent","origin"],"weights":"nominal",
"services":[{{"name":"guide-videos","aimMs":400,"aimStretch":1.6,"deadlineMs":5000,"effect":"idempotent","worth":2}}],
"familyInfo":{{"midKind":1,"storeKind":2,"flowKbPerS":9500,"noteLevel":"all","passThroughOk":true,"passOn":[false,true],"instancesByZone":[0,1],"purgeGraceMs":1000,"purgeDoneMs":6000}},
"bounds":{{"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":1000,"maxAttempts":6,"probes":true,"connectTimeoutMs":400,"connIdleMs":30000,"streamsPerConn":100}},
"rules":{{"stopSendingWithinMs":1000,"coldFrom":0.17,"warmWithinMs":16000,"fallMultiple":2.5,"overloadForMs":3000}}}}}}"#,
        admin.ip(),
        members.join(",")
    )
}
