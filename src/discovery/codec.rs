//! Codec of the discovery service's watch stream; no other module knows its wire names.
//!
//! A client opens a connection, asks with `watch REVISION` for the events after that revision, and then reads
//! lines: a bare number is a heartbeat, a JSON object is an event.
//!
//! | wire | here |
//! | --- | --- |
//! | `rev` | [`WatchEvent::revision`] |
//! | `pool` | [`WatchChange::Members`] |
//! | `pool.complete` | its `complete`; absent: false |
//! | `pool.members[].id` | [`Endpoint::name`] |
//! | `host_port` | [`Endpoint::address`] |
//! | `locality` | [`Endpoint::zone`] |
//! | `flavor` | [`Endpoint::kind`] |
//! | `cell` | [`Endpoint::cell`]; absent: 0 |
//! | `phase`: `in_service`, `terminating`, `terminated` | [`Endpoint::state`]: running, draining, gone |
//! | `size` | [`Endpoint::size`]; absent: 0 |
//! | `up_since_ms`, Unix milliseconds | [`Endpoint::started_at`], Unix microseconds; absent: 0 |
//! | `flush` | [`WatchChange::Purge`] |
//! | `flush.asset` | its `object` |
//! | `flush.collection` | its `group` |
//! | `flush.ms` | its `unix_ms` |
//! | a line of digits | [`WatchLine::Heartbeat`] |
//!
//! An event with neither `pool` nor `flush` is [`WatchChange::Unknown`]; unknown fields are ignored.

use super::event::{WatchChange, WatchEvent};
use crate::config::settings::json::micros;
use crate::dispatch::Endpoint;
use crate::policy::types::MemberState;
use bytes::BytesMut;
use miniserde::{json, Deserialize};

/// Longest line that is read, in bytes: a complete list of thousands of members fits.
const MAX_LINE_BYTES: usize = 4 << 20;

/// A line of the watch stream.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchLine {
    /// The service is alive, and this is the revision of its latest event. Sent every second.
    Heartbeat(u64),
    /// An event.
    Event(WatchEvent),
}

/// A line that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchLineError {
    /// It is longer than any event.
    #[error("a line is too long")]
    TooLong,
    /// It is not UTF-8.
    #[error("not text")]
    NotUtf8(#[source] std::str::Utf8Error),
    /// The revision of a heartbeat does not fit 64 bits.
    #[error("a number out of range")]
    RevisionOutOfRange(#[source] std::num::ParseIntError),
    /// It is not JSON of the form of an event.
    #[error("not an event")]
    NotAnEvent,
    /// It is an event with content that is not allowed.
    #[error(transparent)]
    Event(#[from] EventError),
}

/// An event with content that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// A purge names nothing to purge.
    #[error("event {revision} purges neither an object nor a group")]
    EmptyPurge {
        /// The event's revision.
        revision: u64,
    },
    /// A member is in a state that is not known.
    #[error("member {name} is in phase '{phase}', which is not known")]
    UnknownPhase {
        /// The member's name.
        name: String,
        /// The state as the event gives it.
        phase: String,
    },
}

/// An event in its wire form.
#[derive(Deserialize)]
pub(crate) struct WireEvent {
    rev: u64,
    pool: Option<WirePool>,
    flush: Option<WireFlush>,
}

#[derive(Deserialize)]
struct WirePool {
    complete: Option<bool>,
    members: Vec<WireMember>,
}

#[derive(Deserialize)]
struct WireMember {
    id: String,
    host_port: String,
    locality: String,
    flavor: String,
    cell: Option<f64>,
    phase: String,
    size: Option<f64>,
    up_since_ms: Option<f64>,
}

#[derive(Deserialize)]
struct WireFlush {
    asset: Option<String>,
    collection: Option<u32>,
    ms: f64,
}

impl TryFrom<WireEvent> for WatchEvent {
    type Error = EventError;

    fn try_from(event: WireEvent) -> Result<WatchEvent, EventError> {
        let revision = event.rev;
        let change = match (event.pool, event.flush) {
            (Some(pool), _) => WatchChange::Members {
                complete: pool.complete.unwrap_or(false),
                members: pool.members.into_iter().map(Endpoint::try_from).collect::<Result<_, _>>()?,
            },
            (None, Some(WireFlush { asset: None, collection: None, .. })) => {
                return Err(EventError::EmptyPurge { revision });
            }
            (None, Some(flush)) => WatchChange::Purge {
                object: flush.asset,
                group: flush.collection.unwrap_or(0),
                unix_ms: flush.ms,
            },
            (None, None) => WatchChange::Unknown,
        };
        Ok(WatchEvent { revision, change })
    }
}

impl TryFrom<WireMember> for Endpoint {
    type Error = EventError;

    fn try_from(member: WireMember) -> Result<Endpoint, EventError> {
        let state = match member.phase.as_str() {
            "in_service" => MemberState::Running,
            "terminating" => MemberState::Draining,
            "terminated" => MemberState::Gone,
            _ => return Err(EventError::UnknownPhase { name: member.id, phase: member.phase }),
        };
        Ok(Endpoint {
            name: member.id.into(),
            address: member.host_port.into(),
            zone: member.locality,
            kind: member.flavor,
            cell: member.cell.unwrap_or(0.0) as u32,
            state,
            size: member.size.unwrap_or(0.0),
            started_at: micros(member.up_since_ms.unwrap_or(0.0)),
        })
    }
}

/// The request for all events after this revision.
pub fn encode_watch_request(revision: u64) -> String {
    format!("watch {revision}\n")
}

/// Removes the next complete line from the buffer and returns it without its line end.
pub fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, WatchLineError> {
    match buffer.iter().position(|byte| *byte == b'\n') {
        Some(end) => {
            let mut line = buffer.split_to(end + 1);
            line.truncate(end);
            Ok(Some(line))
        }
        None if buffer.len() > MAX_LINE_BYTES => Err(WatchLineError::TooLong),
        None => Ok(None),
    }
}

/// Decodes one line.
pub fn decode_line(line: &[u8]) -> Result<WatchLine, WatchLineError> {
    let text = std::str::from_utf8(line).map_err(WatchLineError::NotUtf8)?.trim();
    if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()) {
        return text.parse().map(WatchLine::Heartbeat).map_err(WatchLineError::RevisionOutOfRange);
    }
    let event: WireEvent = json::from_str(text).map_err(|_| WatchLineError::NotAnEvent)?;
    Ok(WatchLine::Event(event.try_into()?))
}
