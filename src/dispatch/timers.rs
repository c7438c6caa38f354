//! The timer queue: which timer is due when.

use crate::dispatch::AttemptId;
use crate::policy::types::{Micros, RequestId, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The policy requested the timer.
    Policy(TimerToken),
    /// An attempt times out.
    AttemptTimeout(AttemptId),
    /// A client's credential expires.
    CredentialExpiry(RequestId),
    /// A health check times out.
    HealthCheckTimeout(u64),
    /// The time for reports on the attempts of a cancelled request is over.
    CancellationTimeout(RequestId),
}

/// A timer in the queue. Of two timers due at the same time, the one that was set first fires first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    at: Micros,
    sequence: u64,
    timer: Timer,
}

/// The timers that have not fired, by the monotonic clock.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<ScheduledTimer>>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Sets a timer. Timers are never cancelled: the request or attempt that a timer was set for may have
    /// ended when it fires.
    pub(super) fn schedule(&mut self, at: Micros, timer: Timer) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledTimer { at, sequence: self.last_sequence, timer }));
    }

    /// Returns the time at which the next timer is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(scheduled)| scheduled.at)
    }

    /// Removes and returns the next timer if it is due at `now`.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(scheduled)| scheduled.timer)
    }

    /// Returns the number of timers that have not fired.
    pub(super) fn len(&self) -> usize {
        self.heap.len()
    }
}
