//! Simulated time: one queue of events, in the order of their times and, at one time, of their scheduling.

use foxhold::policy::types::Micros;
use foxhold::replication::state::ClockReading;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Unix time at the start of a simulation, in microseconds. Any would do: it is fixed so that a seed decides
/// all.
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
        // The greatest of a `BinaryHeap` is popped first.
        other.order().cmp(&self.order())
    }
}

/// The clock and the events to come.
pub struct Clock<E> {
    now: Micros,
    sequence: u64,
    most: usize,
    queue: BinaryHeap<Scheduled<E>>,
}

impl<E> Clock<E> {
    /// At time zero, with room for so many events at a time.
    pub fn new(most: usize) -> Clock<E> {
        Clock { now: 0, sequence: 0, most, queue: BinaryHeap::new() }
    }

    /// The time, in microseconds since the start.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The time as the replicated state takes it: a director's steady clock starts near Unix time too.
    pub fn host_time(&self) -> ClockReading {
        ClockReading { monotonic: UNIX_START + self.now, unix: UNIX_START + self.now }
    }

    /// Schedules an event after a delay. False: the queue is full and the event is not taken.
    #[must_use]
    pub fn schedule(&mut self, after: Micros, event: E) -> bool {
        if self.queue.len() >= self.most {
            return false;
        }
        self.sequence += 1;
        self.queue.push(Scheduled { at: self.now + after, sequence: self.sequence, event });
        true
    }

    /// The next event before a time, to which the clock then goes; none: the clock stands at that time.
    pub fn next_until(&mut self, end: Micros) -> Option<E> {
        if self.queue.peek().is_none_or(|next| next.at >= end) {
            self.now = end;
            return None;
        }
        let next = self.queue.pop()?;
        self.now = next.at;
        Some(next.event)
    }

    /// Forgets all events, and the memory that they took.
    pub fn clear(&mut self) {
        self.queue = BinaryHeap::new();
    }
}
