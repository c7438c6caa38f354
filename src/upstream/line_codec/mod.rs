//! Codec of the line protocol used with caches, parents and the origin. All of its keywords are in this
//! module.
//!
//! A message is a line that ends in CR LF. In a request and in a response with a length, a body of `LENGTH`
//! bytes and CR LF follow the line.
//!
//! | line sent | function |
//! | --- | --- |
//! | `want ID FIELDS LENGTH` | [`write_request`] |
//! | `never_mind ID` | [`write_cancel`] |
//! | `busy TAG` | [`write_health_check`] |
//!
//! | field of `want` | field of [`UpstreamRequest`] |
//! | --- | --- |
//! | `kind`, `obj`, `seg` | `class`, `object`, `part` |
//! | `ms` | time until `deadline`, in milliseconds, at least 1 |
//! | `via` | `fill_source` |
//! | `tier` | `cache_rank`; absent: 0 |
//! | `fresh` | `max_age_ms`; absent: 0 |
//! | `opts`: `wait-for`, `no-fetch`, `background` | `collapse`, `only_if_cached`, `revalidate` |
//! | `known` | `if_none_match` |
//! | `token` | `idempotency_key` |
//!
//! | status of a received line `ID STATUS FIELDS LENGTH` | type |
//! | --- | --- |
//! | `ACK` | [`ResponseStatus::Ok`] |
//! | `NOMOD` | [`ResponseStatus::NotModified`] |
//! | `NOENT` | [`ResponseStatus::Miss`] |
//! | `AGAIN` | [`ResponseStatus::Rejected`] |
//! | `EIO` | [`ResponseStatus::Error`] |
//! | `STALE` | [`ResponseStatus::Expired`] |
//! | `READY`, `AILING` | [`MessageContent::Health`], healthy or not; `FIELDS` and `LENGTH` are optional |
//!
//! | field of a response | meaning |
//! | --- | --- |
//! | `tag` | entity tag of the representation |
//! | `lag` | [`UpstreamResponse::source_wait`], in milliseconds |
//! | `res` | [`UpstreamResponse::cache_status`] |
//! | `gauges`: `NAME:VALUE`, separated by `;` | the load report |
//!
//! | value of `res` | variant of [`CacheStatus`] |
//! | --- | --- |
//! | `cached`, `fetched`, `fetched_root`, `merged` | `Hit`, `Filled`, `FilledFromOrigin`, `Collapsed` |
//! | `past_fresh` | `Stale` |
//! | `up_refused`, `up_lost`, `up_empty` | `SourceRejected`, `SourceUnreachable`, `SourceMiss` |
//! | `fills_full`, `root_failed` | `FillLimitReached`, `OriginFailed` |
//! | any other | `Unknown` |
//!
//! [`ResponseStatus::Ok`]: crate::dispatch::ResponseStatus::Ok
//! [`ResponseStatus::NotModified`]: crate::dispatch::ResponseStatus::NotModified
//! [`ResponseStatus::Miss`]: crate::dispatch::ResponseStatus::Miss
//! [`ResponseStatus::Rejected`]: crate::dispatch::ResponseStatus::Rejected
//! [`ResponseStatus::Error`]: crate::dispatch::ResponseStatus::Error
//! [`ResponseStatus::Expired`]: crate::dispatch::ResponseStatus::Expired
//! [`UpstreamRequest`]: crate::dispatch::UpstreamRequest
//! [`CacheStatus`]: crate::policy::types::CacheStatus

mod decode;
mod encode;

use crate::dispatch::{HealthReport, UpstreamResponse};
pub use decode::LineDecoder;
pub use encode::{health_check_tag, write_cancel, write_health_check, write_request, LIVENESS_TAG};
use std::sync::Arc;

/// A response, or the result of a health check, with the id that relates it to what was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerMessage {
    /// The id of the request or the tag of the health check.
    pub id: Arc<str>,
    /// What the server responded.
    pub content: MessageContent,
}

/// The content of a message from a server.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageContent {
    /// The response to a request.
    Response(UpstreamResponse),
    /// The result of a health check.
    Health(HealthReport),
}

/// The reason why a message can't be decoded. The connection is then closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs, reason = "the error texts describe the variants")]
pub enum LineError {
    #[error("line is longer than {} bytes", decode::MAX_LINE_BYTES)]
    TooLong,
    #[error("line ends in LF alone, expected CR LF")]
    MissingCrLf,
    #[error("line is not UTF-8: {0}")]
    NotUtf8(std::str::Utf8Error),
    #[error("line has one word, expected at least an id and a status")]
    TooFewFields,
    #[error("message has {0} words, expected 4 (2 to 4 for a health check result)")]
    WrongFieldCount(usize),
    #[error("line begins with a space, expected an id")]
    MissingId,
    #[error("unknown status {0:?}, expected ACK, NOMOD, NOENT, AGAIN, EIO, STALE, READY or AILING")]
    UnknownStatus(String),
    #[error("body length is {0:?}, expected a whole number from 0 to {max}", max = decode::MAX_BODY_BYTES)]
    InvalidLength(String),
    #[error("body of {0} bytes is not followed by CR LF")]
    WrongBodyLength(usize),
    #[error("field {0:?} has no value, expected NAME=VALUE")]
    MissingFieldValue(String),
    #[error("field 'lag' is {0:?}, expected a number of milliseconds")]
    InvalidSourceWait(String),
    #[error("gauge {0:?} has no value, expected NAME:VALUE")]
    MissingGaugeValue(String),
    #[error("gauge {0:?} has an invalid value, expected a number after the colon")]
    InvalidGauge(String),
}
