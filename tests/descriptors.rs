//! Shortage of descriptors: idle clients take all that the limit allows while the discovery service is down,
//! two processes share one limit, or the system grants none. The tests run real processes with their own
//! limits, over real connections.
#![cfg(feature = "cli")]

mod emulated;
mod program;

use emulated::{run_local, start_cache_parent_origin, EmulatedServer, ServerBehavior};
use foxhold::daemon::descriptors::{DescriptorBudget, DescriptorNeeds};
use program::{
    example_config, free_address, read_request, request_status, send_command, write_request, DescriptorPeak,
    Program, StartOptions, TempFile,
};
use rustix::process::Signal;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const COPY: ServerBehavior = ServerBehavior::Responds("ID ACK res=cached 5\r\nbytes\r\n");
/// More connections than any limit in these tests allows.
const IDLE_CLIENTS: usize = 400;
/// More connections than the smallest limit in these tests allows.
const INCOMPLETE_COMMANDS: usize = 60;
/// The delay after which an idle client whose connection was closed connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// The time limit for the director to watch a discovery service that has returned, and for other immediate
/// actions.
const MAX_RECOVERY: Duration = Duration::from_secs(1);
/// The time limit for the reset that shows that a request crossed the close of its connection.
const MAX_CROSSING: Duration = Duration::from_millis(50);

fn addresses(servers: &[EmulatedServer; 3]) -> [&str; 3] {
    [&servers[0].address, &servers[1].address, &servers[2].address]
}

/// Starts clients that stay idle, half of them after a first request, and reconnect when they are closed.
fn connect_idle_clients(address: &str) {
    for n in 0..IDLE_CLIENTS {
        let address = address.to_owned();
        tokio::task::spawn_local(async move {
            loop {
                let _ = stay_idle(&address, n % 2 == 0).await;
                sleep(RECONNECT_DELAY).await;
            }
        });
    }
}

async fn stay_idle(address: &str, sends_first_request: bool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    if sends_first_request {
        stream.write_all(b"GET /alive HTTP/1.1\r\n\r\n").await?;
    }
    while stream.read(&mut [0; 512]).await? > 0 {}
    Ok(())
}

/// Waits until the peak exceeds this number of descriptors, for `MAX_RECOVERY` at most. Clients connect in
/// waves, and each wave takes all that clients are allowed for some milliseconds only.
async fn wait_until_peak_exceeds(peak: &DescriptorPeak, descriptors: usize) {
    let started_at = Instant::now();
    while peak.get() <= descriptors && started_at.elapsed() < MAX_RECOVERY {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Connects to the admin endpoint many times without sending a complete command. The program is suspended
/// (SIGSTOP) meanwhile, so that all connections are in the backlog before it accepts the first.
async fn connect_without_commands(program: &Program, admin: &str) -> Vec<TcpStream> {
    program.signal(Signal::STOP);
    let mut connections = Vec::new();
    for _ in 0..INCOMPLETE_COMMANDS {
        connections.push(TcpStream::connect(admin).await.expect("capacity in the backlog"));
    }
    program.signal(Signal::CONT);
    connections
}

/// How a request on a new connection ended.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Answered(u16),
    /// The director closed the connection before it received the request.
    ClosedBefore,
    Unanswered,
}

async fn send_request(address: &str, request: &str) -> Outcome {
    let answer = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await?;
        let closed_before = bytes.is_empty() && has_been_reset(&stream).await?;
        Ok::<_, std::io::Error>((bytes, closed_before))
    };
    match timeout(8 * MAX_RECOVERY, answer).await {
        Ok(Ok((_, true))) => Outcome::ClosedBefore,
        Ok(Ok((bytes, false))) => parse_status(&bytes).map_or(Outcome::Unanswered, Outcome::Answered),
        _ => Outcome::Unanswered,
    }
}

fn parse_status(answer: &[u8]) -> Option<u16> {
    std::str::from_utf8(answer.get(9..12)?).ok()?.parse().ok()
}

/// Returns whether a connection that the director closed is then reset as well. The system resets it if bytes
/// reach the closed socket, and not if the director read them before it closed.
async fn has_been_reset(stream: &TcpStream) -> std::io::Result<bool> {
    let started_at = Instant::now();
    while started_at.elapsed() < MAX_CROSSING {
        if stream.take_error()?.is_some() {
            return Ok(true);
        }
        sleep(Duration::from_millis(1)).await;
    }
    Ok(false)
}

/// Sends requests until one is served. A rejection is final and safe to retry, so that a new request follows
/// it. The director may close a connection to free its descriptor before the first request arrives: that
/// request is sent again on a new connection, once.
async fn wait_until_served(address: &str, id: u64) {
    let started_at = Instant::now();
    let mut previous = None;
    for n in 0.. {
        let outcome = send_request(address, &read_request(id + n, 800)).await;
        match outcome {
            Outcome::Answered(200) => return,
            Outcome::ClosedBefore => assert_ne!(
                previous,
                Some(Outcome::ClosedBefore),
                "a request may cross the close of its connection once, not twice"
            ),
            _ => assert_eq!(outcome, Outcome::Answered(503), "expected 200 or 503"),
        }
        previous = Some(outcome);
        assert!(started_at.elapsed() < 5 * MAX_RECOVERY, "no request was served");
    }
}

/// Waits until the admin endpoint's metrics contain `expected`.
async fn wait_for_metrics(admin: &str, expected: &str) {
    let started_at = Instant::now();
    loop {
        let metrics = send_command(admin, "vars\n").await.expect("an answer");
        if metrics.contains(expected) {
            return;
        }
        assert!(started_at.elapsed() < 2 * MAX_RECOVERY, "no {expected} in {metrics}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Starts the discovery service again, waits until the director watches, and returns the director's
/// connection and how long that took.
async fn restart_discovery(address: &str) -> (TcpStream, Duration) {
    let started_at = Instant::now();
    let listener = TcpListener::bind(address).await.expect("the discovery service's port");
    let accepted = timeout(5 * MAX_RECOVERY, listener.accept()).await.expect("a connection in time");
    let mut stream = BufReader::new(accepted.expect("a connection").0);
    let mut line = String::new();
    timeout(5 * MAX_RECOVERY, stream.read_line(&mut line)).await.expect("a line in time").expect("a line");
    assert_eq!(line, "watch 1\n");
    (stream.into_inner(), started_at.elapsed())
}

#[test]
fn the_descriptor_budget_stays_within_the_limit_and_allows_clients_a_third_of_it() {
    let needs =
        DescriptorNeeds { already_open: 10, listeners: 4, admin: true, cluster: true, handover: false };
    for limit in 64..5_000 {
        for handover in [false, true] {
            let needs = DescriptorNeeds { handover, ..needs };
            let processes = if handover { 2 } else { 1 };
            let DescriptorBudget { client_soft_limit, client_hard_limit, upstream_limit } =
                DescriptorBudget::allocate(limit, &needs);
            let held = (needs.reserve() + client_hard_limit + upstream_limit) * processes;
            assert!(
                held <= limit || limit < 128,
                "{processes} processes may hold {held} descriptors, over the limit of {limit}"
            );
            assert!(
                client_soft_limit >= 2 && client_soft_limit < client_hard_limit && upstream_limit >= 4,
                "limit {limit}"
            );
            // On the platform clients hold a third of the limit at most, and each may have a request in
            // flight.
            assert!(
                limit < 256 || client_hard_limit * processes >= limit / 3,
                "{client_hard_limit} of {limit}"
            );
        }
    }
}

/// Guards against idle clients that take the descriptors needed for discovery, servers, operators and files.
async fn idle_clients_leave_a_reserve(sockets: usize, limit: u64) {
    let (servers, _) = start_cache_parent_origin(COPY).await;
    let (discovery, admin) = (free_address(), free_address());
    let text = example_config(sockets, &discovery, &admin, addresses(&servers));
    let file = TempFile::new(&format!("idle-{sockets}-{limit}.json"), &text);
    let options = StartOptions { config: Some(&file.0), descriptors: Some(limit), ..StartOptions::default() };
    let program = options.start();
    let peak = DescriptorPeak::of(&[&program]);
    connect_idle_clients(&program.address);
    sleep(2 * MAX_RECOVERY).await;
    wait_until_peak_exceeds(&peak, limit as usize / 2).await;
    let _connections = connect_without_commands(&program, &admin).await;
    assert!(
        peak.get() > limit as usize / 2,
        "clients hold {} of {limit} descriptors at most: more than half expected",
        peak.get()
    );

    let started_at = Instant::now();
    assert_eq!(send_command(&admin, "check\n").await.as_deref().map(|a| a.starts_with("YES")), Some(true));
    assert!(started_at.elapsed() < MAX_RECOVERY, "took {:?}", started_at.elapsed());
    wait_until_served(&program.address, 0x100).await;
    // The origin answers liveness checks, and no request.
    *servers[2].behavior.borrow_mut() = ServerBehavior::Responds("");
    let (address, in_flight) = (program.address.clone(), Rc::new(Cell::new(None)));
    let ended = in_flight.clone();
    let request = tokio::task::spawn_local(async move {
        ended.set(request_status(&address, &write_request(0x200, 2_500)).await);
    });
    while servers[2].requests().is_empty() && !request.is_finished() {
        sleep(Duration::from_millis(5)).await;
    }

    let (mut watch, took) = restart_discovery(&discovery).await;
    println!("{sockets} sockets, limit {limit}: discovery followed {took:?} after its return");
    assert!(took <= MAX_RECOVERY, "followed {took:?} after its return");
    let removal =
        "{\"rev\":2,\"pool\":{\"members\":[{\"id\":\"example-parent\",\"host_port\":\"127.0.0.1:1\",\
                \"locality\":\"hub\",\"flavor\":\"parent\",\"phase\":\"terminated\"}]}}\n2\n";
    watch.write_all(removal.as_bytes()).await.expect("the director's watch");
    wait_for_metrics(&admin, "\"caches_known\":2").await;
    file.replace(&text.replace("\"maxAttempts\": 6", "\"maxAttempts\": 5"));
    program.signal(Signal::HUP);
    wait_for_metrics(&admin, "\"reloads_ok\":1,\"reloads_failed\":0").await;
    request.await.expect("a task");
    assert!(matches!(in_flight.get(), Some(504 | 503)), "expected 504 or 503, got {:?}", in_flight.get());
    wait_until_served(&program.address, 0x300).await;
    let log = program.log();
    assert!(!log.contains("Too many open files"), "{log}");
    println!("{sockets} sockets, limit {limit}: {} descriptors at most", peak.get());
    assert!(peak.get() <= limit as usize, "the process holds {} descriptors of {limit}", peak.get());
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_servers_and_operators() {
    run_local(idle_clients_leave_a_reserve(256, 256));
}

#[test]
fn a_process_limit_below_the_configured_limit_applies() {
    run_local(idle_clients_leave_a_reserve(4096, 256));
}

#[test]
fn idle_clients_leave_a_reserve_at_the_smallest_limit() {
    run_local(idle_clients_leave_a_reserve(64, 64));
}

/// Guards against two processes that serve one socket and each use the whole limit.
#[test]
fn two_processes_in_a_handover_together_stay_within_the_descriptor_limit() {
    run_local(async {
        const LIMIT: usize = 256;
        let (servers, _) = start_cache_parent_origin(COPY).await;
        let (discovery, admins) = (free_address(), [free_address(), free_address()]);
        let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let start_program = |admin: &str| {
            let text = example_config(LIMIT, &discovery, admin, addresses(&servers));
            let file = TempFile::new(&format!("handover-{}.json", admin.replace(':', "-")), &text);
            let options = StartOptions {
                config: Some(&file.0),
                descriptors: Some(LIMIT as u64),
                inherited: Some(&socket),
                ..StartOptions::default()
            };
            options.start()
        };
        let old = start_program(&admins[0]);
        connect_idle_clients(&old.address);
        sleep(MAX_RECOVERY).await;
        let new = start_program(&admins[1]);
        let peak = DescriptorPeak::of(&[&old, &new]);
        let each = [&old, &new].map(|program| DescriptorPeak::of(&[program]));
        sleep(MAX_RECOVERY).await;
        for admin in &admins {
            let answer = send_command(admin, "check\n").await;
            assert!(answer.as_deref().is_some_and(|a| a.starts_with("YES")), "{admin}: {answer:?}");
        }
        wait_until_served(&new.address, 0x100).await;
        old.signal(Signal::TERM);
        let (_watch, took) = restart_discovery(&discovery).await;
        assert!(took <= MAX_RECOVERY, "followed {took:?} after its return");
        wait_until_served(&new.address, 0x200).await;
        println!("handover: {} descriptors at most, both together", peak.get());
        assert!(peak.get() <= LIMIT, "the processes hold {} descriptors of {LIMIT}", peak.get());
        let each = each.map(|peak| peak.get());
        assert!(
            each.iter().all(|peak| *peak <= LIMIT / 2),
            "each process may hold half of {LIMIT} descriptors, they hold {each:?}"
        );
        for program in [&old, &new] {
            assert!(!program.log().contains("Too many open files"), "{}", program.log());
        }
    });
}

/// Guards against ejecting servers, or giving up discovery, because this process lacks descriptors.
#[test]
fn a_lack_of_descriptors_ejects_no_server_and_everything_recovers_at_once_after_it() {
    run_local(async {
        let (servers, _) = start_cache_parent_origin(COPY).await;
        let (discovery, admin) = (free_address(), free_address());
        let file = TempFile::new("none.json", &example_config(256, &discovery, &admin, addresses(&servers)));
        let options =
            StartOptions { config: Some(&file.0), descriptors: Some(256), ..StartOptions::default() };
        let program = options.start();
        let mut clients = Vec::new();
        for _ in 0..12 {
            let mut client = TcpStream::connect(&program.address).await.expect("a listener");
            client.write_all(b"GET /alive HTTP/1.1\r\n\r\n").await.expect("a connected peer");
            assert!(client.read(&mut [0; 512]).await.expect("an answer") > 0);
            clients.push(client);
        }
        program.limit_descriptors(4);
        for (n, client) in clients.iter_mut().enumerate() {
            let request = read_request(0x100 + n as u64, 700);
            client.write_all(request.as_bytes()).await.expect("a connected peer");
            let mut answer = Vec::new();
            timeout(2 * MAX_RECOVERY, client.read_to_end(&mut answer))
                .await
                .expect("a response in time")
                .expect("a response");
            let text = String::from_utf8_lossy(&answer);
            assert!(text.starts_with("HTTP/1.1 503 "), "expected a 503, as nothing ran; got {text}");
        }
        program.limit_descriptors(256);
        wait_for_metrics(&admin, "\"caches_known\":3,\"caches_excluded\":0").await;
        let (_watch, took) = restart_discovery(&discovery).await;
        assert!(took <= MAX_RECOVERY, "followed {took:?} after its return");
        wait_until_served(&program.address, 0x200).await;
    });
}

/// Guards against new clients waiting in the backlog for ever while idle clients hold all descriptors.
#[test]
fn an_idle_client_is_closed_if_accept_finds_no_free_descriptor() {
    run_local(async {
        let (servers, _) = start_cache_parent_origin(COPY).await;
        let file = TempFile::new("room.json", &example_config(256, "", "", addresses(&servers)));
        let options =
            StartOptions { config: Some(&file.0), descriptors: Some(256), ..StartOptions::default() };
        let program = options.start();
        let mut clients = Vec::new();
        for _ in 0..12 {
            let mut client = TcpStream::connect(&program.address).await.expect("a listener");
            client.write_all(b"GET /alive HTTP/1.1\r\n\r\n").await.expect("a connected peer");
            assert!(client.read(&mut [0; 512]).await.expect("an answer") > 0);
            clients.push(client);
        }
        program.limit_descriptors(program.lowest_free_descriptor());
        let started_at = Instant::now();
        let answer =
            request_status(&program.address, "GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n").await;
        assert_eq!(answer, Some(200));
        assert!(started_at.elapsed() < MAX_RECOVERY, "took {:?}", started_at.elapsed());
    });
}
