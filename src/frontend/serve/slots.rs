//! Connection slots: how many client connections may be open, and which one closes to make room.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A new connection is not closed to make room for so long, for its first request is on the way.
pub(super) const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);
/// Rejected connections that may linger at a time.
const MAX_LINGERING: usize = 8;
/// Descriptors held beside the slots: those of lingering connections, and of one that is being rejected.
pub const DESCRIPTORS_BESIDE_SLOTS: usize = MAX_LINGERING + 1;

/// The slots of client connections.
///
/// Beyond the soft limit each new connection has another one close, if one waits for a request: first one
/// that has sent nothing since it was accepted, then the one that has been idle for longest. A connection
/// with a request in flight is never closed for this, and the hard limit is never passed.
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

/// Which request a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Awaited {
    /// Its first one.
    First,
    /// A further one on a connection that is kept alive.
    Next,
}

#[derive(Debug)]
struct Waiting {
    since: Instant,
    close: oneshot::Sender<()>,
}

impl WaitingConnections {
    fn awaiting(&mut self, awaited: Awaited) -> &mut BTreeMap<u64, Waiting> {
        match awaited {
            Awaited::First => &mut self.for_first,
            Awaited::Next => &mut self.for_next,
        }
    }

    /// Takes out the connection that is to make room.
    fn pop(&mut self) -> Option<Waiting> {
        let oldest = self.for_first.first_key_value();
        let is_silent = oldest.is_some_and(|(_, waiting)| waiting.since.elapsed() >= NEW_CONNECTION_GRACE);
        let silent = if is_silent { self.for_first.pop_first() } else { None };
        let chosen = silent.or_else(|| self.for_next.pop_first()).or_else(|| self.for_first.pop_first());
        chosen.map(|(_, waiting)| waiting)
    }
}

impl ConnectionSlots {
    /// Keeps to about `soft_limit` connections, and never passes `hard_limit`.
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

    /// A slot for a new connection; none at the hard limit.
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

    /// A permit for a rejected connection to linger; there are few, for each one holds a descriptor.
    pub(super) fn acquire_linger(self: &Rc<Self>) -> Option<LingerPermit> {
        let lingering = self.lingering.get();
        if lingering >= MAX_LINGERING {
            return None;
        }
        self.lingering.set(lingering + 1);
        Some(LingerPermit(self.clone()))
    }

    /// The number of connections that wait for a request.
    pub fn waiting_connections(&self) -> usize {
        let waiting = self.waiting.borrow();
        waiting.for_first.len() + waiting.for_next.len()
    }

    /// Has one connection close that waits for a request.
    pub fn close_one_waiting(&self) {
        if let Some(waiting) = self.waiting.borrow_mut().pop() {
            let _ = waiting.close.send(()); // a connection that is ending already makes room by itself
        }
    }
}

/// The slot of an open connection, free again when this is dropped.
#[derive(Debug)]
pub(super) struct ConnectionSlot(Rc<ConnectionSlots>);

impl ConnectionSlot {
    /// Lists the connection among those that wait for a request, until the guard is dropped. The receiver is
    /// notified when the connection is to close.
    pub(super) fn wait(&self, awaited: Awaited) -> (WaitingGuard<'_>, oneshot::Receiver<()>) {
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

/// A connection's entry among those that wait for a request, removed when this is dropped.
pub(super) struct WaitingGuard<'a> {
    slot: &'a ConnectionSlot,
    awaited: Awaited,
    id: u64,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.slot.0.waiting.borrow_mut().awaiting(self.awaited).remove(&self.id);
    }
}

/// The permit of a rejected connection to linger, free again when this is dropped.
pub(super) struct LingerPermit(Rc<ConnectionSlots>);

impl Drop for LingerPermit {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
    }
}
