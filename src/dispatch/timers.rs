//! The timer queue: what falls due when.

use crate::dispatch::AttemptId;
use crate::policy::types::{Micros, RequestId, TimerToken};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The policy asked for it.
    Policy(TimerToken),
    /// An attempt has had its time.
    AttemptTimeout(AttemptId),
    /// A client's credential expires.
    CredentialExpiry(RequestId),
    /// A health check has had its time.
    HealthCheckTimeout(u64),
    /// The attempts of a cancelled request have had the time in which they are reported.
    CancellationTimeout(RequestId),
}

/// A timer in the queue; of two that fall due at once, the one that was set first fires first.
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
    /// Sets a timer. None is ever taken back: whoever it is for may have ended when it fires.
    pub(super) fn schedule(&mut self, at: Micros, timer: Timer) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledTimer { at, sequence: self.last_sequence, timer }));
    }

    /// When the next timer falls due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(scheduled)| scheduled.at)
    }

    /// Takes the next timer that is due by now.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(scheduled)| scheduled.timer)
    }

    /// Timers that have not fired.
    pub(super) fn len(&self) -> usize {
        self.heap.len()
    }
}
