//! Parses messages into events of the decision module.

use super::fields::{Fields, Parsed};
use super::Hosted;
use crate::policy::types::*;
use base64::{engine::general_purpose::STANDARD, Engine};

/// Messages to one router, but its member list.
pub(super) const MESSAGES: [&str; 10] = [
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

/// The event of a message that is one of [`MESSAGES`], but `start` and `down`.
pub(super) fn parse_event(f: &mut Fields, hosted: &Hosted) -> Parsed<Event> {
    match f.message {
        "ask" => parse_request(f, hosted),
        "under_way" => parse_started(f),
        "report_back" => parse_ended(f),
        "left" => Ok(Event::ClientCancelled(RequestId(f.number("xid")?))),
        "timer" => {
            let tag = f.tail("tag")?;
            // A tag that is not a number is none of ours; the router ignores an unknown token.
            Ok(Event::Timer(tag.parse().unwrap_or(TimerToken::MAX)))
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
        is_retry: f.number_or("stateBits", 0u32)? & REPEAT_BIT != 0,
    }))
}

fn parse_started(f: &mut Fields) -> Parsed<Event> {
    let request = RequestId(f.number("xid")?);
    f.server()?;
    f.time("durationMs")?;
    Ok(Event::ResponseStarted { request, attempt: f.number("copy")? })
}

fn parse_ended(f: &mut Fields) -> Parsed<Event> {
    Ok(Event::AttemptEnded(AttemptEnd {
        request: RequestId(f.number("xid")?),
        attempt: f.number("copy")?,
        server: f.server()?,
        outcome: f.outcome()?,
        elapsed: f.time("durationMs")?,
        request_finished: f.flag("settled")?,
        cache_status: parse_note(f)?,
        source_wait: f.time_or("waitedMs", 0)?,
        load_report: f.row("feedback")?,
    }))
}

fn parse_probed(f: &mut Fields) -> Parsed<Event> {
    Ok(Event::HealthChecked {
        server: f.server()?,
        outcome: f.outcome()?,
        elapsed: f.time("durationMs")?,
        load_report: f.row("feedback")?,
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

/// The router, the kind and the number of entries of a member list.
pub(super) fn parse_view(f: &mut Fields) -> Parsed<(u32, MemberUpdate, usize)> {
    let who = f.number("who")?;
    let kind = match f.text("how")? {
        "patch" => MemberUpdate::Incremental,
        "whole" => MemberUpdate::Full,
        "stale_copy" => MemberUpdate::Stale,
        "broken" => MemberUpdate::Failed,
        other => return Err(f.bad("how", &format!("'{other}' is not known"))),
    };
    f.optional(); // the list's version: changes come in order, none missing
    Ok((who, kind, f.number_or("hosts", 0)?))
}

/// An entry of a member list.
pub(super) fn parse_item(line: &str, known: &Hosted) -> Parsed<Member> {
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
        started_at: f.time_or("sinceMs", 0)?,
    })
}

fn parse_note(f: &mut Fields) -> Parsed<CacheStatus> {
    Ok(match f.number_or("detail", 0u32)? {
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
