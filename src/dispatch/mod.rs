//! The core: the actor that owns the decision module, and the typed messages spoken with it.
//!
//! It knows no wire. A front turns what its clients say into an [`ClientRequest`] and gets exactly one
//! [`ClientResponse`]; [`EndpointConnector`] opens an actor for each server, which is given
//! [`EndpointCommand`]s and reports how they ended. The actor never waits for any of them.

mod actor;
pub mod cancellation_log;
mod clock;
pub mod membership;
mod purge_records;
pub mod request;

pub use actor::{start, RunningDispatcher};
pub use clock::Clock;

pub use crate::dispatch::membership::Endpoint;
pub use crate::dispatch::request::{is_name, ClientRequest, ClientResponse, FailureReason, Representation};
use crate::policy::types::{CacheStatus, Micros, ServerId, Settings};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Messages that wait for the actor; who finds the mailbox full is told at the place of sending.
const MAILBOX_CAPACITY: usize = 4096;

/// The largest body of a write, in bytes.
pub const MAX_WRITE_BYTES: usize = 48_000;

/// When a client that found the mailbox full should come back.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Names one attempt: the request's number in the core and the attempt's in the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: u64,
    /// The attempt.
    pub attempt: u32,
}

/// How far an attempt had come when it broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No connection came up.
    NotConnected,
    /// No connection was tried, for this process has no descriptor left for one: no fault of the server.
    NoDescriptor,
    /// Nothing of it was written.
    NotWritten,
    /// A part of it was written; a server runs only what came whole.
    PartiallyWritten,
    /// It was written whole and nothing came back.
    Unanswered,
    /// Its answer had begun.
    ResponseInterrupted,
    /// Its request was over before anything of it was written.
    Cancelled,
}

impl AttemptError {
    /// Whether the attempt surely had no effect.
    pub fn never_ran(self) -> bool {
        !matches!(self, AttemptError::Unanswered | AttemptError::ResponseInterrupted)
    }
}

impl std::fmt::Display for AttemptError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            AttemptError::NotConnected => "not connected",
            AttemptError::NoDescriptor => "no descriptor left",
            AttemptError::NotWritten => "nothing written",
            AttemptError::PartiallyWritten => "partly written",
            AttemptError::Unanswered => "written, not answered",
            AttemptError::ResponseInterrupted => "broke off in the answer",
            AttemptError::Cancelled => "called off, nothing written",
        })
    }
}

impl std::error::Error for AttemptError {}

/// A client as its front reaches it.
pub trait Client: std::fmt::Debug + Send + Sync {
    /// Looks whether it has left, be it that the runtime has told nobody of it yet. It must not block.
    fn has_disconnected(&self) -> bool;
}

/// A client among what a host's server leaves with a request, for the middleware.
#[derive(Clone, Debug)]
pub struct ClientHandle(Arc<dyn Client>);

impl ClientHandle {
    /// Of this client.
    pub fn new(client: impl Client + 'static) -> Self {
        ClientHandle(Arc::new(client))
    }
}

impl Client for ClientHandle {
    fn has_disconnected(&self) -> bool {
        self.0.has_disconnected()
    }
}

/// Whether a request is over: answered, or let go by its client. Whoever carries its attempts looks at this
/// last thing before the first byte: the order that calls an attempt off can find a mailbox full, or cross
/// the attempt on its way from a connection that has ended to another; and while the runtime is held up, a
/// client's end waits unseen.
#[derive(Clone, Debug, Default)]
pub struct CancellationToken(Arc<CancellationState>);

#[derive(Debug, Default)]
struct CancellationState {
    ended: AtomicBool,
    client: Option<Box<dyn Client>>,
}

impl CancellationToken {
    /// The same for a request whose client can be looked at.
    pub fn for_client(client: impl Client + 'static) -> Self {
        CancellationToken(Arc::new(CancellationState {
            ended: AtomicBool::new(false),
            client: Some(Box::new(client)),
        }))
    }

    /// Whether nothing more is to be sent for it, as far as was told.
    pub fn is_cancelled(&self) -> bool {
        self.0.ended.load(Ordering::Relaxed)
    }

    /// The same, and the client itself is looked at, where its front reaches it: right before the first byte.
    pub fn check_client(&self) -> bool {
        if !self.is_cancelled() && self.0.client.as_ref().is_some_and(|client| client.has_disconnected()) {
            self.cancel();
        }
        self.is_cancelled()
    }

    /// It is over from now on.
    pub fn cancel(&self) {
        self.0.ended.store(true, Ordering::Relaxed);
    }
}

/// A server's verdict on an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// Here it is.
    Ok(Representation),
    /// The client's copy is the one.
    NotModified(Option<Arc<str>>),
    /// Not held; it never ran.
    Miss,
    /// No room; it never ran.
    Rejected,
    /// An error; it may have run.
    Error,
    /// The request was over already; it never ran.
    Expired,
}

/// A server's answer to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamResponse {
    /// The verdict.
    pub status: ResponseStatus,
    /// What it tells of the copy or the fill.
    pub cache_status: CacheStatus,
    /// Time spent on waiting for the source.
    pub source_wait: Micros,
    /// Load report by name, where one came along.
    pub load_report: Vec<(String, f64)>,
}

/// How an attempt ended at its peer.
pub type AttemptResult = Result<UpstreamResponse, AttemptError>;

/// A server's answer to a probe.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthReport {
    /// Whether it calls itself well.
    pub healthy: bool,
    /// Load report by name.
    pub load_report: Vec<(String, f64)>,
}

/// An attempt as it is put to a peer.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Names it in reports.
    pub attempt_id: AttemptId,
    /// The request's id.
    pub id: Arc<str>,
    /// The class's name.
    pub class: Arc<str>,
    /// The object's name.
    pub object: Arc<str>,
    /// The part.
    pub part: Option<u32>,
    /// When the director stops waiting.
    pub deadline: Instant,
    /// Not to be sent after this: by then it may no longer be right to.
    pub send_deadline: Instant,
    /// Not to be sent once this says so; looked at right before the first byte
    /// ([`CancellationToken::check_client`]).
    pub cancellation: CancellationToken,
    /// The server a miss is filled from; none: no fill.
    pub fill_source: Option<Arc<str>>,
    /// Rank at which the copy is kept.
    pub cache_rank: u8,
    /// The oldest copy that will do, in milliseconds; 0: the class's fresh time.
    pub max_age_ms: u64,
    /// Join a fill that is under way.
    pub collapse: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// Renew an ageing copy behind.
    pub revalidate: bool,
    /// The tag of the client's copy.
    pub if_none_match: Option<Arc<str>>,
    /// What the server knows a repeat by.
    pub idempotency_key: Option<Arc<str>>,
    /// What is to be written.
    pub body: Bytes,
}

/// What a peer is told to do.
#[derive(Clone, Debug)]
pub enum EndpointCommand {
    /// Send an attempt.
    Send(UpstreamRequest),
    /// Give one up; its end is not waited for.
    Cancel(AttemptId),
    /// Probe the server and report under this number.
    HealthCheck(u64),
}

/// News for the actor.
#[derive(Debug)]
pub enum DispatcherMessage {
    /// A request and where its answer goes.
    Request(u64, Box<ClientRequest>, oneshot::Sender<ClientResponse>, CancellationToken),
    /// The client of this request has gone.
    ClientCancelled(u64),
    /// The end of an attempt.
    AttemptEnded(AttemptId, AttemptResult),
    /// The end of a probe, with its load report.
    HealthChecked(u64, Result<HealthReport, AttemptError>),
    /// News of the list.
    Members {
        /// Whether this is the whole list.
        full: bool,
        /// The entries.
        members: Vec<Endpoint>,
    },
    /// An attempt was written whole.
    AttemptWritten(AttemptId),
    /// How far an attempt had come when its peer gave it up, as it was told to.
    AttemptCancelled(AttemptId, AttemptError),
    /// A server drains, whatever its source says of it; or that no longer holds. The reply tells whether it
    /// is listed.
    Drain(Arc<str>, bool, oneshot::Sender<bool>),
    /// Other settings, for requests to come.
    Settings(Box<Settings>),
    /// Asks for the figures.
    Metrics(oneshot::Sender<DispatcherMetrics>),
    /// Until told otherwise no copy from before this Unix time (microseconds) is served, of whatever object.
    NotBefore(Option<Micros>),
    /// Copies older than this are not to be served.
    Purged {
        /// One object, or all of the group.
        object: Option<Arc<str>>,
        /// The group.
        group: u32,
        /// Unix time of the purge in microseconds.
        at: Micros,
        /// It holds for so long after that, in microseconds, where directors may hear of it late; 0: for as
        /// long as the settings say that servers need to heed it.
        retention: Micros,
    },
}

/// What is counted of one class since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests served, the client's own copy included.
    pub served: u64,
    /// Requests turned away.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests let go by their clients of which nothing ran.
    pub cancelled_not_run: u64,
    /// Requests let go by their clients that may have run.
    pub cancelled_may_have_run: u64,
}

/// What the core tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatcherMetrics {
    /// By the name of the class.
    pub requests: BTreeMap<Arc<str>, ClassCounts>,
    /// Attempts written whole to servers since the start.
    pub attempts: u64,
    /// Servers in the list.
    pub endpoints_known: usize,
    /// Those of them to which nothing goes now.
    pub endpoints_excluded: usize,
    /// What the core holds at this moment.
    pub tables: TableSizes,
}

/// How many entries the core's tables have. Each is bounded by what is under way, not by what has been.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Requests that are held or whose attempts have not all ended.
    pub pending_requests: usize,
    /// Attempts that are out.
    pub attempts_in_flight: usize,
    /// Timers that have not rung, those of ended requests among them.
    pub timers: usize,
    /// Probes that are out.
    pub health_checks: usize,
    /// Requests let go by their clients whose peers have not told how far they came; each for 1 s at most.
    pub cancelled_requests: usize,
    /// Servers known, and those gone that still have attempts out.
    pub servers: usize,
    /// Messages that wait in the mailbox, of 4,096 at most.
    pub mailbox: usize,
    /// Places of classes, retired ones among them.
    pub classes: usize,
}

impl TableSizes {
    /// Whether none has more entries than in `most`.
    pub fn within(&self, most: &TableSizes) -> bool {
        let list = |t: &TableSizes| {
            [
                t.pending_requests,
                t.attempts_in_flight,
                t.timers,
                t.health_checks,
                t.cancelled_requests,
                t.servers,
                t.mailbox,
                t.classes,
            ]
        };
        list(self).iter().zip(list(most)).all(|(have, most)| *have <= most)
    }
}

/// Opens actors for servers.
pub trait EndpointConnector {
    /// Starts the actor for one server and returns its mailbox; it ends once that is dropped.
    fn connect(
        &mut self,
        server: ServerId,
        listing: &Endpoint,
        reports: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand>;
}

impl EndpointConnector for Box<dyn EndpointConnector + Send> {
    fn connect(
        &mut self,
        server: ServerId,
        listing: &Endpoint,
        reports: DispatcherSender,
    ) -> mpsc::Sender<EndpointCommand> {
        (**self).connect(server, listing, reports)
    }
}

/// Where peers and the list report. A full mailbox makes them wait: the actor waits for nobody, so it
/// empties.
#[derive(Clone, Debug)]
pub struct DispatcherSender(mpsc::Sender<DispatcherMessage>);

impl DispatcherSender {
    /// Wraps a mailbox, for peers that are tested without the actor.
    pub fn new(mailbox: mpsc::Sender<DispatcherMessage>) -> Self {
        DispatcherSender(mailbox)
    }

    /// Hands a message over if there is room for it; whether there was.
    pub fn try_send(&self, message: DispatcherMessage) -> bool {
        self.0.try_send(message).is_ok()
    }

    /// Waits for room for one message, so that nothing can come between a last look and its sending; none:
    /// the actor has ended.
    pub async fn reserve(&self) -> Option<mpsc::Permit<'_, DispatcherMessage>> {
        self.0.reserve().await.ok()
    }

    /// Hands a message over; an actor that has ended wants none.
    pub async fn send(&self, message: DispatcherMessage) {
        let _ = self.0.send(message).await;
    }
}

/// The handle that fronts and middleware hold.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    mailbox: mpsc::Sender<DispatcherMessage>,
    next: Arc<AtomicU64>,
    seed: u64,
    settings: watch::Receiver<Arc<Settings>>,
}

impl Dispatcher {
    /// The facts that the director goes by at present.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }

    /// The figures; none where the actor has ended.
    pub async fn metrics(&self) -> Option<DispatcherMetrics> {
        let (reply, figures) = oneshot::channel();
        self.mailbox.send(DispatcherMessage::Metrics(reply)).await.ok()?;
        figures.await.ok()
    }

    /// An id for a request that came without one: 16 hex digits, each time others.
    pub fn generate_request_id(&self) -> Arc<str> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", finish(self.seed.wrapping_add(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)))).into()
    }

    /// Hands a request over. Dropping the [`PendingResponse`] tells the core that the client has gone.
    pub fn submit(&self, ask: ClientRequest) -> PendingResponse {
        self.hand_over(ask, CancellationToken::default())
    }

    /// The same for a client that can be looked at: it counts as gone as soon as it has left, be it before
    /// the [`PendingResponse`] is dropped.
    pub fn submit_for_client(&self, ask: ClientRequest, client: impl Client + 'static) -> PendingResponse {
        self.hand_over(ask, CancellationToken::for_client(client))
    }

    fn hand_over(&self, ask: ClientRequest, over: CancellationToken) -> PendingResponse {
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        // Full: the request is turned away at once, which is harmless as nothing ran.
        let taken =
            self.mailbox.try_send(DispatcherMessage::Request(request, Box::new(ask), reply, over.clone()));
        let cause = match &taken {
            Err(mpsc::error::TrySendError::Closed(_)) => FailureReason::ShuttingDown,
            _ => FailureReason::Overloaded,
        };
        let answer = taken.is_ok().then_some(answer);
        PendingResponse { request, answer, over, cause, mailbox: self.mailbox.clone() }
    }

    /// Whether the actor has ended.
    pub fn has_ended(&self) -> bool {
        self.mailbox.is_closed()
    }

    /// Has a server drain, or no longer, whatever its source says; whether it is listed. None where the actor
    /// has ended.
    pub async fn drain(&self, name: &str, on: bool) -> Option<bool> {
        let (reply, listed) = oneshot::channel();
        self.mailbox.send(DispatcherMessage::Drain(name.into(), on, reply)).await.ok()?;
        listed.await.ok()
    }

    /// Where reports go.
    pub fn sender(&self) -> DispatcherSender {
        DispatcherSender(self.mailbox.clone())
    }
}

/// A request whose answer is awaited.
#[derive(Debug)]
pub struct PendingResponse {
    request: u64,
    answer: Option<oneshot::Receiver<ClientResponse>>,
    over: CancellationToken,
    /// Why it was not taken, where it was not.
    cause: FailureReason,
    mailbox: mpsc::Sender<DispatcherMessage>,
}

impl Future for PendingResponse {
    type Output = ClientResponse;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<ClientResponse> {
        let Some(answer) = self.answer.as_mut() else {
            let wait = (self.cause == FailureReason::Overloaded).then_some(OVERLOAD_RETRY_AFTER);
            return Poll::Ready(ClientResponse::Rejected { retry_after: wait, reason: self.cause });
        };
        let answer = std::task::ready!(Pin::new(answer).poll(cx));
        self.answer = None;
        // An actor that has ended can't tell what ran.
        Poll::Ready(answer.unwrap_or(ClientResponse::Failed(FailureReason::ShuttingDown)))
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if self.answer.is_some() {
            self.over.cancel();
            // Full: the actor learns of it when it would send again, has an answer, or the deadline passes.
            let _ = self.mailbox.try_send(DispatcherMessage::ClientCancelled(self.request));
        }
    }
}

/// An entity tag without its quotes and weakness.
pub fn bare_tag(tag: &str) -> &str {
    let tag = tag.strip_prefix("W/").unwrap_or(tag);
    tag.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(tag)
}

/// The number by which the module knows an object: its name where that is 16 hex digits, else a hash of it.
pub fn object_number(name: &str) -> u64 {
    let hex = name.len() == 16 && name.bytes().all(|b| b.is_ascii_hexdigit());
    hex.then(|| u64::from_str_radix(name, 16).ok()).flatten().unwrap_or_else(|| hash(name))
}

/// The number in a server's name where it ends in 8 hex digits after a hyphen, else a hash of the name. The
/// hashes of the module then place objects here just as they do for a server of that number elsewhere.
pub fn server_number(name: &str) -> u32 {
    let digits = name.rsplit_once('-').map(|(_, digits)| digits);
    let hex = digits.filter(|d| d.len() == 8 && d.bytes().all(|b| b.is_ascii_hexdigit()));
    hex.and_then(|d| u32::from_str_radix(d, 16).ok()).unwrap_or_else(|| hash(name) as u32)
}

/// FNV-1a with a finishing mix: the same on every machine and in every build.
fn hash(text: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    finish(text.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

/// Mixes all bits of a number with each other; no two numbers give the same.
fn finish(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
