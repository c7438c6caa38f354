//! Cancellation of requests: the token shared by a request's attempts, and the client that it can check for a
//! disconnect.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A client whose connection can be checked by the frontend that serves it.
pub trait Client: std::fmt::Debug + Send + Sync {
    /// Returns whether the client has disconnected, even if the runtime has not yet notified any task of it.
    /// Must not block.
    fn has_disconnected(&self) -> bool;
}

/// A client that the server of a host application stores in a request's extensions, for use by the
/// middleware.
#[derive(Clone, Debug)]
pub struct ClientHandle(Arc<dyn Client>);

impl ClientHandle {
    /// Wraps a client.
    pub fn new(client: impl Client + 'static) -> Self {
        ClientHandle(Arc::new(client))
    }
}

impl Client for ClientHandle {
    fn has_disconnected(&self) -> bool {
        self.0.has_disconnected()
    }
}

/// A token that shows whether a request has ended, because it was answered or because its client cancelled
/// it. Code that sends attempts checks it right before the first byte, because the command that cancels an
/// attempt may find a full mailbox, or miss the attempt while that moves from a closed connection to another.
/// In addition, a client's disconnect goes unnoticed while the runtime is stalled.
#[derive(Clone, Debug, Default)]
pub struct CancellationToken(Arc<CancellationState>);

#[derive(Debug, Default)]
struct CancellationState {
    cancelled: AtomicBool,
    client: Option<Box<dyn Client>>,
}

impl CancellationToken {
    /// Creates a token for a request whose client can be checked for a disconnect.
    pub fn for_client(client: impl Client + 'static) -> Self {
        CancellationToken(Arc::new(CancellationState {
            cancelled: AtomicBool::new(false),
            client: Some(Box::new(client)),
        }))
    }

    /// Returns whether nothing more is to be sent for the request, according to the notifications received so
    /// far.
    pub fn is_cancelled(&self) -> bool {
        self.0.cancelled.load(Ordering::Relaxed)
    }

    /// Checks the client itself for a disconnect, if its frontend gives access to it, and then returns the
    /// same as [`is_cancelled`](Self::is_cancelled). Called right before the first byte is sent.
    pub fn check_client(&self) -> bool {
        if !self.is_cancelled() && self.0.client.as_ref().is_some_and(|client| client.has_disconnected()) {
            self.cancel();
        }
        self.is_cancelled()
    }

    /// Ensures that nothing more is sent for the request from now on.
    pub fn cancel(&self) {
        self.0.cancelled.store(true, Ordering::Relaxed);
    }
}
