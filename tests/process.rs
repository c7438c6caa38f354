//! The process: how it starts, what it opens, and its log.
#![cfg(feature = "cli")]

mod emulated;
mod program;

use emulated::{run_local, send, EmulatedServer, ServerBehavior};
use program::{config_with_origin, write_request, Program, Scratch, Start};
use rustix::process::Signal;
use std::io::{BufRead, BufReader, Read};
use std::time::Duration;
use tokio::time::timeout;

/// Bytes that the log may have for a reader who comes late: a pipe holds 64 KB.
const MAX_UNREAD_LOG_BYTES: usize = 80_000;

#[test]
fn a_bad_configuration_ends_the_start_with_one_clear_line() {
    let good = config_with_origin("127.0.0.1:1");
    for (name, text, says) in [
        ("a", "{", "not valid JSON"),
        ("b", &good.replace("\"zone\": \"branch\"", "\"zone\": \"elsewhere\""), "key 'zone'"),
        ("c", &good.replace("\"in_service\"", "\"resting\""), "'resting'"),
        ("d", &good.replace("127.0.0.1:0", "nowhere"), "listen on nowhere"),
        ("e", &good.replace("\"maxAttempts\": 6", "\"maxAttempts\": 0"), "maxAttempts"),
    ] {
        let file = Scratch::new(name, text);
        let start = Start { config: Some(&file.0), ..Start::default() };
        let output = start.spawn().expect("the program").wait_with_output().expect("an end");
        let text = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && text.contains(says), "{name}: {text}");
        assert_eq!(text.lines().count(), 1, "{name}: {text}");
    }
}

/// Guards against a log that fills its pipe and blocks the program's one thread, or one whose reader has
/// gone.
#[test]
fn a_log_that_nobody_reads_holds_up_no_request() {
    run_local(async {
        let origin = EmulatedServer::start(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let file = Scratch::new("log", &config_with_origin(&origin.address));
        let start = Start { config: Some(&file.0), log_level: Some("debug"), ..Start::default() };
        let mut child = start.spawn().expect("the program");
        let mut log = BufReader::with_capacity(64, child.stderr.take().expect("a pipe"));
        let program = Program::of(child);
        let mut first_line = String::new();
        log.read_line(&mut first_line).expect("a line");
        let address = first_line.trim_end().rsplit(' ').next().expect("an address");
        // Some 200 bytes each, where a pipe holds 64 KB.
        for id in 0..1_000 {
            let answer = timeout(Duration::from_secs(2), send(address, &write_request(id, 1_500))).await;
            assert_eq!(answer.expect("an answer in time").status, 200);
        }
        program.signal(Signal::TERM);
        let mut text = String::new();
        log.read_to_string(&mut text).expect("text");
        assert!(text.contains("attempt") && text.contains("server=\"example-origin\""), "{}", &text[..400]);
        assert!(text.len() < MAX_UNREAD_LOG_BYTES, "{} bytes", text.len());
    });
}

/// What a process has open.
#[cfg(feature = "peers")]
struct Opened {
    descriptors: usize,
    threads: usize,
    has_gossip_socket: bool,
}

#[cfg(feature = "peers")]
impl Opened {
    fn of(program: &Program, gossip: std::net::SocketAddr) -> Opened {
        let process = program.process_folder();
        let count = |folder: &str| std::fs::read_dir(process.join(folder)).expect("ours").count();
        let sockets = std::fs::read_to_string(process.join("net/udp")).expect("a table");
        let port = format!(":{:04X} ", gossip.port());
        Opened {
            descriptors: count("fd"),
            threads: count("task"),
            has_gossip_socket: sockets.contains(&port),
        }
    }
}

/// Without a section `peers` the gossip among directors opens no socket, file or thread; with one it is one
/// socket more.
#[cfg(feature = "peers")]
#[test]
fn gossip_among_directors_is_off_unless_the_operators_file_says_otherwise() {
    let config = Scratch::new("quiet", &config_with_origin("127.0.0.1:1"));
    let key = Scratch::new("quiet-key", "c2VjcmV0c2VjcmV0c2VjcmV0\n");
    let gossip = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let peers = format!(
        "peers: {{listen: \"{gossip}\", name: a, fleet: example, key: {}}}\n",
        key.0.file_name().expect("a name").to_string_lossy()
    );
    let operator = Scratch::new("quiet-operator", &peers);
    let [off, on] = [None, Some(operator.0.as_path())].map(|operator| {
        let program = Start { config: Some(&config.0), operator, ..Start::default() }.run();
        Opened::of(&program, gossip)
    });
    assert_eq!((off.threads, off.has_gossip_socket), (1, false), "one thread, no socket for gossip");
    assert_eq!(on.descriptors, off.descriptors + 1, "one socket");
    assert_eq!((on.threads, on.has_gossip_socket), (1, true), "no further thread");
}
