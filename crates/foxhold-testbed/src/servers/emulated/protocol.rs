//! What an emulated server is told and tells, and the requests and replies of the line protocol.

use crate::checks::slow_start_budget::SlowStartWindow;
use crate::scenarios::scenario::RuleBreach;
use crate::servers::model::Key;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What a server is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerCommand {
    /// Where the others are, by name: all that it may be given as a source.
    Peers(HashMap<String, String>),
    /// It drains: what comes over a second later breaks a rule.
    Drain,
    /// It no longer drains.
    Undrain,
    /// Drops copies made before this Unix millisecond: of an object, or of all objects of these groups.
    Purge {
        /// 16 hex digits.
        object: Option<String>,
        /// Groups that are purged whole.
        groups: Vec<u32>,
        /// Unix milliseconds.
        ms: u64,
    },
    /// Everything takes so many times as long.
    Slow(f64),
    /// Everything takes so many seconds more.
    Delay(f64),
    /// Breaks a rule from now on.
    Plant(RuleBreach),
    /// Its process dies (true), or another takes its place, cold and empty. For servers that are tasks.
    Down(bool),
}

/// What a server tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerEvent {
    /// It listens here.
    Listens(String),
    /// A request came whole.
    Asked {
        /// Unix milliseconds.
        ms: u64,
        /// The request as it came.
        request: ServerRequest,
        /// Turned away unseen.
        full: bool,
    },
    /// A write ran: the id of its request.
    Ran(String),
    /// It fell over (the origin: stopped), and whether it was cold.
    Fell {
        /// Unix milliseconds.
        ms: u64,
        /// Whether it had started lately.
        warming_up: bool,
    },
    /// It is cold, and so much came within the window that ends now.
    SlowStart(SlowStartWindow),
    /// Something came over a second after it was told that it drains.
    Drained(String),
}

/// A request as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRequest {
    /// The request's id.
    pub id: String,
    /// The class.
    pub kind: String,
    /// The object.
    pub object: String,
    /// The part.
    pub part: String,
    /// From where a miss is to be filled.
    pub via: Option<String>,
    /// The rank at which a copy is kept.
    pub tier: u8,
    /// The oldest copy that will do, in milliseconds; 0: any.
    pub max_age_ms: u64,
    /// The words of `opts`.
    pub opts: String,
    /// The server that asks for a fill; empty: a director.
    pub by: String,
}

impl ServerRequest {
    pub(super) fn parse(id: &str, fields: &str) -> ServerRequest {
        let fields: BTreeMap<&str, &str> = fields.split(',').filter_map(|f| f.split_once('=')).collect();
        let text = |name: &str| fields.get(name).copied().unwrap_or("").to_owned();
        let number = |name: &str| fields.get(name).and_then(|t| t.parse().ok()).unwrap_or(0.0);
        ServerRequest {
            id: id.into(),
            kind: text("kind"),
            object: text("obj"),
            part: text("seg"),
            via: fields.get("via").map(|v| (*v).into()),
            tier: number("tier") as u8,
            max_age_ms: number("fresh") as u64,
            opts: text("opts"),
            by: text("by"),
        }
    }

    pub(super) fn key(&self) -> Key {
        (self.object.clone(), self.part.clone())
    }

    pub(super) fn has_option(&self, word: &str) -> bool {
        self.opts.split('+').any(|w| w == word)
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ServerReply {
    /// With a copy: when it was minted, and how it came about.
    Copy { minted: u64, note: &'static str, lag: Duration },
    /// With a word and a note.
    Other(&'static str, &'static str),
}

/// A reply on the wire. A copy's bytes say what it is of and when it was minted.
pub(super) fn encode_reply(request: &ServerRequest, reply: &ServerReply) -> Vec<u8> {
    let id = &request.id;
    match reply {
        ServerReply::Other(word, "-") => format!("{id} {word} - 0\r\n\r\n").into(),
        ServerReply::Other(word, note) => format!("{id} {word} res={note} 0\r\n\r\n").into(),
        ServerReply::Copy { minted, note, lag } => {
            let body = format!("{}/{} {minted}", request.object, request.part);
            let (tag, lag, length) = (&request.object, lag.as_millis(), body.len());
            format!("{id} ACK tag={tag}-{minted},minted={minted},res={note},lag={lag} {length}\r\n{body}\r\n")
                .into()
        }
    }
}
