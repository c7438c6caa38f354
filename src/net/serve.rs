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
use tokio::time::{sleep, timeout, timeout_at, Instant};

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

/// A client's connection.
struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// A request's head, while its body is awaited.
    head: Option<Head>,
    /// When the request that has begun must have come whole.
    due: Option<Instant>,
}

/// Serves one connection to its end.
async fn serve<F: Front>(stream: TcpStream, shared: &Shared, front: &F) {
    let _ = stream.set_nodelay(true);
    let buffer = BytesMut::with_capacity(2048);
    let (mut connection, mut closing) =
        (Connection { stream, buffer, head: None, due: None }, shared.closing.clone());
    loop {
        let request = tokio::select! {
            request = connection.next_request(front.largest_body()) => request,
            // One that has begun to come is taken, and answered before the program ends.
            _ = closing.wait_for(|c| *c), if connection.idle() => match connection.idle() {
                true => return,
                false => continue,
            },
        };
        let (head, body) = match request {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(bad) => {
                let _ = connection.write(&Response::empty(bad.status()), true).await;
                connection.linger().await;
                return;
            }
        };
        let _counted = Counted::new(&shared.open);
        let response = match front.read(&head, body) {
            Err(response) => response,
            Ok(ask) => tokio::select! {
                answer = shared.core.ask(ask) => front.word(answer),
                // Dropping the pending answer tells the core that the client has gone.
                () = connection.gone() => return,
            },
        };
        let close = head.close || *shared.closing.borrow();
        if connection.write(&response, close).await.is_err() || close {
            return;
        }
    }
}

impl Connection {
    /// Whether nothing of a next request has come.
    fn idle(&self) -> bool {
        self.buffer.is_empty() && self.head.is_none()
    }

    /// Reads the next request; none: the client closed the connection, left it idle or took too long. What
    /// has come so far stays when the future is dropped.
    async fn next_request(&mut self, largest_body: usize) -> Result<Option<(Head, Bytes)>, BadRequest> {
        loop {
            if self.head.is_none() {
                self.head = http::parse_head(&mut self.buffer, largest_body)?;
                if self.head.as_ref().is_some_and(|h| h.expects_continue && self.buffer.len() < h.length) {
                    let leave = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                    if !matches!(timeout(WHOLE_ANSWER, leave).await, Ok(Ok(()))) {
                        return Ok(None);
                    }
                }
            }
            if let Some(head) = self.head.take_if(|h| self.buffer.len() >= h.length) {
                self.due = None;
                let body = self.buffer.split_to(head.length).freeze();
                return Ok(Some((head, body)));
            }
            // Counted from a request's first byte, so that one that trickles in holds no place for ever.
            let due = match self.idle() {
                true => Instant::now() + IDLE,
                false => *self.due.get_or_insert_with(|| Instant::now() + WHOLE_REQUEST),
            };
            match timeout_at(due, self.stream.read_buf(&mut self.buffer)).await {
                Ok(Ok(n)) if n > 0 => {}
                _ => return Ok(None),
            }
        }
    }

    /// Returns once the client has closed or reset the connection.
    async fn gone(&mut self) {
        while self.buffer.len() < READ_AHEAD {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(n) if n > 0 => {}
                _ => return,
            }
        }
        std::future::pending().await
    }

    async fn write(&mut self, response: &Response, close: bool) -> std::io::Result<()> {
        let mut bytes = Bytes::from(response.head(close)).chain(response.body.clone());
        let written = timeout(WHOLE_ANSWER, self.stream.write_all_buf(&mut bytes)).await;
        written.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
    }

    /// Reads on for a moment after an answer that closes, as RFC 9112 (9.6) advises: closing with unread
    /// bytes resets the connection, and the client might never see the answer.
    async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let mut scrap = [0; 4096];
        let drain = async { while matches!(self.stream.read(&mut scrap).await, Ok(n) if n > 0) {} };
        let _ = timeout(Duration::from_millis(500), drain).await;
    }
}
