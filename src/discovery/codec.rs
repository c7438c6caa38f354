//! Codec of the discovery service's watch stream. The wire names are used in this module only.
//!
//! A client opens a connection and sends `watch REVISION` to request the events after that revision. Then it
//! reads lines: a number is a heartbeat, a JSON object is an event.
//!
//! | wire field | decoded as |
//! | --- | --- |
//! | `rev` | [`WatchEvent::revision`] |
//! | `pool` | [`WatchChange::Members`] |
//! | `pool.complete` | its `complete`; default `false` |
//! | `pool.members[].id` | [`Endpoint::name`] |
//! | `host_port` | [`Endpoint::address`] |
//! | `locality` | [`Endpoint::zone`] |
//! | `flavor` | [`Endpoint::kind`] |
//! | `cell` | [`Endpoint::cell`]; default 0 |
//! | `phase`: `in_service`, `terminating`, `terminated` | [`Endpoint::state`]: running, draining, gone |
//! | `size` | [`Endpoint::size`]; default 0 |
//! | `up_since_ms`, Unix milliseconds | [`Endpoint::started_at`], Unix microseconds; default 0 |
//! | `flush` | [`WatchChange::Purge`] |
//! | `flush.asset` | its `object` |
//! | `flush.collection` | its `group` |
//! | `flush.ms` | its `unix_ms` |
//! | a line of digits | [`WatchLine::Heartbeat`] |
//!
//! An event with neither `pool` nor `flush` is decoded as [`WatchChange::Unknown`]. Unknown fields are
//! ignored.

use super::event::{WatchChange, WatchEvent};
use crate::config::settings::json::micros;
use crate::dispatch::Endpoint;
use crate::policy::types::MemberState;
use bytes::BytesMut;
use miniserde::{json, Deserialize};

/// Maximum length of a line in bytes. A complete list of thousands of members fits.
const MAX_LINE_BYTES: usize = 4 << 20;

/// A line of the watch stream.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchLine {
    /// A heartbeat with the revision of the service's latest event. The service sends one every second.
    Heartbeat(u64),
    /// A change, in a line with a JSON object.
    Event(WatchEvent),
}

/// An error that prevents a line from being decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchLineError {
    /// No line end within the maximum length of a line.
    #[error("no line end within {} bytes", MAX_LINE_BYTES)]
    TooLong,
    /// The line is not valid UTF-8.
    #[error("expected UTF-8 text: {0}")]
    NotUtf8(#[source] std::str::Utf8Error),
    /// The revision of a heartbeat does not fit in 64 bits.
    #[error("heartbeat: revision does not fit in 64 bits")]
    RevisionOutOfRange(#[source] std::num::ParseIntError),
    /// The line is not valid JSON, or a field of the event is missing or has the wrong type.
    #[error(
        "expected a heartbeat or a JSON object with a valid 'rev' and optionally a valid 'pool' or 'flush'"
    )]
    NotAnEvent,
    /// The event has a value that is not allowed.
    #[error(transparent)]
    Event(#[from] EventError),
}

/// A value in an event that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// A purge names neither an object nor a group.
    #[error("event {revision}: expected 'asset' or 'collection' in 'flush', got neither")]
    EmptyPurge {
        /// Revision of the event.
        revision: u64,
    },
    /// A member has an unknown phase.
    #[error("member '{name}': unknown phase '{phase}', expected in_service, terminating or terminated")]
    UnknownPhase {
        /// Name of the member.
        name: String,
        /// Value of `phase` in the event.
        phase: String,
    },
}

/// The wire format of an event.
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

/// Encodes the request for all events after `revision`.
pub fn encode_watch_request(revision: u64) -> String {
    format!("watch {revision}\n")
}

/// Removes the next line from the buffer and returns it without its line end. Returns `None` if the buffer
/// holds no complete line.
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

/// Decodes a line of the watch stream, without its line end.
pub fn decode_line(line: &[u8]) -> Result<WatchLine, WatchLineError> {
    let text = std::str::from_utf8(line).map_err(WatchLineError::NotUtf8)?.trim();
    if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()) {
        return text.parse().map(WatchLine::Heartbeat).map_err(WatchLineError::RevisionOutOfRange);
    }
    let event: WireEvent = json::from_str(text).map_err(|_| WatchLineError::NotAnEvent)?;
    Ok(WatchLine::Event(event.try_into()?))
}
