//! The simulator's text protocol: parses batches of events, formats replies, hosts many routers. It decides
//! nothing.

mod action;
mod event;
mod fields;

use crate::config::settings::parse_settings;
use crate::policy::types::{Action, Event, Micros};
use crate::Router;
use action::format_action;
use event::{parse_event, parse_item, parse_view, MESSAGES};
use fields::{Fields, Parsed};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

/// Why the input was turned down: the line and what is wrong with it.
#[derive(Debug)]
pub struct SimulatorError {
    /// Line of the input, counted from 1.
    pub line: usize,
    /// What is wrong, naming the field.
    pub what: String,
}

impl std::fmt::Display for SimulatorError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for SimulatorError {}

/// A router, and the names that messages to it use.
struct Hosted {
    router: Router,
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<String>,
}

/// Many routers behind one wire; they share nothing.
#[derive(Default)]
pub struct SimulatorHost {
    instances: BTreeMap<u32, Hosted>,
    now: Micros,
    actions: Vec<Action>,
}

impl SimulatorHost {
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
            let fail = |what| SimulatorError { line: at, what };
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
                        return Err(SimulatorError { line: number, what }.into());
                    }
                    members.push(
                        parse_item(&line, known).map_err(|what| SimulatorError { line: number, what })?,
                    );
                }
                self.deliver(who, Event::Members { kind, members }, &mut reply);
            } else {
                self.event(&mut f, &mut reply).map_err(fail)?;
            }
        }
        if in_batch {
            return Err(SimulatorError {
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
        let settings = parse_settings(f.tail("params")?).map_err(|e| bad_params(e.to_string()))?;
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
                SimulatorError { line: *number + 1, what: "not UTF-8 text".into() }.into()
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
