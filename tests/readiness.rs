//! Processes that are all restarted in the same second, whatever the board does meanwhile, and processes that
//! are killed while they start: each is ready soon, and each that is ready serves.
//!
//! 30 processes here; `FOXHOLD_READINESS_PROCESSES=100` in the environment plays the full form.
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
/// Nine in ten are to be ready within this of the restart,
const READY: Duration = Duration::from_secs(10);
/// and all by then.
const ALL_READY: Duration = Duration::from_secs(30);
/// How often a process is asked whether it is ready.
const ASKED: Duration = Duration::from_millis(20);
const ALIVE: &str = "GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n";
/// The spaces that make the whole list so long that it comes in pieces.
const PADDING: usize = 20_000;
const PIECE: usize = 500;
const BETWEEN_PIECES: Duration = Duration::from_millis(50);
/// A slow board's first word, and a late board's list, come after this.
const SLOW: Duration = Duration::from_secs(2);
const LATE: Duration = Duration::from_secs(4);
const NUMBER: Duration = Duration::from_secs(1);

/// What the board does to those who follow it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// Nothing: the news comes at once.
    None,
    /// Nobody listens.
    Down,
    /// Connections come up and nobody says anything.
    Frozen,
    /// Connections are closed as soon as they have come.
    Closes,
    /// Its first word takes long.
    Slow,
    /// Its list comes piece by piece.
    InPieces,
    /// There is no news for long, and then the whole list.
    Late,
    /// It sends the whole list again and again in place of news.
    WholeAgain,
}

impl Trouble {
    const ALL: [Trouble; 8] = [
        Trouble::None,
        Trouble::Down,
        Trouble::Frozen,
        Trouble::Closes,
        Trouble::Slow,
        Trouble::InPieces,
        Trouble::Late,
        Trouble::WholeAgain,
    ];

    /// Whether its list comes at all.
    fn tells(self) -> bool {
        !matches!(self, Trouble::Down | Trouble::Frozen | Trouble::Closes)
    }
}

fn processes() -> usize {
    std::env::var("FOXHOLD_READINESS_PROCESSES").ok().and_then(|n| n.parse().ok()).unwrap_or(PROCESSES)
}

/// Where each test's ports begin: the tests run side by side.
const PORTS_OF_RESTARTS: u16 = 12_000;
const PORTS_OF_ENDS: u16 = 24_000;

/// Addresses outside of the range that outgoing connections are given, so that they stay free.
fn addresses(first: u16, count: usize) -> Vec<SocketAddr> {
    let first = first + (std::process::id() % 700) as u16 * 10;
    let ports = (first..32_000).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let free: Vec<SocketAddr> =
        ports.filter(|at| std::net::TcpListener::bind(at).is_ok()).take(count).collect();
    assert_eq!(free.len(), count, "free ports");
    free
}

/// The whole list with a cache that the configuration does not know.
fn list(rev: u64, servers: &[Server; 3]) -> String {
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
    let (members, padding) = (members.join(","), " ".repeat(PADDING));
    format!("{{\"rev\":{rev},\"pool\":{{\"complete\":true,{padding}\"members\":[{members}]}}}}\n")
}

/// Follows one of the board's connections for as long as it lasts.
async fn tell(stream: TcpStream, trouble: Trouble, servers: Rc<[Server; 3]>) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    let mut rev: u64 = line.trim_end().trim_start_matches("watch ").parse().unwrap_or(0);
    match trouble {
        Trouble::Slow => sleep(SLOW).await,
        Trouble::Late => {
            let begun = Instant::now();
            while begun.elapsed() < LATE {
                stream.write_all(format!("{rev}\n").as_bytes()).await?;
                sleep(NUMBER).await;
            }
        }
        _ => {}
    }
    loop {
        if rev == 1 || trouble == Trouble::WholeAgain {
            rev += 1;
            let whole = list(rev, &servers);
            for piece in
                whole.as_bytes().chunks(if trouble == Trouble::InPieces { PIECE } else { whole.len() })
            {
                stream.write_all(piece).await?;
                if trouble == Trouble::InPieces {
                    sleep(BETWEEN_PIECES).await;
                }
            }
        }
        stream.write_all(format!("{rev}\n").as_bytes()).await?;
        sleep(if trouble == Trouble::WholeAgain { NUMBER / 5 } else { NUMBER }).await;
    }
}

/// A board with its trouble; the listener of a frozen one is handed back, and accepts nothing.
async fn board(address: SocketAddr, trouble: Trouble, servers: Rc<[Server; 3]>) -> Option<TcpListener> {
    if trouble == Trouble::Down {
        return None;
    }
    let listener = TcpListener::bind(address).await.expect("the board's port");
    if trouble == Trouble::Frozen {
        return Some(listener);
    }
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if trouble != Trouble::Closes {
                tokio::task::spawn_local(tell(stream, trouble, servers.clone()));
            }
        }
    });
    None
}

/// A director's files and addresses, which stay over its restarts.
struct Director {
    file: Scratch,
    listen: SocketAddr,
    door: SocketAddr,
    /// Whether its configuration knows of any server.
    knows: bool,
}

impl Director {
    fn start(&self) -> std::process::Child {
        Start { config: Some(&self.file.0), ..Start::default() }.spawn().expect("the program")
    }
}

/// The configuration of a start at which the board had told nothing but an empty list.
fn knows_nobody(config: &str) -> String {
    let (before, rest) = config.split_once("\"known\"").expect("what is known");
    let (_, after) = rest.split_once("\"settings\"").expect("settings");
    format!("{before}\"known\": {{\"rev\": 1, \"notices\": []}}, \"settings\"{after}")
}

/// Ends processes outright, also where a test fails.
struct Fleet(Vec<std::process::Child>);

impl Drop for Fleet {
    fn drop(&mut self) {
        self.0.iter_mut().for_each(|child| drop(child.kill()));
        self.0.iter_mut().for_each(|child| drop(child.wait()));
    }
}

/// Waits until a director says that it is ready; how long that took, counted from `begun`.
async fn ready(listen: SocketAddr, begun: Instant) -> Duration {
    while status(&listen.to_string(), ALIVE).await != Some(200) {
        assert!(begun.elapsed() < ALL_READY, "{listen} is not ready");
        sleep(ASKED).await;
    }
    begun.elapsed()
}

/// All at once: how long each took to be ready, the soonest first.
async fn all_ready(directors: &[Director], begun: Instant) -> Vec<Duration> {
    let tasks: Vec<_> = directors.iter().map(|d| tokio::task::spawn_local(ready(d.listen, begun))).collect();
    let mut times = Vec::new();
    for task in tasks {
        times.push(task.await.expect("a director that is ready"));
    }
    times.sort();
    times
}

/// Sends each director a read and a write at the same time; each must be served, or by one that knows of no
/// server yet refused.
async fn all_serve(directors: &[Director], ids: u64, told: bool) {
    let ask = |(n, director): (usize, &Director)| {
        let (address, id) = (director.listen.to_string(), ids + 2 * n as u64);
        let knows = told || director.knows;
        tokio::task::spawn_local(async move {
            let read = status(&address, &read_request(id, 4_000)).await;
            let write = status(&address, &write_request(id + 1, 2_900)).await;
            (address, knows, read, write)
        })
    };
    let tasks: Vec<_> = directors.iter().enumerate().map(ask).collect();
    for task in tasks {
        let (address, knows, read, write) = task.await.expect("answers");
        let served = (read, write) == (Some(200), Some(200));
        let refused = [read, write].iter().all(|status| matches!(status, Some(200 | 503)));
        assert!(served || !knows && refused, "{address} is ready, and answers {read:?} and {write:?}");
    }
}

/// Waits until the list has reached each director.
async fn all_told(directors: &[Director]) {
    let begun = Instant::now();
    for director in directors {
        let door = director.door.to_string();
        while !call(&door, "vars\n").await.is_some_and(|vars| vars.contains("\"caches_known\":4")) {
            assert!(begun.elapsed() < ALL_READY, "{door} was not told of the list");
            sleep(ASKED).await;
        }
    }
}

async fn restarted_at_once(trouble: Trouble, count: usize) {
    let (servers, _) = trio(COPY).await;
    let at = addresses(PORTS_OF_RESTARTS, 2 * count + 1);
    let (ports, board_at) = (&at[1..], at[0]);
    let directors: Vec<Director> = (0..count)
        .map(|n| {
            let [listen, door] = [ports[2 * n], ports[2 * n + 1]];
            let [cache, parent, origin] = [0, 1, 2].map(|n: usize| servers[n].address.as_str());
            let text = config(256, &board_at.to_string(), &door.to_string(), [cache, parent, origin]);
            let text = text.replace("127.0.0.1:0", &listen.to_string());
            let knows = n % 2 == 0;
            let text = if knows { text } else { knows_nobody(&text) };
            Director { file: Scratch::new(&format!("ready-{listen}.json"), &text), listen, door, knows }
        })
        .collect();
    let _frozen = board(board_at, trouble, Rc::new(servers)).await;
    let before = Fleet(directors.iter().map(Director::start).collect());
    all_ready(&directors, Instant::now()).await;
    drop(before);
    let begun = Instant::now();
    let _fleet = Fleet(directors.iter().map(Director::start).collect());
    let started = begun.elapsed();
    let times = all_ready(&directors, begun).await;
    let (median, p90, last) = (times[count / 2], times[(count * 9).div_ceil(10) - 1], times[count - 1]);
    println!(
        "board {trouble:?}: {count} restarted within {started:.0?}; ready: median {median:.0?}, \
         nine in ten {p90:.0?}, the last {last:.0?}"
    );
    assert!(p90 <= READY, "board {trouble:?}: nine in ten ready after {p90:?}");
    all_serve(&directors, 0x1000, false).await;
    if trouble.tells() {
        all_told(&directors).await;
        all_serve(&directors, 0x2000, true).await;
    }
}

/// Guards against a start that waits for the board, and against directors that are ready and serve nobody.
#[test]
fn nine_in_ten_that_are_restarted_at_once_are_ready_in_time_and_each_serves_whatever_the_board_does() {
    for trouble in Trouble::ALL {
        local(restarted_at_once(trouble, processes()));
    }
}

/// Guards against a front that says it is ready while nobody behind it can be asked.
#[test]
fn a_front_whose_core_has_ended_is_not_ready_and_answers_all_the_same() {
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
fn one_that_is_ended_within_the_first_second_of_its_start_is_ready_and_serves_when_it_is_started_again() {
    use rustix::process::Signal;
    local(async {
        let (servers, _) = trio(COPY).await;
        let [listen, door, talk] = addresses(PORTS_OF_ENDS, 3)[..] else { panic!("three") };
        let [cache, parent, origin] = [0, 1, 2].map(|n: usize| servers[n].address.as_str());
        let text = config(256, "", &door.to_string(), [cache, parent, origin]);
        let file = Scratch::new("killed.json", &text.replace("127.0.0.1:0", &listen.to_string()));
        let key = Scratch::new("killed-key", "c2VjcmV0c2VjcmV0c2VjcmV0\n");
        let folder = std::env::temp_dir().join(format!("foxhold-{}-killed-state", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let peers = format!(
            "peers: {{listen: \"{talk}\", name: a, fleet: example, key: {}, folder: {}}}\n",
            key.0.display(),
            folder.display()
        );
        let operator = Scratch::new("killed-operator.yaml", &peers);
        let start = Start { config: Some(&file.0), operator: Some(&operator.0), ..Start::default() };
        let director = Director { file: Scratch::new("killed-unused", ""), listen, door, knows: true };
        let directors = std::slice::from_ref(&director);
        let lasted = Cell::new(Duration::ZERO);
        for (n, after) in [0, 1, 2, 3, 5, 8, 12, 20, 35, 60, 120, 250, 500, 950].into_iter().enumerate() {
            for signal in [Signal::KILL, Signal::TERM] {
                let program = Program::of(start.spawn().expect("the program"));
                sleep(Duration::from_millis(after)).await;
                program.signal(signal);
                program.end().await;
                let begun = Instant::now();
                let fleet = Fleet(vec![start.spawn().expect("the program")]);
                let times = all_ready(directors, begun).await;
                assert!(times[0] <= READY, "{signal:?} after {after} ms: ready after {:?}", times[0]);
                lasted.set(lasted.get().max(times[0]));
                all_serve(directors, 0x100 * (n as u64 + 1), true).await;
                drop(fleet);
            }
        }
        println!("ended within the first second: ready again within {:.0?} at most", lasted.get());
        std::fs::remove_dir_all(&folder).expect("the folder");
    });
}
