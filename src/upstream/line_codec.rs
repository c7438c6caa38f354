//! The line protocol spoken with caches, parents and the origin: requests written, answers parsed.

use crate::dispatch::{Copy, Reply, Verdict, Want};
use crate::policy::types::{Micros, Note};
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
pub fn write_want(want: &Want, now: Instant, out: &mut BytesMut) {
    let ms = want.until.saturating_duration_since(now).as_millis().max(1);
    let mut fields = format!("kind={},obj={}", want.class, want.object);
    let mut add = |name: &str, value: &dyn std::fmt::Display| {
        let _ = write!(fields, ",{name}={value}"); // a string takes every line
    };
    want.part.iter().for_each(|part| add("seg", part));
    add("ms", &ms);
    want.via.iter().for_each(|via| add("via", via));
    if want.keep > 0 {
        add("tier", &want.keep);
    }
    if want.max_age_ms > 0 {
        add("fresh", &want.max_age_ms);
    }
    let options = [(want.join, "wait-for"), (want.held_only, "no-fetch"), (want.renew, "background")];
    let options: Vec<&str> = options.iter().filter(|o| o.0).map(|o| o.1).collect();
    if !options.is_empty() {
        add("opts", &options.join("+"));
    }
    want.known.iter().for_each(|tag| add("known", tag));
    want.token.iter().for_each(|token| add("token", token));
    out.put_slice(format!("want {} {fields} {}\r\n", want.id, want.body.len()).as_bytes());
    out.put_slice(&want.body);
    out.put_slice(b"\r\n");
}

/// Appends the line that gives a request up.
pub fn write_forget(id: &str, out: &mut BytesMut) {
    out.put_slice(format!("never_mind {id}\r\n").as_bytes());
}

/// Appends the line of a probe that asks for a load report.
pub fn write_probe(tag: &str, out: &mut BytesMut) {
    out.put_slice(format!("busy {tag}\r\n").as_bytes());
}

/// An answer line that can't be read; it ends the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadLine(pub &'static str);

impl std::fmt::Display for BadLine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for BadLine {}

/// What came under a name.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The end of an attempt.
    Reply(Reply),
    /// The answer to a probe: whether the server is well, and its load report.
    Probe(bool, Vec<(String, f64)>),
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The id of the request or the tag of the probe.
    pub id: Arc<str>,
    /// What came.
    pub content: Content,
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
    note: Note,
    waited: Micros,
    gauges: Vec<(String, f64)>,
}

/// Reads answers from what has come on a connection so far.
#[derive(Debug, Default)]
pub struct Reader {
    head: Option<Head>,
    /// How much of the buffer holds no line end.
    searched: usize,
}

impl Reader {
    /// The id of the answer whose body is awaited.
    pub fn answering(&self) -> Option<&str> {
        self.head.as_ref().map(|h| &*h.id)
    }

    /// Whether an answer has begun that has not come whole.
    pub fn begun(&self, buffer: &BytesMut) -> bool {
        self.head.is_some() || !buffer.is_empty()
    }

    /// Takes the next whole answer off the buffer, if there is one.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Message>, BadLine> {
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
                return Err(BadLine("a body does not end where its length says"));
            }
        }
        Ok(self.head.take().map(|head| head.message(body)))
    }

    fn line(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, BadLine> {
        let end = buffer[self.searched..].iter().position(|b| *b == b'\n').map(|n| n + self.searched);
        if end.unwrap_or(buffer.len()) > LONGEST_LINE {
            return Err(BadLine("a line is too long"));
        }
        let Some(end) = end else {
            self.searched = buffer.len();
            return Ok(None);
        };
        self.searched = 0;
        let mut line = buffer.split_to(end + 1).freeze();
        line.truncate(end);
        if line.last() != Some(&b'\r') {
            return Err(BadLine("a line does not end in CR LF"));
        }
        line.truncate(end - 1);
        Ok(Some(line))
    }
}

fn parse_line(line: &[u8]) -> Result<Head, BadLine> {
    let line = std::str::from_utf8(line).map_err(|_| BadLine("a line is not text"))?;
    let words: Vec<&str> = line.split(' ').collect();
    let [id, word, rest @ ..] = &words[..] else { return Err(BadLine("a line has too few words")) };
    if id.is_empty() {
        return Err(BadLine("an answer has no id"));
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
        _ => return Err(BadLine("an answer's word is not known")),
    };
    let (fields, length) = match rest {
        [fields, length] => {
            let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            let length = length.parse().ok().filter(|n| digits && *n <= LARGEST_BODY);
            (*fields, Some(length.ok_or(BadLine("an answer's length is not one that can be"))?))
        }
        // A probe's answer may come without a length.
        [fields] if matches!(word, Word::Well | Word::Ailing) => (*fields, None),
        [] if matches!(word, Word::Well | Word::Ailing) => ("-", None),
        _ => return Err(BadLine("an answer has not four words")),
    };
    Ok(Head { id: (*id).into(), word, fields: parse_fields(fields)?, length })
}

fn parse_fields(text: &str) -> Result<Fields, BadLine> {
    let mut fields = Fields::default();
    if text == "-" {
        return Ok(fields);
    }
    for field in text.split(',') {
        let (name, value) = field.split_once('=').ok_or(BadLine("a field has no value"))?;
        match name {
            "tag" => fields.tag = Some(value.into()),
            "lag" => {
                let ms: f64 = value.parse().map_err(|_| BadLine("'lag' is not a number"))?;
                fields.waited = crate::config::settings::micros(ms);
            }
            "res" => fields.note = parse_note(value),
            "gauges" => {
                for gauge in value.split(';') {
                    let (name, value) = gauge.split_once(':').ok_or(BadLine("a gauge has no value"))?;
                    let value = value.parse().map_err(|_| BadLine("a gauge is not a number"))?;
                    fields.gauges.push((name.to_owned(), value));
                }
            }
            _ => {} // fields that are not known are passed over
        }
    }
    Ok(fields)
}

fn parse_note(word: &str) -> Note {
    match word {
        "cached" => Note::Hit,
        "fetched" => Note::Filled,
        "fetched_root" => Note::FilledByOrigin,
        "merged" => Note::Joined,
        "past_fresh" => Note::Stale,
        "up_refused" => Note::SourceRefused,
        "up_lost" => Note::SourceLost,
        "up_empty" => Note::SourceLacks,
        "fills_full" => Note::NoPlace,
        "root_failed" => Note::OriginFailed,
        _ => Note::None,
    }
}

impl Head {
    fn message(self, body: Bytes) -> Message {
        let Fields { tag, note, waited, gauges } = self.fields;
        let verdict = match self.word {
            Word::Copy => Verdict::Copy(Copy { tag, body }),
            Word::Unchanged => Verdict::Unchanged(tag),
            Word::Miss => Verdict::Miss,
            Word::Full => Verdict::Full,
            Word::Error => Verdict::Error,
            Word::Stale => Verdict::Stale,
            Word::Well => return Message { id: self.id, content: Content::Probe(true, gauges) },
            Word::Ailing => return Message { id: self.id, content: Content::Probe(false, gauges) },
        };
        let content = Content::Reply(Reply { verdict, note, waited, gauges });
        Message { id: self.id, content }
    }
}
