//! Simulated time: an event queue ordered by time and, at equal times, by the order of scheduling.

use foxhold::policy::types::Micros;
use foxhold::replication::state::ClockReading;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Unix time at the start of a simulation, in microseconds. It is fixed so that a run depends on the seed
/// alone.
pub const UNIX_START: Micros = 1_800_000_000_000_000;

struct Scheduled<E> {
    at: Micros,
    sequence: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn order(&self) -> (Micros, u64) {
        (self.at, self.sequence)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed: a `BinaryHeap` pops its greatest element first.
        other.order().cmp(&self.order())
    }
}

/// The simulated clock and its queue of future events.
pub struct Clock<E> {
    now: Micros,
    sequence: u64,
    max_events: usize,
    queue: BinaryHeap<Scheduled<E>>,
}

impl<E> Clock<E> {
    /// Creates a clock at time zero that queues at most `max_events` events.
    pub fn new(max_events: usize) -> Clock<E> {
        Clock { now: 0, sequence: 0, max_events, queue: BinaryHeap::new() }
    }

    /// Returns the time in microseconds since the start.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Returns the time in the form that the replicated state uses. As in a director, the monotonic clock
    /// starts near Unix time.
    pub fn host_time(&self) -> ClockReading {
        ClockReading { monotonic: UNIX_START + self.now, unix: UNIX_START + self.now }
    }

    /// Schedules an event after a delay. Returns false, without scheduling it, if the queue is full.
    #[must_use]
    pub fn schedule(&mut self, after: Micros, event: E) -> bool {
        if self.queue.len() >= self.max_events {
            return false;
        }
        self.sequence += 1;
        self.queue.push(Scheduled { at: self.now + after, sequence: self.sequence, event });
        true
    }

    /// Returns the next event before `end` and advances the clock to it. If there is none, returns `None` and
    /// advances the clock to `end`.
    pub fn next_until(&mut self, end: Micros) -> Option<E> {
        if self.queue.peek().is_none_or(|next| next.at >= end) {
            self.now = end;
            return None;
        }
        let next = self.queue.pop()?;
        self.now = next.at;
        Some(next.event)
    }

    /// Removes all events and frees their memory.
    pub fn clear(&mut self) {
        self.queue = BinaryHeap::new();
    }
}
