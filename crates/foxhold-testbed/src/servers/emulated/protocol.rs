//! Commands to an emulated server, events from it, and the requests and replies of the line protocol.

use crate::checks::slow_start_budget::SlowStartWindow;
use crate::scenarios::scenario::RuleBreach;
use crate::servers::model::Key;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A command to an emulated server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerCommand {
    /// The addresses of all servers that requests may name as a fill source, by name.
    Peers(HashMap<String, String>),
    /// Starts a drain: requests that arrive over a second later break a rule.
    Drain,
    /// Ends a drain.
    Undrain,
    /// Drops copies that the origin sent before `ms`, of one object or of all objects of some groups.
    Purge {
        /// The object, as 16 hex digits; `None`: the groups.
        object: Option<String>,
        /// Groups whose objects are all purged; used if there is no object.
        groups: Vec<u32>,
        /// Time of the purge in Unix milliseconds.
        ms: u64,
    },
    /// Multiplies the duration of everything the server does by this factor.
    Slow(f64),
    /// Adds this many seconds to each request.
    Delay(f64),
    /// Makes the server break a rule from now on, to test that the breach is detected.
    Plant(RuleBreach),
    /// Crashes the server (true), or restarts it cold and empty (false). For servers that are tasks.
    Down(bool),
}

/// An event that an emulated server reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerEvent {
    /// The server listens on this address.
    Listens(String),
    /// A complete request arrived.
    Asked {
        /// Time of arrival in Unix milliseconds.
        ms: u64,
        /// The request as received.
        request: ServerRequest,
        /// Whether it was refused because the server had no free slot.
        full: bool,
    },
    /// A write ran for the request with this id.
    Ran(String),
    /// The server failed by overload: a cache or parent crashed, or the origin stopped.
    Fell {
        /// Time of the failure in Unix milliseconds.
        ms: u64,
        /// Whether it was in slow start.
        warming_up: bool,
    },
    /// Work arrived during slow start; describes the window that ends with it.
    SlowStart(SlowStartWindow),
    /// The request with this id arrived over a second after the start of a drain.
    Drained(String),
}

/// A request of the line protocol, as received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRequest {
    /// The request's id.
    pub id: String,
    /// The name of its class.
    pub kind: String,
    /// The object, as 16 hex digits.
    pub object: String,
    /// The part of the object, the field `seg`.
    pub part: String,
    /// The fill source for a miss.
    pub via: Option<String>,
    /// The cache rank at which to keep a copy; 0: do not keep it.
    pub tier: u8,
    /// The maximum age of a copy in milliseconds; 0: no limit.
    pub max_age_ms: u64,
    /// The field `opts`: options joined by `+`.
    pub opts: String,
    /// The server that requests a fill; empty if a director sent the request.
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

/// The reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ServerReply {
    /// A copy, with the Unix milliseconds at which the origin sent it, the note on how it was obtained and
    /// the time that the fill took.
    Copy { minted: u64, note: &'static str, lag: Duration },
    /// Another reply: its word and its note; `-`: no note.
    Other(&'static str, &'static str),
}

/// Encodes a reply for the wire. The body of a copy states its object, its part and when the origin sent it.
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
