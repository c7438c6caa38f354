//! Client connections, whatever front they belong to: requests read, answers written. It decides nothing.

use super::http::{self, BadRequest, Head, Response};
use crate::core::{Answer, Ask, Core};
use bytes::{Buf, Bytes, BytesMut};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

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
    /// How the log names it.
    const NAME: &'static str;
    /// The answer, or what to ask the core.
    fn read(&self, head: &Head, body: Bytes) -> Result<Ask, Response>;
    /// The largest body of a request.
    fn largest_body(&self) -> usize {
        super::clients::LARGEST_WRITE
    }
    /// The one place where outcomes become statuses.
    fn word(&self, answer: Answer) -> Response;
}

/// What all connections of a front share, and all fronts of a program.
pub struct Shared {
    /// Where requests go.
    pub core: Core,
    /// One for each client connection that may be open at a time, of all fronts together; beyond that
    /// clients wait to be accepted.
    pub places: Arc<Semaphore>,
    /// Told when the program is to end.
    pub closing: watch::Receiver<bool>,
    /// Requests that are taken and not answered.
    pub open: Rc<Cell<usize>>,
}

/// Listens at an address, and serves connections for as long as the task lives.
pub async fn listen<F: Front>(address: &str, shared: Shared, front: F) -> Result<JoinHandle<()>, String> {
    let listener = TcpListener::bind(address).await.map_err(|e| format!("listen on {address}: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("listen on {address}: {e}"))?;
    eprintln!("foxhold: {} on {address}", F::NAME);
    Ok(tokio::task::spawn_local(accept(listener, shared, front)))
}

/// Accepts connections from a listener.
pub async fn accept<F: Front>(listener: TcpListener, shared: Shared, front: F) {
    let (places, shared) = (shared.places.clone(), Rc::new((shared, front)));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::task::spawn_local(async move {
                    serve(stream, &shared.0, &shared.1).await;
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
async fn serve<F: Front>(mut stream: TcpStream, shared: &Shared, front: &F) {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut closing) = (BytesMut::with_capacity(2048), shared.closing.clone());
    loop {
        let request = tokio::select! {
            request = next_request(&mut stream, &mut buffer, front.largest_body()) => request,
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
        let response = match front.read(&head, body) {
            Err(response) => response,
            Ok(ask) => {
                tokio::select! {
                    answer = shared.core.ask(ask) => front.word(answer),
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
