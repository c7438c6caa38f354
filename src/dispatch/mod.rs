//! The core: the actor that owns the decision module, and the typed messages spoken with it.
//!
//! It knows no wire. A front turns what its clients say into an [`Ask`] and gets exactly one [`Answer`];
//! [`Peers`] opens an actor for each server, which is given [`Order`]s and reports how they ended. The actor
//! never waits for any of them.

mod actor;
pub mod cancellation_log;
mod clock;
pub mod membership;
mod purge_records;
pub mod request;

pub use actor::{start, Running};
pub use clock::Clock;

pub use crate::dispatch::membership::Listing;
pub use crate::dispatch::request::{is_name, Answer, Ask, Cause, Copy};
use crate::policy::types::{Micros, Note, ServerId, Settings};
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
const MAILBOX: usize = 4096;

/// The largest body of a write, in bytes.
pub const LARGEST_WRITE: usize = 48_000;

/// When a client that found the mailbox full should come back.
const WHEN_FULL: Duration = Duration::from_millis(500);

/// Names one attempt: the request's number in the core and the attempt's in the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// The request.
    pub request: u64,
    /// The attempt.
    pub attempt: u32,
}

/// How far an attempt had come when it broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No connection came up.
    NotConnected,
    /// No connection was tried, for this process has no descriptor left for one: no fault of the server.
    NoDescriptor,
    /// Nothing of it was written.
    Unwritten,
    /// A part of it was written; a server runs only what came whole.
    PartlyWritten,
    /// It was written whole and nothing came back.
    Written,
    /// Its answer had begun.
    Answering,
    /// Its request was over before anything of it was written.
    CalledOff,
}

impl Broken {
    /// Whether the attempt surely had no effect.
    pub fn never_ran(self) -> bool {
        !matches!(self, Broken::Written | Broken::Answering)
    }
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Broken::NotConnected => "not connected",
            Broken::NoDescriptor => "no descriptor left",
            Broken::Unwritten => "nothing written",
            Broken::PartlyWritten => "partly written",
            Broken::Written => "written, not answered",
            Broken::Answering => "broke off in the answer",
            Broken::CalledOff => "called off, nothing written",
        })
    }
}

impl std::error::Error for Broken {}

/// A client as its front reaches it.
pub trait Client: std::fmt::Debug + Send + Sync {
    /// Looks whether it has left, be it that the runtime has told nobody of it yet. It must not block.
    fn has_left(&self) -> bool;
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
    fn has_left(&self) -> bool {
        self.0.has_left()
    }
}

/// Whether a request is over: answered, or let go by its client. Whoever carries its attempts looks at this
/// last thing before the first byte: the order that calls an attempt off can find a mailbox full, or cross
/// the attempt on its way from a connection that has ended to another; and while the runtime is held up, a
/// client's end waits unseen.
#[derive(Clone, Debug, Default)]
pub struct Over(Arc<OverState>);

#[derive(Debug, Default)]
struct OverState {
    ended: AtomicBool,
    client: Option<Box<dyn Client>>,
}

impl Over {
    /// The same for a request whose client can be looked at.
    pub fn of(client: impl Client + 'static) -> Self {
        Over(Arc::new(OverState { ended: AtomicBool::new(false), client: Some(Box::new(client)) }))
    }

    /// Whether nothing more is to be sent for it, as far as was told.
    pub fn is(&self) -> bool {
        self.0.ended.load(Ordering::Relaxed)
    }

    /// The same, and the client itself is looked at, where its front reaches it: right before the first byte.
    pub fn look(&self) -> bool {
        if !self.is() && self.0.client.as_ref().is_some_and(|client| client.has_left()) {
            self.end();
        }
        self.is()
    }

    /// It is over from now on.
    pub fn end(&self) {
        self.0.ended.store(true, Ordering::Relaxed);
    }
}

/// A server's verdict on an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Here it is.
    Copy(Copy),
    /// The client's copy is the one.
    Unchanged(Option<Arc<str>>),
    /// Not held; it never ran.
    Miss,
    /// No room; it never ran.
    Full,
    /// An error; it may have run.
    Error,
    /// The request was over already; it never ran.
    Stale,
}

/// A server's answer to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The verdict.
    pub verdict: Verdict,
    /// What it tells of the copy or the fill.
    pub note: Note,
    /// Time spent on waiting for the source.
    pub waited: Micros,
    /// Load report by name, where one came along.
    pub gauges: Vec<(String, f64)>,
}

/// How an attempt ended at its peer.
pub type End = Result<Reply, Broken>;

/// A server's answer to a probe.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    /// Whether it calls itself well.
    pub well: bool,
    /// Load report by name.
    pub gauges: Vec<(String, f64)>,
}

/// An attempt as it is put to a peer.
#[derive(Clone, Debug)]
pub struct Want {
    /// Names it in reports.
    pub ticket: Ticket,
    /// The request's id.
    pub id: Arc<str>,
    /// The class's name.
    pub class: Arc<str>,
    /// The object's name.
    pub object: Arc<str>,
    /// The part.
    pub part: Option<u32>,
    /// When the director stops waiting.
    pub until: Instant,
    /// Not to be sent after this: by then it may no longer be right to.
    pub send_by: Instant,
    /// Not to be sent once this says so; looked at right before the first byte ([`Over::look`]).
    pub over: Over,
    /// The server a miss is filled from; none: no fill.
    pub via: Option<Arc<str>>,
    /// Rank at which the copy is kept.
    pub keep: u8,
    /// The oldest copy that will do, in milliseconds; 0: the class's fresh time.
    pub max_age_ms: u64,
    /// Join a fill that is under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub held_only: bool,
    /// Renew an ageing copy behind.
    pub renew: bool,
    /// The tag of the client's copy.
    pub known: Option<Arc<str>>,
    /// What the server knows a repeat by.
    pub token: Option<Arc<str>>,
    /// What is to be written.
    pub body: Bytes,
}

/// What a peer is told to do.
#[derive(Clone, Debug)]
pub enum Order {
    /// Send an attempt.
    Want(Want),
    /// Give one up; its end is not waited for.
    Forget(Ticket),
    /// Probe the server and report under this number.
    Probe(u64),
}

/// News for the actor.
#[derive(Debug)]
pub enum Message {
    /// A request and where its answer goes.
    Ask(u64, Box<Ask>, oneshot::Sender<Answer>, Over),
    /// The client of this request has gone.
    Left(u64),
    /// The end of an attempt.
    Ended(Ticket, End),
    /// The end of a probe, with its load report.
    Probed(u64, Result<Health, Broken>),
    /// News of the list.
    Members {
        /// Whether this is the whole list.
        full: bool,
        /// The entries.
        members: Vec<Listing>,
    },
    /// An attempt was written whole.
    Written(Ticket),
    /// How far an attempt had come when its peer gave it up, as it was told to.
    Forgotten(Ticket, Broken),
    /// A server drains, whatever its source says of it; or that no longer holds. The reply tells whether it
    /// is listed.
    Drain(Arc<str>, bool, oneshot::Sender<bool>),
    /// Other settings, for requests to come.
    Settings(Box<Settings>),
    /// Asks for the figures.
    Figures(oneshot::Sender<Figures>),
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
        keep: Micros,
    },
}

/// What is counted of one class since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests served, the client's own copy included.
    pub served: u64,
    /// Requests turned away.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests let go by their clients of which nothing ran.
    pub left_unrun: u64,
    /// Requests let go by their clients that may have run.
    pub left_may_have_run: u64,
}

/// What the core tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// By the name of the class.
    pub requests: BTreeMap<Arc<str>, ClassCounts>,
    /// Attempts written whole to servers since the start.
    pub attempts: u64,
    /// Servers in the list.
    pub known: usize,
    /// Those of them to which nothing goes now.
    pub excluded: usize,
    /// What the core holds at this moment.
    pub tables: Tables,
}

/// How many entries the core's tables have. Each is bounded by what is under way, not by what has been.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tables {
    /// Requests that are held or whose attempts have not all ended.
    pub live: usize,
    /// Attempts that are out.
    pub attempts: usize,
    /// Timers that have not rung, those of ended requests among them.
    pub alarms: usize,
    /// Probes that are out.
    pub probes: usize,
    /// Requests let go by their clients whose peers have not told how far they came; each for 1 s at most.
    pub let_go: usize,
    /// Servers known, and those gone that still have attempts out.
    pub servers: usize,
    /// Messages that wait in the mailbox, of 4,096 at most.
    pub mailbox: usize,
    /// Places of classes, retired ones among them.
    pub classes: usize,
}

impl Tables {
    /// Whether none has more entries than in `most`.
    pub fn within(&self, most: &Tables) -> bool {
        let list =
            |t: &Tables| [t.live, t.attempts, t.alarms, t.probes, t.let_go, t.servers, t.mailbox, t.classes];
        list(self).iter().zip(list(most)).all(|(have, most)| *have <= most)
    }
}

/// Opens actors for servers.
pub trait Peers {
    /// Starts the actor for one server and returns its mailbox; it ends once that is dropped.
    fn open(&mut self, server: ServerId, listing: &Listing, reports: Reports) -> mpsc::Sender<Order>;
}

impl Peers for Box<dyn Peers + Send> {
    fn open(&mut self, server: ServerId, listing: &Listing, reports: Reports) -> mpsc::Sender<Order> {
        (**self).open(server, listing, reports)
    }
}

/// Where peers and the list report. A full mailbox makes them wait: the actor waits for nobody, so it
/// empties.
#[derive(Clone, Debug)]
pub struct Reports(mpsc::Sender<Message>);

impl Reports {
    /// Wraps a mailbox, for peers that are tested without the actor.
    pub fn new(mailbox: mpsc::Sender<Message>) -> Self {
        Reports(mailbox)
    }

    /// Hands a message over if there is room for it; whether there was.
    pub fn try_send(&self, message: Message) -> bool {
        self.0.try_send(message).is_ok()
    }

    /// Waits for room for one message, so that nothing can come between a last look and its sending; none:
    /// the actor has ended.
    pub async fn reserve(&self) -> Option<mpsc::Permit<'_, Message>> {
        self.0.reserve().await.ok()
    }

    /// Hands a message over; an actor that has ended wants none.
    pub async fn send(&self, message: Message) {
        let _ = self.0.send(message).await;
    }
}

/// The handle that fronts and middleware hold.
#[derive(Clone, Debug)]
pub struct Core {
    mailbox: mpsc::Sender<Message>,
    next: Arc<AtomicU64>,
    seed: u64,
    settings: watch::Receiver<Arc<Settings>>,
}

impl Core {
    /// The facts that the director goes by at present.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }

    /// The figures; none where the actor has ended.
    pub async fn figures(&self) -> Option<Figures> {
        let (reply, figures) = oneshot::channel();
        self.mailbox.send(Message::Figures(reply)).await.ok()?;
        figures.await.ok()
    }

    /// An id for a request that came without one: 16 hex digits, each time others.
    pub fn fresh_id(&self) -> Arc<str> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", finish(self.seed.wrapping_add(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)))).into()
    }

    /// Hands a request over. Dropping the [`Pending`] tells the core that the client has gone.
    pub fn ask(&self, ask: Ask) -> Pending {
        self.hand_over(ask, Over::default())
    }

    /// The same for a client that can be looked at: it counts as gone as soon as it has left, be it before
    /// the [`Pending`] is dropped.
    pub fn ask_of(&self, ask: Ask, client: impl Client + 'static) -> Pending {
        self.hand_over(ask, Over::of(client))
    }

    fn hand_over(&self, ask: Ask, over: Over) -> Pending {
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        // Full: the request is turned away at once, which is harmless as nothing ran.
        let taken = self.mailbox.try_send(Message::Ask(request, Box::new(ask), reply, over.clone()));
        let cause = match &taken {
            Err(mpsc::error::TrySendError::Closed(_)) => Cause::Ended,
            _ => Cause::Busy,
        };
        let answer = taken.is_ok().then_some(answer);
        Pending { request, answer, over, cause, mailbox: self.mailbox.clone() }
    }

    /// Whether the actor has ended.
    pub fn has_ended(&self) -> bool {
        self.mailbox.is_closed()
    }

    /// Has a server drain, or no longer, whatever its source says; whether it is listed. None where the actor
    /// has ended.
    pub async fn drain(&self, name: &str, on: bool) -> Option<bool> {
        let (reply, listed) = oneshot::channel();
        self.mailbox.send(Message::Drain(name.into(), on, reply)).await.ok()?;
        listed.await.ok()
    }

    /// Where reports go.
    pub fn reports(&self) -> Reports {
        Reports(self.mailbox.clone())
    }
}

/// A request whose answer is awaited.
#[derive(Debug)]
pub struct Pending {
    request: u64,
    answer: Option<oneshot::Receiver<Answer>>,
    over: Over,
    /// Why it was not taken, where it was not.
    cause: Cause,
    mailbox: mpsc::Sender<Message>,
}

impl Future for Pending {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer> {
        let Some(answer) = self.answer.as_mut() else {
            let wait = (self.cause == Cause::Busy).then_some(WHEN_FULL);
            return Poll::Ready(Answer::Refused { wait, cause: self.cause });
        };
        let answer = std::task::ready!(Pin::new(answer).poll(cx));
        self.answer = None;
        // An actor that has ended can't tell what ran.
        Poll::Ready(answer.unwrap_or(Answer::Failed(Cause::Ended)))
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.answer.is_some() {
            self.over.end();
            // Full: the actor learns of it when it would send again, has an answer, or the deadline passes.
            let _ = self.mailbox.try_send(Message::Left(self.request));
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
