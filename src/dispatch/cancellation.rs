//! Cancellation: the token that a request's attempts share, and the client that it can look at.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A client as its frontend reaches it.
pub trait Client: std::fmt::Debug + Send + Sync {
    /// Whether it has disconnected, even if the runtime has notified nobody of it yet. It must not block.
    fn has_disconnected(&self) -> bool;
}

/// A client that a host's server leaves among a request's extensions, for the middleware.
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

/// Whether a request has ended: answered, or cancelled by its client. Whoever carries its attempts checks
/// this right before the first byte, for the command that cancels an attempt can find a mailbox full, or
/// cross the attempt on its way from a connection that has ended to another; and while the runtime is
/// stalled, a client's disconnect goes unnoticed.
#[derive(Clone, Debug, Default)]
pub struct CancellationToken(Arc<CancellationState>);

#[derive(Debug, Default)]
struct CancellationState {
    cancelled: AtomicBool,
    client: Option<Box<dyn Client>>,
}

impl CancellationToken {
    /// A token for a request whose client can be looked at.
    pub fn for_client(client: impl Client + 'static) -> Self {
        CancellationToken(Arc::new(CancellationState {
            cancelled: AtomicBool::new(false),
            client: Some(Box::new(client)),
        }))
    }

    /// Whether nothing more is to be sent for the request, as far as has been notified.
    pub fn is_cancelled(&self) -> bool {
        self.0.cancelled.load(Ordering::Relaxed)
    }

    /// The same after a look at the client itself, where its frontend reaches it: right before the first
    /// byte.
    pub fn check_client(&self) -> bool {
        if !self.is_cancelled() && self.0.client.as_ref().is_some_and(|client| client.has_disconnected()) {
            self.cancel();
        }
        self.is_cancelled()
    }

    /// Nothing more is to be sent for the request from now on.
    pub fn cancel(&self) {
        self.0.cancelled.store(true, Ordering::Relaxed);
    }
}
