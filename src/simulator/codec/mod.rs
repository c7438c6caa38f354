//! Codec of the simulator's text protocol. No other module depends on the words of the protocol.
//!
//! A line consists of a message's name and its fields, separated by spaces; `-` marks an absent field. Times
//! are in milliseconds on the wire and in microseconds in the program. The first field of every message to a
//! router is `who`, the router's number.
//!
//! | message in | here |
//! | --- | --- |
//! | `sync clockMs` | [`MessageKind::BeginBatch`], the time of all events of the batch |
//! | `eof_batch` | [`MessageKind::EndBatch`] |
//! | `start who entropy params` | [`MessageKind::Start`]: seed and settings |
//! | `down who` | [`MessageKind::Stop`] |
//! | `view who how version hosts`, then `hosts` lines `item` | [`Event::Members`](crate::Event::Members) |
//! | `ask` | [`Event::Request`](crate::Event::Request) |
//! | `under_way` | [`Event::ResponseStarted`](crate::Event::ResponseStarted) |
//! | `report_back` | [`Event::AttemptEnded`](crate::Event::AttemptEnded) |
//! | `left` | [`Event::ClientCancelled`](crate::Event::ClientCancelled) |
//! | `timer` | [`Event::Timer`](crate::Event::Timer) |
//! | `health` | [`Event::HealthChecked`](crate::Event::HealthChecked) |
//! | `from_peer` | [`Event::Message`](crate::Event::Message) |
//! | `invalidated` | [`Event::Purged`](crate::Event::Purged) |
//!
//! | field | here |
//! | --- | --- |
//! | `xid`, `copy`, `cache` | request id, attempt, server id |
//! | `type`, `file`, `batchId` (`setNo` in a purge), `part` | class, object, group, part |
//! | `clientDeadlineMs`, `lengthKb`, `stateBits` | deadline, size, flags with the retry bit |
//! | `code`, `durationMs`, `settled` | outcome, elapsed time, whether the request has finished |
//! | `detail`, `waitedMs`, `feedback` | cache status, wait for the fill source, load report |
//! | `how`: `patch`, `whole`, `stale_copy`, `broken` | list: incremental, full, stale, failed |
//! | `failureDomain`, `flavor`, `pod`, `sinceMs` | zone, kind, cell, start |
//! | `state`: `in_service`, `terminating`, `terminated` | running, draining, gone |
//! | `ageSpanMs` | age of a purge |
//!
//! | line out | here |
//! | --- | --- |
//! | `dispatch`, `read_through` | [`Action::Attempt`](crate::Action::Attempt) without and with a fill |
//! | `abandon` | [`Action::Cancel`](crate::Action::Cancel) |
//! | `overload_reply` | [`Action::Reject`](crate::Action::Reject) |
//! | `fail` | [`Action::Fail`](crate::Action::Fail) |
//! | `wake_at` | [`Action::SetTimer`](crate::Action::SetTimer) |
//! | `sound_out` | [`Action::HealthCheck`](crate::Action::HealthCheck) |
//! | `tail` | [`Action::Subscribe`](crate::Action::Subscribe) |
//! | `fetch` | [`Action::FetchMembers`](crate::Action::FetchMembers) |
//! | `announce` | [`Action::SendMessage`](crate::Action::SendMessage) |
//! | `print` | [`Action::Log`](crate::Action::Log) |
//! | `eor` | end of the reply to a batch |

mod decode;
mod encode;
mod fields;

pub(super) use decode::{
    decode_batch_start, decode_event, decode_member, decode_member_list, decode_router, decode_start,
    member_list_error, settings_error, unknown_router, MemberListHead, StartMessage,
};
pub(super) use encode::{encode_action, encode_end_of_reply};
pub(super) use fields::FieldReader;

/// The kinds of messages from the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// Begins a batch of events.
    BeginBatch,
    /// Ends a batch; the simulator then waits for the reply.
    EndBatch,
    /// Starts a router.
    Start,
    /// Stops a router.
    Stop,
    /// Head of a member list for a router; the entries follow, one per line.
    MemberList,
    /// Any other event for a router.
    Event(EventKind),
}

/// The events whose message is a single line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventKind {
    Request,
    ResponseStarted,
    AttemptEnded,
    ClientCancelled,
    Timer,
    HealthChecked,
    Message,
    Purged,
}

impl MessageKind {
    /// Returns the kind of the message with this name; `None` if the name is unknown.
    pub(super) fn from_name(name: &str) -> Option<MessageKind> {
        Some(match name {
            "sync" => MessageKind::BeginBatch,
            "eof_batch" => MessageKind::EndBatch,
            "start" => MessageKind::Start,
            "down" => MessageKind::Stop,
            "view" => MessageKind::MemberList,
            "ask" => MessageKind::Event(EventKind::Request),
            "under_way" => MessageKind::Event(EventKind::ResponseStarted),
            "report_back" => MessageKind::Event(EventKind::AttemptEnded),
            "left" => MessageKind::Event(EventKind::ClientCancelled),
            "timer" => MessageKind::Event(EventKind::Timer),
            "health" => MessageKind::Event(EventKind::HealthChecked),
            "from_peer" => MessageKind::Event(EventKind::Message),
            "invalidated" => MessageKind::Event(EventKind::Purged),
            _ => return None,
        })
    }
}

/// The names that messages use for zones, kinds of servers and classes, in the order of a router's indices.
#[derive(Debug)]
pub(super) struct Names {
    pub(super) zones: Vec<String>,
    pub(super) kinds: Vec<String>,
    pub(super) classes: Vec<String>,
}
