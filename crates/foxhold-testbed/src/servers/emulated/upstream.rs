//! Connections to other servers, over which fills are requested.

use super::protocol::{ServerReply, ServerRequest};
use std::collections::HashMap;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

/// Time limit for connecting to another server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Capacity of the queue of replies to match with their requests.
const REPLY_QUEUE: usize = 64;

/// A request to another server.
pub(super) struct UpstreamCall {
    /// The request to pass on.
    pub(super) request: ServerRequest,
    /// The name of the requesting server.
    pub(super) caller: String,
    /// Receives the reply; dropped if there is none.
    pub(super) done: oneshot::Sender<ServerReply>,
}

/// Sends calls over one connection to another server. Returns when the connection closes, which fails all
/// calls on it.
pub(super) async fn connect(address: String, mut calls: mpsc::UnboundedReceiver<UpstreamCall>) {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address));
    let Ok(Ok(stream)) = connect.await else { return };
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let (lines, mut replies) = mpsc::channel(REPLY_QUEUE);
    let mut reader = JoinSet::new();
    reader.spawn_local(read_replies(BufReader::new(read), lines));
    let (mut waiting, mut next) = (HashMap::new(), 0u64);
    loop {
        tokio::select! {
            call = calls.recv() => {
                let Some(call) = call else { return };
                next += 1;
                let line = encode_request(next, &call);
                waiting.insert(next, call.done);
                if write.write_all(line.as_bytes()).await.is_err() {
                    return;
                }
            }
            line = replies.recv() => {
                let Some(line) = line else { return };
                let Some((number, reply)) = parse_reply(&line) else { continue };
                if let Some(done) = waiting.remove(&number) {
                    let _ = done.send(reply); // the caller may have timed out
                }
            }
        }
    }
}

/// Passes on the head line of each reply and skips its body.
async fn read_replies(mut read: BufReader<OwnedReadHalf>, lines: mpsc::Sender<String>) {
    let mut line = String::new();
    loop {
        line.clear();
        if !matches!(read.read_line(&mut line).await, Ok(n) if n > 0) {
            return;
        }
        let length = line.split_whitespace().last().and_then(|w| w.parse().ok()).unwrap_or(0usize);
        if read.read_exact(&mut vec![0; length + 2]).await.is_err() || lines.send(line.clone()).await.is_err()
        {
            return;
        }
    }
}

fn encode_request(number: u64, call: &UpstreamCall) -> String {
    let ServerRequest { id, kind, object, part, max_age_ms, opts, .. } = &call.request;
    let opts = if opts.is_empty() { String::new() } else { format!(",opts={opts}") };
    let caller = &call.caller;
    format!(
        "want {number} kind={kind},obj={object},seg={part},fresh={max_age_ms},by={caller},for={id}{opts} 0\r\n\r\n"
    )
}

/// Returns the number of the request that a reply belongs to, and the reply. Returns `None` for a malformed
/// line.
fn parse_reply(line: &str) -> Option<(u64, ServerReply)> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let [number, word, fields, _] = words[..] else { return None };
    let field =
        |name: &str| fields.split(',').filter_map(|f| f.split_once('=')).find(|f| f.0 == name).map(|f| f.1);
    let note = match field("res") {
        Some("fetched_root") => "fetched_root",
        Some("root_failed") => "root_failed",
        _ => "-",
    };
    let reply = match word {
        "ACK" => {
            let minted = field("minted").and_then(|m| m.parse().ok()).unwrap_or(0);
            ServerReply::Copy { minted, note, lag: Duration::ZERO }
        }
        "NOENT" => ServerReply::Other("NOENT", note),
        "AGAIN" => ServerReply::Other("AGAIN", note),
        _ => ServerReply::Other("EIO", note),
    };
    Some((number.parse().ok()?, reply))
}
