//! HTTP/1.1 requests parsed, answers written. It knows no meaning: the fronts do.

use bytes::{Bytes, BytesMut};

/// The longest head that is read.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most header lines of a request.
const MAX_HEADERS: usize = 100;

/// Why a request can't be read, as the status that says so; the connection ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadRequest {
    /// 400
    Malformed,
    /// 408
    Timeout,
    /// 413
    BodyTooLarge,
    /// 431
    HeadTooLarge,
    /// 501
    NotImplemented,
    /// 505
    UnsupportedVersion,
}

impl BadRequest {
    /// The status that tells a client.
    pub fn status(self) -> u16 {
        match self {
            BadRequest::Malformed => 400,
            BadRequest::Timeout => 408,
            BadRequest::BodyTooLarge => 413,
            BadRequest::HeadTooLarge => 431,
            BadRequest::NotImplemented => 501,
            BadRequest::UnsupportedVersion => 505,
        }
    }
}

/// A request's line and headers; its body follows on the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The target, octet for octet.
    pub target: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Bytes of body that follow.
    pub content_length: usize,
    /// The connection ends after the answer.
    pub closes_connection: bool,
    /// The client waits for leave to send the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// The value of a header; the first, where there are more.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }

    /// The value of a header that is there just once.
    pub fn single_header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|h| h.0 == name);
        let first = found.next()?;
        found.next().is_none().then_some(first.1.as_str())
    }
}

/// Takes the head of a request off the buffer, once it has come whole.
pub fn parse_head(buffer: &mut BytesMut, largest_body: usize) -> Result<Option<RequestHead>, BadRequest> {
    // Empty lines before a request are passed over, as RFC 9112 (2.2) asks.
    while buffer.starts_with(b"\r\n") {
        let _ = buffer.split_to(2);
    }
    let end = buffer.windows(4).take(MAX_HEAD_BYTES).position(|w| w == b"\r\n\r\n");
    let Some(end) = end else {
        return if buffer.len() > MAX_HEAD_BYTES { Err(BadRequest::HeadTooLarge) } else { Ok(None) };
    };
    let bytes = buffer.split_to(end + 4);
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| BadRequest::Malformed)?;
    parse_text(text, largest_body).map(Some)
}

fn parse_text(text: &str, largest_body: usize) -> Result<RequestHead, BadRequest> {
    let mut lines = text.split("\r\n");
    let line: Vec<&str> = lines.next().unwrap_or("").split(' ').collect();
    let [method, target, version] = line[..] else { return Err(BadRequest::Malformed) };
    if !is_token(method) || !target.bytes().all(|b| b.is_ascii_graphic()) || target.is_empty() {
        return Err(BadRequest::Malformed);
    }
    let old = match version {
        "HTTP/1.1" => false,
        "HTTP/1.0" => true,
        _ if version.starts_with("HTTP/") => return Err(BadRequest::UnsupportedVersion),
        _ => return Err(BadRequest::Malformed),
    };
    let mut headers = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(BadRequest::Malformed)?;
        let value = value.trim_matches([' ', '\t']);
        if !is_token(name) || value.bytes().any(|b| b < b' ' && b != b'\t' || b == 0x7f) {
            return Err(BadRequest::Malformed);
        }
        if headers.len() == MAX_HEADERS {
            return Err(BadRequest::HeadTooLarge);
        }
        headers.push((name.to_ascii_lowercase(), value.to_owned()));
    }
    let all = |name: &str| headers.iter().filter(|h| h.0 == name).map(|h| h.1.as_str()).collect::<Vec<_>>();
    let lengths = all("content-length");
    if !all("transfer-encoding").is_empty() {
        // No client of ours sends it. With a length beside it one of the two would hide a second request.
        return Err(if lengths.is_empty() { BadRequest::NotImplemented } else { BadRequest::Malformed });
    }
    // Two lengths, or none that can be read, would leave open where the next request begins.
    let length = match lengths[..] {
        [] => 0,
        [one] if !one.is_empty() && one.bytes().all(|b| b.is_ascii_digit()) => {
            one.parse().map_err(|_| BadRequest::BodyTooLarge)?
        }
        _ => return Err(BadRequest::Malformed),
    };
    if length > largest_body {
        return Err(BadRequest::BodyTooLarge);
    }
    let says = |word: &str| {
        all("connection").iter().flat_map(|v| v.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    };
    let close = says("close") || old && !says("keep-alive");
    let expects_continue = all("expect").iter().any(|v| v.eq_ignore_ascii_case("100-continue"));
    Ok(RequestHead {
        method: method.to_owned(),
        target: target.to_owned(),
        content_length: length,
        closes_connection: close,
        expects_continue,
        headers,
    })
}

fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

/// An answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its headers but for length and connection.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    /// An answer without a body.
    pub fn empty(status: u16) -> Self {
        Response { status, ..Response::default() }
    }

    /// The same with one more header.
    pub fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    /// The head as it is written; the body follows.
    pub fn encode_head(&self, close: bool) -> String {
        let mut text = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.status != 304 {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        if close {
            text.push_str("Connection: close\r\n");
        }
        text.push_str("\r\n");
        text
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        304 => "Not Modified",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Unknown",
    }
}
