//! The client side of HTTP/1.1: the bytes of a request, and one exchange on a connection.

use crate::scenarios::scenario::RequestClass;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request and reads the status and body of the response. Returns `None` if the connection ends
/// before the end of the response, or if the response is malformed.
pub(super) async fn exchange(stream: &mut TcpStream, head: &str) -> Option<(u16, Vec<u8>)> {
    stream.write_all(head.as_bytes()).await.ok()?;
    let (mut bytes, mut chunk) = (Vec::with_capacity(512), [0; 2048]);
    loop {
        let count = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let text = std::str::from_utf8(&bytes[..end]).ok()?;
        let header = |name: &str| {
            let mut pairs = text.lines().filter_map(|l| l.split_once(':'));
            pairs.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
        };
        let length: usize = header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        if bytes.len() >= end + 4 + length {
            let status = text.get(9..12)?.parse().ok()?;
            return Some((status, bytes[end + 4..end + 4 + length].to_vec()));
        }
    }
}

/// Encodes a request to the platform's frontend, with its body.
pub(super) fn request_head(number: u64, class: &RequestClass, object: &str, kb: f64) -> String {
    let (method, body) = if class.write { ("PUT", "a filing") } else { ("GET", "") };
    let (name, deadline_ms, length) = (&class.name, class.deadline_ms, body.len());
    let group = crate::servers::model::group(object);
    format!(
        "{method} /ops/{name}/{object}?block=0 HTTP/1.1\r\nHost: lab\r\nX-Job-Id: {number:016x}\r\n\
         X-Allow-Ms: {deadline_ms}\r\nX-Family: {group}\r\nX-Ram-Kb: {kb:.1}\r\nContent-Length: {length}\r\n\r\n\
         {body}"
    )
}
