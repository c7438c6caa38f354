//! The bench's text wire: parses batches of events, formats replies, hosts many routers. It decides nothing.

use crate::api::*;
use crate::settings::{micros, parse_settings};
use crate::Router;
use base64::{engine::general_purpose::STANDARD, Engine};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};

/// Why the input was turned down: the line and what is wrong with it.
#[derive(Debug)]
pub struct WireError {
    /// Line of the input, counted from 1.
    pub line: usize,
    /// What is wrong, naming the field.
    pub what: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for WireError {}

type Parsed<T> = Result<T, String>;

/// The values of one line, taken in order.
struct Fields<'a> {
    message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    fn new(line: &'a str) -> Self {
        let (message, rest) = line.split_once(' ').map_or((line, None), |(m, r)| (m, Some(r)));
        Fields { message, rest }
    }

    fn bad(&self, field: &str, why: &str) -> String {
        format!("message '{}', field '{field}': {why}", self.message)
    }

    fn optional(&mut self) -> Option<&'a str> {
        let rest = self.rest?;
        let (value, rest) = rest.split_once(' ').map_or((rest, None), |(v, r)| (v, Some(r)));
        self.rest = rest;
        (value != "-" && !value.is_empty()).then_some(value)
    }

    fn text(&mut self, field: &str) -> Parsed<&'a str> {
        self.optional().ok_or_else(|| self.bad(field, "missing"))
    }

    fn tail(&mut self, field: &str) -> Parsed<&'a str> {
        self.rest.take().ok_or_else(|| self.bad(field, "missing"))
    }

    fn number<T: std::str::FromStr>(&mut self, field: &str) -> Parsed<T> {
        let value = self.text(field)?;
        value.parse().map_err(|_| self.bad(field, &format!("'{value}' is not a whole number in range")))
    }

    fn number_or<T: std::str::FromStr>(&mut self, field: &str, none: T) -> Parsed<T> {
        match self.optional() {
            None => Ok(none),
            Some(value) => {
                value.parse().map_err(|_| self.bad(field, &format!("'{value}' is not a number in range")))
            }
        }
    }

    fn real_or(&mut self, field: &str, none: f64) -> Parsed<f64> {
        let value: f64 = self.number_or(field, none)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.bad(field, "not a finite number"))
        }
    }

    fn time_or(&mut self, field: &str, none: Micros) -> Parsed<Micros> {
        Ok(micros(self.real_or(field, none as f64 / 1000.0)?))
    }

    fn time(&mut self, field: &str) -> Parsed<Micros> {
        let value = self.text(field)?;
        let ms: f64 = value.parse().map_err(|_| self.bad(field, &format!("'{value}' is not a time")))?;
        if ms.is_finite() {
            Ok(micros(ms))
        } else {
            Err(self.bad(field, "not a finite time"))
        }
    }

    fn flag(&mut self, field: &str) -> Parsed<bool> {
        match self.optional() {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.bad(field, &format!("'{value}' is neither 0 nor 1"))),
        }
    }

    fn object(&mut self, field: &str) -> Parsed<Option<ObjectId>> {
        let Some(value) = self.optional() else { return Ok(None) };
        let id =
            u64::from_str_radix(value, 16).map_err(|_| self.bad(field, &format!("'{value}' is not hex")))?;
        Ok(Some(ObjectId(id)))
    }

    fn place(&mut self, field: &str, names: &[String]) -> Parsed<usize> {
        let value = self.text(field)?;
        names
            .iter()
            .position(|n| n == value)
            .ok_or_else(|| self.bad(field, &format!("'{value}' is not known")))
    }

    fn row(&mut self, field: &str) -> Parsed<Vec<f64>> {
        let Some(value) = self.optional() else { return Ok(Vec::new()) };
        let parse =
            |v: &str| v.parse::<f64>().map_err(|_| self.bad(field, &format!("'{v}' is not a number")));
        value.split(',').filter(|v| *v != "-").map(parse).collect()
    }

    fn server(&mut self) -> Parsed<ServerId> {
        Ok(ServerId(self.number("cache")?))
    }

    fn outcome(&mut self) -> Parsed<Outcome> {
        Ok(match self.text("code")? {
            "Ok" => Outcome::Ok,
            "Failed" => Outcome::Failed,
            "QueueFull" => Outcome::Full,
            "TimedOut" => Outcome::TimedOut,
            "ConnectError" => Outcome::ConnectError,
            "ResetByPeer" => Outcome::Reset,
            "Canceled" => Outcome::Canceled,
            "Ignored" => Outcome::NotSent,
            "Miss" => Outcome::Miss,
            other => return Err(self.bad("code", &format!("'{other}' is not an outcome"))),
        })
    }
}

/// Messages to one router, but its member list.
const MESSAGES: [&str; 10] = [
    "start",
    "down",
    "ask",
    "under_way",
    "report_back",
    "left",
    "timer",
    "health",
    "from_peer",
    "invalidated",
];
/// The bit of `stateBits` that marks a request as a repeat.
const REPEAT_BIT: u32 = 2;

/// A router, and the names that messages to it use.
struct Hosted {
    router: Router,
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<String>,
}

/// Many routers behind one wire; they share nothing.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Hosted>,
    now: Micros,
    actions: Vec<Action>,
}

impl Host {
    /// Reads batches from `input` until it ends and writes a reply to each.
    pub fn run(
        &mut self,
        mut input: impl BufRead,
        mut output: impl Write,
    ) -> Result<(), Box<dyn std::error::Error>> {
        let (mut line, mut number, mut reply) = (String::new(), 0, String::new());
        let mut in_batch = false;
        while next_line(&mut input, &mut line, &mut number)? {
            let at = number;
            let fail = |what| WireError { line: at, what };
            let mut f = Fields::new(&line);
            if !in_batch {
                if f.message != "sync" {
                    return Err(fail(format!("'{}' where 'sync' should begin a batch", f.message)).into());
                }
                self.now = f.time("clockMs").map_err(fail)?;
                in_batch = true;
            } else if f.message == "eof_batch" {
                reply.push_str("eor\n");
                output.write_all(reply.as_bytes())?;
                output.flush()?;
                reply.clear();
                in_batch = false;
            } else if f.message == "view" {
                let (who, kind, entries) = parse_view(&mut f).map_err(fail)?;
                let mut members = Vec::new();
                let known = self.instances.get(&who).ok_or_else(|| fail(unknown("view", who)))?;
                for _ in 0..entries {
                    if !next_line(&mut input, &mut line, &mut number)? {
                        let what =
                            "message 'view', field 'hosts': the input ends before its entries do".into();
                        return Err(WireError { line: number, what }.into());
                    }
                    members.push(parse_item(&line, known).map_err(|what| WireError { line: number, what })?);
                }
                self.deliver(who, Event::Members { kind, members }, &mut reply);
            } else {
                self.event(&mut f, &mut reply).map_err(fail)?;
            }
        }
        if in_batch {
            return Err(WireError {
                line: number,
                what: "the input ends inside a batch, no 'eof_batch'".into(),
            }
            .into());
        }
        Ok(())
    }

    /// Handles one message that is neither the frame of a batch nor a list.
    fn event(&mut self, f: &mut Fields, reply: &mut String) -> Parsed<()> {
        let message = f.message;
        if !MESSAGES.contains(&message) {
            return Err(format!("unknown message '{message}'"));
        }
        let who: u32 = f.number("who")?;
        if message == "start" {
            return self.start(who, f);
        }
        let hosted = self.instances.get(&who).ok_or_else(|| unknown(message, who))?;
        if message == "down" {
            self.instances.remove(&who);
            return Ok(());
        }
        let event = parse_event(f, hosted)?;
        self.deliver(who, event, reply);
        Ok(())
    }

    /// Starts a router by the settings in the message.
    fn start(&mut self, who: u32, f: &mut Fields) -> Parsed<()> {
        let bad_params = |e: String| format!("message 'start', field 'params': {e}");
        let seed = f.number("entropy")?;
        let settings = parse_settings(f.tail("params")?).map_err(bad_params)?;
        let classes = settings.classes.iter().map(|c| c.name.clone()).collect();
        let (zones, kinds) = (settings.zones.clone(), settings.kinds.clone());
        let router = Router::new(settings, seed).map_err(|e| bad_params(e.to_string()))?;
        self.instances.insert(who, Hosted { router, zones, kinds, classes });
        Ok(())
    }

    fn deliver(&mut self, who: u32, event: Event, reply: &mut String) {
        if let Some(hosted) = self.instances.get_mut(&who) {
            self.actions.clear();
            hosted.router.handle(self.now, event, &mut self.actions);
            for action in &self.actions {
                format_action(who, action, reply);
            }
        }
    }
}

fn next_line(
    input: &mut impl BufRead,
    line: &mut String,
    number: &mut usize,
) -> Result<bool, Box<dyn std::error::Error>> {
    loop {
        line.clear();
        let read = input.read_line(line).map_err(|e| match e.kind() {
            io::ErrorKind::InvalidData => {
                WireError { line: *number + 1, what: "not UTF-8 text".into() }.into()
            }
            _ => Box::<dyn std::error::Error>::from(e),
        })?;
        if read == 0 {
            return Ok(false);
        }
        *number += 1;
        while line.ends_with(['\n', '\r']) {
            line.pop();
        }
        if !line.is_empty() {
            return Ok(true);
        }
    }
}

fn unknown(message: &str, who: u32) -> String {
    format!("message '{message}', field 'who': no instance {who} was started")
}

/// The event of a message that is one of [`MESSAGES`], but `start` and `down`.
fn parse_event(f: &mut Fields, hosted: &Hosted) -> Parsed<Event> {
    match f.message {
        "ask" => parse_request(f, hosted),
        "under_way" => parse_started(f),
        "report_back" => parse_ended(f),
        "left" => Ok(Event::Left(RequestId(f.number("xid")?))),
        "timer" => {
            let tag = f.tail("tag")?;
            // A tag that is not a number is none of ours; the router ignores an unknown token.
            Ok(Event::Timer(tag.parse().unwrap_or(Token::MAX)))
        }
        "health" => parse_probed(f),
        "from_peer" => parse_peer_message(f),
        _ => parse_purged(f),
    }
}

fn parse_request(f: &mut Fields, hosted: &Hosted) -> Parsed<Event> {
    let id = RequestId(f.number("xid")?);
    let class = f.place("type", &hosted.classes)?;
    f.optional(); // the tenant: no decision depends on it
    Ok(Event::Request(Request {
        id,
        class,
        object: f.object("file")?.unwrap_or_default(),
        deadline: f.time("clientDeadlineMs")?,
        size_kb: f.real_or("lengthKb", 0.0)?.max(0.0),
        group: Some(f.number_or("batchId", 0)?),
        part: f.number_or("part", 0)?,
        repeat: f.number_or("stateBits", 0u32)? & REPEAT_BIT != 0,
    }))
}

fn parse_started(f: &mut Fields) -> Parsed<Event> {
    let request = RequestId(f.number("xid")?);
    f.server()?;
    f.time("durationMs")?;
    Ok(Event::Started { request, attempt: f.number("copy")? })
}

fn parse_ended(f: &mut Fields) -> Parsed<Event> {
    Ok(Event::Ended(AttemptEnd {
        request: RequestId(f.number("xid")?),
        attempt: f.number("copy")?,
        server: f.server()?,
        outcome: f.outcome()?,
        took: f.time("durationMs")?,
        over: f.flag("settled")?,
        note: parse_note(f)?,
        waited: f.time_or("waitedMs", 0)?,
        report: f.row("feedback")?,
    }))
}

fn parse_probed(f: &mut Fields) -> Parsed<Event> {
    Ok(Event::Probed {
        server: f.server()?,
        outcome: f.outcome()?,
        took: f.time("durationMs")?,
        report: f.row("feedback")?,
    })
}

fn parse_peer_message(f: &mut Fields) -> Parsed<Event> {
    let from = f.number("from")?;
    let text = f.optional().unwrap_or("");
    let bytes = STANDARD.decode(text).map_err(|_| f.bad("msg", "not base64"))?;
    Ok(Event::Message { from, bytes })
}

fn parse_purged(f: &mut Fields) -> Parsed<Event> {
    let object = f.object("file")?.filter(|o| o.0 != 0);
    Ok(Event::Purged { object, group: f.number_or("setNo", 0)?, age: f.time_or("ageSpanMs", 0)? })
}

fn parse_view(f: &mut Fields) -> Parsed<(u32, ListKind, usize)> {
    let who = f.number("who")?;
    let kind = match f.text("how")? {
        "patch" => ListKind::Changes,
        "whole" => ListKind::Full,
        "stale_copy" => ListKind::Stale,
        "broken" => ListKind::Failed,
        other => return Err(f.bad("how", &format!("'{other}' is not known"))),
    };
    f.optional(); // the list's version: changes come in order, none missing
    Ok((who, kind, f.number_or("hosts", 0)?))
}

fn parse_item(line: &str, known: &Hosted) -> Parsed<Member> {
    let mut f = Fields::new(line);
    if f.message != "item" {
        return Err(format!("message 'view', field 'hosts': '{}' where an 'item' should be", f.message));
    }
    Ok(Member {
        server: f.server()?,
        zone: f.place("failureDomain", &known.zones)?,
        kind: f.place("flavor", &known.kinds)?,
        cell: f.number_or("pod", 0)?,
        state: match f.text("state")? {
            "in_service" => MemberState::Running,
            "terminating" => MemberState::Draining,
            "terminated" => MemberState::Gone,
            other => return Err(f.bad("state", &format!("'{other}' is not known"))),
        },
        size: f.real_or("size", 1.0)?,
        since: f.time_or("sinceMs", 0)?,
    })
}

fn parse_note(f: &mut Fields) -> Parsed<Note> {
    Ok(match f.number_or("detail", 0u32)? {
        1 => Note::Hit,
        2 => Note::Filled,
        3 => Note::FilledByOrigin,
        4 => Note::Joined,
        5 => Note::Stale,
        6 => Note::SourceRefused,
        7 => Note::SourceLost,
        8 => Note::SourceLacks,
        9 => Note::NoPlace,
        10 => Note::OriginFailed,
        _ => Note::None,
    })
}

fn ms(t: Micros) -> String {
    format!("{}.{:03}", t / 1000, t % 1000)
}

fn format_action(who: u32, action: &Action, out: &mut String) {
    let done = match action {
        Action::Attempt { request, server, timeout, fill: None } => {
            writeln!(out, "dispatch {who} {} {} {}", request.0, ms(*timeout), server.0)
        }
        Action::Attempt { request, server, timeout, fill: Some(fill) } => {
            let bits = u32::from(fill.join) + 2 * u32::from(fill.held_only) + 8 * u32::from(fill.renew);
            let (timeout, age) = (ms(*timeout), ms(fill.max_age));
            let (id, source, keep) = (request.0, fill.source.0, fill.keep);
            writeln!(out, "read_through {who} {id} {} {timeout} {source} {keep} {age} {bits}", server.0)
        }
        Action::Cancel { request, attempt } => writeln!(out, "abandon {who} {} {attempt}", request.0),
        Action::Refuse { request, retry_after } => {
            writeln!(out, "overload_reply {who} {} {}", request.0, ms(*retry_after))
        }
        Action::Fail(request) => writeln!(out, "fail {who} {}", request.0),
        Action::Wake { at, token } => writeln!(out, "wake_at {who} {} {token}", ms(*at)),
        Action::Probe(server) => writeln!(out, "sound_out {who} {}", server.0),
        Action::Subscribe => writeln!(out, "tail {who} 1"),
        Action::FetchList => writeln!(out, "fetch {who}"),
        Action::Tell { to, bytes } => {
            let to = to.map_or("all".to_owned(), |n| n.to_string());
            writeln!(out, "announce {who} {to} {}", STANDARD.encode(bytes))
        }
        Action::Log(line) => writeln!(out, "print {who} {line}"),
    };
    debug_assert!(done.is_ok(), "a string takes every line");
}
