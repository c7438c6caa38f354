//! Client connections, whatever front they belong to: requests read, answers written. It decides nothing.

use super::http::{self, BadRequest, RequestHead, Response};
use super::stream::ClientStream;
use crate::dispatch::{ClientRequest, ClientResponse, Dispatcher, FailureReason};
use crate::upstream::peek_available;
use bytes::{Buf, Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Bytes kept that came ahead of a request's answer. What comes beyond is read and thrown away, for the
/// client's end lies behind it, and the connection ends with the answer.
const READ_AHEAD: usize = 64 * 1024;
/// A client that sends this much while it is owed an answer counts as gone: one that keeps to the protocol
/// sends nothing then, and reading on for ever would hold up the others.
const MOST_THROWN_AWAY: usize = 16 << 20;
/// A connection without a request is closed after this; clients close theirs after 4 s.
const IDLE: Duration = Duration::from_secs(6);
/// A request must have come whole by then, counted from its first byte, or from the start of a connection
/// that has not asked yet: who says nothing, or never comes to an end, is owed a close within 3 s.
const WHOLE_REQUEST: Duration = Duration::from_secs(2);
/// A new connection is left alone for so long, for its first request is on the way.
const NEW: Duration = Duration::from_millis(100);
/// A connection that was refused is closed by its client within this, or by us after it; so many at a time.
const LINGER: Duration = Duration::from_secs(1);
const LINGERING: usize = 8;
/// Descriptors beside the places of connections: those that were refused, and one that is turned away.
pub const DESCRIPTORS_BESIDE_PLACES: usize = LINGERING + 1;
/// Where an accept fails, the next is tried after this.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// and it is said no more often than this.
const SAID_AGAIN: Duration = Duration::from_secs(1);
/// An answer must be taken by then.
const WHOLE_ANSWER: Duration = Duration::from_secs(10);

/// What a front makes of a request.
pub trait Frontend: 'static {
    /// How the log names it.
    const NAME: &'static str;
    /// The answer, or what to ask the core.
    fn parse_request(&self, head: &RequestHead, body: Bytes) -> Result<ClientRequest, Response>;
    /// The largest body of a request.
    fn max_body_bytes(&self) -> usize {
        crate::dispatch::MAX_WRITE_BYTES
    }
    /// The one place where outcomes become statuses.
    fn to_response(&self, answer: ClientResponse) -> Response;
}

/// How far the end of the program has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Not begun.
    #[default]
    Running,
    /// Each connection ends with its next answer.
    CloseAfterResponse,
    /// Those without a request in hand end now.
    CloseIdle,
}

/// What all connections of a front share, and all fronts of a program.
pub struct ListenerContext {
    /// Where requests go.
    pub dispatcher: Dispatcher,
    /// The client connections that may be open at a time, of all fronts together.
    pub slots: Rc<ConnectionSlots>,
    /// Told when the program is to end.
    pub shutdown: watch::Receiver<ShutdownPhase>,
    /// Requests that are taken and not answered.
    pub requests_in_flight: Rc<Cell<usize>>,
}

/// Listens at an address, and serves connections for as long as the task lives.
pub async fn listen<F: Frontend>(
    address: &str,
    shared: ListenerContext,
    front: F,
) -> Result<JoinHandle<()>, String> {
    let listener = TcpListener::bind(address).await.map_err(|e| format!("listen on {address}: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("listen on {address}: {e}"))?;
    tracing::info!("{} on {address}", F::NAME);
    Ok(tokio::task::spawn_local(accept(listener, shared, front)))
}

/// The same on a socket that was opened by whoever started the program.
pub fn adopt<F: Frontend>(
    listener: std::net::TcpListener,
    shared: ListenerContext,
    front: F,
) -> Result<JoinHandle<()>, String> {
    let error = |e| format!("inherited socket: {e}");
    listener.set_nonblocking(true).map_err(error)?;
    let address = listener.local_addr().map_err(error)?;
    let listener = TcpListener::from_std(listener).map_err(error)?;
    tracing::info!("{} on {address}, inherited", F::NAME);
    Ok(tokio::task::spawn_local(accept(listener, shared, front)))
}

/// Accepts connections from a listener. It waits for no place: where connections come and say nothing, others
/// would wait behind them.
/// At the end it takes what had come by then, for clients may have written whole requests there already.
pub async fn accept<F: Frontend>(listener: TcpListener, shared: ListenerContext, front: F) {
    let (places, mut closing) = (shared.slots.clone(), shared.shutdown.clone());
    let shared = Rc::new((shared, front));
    let mut said: Option<Instant> = None;
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|c| *c == ShutdownPhase::CloseIdle) => break,
        };
        match accepted {
            Ok((stream, _)) => begin(stream, &places, &shared),
            Err(error) => {
                // Out of descriptors, most likely: who waits for no answer makes room.
                if said.is_none_or(|said| said.elapsed() >= SAID_AGAIN) {
                    tracing::warn!("clients: accept: {error}");
                    said = Some(Instant::now());
                }
                places.close_one_waiting();
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
    // The runtime may not have been told of these yet, so the socket itself is asked.
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream {
            begin(stream, &places, &shared);
        }
    }
}

/// Serves a connection in a task of its own, or refuses it where there is no place.
fn begin<F: Frontend>(stream: TcpStream, places: &Rc<ConnectionSlots>, shared: &Rc<(ListenerContext, F)>) {
    let shared = shared.clone();
    let Some(place) = places.acquire() else {
        let (wait, cause) = (Some(Duration::from_millis(500)), FailureReason::Overloaded);
        let refusal = shared.1.to_response(ClientResponse::Rejected { retry_after: wait, reason: cause });
        match places.linger() {
            Some(place) => {
                tokio::task::spawn_local(refuse(stream, place, refusal, shared.0.requests_in_flight.clone()));
            }
            None => turn_away(stream, &refusal),
        }
        return;
    };
    tokio::task::spawn_local(async move {
        serve(stream, &place, &shared.0, &shared.1).await;
    });
}

/// Refuses the first request of a connection for which there is no place, if one comes soon: a close before
/// it has come, or over bytes that are not read, resets the connection, and the refusal with it.
async fn refuse(mut stream: TcpStream, _place: Lingering, response: Response, open: Rc<Cell<usize>>) {
    let mut bytes = [0; 4096];
    if matches!(timeout(NEW, stream.read(&mut bytes)).await, Ok(Ok(n)) if n > 0) {
        let _counted = Counted::new(&open); // the program does not end under it
        if stream.write_all(response.encode_head(true).as_bytes()).await.is_err()
            || stream.shutdown().await.is_err()
        {
            return;
        }
        let _ =
            timeout(LINGER, async { while matches!(stream.read(&mut bytes).await, Ok(n) if n > 0) {} }).await;
    }
}

/// Refuses a connection for which there is no place, without waiting for anything.
fn turn_away(stream: TcpStream, response: &Response) {
    let Ok(mut stream) = stream.into_std() else { return };
    // Closing with unread bytes would reset the connection before the answer is read.
    let _ = stream.read(&mut [0; 4096]);
    let _ = stream.write(response.encode_head(true).as_bytes());
}

/// The places of client connections. Beyond the usual number each that comes has another make room, if one
/// waits for a request: first one that has been silent since it came, then the one that has been idle for
/// longest. One with a request in hand never makes room, and there is a most that is never passed.
#[derive(Debug)]
pub struct ConnectionSlots {
    soft_limit: usize,
    hard_limit: usize,
    open: Cell<usize>,
    lingering: Cell<usize>,
    /// Those that wait for a request, in the order in which they began to, by whether they ever had one.
    waiting: RefCell<[BTreeMap<u64, Waiting>; 2]>,
    next: Cell<u64>,
}

#[derive(Debug)]
struct Waiting {
    since: Instant,
    leave: oneshot::Sender<()>,
}

/// A connection's place, given back when it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot(Rc<ConnectionSlots>);

/// A stay among those that wait.
struct Stay<'a> {
    place: &'a ConnectionSlot,
    asked: bool,
    number: u64,
}

impl ConnectionSlots {
    /// Keeps to about so many connections, and never passes the most.
    pub fn new(usual: usize, most: usize) -> Rc<Self> {
        let (open, lingering, next) = (Cell::new(0), Cell::new(0), Cell::new(0));
        Rc::new(ConnectionSlots {
            soft_limit: usual,
            hard_limit: most,
            open,
            lingering,
            waiting: RefCell::default(),
            next,
        })
    }

    fn acquire(self: &Rc<Self>) -> Option<ConnectionSlot> {
        if self.open.get() >= self.soft_limit {
            self.close_one_waiting();
        }
        if self.open.get() >= self.hard_limit {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionSlot(self.clone()))
    }

    /// A stay of a connection that is refused, beside the places: they are few, for each is a descriptor.
    fn linger(self: &Rc<Self>) -> Option<Lingering> {
        let lingering = self.lingering.get();
        (lingering < LINGERING).then(|| {
            self.lingering.set(lingering + 1);
            Lingering(self.clone())
        })
    }

    /// Connections that wait for a request.
    pub fn waiting_connections(&self) -> usize {
        self.waiting.borrow().iter().map(BTreeMap::len).sum()
    }

    /// Has one that waits for a request end.
    pub fn close_one_waiting(&self) {
        let [new, idle] = &mut *self.waiting.borrow_mut();
        let silent = new.first_key_value().is_some_and(|(_, w)| w.since.elapsed() >= NEW);
        let first = if silent { new.pop_first() } else { None };
        if let Some((_, waiting)) = first.or_else(|| idle.pop_first()).or_else(|| new.pop_first()) {
            let _ = waiting.leave.send(()); // one that is ending makes room by itself
        }
    }
}

struct Lingering(Rc<ConnectionSlots>);

impl Drop for Lingering {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl ConnectionSlot {
    /// Lists the connection among those that wait for a request, until the stay is dropped; the receiver is
    /// told when it is to make room.
    fn wait(&self, asked: bool) -> (Stay<'_>, oneshot::Receiver<()>) {
        let (leave, told) = oneshot::channel();
        let number = self.0.next.replace(self.0.next.get() + 1);
        let waiting = Waiting { since: Instant::now(), leave };
        self.0.waiting.borrow_mut()[usize::from(asked)].insert(number, waiting);
        (Stay { place: self, asked, number }, told)
    }
}

impl Drop for Stay<'_> {
    fn drop(&mut self) {
        self.place.0.waiting.borrow_mut()[usize::from(self.asked)].remove(&self.number);
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
    stream: ClientStream,
    buffer: BytesMut,
    /// A request's head, while its body is awaited.
    head: Option<RequestHead>,
    /// When the request that has begun must have come whole.
    due: Option<Instant>,
    /// Bytes that were read and not kept: what follows can't be told apart any more.
    thrown_away: usize,
}

/// Serves one connection to its end.
async fn serve<F: Frontend>(stream: TcpStream, place: &ConnectionSlot, shared: &ListenerContext, front: &F) {
    let _ = stream.set_nodelay(true);
    let (mut connection, mut closing) = (Connection::new(stream), shared.shutdown.clone());
    // Counted while a request is in hand, and at the end of the program from its first byte on.
    let (mut asked, mut counted) = (false, None);
    loop {
        let (stay, told) = place.wait(asked);
        let request = tokio::select! {
            request = connection.next_request(front.max_body_bytes()) => request,
            // One that has begun to come is taken, and answered before the program ends. So is the first of a
            // new connection, which is on the way.
            _ = closing.wait_for(|c| *c == ShutdownPhase::CloseIdle), if counted.is_none() => {
                if !connection.has_come() {
                    if asked {
                        return;
                    }
                    connection.due = Some(Instant::now() + NEW);
                }
                counted = Some(Counted::new(&shared.requests_in_flight));
                continue;
            }
            // Where a request crosses this, it is taken all the same; of a new connection if it is whole.
            Ok(()) = told => {
                if !connection.has_come() {
                    return;
                }
                if !asked {
                    connection.due = Some(Instant::now());
                }
                continue;
            }
        };
        drop(stay);
        asked = true;
        let (head, body) = match request {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(bad) => {
                let _ = connection.write(&Response::empty(bad.status()), true).await;
                connection.linger().await;
                return;
            }
        };
        let _counted = counted.take().unwrap_or_else(|| Counted::new(&shared.requests_in_flight));
        let response = match front.parse_request(&head, body) {
            Err(response) => response,
            Ok(ask) => tokio::select! {
                answer = shared.dispatcher.submit_for_client(ask, connection.stream.client()) => {
                    front.to_response(answer)
                }
                // Dropping the pending answer tells the core that the client has gone.
                () = connection.gone() => return,
            },
        };
        let overrun = connection.thrown_away > 0;
        let close = head.closes_connection || overrun || *shared.shutdown.borrow() != ShutdownPhase::Running;
        if connection.write(&response, close).await.is_err() {
            return;
        }
        if overrun {
            connection.linger().await;
        }
        if close {
            return;
        }
    }
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        let buffer = BytesMut::with_capacity(2048);
        let due = Some(Instant::now() + WHOLE_REQUEST);
        Connection { stream: ClientStream::new(stream), buffer, head: None, due, thrown_away: 0 }
    }

    /// Whether nothing of a next request has come.
    fn idle(&self) -> bool {
        self.buffer.is_empty() && self.head.is_none()
    }

    /// Whether anything of a next request has come, be it unread and untold of yet.
    fn has_come(&self) -> bool {
        !self.idle() || matches!(peek_available(self.stream.socket()), Ok(n) if n > 0)
    }

    /// Reads the next request; none: the client closed the connection, left it idle or took too long. What
    /// has come so far stays when the future is dropped.
    async fn next_request(
        &mut self,
        largest_body: usize,
    ) -> Result<Option<(RequestHead, Bytes)>, BadRequest> {
        loop {
            if self.head.is_none() {
                self.head = http::parse_head(&mut self.buffer, largest_body)?;
                if self
                    .head
                    .as_ref()
                    .is_some_and(|h| h.expects_continue && self.buffer.len() < h.content_length)
                {
                    let leave = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                    if !matches!(timeout(WHOLE_ANSWER, leave).await, Ok(Ok(()))) {
                        return Ok(None);
                    }
                }
            }
            if let Some(head) = self.head.take_if(|h| self.buffer.len() >= h.content_length) {
                self.due = None;
                let body = self.buffer.split_to(head.content_length).freeze();
                return Ok(Some((head, body)));
            }
            // Counted from a request's first byte, so that one that trickles in holds no place for ever.
            let due = match (self.idle(), self.due) {
                (true, None) => Instant::now() + IDLE,
                _ => *self.due.get_or_insert_with(|| Instant::now() + WHOLE_REQUEST),
            };
            match timeout_at(due, self.stream.read_buf(&mut self.buffer)).await {
                Ok(Ok(n)) if n > 0 => {}
                Err(_) if !self.idle() => return Err(BadRequest::Timeout),
                _ => return Ok(None),
            }
        }
    }

    /// Returns once the client has closed or reset the connection, or sent far more than it has any reason
    /// to.
    async fn gone(&mut self) {
        while matches!(self.stream.read_buf(&mut self.buffer).await, Ok(n) if n > 0) {
            if self.buffer.len() > READ_AHEAD || self.thrown_away > 0 {
                self.thrown_away += self.buffer.len();
                self.buffer.clear();
            }
            if self.thrown_away > MOST_THROWN_AWAY {
                return;
            }
        }
    }

    async fn write(&mut self, response: &Response, close: bool) -> std::io::Result<()> {
        let mut bytes = Bytes::from(response.encode_head(close)).chain(response.body.clone());
        let written = timeout(WHOLE_ANSWER, self.stream.write_all_buf(&mut bytes)).await;
        written.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
    }

    /// Reads on for a moment after an answer that closes, as RFC 9112 (9.6) advises: closing with unread
    /// bytes resets the connection, and the client might never see the answer.
    async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let mut scrap = [0; 4096];
        // Bounded, for what follows a refusal may be many MB.
        let drain = async {
            for _ in 0..64 {
                if !matches!(self.stream.read(&mut scrap).await, Ok(n) if n > 0) {
                    return;
                }
            }
        };
        let _ = timeout(Duration::from_millis(500), drain).await;
    }
}
