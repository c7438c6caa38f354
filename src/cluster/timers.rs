//! A queue of timers, ordered by deadline.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Timers that have not expired; `T` is handed back when one does.
pub(super) struct Timers<T> {
    deadlines: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: HashMap<u64, T>,
    scheduled: u64,
}

impl<T> Timers<T> {
    /// Without a timer.
    pub(super) fn new() -> Timers<T> {
        Timers { deadlines: BinaryHeap::new(), pending: HashMap::new(), scheduled: 0 }
    }

    /// Schedules a timer.
    pub(super) fn schedule(&mut self, after: Duration, timer: T) {
        self.scheduled += 1;
        self.deadlines.push(Reverse((Instant::now() + after, self.scheduled)));
        self.pending.insert(self.scheduled, timer);
    }

    /// The earliest deadline.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.peek().map(|Reverse((deadline, _))| *deadline)
    }

    /// Removes the earliest timer whose deadline has passed.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<T> {
        while let Some(Reverse((deadline, number))) = self.deadlines.peek().copied() {
            if deadline > now {
                return None;
            }
            self.deadlines.pop();
            if let Some(timer) = self.pending.remove(&number) {
                return Some(timer);
            }
        }
        None
    }
}
