//! A limit on the bytes of request bodies held at a time. It uses no clock and no I/O.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A byte budget for the bodies of all requests together. Clones share the budget.
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    capacity: usize,
    reserved: AtomicUsize,
}

/// The budget has fewer bytes available than requested. Nothing was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("body budget exhausted: {requested} bytes requested, {available} available")]
pub struct BudgetExhausted {
    /// Bytes requested.
    pub requested: usize,
    /// Bytes that were available.
    pub available: usize,
}

/// Bytes reserved from a [`BodyBudget`], released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<Inner>,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        BodyBudget(Arc::new(Inner { capacity, reserved: AtomicUsize::new(0) }))
    }

    /// Reserves all of `bytes` or none, without waiting. More than the budget's capacity always fails.
    pub fn reserve(&self, bytes: usize) -> Result<Reservation, BudgetExhausted> {
        let capacity = self.0.capacity;
        let fits = |reserved: usize| reserved.checked_add(bytes).filter(|sum| *sum <= capacity);
        match self.0.reserved.fetch_update(Ordering::AcqRel, Ordering::Acquire, fits) {
            Ok(_) => Ok(Reservation { budget: self.0.clone(), bytes }),
            Err(reserved) => {
                let available = capacity.saturating_sub(reserved);
                Err(BudgetExhausted { requested: bytes, available })
            }
        }
    }

    /// Returns the number of bytes currently reserved.
    pub fn reserved(&self) -> usize {
        self.0.reserved.load(Ordering::Acquire)
    }
}

impl Reservation {
    /// Releases all but `bytes` of the reservation.
    pub fn shrink(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.budget.reserved.fetch_sub(surplus, Ordering::AcqRel);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
