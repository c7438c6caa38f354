//! The process: its start, the descriptors and threads it opens, and its log.
#![cfg(feature = "cli")]

mod emulated;
mod program;

use emulated::{run_local, send_request_text, EmulatedServer, ServerBehavior};
use program::{config_with_origin, write_request, Program, StartOptions, TempFile};
use rustix::process::Signal;
use std::io::{BufRead, BufReader, Read};
use std::time::Duration;
use tokio::time::timeout;

/// The most bytes of log that may wait for a late reader; a pipe holds 64 KB.
const MAX_UNREAD_LOG_BYTES: usize = 80_000;

#[test]
fn an_invalid_configuration_fails_the_start_with_a_single_line_that_names_the_fault() {
    let valid = config_with_origin("127.0.0.1:1");
    for (name, text, expected) in [
        ("a", "{", "not valid JSON"),
        ("b", &valid.replace("\"zone\": \"branch\"", "\"zone\": \"elsewhere\""), "key 'zone'"),
        ("c", &valid.replace("\"in_service\"", "\"resting\""), "'resting'"),
        ("d", &valid.replace("127.0.0.1:0", "nowhere"), "listen on nowhere"),
        ("e", &valid.replace("\"maxAttempts\": 6", "\"maxAttempts\": 0"), "maxAttempts"),
    ] {
        let file = TempFile::new(name, text);
        let options = StartOptions { config: Some(&file.0), ..StartOptions::default() };
        let output =
            options.spawn().expect("the program").wait_with_output().expect("the exit of the program");
        let text = String::from_utf8(output.stderr).expect("text");
        assert!(
            !output.status.success() && text.contains(expected),
            "{name}: expected a failure that names {expected}, got {text}"
        );
        assert_eq!(text.lines().count(), 1, "{name}: expected one line, got {text}");
    }
}

/// Guards against a log that fills its pipe, or whose reader has gone, and blocks the program's only thread.
#[test]
fn an_unread_log_does_not_delay_requests() {
    run_local(async {
        let origin = EmulatedServer::start(ServerBehavior::Responds("ID ACK - 2\r\nok\r\n")).await;
        let file = TempFile::new("log", &config_with_origin(&origin.address));
        let options =
            StartOptions { config: Some(&file.0), log_level: Some("debug"), ..StartOptions::default() };
        let mut child = options.spawn().expect("the program");
        let mut log = BufReader::with_capacity(64, child.stderr.take().expect("a pipe"));
        let program = Program::from_child(child);
        let mut first_line = String::new();
        log.read_line(&mut first_line).expect("a line");
        let address = first_line.trim_end().rsplit(' ').next().expect("an address in the first line");
        // Each request logs about 200 bytes, and a pipe holds 64 KB.
        for id in 0..1_000 {
            let answer =
                timeout(Duration::from_secs(2), send_request_text(address, &write_request(id, 1_500))).await;
            assert_eq!(answer.expect("a response in time").status, 200);
        }
        program.signal(Signal::TERM);
        let mut text = String::new();
        log.read_to_string(&mut text).expect("text");
        assert!(text.contains("attempt") && text.contains("server=\"example-origin\""), "{}", &text[..400]);
        assert!(text.len() < MAX_UNREAD_LOG_BYTES, "{} bytes were kept for the reader", text.len());
    });
}

/// The resources that a process has open.
#[cfg(feature = "peers")]
struct OpenResources {
    descriptors: usize,
    threads: usize,
    has_gossip_socket: bool,
}

#[cfg(feature = "peers")]
impl OpenResources {
    fn of(program: &Program, gossip: std::net::SocketAddr) -> OpenResources {
        let process = program.process_folder();
        let count = |folder: &str| {
            std::fs::read_dir(process.join(folder)).expect("a readable folder under /proc").count()
        };
        let sockets = std::fs::read_to_string(process.join("net/udp")).expect("a readable table of sockets");
        let port = format!(":{:04X} ", gossip.port());
        OpenResources {
            descriptors: count("fd"),
            threads: count("task"),
            has_gossip_socket: sockets.contains(&port),
        }
    }
}

/// Guards against resources that gossip among directors opens unasked: without a section `peers` it opens no
/// socket, file or thread, and with it one socket.
#[cfg(feature = "peers")]
#[test]
fn gossip_opens_one_socket_if_the_operators_file_enables_it_and_nothing_otherwise() {
    let config = TempFile::new("quiet", &config_with_origin("127.0.0.1:1"));
    let key = TempFile::new("quiet-key", "c2VjcmV0c2VjcmV0c2VjcmV0\n");
    let gossip =
        std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port").local_addr().expect("a bound address");
    let peers = format!(
        "peers: {{listen: \"{gossip}\", name: a, fleet: example, key: {}}}\n",
        key.0.file_name().expect("a name").to_string_lossy()
    );
    let operator = TempFile::new("quiet-operator", &peers);
    let [off, on] = [None, Some(operator.0.as_path())].map(|operator| {
        let program = StartOptions { config: Some(&config.0), operator, ..StartOptions::default() }.start();
        OpenResources::of(&program, gossip)
    });
    assert_eq!(
        (off.threads, off.has_gossip_socket),
        (1, false),
        "without gossip: one thread, and no socket for gossip"
    );
    assert_eq!(on.descriptors, off.descriptors + 1, "with gossip: one socket more");
    assert_eq!((on.threads, on.has_gossip_socket), (1, true), "with gossip: no further thread");
}
