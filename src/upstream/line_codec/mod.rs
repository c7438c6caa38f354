//! Codec of the line protocol spoken with caches, parents and the origin; no other module knows its words.
//!
//! A message is a line that ends in CR LF. A request, and a response that gives its length, is followed by a
//! body of that many bytes and CR LF.
//!
//! | line out | here |
//! | --- | --- |
//! | `want ID FIELDS LENGTH` | [`write_request`] |
//! | `never_mind ID` | [`write_cancel`] |
//! | `busy TAG` | [`write_health_check`] |
//!
//! | field of `want` | here, in [`UpstreamRequest`] |
//! | --- | --- |
//! | `kind`, `obj`, `seg` | `class`, `object`, `part` |
//! | `ms` | time until `deadline`, in milliseconds, 1 at least |
//! | `via` | `fill_source` |
//! | `tier` | `cache_rank`; absent: 0 |
//! | `fresh` | `max_age_ms`; absent: 0 |
//! | `opts`: `wait-for`, `no-fetch`, `background` | `collapse`, `only_if_cached`, `revalidate` |
//! | `known` | `if_none_match` |
//! | `token` | `idempotency_key` |
//!
//! | line in: `ID STATUS FIELDS LENGTH` | here |
//! | --- | --- |
//! | `ACK` | [`ResponseStatus::Ok`] |
//! | `NOMOD` | [`ResponseStatus::NotModified`] |
//! | `NOENT` | [`ResponseStatus::Miss`] |
//! | `AGAIN` | [`ResponseStatus::Rejected`] |
//! | `EIO` | [`ResponseStatus::Error`] |
//! | `STALE` | [`ResponseStatus::Expired`] |
//! | `READY`, `AILING` | [`MessageContent::Health`], healthy or not; `FIELDS` and `LENGTH` are optional |
//!
//! | field of a response | here |
//! | --- | --- |
//! | `tag` | entity tag of the representation |
//! | `lag` | [`UpstreamResponse::source_wait`], in milliseconds |
//! | `res` | [`UpstreamResponse::cache_status`] |
//! | `gauges`: `NAME:VALUE`, separated by `;` | the load report |
//!
//! | value of `res` | here, in [`CacheStatus`] |
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

/// A message from a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerMessage {
    /// The id of the request or the tag of the health check.
    pub id: Arc<str>,
    /// Its content.
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

/// A message that can't be decoded; it ends the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs, reason = "the fields are the parts of the messages")]
pub enum LineError {
    #[error("a line is too long")]
    TooLong,
    #[error("a line does not end in CR LF")]
    MissingCrLf,
    #[error("a line is not text")]
    NotUtf8,
    #[error("a line has too few words")]
    TooFewFields,
    #[error("an answer has not four words")]
    WrongFieldCount,
    #[error("an answer has no id")]
    MissingId,
    #[error("an answer's word is not known")]
    UnknownStatus,
    #[error("an answer's length is not one that can be")]
    InvalidLength,
    #[error("a body does not end where its length says")]
    WrongBodyLength,
    #[error("a field has no value")]
    MissingFieldValue,
    #[error("'lag' is not a number")]
    InvalidSourceWait,
    #[error("a gauge has no value")]
    MissingGaugeValue,
    #[error("a gauge is not a number")]
    InvalidGauge,
}
