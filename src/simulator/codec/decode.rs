//! Decodes the fields of messages into events for the router.

use super::fields::FieldReader;
use super::{EventKind, Names};
use crate::config::settings::parse_settings;
use crate::policy::types::{
    AttemptEnd, CacheStatus, Event, Member, MemberState, MemberUpdate, Micros, Outcome, Request, RequestId,
    ServerId, Settings, TimerToken,
};
use crate::simulator::error::{FieldFault, MessageError};
use base64::{engine::general_purpose::STANDARD, Engine};

/// Bit of `stateBits` that is set if the request is a retry by the client.
const RETRY_BIT: u32 = 2;

/// The content of a `start` message.
pub(in crate::simulator) struct StartMessage {
    pub(in crate::simulator) seed: u64,
    pub(in crate::simulator) settings: Settings,
}

/// The head of a member list; each entry follows on a separate line.
pub(in crate::simulator) struct MemberListHead {
    pub(in crate::simulator) router: u32,
    pub(in crate::simulator) kind: MemberUpdate,
    pub(in crate::simulator) entries: usize,
}

/// Decodes the time of a batch.
pub(in crate::simulator) fn decode_batch_start(fields: &mut FieldReader) -> Result<Micros, MessageError> {
    fields.time("clockMs")
}

/// Decodes the number of the router that a message is for.
pub(in crate::simulator) fn decode_router(fields: &mut FieldReader) -> Result<u32, MessageError> {
    fields.integer("who")
}

/// Creates the error for a message to a router that is not running.
pub(in crate::simulator) fn unknown_router(fields: &FieldReader, router: u32) -> MessageError {
    fields.error("who", FieldFault::UnknownInstance(router))
}

/// Decodes the fields of a `start` message that follow `who`.
pub(in crate::simulator) fn decode_start(fields: &mut FieldReader) -> Result<StartMessage, MessageError> {
    let seed = fields.integer("entropy")?;
    let text = fields.tail("params")?;
    let settings =
        parse_settings(text).map_err(|error| settings_error(fields, FieldFault::Undecodable(error)))?;
    Ok(StartMessage { seed, settings })
}

/// Creates the error for invalid settings in a `start` message.
pub(in crate::simulator) fn settings_error(fields: &FieldReader, fault: FieldFault) -> MessageError {
    fields.error("params", fault)
}

/// Decodes the fields that follow `who` in the message for an event.
pub(in crate::simulator) fn decode_event(
    kind: EventKind,
    fields: &mut FieldReader,
    names: &Names,
) -> Result<Event, MessageError> {
    match kind {
        EventKind::Request => decode_request(fields, names),
        EventKind::ResponseStarted => decode_response_started(fields),
        EventKind::AttemptEnded => decode_attempt_end(fields),
        EventKind::ClientCancelled => Ok(Event::ClientCancelled(RequestId(fields.integer("xid")?))),
        EventKind::Timer => {
            // Routers only set timers with numeric tags. Any other tag becomes an unknown token, which the
            // router ignores.
            Ok(Event::Timer(fields.tail("tag")?.parse().unwrap_or(TimerToken::MAX)))
        }
        EventKind::HealthChecked => decode_health_check(fields),
        EventKind::Message => decode_peer_message(fields),
        EventKind::Purged => decode_purge(fields),
    }
}

fn decode_request(fields: &mut FieldReader, names: &Names) -> Result<Event, MessageError> {
    let id = RequestId(fields.integer("xid")?);
    let class = fields.index_in("type", &names.classes)?;
    fields.optional(); // Skips the tenant: no decision depends on it.
    Ok(Event::Request(Request {
        id,
        class,
        settings: None,
        object: fields.object("file")?.unwrap_or_default(),
        deadline: fields.time("clientDeadlineMs")?,
        size_kb: fields.finite_or("lengthKb", 0.0)?.max(0.0),
        group: Some(fields.number_or("batchId", 0)?),
        part: fields.number_or("part", 0)?,
        is_retry: fields.number_or("stateBits", 0u32)? & RETRY_BIT != 0,
    }))
}

fn decode_response_started(fields: &mut FieldReader) -> Result<Event, MessageError> {
    let request = RequestId(fields.integer("xid")?);
    decode_server(fields)?;
    fields.time("durationMs")?;
    Ok(Event::ResponseStarted { request, attempt: fields.integer("copy")? })
}

fn decode_attempt_end(fields: &mut FieldReader) -> Result<Event, MessageError> {
    Ok(Event::AttemptEnded(AttemptEnd {
        request: RequestId(fields.integer("xid")?),
        attempt: fields.integer("copy")?,
        server: decode_server(fields)?,
        outcome: decode_outcome(fields)?,
        elapsed: fields.time("durationMs")?,
        request_finished: fields.flag("settled")?,
        cache_status: decode_cache_status(fields)?,
        source_wait: fields.time_or("waitedMs", 0)?,
        load_report: fields.numbers("feedback")?,
    }))
}

fn decode_health_check(fields: &mut FieldReader) -> Result<Event, MessageError> {
    Ok(Event::HealthChecked {
        server: decode_server(fields)?,
        outcome: decode_outcome(fields)?,
        elapsed: fields.time("durationMs")?,
        load_report: fields.numbers("feedback")?,
    })
}

fn decode_peer_message(fields: &mut FieldReader) -> Result<Event, MessageError> {
    let from = fields.integer("from")?;
    let text = fields.optional().unwrap_or("");
    let bytes = STANDARD.decode(text).map_err(|error| fields.error("msg", FieldFault::NotBase64(error)))?;
    Ok(Event::Message { from, bytes })
}

fn decode_purge(fields: &mut FieldReader) -> Result<Event, MessageError> {
    let object = fields.object("file")?.filter(|object| object.0 != 0);
    let (group, age) = (fields.number_or("setNo", 0)?, fields.time_or("ageSpanMs", 0)?);
    Ok(Event::Purged { object, group, age })
}

/// Decodes the head of a member list.
pub(in crate::simulator) fn decode_member_list(
    fields: &mut FieldReader,
) -> Result<MemberListHead, MessageError> {
    let router = decode_router(fields)?;
    let kind = match fields.text("how")? {
        "patch" => MemberUpdate::Incremental,
        "whole" => MemberUpdate::Full,
        "stale_copy" => MemberUpdate::Stale,
        "broken" => MemberUpdate::Failed,
        other => return Err(fields.error("how", FieldFault::UnknownName(other.to_owned()))),
    };
    fields.optional(); // Skips the list's version: changes arrive in order and none is lost.
    Ok(MemberListHead { router, kind, entries: fields.number_or("hosts", 0)? })
}

/// Decodes an entry of a member list.
pub(in crate::simulator) fn decode_member(line: &str, names: &Names) -> Result<Member, MessageError> {
    let mut fields = FieldReader::new(line);
    if fields.message != "item" {
        return Err(member_list_error(FieldFault::NotAnItem(fields.message.to_owned())));
    }
    Ok(Member {
        server: decode_server(&mut fields)?,
        zone: fields.index_in("failureDomain", &names.zones)?,
        kind: fields.index_in("flavor", &names.kinds)?,
        cell: fields.number_or("pod", 0)?,
        state: match fields.text("state")? {
            "in_service" => MemberState::Running,
            "terminating" => MemberState::Draining,
            "terminated" => MemberState::Gone,
            other => return Err(fields.error("state", FieldFault::UnknownName(other.to_owned()))),
        },
        size: fields.finite_or("size", 1.0)?,
        started_at: fields.time_or("sinceMs", 0)?,
    })
}

/// Creates the error for missing or invalid entries of a member list.
pub(in crate::simulator) fn member_list_error(fault: FieldFault) -> MessageError {
    MessageError::Field { message: "view".to_owned(), field: "hosts", fault }
}

fn decode_server(fields: &mut FieldReader) -> Result<ServerId, MessageError> {
    Ok(ServerId(fields.integer("cache")?))
}

fn decode_outcome(fields: &mut FieldReader) -> Result<Outcome, MessageError> {
    Ok(match fields.text("code")? {
        "Ok" => Outcome::Ok,
        "Failed" => Outcome::Failed,
        "QueueFull" => Outcome::Rejected,
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::ConnectError,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Cancelled,
        "Ignored" => Outcome::NotSent,
        "Miss" => Outcome::Miss,
        other => return Err(fields.error("code", FieldFault::NotAnOutcome(other.to_owned()))),
    })
}

fn decode_cache_status(fields: &mut FieldReader) -> Result<CacheStatus, MessageError> {
    Ok(match fields.number_or("detail", 0u32)? {
        1 => CacheStatus::Hit,
        2 => CacheStatus::Filled,
        3 => CacheStatus::FilledFromOrigin,
        4 => CacheStatus::Collapsed,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRejected,
        7 => CacheStatus::SourceUnreachable,
        8 => CacheStatus::SourceMiss,
        9 => CacheStatus::FillLimitReached,
        10 => CacheStatus::OriginFailed,
        _ => CacheStatus::Unknown,
    })
}
