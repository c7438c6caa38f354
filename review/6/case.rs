//! A filing whose body arrives in two pieces, with two new configurations in between. See `claim.txt`.

#[path = "../standins-2/mod.rs"]
mod standins;
use standins::*;
use std::io::{BufReader, Write};
use std::net::TcpStream;

const FILINGS: u64 = 8;

fn main() {
    let run = Run::begin();
    let fleet = Fleet::start(&run.record);
    let board = Board::start("a", &run.record);
    let mut director = Director::new(&run, "n1");
    let known = board.begin(&fleet.members(&[]));
    director.operate(&run, "log: {level: info}\n");
    director.configure(&run, &board.address, &known, &settings(1));
    director.start_command(&run, "exec target/review-2/host");
    let pid = director.pid.unwrap_or(0);
    // No new configuration comes in the first second.
    sleep_ms(1_500);
    let filing = |number: u64| object_name(1_000 + number);

    // Each client sends the head of its filing and half of the body, and the rest 1.2 s later.
    let body = "filing ".repeat(200);
    let (first, rest) = body.split_at(body.len() / 2);
    let mut uploads = Vec::new();
    for number in 0..FILINGS {
        let Ok(mut stream) = TcpStream::connect(&director.listen) else {
            run.end(COULD_NOT_RUN, "a client could not connect");
        };
        let object = filing(number);
        let head = format!(
            "PUT /filing-submit/{object} HTTP/1.1\r\nHost: app.svc\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let _ = stream.write_all(format!("{head}{first}").as_bytes());
        run.record.line(&format!("client sends the first half of filing {object}"));
        uploads.push((object, stream));
    }
    sleep_ms(300);
    if trouble() {
        // The deadline of the filings is changed, and then the aim of the videos.
        let shorter = settings(1).replace("\"deadlineMs\":3000", "\"deadlineMs\":2900");
        let aim = shorter.replace("\"aimMs\":400", "\"aimMs\":410");
        for (number, settings) in [shorter, aim].iter().enumerate() {
            director.configure(&run, &board.address, &known, settings);
            run.record.line(&format!("new configuration {}", number + 1));
            signal("-HUP", pid);
            sleep_ms(300);
        }
    } else {
        sleep_ms(600);
    }
    sleep_ms(300);
    let mut false_answers = 0;
    for (object, stream) in uploads {
        let mut stream = BufReader::new(stream);
        let _ = stream.get_mut().flush();
        let answer = exchange_on(&mut stream, rest);
        let status = answer.as_ref().map_or(0, |a| a.0);
        let wants: Vec<Want> = fleet.world.wants().into_iter().filter(|w| w.object == object).collect();
        let ran = wants.iter().any(|w| w.class == "filing-submit" && w.server == "s-00000021");
        run.record.line(&format!("client filing {object}: status={status}, ran at the origin: {ran}"));
        if status == 200 && !ran {
            false_answers += 1;
        }
    }
    sleep_ms(500);
    let wants = fleet.world.wants();
    let of_filings = |w: &&Want| (0..FILINGS).any(|number| w.object == filing(number));
    let foreign = wants.iter().filter(of_filings).filter(|w| w.class != "filing-submit").count();
    for line in director.log().lines() {
        run.record.line(&format!("host log: {line}"));
    }
    run.record.line(&format!(
        "judge: {foreign} requests of another class for the {FILINGS} filings, {false_answers} answered 200 and never run"
    ));
    if foreign > 0 {
        run.end(BROKEN, &format!("broken: {foreign} requests that no client sent in this form"));
    }
    run.end(HELD, "held: each filing was passed on as a filing");
}
