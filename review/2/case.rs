//! Commands that a client sent at once are read and thrown away unanswered. See claim.txt.

#[path = "../standins/mod.rs"]
mod standins;

use standins::*;
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
/// Writes that a client sends, each with a body under the 48,000 bytes that a write brings at most.
const WRITES: usize = 3;
const BODY_BYTES: usize = 40_000;
/// How long a client waits for an answer: the whole give-up time of `filing-submit`.
const ALLOW_MS: u64 = 3000;
/// Time after a client's wait in which an answer only earns nothing.
const LATE_MS: u64 = 500;
/// The origin answers in 35 to 69 ms, and a write takes 10 to 30 ms there.
const ORIGIN_MS: u64 = 90;
/// A request that crosses the close of a connection within this time goes again.
const CROSSING: Duration = Duration::from_millis(50);

fn main() {
    let arguments = Arguments::read();
    limit_time(110);
    let record = Record::create(&arguments.folder);
    std::process::exit(run(&arguments, &record));
}

fn run(arguments: &Arguments, record: &Record) -> i32 {
    let answer = |want: &Want| served(60, want);
    let caches: Vec<Server> = (0..4).map(|n| Server::start(&format!("s-0000c0{n}1"), record, answer)).collect();
    let parents = [1, 2].map(|n| Server::start(&format!("s-0000aa{n}0"), record, answer));
    let origin = Server::start("s-0000ff00", record, |want| served(ORIGIN_MS, want));
    let mut members: Vec<String> =
        caches.iter().map(|cache| member(&cache.id, &cache.address, ZONE, "standard-box", 1, 24.0)).collect();
    for (parent, hub) in parents.iter().zip(["north-hub", "south-hub"]) {
        members.push(member(&parent.id, &parent.address, hub, "parent", 20, 60.0));
    }
    members.push(member(&origin.id, &origin.address, "north-hub", "origin", 21, 40.0));
    let board = Board::start(record);
    let (listen, ops) = (free_address(), free_address());
    let file = config(&listen, &ops, &board.address, &members, [GUIDE_VIDEOS, PAGE_BITS, FILING_SUBMIT]);
    let Some(director) = Director::start(&arguments.root, &arguments.run, &listen, &ops, &file, record) else {
        return COULD_NOT_RUN;
    };
    let mut random = Random(unix_ms());
    let (mut answered, mut lost, mut excused) = (0, 0, 0);
    for client in 0..CLIENTS {
        let writes: Vec<(String, String)> =
            (0..WRITES).map(|_| (format!("{:016x}", random.next()), format!("{:016x}", random.next()))).collect();
        let ends = if arguments.trouble {
            send_at_once(&listen, client, &writes, record)
        } else {
            send_one_by_one(&listen, client, &writes, record)
        };
        for (id, end) in ends {
            match end {
                End::Answered => answered += 1,
                End::Lost => lost += 1,
                End::Crossed => excused += 1,
            }
            record.line(format!("client {client}: {id} is {end:?}"));
        }
    }
    let ran: HashMap<String, usize> = origin.wants().into_iter().fold(HashMap::new(), |mut ran, want| {
        *ran.entry(want.id).or_default() += 1;
        ran
    });
    director.copy_log(record);
    record.say(format!(
        "{} writes taken: {answered} answered, {lost} lost, {excused} crossed a close; {} reached the origin",
        CLIENTS * WRITES,
        ran.len()
    ));
    if answered == 0 {
        return COULD_NOT_RUN;
    }
    if lost > 0 {
        record.say("BROKEN: writes that the director had taken never got an answer");
        return BROKEN;
    }
    record.say("held");
    HELD
}

#[derive(Debug)]
enum End {
    /// It got a final answer: served, refused or failed.
    Answered,
    /// It got none in its time and half a second more.
    Lost,
    /// The connection ended within 50 ms of its last byte.
    Crossed,
}

/// Sends all writes of a client at once on one connection, and reads the answers.
fn send_at_once(listen: &str, client: usize, writes: &[(String, String)], record: &Record) -> Vec<(String, End)> {
    let Some(mut connection) = Client::connect(listen) else { return Vec::new() };
    let requests: Vec<u8> =
        writes.iter().flat_map(|(id, object)| put("filing-submit", object, id, ALLOW_MS, BODY_BYTES)).collect();
    let ids: Vec<&str> = writes.iter().map(|(id, _)| id.as_str()).collect();
    record.line(format!("client {client}: sends {} writes at once: {}", ids.len(), ids.join(" ")));
    let written = connection.send(&requests);
    let sent_at = Instant::now();
    record.line(format!("client {client}: the last byte of all is written: {written}"));
    read_answers(connection, client, writes, sent_at, record)
}

fn read_answers(
    mut connection: Client,
    client: usize,
    writes: &[(String, String)],
    sent_at: Instant,
    record: &Record,
) -> Vec<(String, End)> {
    let until = sent_at + Duration::from_millis(ALLOW_MS + LATE_MS);
    let mut ends = Vec::new();
    for (id, _) in writes {
        let end = match connection.answer(until) {
            Ok(answer) => {
                let closes = if answer.closes { ", and the connection closes" } else { "" };
                record.line(format!("client {client}: {id} got {}{closes}", answer.status));
                End::Answered
            }
            Err(error) => {
                record.line(format!("client {client}: {id} got none: {error}"));
                if sent_at.elapsed() <= CROSSING { End::Crossed } else { End::Lost }
            }
        };
        ends.push((id.clone(), end));
    }
    ends
}

/// Sends the writes of a client on one connection, each after the answer to the one before.
fn send_one_by_one(listen: &str, client: usize, writes: &[(String, String)], record: &Record) -> Vec<(String, End)> {
    let mut ends = Vec::new();
    for write in writes {
        ends.extend(send_at_once(listen, client, std::slice::from_ref(write), record));
        thread::sleep(Duration::from_millis(10));
    }
    ends
}
