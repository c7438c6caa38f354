//! Bad clients take a director over its limit of memory. See claim.txt.

#[path = "../standins/mod.rs"]
mod standins;

use standins::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 48;
/// Clients hold at most a third of the 1,024 descriptors: 341. Five of them are usual clients.
const BAD_CLIENTS: usize = 330;
const USUAL_CLIENTS: u64 = 5;
/// What the length says, and how many bytes the bad clients send beyond it.
const BODY_BYTES: usize = 48_000;
const BYTES_BEYOND: usize = 300_000;
/// Bytes of a header that nobody asked for, in their requests with and without the disruption.
const HEADER_BYTES: usize = 15_000;
/// The origin answers in 35 to 69 ms, and slows down when crowded.
const ORIGIN_MS: u64 = 60;
const CROWDED_ORIGIN_MS: u64 = 1000;
/// Longest time in which a bad client is owed a refusal, an error or a close.
const OWED_WITHIN: Duration = Duration::from_secs(3);

fn main() {
    let arguments = Arguments::read();
    limit_time(110);
    let record = Record::create(&arguments.record);
    std::process::exit(run(&arguments, &record));
}

fn run(arguments: &Arguments, record: &Record) -> i32 {
    let answer = |want: &Want| served(300, want);
    let caches: Vec<Server> = (0..4).map(|n| Server::start(&format!("s-0000c0{n}1"), record, answer)).collect();
    let parents = [1, 2].map(|n| Server::start(&format!("s-0000aa{n}0"), record, answer));
    let in_hand = Arc::new(AtomicU64::new(0));
    let origin = Server::start("s-0000ff00", record, move |want| {
        let is_crowded = in_hand.fetch_add(1, Ordering::Relaxed) > 20;
        served(if is_crowded { CROWDED_ORIGIN_MS } else { ORIGIN_MS }, want)
    });
    let mut members: Vec<String> =
        caches.iter().map(|cache| member(&cache.id, &cache.address, ZONE, "standard-box", 1, 24.0)).collect();
    for (parent, hub) in parents.iter().zip(["north-hub", "south-hub"]) {
        members.push(member(&parent.id, &parent.address, hub, "parent", 20, 60.0));
    }
    members.push(member(&origin.id, &origin.address, "north-hub", "origin", 21, 40.0));
    let board = Board::start(record);
    let (listen, ops) = (free_address(), free_address());
    let classes = [GUIDE_VIDEOS, PAGE_BITS, FILING_SUBMIT];
    let file = config_with_memory(&listen, &ops, &board.address, &members, classes, MEMORY_MB);
    let Some(mut director) = Director::start(&arguments.root, &arguments.run, &listen, &ops, &file, record) else {
        return COULD_NOT_RUN;
    };
    let Some(at_rest) = director.memory_kib() else { return COULD_NOT_RUN };
    record.say(format!("the director has {at_rest} KiB at rest, and may have {MEMORY_MB} MB"));

    // The platform kills a director that is over its limit.
    let (peak, done) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let platform = {
        let (peak, done, record, pid) = (peak.clone(), done.clone(), record.clone(), director.pid());
        thread::spawn(move || watch_memory(pid, &peak, &done, &record))
    };
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (listen, record, done) = (listen.clone(), record.clone(), done.clone());
            thread::spawn(move || ask_as_usual(&listen, number, &done, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let beyond = if arguments.trouble { BYTES_BEYOND } else { 0 };
    record.say(format!("{BAD_CLIENTS} clients send a write of {BODY_BYTES} bytes each, and {beyond} bytes beyond its length"));
    let together = Arc::new(Barrier::new(BAD_CLIENTS));
    let bad: Vec<_> = (0..BAD_CLIENTS)
        .map(|number| {
            let (listen, record, together) = (listen.clone(), record.clone(), together.clone());
            thread::spawn(move || send_badly(&listen, number, beyond, &together, &record))
        })
        .collect();
    let ends: Vec<String> = bad.into_iter().map(|client| client.join().unwrap_or_default()).collect();
    thread::sleep(Duration::from_millis(500));
    done.store(true, Ordering::Relaxed);
    let lost: usize = usual.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let was_killed = platform.join().unwrap_or(false);
    let answered = ends.iter().filter(|end| end.starts_with("HTTP/1.1")).count();
    record.say(format!("{answered} of the {BAD_CLIENTS} got an answer; peak memory {} KiB", peak.load(Ordering::Relaxed)));
    director.copy_log(record);
    if was_killed {
        record.say(format!("BROKEN: over {MEMORY_MB} MB, killed; {lost} requests of usual clients got no answer"));
        return BROKEN;
    }
    if director.has_ended() {
        record.say("BROKEN: the director ended by itself");
        return BROKEN;
    }
    record.say(format!("held: {lost} requests of usual clients got no answer"));
    HELD
}

/// Samples the director's memory, and kills it once it is over its limit. Returns whether it was killed.
fn watch_memory(pid: u32, peak: &AtomicU64, done: &AtomicBool, record: &Record) -> bool {
    while !done.load(Ordering::Relaxed) {
        let Some(kib) = memory_kib(pid) else { return false };
        if kib > peak.fetch_max(kib, Ordering::Relaxed) {
            record.line(format!("platform: the director has {kib} KiB"));
        }
        if kib > MEMORY_MB * 1024 {
            record.say(format!("platform: the director has {kib} KiB, over {MEMORY_MB} MB, and is killed"));
            let _ = std::process::Command::new("/bin/sh").args(["-c", "kill -KILL \"$0\"", &pid.to_string()]).status();
            return true;
        }
        thread::sleep(Duration::from_millis(3));
    }
    false
}

/// A bad client: sends a write, goes on beyond its length at full speed, and reads what it is sent. Returns
/// the first line that it read.
fn send_badly(listen: &str, number: usize, beyond: usize, together: &Barrier, record: &Record) -> String {
    let mut random = Random(unix_ms() * 1000 + number as u64);
    let (id, object) = (format!("{:016x}", random.next()), format!("{:016x}", random.next()));
    let connected = TcpStream::connect(listen);
    together.wait();
    let Ok(mut stream) = connected else { return "no connection".into() };
    let note = format!("X-Allow-Ms: 3000\r\nX-Note: {}\r\n", "n".repeat(HEADER_BYTES));
    let mut request = put("filing-submit", &object, &id, 3000, BODY_BYTES);
    let head = String::from_utf8_lossy(&request[..request.len() - BODY_BYTES]).replace("X-Allow-Ms: 3000\r\n", &note);
    request.splice(..request.len() - BODY_BYTES, head.into_bytes());
    let _ = stream.write_all(&request);
    let Ok(mut writer) = stream.try_clone() else { return "no connection".into() };
    let sender = thread::spawn(move || {
        let bytes = vec![b'z'; 10_000];
        for _ in 0..beyond / bytes.len() {
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    });
    let _ = stream.set_read_timeout(Some(OWED_WITHIN));
    let mut bytes = [0; 4096];
    let read = stream.read(&mut bytes).unwrap_or(0);
    let first = String::from_utf8_lossy(&bytes[..read]).lines().next().unwrap_or("no answer").to_owned();
    record.line(format!("bad client {number}: {id}: {first}"));
    let _ = stream.shutdown(Shutdown::Both);
    let _ = sender.join();
    first
}

/// A usual client: asks for one object after the other. Returns how many requests got no answer.
fn ask_as_usual(listen: &str, number: u64, done: &AtomicBool, record: &Record) -> usize {
    let mut random = Random(unix_ms() * 7 + number);
    while !done.load(Ordering::Relaxed) {
        let (id, object) = (format!("{:016x}", random.next()), format!("{:016x}", random.next()));
        let Some(mut client) = Client::connect(listen) else { return 0 };
        record.line(format!("usual client {number}: sends guide-videos {object} as {id}"));
        let is_sent = client.send(&get("guide-videos", &object, &id, 5000, 2850.0));
        let answer = client.answer(Instant::now() + Duration::from_millis(5500));
        record.line(format!("usual client {number}: {id}: {:?}", answer.as_ref().map(|answer| answer.status)));
        if is_sent && answer.is_err() {
            return 1;
        }
    }
    0
}
