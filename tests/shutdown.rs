//! Graceful shutdown: accepted requests are answered, and a successor takes over an inherited socket.
#![cfg(feature = "cli")]

mod emulated;
mod program;

use emulated::{run_local, send_request_text, EmulatedServer, ServerBehavior};
use program::{config_with_origin, write_request, Program, StartOptions, TempFile};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

const COPY: ServerBehavior = ServerBehavior::Responds("ID ACK - 2\r\nok\r\n");
const ALIVE: &str = "GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n";
/// How long new connections are served after SIGTERM.
const GRACE_PERIOD: Duration = Duration::from_millis(700);

fn start_program(config: &TempFile) -> Program {
    StartOptions { config: Some(&config.0), ..StartOptions::default() }.start()
}

/// Returns a write request that leaves its connection open.
fn keep_alive_write(id: u64) -> String {
    write_request(id, 1_500).replace("Connection: close\r\n", "")
}

/// Waits until the server has received a request; fails after 10 s, as a program that has exited never sends
/// one.
async fn wait_for_request(origin: &EmulatedServer) {
    let started_at = Instant::now();
    while origin.requests().is_empty() {
        assert!(started_at.elapsed() < Duration::from_secs(10), "the server has received no request");
        sleep(Duration::from_millis(1)).await;
    }
}

/// Sends a request on an open connection and reads the response to its body `ok`.
async fn send_on(stream: &mut TcpStream, request: &str) -> String {
    stream.write_all(request.as_bytes()).await.expect("a connected peer");
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\nok") {
        assert_ne!(stream.read_buf(&mut answer).await.expect("a response"), 0, "closed before the response");
    }
    String::from_utf8(answer).expect("text")
}

async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    String::from_utf8(answer).expect("text")
}

#[test]
fn after_sigterm_accepted_requests_and_new_connections_are_served_before_the_process_ends() {
    run_local(async {
        let origin = EmulatedServer::start(ServerBehavior::Responds("")).await;
        let config = TempFile::new("term", &config_with_origin(&origin.address));
        let program = start_program(&config);
        let mut accepted = TcpStream::connect(&program.address).await.expect("a listener");
        accepted.write_all(keep_alive_write(1).as_bytes()).await.expect("a connected peer");
        wait_for_request(&origin).await;
        program.signal(Signal::TERM);
        let started_at = Instant::now();
        assert_eq!(send_request_text(&program.address, ALIVE).await.status, 200);
        let answer = read_to_close(&mut accepted).await;
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
        program.wait_for_success().await;
        assert!(started_at.elapsed() >= GRACE_PERIOD, "took {:?}", started_at.elapsed());
    });
}

/// Guards against exiting while a request has been received in part and is not dispatched yet.
#[test]
fn a_request_received_in_part_during_the_shutdown_is_answered() {
    run_local(async {
        let origin = EmulatedServer::start(COPY).await;
        let config = TempFile::new("begun", &config_with_origin(&origin.address));
        let program = start_program(&config);
        let mut client = TcpStream::connect(&program.address).await.expect("a listener");
        client.write_all(b"GET /alive HTTP/1.1\r\n\r\n").await.expect("a connected peer");
        client.read_exact(&mut [0; 15]).await.expect("an answer");
        program.signal(Signal::TERM);
        let started_at = Instant::now();
        sleep(Duration::from_millis(300)).await;
        let head = keep_alive_write(1).replace("Content-Length: 0", "Content-Length: 4");
        client.write_all(head.as_bytes()).await.expect("a connected peer");
        // Waits until the listener is closed, and 200 ms longer.
        while TcpStream::connect(&program.address).await.is_ok() {
            assert!(started_at.elapsed() < Duration::from_secs(5), "the listener stays open");
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(200)).await;
        client.write_all(b"body").await.expect("a connected peer");
        let answer = read_to_close(&mut client).await;
        assert!(
            answer.contains("HTTP/1.1 200 OK\r\nContent-Length: 2") || answer.ends_with("\r\n\r\nok"),
            "{answer}"
        );
        program.wait_for_success().await;
    });
}

/// Guards against a second process that can't start because the first serves the address, and against
/// requests lost between the two: the last response on each connection of the old process says that it closes
/// the connection.
#[test]
fn a_successor_on_the_inherited_socket_takes_over_from_a_process_that_shuts_down() {
    run_local(async {
        let origin = EmulatedServer::start(COPY).await;
        let config = TempFile::new("successor", &config_with_origin(&origin.address));
        let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = socket.local_addr().expect("a bound address").to_string();
        let start_inherited = || {
            let program =
                StartOptions { config: Some(&config.0), inherited: Some(&socket), ..StartOptions::default() }
                    .start();
            assert_eq!(program.address, address);
            program
        };
        let is_last = |answer: String| answer.contains("Connection: close");
        let old = start_inherited();
        let mut open = TcpStream::connect(&address).await.expect("a listener");
        assert!(!is_last(send_on(&mut open, &keep_alive_write(1)).await));
        let _new = start_inherited();
        old.signal(Signal::TERM);
        sleep(Duration::from_millis(100)).await;
        for id in 2..20 {
            let mut stream = TcpStream::connect(&address).await.expect("a listener");
            assert!(
                !is_last(send_on(&mut stream, &keep_alive_write(id)).await),
                "the successor keeps its connections open"
            );
        }
        assert!(
            is_last(send_on(&mut open, &keep_alive_write(1)).await),
            "the old process closes its connection with the response"
        );
        old.wait_for_success().await;
    });
}

/// Guards against a reload that cancels the shutdown, and a shutdown that breaks because of a reload:
/// accepted requests are answered.
#[test]
fn a_reload_at_the_same_moment_does_not_affect_the_shutdown() {
    for signals in [[Signal::HUP, Signal::TERM], [Signal::TERM, Signal::HUP]] {
        run_local(async {
            let origin = EmulatedServer::start(ServerBehavior::Responds("")).await;
            let config = TempFile::new("reload-at-end", &config_with_origin(&origin.address));
            let program = start_program(&config);
            let mut accepted = TcpStream::connect(&program.address).await.expect("a listener");
            accepted.write_all(keep_alive_write(1).as_bytes()).await.expect("a connected peer");
            wait_for_request(&origin).await;
            signals.into_iter().for_each(|signal| program.signal(signal));
            let answer = read_to_close(&mut accepted).await;
            assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
            program.wait_for_success().await;
        });
    }
}

/// Guards against exiting by the deadlines of later settings, before requests that began under longer ones
/// are answered.
#[test]
fn a_request_that_began_under_a_longer_deadline_is_answered_during_the_shutdown() {
    const DEADLINE_MS: u64 = 5_000;
    run_local(async {
        let origin = EmulatedServer::start(ServerBehavior::Responds("")).await;
        let text = config_with_origin(&origin.address);
        let with_deadline = |ms: u64| {
            text.replace("\"deadlineMs\": 5000", &format!("\"deadlineMs\": {ms}"))
                .replace("\"deadlineMs\": 3000", &format!("\"deadlineMs\": {ms}"))
        };
        let config = TempFile::new("longer-deadline", &with_deadline(DEADLINE_MS));
        let program = start_program(&config);
        let mut accepted = TcpStream::connect(&program.address).await.expect("a listener");
        accepted.write_all(write_request(1, DEADLINE_MS).as_bytes()).await.expect("a connected peer");
        wait_for_request(&origin).await;
        for shorter_ms in [1_000, 900] {
            config.replace(&with_deadline(shorter_ms));
            program.signal(Signal::HUP);
            sleep(Duration::from_millis(200)).await;
        }
        program.signal(Signal::TERM);
        let answer = read_to_close(&mut accepted).await;
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
        program.wait_for_success().await;
    });
}
