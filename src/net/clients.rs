//! The platform's front: clients that speak the platform's HTTP. It decides nothing.

use super::http::{self, BadRequest, Head, Response};
use crate::core::{Answer, Ask, Cause, Core};
use bytes::{Buf, Bytes, BytesMut};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, timeout};

/// The largest body of a write.
pub const LARGEST_WRITE: usize = 48_000;
/// Bytes read ahead of a request in hand; a client that sends more waits.
const READ_AHEAD: usize = 64 * 1024;
/// A connection without a request is closed after this; clients close theirs after 4 s.
const IDLE: Duration = Duration::from_secs(15);
/// A request that has begun must have come whole by then.
const WHOLE_REQUEST: Duration = Duration::from_secs(10);
/// An answer must be taken by then.
const WHOLE_ANSWER: Duration = Duration::from_secs(10);

/// What a front makes of a request.
pub trait Front: 'static {
    /// The answer, or what to ask the core.
    fn read(&self, head: &Head, body: Bytes) -> Result<Ask, Response>;
    /// The one place where outcomes become statuses.
    fn word(&self, answer: Answer) -> Response;
}

/// The platform's own protocol.
pub struct Platform(
    /// Where requests go.
    pub Core,
);

impl Front for Platform {
    fn read(&self, head: &Head, body: Bytes) -> Result<Ask, Response> {
        if head.target == "/alive" {
            return Err(Response::empty(if head.method == "GET" { 200 } else { 405 }));
        }
        let bad = || Response::empty(400);
        let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
        let (class, object) =
            path.strip_prefix("/ops/").and_then(|p| p.split_once('/')).ok_or_else(|| Response::empty(404))?;
        let class = self.0.class(class).ok_or_else(|| Response::empty(404))?;
        let facts = &self.0.settings().classes[class];
        let method = if facts.write { "PUT" } else { "GET" };
        if head.method != method {
            return Err(Response::empty(405).with("Allow", method.into()));
        }
        if !is_name(object) {
            return Err(bad());
        }
        let part = match query {
            "" => None,
            _ => Some(query.strip_prefix("block=").and_then(|n| n.parse().ok()).ok_or_else(bad)?),
        };
        let id = head.header("x-job-id").filter(|id| is_name(id)).ok_or_else(bad)?;
        let number = |name: &str| match head.header(name) {
            None => Ok(None),
            Some(text) => text.parse::<f64>().ok().filter(|n| *n >= 0.0).map(Some).ok_or_else(bad),
        };
        let allow = number("x-allow-ms")?.map_or(facts.deadline as f64 / 1e3, |ms| ms.min(3_600_000.0));
        let known = head.header("if-none-match").map(bare_tag).filter(|tag| is_name(tag));
        Ok(Ask {
            id: id.into(),
            class,
            object: object.into(),
            part,
            group: number("x-family")?.unwrap_or(0.0) as u32,
            size_kb: number("x-ram-kb")?.unwrap_or(0.0),
            repeat: head.header("x-again").is_some_and(|v| v != "0"),
            allow: Duration::from_secs_f64(allow / 1e3),
            known: known.map(Into::into),
            body,
            valid_until: None,
        })
    }

    fn word(&self, answer: Answer) -> Response {
        let tagged = |response: Response, tag: Option<Arc<str>>| match tag {
            Some(tag) => response.with("ETag", format!("\"{tag}\"")),
            None => response,
        };
        match answer {
            Answer::Served(copy) => tagged(
                Response { body: copy.body, ..Response::empty(200) }
                    .with("Content-Type", "application/octet-stream".into()),
                copy.tag,
            ),
            Answer::Unchanged(tag) => tagged(Response::empty(304), tag),
            Answer::Refused { wait: Some(wait), .. } => {
                Response::empty(503).with("X-Wait-Ms", wait.as_millis().max(1).to_string())
            }
            Answer::Refused { wait: None, .. } => Response::empty(503),
            Answer::Failed(Cause::Deadline) => Response::empty(504),
            Answer::Failed(Cause::Upstream | Cause::Expired) => Response::empty(502),
        }
    }
}

/// Whether a name can be passed on as a word of the line protocol.
pub fn is_name(text: &str) -> bool {
    let good = |b: u8| b.is_ascii_graphic() && b != b',' && b != b'=';
    !text.is_empty() && text.len() <= 256 && text.bytes().all(good)
}

fn bare_tag(tag: &str) -> &str {
    let tag = tag.strip_prefix("W/").unwrap_or(tag);
    tag.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(tag)
}

/// What all connections of a front share.
pub struct Listening<F> {
    /// Where requests go.
    pub core: Core,
    /// Their meaning.
    pub front: F,
    /// Connections at a time; beyond that clients wait to be accepted.
    pub most: usize,
    /// The largest body of a request.
    pub largest_body: usize,
    /// Told when the program is to end.
    pub closing: watch::Receiver<bool>,
    /// Requests that are taken and not answered.
    pub open: Rc<Cell<usize>>,
}

/// Accepts connections for as long as the task lives.
pub async fn listen<F: Front>(listener: TcpListener, shared: Listening<F>) {
    let (places, shared) = (Arc::new(Semaphore::new(shared.most)), Rc::new(shared));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::task::spawn_local(async move {
                    serve(stream, &shared).await;
                    drop(place);
                });
            }
            Err(error) => {
                // Out of descriptors, most likely: others have to end first.
                eprintln!("clients: accept: {error}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Counted(open.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves one connection to its end.
async fn serve<F: Front>(mut stream: TcpStream, shared: &Listening<F>) {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut closing) = (BytesMut::with_capacity(2048), shared.closing.clone());
    loop {
        let request = tokio::select! {
            request = next_request(&mut stream, &mut buffer, shared.largest_body) => request,
            _ = closing.wait_for(|c| *c), if buffer.is_empty() => return,
        };
        let (head, body) = match request {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(bad) => {
                let _ = write(&mut stream, &Response::empty(bad.status()), true).await;
                linger(&mut stream).await;
                return;
            }
        };
        let _counted = Counted::new(&shared.open);
        let response = match shared.front.read(&head, body) {
            Err(response) => response,
            Ok(ask) => {
                tokio::select! {
                    answer = shared.core.ask(ask) => shared.front.word(answer),
                    // Dropping the pending answer tells the core that the client has gone.
                    () = gone(&mut stream, &mut buffer) => return,
                }
            }
        };
        let close = head.close || *shared.closing.borrow();
        if write(&mut stream, &response, close).await.is_err() || close {
            return;
        }
    }
}

/// Reads the next request; none: the client closed the connection or left it idle.
async fn next_request(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    largest_body: usize,
) -> Result<Option<(Head, Bytes)>, BadRequest> {
    let mut head: Option<Head> = None;
    loop {
        if head.is_none() {
            head = http::parse_head(buffer, largest_body)?;
            if head.as_ref().is_some_and(|h| h.expects_continue && buffer.len() < h.length) {
                let leave = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                if !matches!(timeout(WHOLE_ANSWER, leave).await, Ok(Ok(()))) {
                    return Ok(None);
                }
            }
        }
        if let Some(found) = head.take_if(|h| buffer.len() >= h.length) {
            let body = buffer.split_to(found.length).freeze();
            return Ok(Some((found, body)));
        }
        let patience = if buffer.is_empty() && head.is_none() { IDLE } else { WHOLE_REQUEST };
        match timeout(patience, stream.read_buf(buffer)).await {
            Ok(Ok(n)) if n > 0 => {}
            _ => return Ok(None),
        }
    }
}

/// Returns once the client has closed or reset the connection.
async fn gone(stream: &mut TcpStream, buffer: &mut BytesMut) {
    while buffer.len() < READ_AHEAD {
        match stream.read_buf(buffer).await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
    }
    std::future::pending().await
}

async fn write(stream: &mut TcpStream, response: &Response, close: bool) -> std::io::Result<()> {
    let mut bytes = Bytes::from(response.head(close)).chain(response.body.clone());
    timeout(WHOLE_ANSWER, stream.write_all_buf(&mut bytes))
        .await
        .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

/// Reads on for a moment after an answer that closes, as RFC 9112 (9.6) advises: closing with unread bytes
/// resets the connection, and the client might never see the answer.
async fn linger(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let mut scrap = [0; 4096];
    let drain = async { while matches!(stream.read(&mut scrap).await, Ok(n) if n > 0) {} };
    let _ = timeout(Duration::from_millis(500), drain).await;
}
