//! Detection of replayed messages: each message of a sender is accepted only once.

use std::collections::{HashMap, VecDeque};

/// Size of the window in message numbers, which ends at the highest number received. Lower numbers are
/// rejected.
pub const WINDOW_MESSAGES: u64 = 1024;
/// Maximum number of ended incarnations that are stored for each sender.
const MAX_ENDED_INCARNATIONS: usize = 8;

/// The message numbers received from one incarnation of a sender.
#[derive(Debug, Default)]
struct SenderWindow {
    incarnation: u64,
    highest: u64,
    /// One bit for each message number, at the index `number % WINDOW_MESSAGES`.
    received: [u64; (WINDOW_MESSAGES / 64) as usize],
    ended_incarnations: VecDeque<u64>,
}

impl SenderWindow {
    fn of_incarnation(incarnation: u64) -> SenderWindow {
        SenderWindow { incarnation, ..SenderWindow::default() }
    }

    /// Returns the index of the element of `received` that contains a message number, and the mask of its
    /// bit.
    fn bit(number: u64) -> (usize, u64) {
        let remainder = number % WINDOW_MESSAGES;
        ((remainder / 64) as usize, 1 << (remainder % 64))
    }

    fn accept(&mut self, number: u64) -> bool {
        if number.saturating_add(WINDOW_MESSAGES) <= self.highest {
            return false;
        }
        if number > self.highest {
            // Clears the bits of the numbers since the former highest. After a jump of a whole window or
            // more, all bits are cleared.
            for skipped in (self.highest + 1..=number).rev().take(WINDOW_MESSAGES as usize) {
                let (index, bit) = Self::bit(skipped);
                self.received[index] &= !bit;
            }
            self.highest = number;
        }
        let (index, bit) = Self::bit(number);
        let is_new = self.received[index] & bit == 0;
        self.received[index] |= bit;
        is_new
    }

    /// Starts an empty window for a new incarnation of the sender, and records the previous one as ended.
    fn begin_incarnation(&mut self, incarnation: u64) {
        let mut ended_incarnations = std::mem::take(&mut self.ended_incarnations);
        ended_incarnations.push_back(self.incarnation);
        if ended_incarnations.len() > MAX_ENDED_INCARNATIONS {
            ended_incarnations.pop_front();
        }
        *self = SenderWindow { ended_incarnations, ..SenderWindow::of_incarnation(incarnation) };
    }
}

/// Replay windows for a bounded number of senders. When the bound is reached, the sender that was added
/// first is evicted.
#[derive(Debug)]
pub struct ReplayWindow<S> {
    max_senders: usize,
    windows: HashMap<S, SenderWindow>,
    /// The senders in the order in which they were added, which is the order of eviction.
    order: VecDeque<S>,
}

impl<S: Clone + Eq + std::hash::Hash> ReplayWindow<S> {
    /// Creates an empty set of windows for at most `max_senders` senders.
    pub fn new(max_senders: usize) -> ReplayWindow<S> {
        ReplayWindow { max_senders, windows: HashMap::new(), order: VecDeque::new() }
    }

    /// Records a message and returns whether it is new: it belongs to the sender's current incarnation and
    /// has a number of 1 or more that was not received before. An unknown incarnation becomes the current
    /// one; one recorded as ended is rejected.
    pub fn accept(&mut self, sender: &S, incarnation: u64, number: u64) -> bool {
        if !self.windows.contains_key(sender) {
            self.add(sender, incarnation);
        }
        let Some(window) = self.windows.get_mut(sender) else { return false };
        if window.incarnation != incarnation {
            if window.ended_incarnations.contains(&incarnation) {
                return false;
            }
            window.begin_incarnation(incarnation);
        }
        number > 0 && window.accept(number)
    }

    fn add(&mut self, sender: &S, incarnation: u64) {
        if self.windows.len() >= self.max_senders {
            self.order.pop_front().and_then(|oldest| self.windows.remove(&oldest));
        }
        self.order.push_back(sender.clone());
        self.windows.insert(sender.clone(), SenderWindow::of_incarnation(incarnation));
    }

    /// Returns the number of senders that have a window, and the number that are queued for eviction. Both
    /// are always equal.
    pub fn remembered(&self) -> (usize, usize) {
        (self.windows.len(), self.order.len())
    }
}
