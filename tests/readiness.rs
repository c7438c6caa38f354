//! Processes that are all restarted in the same second, whatever fault the discovery service has, and
//! processes that are killed while they start: each is ready soon, and each that is ready serves.
//!
//! 30 processes here; `FOXHOLD_READINESS_PROCESSES=100` in the environment runs the full form.
#![cfg(feature = "cli")]

mod program;
mod standin;

use foxhold::dispatch::{self, Clock, DispatcherMessage};
use foxhold::frontend::platform::PlatformFrontend;
use foxhold::upstream::UpstreamConnector;
use program::{call, config, read_request, status, write_request, Program, Scratch, Start};
use standin::{local, trio, Manner, Server};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const COPY: Manner = Manner::Says("ID ACK res=cached 5\r\nbytes\r\n");
const PROCESSES: usize = 30;
/// Nine in ten must be ready within this of the restart,
const P90_READY: Duration = Duration::from_secs(10);
/// and all by then.
const ALL_READY: Duration = Duration::from_secs(30);
/// How often a process is asked whether it is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ALIVE: &str = "GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n";
/// The spaces that make the full list so long that it comes in pieces.
const PADDING_BYTES: usize = 20_000;
const PIECE_BYTES: usize = 500;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);
/// The first line of a slow discovery service, and the list of a late one, come after this.
const FIRST_LINE_DELAY: Duration = Duration::from_secs(2);
const LIST_DELAY: Duration = Duration::from_secs(4);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// What the discovery service does to the directors that watch it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DiscoveryFault {
    /// Nothing: events come at once.
    None,
    /// Nobody listens.
    Down,
    /// Connections are accepted by the system and nothing is sent.
    Frozen,
    /// Connections are closed as soon as they are accepted.
    Closes,
    /// Its first line takes long.
    Slow,
    /// Its list comes piece by piece.
    InPieces,
    /// There are only heartbeats for long, and then the full list.
    Late,
    /// It sends the full list repeatedly in place of changes.
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

    /// Whether its list comes at all.
    fn sends_list(self) -> bool {
        !matches!(self, DiscoveryFault::Down | DiscoveryFault::Frozen | DiscoveryFault::Closes)
    }
}

fn processes() -> usize {
    std::env::var("FOXHOLD_READINESS_PROCESSES").ok().and_then(|n| n.parse().ok()).unwrap_or(PROCESSES)
}

/// Where each test's ports begin: the tests run side by side.
const FIRST_RESTART_PORT: u16 = 12_000;
const FIRST_KILL_PORT: u16 = 24_000;

/// Addresses outside of the range that outgoing connections are given, so that they stay free.
fn addresses(first: u16, count: usize) -> Vec<SocketAddr> {
    let first = first + (std::process::id() % 700) as u16 * 10;
    let ports = (first..32_000).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let free: Vec<SocketAddr> =
        ports.filter(|at| std::net::TcpListener::bind(at).is_ok()).take(count).collect();
    assert_eq!(free.len(), count, "free ports");
    free
}

/// The full list with a cache that the configuration does not know.
fn full_list(rev: u64, servers: &[Server; 3]) -> String {
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

/// Serves one watch for as long as its connection lasts.
async fn serve_watch(
    stream: TcpStream,
    fault: DiscoveryFault,
    servers: Rc<[Server; 3]>,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    let mut rev: u64 = line.trim_end().trim_start_matches("watch ").parse().unwrap_or(0);
    match fault {
        DiscoveryFault::Slow => sleep(FIRST_LINE_DELAY).await,
        DiscoveryFault::Late => {
            let begun = Instant::now();
            while begun.elapsed() < LIST_DELAY {
                stream.write_all(format!("{rev}\n").as_bytes()).await?;
                sleep(HEARTBEAT_INTERVAL).await;
            }
        }
        _ => {}
    }
    loop {
        if rev == 1 || fault == DiscoveryFault::FullListRepeated {
            rev += 1;
            let whole = full_list(rev, &servers);
            let piece_bytes = if fault == DiscoveryFault::InPieces { PIECE_BYTES } else { whole.len() };
            for piece in whole.as_bytes().chunks(piece_bytes) {
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

/// A discovery service with a fault; the listener of a frozen one is returned, and accepts nothing.
async fn start_discovery(
    address: SocketAddr,
    fault: DiscoveryFault,
    servers: Rc<[Server; 3]>,
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

/// A director's files and addresses, which stay the same over its restarts.
struct Director {
    file: Scratch,
    listen: SocketAddr,
    admin: SocketAddr,
    /// Whether its configuration lists any server.
    knows_servers: bool,
}

impl Director {
    fn start(&self) -> std::process::Child {
        Start { config: Some(&self.file.0), ..Start::default() }.spawn().expect("the program")
    }
}

/// The configuration of a start at which the discovery service had sent an empty list only.
fn without_servers(config: &str) -> String {
    let (before, rest) = config.split_once("\"known\"").expect("what is known");
    let (_, after) = rest.split_once("\"settings\"").expect("settings");
    format!("{before}\"known\": {{\"rev\": 1, \"notices\": []}}, \"settings\"{after}")
}

/// Kills its processes when it is dropped, also where a test fails.
struct Fleet(Vec<std::process::Child>);

impl Drop for Fleet {
    fn drop(&mut self) {
        self.0.iter_mut().for_each(|child| drop(child.kill()));
        self.0.iter_mut().for_each(|child| drop(child.wait()));
    }
}

/// Waits until a director is ready; how long that took, counted from `begun`.
async fn wait_until_ready(listen: SocketAddr, begun: Instant) -> Duration {
    while status(&listen.to_string(), ALIVE).await != Some(200) {
        assert!(begun.elapsed() < ALL_READY, "{listen} is not ready");
        sleep(POLL_INTERVAL).await;
    }
    begun.elapsed()
}

/// How long each director took to be ready, the fastest first.
async fn wait_until_all_ready(directors: &[Director], begun: Instant) -> Vec<Duration> {
    let tasks: Vec<_> =
        directors.iter().map(|d| tokio::task::spawn_local(wait_until_ready(d.listen, begun))).collect();
    let mut times = Vec::new();
    for task in tasks {
        times.push(task.await.expect("a director that is ready"));
    }
    times.sort();
    times
}

/// Sends each director a read and a write at the same time. Each must be served, or rejected by a director
/// that knows of no server yet.
async fn assert_all_serve(directors: &[Director], first_id: u64, have_list: bool) {
    let ask = |(n, director): (usize, &Director)| {
        let (address, id) = (director.listen.to_string(), first_id + 2 * n as u64);
        let knows_servers = have_list || director.knows_servers;
        tokio::task::spawn_local(async move {
            let read = status(&address, &read_request(id, 4_000)).await;
            let write = status(&address, &write_request(id + 1, 2_900)).await;
            (address, knows_servers, read, write)
        })
    };
    let tasks: Vec<_> = directors.iter().enumerate().map(ask).collect();
    for task in tasks {
        let (address, knows_servers, read, write) = task.await.expect("answers");
        let served = (read, write) == (Some(200), Some(200));
        let rejected = [read, write].iter().all(|status| matches!(status, Some(200 | 503)));
        assert!(
            served || !knows_servers && rejected,
            "{address} is ready, and answers {read:?} and {write:?}"
        );
    }
}

/// Waits until the list has reached each director.
async fn wait_until_all_have_list(directors: &[Director]) {
    let begun = Instant::now();
    for director in directors {
        let admin = director.admin.to_string();
        while !call(&admin, "vars\n").await.is_some_and(|vars| vars.contains("\"caches_known\":4")) {
            assert!(begun.elapsed() < ALL_READY, "{admin} has not received the list");
            sleep(POLL_INTERVAL).await;
        }
    }
}

async fn restart_all_at_once(fault: DiscoveryFault, count: usize) {
    let (servers, _) = trio(COPY).await;
    let at = addresses(FIRST_RESTART_PORT, 2 * count + 1);
    let (ports, discovery) = (&at[1..], at[0]);
    let directors: Vec<Director> = (0..count)
        .map(|n| {
            let [listen, admin] = [ports[2 * n], ports[2 * n + 1]];
            let [cache, parent, origin] = [0, 1, 2].map(|n: usize| servers[n].address.as_str());
            let text = config(256, &discovery.to_string(), &admin.to_string(), [cache, parent, origin]);
            let text = text.replace("127.0.0.1:0", &listen.to_string());
            let knows_servers = n % 2 == 0;
            let text = if knows_servers { text } else { without_servers(&text) };
            Director {
                file: Scratch::new(&format!("ready-{listen}.json"), &text),
                listen,
                admin,
                knows_servers,
            }
        })
        .collect();
    let _frozen = start_discovery(discovery, fault, Rc::new(servers)).await;
    let before = Fleet(directors.iter().map(Director::start).collect());
    wait_until_all_ready(&directors, Instant::now()).await;
    drop(before);
    let begun = Instant::now();
    let _fleet = Fleet(directors.iter().map(Director::start).collect());
    let started = begun.elapsed();
    let times = wait_until_all_ready(&directors, begun).await;
    let (median, p90, last) = (times[count / 2], times[(count * 9).div_ceil(10) - 1], times[count - 1]);
    println!(
        "discovery {fault:?}: {count} restarted within {started:.0?}; ready: median {median:.0?}, \
         nine in ten {p90:.0?}, the last {last:.0?}"
    );
    assert!(p90 <= P90_READY, "discovery {fault:?}: nine in ten ready after {p90:?}");
    assert_all_serve(&directors, 0x1000, false).await;
    if fault.sends_list() {
        wait_until_all_have_list(&directors).await;
        assert_all_serve(&directors, 0x2000, true).await;
    }
}

/// Guards against a start that waits for the discovery service, and against directors that are ready and
/// serve nobody.
#[test]
fn directors_restarted_together_are_ready_in_time_and_serve_whatever_the_discovery_fault() {
    for fault in DiscoveryFault::ALL {
        local(restart_all_at_once(fault, processes()));
    }
}

/// Guards against a frontend that says it is ready while its dispatcher can't be asked.
#[test]
fn a_frontend_whose_dispatcher_has_ended_is_not_ready_and_still_answers() {
    local(async {
        let (_servers, members) = trio(COPY).await;
        let known = vec![DispatcherMessage::Members { full: true, members }];
        let servers = UpstreamConnector::new(standin::transport(), 10);
        let running =
            dispatch::start(standin::settings(), 7, Clock::system(), servers, known).expect("settings");
        let address = standin::serve(&running.dispatcher, PlatformFrontend(running.dispatcher.clone())).await;
        let read = read_request(1, 1_000).replace("guide-videos", "videos");
        assert_eq!(status(&address, ALIVE).await, Some(200));
        assert_eq!(status(&address, &read).await, Some(200));
        running.task.abort();
        assert!(running.task.await.is_err());
        assert_eq!(status(&address, ALIVE).await, Some(503));
        assert_eq!(status(&address, &read).await, Some(503), "an answer is final");
    });
}

/// Guards a second start against what a killed first one leaves: its address, and its state on the disk.
#[cfg(feature = "peers")]
#[test]
fn a_director_killed_within_the_first_second_of_its_start_is_ready_and_serves_after_a_restart() {
    use rustix::process::Signal;
    local(async {
        let (servers, _) = trio(COPY).await;
        let [listen, admin, gossip] = addresses(FIRST_KILL_PORT, 3)[..] else { panic!("three") };
        let [cache, parent, origin] = [0, 1, 2].map(|n: usize| servers[n].address.as_str());
        let text = config(256, "", &admin.to_string(), [cache, parent, origin]);
        let file = Scratch::new("killed.json", &text.replace("127.0.0.1:0", &listen.to_string()));
        let key = Scratch::new("killed-key", "c2VjcmV0c2VjcmV0c2VjcmV0\n");
        let folder = std::env::temp_dir().join(format!("foxhold-{}-killed-state", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let peers = format!(
            "peers: {{listen: \"{gossip}\", name: a, fleet: example, key: {}, folder: {}}}\n",
            key.0.display(),
            folder.display()
        );
        let operator = Scratch::new("killed-operator.yaml", &peers);
        let start = Start { config: Some(&file.0), operator: Some(&operator.0), ..Start::default() };
        let director =
            Director { file: Scratch::new("killed-unused", ""), listen, admin, knows_servers: true };
        let directors = std::slice::from_ref(&director);
        let slowest = Cell::new(Duration::ZERO);
        for (n, after) in [0, 1, 2, 3, 5, 8, 12, 20, 35, 60, 120, 250, 500, 950].into_iter().enumerate() {
            for signal in [Signal::KILL, Signal::TERM] {
                let program = Program::of(start.spawn().expect("the program"));
                sleep(Duration::from_millis(after)).await;
                program.signal(signal);
                program.end().await;
                let begun = Instant::now();
                let fleet = Fleet(vec![start.spawn().expect("the program")]);
                let times = wait_until_all_ready(directors, begun).await;
                assert!(times[0] <= P90_READY, "{signal:?} after {after} ms: ready after {:?}", times[0]);
                slowest.set(slowest.get().max(times[0]));
                assert_all_serve(directors, 0x100 * (n as u64 + 1), true).await;
                drop(fleet);
            }
        }
        println!("ended within the first second: ready again within {:.0?} at most", slowest.get());
        std::fs::remove_dir_all(&folder).expect("the folder");
    });
}
