//! How many bytes of bodies are held at a time: a count without clock or I/O.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Bytes that all requests together may hold. A clone is the same budget.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    most: usize,
    held: AtomicUsize,
}

/// There is no room for so many bytes now. Nothing was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{wanted} bytes wanted, {free} of the budget free")]
pub struct Full {
    /// Bytes wanted.
    pub wanted: usize,
    /// Bytes that were free.
    pub free: usize,
}

/// Bytes taken from the budget, given back when this is dropped.
#[derive(Debug)]
pub struct Reserved(Arc<Inner>, usize);

impl Budget {
    /// So many bytes.
    pub fn new(most: usize) -> Self {
        Budget(Arc::new(Inner { most, held: AtomicUsize::new(0) }))
    }

    /// Takes bytes at once, or none. A request larger than the whole budget never fits.
    pub fn reserve(&self, bytes: usize) -> Result<Reserved, Full> {
        let (held, most) = (&self.0.held, self.0.most);
        let fits = |now: usize| now.checked_add(bytes).filter(|sum| *sum <= most);
        match held.fetch_update(Ordering::AcqRel, Ordering::Acquire, fits) {
            Ok(_) => Ok(Reserved(self.0.clone(), bytes)),
            Err(now) => Err(Full { wanted: bytes, free: most.saturating_sub(now) }),
        }
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Acquire)
    }
}

impl Reserved {
    /// Gives back what turned out not to be needed.
    pub fn shrink(&mut self, bytes: usize) {
        let spare = self.1.saturating_sub(bytes);
        self.1 -= spare;
        self.0.held.fetch_sub(spare, Ordering::AcqRel);
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.0.held.fetch_sub(self.1, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_are_taken_whole_or_not_and_come_back() {
        let budget = Budget::new(100);
        let mut first = budget.reserve(70).expect("room");
        assert_eq!(budget.reserve(40).expect_err("none"), Full { wanted: 40, free: 30 });
        first.shrink(20);
        let second = budget.clone().reserve(80).expect("room again");
        assert_eq!(budget.held(), 100);
        drop((first, second));
        assert_eq!(budget.held(), 0);
        assert!(budget.reserve(usize::MAX).is_err() && budget.reserve(101).is_err());
    }

    #[test]
    fn many_threads_never_hold_more_than_there_is() {
        let budget = Budget::new(1_000);
        std::thread::scope(|scope| {
            for n in 0..4 {
                let budget = budget.clone();
                scope.spawn(move || {
                    for k in 0..2_000 {
                        let held = budget.reserve(300 + (n * 7 + k) % 50);
                        assert!(budget.held() <= 1_000);
                        drop(held);
                    }
                });
            }
        });
        assert_eq!(budget.held(), 0);
    }
}
