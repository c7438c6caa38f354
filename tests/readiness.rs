//! Readiness after restarts: processes restarted in the same second under each fault of the discovery
//! service, and processes killed while they start, become ready in time, and a process that is ready serves
//! requests.
//!
//! Starts 30 processes; `FOXHOLD_READINESS_PROCESSES=100` in the environment runs the full-size test.
#![cfg(feature = "cli")]

mod emulated;
mod program;

use emulated::{run_local, start_cache_parent_origin, EmulatedServer, ServerBehavior};
use foxhold::dispatch::{self, Clock, DispatcherMessage};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::upstream::UpstreamConnector;
use program::{
    example_config, read_request, request_status, send_command, write_request, Program, StartOptions,
    TempFile,
};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const COPY: ServerBehavior = ServerBehavior::Responds("ID ACK res=cached 5\r\nbytes\r\n");
const PROCESSES: usize = 30;
/// 90% of the processes must be ready this soon after the restart.
const P90_READY: Duration = Duration::from_secs(10);
/// All processes must be ready this soon after the restart.
const ALL_READY: Duration = Duration::from_secs(30);
/// The interval at which a process's readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ALIVE: &str = "GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n";
/// Spaces added to the full list, so that it is long enough to be sent in pieces.
const PADDING_BYTES: usize = 20_000;
const PIECE_BYTES: usize = 500;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);
/// The delay of a slow discovery service's first line.
const FIRST_LINE_DELAY: Duration = Duration::from_secs(2);
/// The delay of a late discovery service's list.
const LIST_DELAY: Duration = Duration::from_secs(4);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// A fault of the discovery service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DiscoveryFault {
    /// No fault: events are sent at once.
    None,
    /// No socket listens on its address.
    Down,
    /// The system accepts connections, and the service sends nothing.
    Frozen,
    /// It closes each connection as soon as it has accepted it.
    Closes,
    /// It delays its first line by `FIRST_LINE_DELAY`.
    Slow,
    /// It sends the full list in small pieces.
    InPieces,
    /// It sends only heartbeats for `LIST_DELAY`, and then the full list.
    Late,
    /// It sends the full list repeatedly instead of changes.
    FullListRepeated,
}

impl DiscoveryFault {
    const ALL: [DiscoveryFault; 8] = [
        DiscoveryFault::None,
        DiscoveryFault::Down,
        DiscoveryFault::Frozen,
        DiscoveryFault::Closes,
        DiscoveryFault::Slow,
        DiscoveryFault::InPieces,
        DiscoveryFault::Late,
        DiscoveryFault::FullListRepeated,
    ];

    /// Returns whether the service with this fault sends its list at all.
    fn sends_list(self) -> bool {
        !matches!(self, DiscoveryFault::Down | DiscoveryFault::Frozen | DiscoveryFault::Closes)
    }
}

fn process_count() -> usize {
    std::env::var("FOXHOLD_READINESS_PROCESSES").ok().and_then(|n| n.parse().ok()).unwrap_or(PROCESSES)
}

/// The first port of each test. The ranges differ because the tests run in parallel.
const FIRST_RESTART_PORT: u16 = 12_000;
const FIRST_KILL_PORT: u16 = 24_000;

/// Returns free addresses outside the range of ports that the system gives to outgoing connections, so that
/// they stay free.
fn free_addresses(first: u16, count: usize) -> Vec<SocketAddr> {
    let first = first + (std::process::id() % 700) as u16 * 10;
    let ports = (first..32_000).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let free: Vec<SocketAddr> =
        ports.filter(|at| std::net::TcpListener::bind(at).is_ok()).take(count).collect();
    assert_eq!(free.len(), count, "too few free ports");
    free
}

/// Returns an event with the full member list, which holds one cache that is not in the configuration.
fn full_list(rev: u64, servers: &[EmulatedServer; 3]) -> String {
    let member = |id: &str, address: &str, zone: &str, kind: &str| {
        format!(
            "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"{zone}\",\"flavor\":\"{kind}\",\
             \"phase\":\"in_service\",\"size\":8}}"
        )
    };
    let [cache, parent, origin] = [0, 1, 2].map(|n: usize| servers[n].address.as_str());
    let members = [
        member("example-cache", cache, "branch", "cache"),
        member("example-cache-2", cache, "branch", "cache"),
        member("example-parent", parent, "hub", "parent"),
        member("example-origin", origin, "hub", "origin"),
    ];
    let (members, padding) = (members.join(","), " ".repeat(PADDING_BYTES));
    format!("{{\"rev\":{rev},\"pool\":{{\"complete\":true,{padding}\"members\":[{members}]}}}}\n")
}

/// Serves one watch until its connection fails.
async fn serve_watch(
    stream: TcpStream,
    fault: DiscoveryFault,
    servers: Rc<[EmulatedServer; 3]>,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    let mut rev: u64 = line.trim_end().trim_start_matches("watch ").parse().unwrap_or(0);
    match fault {
        DiscoveryFault::Slow => sleep(FIRST_LINE_DELAY).await,
        DiscoveryFault::Late => {
            let started_at = Instant::now();
            while started_at.elapsed() < LIST_DELAY {
                stream.write_all(format!("{rev}\n").as_bytes()).await?;
                sleep(HEARTBEAT_INTERVAL).await;
            }
        }
        _ => {}
    }
    loop {
        if rev == 1 || fault == DiscoveryFault::FullListRepeated {
            rev += 1;
            let event = full_list(rev, &servers);
            let piece_bytes = if fault == DiscoveryFault::InPieces { PIECE_BYTES } else { event.len() };
            for piece in event.as_bytes().chunks(piece_bytes) {
                stream.write_all(piece).await?;
                if fault == DiscoveryFault::InPieces {
                    sleep(PIECE_INTERVAL).await;
                }
            }
        }
        stream.write_all(format!("{rev}\n").as_bytes()).await?;
        let repeats = fault == DiscoveryFault::FullListRepeated;
        sleep(if repeats { HEARTBEAT_INTERVAL / 5 } else { HEARTBEAT_INTERVAL }).await;
    }
}

/// Starts a discovery service with a fault. Returns the listener of a frozen one, which must stay open and
/// accepts no connection.
async fn start_discovery(
    address: SocketAddr,
    fault: DiscoveryFault,
    servers: Rc<[EmulatedServer; 3]>,
) -> Option<TcpListener> {
    if fault == DiscoveryFault::Down {
        return None;
    }
    let listener = TcpListener::bind(address).await.expect("the discovery service's port");
    if fault == DiscoveryFault::Frozen {
        return Some(listener);
    }
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if fault != DiscoveryFault::Closes {
                tokio::task::spawn_local(serve_watch(stream, fault, servers.clone()));
            }
        }
    });
    None
}

/// A director's configuration file and addresses, which stay the same over its restarts.
struct Director {
    file: TempFile,
    listen: SocketAddr,
    admin: SocketAddr,
    /// Whether its configuration contains a member list with servers.
    knows_servers: bool,
}

impl Director {
    fn start(&self) -> std::process::Child {
        StartOptions { config: Some(&self.file.0), ..StartOptions::default() }.spawn().expect("the program")
    }
}

/// Replaces the member list in a configuration by an empty one, as if the discovery service had sent no
/// servers before the start.
fn without_servers(config: &str) -> String {
    let (before, rest) = config.split_once("\"known\"").expect("the key 'known'");
    let (_, after) = rest.split_once("\"settings\"").expect("the key 'settings'");
    format!("{before}\"known\": {{\"rev\": 1, \"notices\": []}}, \"settings\"{after}")
}

/// Some processes, killed when the value is dropped, also if the test fails.
struct Fleet(Vec<std::process::Child>);

impl Drop for Fleet {
    fn drop(&mut self) {
        self.0.iter_mut().for_each(|child| drop(child.kill()));
        self.0.iter_mut().for_each(|child| drop(child.wait()));
    }
}

/// Waits until a director is ready and returns the time since `started_at`.
async fn wait_until_ready(listen: SocketAddr, started_at: Instant) -> Duration {
    while request_status(&listen.to_string(), ALIVE).await != Some(200) {
        assert!(started_at.elapsed() < ALL_READY, "{listen} is not ready after {ALL_READY:?}");
        sleep(POLL_INTERVAL).await;
    }
    started_at.elapsed()
}

/// Waits until all directors are ready and returns how long each took, in ascending order.
async fn wait_until_all_ready(directors: &[Director], started_at: Instant) -> Vec<Duration> {
    let tasks: Vec<_> =
        directors.iter().map(|d| tokio::task::spawn_local(wait_until_ready(d.listen, started_at))).collect();
    let mut times = Vec::new();
    for task in tasks {
        times.push(task.await.expect("a ready director"));
    }
    times.sort();
    times
}

/// Sends a read and then a write to each director, to all directors at the same time. Each request must be
/// served; a director that knows no server yet may reject it.
async fn assert_all_serve(directors: &[Director], first_id: u64, have_list: bool) {
    let send_requests = |(n, director): (usize, &Director)| {
        let (address, id) = (director.listen.to_string(), first_id + 2 * n as u64);
        let knows_servers = have_list || director.knows_servers;
        tokio::task::spawn_local(async move {
            let read = request_status(&address, &read_request(id, 4_000)).await;
            let write = request_status(&address, &write_request(id + 1, 2_900)).await;
            (address, knows_servers, read, write)
        })
    };
    let tasks: Vec<_> = directors.iter().enumerate().map(send_requests).collect();
    for task in tasks {
        let (address, knows_servers, read, write) = task.await.expect("two responses");
        let served = (read, write) == (Some(200), Some(200));
        let rejected = [read, write].iter().all(|status| matches!(status, Some(200 | 503)));
        assert!(
            served || !knows_servers && rejected,
            "{address} is ready, but responds with {read:?} to a read and {write:?} to a write"
        );
    }
}

/// Waits until each director has received the member list.
async fn wait_until_all_have_list(directors: &[Director]) {
    let started_at = Instant::now();
    for director in directors {
        let admin = director.admin.to_string();
        while !send_command(&admin, "vars\n").await.is_some_and(|vars| vars.contains("\"caches_known\":4")) {
            assert!(
                started_at.elapsed() < ALL_READY,
                "{admin} has not received the member list after {ALL_READY:?}"
            );
            sleep(POLL_INTERVAL).await;
        }
    }
}

async fn restart_all_at_once(fault: DiscoveryFault, count: usize) {
    let (servers, _) = start_cache_parent_origin(COPY).await;
    let addresses = free_addresses(FIRST_RESTART_PORT, 2 * count + 1);
    let (ports, discovery) = (&addresses[1..], addresses[0]);
    let directors: Vec<Director> = (0..count)
        .map(|n| {
            let [listen, admin] = [ports[2 * n], ports[2 * n + 1]];
            let [cache, parent, origin] = [0, 1, 2].map(|n: usize| servers[n].address.as_str());
            let text =
                example_config(256, &discovery.to_string(), &admin.to_string(), [cache, parent, origin]);
            let text = text.replace("127.0.0.1:0", &listen.to_string());
            let knows_servers = n % 2 == 0;
            let text = if knows_servers { text } else { without_servers(&text) };
            Director {
                file: TempFile::new(&format!("ready-{listen}.json"), &text),
                listen,
                admin,
                knows_servers,
            }
        })
        .collect();
    let _frozen = start_discovery(discovery, fault, Rc::new(servers)).await;
    let first_fleet = Fleet(directors.iter().map(Director::start).collect());
    wait_until_all_ready(&directors, Instant::now()).await;
    drop(first_fleet);
    let started_at = Instant::now();
    let _fleet = Fleet(directors.iter().map(Director::start).collect());
    let started = started_at.elapsed();
    let times = wait_until_all_ready(&directors, started_at).await;
    let (median, p90, last) = (times[count / 2], times[(count * 9).div_ceil(10) - 1], times[count - 1]);
    println!(
        "discovery {fault:?}: {count} restarted within {started:.0?}; ready: median {median:.0?}, \
         nine in ten {p90:.0?}, the last {last:.0?}"
    );
    assert!(p90 <= P90_READY, "discovery {fault:?}: 90% ready after {p90:?}, expected within {P90_READY:?}");
    assert_all_serve(&directors, 0x1000, false).await;
    if fault.sends_list() {
        wait_until_all_have_list(&directors).await;
        assert_all_serve(&directors, 0x2000, true).await;
    }
}

/// Guards against a start that waits for the discovery service, and against directors that report ready but
/// serve no requests.
#[test]
fn directors_restarted_together_are_ready_in_time_and_serve_under_each_discovery_fault() {
    for fault in DiscoveryFault::ALL {
        run_local(restart_all_at_once(fault, process_count()));
    }
}

/// Guards against a frontend that reports ready while its dispatcher no longer answers.
#[test]
fn a_frontend_whose_dispatcher_has_ended_reports_not_ready_and_rejects_requests() {
    run_local(async {
        let (_servers, members) = start_cache_parent_origin(COPY).await;
        let known = vec![DispatcherMessage::Members { full: true, members }];
        let servers = UpstreamConnector::new(emulated::connection_settings(), 10);
        let running =
            dispatch::start(emulated::settings(), 7, Clock::system(), servers, known).expect("settings");
        let address =
            emulated::serve(&running.dispatcher, PlatformFrontend(running.dispatcher.clone())).await;
        let read = read_request(1, 1_000).replace("guide-videos", "videos");
        assert_eq!(request_status(&address, ALIVE).await, Some(200));
        assert_eq!(request_status(&address, &read).await, Some(200));
        running.task.abort();
        assert!(running.task.await.is_err());
        assert_eq!(request_status(&address, ALIVE).await, Some(503));
        assert_eq!(request_status(&address, &read).await, Some(503), "a request is rejected");
    });
}

/// Guards against a start that fails because of what a killed process leaves: its address, and its state on
/// disk.
#[cfg(feature = "peers")]
#[test]
fn a_director_killed_within_the_first_second_of_its_start_is_ready_and_serves_after_a_restart() {
    use rustix::process::Signal;
    run_local(async {
        let (servers, _) = start_cache_parent_origin(COPY).await;
        let [listen, admin, gossip] = free_addresses(FIRST_KILL_PORT, 3)[..] else {
            panic!("expected three addresses")
        };
        let [cache, parent, origin] = [0, 1, 2].map(|n: usize| servers[n].address.as_str());
        let text = example_config(256, "", &admin.to_string(), [cache, parent, origin]);
        let file = TempFile::new("killed.json", &text.replace("127.0.0.1:0", &listen.to_string()));
        let key = TempFile::new("killed-key", "c2VjcmV0c2VjcmV0c2VjcmV0\n");
        let folder = std::env::temp_dir().join(format!("foxhold-{}-killed-state", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let peers = format!(
            "peers: {{listen: \"{gossip}\", name: a, fleet: example, key: {}, folder: {}}}\n",
            key.0.display(),
            folder.display()
        );
        let operator = TempFile::new("killed-operator.yaml", &peers);
        let options =
            StartOptions { config: Some(&file.0), operator: Some(&operator.0), ..StartOptions::default() };
        let director =
            Director { file: TempFile::new("killed-unused", ""), listen, admin, knows_servers: true };
        let directors = std::slice::from_ref(&director);
        let slowest = Cell::new(Duration::ZERO);
        for (n, after) in [0, 1, 2, 3, 5, 8, 12, 20, 35, 60, 120, 250, 500, 950].into_iter().enumerate() {
            for signal in [Signal::KILL, Signal::TERM] {
                let program = Program::from_child(options.spawn().expect("the program"));
                sleep(Duration::from_millis(after)).await;
                program.signal(signal);
                program.wait_for_exit().await;
                let started_at = Instant::now();
                let fleet = Fleet(vec![options.spawn().expect("the program")]);
                let times = wait_until_all_ready(directors, started_at).await;
                assert!(
                    times[0] <= P90_READY,
                    "{signal:?} {after} ms after the start: ready after {:?}",
                    times[0]
                );
                slowest.set(slowest.get().max(times[0]));
                assert_all_serve(directors, 0x100 * (n as u64 + 1), true).await;
                drop(fleet);
            }
        }
        println!("ended within the first second: ready again within {:.0?} at most", slowest.get());
        std::fs::remove_dir_all(&folder).expect("the folder");
    });
}
