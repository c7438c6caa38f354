//! How many bytes of request bodies are reserved at a time: a count without clock or I/O.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Bytes that the bodies of all requests together may occupy. A clone is the same budget.
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    capacity: usize,
    reserved: AtomicUsize,
}

/// There is no capacity for so many bytes now. Nothing was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{requested} bytes wanted, {available} of the budget free")]
pub struct BudgetExhausted {
    /// Bytes requested.
    pub requested: usize,
    /// Bytes that were available.
    pub available: usize,
}

/// Bytes reserved of the budget, given back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<Inner>,
    bytes: usize,
}

impl BodyBudget {
    /// A budget of so many bytes.
    pub fn new(capacity: usize) -> Self {
        BodyBudget(Arc::new(Inner { capacity, reserved: AtomicUsize::new(0) }))
    }

    /// Reserves bytes at once, or none. A request larger than the whole budget never fits.
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

    /// Bytes reserved now.
    pub fn reserved(&self) -> usize {
        self.0.reserved.load(Ordering::Acquire)
    }
}

impl Reservation {
    /// Gives back what is reserved beyond so many bytes.
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
