//! The graceful shutdown: what was accepted is answered, and a successor takes over an inherited socket.
#![cfg(feature = "cli")]

mod emulated;
mod program;

use emulated::{run_local, send, EmulatedServer, ServerBehavior};
use program::{config_with_origin, write_request, Program, Scratch, Start};
use rustix::process::Signal;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

const COPY: ServerBehavior = ServerBehavior::Responds("ID ACK - 2\r\nok\r\n");
const ALIVE: &str = "GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n";
/// New connections are served for this long after SIGTERM.
const GRACE_PERIOD: Duration = Duration::from_millis(700);

fn run(config: &Scratch) -> Program {
    Start { config: Some(&config.0), ..Start::default() }.run()
}

/// A write on a connection that is kept alive.
fn keep_alive_write(id: u64) -> String {
    write_request(id, 1_500).replace("Connection: close\r\n", "")
}

/// Waits until the server has been sent a request; a program that has ended never sends one.
async fn request_reached(origin: &EmulatedServer) {
    let begun = Instant::now();
    while origin.requests().is_empty() {
        assert!(begun.elapsed() < Duration::from_secs(10), "nothing was sent");
        sleep(Duration::from_millis(1)).await;
    }
}

async fn send_on(stream: &mut TcpStream, request: &str) -> String {
    stream.write_all(request.as_bytes()).await.expect("a reader");
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\nok") {
        assert_ne!(stream.read_buf(&mut answer).await.expect("an answer"), 0);
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
        let config = Scratch::new("term", &config_with_origin(&origin.address));
        let program = run(&config);
        let mut accepted = TcpStream::connect(&program.address).await.expect("a listener");
        accepted.write_all(keep_alive_write(1).as_bytes()).await.expect("a reader");
        request_reached(&origin).await;
        program.signal(Signal::TERM);
        let begun = Instant::now();
        assert_eq!(send(&program.address, ALIVE).await.status, 200);
        let answer = read_to_close(&mut accepted).await;
        assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
        program.end_well().await;
        assert!(begun.elapsed() >= GRACE_PERIOD, "{:?}", begun.elapsed());
    });
}

/// Guards against an end while a request is still coming: it has begun, and is not dispatched yet.
#[test]
fn a_request_that_has_begun_to_come_at_the_shutdown_is_answered() {
    run_local(async {
        let origin = EmulatedServer::start(COPY).await;
        let config = Scratch::new("begun", &config_with_origin(&origin.address));
        let program = run(&config);
        let mut client = TcpStream::connect(&program.address).await.expect("a listener");
        client.write_all(b"GET /alive HTTP/1.1\r\n\r\n").await.expect("a reader");
        client.read_exact(&mut [0; 15]).await.expect("an answer");
        program.signal(Signal::TERM);
        let begun = Instant::now();
        sleep(Duration::from_millis(300)).await;
        let head = keep_alive_write(1).replace("Content-Length: 0", "Content-Length: 4");
        client.write_all(head.as_bytes()).await.expect("a reader");
        // Until its listener is closed, and a while longer.
        while TcpStream::connect(&program.address).await.is_ok() {
            assert!(begun.elapsed() < Duration::from_secs(5), "it goes on");
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(200)).await;
        client.write_all(b"body").await.expect("a reader");
        let answer = read_to_close(&mut client).await;
        assert!(
            answer.contains("HTTP/1.1 200 OK\r\nContent-Length: 2") || answer.ends_with("\r\n\r\nok"),
            "{answer}"
        );
        program.end_well().await;
    });
}

/// Guards against a second process failing for the address that the first one serves, and against requests
/// lost between the two: each connection of the old one ends with an answer that says so.
#[test]
fn a_successor_on_the_inherited_socket_takes_over_from_a_process_that_ends() {
    run_local(async {
        let origin = EmulatedServer::start(COPY).await;
        let config = Scratch::new("successor", &config_with_origin(&origin.address));
        let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("an address").to_string();
        let run = || {
            let program =
                Start { config: Some(&config.0), inherited: Some(&socket), ..Start::default() }.run();
            assert_eq!(program.address, address);
            program
        };
        let closes = |answer: String| answer.contains("Connection: close");
        let old = run();
        let mut kept = TcpStream::connect(&address).await.expect("a listener");
        assert!(!closes(send_on(&mut kept, &keep_alive_write(1)).await));
        let _new = run();
        old.signal(Signal::TERM);
        sleep(Duration::from_millis(100)).await;
        for id in 2..20 {
            let mut stream = TcpStream::connect(&address).await.expect("a listener");
            assert!(!closes(send_on(&mut stream, &keep_alive_write(id)).await), "the successor's");
        }
        assert!(closes(send_on(&mut kept, &keep_alive_write(1)).await), "the last answer");
        old.end_well().await;
    });
}

/// Guards against a reload that cancels the shutdown, or the other way round: what was accepted is answered.
#[test]
fn a_reload_at_the_same_moment_leaves_the_shutdown_as_it_is() {
    for signals in [[Signal::HUP, Signal::TERM], [Signal::TERM, Signal::HUP]] {
        run_local(async {
            let origin = EmulatedServer::start(ServerBehavior::Responds("")).await;
            let config = Scratch::new("reload-at-end", &config_with_origin(&origin.address));
            let program = run(&config);
            let mut accepted = TcpStream::connect(&program.address).await.expect("a listener");
            accepted.write_all(keep_alive_write(1).as_bytes()).await.expect("a reader");
            request_reached(&origin).await;
            signals.into_iter().for_each(|signal| program.signal(signal));
            let answer = read_to_close(&mut accepted).await;
            assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
            program.end_well().await;
        });
    }
}
