//! The line protocol spoken with caches, parents and the origin: requests written, answers parsed.

use crate::dispatch::{Representation, ResponseStatus, UpstreamRequest, UpstreamResponse};
use crate::policy::types::{CacheStatus, Micros};
use bytes::{BufMut, Bytes, BytesMut};
use std::fmt::Write as _;
use std::sync::Arc;
use tokio::time::Instant;

/// The longest line that is read.
const LONGEST_LINE: usize = 4096;
/// The largest body that is read; objects have 240,000 bytes at most. As many as there may be clients, at
/// this size, fit the memory limit.
const LARGEST_BODY: usize = 256 * 1024;

/// Appends the line of a request; its body follows.
pub fn write_request(want: &UpstreamRequest, now: Instant, out: &mut BytesMut) {
    let ms = want.deadline.saturating_duration_since(now).as_millis().max(1);
    let mut fields = format!("kind={},obj={}", want.class, want.object);
    let mut add = |name: &str, value: &dyn std::fmt::Display| {
        let _ = write!(fields, ",{name}={value}"); // a string takes every line
    };
    want.part.iter().for_each(|part| add("seg", part));
    add("ms", &ms);
    want.fill_source.iter().for_each(|via| add("via", via));
    if want.cache_rank > 0 {
        add("tier", &want.cache_rank);
    }
    if want.max_age_ms > 0 {
        add("fresh", &want.max_age_ms);
    }
    let options =
        [(want.collapse, "wait-for"), (want.only_if_cached, "no-fetch"), (want.revalidate, "background")];
    let options: Vec<&str> = options.iter().filter(|o| o.0).map(|o| o.1).collect();
    if !options.is_empty() {
        add("opts", &options.join("+"));
    }
    want.if_none_match.iter().for_each(|tag| add("known", tag));
    want.idempotency_key.iter().for_each(|token| add("token", token));
    out.put_slice(format!("want {} {fields} {}\r\n", want.id, want.body.len()).as_bytes());
    out.put_slice(&want.body);
    out.put_slice(b"\r\n");
}

/// Appends the line that gives a request up.
pub fn write_cancel(id: &str, out: &mut BytesMut) {
    out.put_slice(format!("never_mind {id}\r\n").as_bytes());
}

/// Appends the line of a probe that asks for a load report.
pub fn write_health_check(tag: &str, out: &mut BytesMut) {
    out.put_slice(format!("busy {tag}\r\n").as_bytes());
}

/// An answer line that can't be read; it ends the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineError(pub &'static str);

impl std::fmt::Display for LineError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for LineError {}

/// What came under a name.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageContent {
    /// The end of an attempt.
    Response(UpstreamResponse),
    /// The answer to a probe: whether the server is well, and its load report.
    Health(bool, Vec<(String, f64)>),
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerMessage {
    /// The id of the request or the tag of the probe.
    pub id: Arc<str>,
    /// What came.
    pub content: MessageContent,
}

/// An answer whose line was read, while its body is awaited.
#[derive(Debug)]
struct Head {
    id: Arc<str>,
    word: Word,
    fields: Fields,
    length: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
enum Word {
    Copy,
    Unchanged,
    Miss,
    Full,
    Error,
    Stale,
    Well,
    Ailing,
}

#[derive(Debug, Default)]
struct Fields {
    tag: Option<Arc<str>>,
    note: CacheStatus,
    waited: Micros,
    gauges: Vec<(String, f64)>,
}

/// Reads answers from what has come on a connection so far.
#[derive(Debug, Default)]
pub struct LineDecoder {
    head: Option<Head>,
    /// How much of the buffer holds no line end.
    searched: usize,
}

impl LineDecoder {
    /// The id of the answer whose body is awaited.
    pub fn answering(&self) -> Option<&str> {
        self.head.as_ref().map(|h| &*h.id)
    }

    /// Whether an answer has begun that has not come whole.
    pub fn begun(&self, buffer: &BytesMut) -> bool {
        self.head.is_some() || !buffer.is_empty()
    }

    /// Takes the next whole answer off the buffer, if there is one.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<ServerMessage>, LineError> {
        if self.head.is_none() {
            let Some(line) = self.line(buffer)? else { return Ok(None) };
            self.head = Some(parse_line(&line)?);
        }
        let length = self.head.as_ref().and_then(|h| h.length);
        let whole = length.map_or(0, |n| n + 2);
        if buffer.len() < whole {
            buffer.reserve(whole - buffer.len());
            return Ok(None);
        }
        let mut body = buffer.split_to(whole).freeze();
        if let Some(length) = length {
            if body.split_off(length) != b"\r\n"[..] {
                return Err(LineError("a body does not end where its length says"));
            }
        }
        Ok(self.head.take().map(|head| head.message(body)))
    }

    fn line(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, LineError> {
        let end = buffer[self.searched..].iter().position(|b| *b == b'\n').map(|n| n + self.searched);
        if end.unwrap_or(buffer.len()) > LONGEST_LINE {
            return Err(LineError("a line is too long"));
        }
        let Some(end) = end else {
            self.searched = buffer.len();
            return Ok(None);
        };
        self.searched = 0;
        let mut line = buffer.split_to(end + 1).freeze();
        line.truncate(end);
        if line.last() != Some(&b'\r') {
            return Err(LineError("a line does not end in CR LF"));
        }
        line.truncate(end - 1);
        Ok(Some(line))
    }
}

fn parse_line(line: &[u8]) -> Result<Head, LineError> {
    let line = std::str::from_utf8(line).map_err(|_| LineError("a line is not text"))?;
    let words: Vec<&str> = line.split(' ').collect();
    let [id, word, rest @ ..] = &words[..] else { return Err(LineError("a line has too few words")) };
    if id.is_empty() {
        return Err(LineError("an answer has no id"));
    }
    let word = match *word {
        "ACK" => Word::Copy,
        "NOMOD" => Word::Unchanged,
        "NOENT" => Word::Miss,
        "AGAIN" => Word::Full,
        "EIO" => Word::Error,
        "STALE" => Word::Stale,
        "READY" => Word::Well,
        "AILING" => Word::Ailing,
        _ => return Err(LineError("an answer's word is not known")),
    };
    let (fields, length) = match rest {
        [fields, length] => {
            let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            let length = length.parse().ok().filter(|n| digits && *n <= LARGEST_BODY);
            (*fields, Some(length.ok_or(LineError("an answer's length is not one that can be"))?))
        }
        // A probe's answer may come without a length.
        [fields] if matches!(word, Word::Well | Word::Ailing) => (*fields, None),
        [] if matches!(word, Word::Well | Word::Ailing) => ("-", None),
        _ => return Err(LineError("an answer has not four words")),
    };
    Ok(Head { id: (*id).into(), word, fields: parse_fields(fields)?, length })
}

fn parse_fields(text: &str) -> Result<Fields, LineError> {
    let mut fields = Fields::default();
    if text == "-" {
        return Ok(fields);
    }
    for field in text.split(',') {
        let (name, value) = field.split_once('=').ok_or(LineError("a field has no value"))?;
        match name {
            "tag" => fields.tag = Some(value.into()),
            "lag" => {
                let ms: f64 = value.parse().map_err(|_| LineError("'lag' is not a number"))?;
                fields.waited = crate::config::settings::json::micros(ms);
            }
            "res" => fields.note = parse_note(value),
            "gauges" => {
                for gauge in value.split(';') {
                    let (name, value) = gauge.split_once(':').ok_or(LineError("a gauge has no value"))?;
                    let value = value.parse().map_err(|_| LineError("a gauge is not a number"))?;
                    fields.gauges.push((name.to_owned(), value));
                }
            }
            _ => {} // fields that are not known are passed over
        }
    }
    Ok(fields)
}

fn parse_note(word: &str) -> CacheStatus {
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

impl Head {
    fn message(self, body: Bytes) -> ServerMessage {
        let Fields { tag, note, waited, gauges } = self.fields;
        let verdict = match self.word {
            Word::Copy => ResponseStatus::Ok(Representation { etag: tag, body }),
            Word::Unchanged => ResponseStatus::NotModified(tag),
            Word::Miss => ResponseStatus::Miss,
            Word::Full => ResponseStatus::Rejected,
            Word::Error => ResponseStatus::Error,
            Word::Stale => ResponseStatus::Expired,
            Word::Well => {
                return ServerMessage { id: self.id, content: MessageContent::Health(true, gauges) }
            }
            Word::Ailing => {
                return ServerMessage { id: self.id, content: MessageContent::Health(false, gauges) }
            }
        };
        let content = MessageContent::Response(UpstreamResponse {
            status: verdict,
            cache_status: note,
            source_wait: waited,
            load_report: gauges,
        });
        ServerMessage { id: self.id, content }
    }
}
