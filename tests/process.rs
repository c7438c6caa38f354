//! The program as it is started: its first lines, its bad starts and its end.

mod standin;

use standin::{local, send, Manner, Server};
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("foxhold-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

/// The program in an empty folder of its own, where no file under `deploy/` is found.
fn program(config: &PathBuf) -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_foxhold"));
    program
        .env("ROUTER_CONFIG", config)
        .env_remove("FOXHOLD_FRONT")
        .current_dir(std::env::temp_dir())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    program
}

fn start(config: &PathBuf) -> Running {
    Running(Some(program(config).spawn().expect("the program")))
}

/// The program, which does not outlive a test that fails.
struct Running(Option<Child>);

impl Running {
    fn child(&mut self) -> &mut Child {
        self.0.as_mut().expect("a running program")
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn config(origin: &str) -> String {
    include_str!("../examples/config.json")
        .replace("127.0.0.1:7100", "127.0.0.1:0")
        .replace("127.0.0.1:7200", "")
        .replace("127.0.0.1:7103", "") // tests run side by side
        .replace("127.0.0.1:7203", origin)
}

/// Waits until the server has been sent a request; a program that has ended never sends one.
async fn asked(origin: &Server) {
    let begun = Instant::now();
    while origin.wants().is_empty() {
        assert!(begun.elapsed() < Duration::from_secs(10), "nothing was sent");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn signal(child: &mut Running, name: &str) {
    let command = format!("kill -{name} {}", child.child().id());
    let status = Command::new("sh").args(["-c", &command]).status().expect("a shell");
    assert!(status.success());
}

/// The address in the program's first line.
fn address(child: &mut Running) -> String {
    address_in(&mut BufReader::new(child.child().stderr.take().expect("a pipe")))
}

/// The same of a log that is read on.
fn address_in(log: &mut impl BufRead) -> String {
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    line.trim_end().rsplit(' ').next().expect("an address").to_owned()
}

#[test]
fn a_bad_configuration_ends_the_start_with_one_clear_line() {
    let good = config("127.0.0.1:1");
    for (name, text, says) in [
        ("a", "{", "not JSON"),
        ("b", &good.replace("\"zone\": \"branch\"", "\"zone\": \"elsewhere\""), "key 'zone'"),
        ("c", &good.replace("\"in_service\"", "\"resting\""), "'resting'"),
        ("d", &good.replace("127.0.0.1:0", "nowhere"), "listen on nowhere"),
        ("e", &good.replace("\"maxAttempts\": 6", "\"maxAttempts\": 0"), "maxAttempts"),
    ] {
        let path = file(name, text);
        let output = start(&path).0.take().expect("a program").wait_with_output().expect("an end");
        std::fs::remove_file(&path).expect("the file");
        let text = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && text.contains(says), "{name}: {text}");
        assert_eq!(text.lines().count(), 1, "{name}: {text}");
    }
}

#[test]
fn sigterm_lets_what_was_taken_end_and_then_ends_the_program() {
    local(async {
        let origin = Server::start(Manner::Says("")).await;
        let path = file("term", &config(&origin.address));
        let mut child = start(&path);
        let address = address(&mut child);
        let request = "PUT /ops/filing-submit/00000000000000aa HTTP/1.1\r\nX-Job-Id: 0000000000000001\r\n\
                       X-Allow-Ms: 1500\r\nContent-Length: 0\r\n\r\n";
        let mut early = TcpStream::connect(&address).await.expect("a listener");
        early.write_all(request.as_bytes()).await.expect("a reader");
        asked(&origin).await;
        signal(&mut child, "TERM");
        let begun = Instant::now();
        // Connections still come for a while, and are served.
        let alive = "GET /alive HTTP/1.1\r\nConnection: close\r\n\r\n";
        assert_eq!(send(&address, alive).await.status, 200);
        let mut answer = Vec::new();
        early.read_to_end(&mut answer).await.expect("an answer");
        assert!(answer.starts_with(b"HTTP/1.1 504 "), "{}", String::from_utf8_lossy(&answer));
        let status = tokio::task::spawn_blocking(move || child.child().wait())
            .await
            .expect("a thread")
            .expect("an end");
        assert!(status.success(), "{status}");
        assert!(begun.elapsed() >= Duration::from_millis(700), "{:?}", begun.elapsed());
        std::fs::remove_file(&path).expect("the file");
    });
}

/// Guards against the signal's default, which ends a program, and against what is under way being dropped.
#[test]
fn sighup_takes_over_the_board_s_address_and_leaves_what_is_open_alone() {
    local(async {
        let origin = Server::start(Manner::Says("")).await;
        let [old, new] = [(); 2].map(|()| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
        let at = |board: &std::net::TcpListener| board.local_addr().expect("an address").to_string();
        let with = |board: &str| {
            config(&origin.address).replace("\"board\": \"\"", &format!("\"board\": \"{board}\""))
        };
        let path = file("hup", &with(&at(&old)));
        let mut child = start(&path);
        let address = address(&mut child);
        let follower = |board: std::net::TcpListener| async {
            board.set_nonblocking(true).expect("a listener");
            let (stream, _) =
                tokio::net::TcpListener::from_std(board).expect("one").accept().await.expect("a peer");
            let mut lines = tokio::io::BufReader::new(stream);
            let mut line = String::new();
            tokio::io::AsyncBufReadExt::read_line(&mut lines, &mut line).await.expect("a line");
            (line, lines)
        };
        let (line, _kept) = follower(old).await;
        let mut open = TcpStream::connect(&address).await.expect("a listener");
        let request = "PUT /ops/filing-submit/00000000000000aa HTTP/1.1\r\nX-Job-Id: 0000000000000001\r\n\
                       X-Allow-Ms: 1500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        open.write_all(request.as_bytes()).await.expect("a reader");
        asked(&origin).await;
        // One that can't be used changes nothing; the next one does.
        std::fs::write(&path, "{").expect("a file");
        signal(&mut child, "HUP");
        tokio::time::sleep(Duration::from_millis(200)).await;
        std::fs::write(&path, with(&at(&new))).expect("a file");
        signal(&mut child, "HUP");
        assert_eq!(follower(new).await.0, line);
        let mut answer = Vec::new();
        open.read_to_end(&mut answer).await.expect("an answer");
        assert!(answer.starts_with(b"HTTP/1.1 504 "), "{}", String::from_utf8_lossy(&answer));
        std::fs::remove_file(&path).expect("the file");
    });
}

/// Guards against a second process failing for the address that the first one serves, and against requests
/// lost between the two: each connection of the old one ends with an answer that says so.
#[test]
fn a_successor_on_the_inherited_socket_takes_over_from_one_that_ends() {
    local(async {
        let origin = Server::start(Manner::Says("ID ACK - 2\r\nok\r\n")).await;
        let path = file("heir", &config(&origin.address));
        let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("an address").to_string();
        let start = || {
            let held = std::os::fd::OwnedFd::from(socket.try_clone().expect("a descriptor"));
            let mut child = Command::new("sh")
                .args(["-c", "exec 3<&0 0</dev/null; exec \"$0\"", env!("CARGO_BIN_EXE_foxhold")])
                .env("ROUTER_CONFIG", &path)
                .env("ROUTER_FD", "3")
                .env_remove("FOXHOLD_FRONT")
                .current_dir(std::env::temp_dir())
                .stdin(Stdio::from(held))
                .stdout(Stdio::null())
                .stderr(Stdio::piped())
                .spawn()
                .expect("the program");
            let mut line = String::new();
            let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
            log.read_line(&mut line).expect("a line");
            assert!(line.contains(&address), "{line}");
            Running(Some(child))
        };
        let request = |n: u32| {
            format!(
                "PUT /ops/filing-submit/00000000000000aa HTTP/1.1\r\nX-Job-Id: {n:016x}\r\n\
                 X-Allow-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
            )
        };
        async fn ask(stream: &mut TcpStream, request: String) -> String {
            stream.write_all(request.as_bytes()).await.expect("a reader");
            let mut answer = Vec::new();
            while !answer.ends_with(b"\r\n\r\nok") {
                assert_ne!(stream.read_buf(&mut answer).await.expect("an answer"), 0);
            }
            String::from_utf8(answer).expect("text")
        }
        let mut old = start();
        let mut kept = TcpStream::connect(&address).await.expect("a listener");
        assert!(!ask(&mut kept, request(1)).await.contains("Connection: close"));
        let new = start();
        signal(&mut old, "TERM");
        tokio::time::sleep(Duration::from_millis(100)).await;
        for n in 2..20 {
            let mut stream = TcpStream::connect(&address).await.expect("a listener");
            assert!(!ask(&mut stream, request(n)).await.contains("Connection: close"), "the successor's");
        }
        assert!(ask(&mut kept, request(1)).await.contains("Connection: close"), "the last answer");
        let status = tokio::task::spawn_blocking(move || old.child().wait()).await.expect("a thread");
        assert!(status.expect("an end").success());
        drop(new);
        std::fs::remove_file(&path).expect("the file");
    });
}

/// Guards against a log that fills its pipe and stops the program's one thread, or one whose reader has gone.
#[test]
fn a_log_that_nobody_reads_holds_up_nothing() {
    local(async {
        let origin = Server::start(Manner::Says("ID ACK - 2\r\nok\r\n")).await;
        let path = file("log", &config(&origin.address));
        let mut child =
            Running(Some(program(&path).env("FOXHOLD_LOG", "debug").spawn().expect("the program")));
        let mut log = BufReader::with_capacity(64, child.child().stderr.take().expect("a pipe"));
        let address = address_in(&mut log);
        // Some 200 bytes each, where a pipe holds 64 KB.
        for n in 0..1_000 {
            let request = format!(
                "PUT /ops/filing-submit/00000000000000aa HTTP/1.1\r\nX-Job-Id: {n:016x}\r\n\
                 X-Allow-Ms: 1500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            );
            let answer = tokio::time::timeout(Duration::from_secs(2), send(&address, &request)).await;
            assert_eq!(answer.expect("an answer in time").status, 200);
        }
        let mut text = String::new();
        signal(&mut child, "TERM");
        std::io::Read::read_to_string(&mut log, &mut text).expect("text");
        assert!(text.contains("attempt") && text.contains("server=\"example-origin\""), "{}", &text[..400]);
        assert!(text.len() < 80_000, "{} bytes", text.len());
        std::fs::remove_file(&path).expect("the file");
    });
}

/// Without a section `peers` the talk among directors opens no socket, file or thread; with one it is one
/// socket more.
#[cfg(feature = "peers")]
#[test]
fn talk_among_directors_is_off_unless_the_operators_file_says_otherwise() {
    let path = file("quiet", &config("127.0.0.1:1"));
    let key = file("quiet-key", "c2VjcmV0c2VjcmV0c2VjcmV0\n");
    let listen = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let peers = format!(
        "peers: {{listen: \"{listen}\", name: a, fleet: example, key: {}}}\n",
        key.file_name().expect("a name").to_string_lossy()
    );
    let operator = file("quiet-operator", &peers);
    let mut counts = Vec::new();
    for on in [false, true] {
        let mut command = program(&path);
        if on {
            command.env("FOXHOLD_FRONT", &operator);
        }
        let mut child = Running(Some(command.spawn().expect("the program")));
        let _log = address(&mut child);
        let process = format!("/proc/{}", child.child().id());
        let count = |folder: &str| std::fs::read_dir(format!("{process}/{folder}")).expect("ours").count();
        let udp = std::fs::read_to_string(format!("{process}/net/udp")).expect("a table");
        let port = format!(":{:04X} ", listen.port());
        counts.push((count("fd"), count("task"), udp.contains(&port)));
    }
    for path in [path, key, operator] {
        std::fs::remove_file(path).expect("a file");
    }
    let (off, on) = (counts[0], counts[1]);
    assert_eq!((off.1, off.2), (1, false), "one thread, no socket for talk");
    assert_eq!((on.0, on.1, on.2), (off.0 + 1, 1, true), "one socket, no thread");
}

/// Guards against the program's end while a request is still coming: it was begun, but in nobody's hand yet.
#[test]
fn a_request_that_has_begun_to_come_when_the_program_is_to_end_is_answered() {
    local(async {
        let origin = Server::start(Manner::Says("ID ACK - 2\r\nok\r\n")).await;
        let path = file("begun", &config(&origin.address));
        let mut child = start(&path);
        let address = address(&mut child);
        let mut client = TcpStream::connect(&address).await.expect("a listener");
        let alive = "GET /alive HTTP/1.1\r\n\r\n";
        client.write_all(alive.as_bytes()).await.expect("a reader");
        client.read_exact(&mut [0; 15]).await.expect("an answer");
        signal(&mut child, "TERM");
        let begun = Instant::now();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let request = "PUT /ops/filing-submit/00000000000000aa HTTP/1.1\r\nX-Job-Id: 0000000000000001\r\n\
                       X-Allow-Ms: 1500\r\nContent-Length: 4\r\n\r\n";
        client.write_all(request.as_bytes()).await.expect("a reader");
        // Until its listener is closed, and a while longer.
        while TcpStream::connect(&address).await.is_ok() {
            assert!(begun.elapsed() < Duration::from_secs(5), "it goes on");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        client.write_all(b"body").await.expect("a reader");
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.expect("an answer");
        let text = String::from_utf8_lossy(&answer);
        assert!(
            text.contains("HTTP/1.1 200 OK\r\nContent-Length: 2") || text.ends_with("\r\n\r\nok"),
            "{text}"
        );
        let status = tokio::task::spawn_blocking(move || child.child().wait()).await.expect("a thread");
        assert!(status.expect("an end").success());
        std::fs::remove_file(&path).expect("the file");
    });
}

/// An event of the board about the example cache.
fn told_of_cache(rev: u64, phase: &str, cache: &str) -> String {
    format!(
        "{{\"rev\":{rev},\"pool\":{{\"members\":[{{\"id\":\"example-cache\",\"host_port\":\"{cache}\",\
         \"locality\":\"branch\",\"flavor\":\"cache\",\"phase\":\"{phase}\",\"size\":8}}]}}}}\n"
    )
}

/// A board that tells of the cache's drain to whoever has not heard of it, some moments after it is asked.
async fn drains_the_cache(board: tokio::net::TcpListener, after: Duration, cache: String) {
    while let Ok((stream, _)) = board.accept().await {
        let (mut stream, cache) = (tokio::io::BufReader::new(stream), cache.clone());
        tokio::task::spawn_local(async move {
            let mut line = String::new();
            let _ = tokio::io::AsyncBufReadExt::read_line(&mut stream, &mut line).await;
            tokio::time::sleep(after).await;
            if line == "watch 1\n" {
                let _ = stream.write_all(told_of_cache(2, "terminating", &cache).as_bytes()).await;
            }
            while stream.write_all(b"2\n").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        });
    }
}

/// Guards against a drain that is lost between the old board and the new one, or taken back by the list that
/// the new configuration holds.
#[test]
fn a_reload_in_the_moment_of_a_drain_loses_it_in_no_order() {
    for gap in [-20, -5, -1, 0, 1, 5, 20_i64] {
        local(async {
            let copy = Manner::Says("ID ACK res=cached 5\r\nbytes\r\n");
            let [cache, parent, origin] = [(); 3].map(|()| Server::start(copy.clone()));
            let (cache, parent, origin) = (cache.await, parent.await, origin.await);
            let [old, new] = [(); 2].map(|()| tokio::net::TcpListener::bind("127.0.0.1:0"));
            let (old, new) = (old.await.expect("a port"), new.await.expect("a port"));
            let with = |board: &tokio::net::TcpListener| {
                let board = board.local_addr().expect("an address").to_string();
                config(&origin.address)
                    .replace("\"board\": \"\"", &format!("\"board\": \"{board}\""))
                    .replace("127.0.0.1:7201", &cache.address)
                    .replace("127.0.0.1:7202", &parent.address)
            };
            let path = file(&format!("drain-{gap}"), &with(&old));
            // Settings change too, so that the core hears of both.
            let after = with(&new).replace("\"maxAttempts\": 6", "\"maxAttempts\": 5");
            let mut child = start(&path);
            let address = address(&mut child);
            let read = |id: u64| {
                format!(
                    "GET /ops/guide-videos/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Job-Id: {id:016x}\r\n\
                     X-Allow-Ms: 1500\r\nConnection: close\r\n\r\n"
                )
            };
            assert_eq!(send(&address, &read(1)).await.status, 200);
            assert!(!cache.wants().is_empty(), "it goes to the cache");
            std::fs::write(&path, after).expect("a file");
            let told = Duration::from_millis(100);
            tokio::task::spawn_local(drains_the_cache(old, told, cache.address.clone()));
            tokio::task::spawn_local(drains_the_cache(new, told, cache.address.clone()));
            let reload = 100 + gap;
            tokio::time::sleep(Duration::from_millis(reload as u64)).await;
            signal(&mut child, "HUP");
            tokio::time::sleep(Duration::from_millis(1_200)).await;
            let sent = cache.wants().len();
            for id in 2..22 {
                assert_eq!(send(&address, &read(id)).await.status, 200);
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            let late = cache.wants().split_off(sent);
            assert!(late.is_empty(), "reload {gap} ms after the drain: {late:?}");
            std::fs::remove_file(&path).expect("the file");
        });
    }
}

/// Guards against a reload that ends the program's end, or the other way round: what was taken is answered.
#[test]
fn a_reload_in_the_moment_of_the_program_s_end_leaves_both_as_they_are() {
    for signals in [["HUP", "TERM"], ["TERM", "HUP"]] {
        local(async {
            let origin = Server::start(Manner::Says("")).await;
            let path = file(&format!("end-{}", signals[0]), &config(&origin.address));
            let mut child = start(&path);
            let address = address(&mut child);
            let request =
                "PUT /ops/filing-submit/00000000000000aa HTTP/1.1\r\nX-Job-Id: 0000000000000001\r\n\
                           X-Allow-Ms: 1500\r\nContent-Length: 0\r\n\r\n";
            let mut open = TcpStream::connect(&address).await.expect("a listener");
            open.write_all(request.as_bytes()).await.expect("a reader");
            asked(&origin).await;
            let command = signals.map(|name| format!("kill -{name} {}", child.child().id())).join("; ");
            assert!(Command::new("sh").args(["-c", &command]).status().expect("a shell").success());
            let mut answer = Vec::new();
            open.read_to_end(&mut answer).await.expect("an answer");
            assert!(answer.starts_with(b"HTTP/1.1 504 "), "{}", String::from_utf8_lossy(&answer));
            let status = tokio::task::spawn_blocking(move || child.child().wait()).await.expect("a thread");
            assert!(status.expect("an end").success());
            std::fs::remove_file(&path).expect("the file");
        });
    }
}
