//! HTTP codec: parses the heads of HTTP/1.1 requests and encodes those of responses (RFC 9112).

use bytes::{Bytes, BytesMut};

/// The longest head of a request that is read, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Header lines of a request at most.
const MAX_HEADERS: usize = 100;

/// Why a request can't be read; the connection closes after the response that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// It is not in the form of HTTP/1.1.
    #[error("malformed request")]
    Malformed,
    /// It is not complete in time.
    #[error("request timeout")]
    Timeout,
    /// Its body is larger than is taken.
    #[error("body too large")]
    BodyTooLarge,
    /// Its head is longer, or has more header lines, than is taken.
    #[error("head too large")]
    HeadTooLarge,
    /// Its body comes in a transfer encoding.
    #[error("transfer encoding not implemented")]
    NotImplemented,
    /// It is in another version of HTTP.
    #[error("unsupported version of HTTP")]
    UnsupportedVersion,
}

impl BadRequest {
    /// The status of the response.
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

/// The request line and headers of a request; its body follows on the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The target, octet for octet.
    pub target: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The length of the body, in bytes.
    pub content_length: usize,
    /// Whether the connection closes after the response.
    pub closes_connection: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// The value of a header; the first, where there are more.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }

    /// The value of a header that stands there just once.
    pub fn single_header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|h| h.0 == name);
        let first = found.next()?;
        found.next().is_none().then_some(first.1.as_str())
    }
}

/// Takes the head of a request off the buffer; none: it is not complete yet.
pub fn parse_head(buffer: &mut BytesMut, max_body_bytes: usize) -> Result<Option<RequestHead>, BadRequest> {
    // Empty lines before a request are skipped, as RFC 9112 (2.2) asks.
    while buffer.starts_with(b"\r\n") {
        let _ = buffer.split_to(2);
    }
    let end = buffer.windows(4).take(MAX_HEAD_BYTES).position(|w| w == b"\r\n\r\n");
    let Some(end) = end else {
        return if buffer.len() > MAX_HEAD_BYTES { Err(BadRequest::HeadTooLarge) } else { Ok(None) };
    };
    let bytes = buffer.split_to(end + 4);
    let text = std::str::from_utf8(&bytes[..end]).map_err(|_| BadRequest::Malformed)?;
    parse_text(text, max_body_bytes).map(Some)
}

fn parse_text(text: &str, max_body_bytes: usize) -> Result<RequestHead, BadRequest> {
    let mut lines = text.split("\r\n");
    let request_line = RequestLine::parse(lines.next().unwrap_or(""))?;
    let mut headers = Vec::new();
    for line in lines {
        let header = parse_header(line)?;
        if headers.len() == MAX_HEADERS {
            return Err(BadRequest::HeadTooLarge);
        }
        headers.push(header);
    }
    let content_length = content_length(&headers)?;
    if content_length > max_body_bytes {
        return Err(BadRequest::BodyTooLarge);
    }
    let expects_continue =
        header_values(&headers, "expect").any(|value| value.eq_ignore_ascii_case("100-continue"));
    let keeps_alive_by_default = request_line.version == Version::Http11;
    let closes_connection = has_connection_option(&headers, "close")
        || !keeps_alive_by_default && !has_connection_option(&headers, "keep-alive");
    Ok(RequestHead {
        method: request_line.method.to_owned(),
        target: request_line.target.to_owned(),
        headers,
        content_length,
        closes_connection,
        expects_continue,
    })
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Version {
    Http10,
    Http11,
}

struct RequestLine<'a> {
    method: &'a str,
    target: &'a str,
    version: Version,
}

impl<'a> RequestLine<'a> {
    fn parse(line: &'a str) -> Result<Self, BadRequest> {
        let words: Vec<&str> = line.split(' ').collect();
        let [method, target, version] = words[..] else { return Err(BadRequest::Malformed) };
        let is_target = !target.is_empty() && target.bytes().all(|b| b.is_ascii_graphic());
        if !is_token(method) || !is_target {
            return Err(BadRequest::Malformed);
        }
        let version = match version {
            "HTTP/1.1" => Version::Http11,
            "HTTP/1.0" => Version::Http10,
            _ if version.starts_with("HTTP/") => return Err(BadRequest::UnsupportedVersion),
            _ => return Err(BadRequest::Malformed),
        };
        Ok(RequestLine { method, target, version })
    }
}

/// A header's name in lower case, and its value.
fn parse_header(line: &str) -> Result<(String, String), BadRequest> {
    let (name, value) = line.split_once(':').ok_or(BadRequest::Malformed)?;
    let value = value.trim_matches([' ', '\t']);
    let is_control = |b: u8| b < b' ' && b != b'\t' || b == 0x7f;
    if !is_token(name) || value.bytes().any(is_control) {
        return Err(BadRequest::Malformed);
    }
    Ok((name.to_ascii_lowercase(), value.to_owned()))
}

/// The values of all headers of a name.
fn header_values<'a>(headers: &'a [(String, String)], name: &'a str) -> impl Iterator<Item = &'a str> {
    headers.iter().filter(move |header| header.0 == name).map(|header| header.1.as_str())
}

/// Whether an option stands in any of the `Connection` headers.
fn has_connection_option(headers: &[(String, String)], option: &str) -> bool {
    let mut options = header_values(headers, "connection").flat_map(|value| value.split(','));
    options.any(|given| given.trim().eq_ignore_ascii_case(option))
}

/// The bytes of body that follow a head.
fn content_length(headers: &[(String, String)]) -> Result<usize, BadRequest> {
    let lengths: Vec<&str> = header_values(headers, "content-length").collect();
    if header_values(headers, "transfer-encoding").next().is_some() {
        // No client of ours sends it. With a length beside it one of the two would hide a second request.
        return Err(if lengths.is_empty() { BadRequest::NotImplemented } else { BadRequest::Malformed });
    }
    // Two lengths, or none that can be read, would leave open where the next request begins.
    match lengths[..] {
        [] => Ok(0),
        [length] if is_digits(length) => length.parse().map_err(|_| BadRequest::BodyTooLarge),
        _ => Err(BadRequest::Malformed),
    }
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())
}

fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

/// A response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its headers without `Content-Length` and `Connection`.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    /// A response without a body.
    pub fn empty(status: u16) -> Self {
        Response { status, ..Response::default() }
    }

    /// The same with one more header.
    pub fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    /// The head as it is written, with the header that says so where the connection closes after it.
    pub fn encode_head(&self, closes_connection: bool) -> String {
        let mut text = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.status != 304 {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        if closes_connection {
            text.push_str("Connection: close\r\n");
        }
        text.push_str("\r\n");
        text
    }
}

fn reason_phrase(status: u16) -> &'static str {
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
