//! A queue of timers, ordered by deadline.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Pending timers; the value `T` of a timer is returned when it expires.
pub(super) struct Timers<T> {
    deadlines: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: HashMap<u64, T>,
    scheduled: u64,
}

impl<T> Timers<T> {
    /// Creates an empty queue.
    pub(super) fn new() -> Timers<T> {
        Timers { deadlines: BinaryHeap::new(), pending: HashMap::new(), scheduled: 0 }
    }

    /// Schedules a timer to expire after a delay.
    pub(super) fn schedule(&mut self, after: Duration, timer: T) {
        self.scheduled += 1;
        self.deadlines.push(Reverse((Instant::now() + after, self.scheduled)));
        self.pending.insert(self.scheduled, timer);
    }

    /// Returns the earliest deadline, or `None` if no timer is pending.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.peek().map(|Reverse((deadline, _))| *deadline)
    }

    /// Removes and returns the earliest timer if its deadline has passed.
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
