//! Connection slots: limits the number of open client connections and selects which one closes when there are
//! too many.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time after the accept during which a new connection is closed only if no other one can be: its first
/// request is expected to arrive.
pub(super) const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);
/// Maximum number of rejected connections that linger. A lingering connection stays open so
/// that the client can send its request and read the response.
const MAX_LINGERING: usize = 8;
/// Maximum number of file descriptors held in addition to the slots: those of lingering connections, and one
/// for a connection that is being rejected.
pub const DESCRIPTORS_BESIDE_SLOTS: usize = MAX_LINGERING + 1;

/// The slots of client connections.
///
/// From the soft limit on, each new connection closes an open one that waits for a request, in this order:
///
/// 1. the oldest one that waits for its first request, if the grace period of new connections has passed
/// 2. the one that has been idle for longest after a response
/// 3. the oldest one that waits for its first request
///
/// A connection with a request in flight is never closed for this. At the hard limit new connections are
/// rejected.
#[derive(Debug)]
pub struct ConnectionSlots {
    soft_limit: usize,
    hard_limit: usize,
    open: Cell<usize>,
    lingering: Cell<usize>,
    waiting: RefCell<WaitingConnections>,
    next_id: Cell<u64>,
}

/// Connections that wait for a request, in the order in which they began to wait.
#[derive(Debug, Default)]
struct WaitingConnections {
    for_first: BTreeMap<u64, Waiting>,
    for_next: BTreeMap<u64, Waiting>,
}

/// The request that a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AwaitedRequest {
    /// The first request of a new connection.
    First,
    /// The next request on a persistent connection.
    Next,
}

#[derive(Debug)]
struct Waiting {
    since: Instant,
    close: oneshot::Sender<()>,
}

impl WaitingConnections {
    fn awaiting(&mut self, awaited: AwaitedRequest) -> &mut BTreeMap<u64, Waiting> {
        match awaited {
            AwaitedRequest::First => &mut self.for_first,
            AwaitedRequest::Next => &mut self.for_next,
        }
    }

    /// Removes and returns the connection that closes next, in the order described at [`ConnectionSlots`].
    fn pop(&mut self) -> Option<Waiting> {
        let oldest = self.for_first.first_key_value();
        let is_past_grace =
            oldest.is_some_and(|(_, waiting)| waiting.since.elapsed() >= NEW_CONNECTION_GRACE);
        let past_grace = if is_past_grace { self.for_first.pop_first() } else { None };
        let chosen = past_grace.or_else(|| self.for_next.pop_first()).or_else(|| self.for_first.pop_first());
        chosen.map(|(_, waiting)| waiting)
    }
}

impl ConnectionSlots {
    /// Creates slots for `hard_limit` connections. From `soft_limit` on, new connections close waiting ones.
    pub fn new(soft_limit: usize, hard_limit: usize) -> Rc<Self> {
        Rc::new(ConnectionSlots {
            soft_limit,
            hard_limit,
            open: Cell::new(0),
            lingering: Cell::new(0),
            waiting: RefCell::default(),
            next_id: Cell::new(0),
        })
    }

    /// Acquires a slot for a new connection. Returns `None` at the hard limit.
    pub(super) fn acquire(self: &Rc<Self>) -> Option<ConnectionSlot> {
        if self.open.get() >= self.soft_limit {
            self.close_one_waiting();
        }
        if self.open.get() >= self.hard_limit {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionSlot(self.clone()))
    }

    /// Acquires a permit for a rejected connection to linger. Returns `None` if all are in use. Their number
    /// is small because each one holds a file descriptor.
    pub(super) fn acquire_linger(self: &Rc<Self>) -> Option<LingerPermit> {
        let lingering = self.lingering.get();
        if lingering >= MAX_LINGERING {
            return None;
        }
        self.lingering.set(lingering + 1);
        Some(LingerPermit(self.clone()))
    }

    /// Returns the number of connections that wait for a request.
    pub fn waiting_connections(&self) -> usize {
        let waiting = self.waiting.borrow();
        waiting.for_first.len() + waiting.for_next.len()
    }

    /// Closes one connection that waits for a request, if there is one.
    pub fn close_one_waiting(&self) {
        if let Some(waiting) = self.waiting.borrow_mut().pop() {
            let _ = waiting.close.send(()); // fails if the connection is already closing
        }
    }
}

/// The slot of an open connection, released on drop.
#[derive(Debug)]
pub(super) struct ConnectionSlot(Rc<ConnectionSlots>);

impl ConnectionSlot {
    /// Registers the connection as waiting for a request until the guard is dropped. The receiver is notified
    /// when the connection must close.
    pub(super) fn wait(&self, awaited: AwaitedRequest) -> (WaitingGuard<'_>, oneshot::Receiver<()>) {
        let (close, closed) = oneshot::channel();
        let id = self.0.next_id.replace(self.0.next_id.get() + 1);
        let waiting = Waiting { since: Instant::now(), close };
        self.0.waiting.borrow_mut().awaiting(awaited).insert(id, waiting);
        (WaitingGuard { slot: self, awaited, id }, closed)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Registration of a connection that waits for a request, removed on drop.
pub(super) struct WaitingGuard<'a> {
    slot: &'a ConnectionSlot,
    awaited: AwaitedRequest,
    id: u64,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.slot.0.waiting.borrow_mut().awaiting(self.awaited).remove(&self.id);
    }
}

/// The permit of a rejected connection to linger, released on drop.
pub(super) struct LingerPermit(Rc<ConnectionSlots>);

impl Drop for LingerPermit {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
    }
}
