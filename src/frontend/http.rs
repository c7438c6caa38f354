//! HTTP/1.1 codec (RFC 9112): parses request heads and encodes response heads. A head is the first line and
//! the header lines of a message.

use bytes::{Bytes, BytesMut};

/// Maximum length of a request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header lines in a request.
const MAX_HEADERS: usize = 100;

/// Error of reading a request. The client is sent [`BadRequest::status`], and the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// The request violates the syntax of HTTP/1.1, or a parameter of the frontend is missing or invalid.
    #[error("malformed request")]
    Malformed,
    /// The request was not complete before its deadline.
    #[error("request timeout")]
    Timeout,
    /// The body is larger than the frontend accepts.
    #[error("request body too large")]
    BodyTooLarge,
    /// The head is longer than [`MAX_HEAD_BYTES`] or has too many header lines.
    #[error("request head too large")]
    HeadTooLarge,
    /// The body uses a transfer encoding, such as chunked.
    #[error("transfer encoding not supported, expected Content-Length")]
    NotImplemented,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    #[error("unsupported HTTP version, expected HTTP/1.0 or HTTP/1.1")]
    UnsupportedVersion,
    /// The memory budget has no room for the request.
    #[error("no memory for the request")]
    OutOfMemory,
}

impl BadRequest {
    /// Returns the HTTP status that reports this error to the client.
    pub fn status(self) -> u16 {
        match self {
            BadRequest::Malformed => 400,
            BadRequest::Timeout => 408,
            BadRequest::BodyTooLarge => 413,
            BadRequest::HeadTooLarge => 431,
            BadRequest::NotImplemented => 501,
            BadRequest::OutOfMemory => 503,
            BadRequest::UnsupportedVersion => 505,
        }
    }
}

/// The request line and headers of a request, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, case unchanged. A valid HTTP token.
    pub method: String,
    /// The request target, byte for byte as received.
    pub target: String,
    /// Header names in lower case with their values, in the order received.
    pub headers: Vec<(String, String)>,
    /// Length of the body in bytes. 0 without a `Content-Length` header.
    pub content_length: usize,
    /// Whether the connection closes after the response: on `Connection: close`, and in HTTP/1.0 without
    /// `Connection: keep-alive`.
    pub closes_connection: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Returns the first value of a header. `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }

    /// Returns the value of a header that occurs exactly once, otherwise `None`. `name` is in lower case.
    pub fn single_header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|h| h.0 == name);
        let first = found.next()?;
        found.next().is_none().then_some(first.1.as_str())
    }
}

/// Removes a request head from the front of the buffer and parses it. Returns `None` if it is incomplete.
pub fn parse_head(buffer: &mut BytesMut, max_body_bytes: usize) -> Result<Option<RequestHead>, BadRequest> {
    // RFC 9112 (2.2) asks servers to skip empty lines before a request.
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

/// Parses a header line. Returns the name in lower case and the value without surrounding blanks.
fn parse_header(line: &str) -> Result<(String, String), BadRequest> {
    let (name, value) = line.split_once(':').ok_or(BadRequest::Malformed)?;
    let value = value.trim_matches([' ', '\t']);
    let is_control = |b: u8| b < b' ' && b != b'\t' || b == 0x7f;
    if !is_token(name) || value.bytes().any(is_control) {
        return Err(BadRequest::Malformed);
    }
    Ok((name.to_ascii_lowercase(), value.to_owned()))
}

/// Returns the values of all headers with this name.
fn header_values<'a>(headers: &'a [(String, String)], name: &'a str) -> impl Iterator<Item = &'a str> {
    headers.iter().filter(move |header| header.0 == name).map(|header| header.1.as_str())
}

/// Returns whether any `Connection` header contains an option.
fn has_connection_option(headers: &[(String, String)], option: &str) -> bool {
    let mut options = header_values(headers, "connection").flat_map(|value| value.split(','));
    options.any(|given| given.trim().eq_ignore_ascii_case(option))
}

/// Returns the length of the body in bytes.
fn content_length(headers: &[(String, String)]) -> Result<usize, BadRequest> {
    let lengths: Vec<&str> = header_values(headers, "content-length").collect();
    if header_values(headers, "transfer-encoding").next().is_some() {
        // Supported clients do not send this header. Together with `Content-Length` the end of the body is
        // ambiguous, which allows request smuggling.
        return Err(if lengths.is_empty() { BadRequest::NotImplemented } else { BadRequest::Malformed });
    }
    // With several lengths, or one that cannot be parsed, the start of the next request is unknown.
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

/// A complete HTTP response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Headers except `Content-Length` and `Connection`, which [`Response::encode_head`] adds.
    pub headers: Vec<(&'static str, String)>,
    /// The body, sent unchanged after the head.
    pub body: Bytes,
}

impl Response {
    /// Creates a response without headers and body.
    pub fn empty(status: u16) -> Self {
        Response { status, ..Response::default() }
    }

    /// Appends a header.
    pub fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Encodes the status line and headers. Adds `Connection: close` if `closes_connection` is set.
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
