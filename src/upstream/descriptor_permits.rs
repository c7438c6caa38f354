//! The limit on the number of connections that are open at a time to all endpoints together.

use std::sync::Arc;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// The file descriptors available for connections. Clones share one limit.
#[derive(Clone, Debug)]
pub(super) struct DescriptorPermits {
    free: Arc<Semaphore>,
    requested: Arc<Notify>,
}

/// A permit to open one connection; dropping it returns the descriptor.
#[derive(Debug)]
pub(super) struct DescriptorPermit {
    _permit: OwnedSemaphorePermit,
    requested: Arc<Notify>,
}

impl DescriptorPermits {
    /// Creates a limit of `descriptors` connections.
    pub(super) fn new(descriptors: usize) -> Self {
        DescriptorPermits { free: Arc::new(Semaphore::new(descriptors)), requested: Arc::default() }
    }

    /// Takes a permit. If none is free, returns `None` and asks an idle connection to close, so that a
    /// later call can take its permit.
    pub(super) fn try_acquire(&self) -> Option<DescriptorPermit> {
        match self.free.clone().try_acquire_owned() {
            Ok(permit) => Some(DescriptorPermit { _permit: permit, requested: self.requested.clone() }),
            Err(_) => {
                self.requested.notify_one();
                None
            }
        }
    }
}

impl DescriptorPermit {
    /// Waits until another connection needs the descriptor of an idle one.
    pub(super) async fn requested(&self) {
        self.requested.notified().await;
    }
}
