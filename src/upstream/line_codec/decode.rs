//! Incremental decoder of responses and health check results.

use super::{LineError, MessageContent, ServerMessage};
use crate::config::settings::json::micros;
use crate::dispatch::{HealthReport, Representation, ResponseStatus, UpstreamResponse};
use crate::policy::types::{CacheStatus, Micros};
use bytes::{Bytes, BytesMut};
use std::sync::Arc;

/// Maximum length of a line, in bytes.
pub(super) const MAX_LINE_BYTES: usize = 4096;
/// Maximum length of a body, in bytes; objects have at most 240,000.
pub(super) const MAX_BODY_BYTES: usize = 256 * 1024;
/// The placeholder for an empty list of fields.
const NO_FIELDS: &str = "-";
/// The line end after a body.
const CR_LF: &[u8] = b"\r\n";

/// A decoder of the messages of one connection.
#[derive(Debug, Default)]
pub struct LineDecoder {
    /// Head of the message whose body is not complete yet.
    head: Option<MessageHead>,
    /// Number of bytes at the start of the buffer that were searched and contain no line end.
    searched: usize,
}

/// The decoded first line of a message.
#[derive(Debug)]
struct MessageHead {
    id: Arc<str>,
    status: StatusToken,
    fields: ResponseFields,
    body_length: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
enum StatusToken {
    Ok,
    NotModified,
    Miss,
    Rejected,
    Error,
    Expired,
    Healthy,
    Unhealthy,
}

impl StatusToken {
    fn parse(word: &str) -> Result<StatusToken, LineError> {
        Ok(match word {
            "ACK" => StatusToken::Ok,
            "NOMOD" => StatusToken::NotModified,
            "NOENT" => StatusToken::Miss,
            "AGAIN" => StatusToken::Rejected,
            "EIO" => StatusToken::Error,
            "STALE" => StatusToken::Expired,
            "READY" => StatusToken::Healthy,
            "AILING" => StatusToken::Unhealthy,
            _ => return Err(LineError::UnknownStatus(word.to_owned())),
        })
    }

    fn is_health(self) -> bool {
        matches!(self, StatusToken::Healthy | StatusToken::Unhealthy)
    }
}

#[derive(Debug, Default)]
struct ResponseFields {
    etag: Option<Arc<str>>,
    cache_status: CacheStatus,
    source_wait: Micros,
    load_report: Vec<(String, f64)>,
}

impl LineDecoder {
    /// Returns the id of the message whose body is not complete yet.
    pub fn partial_id(&self) -> Option<&str> {
        self.head.as_ref().map(|head| &*head.id)
    }

    /// Returns the length of the body that is not complete yet, with the line end after it.
    pub fn partial_body_bytes(&self) -> Option<usize> {
        let length = self.head.as_ref()?.body_length?;
        Some(length + CR_LF.len())
    }

    /// Returns whether a message has been received in part.
    pub fn has_partial_message(&self, buffer: &BytesMut) -> bool {
        self.head.is_some() || !buffer.is_empty()
    }

    /// Removes the next complete message from the buffer and returns it; returns `None` if there is none yet.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<ServerMessage>, LineError> {
        if self.head.is_none() {
            let Some(line) = self.take_line(buffer)? else { return Ok(None) };
            self.head = Some(parse_head(&line)?);
        }
        let body_length = self.head.as_ref().and_then(|head| head.body_length);
        let bytes = body_length.map_or(0, |length| length + CR_LF.len());
        if buffer.len() < bytes {
            return Ok(None);
        }
        let mut body = buffer.split_to(bytes).freeze();
        if let Some(length) = body_length {
            if body.split_off(length) != CR_LF {
                return Err(LineError::WrongBodyLength(length));
            }
        }
        Ok(self.head.take().map(|head| head.into_message(body)))
    }

    /// Removes the next complete line from the buffer and returns it without its line end.
    fn take_line(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, LineError> {
        let unsearched = &buffer[self.searched..];
        let end = unsearched.iter().position(|byte| *byte == b'\n').map(|at| at + self.searched);
        if end.unwrap_or(buffer.len()) > MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        let Some(end) = end else {
            self.searched = buffer.len();
            return Ok(None);
        };
        self.searched = 0;
        let mut line = buffer.split_to(end + 1).freeze();
        line.truncate(end);
        if line.last() != Some(&b'\r') {
            return Err(LineError::MissingCrLf);
        }
        line.truncate(end - 1);
        Ok(Some(line))
    }
}

fn parse_head(line: &[u8]) -> Result<MessageHead, LineError> {
    let line = std::str::from_utf8(line).map_err(LineError::NotUtf8)?;
    let words: Vec<&str> = line.split(' ').collect();
    let [id, status, rest @ ..] = &words[..] else { return Err(LineError::TooFewFields) };
    if id.is_empty() {
        return Err(LineError::MissingId);
    }
    let status = StatusToken::parse(status)?;
    let (fields, body_length) = match rest {
        [fields, length] => (*fields, Some(parse_body_length(length)?)),
        // The body length, and the fields as well, are optional in the result of a health check.
        [fields] if status.is_health() => (*fields, None),
        [] if status.is_health() => (NO_FIELDS, None),
        _ => return Err(LineError::WrongFieldCount(words.len())),
    };
    Ok(MessageHead { id: (*id).into(), status, fields: parse_fields(fields)?, body_length })
}

fn parse_body_length(word: &str) -> Result<usize, LineError> {
    let is_number = !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_digit());
    let length = word.parse().ok().filter(|length| is_number && *length <= MAX_BODY_BYTES);
    length.ok_or_else(|| LineError::InvalidLength(word.to_owned()))
}

fn parse_fields(text: &str) -> Result<ResponseFields, LineError> {
    let mut fields = ResponseFields::default();
    if text == NO_FIELDS {
        return Ok(fields);
    }
    for field in text.split(',') {
        let (name, value) =
            field.split_once('=').ok_or_else(|| LineError::MissingFieldValue(field.to_owned()))?;
        match name {
            "tag" => fields.etag = Some(value.into()),
            "lag" => {
                let ms: f64 = value.parse().map_err(|_| LineError::InvalidSourceWait(value.to_owned()))?;
                fields.source_wait = micros(ms);
            }
            "res" => fields.cache_status = parse_cache_status(value),
            "gauges" => fields.load_report.extend(parse_gauges(value)?),
            _ => {} // unknown fields are ignored
        }
    }
    Ok(fields)
}

fn parse_gauges(text: &str) -> Result<Vec<(String, f64)>, LineError> {
    let parse_gauge = |gauge: &str| {
        let (name, value) =
            gauge.split_once(':').ok_or_else(|| LineError::MissingGaugeValue(gauge.to_owned()))?;
        let value = value.parse().map_err(|_| LineError::InvalidGauge(gauge.to_owned()))?;
        Ok((name.to_owned(), value))
    };
    text.split(';').map(parse_gauge).collect()
}

fn parse_cache_status(word: &str) -> CacheStatus {
    match word {
        "cached" => CacheStatus::Hit,
        "fetched" => CacheStatus::Filled,
        "fetched_root" => CacheStatus::FilledFromOrigin,
        "merged" => CacheStatus::Collapsed,
        "past_fresh" => CacheStatus::Stale,
        "up_refused" => CacheStatus::SourceRejected,
        "up_lost" => CacheStatus::SourceUnreachable,
        "up_empty" => CacheStatus::SourceMiss,
        "fills_full" => CacheStatus::FillLimitReached,
        "root_failed" => CacheStatus::OriginFailed,
        _ => CacheStatus::Unknown,
    }
}

impl MessageHead {
    fn into_message(self, body: Bytes) -> ServerMessage {
        let ResponseFields { etag, cache_status, source_wait, load_report } = self.fields;
        let health = |healthy, load_report| MessageContent::Health(HealthReport { healthy, load_report });
        let response = |status, load_report| {
            MessageContent::Response(UpstreamResponse { status, cache_status, source_wait, load_report })
        };
        let content = match self.status {
            StatusToken::Ok => response(ResponseStatus::Ok(Representation { etag, body }), load_report),
            StatusToken::NotModified => response(ResponseStatus::NotModified(etag), load_report),
            StatusToken::Miss => response(ResponseStatus::Miss, load_report),
            StatusToken::Rejected => response(ResponseStatus::Rejected, load_report),
            StatusToken::Error => response(ResponseStatus::Error, load_report),
            StatusToken::Expired => response(ResponseStatus::Expired, load_report),
            StatusToken::Healthy => health(true, load_report),
            StatusToken::Unhealthy => health(false, load_report),
        };
        ServerMessage { id: self.id, content }
    }
}
